//! Stand-in for the platform's worker: it runs simulated tasks under a lease,
//! checks fencing tokens, and announces itself to an agent. It refuses calls that name
//! another worker.
//!
//! Tests can make it ignore calls, start runs late, refuse starts, drain, or restart as a
//! new incarnation under the same id. All workers of a test share one
//! [`RunHistory`], which reports a task that runs in two places at once or
//! starts again after it was done.

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

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two polls of a long-poll `/hold`.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest lease that the worker accepts, from the time of the call.
const MAX_LEASE_MS: u64 = 10_000;

/// Runs on all workers of a test, and the violations among them.
#[derive(Debug, Default)]
pub struct RunHistory {
    /// Number of the run and id of the worker, by running task.
    running: IndexMap<String, (u32, String)>,
    /// Number of ends as `done`, by task.
    pub done: IndexMap<String, u32>,
    pub starts: u64,
    /// Descriptions of starts of tasks that were already running or done.
    pub violations: Vec<String>,
}

impl RunHistory {
    fn record_start(&mut self, task: &str, run: u32, worker: &str) {
        self.starts += 1;
        if let Some((other_run, other_worker)) = self.running.get(task) {
            let violation = format!(
                "{task}: run {run} on {worker} started while run {other_run} was on {other_worker}"
            );
            self.violations.push(violation);
        }
        if self.done.contains_key(task) {
            self.violations.push(format!("{task}: run {run} started after the task was done"));
        }
        self.running.insert(task.to_owned(), (run, worker.to_owned()));
    }

    fn record_end(&mut self, task: &str, run: u32, result: &str) {
        if self.running.get(task).is_some_and(|(current, _)| *current == run) {
            self.running.shift_remove(task);
        }
        if result == "done" {
            *self.done.entry(task.to_owned()).or_insert(0) += 1;
        }
    }
}

struct ActiveRun {
    run: u32,
    /// Time at which it finishes; absent for an endless run.
    finishes: Option<Instant>,
    /// Zero for an endless run.
    run_time: Duration,
    started: Instant,
}

struct WorkerState {
    id: String,
    history: Arc<Mutex<RunHistory>>,
    /// Start of this incarnation, in Unix milliseconds.
    born: u64,
    /// Start of the worker's clock.
    clock_start: Instant,
    /// Highest fencing token of a start or `/hold` call.
    fence: u64,
    /// End of the lease, in milliseconds of the worker's clock.
    lease_end: u64,
    running: IndexMap<String, ActiveRun>,
    /// Highest run number seen, by task; the worker starts only higher ones.
    last_runs: IndexMap<String, u32>,
    /// Unacknowledged ends: number of the end, task, run and result.
    ended: Vec<(u64, String, u32, &'static str)>,
    /// Number of the latest end.
    last_end: u64,
    draining: bool,
    /// Whether calls are neither carried out nor answered.
    unresponsive: bool,
    /// Delay of start calls, which then get no answer.
    start_delay: Option<Duration>,
    /// Whether starts are refused with 503 and have no effect.
    refuses_starts: bool,
    /// Start calls that are carried out at the given time.
    delayed_starts: Vec<(Instant, StartBody)>,
}

impl WorkerState {
    /// Milliseconds since the start of this incarnation.
    fn clock(&self) -> u64 {
        u64::try_from(self.clock_start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Carries out delayed starts that are due, and ends the runs that have
    /// finished or whose lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let is_due = |(at, _): &(Instant, StartBody)| *at <= now;
        let (due, later) = std::mem::take(&mut self.delayed_starts).into_iter().partition(is_due);
        self.delayed_starts = later;
        let due: Vec<_> = due;
        for (_, body) in due {
            self.start_run(&body);
        }
        let lapsed = self.lease_end < self.clock();
        let ended: Vec<_> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let done = run.finishes.is_some_and(|finishes| finishes <= now);
                let result = if done { "done" } else { "lapsed" };
                (done || lapsed).then(|| (task.clone(), result))
            })
            .collect();
        for (task, result) in ended {
            self.end_run(&task, result);
        }
    }

    fn end_run(&mut self, task: &str, result: &'static str) {
        let Some(run) = self.running.shift_remove(task) else { return };
        self.last_end += 1;
        self.ended.push((self.last_end, task.to_owned(), run.run, result));
        lock(&self.history).record_end(task, run.run, result);
    }

