//! Answers to requests.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use cactusdoor_peer::answer::AnswerDigest;

pub const REQUEST_ID: &str = "X-Request-Id";
pub const ANSWER_LENGTH: &str = "X-Answer-Length";
pub const ANSWER_DIGEST: &str = "X-Answer-Digest";

/// The whole answer of an upstream, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// As shown to the caller.
    pub request: String,
    pub status: u16,
    pub length: u64,
    pub digest: AnswerDigest,
    /// Absent if the answer was too large to be kept with the outcome.
    pub body: Option<Bytes>,
}

impl ServiceAnswer {
    #[must_use]
    pub fn into_response(self) -> HttpResponse {
        // An upstream may answer with a status that HTTP does not know.
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        response
            .insert_header((REQUEST_ID, self.request))
            .insert_header((ANSWER_LENGTH, self.length.to_string()))
            .insert_header((ANSWER_DIGEST, format!("{:016x}", self.digest)))
            .content_type("application/octet-stream");
        match self.body {
            Some(body) => response.body(body),
            None => response.insert_header(("X-Answer-Body", "not-kept")).finish(),
        }
    }
}
