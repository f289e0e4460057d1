//! Evacuation of a data centre: its running task is stopped with a checkpoint and
//! resumes in another data centre.

use std::time::Instant;

use anyhow::{Context, Result, ensure};
use awc::http::Method;
use cactusdoor_core::job::JobId;
use cactusdoor_core::name::IdempotencyKey;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_timeline::EventPage;
use cactusdoor_timeline::filter::{EventFilter, EventSubject};
use cactusdoor_timeline::merge::TimelineMerge;
use serde_json::{Value, json};

use super::{Demo, POLL_INTERVAL, WORK_TIMEOUT};
use crate::check::TaskRun;
use crate::harness::ApiClient;
use crate::worker::StopReason;

/// Run time of the task; long enough to take out its data centre while it runs.
const RUN_TIME_MS: u64 = 3_000;

impl Demo {
    /// Takes out the data centre of a running task and prints the timeline of its job.
    pub(super) async fn evacuate_data_centre(&self) -> Result<()> {
        let id = JobId { plan: self.plan.clone(), key: IdempotencyKey::new("evacuation-1")? };
        let callers = self.callers();
        let caller = callers.first().context("the cluster has no entry")?;
        let job = json!({
            "plan": id.plan,
            "kind": "transcription",
            "class": "batch",
            "tasks": 1,
            "need": ResourceVector::new(1_000, 1_000, 0),
            "run_time_ms": RUN_TIME_MS,
            "checkpoints": true,
        });
        caller.submit(id.key.as_str(), &job).await?.success()?;
        let first = self.wait_for_run(&id, |run| run.stopped.is_none()).await?;
        let vm = self.cluster.vms.iter().find(|vm| vm.vm.as_str() == first.worker);
        let data_centre = vm.context("the task runs on an unknown VM")?.data_centre.clone();
        self.set_data_centre(data_centre.as_str(), "out").await?;
        self.printer
            .print(format!("took out data centre {data_centre}, where {} runs", first.task));
        let finished = |run: &TaskRun| matches!(run.stopped, Some((_, StopReason::Finished)));
        let last = self.wait_for_run(&id, finished).await?;
        ensure!(last.token != first.token, "the task finished before the data centre was out");
        ensure!(last.checkpoint.is_some(), "the task started again without a checkpoint");
        self.printer.print(format!("it resumed on {} and finished; its timeline:", last.worker));
        for line in self.timeline(id).await? {
            println!("            {line}");
        }
        self.set_data_centre(data_centre.as_str(), "in").await
    }

    async fn set_data_centre(&self, name: &str, state: &str) -> Result<()> {
        let entry = self.cluster.entries.first().context("the cluster has no entry")?;
        let path = format!("/v1/data-centres/{name}");
        let body = json!({ "state": state });
        let operator = ApiClient::open(entry.operator);
        operator.send_json(Method::PUT, &path, &[], &body).await?.success()?;
        Ok(())
    }

    /// Waits for a run of the job's task that `wanted` accepts.
    async fn wait_for_run(&self, id: &JobId, wanted: impl Fn(&TaskRun) -> bool) -> Result<TaskRun> {
        let deadline = Instant::now() + WORK_TIMEOUT;
        loop {
            let runs = self.task_runs()?;
            let run = runs.into_iter().find(|run| run.task.job == *id && wanted(run));
            if let Some(run) = run {
                return Ok(run);
            }
            ensure!(Instant::now() < deadline, "no matching run of job {id} was recorded in time");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Events about the job from all processes, in causal order.
    async fn timeline(&self, id: JobId) -> Result<Vec<String>> {
        let agents = self.cluster.vms.iter().map(|vm| vm.operator);
        let entries = self.cluster.entries.iter().map(|entry| entry.operator);
        let mut merge = TimelineMerge::default();
        for address in agents.chain(entries) {
            let page = ApiClient::open(address).get("/v1/events?from=0").await?.success()?;
            merge.push(page.json::<EventPage>()?.events);
        }
        let filter = EventFilter { subjects: vec![EventSubject::Job(id)] };
        let events = merge.take_all().into_iter().filter(|event| filter.passes(event));
        let lines = events.map(|event| {
            let mut kind = serde_json::to_value(&event.kind)?;
            let name = kind.as_object_mut().and_then(|fields| fields.remove("event"));
            let name = name.as_ref().and_then(Value::as_str).unwrap_or_default();
            Ok(format!("{:12} {name} {kind}", event.process.as_str()))
        });
        lines.collect()
    }
}
