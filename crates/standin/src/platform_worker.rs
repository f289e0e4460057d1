//! Stand-in for the platform's worker: runs, leases, ends, late orders and new
//! lives under the same id.
//!
//! All workers of a test share one [`RunHistory`], which checks that no task
//! runs twice and that nobody exceeds the capacity.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Data, Json, ServiceConfig, post};
use actix_web::{HttpRequest, HttpResponse};
use cactusdoor_node::clock::unix_ms;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::history::lock;
use crate::server::{RunningServer, cut_connection};

/// Between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two looks of a waiting call.
const HOLD_PAUSE: Duration = Duration::from_millis(5);
/// Longest lease.
const LEASE_LIMIT: u64 = 10_000;

/// What went wrong, and what ran, on all workers.
#[derive(Debug, Default)]
pub struct RunHistory {
    /// Tasks that run now, with the worker.
    running: IndexMap<String, (u32, String)>,
    /// Ends `done` by task.
    pub done: IndexMap<String, u32>,
    pub starts: u64,
    pub faults: Vec<String>,
}

impl RunHistory {
    fn start(&mut self, task: &str, run: u32, worker: &str) {
        self.starts += 1;
        if let Some((other, place)) = self.running.get(task) {
            let fault = format!("{task} run {run} on {worker} beside run {other} on {place}");
            self.faults.push(fault);
        }
        if self.done.contains_key(task) {
            self.faults.push(format!("{task} run {run} started after it was done"));
        }
        self.running.insert(task.to_owned(), (run, worker.to_owned()));
    }

    fn end(&mut self, task: &str, run: u32, how: &str) {
        if self.running.get(task).is_some_and(|(known, _)| *known == run) {
            self.running.shift_remove(task);
        }
        if how == "done" {
            *self.done.entry(task.to_owned()).or_insert(0) += 1;
        }
    }
}

struct ActiveRun {
    run: u32,
    ends: Option<Instant>,
    length: Duration,
    begun: Instant,
}

struct WorkerState {
    id: String,
    history: Arc<Mutex<RunHistory>>,
    born: u64,
    origin: Instant,
    fence: u64,
    lease: u64,
    running: IndexMap<String, ActiveRun>,
    last_runs: IndexMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    draining: bool,
    /// Calls are neither carried out nor answered.
    silent: bool,
    /// Start calls that get no answer and are carried out after this time.
    late: Option<Duration>,
    late_starts: Vec<(Instant, StartBody)>,
}

impl WorkerState {
    fn clock(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends what is over and carries out what was held back.
    fn advance(&mut self) {
        let now = Instant::now();
        let due = |(at, _): &(Instant, StartBody)| *at <= now;
        let (due, later) = std::mem::take(&mut self.late_starts).into_iter().partition(due);
        self.late_starts = later;
        let due: Vec<_> = due;
        for (_, body) in due {
            self.start(&body);
        }
        let lapsed = self.lease < self.clock();
        let over: Vec<_> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let done = run.ends.is_some_and(|ends| ends <= now);
                let how = if done { "done" } else { "lapsed" };
                (done || lapsed).then(|| (task.clone(), how))
            })
            .collect();
        for (task, how) in over {
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.shift_remove(task) else { return };
        self.last_end += 1;
        self.ended.push((self.last_end, task.to_owned(), run.run, how));
        lock(&self.history).end(task, run.run, how);
    }

