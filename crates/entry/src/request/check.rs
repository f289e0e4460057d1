//! Check of answers before they are passed on.

use cactusdoor_peer::answer::{RequestId, UpstreamAnswer};
use cactusdoor_peer::digest;
use thiserror::Error;

/// Why an answer is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerFault {
    #[error("answer belongs to another request or attempt")]
    Foreign,
    #[error("answer has {found} of {announced} bytes")]
    Partial { announced: u64, found: u64 },
    #[error("digest of the answer does not match its body")]
    Damaged,
}

/// Whether `answer` is the whole answer to `id`.
pub fn check_answer(id: RequestId, answer: &UpstreamAnswer) -> Result<(), AnswerFault> {
    if answer.id != id {
        return Err(AnswerFault::Foreign);
    }
    let found = answer.body.len() as u64;
    if found != answer.length {
        return Err(AnswerFault::Partial { announced: answer.length, found });
    }
    if digest(&answer.body) != answer.digest {
        return Err(AnswerFault::Damaged);
    }
    Ok(())
}
