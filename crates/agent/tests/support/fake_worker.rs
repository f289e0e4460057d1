//! A fake platform worker that runs tasks until they are stopped or ended by a test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use actix_web::dev::ServerHandle;
use actix_web::web::{Data, Json, Path, get, post, put};
use actix_web::{App, HttpResponse, HttpServer, Responder};
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_worker::{
    EndAcknowledgement, EndedTask, LeaseRenewal, RenewalReply, RunningTask, StopOrder, StopReport,
    TaskEnd, TaskInventory, TaskLaunch, UsageReport, WorkerStatus,
};

/// How the worker handles a start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartMode {
    #[default]
    Run,
    /// Runs the task and answers with an error.
    RunAndFail,
    /// Does nothing and answers with an error.
    Fail,
    /// Refuses the task.
    Refuse,
}

#[derive(Default)]
pub struct WorkerState {
    pub mode: StartMode,
    pub running: BTreeMap<Token, RunningTask>,
    pub ended: BTreeMap<Token, EndedTask>,
    /// Tokens of all starts received.
    pub starts: Vec<Token>,
    pub stops: Vec<(Token, StopOrder)>,
    pub renewals: Vec<(Vec<Token>, Millis)>,
    pub acknowledged: Vec<Token>,
}

impl WorkerState {
    pub fn end(&mut self, token: Token, end: TaskEnd) {
        if let Some(task) = self.running.remove(&token) {
            self.ended.insert(token, EndedTask { token, task: task.task, end });
        }
    }
}

pub struct FakeWorker {
    pub address: SocketAddr,
    state: Arc<Mutex<WorkerState>>,
    server: ServerHandle,
}

impl FakeWorker {
    pub fn spawn() -> Self {
        Self::spawn_at("127.0.0.1:0".parse().unwrap())
    }

    pub fn spawn_at(address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(WorkerState::default()));
        let shared = Data::from(Arc::clone(&state));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(shared.clone())
                .route("/v1/worker", get().to(status))
                .route("/v1/tasks", get().to(tasks))
                .route("/v1/tasks/{token}", put().to(start))
                .route("/v1/tasks/{token}/stop", post().to(stop))
                .route("/v1/tasks/{token}/throttle", post().to(HttpResponse::NoContent))
                .route("/v1/leases", post().to(renew))
                .route("/v1/usage", get().to(usage))
                .route("/v1/ended", post().to(acknowledge))
        });
        let server = server.workers(1).disable_signals().bind(address).unwrap();
        let address = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Self { address, state, server: handle }
    }

    pub fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap()
    }
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        drop(self.server.stop(false));
    }
}

type Shared = Data<Mutex<WorkerState>>;

async fn status() -> impl Responder {
    Json(WorkerStatus { capacity: super::capacity(), boot: 1 })
}

async fn tasks(state: Shared) -> impl Responder {
    let state = state.lock().unwrap();
    let running = state.running.values().cloned().collect();
    Json(TaskInventory { running, ended: state.ended.values().cloned().collect() })
}

async fn start(state: Shared, token: Path<Token>, launch: Json<TaskLaunch>) -> impl Responder {
    let (token, launch) = (token.into_inner(), launch.into_inner());
    let mut state = state.lock().unwrap();
    state.starts.push(token);
    if matches!(state.mode, StartMode::Run | StartMode::RunAndFail) {
        let task = RunningTask {
            token,
            task: launch.task,
            kind: launch.kind,
            need: launch.need,
            throttle_percent: 100,
            lease_left_ms: launch.lease_ms,
        };
        state.running.insert(token, task);
    }
    match state.mode {
        StartMode::Run => HttpResponse::Created().finish(),
        StartMode::Refuse => HttpResponse::InsufficientStorage().finish(),
        StartMode::RunAndFail | StartMode::Fail => HttpResponse::InternalServerError().finish(),
    }
}

async fn stop(state: Shared, token: Path<Token>, order: Json<StopOrder>) -> impl Responder {
    let token = token.into_inner();
    let mut state = state.lock().unwrap();
    state.stops.push((token, *order));
    let checkpoint = order.checkpoint.then(|| format!("checkpoint-{token}").parse().unwrap());
    state.end(token, TaskEnd::Stopped { checkpoint });
    match state.ended.get(&token) {
        Some(task) => HttpResponse::Ok().json(StopReport { end: task.end.clone() }),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn renew(state: Shared, renewal: Json<LeaseRenewal>) -> impl Responder {
    let LeaseRenewal { tokens, lease_ms } = renewal.into_inner();
    let mut state = state.lock().unwrap();
    let lapsed = tokens.iter().copied().filter(|t| !state.running.contains_key(t)).collect();
    state.renewals.push((tokens, lease_ms));
    Json(RenewalReply { lapsed })
}

async fn usage() -> impl Responder {
    Json(UsageReport::default())
}

async fn acknowledge(state: Shared, ends: Json<EndAcknowledgement>) -> impl Responder {
    let mut state = state.lock().unwrap();
    for token in &ends.tokens {
        state.ended.remove(token);
    }
    state.acknowledged.extend(&ends.tokens);
    HttpResponse::NoContent()
}
