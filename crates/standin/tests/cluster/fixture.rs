//! A running cluster with one plan, and the operations that the tests perform on it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::Method;
use bytes::Bytes;
use cactusdoor_core::config::{AllowanceSpec, ConfigItem, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::name::{PlanName, ServiceName, TeamName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_standin::check::{self, TaskRun};
use cactusdoor_standin::harness::{ApiClient, ApiReply, Cluster, ClusterSpec};
use cactusdoor_standin::upstream::{AnswerBody, ExecutionHistory, UpstreamOptions};
use cactusdoor_standin::worker::StopReason;
use serde_json::{Value, json};

/// Longest wait for an expected event. Recovery from the crash of a VM takes about
/// 11 s, and about 4 s more if it owned a shard; an evacuation of all tasks
/// adds one checkpoint per task.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running cluster, its plan and its service.
pub struct ClusterFixture {
    pub cluster: Cluster,
    pub plan: PlanName,
    pub service: ServiceName,
    capacity: ResourceVector,
    /// Executions of replaced upstreams.
    past_executions: Vec<ExecutionHistory>,
}

impl ClusterFixture {
    /// Two data centres with an entry and two agents each, ready for work.
    pub async fn open() -> Self {
        Self::with_agents(2).await
    }

    /// Two data centres with an entry and this many agents each, ready for work.
    pub async fn with_agents(agents: usize) -> Self {
        Self::with_spec(ClusterSpec::uniform(2, 1, agents)).await
    }

    /// As [`open`](Self::open), with a relay between each process and the log service.
    pub async fn with_log_relays() -> Self {
        Self::with_spec(ClusterSpec { log_relays: true, ..ClusterSpec::uniform(2, 1, 2) }).await
    }

    async fn with_spec(mut spec: ClusterSpec) -> Self {
        let service = ServiceName::new("counter").unwrap();
        spec.upstream = Some(UpstreamOptions {
            name: String::new(),
            service: service.clone(),
            agent: None,
            announced: None,
            slots: 8,
            connections: 64,
            service_time_ms: 20,
            answer_bytes: 500,
            history: None,
        });
        // Eight tasks of one processor need two VMs, so that each test has tasks both on the
        // VM of an owner and elsewhere.
        spec.worker.capacity = ResourceVector::new(6_000, 64_000, 0);
        let capacity = spec.worker.capacity;
        let mut cluster = Cluster::spawn(&spec).unwrap();
        cluster.wait_ready(WAIT_TIMEOUT).await.unwrap();
        let plan = PlanName::new("plan-1").unwrap();
        let fixture = Self { cluster, plan, service, capacity, past_executions: Vec::new() };
        fixture.publish_plan().await;
        fixture.warm_up().await;
        fixture
    }

    /// Client of an entry's address for callers.
    pub fn caller(&self, entry: usize) -> ApiClient {
        ApiClient::open(self.cluster.entries[entry].callers)
    }

    /// Client of an entry's address for operators.
    pub fn operator(&self, entry: usize) -> ApiClient {
        ApiClient::open(self.cluster.entries[entry].operator)
    }

    /// Publishes the plan with its allowance.
    async fn publish_plan(&self) {
        let batch = ResourceVector::new(8_000, 64_000, 0);
        let allowance = AllowanceSpec { batch, requests_per_second: 10_000 };
        let plan = PlanSpec { team: TeamName::new("team-1").unwrap(), weight: 1 };
        let values = [
            ItemValue::Plan(self.plan.clone(), Some(plan)),
            ItemValue::Allowance(self.plan.clone(), Some(allowance)),
        ];
        let items = values.map(|value| ItemChange { premise: 0, value });
        let body = json!({ "items": items });
        let operator = self.operator(0);
        let reply = operator.send_json(Method::POST, "/v1/config/changes", &[], &body).await;
        reply.unwrap().success().unwrap();
    }

    /// Waits until every entry has the plan and an upstream.
    async fn warm_up(&self) {
        for entry in 0..self.cluster.entries.len() {
            let caller = self.caller(entry);
            wait_for("an answer", async || self.ask(&caller, "warm-up").await.status == 200).await;
        }
    }

    /// Sends an interactive request; checks that a successful answer belongs to it.
    pub async fn ask(&self, caller: &ApiClient, question: &str) -> ApiReply {
        let body = Bytes::from(json!({ "question": question }).to_string());
        let reply = caller.interactive(&self.service, &self.plan, body.clone()).await.unwrap();
        if reply.status == 200 {
            let answer: AnswerBody = reply.json().unwrap();
            assert_eq!(answer.body_digest, xxhash_rust::xxh3::xxh3_64(&body));
        }
        reply
    }

    /// Sends a settlement, a binding request; `None` if there is no complete answer.
    pub async fn settle(&self, caller: &ApiClient, key: &str) -> Option<ApiReply> {
        let body = Bytes::from(json!({ "rental": key }).to_string());
        caller.binding(&self.service, &self.plan, key, body).await.ok()
    }

    /// Submits a batch job of kind `transcription` through entry 0.
    pub async fn submit(&self, key: &str, tasks: u32, run_time_ms: u64) {
        self.submit_kind("transcription", key, "batch", tasks, run_time_ms).await;
    }

    /// Submits a job of the given kind and class through entry 0.
    pub async fn submit_kind(
        &self,
        kind: &str,
        key: &str,
        class: &str,
        tasks: u32,
        run_time_ms: u64,
    ) {
        let job = json!({
            "plan": self.plan,
            "kind": kind,
            "class": class,
            "tasks": tasks,
            "need": ResourceVector::new(1_000, 1_000, 0),
            "run_time_ms": run_time_ms,
            "checkpoints": true,
        });
        let reply = self.caller(0).submit(key, &job).await.unwrap();
        assert_eq!(reply.success().unwrap().status, 202);
    }

    pub fn runs(&self) -> Vec<TaskRun> {
        let history: Vec<_> = self.cluster.vms.iter().flat_map(|vm| vm.worker.history()).collect();
        check::collect_runs(&history)
    }

    pub fn executions(&self) -> Vec<ExecutionHistory> {
        let upstreams = self.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
        let past = self.past_executions.iter().cloned();
        past.chain(upstreams.flat_map(|upstream| upstream.history())).collect()
    }

    /// Number of finished tasks.
    pub fn finished(&self) -> usize {
        let runs = self.runs();
        let is_finished = |run: &&TaskRun| matches!(run.stopped, Some((_, StopReason::Finished)));
        let tasks: std::collections::BTreeSet<_> =
            runs.iter().filter(is_finished).map(|run| &run.task).collect();
        tasks.len()
    }

    pub async fn wait_started(&self, tasks: usize) {
        wait_for("tasks start", async || self.runs().len() >= tasks).await;
    }

    pub async fn wait_finished(&self, tasks: usize) {
        wait_for("tasks finish", async || self.finished() >= tasks).await;
    }

    /// Checks the invariants that hold under every fault.
    pub fn check(&self) {
        let runs = self.runs();
        assert_eq!(check::overlaps(&runs), []);
        assert_eq!(check::overcommitments(&runs, self.capacity), []);
        assert_eq!(check::repeated_keys(&self.executions()), []);
    }

    /// Names of the VMs that own a shard.
    pub async fn owners(&self) -> Vec<String> {
        // Entry 0 may have been killed.
        let roster: Value = self.operator(1).get("/v1/roster").await.unwrap().json().unwrap();
        let shards = roster["shards"].as_array().unwrap();
        shards.iter().map(|shard| shard["owner"].as_str().unwrap().to_owned()).collect()
    }

    /// Index of a VM that runs a task and owns a shard or, without `owner`, owns none.
    pub async fn busy_vm(&self, owner: bool) -> Option<usize> {
        let owners = self.owners().await;
        let runs = self.runs();
        let is_busy = |vm: &str| runs.iter().any(|run| run.worker == vm && run.stopped.is_none());
        let mut vms = self.cluster.vms.iter();
        vms.position(|vm| is_busy(&vm.vm) && owners.contains(&vm.vm) == owner)
    }
}

/// Operations of the fault tests, whose calls may fail.
impl ClusterFixture {
    /// Submits a job; whether it was accepted.
    pub async fn try_submit(&self, entry: usize, key: &str, tasks: u32, run_time_ms: u64) -> bool {
        let job = json!({
            "plan": self.plan,
            "kind": "transcription",
            "class": "batch",
            "tasks": tasks,
            "need": ResourceVector::new(1_000, 1_000, 0),
            "run_time_ms": run_time_ms,
            "checkpoints": true,
        });
        self.caller(entry).submit(key, &job).await.is_ok_and(|reply| reply.status == 202)
    }

    /// Cancels a job; whether the cancellation was accepted.
    pub async fn cancel(&self, entry: usize, key: &str) -> bool {
        let path = format!("/v1/jobs/{}/{key}", self.plan);
        self.caller(entry).delete(&path).await.is_ok_and(|reply| reply.status == 202)
    }

    /// Sets the state of a data centre; whether it was accepted.
    pub async fn set_data_centre(&self, name: &str, state: &str) -> bool {
        let path = format!("/v1/data-centres/{name}");
        let body = json!({ "state": state });
        let reply = self.operator(1).send_json(Method::PUT, &path, &[], &body).await;
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Replaces the upstream of a VM with a new one; keeps the executions of the old one.
    pub fn replace_upstream(&mut self, vm: usize) {
        let vm = &mut self.cluster.vms[vm];
        let replaced = vm.upstream.take();
        self.past_executions.extend(replaced.into_iter().flat_map(|upstream| upstream.history()));
        vm.start_upstream().unwrap();
    }

    /// Number of finished tasks of a job.
    pub fn finished_of_job(&self, job: &str) -> usize {
        let runs = self.runs().into_iter();
        let finished = runs.filter(|run| {
            run.task.job.key.as_str() == job
                && matches!(run.stopped, Some((_, StopReason::Finished)))
        });
        finished.map(|run| run.task).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Configuration revision of a process; the entries come first, then the agents.
    pub async fn revision(&self, process: usize) -> Option<u64> {
        let entries = self.cluster.entries.iter().map(|entry| entry.operator);
        let agents = self.cluster.vms.iter().map(|vm| vm.operator);
        let address = entries.chain(agents).nth(process)?;
        let reply = ApiClient::open(address).get("/v1/config").await.ok()?;
        reply.json::<Value>().ok()?["revision"].as_u64()
    }

    /// Revision of the last change of the plan, as entry 0 reports it.
    pub async fn plan_revision(&self) -> u64 {
        let config: Value = self.operator(0).get("/v1/config").await.unwrap().json().unwrap();
        let items: Vec<ConfigItem> = serde_json::from_value(config["items"].clone()).unwrap();
        let mut items = items.into_iter();
        let plan = items
            .find(|item| matches!(&item.value, ItemValue::Plan(name, _) if *name == self.plan));
        plan.unwrap().revision
    }

    /// Changes the plan's weight on the condition that its last revision is `premise`;
    /// returns the new revision if the change is accepted.
    pub async fn change_weight(&self, entry: usize, premise: u64, weight: u32) -> Option<u64> {
        let plan = PlanSpec { team: TeamName::new("team-1").unwrap(), weight };
        let value = ItemValue::Plan(self.plan.clone(), Some(plan));
        let body = json!({ "items": [ItemChange { premise, value }] });
        let operator = self.operator(entry);
        let reply = operator.send_json(Method::POST, "/v1/config/changes", &[], &body).await;
        reply.ok()?.success().ok()?.json::<Value>().ok()?["revision"].as_u64()
    }
}

/// Waits until `condition` holds; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Callers that each send interactive requests in sequence until they are stopped.
pub struct CallerLoad {
    stopped: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<Vec<Result<ApiReply, String>>>>,
}

impl CallerLoad {
    pub fn start(fixture: &ClusterFixture, callers: usize) -> Self {
        let stopped = Rc::new(Cell::new(false));
        let entries = fixture.cluster.entries.len();
        let tasks = (0..callers).map(|number| {
            let caller = fixture.caller(number % entries);
            let (service, plan, stopped) =
                (fixture.service.clone(), fixture.plan.clone(), stopped.clone());
            actix_rt::spawn(async move {
                let mut replies = Vec::new();
                while !stopped.get() {
                    let reply = caller.interactive(&service, &plan, Bytes::new()).await;
                    replies.push(reply.map_err(|error| error.to_string()));
                }
                replies
            })
        });
        Self { tasks: tasks.collect(), stopped }
    }

    /// Stops the callers; returns the failed replies and the number of all replies.
    pub async fn finish(self) -> (Vec<String>, usize) {
        self.stopped.set(true);
        let (mut failures, mut count) = (Vec::new(), 0);
        for task in self.tasks {
            for reply in task.await.unwrap() {
                count += 1;
                match reply {
                    Ok(reply) if reply.status == 200 => {}
                    Ok(reply) => failures.push(format!("{}: {:?}", reply.status, reply.body)),
                    Err(error) => failures.push(error),
                }
            }
        }
        (failures, count)
    }
}