    /// Starts a run, or says why not.
    fn start(&mut self, body: &StartBody) -> Option<&'static str> {
        if body.fencing_token < self.fence {
            return Some("fence");
        }
        self.fence = body.fencing_token;
        self.lease = self.lease.max(body.deadline_ms.min(self.clock() + LEASE_LIMIT));
        if self.running.get(&body.task).is_some_and(|run| run.run == body.run) {
            return None;
        }
        if self.last_runs.get(&body.task).is_some_and(|last| *last >= body.run) {
            return Some("old");
        }
        if body.deadline_ms < self.clock() {
            return Some("late");
        }
        self.last_runs.insert(body.task.clone(), body.run);
        let length = Duration::from_millis(body.spec.parse().unwrap_or_default());
        let begun = Instant::now();
        let ends = (!length.is_zero()).then(|| begun + length);
        self.running.insert(body.task.clone(), ActiveRun { run: body.run, ends, length, begun });
        lock(&self.history).start(&body.task, body.run, &self.id);
        None
    }
}

/// A running worker; its tasks last as many milliseconds as their `spec` says,
/// and those whose `spec` says 0 have no end.
pub struct PlatformWorker {
    server: RunningServer,
    state: Arc<Mutex<WorkerState>>,
    stop: Arc<Mutex<bool>>,
}

impl PlatformWorker {
    /// Listens at `address` and reports itself at `agent`.
    pub fn spawn(
        id: &str,
        address: SocketAddr,
        agent: SocketAddr,
        zone: &str,
        history: Arc<Mutex<RunHistory>>,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(WorkerState {
            id: id.to_owned(),
            history,
            born: unix_ms(),
            origin: Instant::now(),
            fence: 0,
            lease: 0,
            running: IndexMap::new(),
            last_runs: IndexMap::new(),
            ended: Vec::new(),
            last_end: 0,
            draining: false,
            silent: false,
            late: None,
            late_starts: Vec::new(),
        }));
        let shared = Data::from(Arc::clone(&state));
        let server = RunningServer::spawn(address, 1, move |config: &mut ServiceConfig| {
            config
                .app_data(shared.clone())
                .route("/run-start", post().to(run_start))
                .route("/run-stop", post().to(run_stop))
                .route("/hold", post().to(hold))
                .route("/pace", post().to(pace));
        })?;
        let stop = Arc::new(Mutex::new(false));
        let worker = Self { server, state, stop };
        worker.announce(agent, zone.to_owned());
        Ok(worker)
    }

    fn announce(&self, agent: SocketAddr, zone: String) {
        let (state, stop) = (Arc::clone(&self.state), Arc::clone(&self.stop));
        let address = self.server.address();
        std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let client = awc::Client::default();
                let mut number = 0;
                while !*lock(&stop) {
                    number += 1;
                    let (id, body) = describe(&lock(&state), address, &zone, number);
                    let call = client
                        .post(format!("http://{agent}/instances/{id}/heartbeat"))
                        .timeout(Duration::from_secs(1));
                    if let Err(error) = call.send_json(&body).await {
                        log::debug!("announcement was not taken: {error}");
                    }
                    tokio::time::sleep(ANNOUNCE_INTERVAL).await;
                }
            });
        });
    }

    /// Crashes and starts anew under the same id.
    pub fn rebirth(&self) {
        let mut state = lock(&self.state);
        let running: Vec<_> = state.running.keys().cloned().collect();
        for task in running {
            state.end(&task, "lapsed");
        }
        state.born = unix_ms();
        state.origin = Instant::now();
        (state.fence, state.lease, state.last_end) = (0, 0, 0);
        state.last_runs.clear();
        state.ended.clear();
        state.late_starts.clear();
    }

    pub fn drain(&self) {
        lock(&self.state).draining = true;
    }

    /// Makes the worker deaf to calls; its tasks run on, and it reports itself.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Leaves starts unanswered and carries them out later; `None` ends that.
    pub fn set_late(&self, late: Option<Duration>) {
        lock(&self.state).late = late;
    }

    #[must_use]
    pub fn running(&self) -> usize {
        let mut state = lock(&self.state);
        state.advance();
        state.running.len()
    }
}

impl Drop for PlatformWorker {
    fn drop(&mut self) {
        *lock(&self.stop) = true;
    }
}

