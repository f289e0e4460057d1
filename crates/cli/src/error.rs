//! Errors of subcommands and the exit code of each.

use std::error::Error as _;
use std::io;
use std::path::PathBuf;

use cactusdoor_caller::client::CallerClientError;
use cactusdoor_caller::{ErrorCode, WorkOutcome};
use cactusdoor_node::settings::SettingsError;
use cactusdoor_operator::OperatorError;
use cactusdoor_operator::client::OperatorClientError;
use thiserror::Error;

/// Exit codes. The argument parser also exits with 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Invalid arguments or an invalid file, and nothing was sent; or the result could not
    /// be written.
    Usage = 1,
    /// Refused; nothing was changed.
    Refused = 2,
    /// Another operator's change came first; nothing was changed.
    Conflict = 3,
    /// The outcome is unknown; the change may have taken effect or still do so.
    Unknown = 4,
    /// A process could not be reached, or a call to the callers' API got no answer.
    Unreachable = 5,
}

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("could not read {path}")]
    Unreadable { path: PathBuf, source: io::Error },
    #[error("{path}: {reason}")]
    InvalidFile { path: PathBuf, reason: String },
    #[error(transparent)]
    Operator(#[from] OperatorClientError),
    #[error(transparent)]
    Caller(#[from] CallerClientError),
    #[error("{unreachable} of {total} processes could not be reached; the timeline is incomplete")]
    IncompleteTimeline { unreachable: usize, total: usize },
    #[error("could not write the result")]
    Output(#[from] io::Error),
    #[error("could not encode the result")]
    Encoding(#[from] serde_json::Error),
}

impl CommandError {
    /// The error and its causes, separated by colons.
    #[must_use]
    pub fn chain(&self) -> String {
        let causes = std::iter::successors(self.source(), |&error| error.source());
        causes.fold(self.to_string(), |text, cause| format!("{text}: {cause}"))
    }

    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) | Self::Unreadable { .. } | Self::InvalidFile { .. } => {
                ExitStatus::Usage
            }
            Self::Operator(error) => operator_status(error),
            Self::Caller(error) => caller_status(error),
            Self::IncompleteTimeline { .. } => ExitStatus::Unreachable,
            Self::Output(_) | Self::Encoding(_) => ExitStatus::Usage,
        }
    }
}

fn operator_status(error: &OperatorClientError) -> ExitStatus {
    match error {
        OperatorClientError::Unreachable { .. } => ExitStatus::Unreachable,
        OperatorClientError::NoAnswer { .. } => ExitStatus::Unknown,
        OperatorClientError::Refused(OperatorError::Conflict { .. }) => ExitStatus::Conflict,
        OperatorClientError::Refused(OperatorError::Unknown { .. }) => ExitStatus::Unknown,
        OperatorClientError::Refused(_) => ExitStatus::Refused,
    }
}

fn caller_status(error: &CallerClientError) -> ExitStatus {
    match error {
        CallerClientError::Unreachable { .. } => ExitStatus::Unreachable,
        CallerClientError::Malformed(_) => ExitStatus::Unknown,
        CallerClientError::Refused(error) if error.code == ErrorCode::NotFound => {
            ExitStatus::Refused
        }
        CallerClientError::Refused(error) => match error.outcome {
            WorkOutcome::NotRun => ExitStatus::Refused,
            WorkOutcome::Unknown => ExitStatus::Unknown,
        },
    }
}