    /// Starts a run; returns the reason if the worker refuses it.
    fn start_run(&mut self, body: &StartBody) -> Option<&'static str> {
        if body.fencing_token < self.fence {
            return Some("fence");
        }
        self.fence = body.fencing_token;
        self.lease_end = self.lease_end.max(body.deadline_ms.min(self.clock() + MAX_LEASE_MS));
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
        let run_time = Duration::from_millis(body.spec.parse().unwrap_or_default());
        let started = Instant::now();
        let finishes = (!run_time.is_zero()).then(|| started + run_time);
        self.running
            .insert(body.task.clone(), ActiveRun { run: body.run, finishes, run_time, started });
        lock(&self.history).record_start(&body.task, body.run, &self.id);
        None
    }
}

/// Handle to a running worker; dropping it ends the worker.
///
/// The `spec` of a task is its run time in milliseconds; 0 means without end.
pub struct PlatformWorker {
    server: RunningServer,
    state: Arc<Mutex<WorkerState>>,
    stopped: Arc<Mutex<bool>>,
}

impl PlatformWorker {
    /// Listens on `address` and announces itself to `agent`.
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
            clock_start: Instant::now(),
            fence: 0,
            lease_end: 0,
            running: IndexMap::new(),
            last_runs: IndexMap::new(),
            ended: Vec::new(),
            last_end: 0,
            draining: false,
            unresponsive: false,
            start_delay: None,
            refuses_starts: false,
            delayed_starts: Vec::new(),
        }));
        let shared = Data::from(Arc::clone(&state));
        let server = RunningServer::spawn(address, 1, move |config: &mut ServiceConfig| {
            config
                .app_data(shared.clone())
                .route("/run-start", post().to(run_start))
                .route("/run-stop", post().to(run_stop))
                .route("/hold", post().to(hold))
                .route("/pace", post().to(throttle));
        })?;
        let stopped = Arc::new(Mutex::new(false));
        let worker = Self { server, state, stopped };
        worker.announce(agent, zone.to_owned());
        Ok(worker)
    }

    fn announce(&self, agent: SocketAddr, zone: String) {
        let (state, stopped) = (Arc::clone(&self.state), Arc::clone(&self.stopped));
        let address = self.server.address();
        std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let client = awc::Client::default();
                let mut seq_no = 0;
                while !*lock(&stopped) {
                    seq_no += 1;
                    let (id, body) = announcement(&lock(&state), address, &zone, seq_no);
                    let call = client
                        .post(format!("http://{agent}/instances/{id}/heartbeat"))
                        .timeout(Duration::from_secs(1));
                    if let Err(error) = call.send_json(&body).await {
                        log::debug!("could not announce worker {id} to agent {agent}: {error}");
                    }
                    tokio::time::sleep(ANNOUNCE_INTERVAL).await;
                }
            });
        });
    }

    /// Ends all runs as a crash does, and starts a new incarnation under the same id.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        let running: Vec<_> = state.running.keys().cloned().collect();
        for task in running {
            state.end_run(&task, "lapsed");
        }
        state.born = unix_ms();
        state.clock_start = Instant::now();
        (state.fence, state.lease_end, state.last_end) = (0, 0, 0);
        state.last_runs.clear();
        state.ended.clear();
        state.delayed_starts.clear();
    }

    /// Announces the worker as draining from now on.
    pub fn drain(&self) {
        lock(&self.state).draining = true;
    }

    /// Makes the worker ignore calls; its tasks run on, and it still announces itself.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        lock(&self.state).unresponsive = unresponsive;
    }

    /// Carries out start calls after this delay, without an answer; `None` ends the fault.
    pub fn set_start_delay(&self, delay: Option<Duration>) {
        lock(&self.state).start_delay = delay;
    }

    /// Makes the worker refuse new start calls; delayed ones are still carried out.
    pub fn set_starts_refused(&self, refused: bool) {
        lock(&self.state).refuses_starts = refused;
    }

    /// Number of start calls that are still to be carried out.
    #[must_use]
    pub fn delayed_starts(&self) -> usize {
        lock(&self.state).delayed_starts.len()
    }

    /// Id of the worker and the body that it announces.
    #[must_use]
    pub fn announcement(&self) -> (String, Value) {
        announcement(&lock(&self.state), self.server.address(), "north", 1)
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        let mut state = lock(&self.state);
        state.advance();
        state.running.len()
    }
}

