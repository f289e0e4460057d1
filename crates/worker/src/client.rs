//! Calls to the platform worker.

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

/// Longest wait for an answer; half of `PAUSE_MARGIN`, so that a late call still
/// takes effect within the margins of the lease.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer: an inventory of several thousand tasks.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call was not sent, so it has no effect.
    #[error("could not connect to the worker")]
    NotSent,
    /// The call may have taken effect.
    #[error("worker did not answer")]
    NoAnswer,
    /// The worker answered with an error of the caller, so the call had no effect.
    #[error("worker rejected the call with status {0}")]
    Rejected(u16),
    /// The worker failed on its own; the call may have taken effect.
    #[error("worker failed with status {0}")]
    Failed(u16),
    /// The call took effect, but its answer does not parse.
    #[error("answer of the worker does not parse")]
    Malformed,
}

impl CallError {
    /// Whether the worker surely did nothing.
    #[must_use]
    pub fn had_no_effect(self) -> bool {
        matches!(self, Self::NotSent | Self::Rejected(_))
    }
}

/// Why a call surely started nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotStarted {
    #[error("could not connect to the worker")]
    NotSent,
    /// A token not below this one was used for the task; if it is the same one,
    /// an earlier call started the task and it has ended since.
    #[error("token is stale")]
    TokenStale,
    #[error("task does not fit")]
    DoesNotFit,
    #[error("worker rejected the call with status {0}")]
    Rejected(u16),
}

/// Why it is not known that a task runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    #[error("not started: {0}")]
    NotStarted(#[from] NotStarted),
    /// The task may be running; the same call can be repeated, or the inventory read.
    #[error("uncertain whether the task was started: {0}")]
    Uncertain(CallError),
}

/// Result of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartedTask {
    Started,
    /// An earlier call with this token started it.
    Running,
}

/// Why a call about one token has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The worker neither runs the token nor has its end.
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
        parsed(self.get("worker").send()).await
    }

    /// What runs, and what ended without acknowledgement.
    pub async fn inventory(&self) -> Result<TaskInventory, CallError> {
        parsed(self.get("tasks").send()).await
    }

    /// Starts a task under `token`; the same call may be repeated.
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
        parsed(self.post("leases").send_json(renewal)).await
    }

    /// Stops a task and tells how it ended, also if it ended before.
    pub async fn stop(&self, token: Token, order: StopOrder) -> Result<TaskEnd, TokenError> {
        let path = format!("tasks/{token}/stop");
        let report: StopReport =
            parsed(self.post(&path).send_json(&order)).await.map_err(of_token)?;
        Ok(report.end)
    }

    pub async fn throttle(&self, token: Token, order: ThrottleOrder) -> Result<(), TokenError> {
        let path = format!("tasks/{token}/throttle");
        self.command(&path, &order).await.map_err(of_token)
    }

    pub async fn usage(&self) -> Result<UsageReport, CallError> {
        parsed(self.get("usage").send()).await
    }

    /// Lets the worker forget ended tasks.
    pub async fn acknowledge(&self, acknowledgement: &EndAcknowledgement) -> Result<(), CallError> {
        self.command("ended", acknowledgement).await
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

    async fn command(&self, path: &str, body: &impl Serialize) -> Result<(), CallError> {
        let response = self.post(path).send_json(body).await.map_err(|e| send_failure(&e))?;
        accepted(response.status())
    }
}

async fn parsed<T: DeserializeOwned>(request: SendClientRequest) -> Result<T, CallError> {
    let mut response = request.await.map_err(|error| send_failure(&error))?;
    accepted(response.status())?;
    response.json().limit(MAX_ANSWER_BYTES).await.map_err(|_| CallError::Malformed)
}

fn accepted(status: StatusCode) -> Result<(), CallError> {
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

fn of_token(error: CallError) -> TokenError {
    match error {
        CallError::Rejected(404) => TokenError::UnknownToken,
        error => TokenError::Call(error),
    }
}

fn send_failure(error: &SendRequestError) -> CallError {
    if is_unsent(error) { CallError::NotSent } else { CallError::NoAnswer }
}

/// Whether no byte of the request left this process.
///
/// `awc` also reports `Disconnected` when the peer closes the connection after
/// it has received the request.
fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
