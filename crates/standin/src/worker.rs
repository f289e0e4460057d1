//! HTTP interface of the worker stand-in, which runs simulated tasks under leases.
//!
//! The worker enforces capacity, leases and fencing tokens itself and records
//! every start and stop, so that checks need not trust the processes under test.
//! It does not run in the process of its VM's agent and keeps running when the
//! agent ends.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use actix_web::rt::spawn;
use actix_web::web::{Data, Json, Path, ServiceConfig, get, post, put};
use actix_web::{HttpRequest, HttpResponse};
use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::{CheckpointName, TaskKind};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_worker::{
    EndAcknowledgement, LeaseRenewal, StopOrder, StopReport, TaskLaunch, ThrottleOrder,
};
use serde::{Deserialize, Serialize};

use crate::history::{UnixMicros, unix_us};
use crate::server::{RunningServer, cut_connection};
use crate::task_simulator::TaskBehaviour;
use crate::worker_state::{StartOutcome, WorkerState};

/// Time between two usage samples, and between two checks for ended tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Capacity and behaviour of the simulated VM.
#[derive(Clone, Debug, Default)]
pub struct WorkerOptions {
    /// Name of the worker in the history.
    pub name: String,
    pub capacity: ResourceVector,
    pub behaviour: TaskBehaviour,
    /// Age of the reported usage.
    pub usage_lag_ms: Millis,
    /// File for the history, as JSON lines.
    pub history: Option<PathBuf>,
}

/// Injected faults; setting them replaces all earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFault {
    /// Every call gets status 503 and has no effect.
    pub refuse: bool,
    /// Delay before a call takes effect, which it does even if the agent gives up.
    pub delay_ms: Millis,
    /// Number of calls that take effect and get no answer.
    pub lose_answers: u32,
    /// Every task started from now on fails.
    pub fail_tasks: bool,
    /// Every task of these kinds started from now on fails.
    pub fail_kinds: Vec<TaskKind>,
    /// Run time at full speed after which a failing task fails.
    pub fail_after_ms: Millis,
    /// Replaces the behaviour from the options.
    pub behaviour: Option<TaskBehaviour>,
    /// Replaces the age of the reported usage.
    pub usage_lag_ms: Option<Millis>,
}

/// Why a task stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    Finished,
    Failed,
    /// The lease expired.
    Lapsed,
    /// The agent ordered the stop.
    Ordered {
        checkpoint: Option<CheckpointName>,
    },
    /// The VM restarted.
    Crashed,
}

/// Start or stop in a history record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskChange {
    Started { checkpoint: Option<CheckpointName> },
    Stopped(StopReason),
}

/// History record of the start or stop of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskHistory {
    pub worker: String,
    /// Differs after each restart of the VM.
    pub boot: u64,
    pub time_unix_us: UnixMicros,
    pub task: TaskId,
    pub token: Token,
    pub kind: TaskKind,
    pub need: ResourceVector,
    pub change: TaskChange,
}

/// Handle to a running worker; dropping it ends the worker.
pub struct WorkerStandin {
    server: RunningServer,
    state: Arc<WorkerState>,
}

