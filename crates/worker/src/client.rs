//! HTTP calls to the platform worker.
//!
//! Classifies the outcome of each call by whether it may have had an effect. Repeats
//! nothing: callers decide about that.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::{ClientRequest, SendClientRequest};
use cactusdoor_core::unit::Token;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::message::{
    EndAcknowledgement, LeaseRenewal, RenewalReply, StopOrder, StopReport, TaskEnd, TaskInventory,
    TaskLaunch, ThrottleOrder, UsageReport, WorkerStatus,
};

/// Longest wait for an answer: half of `PAUSE_MARGIN`, so that a call that arrives late
/// still takes effect within the safety margin of the lease.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer: an inventory of several thousand tasks.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call was not sent, so it has no effect.
    #[error("could not connect to the worker")]
    NotSent,
    /// The call may have taken effect.
    #[error("worker did not answer")]
    NoAnswer,
    /// The worker answered with a 4xx status, so the call had no effect.
    #[error("worker rejected the call with status {0}")]
    Rejected(u16),
    /// The worker answered with another error status; the call may have taken effect.
    #[error("worker failed with status {0}")]
    Failed(u16),
    /// The call took effect, but its answer could not be parsed.
    #[error("could not parse the worker's answer")]
    Malformed,
}

impl CallError {
    /// Whether the call certainly had no effect.
    #[must_use]
    pub fn had_no_effect(self) -> bool {
        matches!(self, Self::NotSent | Self::Rejected(_))
    }
}

/// Why a call certainly started no task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotStarted {
    #[error("could not connect to the worker")]
    NotSent,
    /// This token or a higher one was used for the task before. If it was this token, an
    /// earlier call started the task, which has ended since.
    #[error("token is stale")]
    TokenStale,
    #[error("task does not fit")]
    DoesNotFit,
    #[error("worker rejected the call with status {0}")]
    Rejected(u16),
}

/// Why a start was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    #[error("not started: {0}")]
    NotStarted(#[from] NotStarted),
    /// The task may be running; repeating the call or reading the inventory shows whether
    /// it is.
    #[error("uncertain whether the task was started: {0}")]
    Uncertain(CallError),
}

/// Result of a confirmed start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartedTask {
    Started,
    /// An earlier call with this token started the task.
    Running,
}

/// Why a call about one token got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The worker neither runs the token's task nor lists its end.
    #[error("worker does not know the token")]
    UnknownToken,
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Client of the worker on this VM.
#[derive(Clone)]
pub struct WorkerClient {
    http: awc::Client,
    address: SocketAddr,
}

impl WorkerClient {
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let http = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
        Self { http, address }
    }

    pub async fn status(&self) -> Result<WorkerStatus, CallError> {
        parse_answer(self.get("worker").send()).await
    }

    /// Running tasks, and ended tasks whose ends are not acknowledged.
    pub async fn inventory(&self) -> Result<TaskInventory, CallError> {
        parse_answer(self.get("tasks").send()).await
    }

    /// Starts a task under `token`; the call may be repeated with the same token.
    pub async fn start(
        &self,
        token: Token,
        launch: &TaskLaunch,
    ) -> Result<StartedTask, StartError> {
        let url = self.url(&format!("tasks/{token}"));
        match self.http.put(url).send_json(launch).await {
            Ok(response) => start_result(response.status()),
            Err(error) if is_unsent(&error) => Err(NotStarted::NotSent.into()),
            Err(_) => Err(StartError::Uncertain(CallError::NoAnswer)),
        }
    }

    /// Extends leases; the reply names the tokens that no longer run.
    pub async fn renew(&self, renewal: &LeaseRenewal) -> Result<RenewalReply, CallError> {
        parse_answer(self.post("leases").send_json(renewal)).await
    }

    /// Stops a task; returns how it ended, also if it ended before the call.
    pub async fn stop(&self, token: Token, order: StopOrder) -> Result<TaskEnd, TokenError> {
        let path = format!("tasks/{token}/stop");
        let report: StopReport =
            parse_answer(self.post(&path).send_json(&order)).await.map_err(token_error)?;
        Ok(report.end)
    }

    pub async fn throttle(&self, token: Token, order: ThrottleOrder) -> Result<(), TokenError> {
        let path = format!("tasks/{token}/throttle");
        self.post_command(&path, &order).await.map_err(token_error)
    }

    pub async fn usage(&self) -> Result<UsageReport, CallError> {
        parse_answer(self.get("usage").send()).await
    }

    /// Allows the worker to forget ended tasks.
    pub async fn acknowledge(&self, acknowledgement: &EndAcknowledgement) -> Result<(), CallError> {
        self.post_command("ended", acknowledgement).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    fn get(&self, path: &str) -> ClientRequest {
        self.http.get(self.url(path))
    }

    fn post(&self, path: &str) -> ClientRequest {
        self.http.post(self.url(path))
    }

    async fn post_command(&self, path: &str, body: &impl Serialize) -> Result<(), CallError> {
        let response = self.post(path).send_json(body).await.map_err(|e| call_error(&e))?;
        check_status(response.status())
    }
}

async fn parse_answer<T: DeserializeOwned>(request: SendClientRequest) -> Result<T, CallError> {
    let mut response = request.await.map_err(|error| call_error(&error))?;
    check_status(response.status())?;
    response.json().limit(MAX_ANSWER_BYTES).await.map_err(|_| CallError::Malformed)
}

fn check_status(status: StatusCode) -> Result<(), CallError> {
    if status.is_success() {
        Ok(())
    } else if status.is_client_error() {
        Err(CallError::Rejected(status.as_u16()))
    } else {
        Err(CallError::Failed(status.as_u16()))
    }
}

fn start_result(status: StatusCode) -> Result<StartedTask, StartError> {
    match status {
        StatusCode::CREATED => Ok(StartedTask::Started),
        StatusCode::OK => Ok(StartedTask::Running),
        StatusCode::CONFLICT => Err(NotStarted::TokenStale.into()),
        StatusCode::INSUFFICIENT_STORAGE => Err(NotStarted::DoesNotFit.into()),
        _ if status.is_client_error() => Err(NotStarted::Rejected(status.as_u16()).into()),
        _ => Err(StartError::Uncertain(CallError::Failed(status.as_u16()))),
    }
}

fn token_error(error: CallError) -> TokenError {
    match error {
        CallError::Rejected(404) => TokenError::UnknownToken,
        error => TokenError::Call(error),
    }
}

fn call_error(error: &SendRequestError) -> CallError {
    if is_unsent(error) { CallError::NotSent } else { CallError::NoAnswer }
}

/// Whether no byte of the request was sent.
///
/// `awc` also reports `Disconnected` when the peer closes the connection after it has
/// received the request, so that error counts as sent.
fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