impl Drop for PlatformWorker {
    fn drop(&mut self) {
        *lock(&self.stopped) = true;
    }
}

/// Id of the worker and body of its announcement.
fn announcement(
    state: &WorkerState,
    address: SocketAddr,
    zone: &str,
    seq_no: u64,
) -> (String, Value) {
    let body = json!({
        "service": "minutes", "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 8, "state": if state.draining { "draining" } else { "ready" },
        "coldRemainingMs": 0, "remainingMs": 2_000,
        "capacity": {"cpu": 8_000, "memMb": 32_000, "gpu": 0}, "labels": ["a", "r1"],
        "clockMs": state.clock(), "seqNo": seq_no, "born": state.born,
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
    if state.unresponsive {
        cut_connection(&request);
        return HttpResponse::Ok().finish();
    }
    if is_misdirected(&state, &request) {
        return HttpResponse::MisdirectedRequest().finish();
    }
    if let Some(delay) = state.start_delay {
        state.delayed_starts.push((Instant::now() + delay, body.into_inner()));
        cut_connection(&request);
        return HttpResponse::Ok().finish();
    }
    if state.refuses_starts {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let refusal = state.start_run(&body);
    answer(&state, refusal)
}

/// Whether the call names another worker than this one.
fn is_misdirected(state: &WorkerState, request: &HttpRequest) -> bool {
    let expected = request.headers().get("X-Expect-Instance");
    expected.is_some_and(|id| id.as_bytes() != state.id.as_bytes())
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
    if state.unresponsive {
        cut_connection(&request);
        return HttpResponse::Ok().finish();
    }
    if is_misdirected(&state, &request) {
        return HttpResponse::MisdirectedRequest().finish();
    }
    if body.fencing_token < state.fence {
        return answer(&state, Some("fence"));
    }
    let last = state.last_runs.entry(body.task.clone()).or_insert(0);
    *last = (*last).max(body.run);
    if state.running.get(&body.task).is_some_and(|run| run.run == body.run) {
        state.end_run(&body.task, "stopped");
    }
    answer(&state, None)
}

/// Accepts a throttle order and ignores it.
async fn throttle(state: Data<Mutex<WorkerState>>) -> HttpResponse {
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

/// Renews the lease, removes the acknowledged ends, waits up to `wait_ms` for another
/// end, and returns the running runs and the ends.
async fn hold(
    state: Data<Mutex<WorkerState>>,
    body: Json<HoldBody>,
    request: HttpRequest,
) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms);
    {
        let mut state = lock(&state);
        state.advance();
        if state.unresponsive {
            cut_connection(&request);
            return HttpResponse::Ok().finish();
        }
        if is_misdirected(&state, &request) {
            return HttpResponse::MisdirectedRequest().finish();
        }
        if body.fencing_token < state.fence {
            return answer(&state, Some("fence"));
        }
        state.fence = body.fencing_token;
        if let Some(lease_end) = body.deadline_ms {
            state.lease_end = state.lease_end.max(lease_end.min(state.clock() + MAX_LEASE_MS));
        }
        state.ended.retain(|(number, ..)| *number > body.last_seen);
    }
    loop {
        {
            let mut state = lock(&state);
            state.advance();
            if !state.ended.is_empty() || Instant::now() >= deadline {
                return HttpResponse::Ok().json(run_listing(&state));
            }
        }
        tokio::time::sleep(HOLD_POLL_INTERVAL).await;
    }
}

fn run_listing(state: &WorkerState) -> Value {
    let percent = |run: &ActiveRun| match run.run_time.as_millis() {
        0 => 100,
        run_time => (run.started.elapsed().as_millis() * 100 / run_time).min(99),
    };
    let running: Vec<_> = state
        .running
        .iter()
        .map(|(task, run)| json!([task, run.run, "", percent(run), 0]))
        .collect();
    let ended: Vec<_> = state
        .ended
        .iter()
        .map(|(number, task, run, result)| json!([number, task, run, result, ""]))
        .collect();
    json!({"clockMs": state.clock(), "born": state.born, "running": running, "ended": ended})
}
