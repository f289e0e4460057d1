//! JSON errors that are sent to callers, and their HTTP status codes.

use std::fmt;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use serde::{Deserialize, Serialize};

use crate::answer::REQUEST_ID_HEADER;

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is invalid.
    Malformed,
    TooLarge,
    /// No such route, job or data centre.
    NotFound,
    UnknownPlan,
    /// The plan's requests per second are used up.
    OverAllowance,
    /// No free capacity, or none before the deadline.
    Overloaded,
    NoUpstream,
    /// The entry is stopping.
    Draining,
    /// The entry has not loaded its state yet.
    NotReady,
    /// Every attempt was refused, or the claim of the key was settled as not run.
    NotRun,
    /// No complete answer arrived.
    NoAnswer,
    DeadlineExceeded,
    /// The idempotency key was used for another request.
    KeyConflict,
    LogUnavailable,
}

impl ErrorCode {
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::UnknownPlan => StatusCode::FORBIDDEN,
            Self::OverAllowance => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyConflict => StatusCode::CONFLICT,
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::Overloaded
            | Self::NoUpstream
            | Self::Draining
            | Self::NotReady
            | Self::NotRun
            | Self::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Whether the requested work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkOutcome {
    NotRun,
    Unknown,
}

/// Whether and how the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    SameKey,
    NewRequest,
    Never,
}

/// An error as sent to callers, inside `{"error": ...}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerError {
    pub code: ErrorCode,
    pub message: String,
    pub outcome: WorkOutcome,
    pub retry: RetryAdvice,
    /// Request id, sent in the header `X-Request-Id` of the answer.
    #[serde(skip)]
    pub request: Option<String>,
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: CallerError,
}

impl CallerError {
    /// An error for work that has not run.
    pub fn not_run(code: ErrorCode, retry: RetryAdvice, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), outcome: WorkOutcome::NotRun, retry, request: None }
    }

    /// An error for work that may have run.
    pub fn unknown(code: ErrorCode, retry: RetryAdvice, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), outcome: WorkOutcome::Unknown, retry, request: None }
    }

    /// The same error with the id of the request that it answers.
    #[must_use]
    pub fn for_request(self, request: String) -> Self {
        Self { request: Some(request), ..self }
    }

    /// An error for an invalid request.
    pub fn malformed(message: impl Into<String>) -> Self {
        Self::not_run(ErrorCode::Malformed, RetryAdvice::Never, message)
    }
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CallerError {}

impl ResponseError for CallerError {
    fn status_code(&self) -> StatusCode {
        self.code.status()
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        if let Some(request) = &self.request {
            response.insert_header((REQUEST_ID_HEADER, request.as_str()));
        }
        response.json(ErrorBody { error: self.clone() })
    }
}