impl WorkerStandin {
    /// Listens on `address`; port 0 selects a free one.
    pub fn spawn(address: SocketAddr, options: WorkerOptions) -> io::Result<Self> {
        let state = Arc::new(WorkerState::open(options)?);
        let data = Data::from(state.clone());
        let server =
            RunningServer::spawn(address, 1, move |config| configure(config, data.clone()))?;
        let weak_state = Arc::downgrade(&state);
        std::thread::spawn(move || {
            while let Some(state) = weak_state.upgrade() {
                state.tick();
                drop(state);
                std::thread::sleep(TICK_INTERVAL);
            }
        });
        Ok(Self { server, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn set_fault(&self, fault: WorkerFault) {
        self.state.set_fault(fault);
    }

    /// Ends all tasks and discards ends, tokens and usage samples, as a restart of the
    /// VM does.
    pub fn restart_vm(&self) {
        self.state.restart_vm();
    }

    /// All starts and stops up to now, in order of time.
    #[must_use]
    pub fn history(&self) -> Vec<TaskHistory> {
        self.state.history()
    }
}

fn configure(config: &mut ServiceConfig, state: Data<WorkerState>) {
    config
        .app_data(state)
        .route("/v1/worker", get().to(status))
        .route("/v1/tasks", get().to(inventory))
        .route("/v1/tasks/{token}", put().to(start))
        .route("/v1/leases", post().to(renew))
        .route("/v1/tasks/{token}/stop", post().to(stop))
        .route("/v1/tasks/{token}/throttle", post().to(throttle))
        .route("/v1/usage", get().to(usage))
        .route("/v1/ended", post().to(acknowledge))
        .route("/fault", post().to(set_fault))
        .route("/restart", post().to(restart))
        .route("/history", get().to(history));
}

/// Performs a call under the injected faults.
async fn perform<F>(state: Data<WorkerState>, request: HttpRequest, effect: F) -> HttpResponse
where
    F: FnOnce(&WorkerState) -> HttpResponse + 'static,
{
    let fault = state.fault();
    if fault.refuse {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let task_state = state.clone();
    // Spawned, because actix drops the handler when the agent closes its connection.
    let call = spawn(async move {
        tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        effect(&task_state)
    });
    let response = call.await.unwrap_or_else(|_| HttpResponse::InternalServerError().finish());
    if state.loses_answer() {
        cut_connection(&request);
    }
    response
}

async fn status(state: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    perform(state, request, |state| HttpResponse::Ok().json(state.status())).await
}

async fn inventory(state: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    perform(state, request, |state| HttpResponse::Ok().json(state.inventory())).await
}

async fn start(
    state: Data<WorkerState>,
    token: Path<Token>,
    launch: Json<TaskLaunch>,
    request: HttpRequest,
) -> HttpResponse {
    let received = unix_us();
    perform(state, request, move |state| match state.start(*token, launch.into_inner(), received) {
        StartOutcome::Started => HttpResponse::Created().finish(),
        StartOutcome::Running => HttpResponse::Ok().finish(),
        StartOutcome::TokenStale => HttpResponse::Conflict().finish(),
        StartOutcome::DoesNotFit => HttpResponse::InsufficientStorage().finish(),
        StartOutcome::BadCheckpoint => HttpResponse::BadRequest().finish(),
    })
    .await
}

async fn renew(
    state: Data<WorkerState>,
    renewal: Json<LeaseRenewal>,
    request: HttpRequest,
) -> HttpResponse {
    let received = unix_us();
    perform(state, request, move |state| HttpResponse::Ok().json(state.renew(&renewal, received)))
        .await
}

async fn stop(
    state: Data<WorkerState>,
    token: Path<Token>,
    order: Json<StopOrder>,
    request: HttpRequest,
) -> HttpResponse {
    perform(state, request, move |state| match state.stop(*token, *order) {
        Some(end) => HttpResponse::Ok().json(StopReport { end }),
        None => HttpResponse::NotFound().finish(),
    })
    .await
}

async fn throttle(
    state: Data<WorkerState>,
    token: Path<Token>,
    order: Json<ThrottleOrder>,
    request: HttpRequest,
) -> HttpResponse {
    if !(1..=100).contains(&order.percent) {
        return HttpResponse::BadRequest().finish();
    }
    perform(state, request, move |state| {
        if state.throttle(*token, order.percent) {
            HttpResponse::NoContent().finish()
        } else {
            HttpResponse::NotFound().finish()
        }
    })
    .await
}

async fn usage(state: Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    perform(state, request, |state| HttpResponse::Ok().json(state.usage())).await
}

async fn acknowledge(
    state: Data<WorkerState>,
    acknowledgement: Json<EndAcknowledgement>,
    request: HttpRequest,
) -> HttpResponse {
    perform(state, request, move |state| {
        state.acknowledge(&acknowledgement.tokens);
        HttpResponse::NoContent().finish()
    })
    .await
}

async fn set_fault(state: Data<WorkerState>, fault: Json<WorkerFault>) -> HttpResponse {
    state.set_fault(fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn restart(state: Data<WorkerState>) -> HttpResponse {
    state.restart_vm();
    HttpResponse::NoContent().finish()
}

async fn history(state: Data<WorkerState>) -> HttpResponse {
    HttpResponse::Ok().json(state.history())
}
