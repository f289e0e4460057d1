//! Reads bodies within the limits, and answers requests that have reached a limit.

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::web::Payload;

use crate::api::{ApiContext, Refusal};
use crate::body::{self, BodyError, HeldBody};
use crate::connection_table::CallerConnection;
use crate::limits::{DEFAULT_MAX_BODY_BYTES, RejectCause};

impl ApiContext {
    /// Reads the body of a request, unless a limit forbids it.
    pub(crate) async fn read_body(
        &self,
        caller: &CallerConnection,
        request: &HttpRequest,
        payload: &mut Payload,
    ) -> Result<HeldBody, Refusal> {
        let limit = self.max_body_bytes();
        match body::read(caller, request.headers(), payload, &self.bodies, limit).await {
            Ok(body) => Ok(body),
            Err(BodyError::Rejected(cause)) => Err(self.reject(caller, cause)),
            Err(BodyError::Broken) => {
                Err(Refusal::new(StatusCode::BAD_REQUEST, "body is incomplete or malformed"))
            }
        }
    }

    /// Counts a rejection; returns the refusal of the request.
    pub(crate) fn reject(&self, caller: &CallerConnection, cause: RejectCause) -> Refusal {
        self.rejections.record(cause, caller.connection.peer);
        let (status, text) = match cause {
            RejectCause::BodySize => (StatusCode::PAYLOAD_TOO_LARGE, "body is too large"),
            RejectCause::BodyTime => (StatusCode::REQUEST_TIMEOUT, "body has not arrived in time"),
            RejectCause::RequestsAhead => {
                (StatusCode::TOO_MANY_REQUESTS, "too many pipelined requests")
            }
            RejectCause::Steps => (StatusCode::BAD_REQUEST, "job has too many steps"),
            RejectCause::Fields => (StatusCode::BAD_REQUEST, "job has too many values"),
            RejectCause::BodyBytes => (StatusCode::SERVICE_UNAVAILABLE, "no memory for the body"),
            RejectCause::CallsWaiting => (StatusCode::SERVICE_UNAVAILABLE, "too many calls wait"),
            _ => (StatusCode::SERVICE_UNAVAILABLE, "too many connections"),
        };
        Refusal::new(status, text)
    }

    /// Largest body: the operators' limit, but no more than all bodies may take.
    fn max_body_bytes(&self) -> usize {
        let configured = self.views.borrow().view.config.as_ref().map(|config| config.body_bytes);
        let limit = configured.filter(|bytes| *bytes > 0).unwrap_or(DEFAULT_MAX_BODY_BYTES);
        limit.min(self.limits.body_bytes / 2)
    }
}
