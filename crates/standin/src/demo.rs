//! The demo: a small cluster that performs each kind of work once.
//!
//! The demo checks results against the histories of the stand-ins, not against
//! what the daemons report about themselves. Its binding request is the
//! settlement of a rental.

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
use crate::harness::{ApiClient, ApiReply, Cluster, ClusterSpec, DataCentreSpec};
use crate::upstream::{AnswerBody, ExecutionChange, ExecutionHistory, UpstreamOptions};
use crate::worker::StopReason;

/// Longest time until one daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest graceful stop of one daemon.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which all daemons must receive a configuration change; the target of
/// the design.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest time until a request is answered or a job has ended.
const WORK_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Tasks of the batch job.
const TASKS: u32 = 6;

/// Prints progress with the time since the start.
struct ProgressPrinter {
    start: Instant,
}

impl ProgressPrinter {
    fn print(&self, text: impl std::fmt::Display) {
        println!("[{:7.3} s] {text}", self.start.elapsed().as_secs_f64());
    }
}

struct Demo {
    printer: ProgressPrinter,
    cluster: Cluster,
    plan: PlanName,
    service: ServiceName,
}

/// Runs the demo; fails if any step fails.
pub async fn run() -> Result<()> {
    let printer = ProgressPrinter { start: Instant::now() };
    let service = ServiceName::new("counter")?;
    let cluster = Cluster::spawn(&cluster_spec(&service)).context("could not start the cluster")?;
    let mut demo = Demo { printer, cluster, plan: PlanName::new("franchise-1")?, service };
    let result = demo.run_steps().await;
    if result.is_ok() {
        demo.printer.print("everything succeeded");
    } else if let Some(directory) = demo.cluster.keep_directory() {
        demo.printer.print(format!("logs and settings are kept in {}", directory.display()));
    }
    result
}

/// Two data centres with an entry and two agents, and a third with one agent.
fn cluster_spec(service: &ServiceName) -> ClusterSpec {
    let centre =
        |name: &str, entries, agents| DataCentreSpec { name: name.into(), entries, agents };
    let mut spec = ClusterSpec::uniform(0, 0, 0);
    spec.data_centres = vec![centre("a", 1, 2), centre("b", 1, 2), centre("c", 0, 1)];
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
    spec
}

impl Demo {
    async fn run_steps(&mut self) -> Result<()> {
        self.wait_ready().await?;
        self.publish_plan().await.context("could not publish the plan")?;
        self.send_interactive().await.context("interactive request failed")?;
        self.run_settlement().await.context("settlement failed")?;
        self.run_job().await.context("batch job failed")?;
        self.evacuate_data_centre().await.context("taking out a data centre failed")?;
        self.stop_daemons().await.context("could not stop the daemons gracefully")
    }

    async fn wait_ready(&mut self) -> Result<()> {
        let children: Vec<String> = self.cluster.children.names().map(str::to_owned).collect();
        self.printer.print(format!("log service at {}", self.cluster.log.address()));
        self.printer.print(format!("started {}", children.join(", ")));
        self.cluster.wait_ready(READY_TIMEOUT).await?;
        self.printer.print("all daemons are ready");
        Ok(())
    }

    fn callers(&self) -> Vec<ApiClient> {
        self.cluster.entries.iter().map(|entry| ApiClient::open(entry.callers)).collect()
    }

