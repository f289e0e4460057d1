//! Answers to interactive and binding requests, and their HTTP form.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use cactusdoor_peer::answer::AnswerDigest;

pub const REQUEST_ID_HEADER: &str = "X-Request-Id";
pub const ANSWER_LENGTH_HEADER: &str = "X-Answer-Length";
pub const ANSWER_DIGEST_HEADER: &str = "X-Answer-Digest";

/// The complete answer of an upstream, after its length and digest were verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// Request id, sent to the caller in the header `X-Request-Id`.
    pub request: String,
    pub status: u16,
    /// Length of the body in bytes, also if the body is absent.
    pub length: u64,
    pub digest: AnswerDigest,
    /// Absent if the answer was too large to be stored with the outcome.
    pub body: Option<Bytes>,
}

impl ServiceAnswer {
    #[must_use]
    pub fn into_response(self) -> HttpResponse {
        // An upstream may answer with a number that is not a valid HTTP status.
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        response
            .insert_header((REQUEST_ID_HEADER, self.request))
            .insert_header((ANSWER_LENGTH_HEADER, self.length.to_string()))
            .insert_header((ANSWER_DIGEST_HEADER, format!("{:016x}", self.digest)))
            .content_type("application/octet-stream");
        match self.body {
            Some(body) => response.body(body),
            None => response.insert_header(("X-Answer-Body", "not-kept")).finish(),
        }
    }
}
