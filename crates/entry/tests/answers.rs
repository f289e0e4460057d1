//! The check of answers before they are passed on.

use bytes::Bytes;
use cactusdoor_entry::request::{AnswerError, check_answer};
use cactusdoor_peer::answer::{RequestId, UpstreamAnswer, UpstreamLoad};
use cactusdoor_peer::digest;

const ID: RequestId = RequestId { entry: 1, number: 2, attempt: 3 };

fn answer(body: &'static [u8]) -> UpstreamAnswer {
    UpstreamAnswer {
        id: ID,
        status: 200,
        length: body.len() as u64,
        digest: digest(body),
        body: Bytes::from_static(body),
        load: UpstreamLoad::default(),
    }
}

/// Guards against a check that looks at the number of a request only: a late
/// answer may come from another attempt, or to an earlier run of this entry.
#[test]
fn answer_must_name_this_attempt() {
    assert_eq!(check_answer(ID, &answer(b"whole")), Ok(()));
    let others = [
        RequestId { entry: 9, ..ID },
        RequestId { number: 9, ..ID },
        RequestId { attempt: 9, ..ID },
    ];
    for id in others {
        let foreign = UpstreamAnswer { id, ..answer(b"whole") };
        assert_eq!(check_answer(ID, &foreign), Err(AnswerError::OtherAttempt));
    }
}

/// Guards against an answer that was cut off before its digest was taken.
#[test]
fn answer_must_have_its_announced_length() {
    let partial = UpstreamAnswer { length: 9, ..answer(b"whole") };
    let fault = AnswerError::Partial { announced: 9, found: 5 };
    assert_eq!(check_answer(ID, &partial), Err(fault));
}

/// Guards against an answer that was changed at its full length.
#[test]
fn answer_must_match_its_digest() {
    let damaged = UpstreamAnswer { body: Bytes::from_static(b"whale"), ..answer(b"whole") };
    assert_eq!(check_answer(ID, &damaged), Err(AnswerError::Corrupted));
}
