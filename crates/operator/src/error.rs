//! JSON errors that are sent to operators, and their HTTP status codes.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use cactusdoor_core::config::ConfigConflict;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum OperatorError {
    /// Another change came first; nothing was changed.
    #[error("conflict: {conflict}")]
    Conflict { conflict: ConfigConflict },
    #[error("{message}")]
    Malformed { message: String },
    #[error("{message}")]
    NotFound { message: String },
    /// The change is not in the log and will never be.
    #[error("not changed: {message}")]
    NotChanged { message: String },
    /// The log did not confirm the outcome; the change may have taken effect or still do so.
    #[error("outcome is unknown: {message}")]
    Unknown { message: String },
    #[error("entry is not ready: {message}")]
    NotReady { message: String },
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorErrorBody {
    pub error: OperatorError,
}

impl OperatorError {
    pub fn malformed(message: impl Into<String>) -> Self {
        Self::Malformed { message: message.into() }
    }
}

impl ResponseError for OperatorError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::NotChanged { .. } | Self::Unknown { .. } | Self::NotReady { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.status_code()).json(OperatorErrorBody { error: self.clone() })
    }
}
