//! Checks of answers before they are passed on.

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

/// Guards against a check of the request number alone: a late answer may belong to
/// another attempt, or to an earlier incarnation of this entry.
#[test]
fn answer_must_name_this_attempt() {
    assert_eq!(check_answer(ID, &answer(b"whole")), Ok(()));
    let others = [
        RequestId { entry: 9, ..ID },
        RequestId { number: 9, ..ID },
        RequestId { attempt: 9, ..ID },
    ];
    for id in others {
        let other = UpstreamAnswer { id, ..answer(b"whole") };
        assert_eq!(check_answer(ID, &other), Err(AnswerError::OtherAttempt));
    }
}

/// Guards against an answer that was cut off before its digest was computed.
#[test]
fn answer_must_have_its_announced_length() {
    let partial = UpstreamAnswer { length: 9, ..answer(b"whole") };
    let error = AnswerError::Partial { announced: 9, found: 5 };
    assert_eq!(check_answer(ID, &partial), Err(error));
}

/// Guards against an answer whose bytes changed but whose length did not.
#[test]
fn answer_must_match_its_digest() {
    let corrupted = UpstreamAnswer { body: Bytes::from_static(b"whale"), ..answer(b"whole") };
    assert_eq!(check_answer(ID, &corrupted), Err(AnswerError::Corrupted));
}
