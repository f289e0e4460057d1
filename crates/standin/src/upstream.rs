//! HTTP interface of the upstream stand-in: a service instance that announces
//! itself to the agent of its VM, answers requests after a configured service
//! time, and records every execution.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use actix_web::rt::spawn;
use actix_web::web::{Bytes, Data, Json, ServiceConfig, get, post};
use actix_web::{HttpRequest, HttpResponse};
use cactusdoor_core::name::ServiceName;
use cactusdoor_core::unit::Millis;
use futures::StreamExt;
use futures::stream::{iter, once};
use serde::{Deserialize, Serialize};

use crate::announcer;
use crate::history::UnixMicros;
use crate::server::{RunningServer, cut_connection};
use crate::upstream_state::{CallHeaders, Execution, UpstreamState};

/// Delay before the connection of a truncated answer is cut, so that the first half is sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Identity, limits and defaults of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Name of the upstream in the history.
    pub name: String,
    pub service: ServiceName,
    /// Address of the agent for announcements; none are sent if absent.
    pub agent: Option<SocketAddr>,
    /// Address to announce instead of the one that the upstream listens on.
    pub announced: Option<SocketAddr>,
    /// Requests executed concurrently; others wait.
    pub slots: u32,
    /// Connections that may carry requests; others are closed.
    pub connections: u32,
    /// Default service time of a request.
    pub service_time_ms: Millis,
    /// Default size of an answer.
    pub answer_bytes: usize,
    /// File for the history, as JSON lines.
    pub history: Option<PathBuf>,
}

/// Injected faults; setting them replaces all earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFault {
    /// Added to every service time.
    pub slow_ms: Millis,
    /// Number of executed requests whose answers end in the middle.
    pub break_answers: u32,
    /// Number of executed requests that get no answer.
    pub lose_answers: u32,
    /// Status of all answers.
    pub status: Option<u16>,
    /// Time for which connections are refused; existing ones are closed.
    pub refuse_ms: Millis,
}

/// Start or end in a history record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionChange {
    /// The request got a slot; `leaving_us` is the time since the upstream began to leave.
    Started {
        leaving_us: Option<UnixMicros>,
    },
    Completed,
    /// The upstream ended before the request was completed.
    Interrupted,
}

/// History record of the start or end of an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionHistory {
    pub upstream: String,
    pub time_unix_us: UnixMicros,
    /// Number of the execution at this upstream, from 1.
    pub execution: u64,
    pub request_id: String,
    /// Idempotency key of a binding request.
    pub key: Option<String>,
    pub plan: String,
    pub service: String,
    /// XXH3 of the request body.
    pub body_digest: u64,
    pub change: ExecutionChange,
}

/// Body of an answer; identifies the request that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    pub upstream: String,
    pub execution: u64,
    pub request_id: String,
    pub key: Option<String>,
    /// XXH3 of the request body.
    pub body_digest: u64,
    /// Fills the answer to the requested size.
    pub padding: String,
}

/// Service time and answer size that a request body may set; the headers
/// `X-Service-Time-Ms` and `X-Answer-Bytes` take precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestParameters {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service_time_ms: Option<Millis>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_bytes: Option<usize>,
}

/// Answer of `/status`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub leaving: bool,
    /// When the agent acknowledged the withdrawal.
    pub withdrawn_unix_us: Option<UnixMicros>,
    /// Requests received and not yet completed.
    pub in_progress: usize,
    pub executions: u64,
    /// Connections closed because the limit was reached.
    pub over_limit: u64,
}

/// Handle to a running upstream; dropping it ends the upstream without notice.
pub struct UpstreamStandin {
    address: SocketAddr,
    state: Arc<UpstreamState>,
}

impl UpstreamStandin {
    /// Listens on `address`; port 0 selects a free one.
    pub fn spawn(address: SocketAddr, options: UpstreamOptions) -> io::Result<Self> {
        let state = Arc::new(UpstreamState::open(options)?);
        let address = listen(&state, address)?;
        announcer::spawn(&state, address);
        Ok(Self { address, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_fault(&self, fault: UpstreamFault) {
        set_fault(&self.state, self.address, fault);
    }

    /// Withdraws the upstream from the agent; requests in progress still complete.
    pub fn leave(&self) {
        self.state.leave();
    }

    #[must_use]
    pub fn status(&self) -> UpstreamStatus {
        self.state.status()
    }

    #[must_use]
    pub fn history(&self) -> Vec<ExecutionHistory> {
        self.state.history.records()
    }
}

impl Drop for UpstreamStandin {
    fn drop(&mut self) {
        self.state.close();
    }
}

fn listen(state: &Arc<UpstreamState>, address: SocketAddr) -> io::Result<SocketAddr> {
    let data = Data::from(state.clone());
    let server = RunningServer::spawn(address, 1, move |config| {
        configure(config, data.clone());
    })?;
    let address = server.address();
    state.store_server(server);
    Ok(address)
}

/// Injects a fault; closes the listener and its connections for `refuse_ms`.
fn set_fault(state: &Arc<UpstreamState>, address: SocketAddr, fault: UpstreamFault) {
    let refusal = Duration::from_millis(fault.refuse_ms);
    state.set_fault(fault);
    if refusal.is_zero() {
        return;
    }
    let state = state.clone();
    std::thread::spawn(move || {
        drop(state.take_server());
        std::thread::sleep(refusal);
        if let Err(error) = listen(&state, address) {
            log::error!("upstream could not listen on {address} again: {error}");
        }
    });
}

fn configure(config: &mut ServiceConfig, state: Data<UpstreamState>) {
    config
        .app_data(state)
        .route("/v1/requests", post().to(execute))
        .route("/fault", post().to(post_fault))
        .route("/leave", post().to(leave))
        .route("/status", get().to(status))
        .route("/history", get().to(history));
}

async fn execute(state: Data<UpstreamState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let state = state.into_inner();
    if !state.admit_connection(&request) {
        cut_connection(&request);
        return HttpResponse::ServiceUnavailable().finish();
    }
    let headers = CallHeaders::read(&request);
    // Spawned, so that the execution continues when the agent closes the connection.
    let execution = spawn(UpstreamState::execute(state.clone(), headers, body));
    match execution.await {
        Ok(execution) => answer(&state, request, execution),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

fn answer(state: &UpstreamState, request: HttpRequest, execution: Execution) -> HttpResponse {
    let fault = state.take_answer_fault();
    let mut response = HttpResponse::build(fault.status);
    response.content_type("application/json");
    if fault.lost {
        cut_connection(&request);
    }
    if !fault.truncated {
        return response.body(execution.answer);
    }
    let length = execution.answer.len();
    let first_half = execution.answer.slice(..length / 2);
    let cut = once(async move {
        tokio::time::sleep(TRUNCATION_DELAY).await;
        cut_connection(&request);
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    let parts = iter([Ok::<_, io::Error>(first_half)]).chain(cut);
    response.no_chunking(length as u64).streaming(Box::pin(parts))
}

async fn post_fault(
    state: Data<UpstreamState>,
    request: HttpRequest,
    fault: Json<UpstreamFault>,
) -> HttpResponse {
    let address = request.app_config().local_addr();
    set_fault(&state.into_inner(), address, fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn leave(state: Data<UpstreamState>) -> HttpResponse {
    state.leave();
    HttpResponse::Accepted().finish()
}

async fn status(state: Data<UpstreamState>) -> HttpResponse {
    HttpResponse::Ok().json(state.status())
}

async fn history(state: Data<UpstreamState>) -> HttpResponse {
    HttpResponse::Ok().json(state.history.records())
}
