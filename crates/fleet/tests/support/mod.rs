//! A test cluster: the real daemons against stand-ins for the store and the workers.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::harness::child::stop_process;
use cactusdoor_standin::platform_store::{PlatformStore, StoreEndpoint};
use cactusdoor_standin::platform_worker::{PlatformWorker, RunHistory};
use cactusdoor_standin::socket::spawn_child;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Longest wait for a condition, on a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two checks of a condition.
const CHECK_PAUSE: Duration = Duration::from_millis(25);
const HOST: &str = "minutes.example";

struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_cactusdoor-fleet"));
        command.arg(self.role).arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(spawn_child(&mut command).unwrap());
    }

    fn signal(&mut self, signal: Signal) {
        let child = self.child.as_mut().unwrap();
        let pid = Pid::from_child(child);
        kill_process(pid, signal).unwrap();
    }

    fn end(&mut self, signal: Signal) {
        self.signal(signal);
        if let Some(mut child) = self.child.take() {
            child.wait().unwrap();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// A running cluster; dropping it ends all processes.
pub struct TestCluster {
    pub store: PlatformStore,
    pub workers: Vec<PlatformWorker>,
    pub history: Arc<Mutex<RunHistory>>,
    processes: Vec<Process>,
    /// Addresses of the store, one for each process.
    endpoints: Vec<StoreEndpoint>,
    /// Addresses of the workers and of their agents' metrics.
    agent_addresses: Vec<(SocketAddr, SocketAddr)>,
    entries: Vec<(SocketAddr, SocketAddr)>,
    /// Addresses to which the workers announce themselves.
    announce_addresses: Vec<SocketAddr>,
    agents: usize,
    /// Further sections of the settings.
    sections: &'static str,
    directory: TempDir,
    client: awc::Client,
}

impl TestCluster {
    /// Starts a store, a worker for each agent, the agents and two entries.
    pub async fn open(agents: usize) -> Self {
        Self::open_with(agents, "").await
    }

    /// As `open`, with further sections in the settings of all processes.
    pub async fn open_with(agents: usize, sections: &'static str) -> Self {
        let store = PlatformStore::open();
        let mut cluster = Self {
            store,
            workers: Vec::new(),
            history: Arc::default(),
            processes: Vec::new(),
            endpoints: Vec::new(),
            agent_addresses: Vec::new(),
            entries: Vec::new(),
            announce_addresses: Vec::new(),
            agents,
            sections,
            directory: tempfile::tempdir().unwrap(),
            client: awc::Client::builder().timeout(Duration::from_secs(5)).finish(),
        };
        cluster.configure(1, &["q"]);
        for index in 0..agents {
            cluster.add_agent(index);
        }
        for index in 0..2 {
            cluster.add_entry(index);
        }
        cluster.processes.iter_mut().for_each(Process::start);
        cluster
    }

    /// Publishes a configuration with one queue for each name.
    pub fn configure(&self, version: u64, queues: &[&str]) {
        let routes: Vec<_> = queues
            .iter()
            .map(|name| {
                json!({"name": name, "host": HOST, "pathPrefix": format!("/{name}/"),
                    "service": "minutes", "maxAttempts": 3, "slackFactor": 2.0})
            })
            .collect();
        let config = json!({"version": version, "routes": routes, "services": [], "limits": {}});
        self.store.write("keyed.op", "config", config.to_string().as_bytes());
    }

    fn add_agent(&mut self, index: usize) {
        let name = format!("agent-{index}");
        let (announce, worker) = (free_address().unwrap(), free_address().unwrap());
        let metrics = free_address().unwrap();
        self.agent_addresses.push((worker, metrics));
        let text = format!(
            "[process]\nname = {name}\ndata_centre = north\npeer_address = {}\n\
             metrics_address = {metrics}\n[store]\naddress = {}\n[worker]\naddress = {worker}\n\
             announce_address = {announce}\nlease_limit_ms = 10000\n",
            free_address().unwrap(),
            self.open_endpoint(),
        );
        self.add_process("agent", &name, &text);
        self.announce_addresses.push(announce);
        let history = Arc::clone(&self.history);
        let id = format!("i-{index}");
        self.workers.push(PlatformWorker::spawn(&id, worker, announce, "north", history).unwrap());
    }

    /// Crashes a worker, which starts again under its id after `down`; until then, connections to
    /// it are refused.
    pub async fn restart_worker(&mut self, index: usize, down: Duration) {
        let crashed = self.workers.remove(index);
        crashed.restart();
        drop(crashed);
        tokio::time::sleep(down).await;
        let (worker, announce) = (self.agent_addresses[index].0, self.announce_addresses[index]);
        let (id, history) = (format!("i-{index}"), Arc::clone(&self.history));
        let worker = PlatformWorker::spawn(&id, worker, announce, "north", history).unwrap();
        self.workers.insert(index, worker);
    }

    fn add_entry(&mut self, index: usize) {
        let name = format!("entry-{index}");
        let (callers, ready) = (free_address().unwrap(), free_address().unwrap());
        let text = format!(
            "[process]\nname = {name}\ndata_centre = north\nmetrics_address = {}\n\
             [store]\naddress = {}\n[callers]\naddress = {callers}\nready_address = {ready}\n",
            free_address().unwrap(),
            self.open_endpoint(),
        );
        self.entries.push((callers, ready));
        self.add_process("entry", &name, &text);
    }

    fn open_endpoint(&mut self) -> SocketAddr {
        self.endpoints.push(self.store.open_endpoint(free_address().unwrap()).unwrap());
        self.endpoints.last().unwrap().address()
    }

    /// Has the store refuse all calls of one agent.
    pub fn refuse_agent(&self, index: usize, refused: bool) {
        self.endpoints[index].set_refused(refused);
    }

    /// Has the store refuse all calls of one entry.
    pub fn refuse_entry(&self, index: usize, refused: bool) {
        self.endpoints[self.agents + index].set_refused(refused);
    }

    /// Has the store fail the reads of one agent.
    pub fn fail_reads_of_agent(&self, index: usize, failing: bool) {
        self.endpoints[index].set_reads_refused(failing);
    }

    fn add_process(&mut self, role: &'static str, name: &str, text: &str) {
        let settings = self.directory.path().join(format!("{name}.ini"));
        std::fs::write(&settings, format!("{text}{}", self.sections)).unwrap();
        let log = self.directory.path().join(format!("{name}.log"));
        self.processes.push(Process { role, settings, log, child: None });
    }

    /// Kills an agent; its worker keeps running.
    pub fn kill_agent(&mut self, index: usize) {
        self.processes[index].end(Signal::KILL);
    }

    pub fn stop_agent(&mut self, index: usize) {
        self.processes[index].end(Signal::TERM);
    }

    pub fn start_agent(&mut self, index: usize) {
        self.processes[index].start();
    }

    /// Suspends an agent; returns once it has stopped.
    pub fn pause_agent(&mut self, index: usize) {
        let child = self.processes[index].child.as_ref().unwrap();
        assert!(stop_process(Pid::from_child(child)).unwrap(), "the agent has ended");
    }

    pub fn resume_agent(&mut self, index: usize) {
        self.processes[index].signal(Signal::CONT);
    }

    /// Kills all entries and agents at once and starts them again.
    pub fn restart_all(&mut self) {
        for process in &mut self.processes {
            process.signal(Signal::KILL);
        }
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                child.wait().unwrap();
            }
            process.start();
        }
    }

    /// The agent that owns the queues, by its heartbeat.
    pub fn owner(&self) -> Option<usize> {
        let (_, value) = self.store.records("keyed.owner").pop()?;
        let heartbeat: Value = serde_json::from_slice(&value).ok()?;
        heartbeat["owner"].as_str()?.strip_prefix("agent-")?.parse().ok()
    }

    pub async fn call(&self, method: &str, entry: usize, path: &str, body: Value) -> (u16, Value) {
        let address = self.entries[entry].0;
        let method = method.parse().unwrap();
        let request = self.client.request(method, format!("http://{address}{path}"));
        let request = request.insert_header(("Host", HOST));
        match request.send_json(&body).await {
            Ok(mut answer) => {
                let body = answer.body().await.unwrap_or_default();
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                (answer.status().as_u16(), body)
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Value of an agent's metric, by its name and labels; 0 if it is absent.
    pub async fn metric(&self, agent: usize, metric: &str) -> u64 {
        let address = self.agent_addresses[agent].1;
        let mut answer = self.client.get(format!("http://{address}/metrics")).send().await.unwrap();
        let text = String::from_utf8(answer.body().await.unwrap().to_vec()).unwrap();
        let values = text.lines().filter_map(|line| line.strip_prefix(metric)?.strip_prefix(' '));
        values.map(|value| value.parse::<u64>().unwrap()).next().unwrap_or_default()
    }

    /// Calls a worker as its agent does; returns the status.
    pub async fn call_worker(&self, worker: usize, path: &str, body: Value) -> u16 {
        let address = self.agent_addresses[worker].0;
        let call = self.client.post(format!("http://{address}{path}"));
        call.send_json(&body).await.unwrap().status().as_u16()
    }

    /// Sends an announcement to an agent as an unrelated writer does; returns the status.
    pub async fn announce(&self, agent: usize, id: &str, body: impl Into<Vec<u8>>) -> u16 {
        let address = self.announce_addresses[agent];
        let call = self.client.post(format!("http://{address}/instances/{id}/heartbeat"));
        let call = call.content_type("application/json");
        let answer = call.send_body(body.into()).await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Queries a job at an entry with a deadline header; `None` without an answer in time.
    pub async fn query_within(&self, entry: usize, job: &str, deadline: &str) -> Option<u16> {
        let url = format!("http://{}/q/{job}", self.entries[entry].0);
        let call = self.client.get(url).insert_header(("Host", HOST));
        let call = call.insert_header(("X-Deadline-Ms", deadline));
        call.send().await.ok().map(|answer| answer.status().as_u16())
    }

    pub async fn ready(&self, entry: usize) -> bool {
        let address = self.entries[entry].1;
        let answer = self.client.get(format!("http://{address}/readiness")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until an entry reports itself ready.
    pub async fn await_ready(&self, entry: usize) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !self.ready(entry).await {
            assert!(Instant::now() < deadline, "entry {entry} is not ready\n{}", self.logs());
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    }

    /// Submits a job at each entry in turn until one accepts it.
    pub async fn submit(&self, id: &str, millis: u64, steps: Value) {
        let body = json!({"spec": millis.to_string(), "steps": steps});
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let mut entry = 0;
        while self.call("POST", entry, &format!("/q/{id}"), body.clone()).await.0 != 200 {
            entry = (entry + 1) % self.entries.len();
            assert!(Instant::now() < deadline, "job {id} was not accepted\n{}", self.logs());
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    }

    /// Submits a job of `count` small tasks, each with a spec of `bytes`.
    pub async fn submit_large(&self, id: &str, millis: u64, count: u32, bytes: usize) {
        let steps = json!([{"count": count, "cpu": 1, "memMb": 1}]);
        let body = json!({"spec": format!("{millis:0>bytes$}"), "steps": steps});
        let (status, _) = self.call("POST", 0, &format!("/q/{id}"), body).await;
        assert_eq!(status, 200, "job {id} was not accepted\n{}", self.logs());
    }

    /// Pending jobs as an entry counts them; `None` if it gives no count.
    pub async fn pending(&self, entry: usize) -> Option<u64> {
        let (status, body) = self.call("GET", entry, "/q/", Value::Null).await;
        if status == 200 { body["pending"].as_u64() } else { None }
    }

    pub async fn state(&self, id: &str) -> String {
        let (_, body) = self.call("GET", 0, &format!("/q/{id}"), Value::Null).await;
        body["state"].as_str().unwrap_or("unknown").to_owned()
    }

    /// Waits until an entry shows the job in `state`.
    pub async fn await_state(&self, id: &str, state: &str) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while self.state(id).await != state {
            assert!(Instant::now() < deadline, "job {id} is not {state}\n{}", self.logs());
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    }

    /// Waits until `holds` is true.
    pub async fn await_that(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < deadline, "timed out before: {what}\n{}", self.logs());
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    }

    /// Checks that the workers recorded no fault and no task completed twice.
    pub fn check(&self) {
        let history = self.history.lock().unwrap();
        assert!(history.violations.is_empty(), "{:#?}\n{}", history.violations, self.logs());
        let repeated: Vec<_> = history.done.iter().filter(|(_, times)| **times > 1).collect();
        assert!(repeated.is_empty(), "completed more than once: {repeated:?}");
    }

    /// The last lines of all processes.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for process in &self.processes {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            let lines: Vec<_> = log.lines().collect();
            text.push_str(&format!("== {}\n", process.log.display()));
            for line in &lines[lines.len().saturating_sub(12)..] {
                text.push_str(line);
                text.push('\n');
            }
        }
        text
    }

    /// Epochs of all elections that processes logged as won, sorted.
    pub fn elected(&self) -> Vec<u64> {
        let mut epochs = Vec::new();
        for process in &self.processes {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            let lines = log.lines().filter(|line| line.contains("\"event\":\"owner_elected\""));
            let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
            epochs.extend(lines.filter_map(|line| line["epoch"].as_u64()));
        }
        epochs.sort_unstable();
        epochs
    }

    /// Decisions of one kind in the log of a process.
    pub fn decisions(&self, name: &str, event: &str) -> Vec<Value> {
        let log = self.directory.path().join(format!("{name}.log"));
        let log = std::fs::read_to_string(log).unwrap_or_default();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["event"] == event).collect()
    }

    /// Number of log lines of one process that contain `text`.
    pub fn log_lines(&self, name: &str, text: &str) -> usize {
        let log = self.directory.path().join(format!("{name}.log"));
        let log = std::fs::read_to_string(log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

/// One step with `count` tasks.
pub fn tasks(count: u32) -> Value {
    json!([{"count": count, "cpu": 1000, "memMb": 100}])
}
