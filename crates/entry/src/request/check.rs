//! Checks answers before they are passed on: identity, length and digest.

use cactusdoor_core::claim::StoredAnswer;
use cactusdoor_peer::answer::{AnswerDigest, RequestId, UpstreamAnswer};
use cactusdoor_peer::digest;
use thiserror::Error;

/// Why an answer must not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    #[error("answer belongs to another request or attempt")]
    OtherAttempt,
    #[error("answer has {found} of {announced} bytes")]
    Partial { announced: u64, found: u64 },
    #[error("digest of the answer does not match its body")]
    Corrupted,
}

/// Checks the body of an answer stored with an outcome, if the body was stored.
pub fn check_stored(answer: &StoredAnswer) -> Result<(), AnswerError> {
    answer.body.as_deref().map_or(Ok(()), |body| check_body(body, answer.length, answer.digest))
}

/// Checks that `answer` belongs to attempt `id` and is complete and intact.
pub fn check_answer(id: RequestId, answer: &UpstreamAnswer) -> Result<(), AnswerError> {
    if answer.id != id {
        return Err(AnswerError::OtherAttempt);
    }
    check_body(&answer.body, answer.length, answer.digest)
}

fn check_body(body: &[u8], length: u64, expected: AnswerDigest) -> Result<(), AnswerError> {
    let found = body.len() as u64;
    if found != length {
        return Err(AnswerError::Partial { announced: length, found });
    }
    if digest(body) != expected {
        return Err(AnswerError::Corrupted);
    }
    Ok(())
}
