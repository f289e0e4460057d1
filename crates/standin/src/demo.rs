//! The demo: a small installation that does each kind of work once.
//!
//! What happened is judged by the histories of the stand-ins, not by what the
//! daemons say about themselves.

mod evacuation;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use cactusdoor_core::config::{AllowanceSpec, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::name::{PlanName, ServiceName, TeamName};
use cactusdoor_core::resource::ResourceVector;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::check::{self, TaskRun};
use crate::harness::{ApiClient, ApiReply, CentrePlan, Cluster, ClusterPlan};
use crate::upstream::{AnswerBody, ExecutionChange, ExecutionHistory, UpstreamOptions};
use crate::worker::StopReason;

/// Longest start of one daemon.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest graceful stop of one daemon.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Within which a change is in effect everywhere, the stated target.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest wait until a request is answered or a job has ended.
const WORK_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const TASKS: u32 = 6;

/// Prints what happens with the time since the start.
struct Narrator {
    start: Instant,
}

impl Narrator {
    fn tell(&self, text: impl std::fmt::Display) {
        println!("[{:7.3} s] {text}", self.start.elapsed().as_secs_f64());
    }
}

struct Demo {
    narrator: Narrator,
    cluster: Cluster,
    plan: PlanName,
    service: ServiceName,
}

/// Runs the demo; fails if anything in it did not succeed.
pub async fn run() -> Result<()> {
    let narrator = Narrator { start: Instant::now() };
    let service = ServiceName::new("counter")?;
    let cluster = Cluster::spawn(&installation(&service)).context("could not start")?;
    let mut demo = Demo { narrator, cluster, plan: PlanName::new("franchise-1")?, service };
    let result = demo.steps().await;
    if result.is_ok() {
        demo.narrator.tell("everything succeeded");
    } else if let Some(directory) = demo.cluster.keep_directory() {
        demo.narrator.tell(format!("logs and settings are kept in {}", directory.display()));
    }
    result
}

fn installation(service: &ServiceName) -> ClusterPlan {
    let centre = |name: &str, entries, agents| CentrePlan { name: name.into(), entries, agents };
    let mut plan = ClusterPlan::uniform(0, 0, 0);
    plan.data_centres = vec![centre("a", 1, 2), centre("b", 1, 2), centre("c", 0, 1)];
    plan.upstream = Some(UpstreamOptions {
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
    plan
}

impl Demo {
    async fn steps(&mut self) -> Result<()> {
        self.wait_ready().await?;
        self.publish().await.context("could not publish the plan")?;
        self.interactive().await.context("interactive request failed")?;
        self.settlement().await.context("settlement failed")?;
        self.job().await.context("batch job failed")?;
        self.evacuation().await.context("taking out a data centre failed")?;
        self.stop().await.context("could not stop gracefully")
    }

    async fn wait_ready(&mut self) -> Result<()> {
        let children: Vec<String> = self.cluster.children.names().map(str::to_owned).collect();
        self.narrator.tell(format!("log service at {}", self.cluster.log.address()));
        self.narrator.tell(format!("started {}", children.join(", ")));
        self.cluster.wait_ready(READY_TIMEOUT).await?;
        self.narrator.tell("all daemons are ready");
        Ok(())
    }

    fn callers(&self) -> Vec<ApiClient> {
        self.cluster.entries.iter().map(|entry| ApiClient::open(entry.callers)).collect()
    }

    /// Publishes the plan with its allowance and waits until every agent has it.
    async fn publish(&self) -> Result<()> {
        let allowance = AllowanceSpec {
            batch: ResourceVector::new(8_000, 16_000, 0),
            requests_per_second: 100,
        };
        let plan = PlanSpec { team: TeamName::new("rentals")?, weight: 1 };
        let values = [
            ItemValue::Plan(self.plan.clone(), Some(plan)),
            ItemValue::Allowance(self.plan.clone(), Some(allowance)),
        ];
        let items = values.map(|value| ItemChange { premise: 0, value });
        let entry = self.cluster.entries.first().context("no entry")?;
        let operator = ApiClient::open(entry.operator);
        let path = "/v1/config/changes";
        let body = json!({ "items": items });
        let sent = Instant::now();
        let reply = operator.send_json(awc::http::Method::POST, path, &[], &body).await?;
        let revision = number(&reply.success()?.json()?, "revision")?;
        self.narrator.tell(format!("published plan {} at revision {revision}", self.plan));
        let agents = self.cluster.vms.iter().map(|vm| vm.operator);
        let entries = self.cluster.entries.iter().map(|entry| entry.operator);
        for address in agents.chain(entries) {
            let daemon = ApiClient::open(address);
            loop {
                let config: Value = daemon.get("/v1/config").await?.success()?.json()?;
                if number(&config, "revision")? >= revision {
                    break;
                }
                ensure!(sent.elapsed() < CHANGE_TIMEOUT, "{address} has an older revision");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        let elapsed = sent.elapsed().as_millis();
        self.narrator.tell(format!("all daemons have the revision after {elapsed} ms"));
        Ok(())
    }

    /// One interactive request to each entry.
    async fn interactive(&self) -> Result<()> {
        for (entry, caller) in self.cluster.entries.iter().zip(self.callers()) {
            let body = Bytes::from(json!({ "question": "free?", "entry": entry.name }).to_string());
            let deadline = Instant::now() + WORK_TIMEOUT;
            // An entry that has had no roster yet answers "not run".
            let reply = loop {
                let reply = caller.interactive(&self.service, &self.plan, body.clone()).await?;
                if reply.status == 200 {
                    break reply;
                }
                ensure!(Instant::now() < deadline, "status {}: {:?}", reply.status, reply.body);
                tokio::time::sleep(POLL_INTERVAL).await;
            };
            let answer = checked_answer(&reply, &body)?;
            let (id, bytes) = (reply.request_id.unwrap_or_default(), reply.body.len());
            let text = format!("{} answered request {id}: {bytes} bytes", entry.name);
            self.narrator.tell(format!("{text} from {}", answer.upstream));
        }
        Ok(())
    }

    /// One settlement, sent to two entries at once and once more.
    async fn settlement(&self) -> Result<()> {
        let key = "settlement-1";
        let body = Bytes::from(json!({ "rental": 4711, "amount": 250 }).to_string());
        let callers = self.callers();
        let [first, second] = callers.as_slice() else { bail!("the demo needs two entries") };
        let (one, two) = futures::join!(
            self.settle(first, key, body.clone()),
            self.settle(second, key, body.clone())
        );
        let (one, two) = (one?, two?);
        let answer = checked_answer(&one, &body)?;
        ensure!(one.body == two.body, "the two entries gave different answers");
        self.narrator.tell(format!("two entries gave the same answer from {}", answer.upstream));
        let again = self.settle(second, key, body.clone()).await?;
        ensure!(again.body == one.body, "a repeated settlement got another answer");
        let other = Bytes::from_static(b"{\"amount\": 999}");
        let conflict = second.binding(&self.service, &self.plan, key, other).await?;
        ensure!(conflict.status == 409, "another request with the key got {}", conflict.status);
        self.narrator.tell("another request with the same key is a conflict");
        let runs = self.executions().into_iter().filter(|record| {
            record.key.as_deref() == Some(key)
                && matches!(record.change, ExecutionChange::Started { .. })
        });
        let runs = runs.count();
        ensure!(runs == 1, "the settlement ran {runs} times");
        self.narrator.tell("the upstreams executed the settlement once");
        Ok(())
    }

    /// Sends a binding request until its outcome is known.
    async fn settle(&self, caller: &ApiClient, key: &str, body: Bytes) -> Result<ApiReply> {
        let deadline = Instant::now() + WORK_TIMEOUT;
        loop {
            let reply = caller.binding(&self.service, &self.plan, key, body.clone()).await?;
            if reply.status == 200 {
                return Ok(reply);
            }
            let error: Value = reply.json()?;
            let same_key = error.pointer("/error/retry").and_then(Value::as_str);
            let may_retry = same_key == Some("same_key") && Instant::now() < deadline;
            ensure!(may_retry, "status {}: {error}", reply.status);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn executions(&self) -> Vec<ExecutionHistory> {
        let upstreams = self.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
        upstreams.flat_map(|upstream| upstream.history()).collect()
    }

    async fn job(&self) -> Result<()> {
        let key = "transcriptions-1";
        let callers = self.callers();
        let caller = callers.first().context("no entry")?;
        let job = json!({
            "plan": self.plan,
            "kind": "transcription",
            "class": "batch",
            "tasks": TASKS,
            "need": ResourceVector::new(1_000, 1_000, 0),
            "run_time_ms": 500,
            "checkpoints": true,
        });
        let reply = caller.submit(key, &job).await?.success()?;
        ensure!(reply.status == 202, "the submission was answered with {}", reply.status);
        self.narrator.tell(format!("submitted a job of {TASKS} tasks"));
        let deadline = Instant::now() + WORK_TIMEOUT;
        while self.finished_tasks()? < TASKS as usize {
            ensure!(Instant::now() < deadline, "{}", self.job_state(caller, key).await?);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.narrator.tell("the workers finished every task, each in one place at a time");
        loop {
            let state = self.job_state(caller, key).await?;
            let tasks = state.get("tasks").and_then(Value::as_array);
            let is_finished =
                |task: &&Value| task.pointer("/state/ended/finished").is_some_and(Value::is_object);
            let finished = tasks.map_or(0, |tasks| tasks.iter().filter(is_finished).count());
            if finished == TASKS as usize {
                break;
            }
            ensure!(Instant::now() < deadline, "the job did not end: {state}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.narrator.tell("the entry reports all tasks as finished");
        Ok(())
    }

    async fn job_state(&self, caller: &ApiClient, key: &str) -> Result<Value> {
        let reply = caller.get(&format!("/v1/jobs/{}/{key}", self.plan)).await?;
        Ok(reply.json()?)
    }

    /// Runs on all workers; fails if a task ran in two places at once.
    fn task_runs(&self) -> Result<Vec<TaskRun>> {
        let history: Vec<_> = self.cluster.vms.iter().flat_map(|vm| vm.worker.history()).collect();
        let runs = check::collect_runs(&history);
        match check::overlaps(&runs).pop() {
            Some(violation) => Err(violation.into()),
            None => Ok(runs),
        }
    }

    /// Number of finished tasks; fails if one finished twice or ran in two places at once.
    fn finished_tasks(&self) -> Result<usize> {
        let runs = self.task_runs()?;
        let is_finished = |run: &&TaskRun| matches!(run.stopped, Some((_, StopReason::Finished)));
        let finished: Vec<_> = runs.iter().filter(is_finished).map(|run| &run.task).collect();
        let tasks: BTreeSet<_> = finished.iter().collect();
        ensure!(tasks.len() == finished.len(), "a task finished more than once: {finished:?}");
        Ok(tasks.len())
    }

    /// Stops all daemons gracefully, entries first.
    async fn stop(&mut self) -> Result<()> {
        let entries = self.cluster.entries.iter().map(|entry| entry.name.clone());
        let agents = self.cluster.vms.iter().map(|vm| vm.agent.clone());
        for group in [entries.collect::<Vec<_>>(), agents.collect()] {
            for name in &group {
                self.cluster.children.terminate(name)?;
            }
            for name in &group {
                let status = self.cluster.children.wait_exit(name, STOP_TIMEOUT).await?;
                ensure!(status.success(), "{name} ended with {status}");
            }
            self.narrator.tell(format!("stopped {}", group.join(", ")));
        }
        Ok(())
    }
}

/// The answer, checked to be whole and to belong to the request with `body`.
fn checked_answer(reply: &ApiReply, body: &[u8]) -> Result<AnswerBody> {
    let answer: AnswerBody = reply.json()?;
    ensure!(answer.body_digest == xxh3_64(body), "the answer belongs to another request");
    let digest = format!("{:016x}", xxh3_64(&reply.body));
    ensure!(reply.answer_digest.as_deref() == Some(&digest), "the answer's digest is wrong");
    Ok(answer)
}

fn number(value: &Value, key: &str) -> Result<u64> {
    value.get(key).and_then(Value::as_u64).with_context(|| format!("no {key} in {value}"))
}