fn describe(state: &WorkerState, address: SocketAddr, zone: &str, number: u64) -> (String, Value) {
    let body = json!({
        "service": "minutes", "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 8, "state": if state.draining { "draining" } else { "ready" },
        "coldRemainingMs": 0, "remainingMs": 2_000,
        "capacity": {"cpu": 8_000, "memMb": 32_000, "gpu": 0}, "labels": ["a", "r1"],
        "clockMs": state.clock(), "seqNo": number, "born": state.born,
    });
    (state.id.clone(), body)
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct StartBody {
    task: String,
    run: u32,
    #[serde(default)]
    spec: String,
    deadline_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

async fn run_start(
    state: Data<Mutex<WorkerState>>,
    body: Json<StartBody>,
    request: HttpRequest,
) -> HttpResponse {
    let mut state = lock(&state);
    state.advance();
    if state.silent {
        cut_connection(&request);
        return HttpResponse::Ok().finish();
    }
    if let Some(late) = state.late {
        state.late_starts.push((Instant::now() + late, body.into_inner()));
        cut_connection(&request);
        return HttpResponse::Ok().finish();
    }
    let refusal = state.start(&body);
    answer(&state, refusal)
}

fn answer(state: &WorkerState, refusal: Option<&'static str>) -> HttpResponse {
    let clock = state.clock();
    match refusal {
        None => HttpResponse::Ok().json(json!({"clockMs": clock})),
        Some(reason) => HttpResponse::Conflict().json(json!({"clockMs": clock, "reason": reason})),
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StopBody {
    task: String,
    run: u32,
    fencing_token: u64,
}

async fn run_stop(
    state: Data<Mutex<WorkerState>>,
    body: Json<StopBody>,
    request: HttpRequest,
) -> HttpResponse {
    let mut state = lock(&state);
    state.advance();
    if state.silent {
        cut_connection(&request);
        return HttpResponse::Ok().finish();
    }
    if body.fencing_token < state.fence {
        return answer(&state, Some("fence"));
    }
    let last = state.last_runs.entry(body.task.clone()).or_insert(0);
    *last = (*last).max(body.run);
    if state.running.get(&body.task).is_some_and(|run| run.run == body.run) {
        state.end(&body.task, "stopped");
    }
    answer(&state, None)
}

async fn pace(state: Data<Mutex<WorkerState>>) -> HttpResponse {
    answer(&lock(&state), None)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HoldBody {
    deadline_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn hold(
    state: Data<Mutex<WorkerState>>,
    body: Json<HoldBody>,
    request: HttpRequest,
) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(body.wait_ms);
    {
        let mut state = lock(&state);
        state.advance();
        if state.silent {
            cut_connection(&request);
            return HttpResponse::Ok().finish();
        }
        if body.fencing_token < state.fence {
            return answer(&state, Some("fence"));
        }
        state.fence = body.fencing_token;
        if let Some(deadline) = body.deadline_ms {
            state.lease = state.lease.max(deadline.min(state.clock() + LEASE_LIMIT));
        }
        state.ended.retain(|(number, ..)| *number > body.last_seen);
    }
    loop {
        {
            let mut state = lock(&state);
            state.advance();
            if !state.ended.is_empty() || Instant::now() >= until {
                return HttpResponse::Ok().json(listing(&state));
            }
        }
        tokio::time::sleep(HOLD_PAUSE).await;
    }
}

fn listing(state: &WorkerState) -> Value {
    let percent = |run: &ActiveRun| match run.length.as_millis() {
        0 => 100,
        length => (run.begun.elapsed().as_millis() * 100 / length).min(99),
    };
    let running: Vec<_> = state
        .running
        .iter()
        .map(|(task, run)| json!([task, run.run, "", percent(run), 0]))
        .collect();
    let ended: Vec<_> = state
        .ended
        .iter()
        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
        .collect();
    json!({"clockMs": state.clock(), "born": state.born, "running": running, "ended": ended})
}