    /// Publishes the plan with its allowance and waits until every daemon has it.
    async fn publish_plan(&self) -> Result<()> {
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
        let entry = self.cluster.entries.first().context("the cluster has no entry")?;
        let operator = ApiClient::open(entry.operator);
        let path = "/v1/config/changes";
        let body = json!({ "items": items });
        let published = Instant::now();
        let reply = operator.send_json(awc::http::Method::POST, path, &[], &body).await?;
        let revision = number_field(&reply.success()?.json()?, "revision")?;
        self.printer.print(format!("published plan {} at revision {revision}", self.plan));
        let agents = self.cluster.vms.iter().map(|vm| vm.operator);
        let entries = self.cluster.entries.iter().map(|entry| entry.operator);
        for address in agents.chain(entries) {
            let daemon = ApiClient::open(address);
            loop {
                let config: Value = daemon.get("/v1/config").await?.success()?.json()?;
                if number_field(&config, "revision")? >= revision {
                    break;
                }
                ensure!(
                    published.elapsed() < CHANGE_TIMEOUT,
                    "daemon at {address} did not receive revision {revision} in time"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        let elapsed = published.elapsed().as_millis();
        self.printer.print(format!("all daemons have the revision after {elapsed} ms"));
        Ok(())
    }

    /// Sends one interactive request to each entry.
    async fn send_interactive(&self) -> Result<()> {
        for (entry, caller) in self.cluster.entries.iter().zip(self.callers()) {
            let body = Bytes::from(json!({ "question": "free?", "entry": entry.name }).to_string());
            let deadline = Instant::now() + WORK_TIMEOUT;
            // An entry that has not received a roster yet answers "not run".
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
            self.printer.print(format!("{text} from {}", answer.upstream));
        }
        Ok(())
    }

    /// Sends one binding request to two entries concurrently and then once more.
    async fn run_settlement(&self) -> Result<()> {
        let key = "settlement-1";
        let body = Bytes::from(json!({ "rental": 4711, "amount": 250 }).to_string());
        let callers = self.callers();
        let [first, second] = callers.as_slice() else { bail!("the demo needs two entries") };
        let (first_reply, second_reply) = futures::join!(
            self.send_settlement(first, key, body.clone()),
            self.send_settlement(second, key, body.clone())
        );
        let (first_reply, second_reply) = (first_reply?, second_reply?);
        let answer = checked_answer(&first_reply, &body)?;
        ensure!(first_reply.body == second_reply.body, "the two entries gave different answers");
        self.printer.print(format!("two entries gave the same answer from {}", answer.upstream));
        let again = self.send_settlement(second, key, body.clone()).await?;
        ensure!(again.body == first_reply.body, "a repeated settlement got another answer");
        let other_body = Bytes::from_static(b"{\"amount\": 999}");
        let conflict = second.binding(&self.service, &self.plan, key, other_body).await?;
        ensure!(
            conflict.status == 409,
            "another request with the same key got {}",
            conflict.status
        );
        self.printer.print("another request with the same key is a conflict");
        let starts = self.executions().into_iter().filter(|record| {
            record.key.as_deref() == Some(key)
                && matches!(record.change, ExecutionChange::Started { .. })
        });
        let starts = starts.count();
        ensure!(starts == 1, "the settlement was executed {starts} times");
        self.printer.print("the upstreams executed the settlement once");
        Ok(())
    }

    /// Sends a binding request until its outcome is known; repeats it only if the
    /// answer allows a retry with the same key.
    async fn send_settlement(
        &self,
        caller: &ApiClient,
        key: &str,
        body: Bytes,
    ) -> Result<ApiReply> {
        let deadline = Instant::now() + WORK_TIMEOUT;
        loop {
            let reply = caller.binding(&self.service, &self.plan, key, body.clone()).await?;
            if reply.status == 200 {
                return Ok(reply);
            }
            let error: Value = reply.json()?;
            let retry = error.pointer("/error/retry").and_then(Value::as_str);
            let may_retry = retry == Some("same_key") && Instant::now() < deadline;
            ensure!(may_retry, "status {}: {error}", reply.status);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn executions(&self) -> Vec<ExecutionHistory> {
        let upstreams = self.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
        upstreams.flat_map(|upstream| upstream.history()).collect()
    }

    /// Runs one batch job and waits until the entry reports its tasks as finished.
    async fn run_job(&self) -> Result<()> {
        let key = "transcriptions-1";
        let callers = self.callers();
        let caller = callers.first().context("the cluster has no entry")?;
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
        self.printer.print(format!("submitted a job of {TASKS} tasks"));
        let deadline = Instant::now() + WORK_TIMEOUT;
        while self.finished_tasks()? < TASKS as usize {
            ensure!(
                Instant::now() < deadline,
                "the tasks have not finished in time: {}",
                self.job_state(caller, key).await?
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.printer.print("the workers finished every task, each in one place at a time");
        loop {
            let state = self.job_state(caller, key).await?;
            let tasks = state.get("tasks").and_then(Value::as_array);
            let is_finished =
                |task: &&Value| task.pointer("/state/ended/finished").is_some_and(Value::is_object);
            let finished = tasks.map_or(0, |tasks| tasks.iter().filter(is_finished).count());
            if finished == TASKS as usize {
                break;
            }
            ensure!(Instant::now() < deadline, "the job has not ended in time: {state}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.printer.print("the entry reports all tasks as finished");
        Ok(())
    }

    async fn job_state(&self, caller: &ApiClient, key: &str) -> Result<Value> {
        let reply = caller.get(&format!("/v1/jobs/{}/{key}", self.plan)).await?;
        Ok(reply.json()?)
    }

    /// Runs on all workers; fails if two runs of a task overlapped.
    fn task_runs(&self) -> Result<Vec<TaskRun>> {
        let history: Vec<_> = self.cluster.vms.iter().flat_map(|vm| vm.worker.history()).collect();
        let runs = check::collect_runs(&history);
        match check::overlaps(&runs).pop() {
            Some(violation) => Err(violation.into()),
            None => Ok(runs),
        }
    }

    /// Number of finished tasks; fails if one finished twice or two of its runs overlapped.
    fn finished_tasks(&self) -> Result<usize> {
        let runs = self.task_runs()?;
        let is_finished = |run: &&TaskRun| matches!(run.stopped, Some((_, StopReason::Finished)));
        let finished: Vec<_> = runs.iter().filter(is_finished).map(|run| &run.task).collect();
        let tasks: BTreeSet<_> = finished.iter().collect();
        ensure!(tasks.len() == finished.len(), "a task finished more than once: {finished:?}");
        Ok(tasks.len())
    }

    /// Stops all daemons gracefully, entries first.
    async fn stop_daemons(&mut self) -> Result<()> {
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
            self.printer.print(format!("stopped {}", group.join(", ")));
        }
        Ok(())
    }
}

/// The answer; fails if its digest is wrong or it does not belong to the request `body`.
fn checked_answer(reply: &ApiReply, body: &[u8]) -> Result<AnswerBody> {
    let answer: AnswerBody = reply.json()?;
    ensure!(answer.body_digest == xxh3_64(body), "the answer belongs to another request");
    let digest = format!("{:016x}", xxh3_64(&reply.body));
    ensure!(reply.answer_digest.as_deref() == Some(&digest), "the answer's digest is wrong");
    Ok(answer)
}

/// Field `key` of a JSON object as a number.
fn number_field(value: &Value, key: &str) -> Result<u64> {
    value.get(key).and_then(Value::as_u64).with_context(|| format!("no {key} in {value}"))
}
