//! Client of the HTTP interfaces of entries and agents.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::Method;
use bytes::Bytes;
use cactusdoor_core::name::{PlanName, ServiceName};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Timeout of a call; above the longest deadline of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(65);
/// Largest answer body that is accepted.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Error of a call.
#[derive(Debug, Error)]
pub enum ApiError {
    #[error("no answer to {path}: {reason}")]
    NoAnswer { path: String, reason: String },
    #[error("answer to {path} is incomplete")]
    IncompleteAnswer { path: String },
    #[error("body of {path} could not be encoded or parsed")]
    Body { path: String, source: serde_json::Error },
    #[error("{path} was answered with status {status}: {text}")]
    Status { path: String, status: u16, text: String },
}

/// An answer, whatever its status.
#[derive(Clone, Debug)]
pub struct ApiReply {
    path: String,
    pub status: u16,
    /// `X-Request-Id`.
    pub request_id: Option<String>,
    /// `X-Answer-Digest`, as sent.
    pub answer_digest: Option<String>,
    pub body: Bytes,
}

impl ApiReply {
    /// The reply itself if its status is 2xx; an error otherwise.
    pub fn success(self) -> Result<Self, ApiError> {
        if (200..300).contains(&self.status) {
            return Ok(self);
        }
        let text = String::from_utf8_lossy(&self.body).into_owned();
        Err(ApiError::Status { path: self.path, status: self.status, text })
    }

    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|source| ApiError::Body { path: self.path.clone(), source })
    }
}

/// HTTP client of one address of a daemon.
#[derive(Clone)]
pub struct ApiClient {
    http: awc::Client,
    address: SocketAddr,
}

impl ApiClient {
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self { http: awc::Client::builder().timeout(CALL_TIMEOUT).finish(), address }
    }

    /// Sends an interactive request.
    pub async fn interactive(
        &self,
        service: &ServiceName,
        plan: &PlanName,
        body: Bytes,
    ) -> Result<ApiReply, ApiError> {
        let path = format!("/v1/services/{service}/requests");
        self.send(Method::POST, &path, &[("X-Plan", plan.as_str())], body).await
    }

    /// Sends a binding request with idempotency key `key`.
    pub async fn binding(
        &self,
        service: &ServiceName,
        plan: &PlanName,
        key: &str,
        body: Bytes,
    ) -> Result<ApiReply, ApiError> {
        let path = format!("/v1/services/{service}/binding");
        let headers = [("X-Plan", plan.as_str()), ("Idempotency-Key", key)];
        self.send(Method::POST, &path, &headers, body).await
    }

    /// Submits a job; `job` has the fields of a `JobSpec` except `id`, and a `plan`.
    pub async fn submit(&self, key: &str, job: &impl Serialize) -> Result<ApiReply, ApiError> {
        self.send_json(Method::POST, "/v1/jobs", &[("Idempotency-Key", key)], job).await
    }

    pub async fn get(&self, path: &str) -> Result<ApiReply, ApiError> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    pub async fn delete(&self, path: &str) -> Result<ApiReply, ApiError> {
        self.send(Method::DELETE, path, &[], Bytes::new()).await
    }

    pub async fn send_json(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &impl Serialize,
    ) -> Result<ApiReply, ApiError> {
        let text = serde_json::to_vec(body);
        let text = text.map_err(|source| ApiError::Body { path: path.into(), source })?;
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "application/json"));
        self.send(method, path, &headers, text.into()).await
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<ApiReply, ApiError> {
        let mut request = self.http.request(method, format!("http://{}{path}", self.address));
        for &header in headers {
            request = request.insert_header(header);
        }
        let no_answer = |error: SendRequestError| ApiError::NoAnswer {
            path: path.into(),
            reason: error.to_string(),
        };
        let mut response = request.send_body(body).await.map_err(no_answer)?;
        let incomplete = || ApiError::IncompleteAnswer { path: path.into() };
        let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|_| incomplete())?;
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        // `awc` does not report a body that is shorter than its `Content-Length`.
        let content_length = header("Content-Length").and_then(|value| value.parse::<usize>().ok());
        if content_length.is_some_and(|length| length != body.len()) {
            return Err(incomplete());
        }
        Ok(ApiReply {
            path: path.into(),
            status: response.status().as_u16(),
            request_id: header("X-Request-Id"),
            answer_digest: header("X-Answer-Digest"),
            body,
        })
    }
}
