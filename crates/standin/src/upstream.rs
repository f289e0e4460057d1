//! Stand-in for an upstream: a service instance that announces itself to the
//! agent beside it and records every execution.

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

/// Pause before a broken answer is cut, so that its first half is sent.
const BREAK_PAUSE: Duration = Duration::from_millis(20);

/// What the upstream is like.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Name in the history.
    pub name: String,
    pub service: ServiceName,
    /// Where the agent takes announcements; none are made if absent.
    pub agent: Option<SocketAddr>,
    /// Address in the announcement, if it is not the upstream's own.
    pub announced: Option<SocketAddr>,
    /// Requests executed at the same time; others wait.
    pub slots: u32,
    /// Connections that may carry requests; others are closed.
    pub connections: u32,
    pub service_time_ms: Millis,
    pub answer_bytes: usize,
    /// File for the history, as JSON lines.
    pub history: Option<PathBuf>,
}

/// Faults; setting one replaces all earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFault {
    /// Added to every service time.
    pub slow_ms: Millis,
    /// Executed requests whose answers end in the middle.
    pub break_answers: u32,
    /// Executed requests that are not answered.
    pub lose_answers: u32,
    /// Status of all answers.
    pub status: Option<u16>,
    /// Connections are refused for this time; those in progress break.
    pub refuse_ms: Millis,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionChange {
    /// A slot took it; `leaving_us` is the time since the upstream began to leave.
    Started {
        leaving_us: Option<UnixMicros>,
    },
    Completed,
    /// The upstream ended first.
    Interrupted,
}

/// The start or end of an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionHistory {
    pub upstream: String,
    pub time_unix_us: UnixMicros,
    /// Number of the execution at this upstream.
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

/// Body of an answer; tells which request it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    pub upstream: String,
    pub execution: u64,
    pub request_id: String,
    pub key: Option<String>,
    /// XXH3 of the request body.
    pub body_digest: u64,
    /// Fills the answer up to the requested size.
    pub padding: String,
}

/// A request body may set these; headers `X-Service-Time-Ms` and
/// `X-Answer-Bytes` take precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestWishes {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service_time_ms: Option<Millis>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_bytes: Option<usize>,
}

/// State of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub leaving: bool,
    /// When the agent acknowledged that the upstream leaves.
    pub withdrawn_unix_us: Option<UnixMicros>,
    /// Requests received and not yet completed.
    pub in_progress: usize,
    pub executions: u64,
    /// Connections closed because there were too many.
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

    /// Tells the agent that the upstream leaves; requests in progress complete.
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
    state.keep_server(server);
    Ok(address)
}

/// Sets a fault; ends the listener for a time if connections are to be refused.
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
            log::error!("could not listen on {address} again: {error}");
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
    // A task of its own: the work goes on when the agent closes the connection.
    let work = spawn(UpstreamState::execute(state.clone(), headers, body));
    match work.await {
        Ok(execution) => answer(&state, request, execution),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

fn answer(state: &UpstreamState, request: HttpRequest, execution: Execution) -> HttpResponse {
    let fate = state.next_fate();
    let mut response = HttpResponse::build(fate.status);
    response.content_type("application/json");
    if fate.lose {
        cut_connection(&request);
    }
    if !fate.break_off {
        return response.body(execution.answer);
    }
    let length = execution.answer.len();
    let half = execution.answer.slice(..length / 2);
    let cut = once(async move {
        tokio::time::sleep(BREAK_PAUSE).await;
        cut_connection(&request);
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    let parts = iter([Ok::<_, io::Error>(half)]).chain(cut);
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
