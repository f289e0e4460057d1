//! Jobs under failing VMs, workers and tasks, and jobs that are cancelled.

use std::collections::BTreeSet;

use cactusdoor_core::name::TaskKind;
use cactusdoor_standin::worker::{StopReason, WorkerFault};
use serde_json::{Value, json};

use crate::fixture::{ClusterFixture, wait_for};

impl ClusterFixture {
    async fn job_state(&self, key: &str) -> Value {
        let path = format!("/v1/jobs/{}/{key}", self.plan);
        self.caller(1).get(&path).await.unwrap().json().unwrap()
    }

    /// Names of the VMs on which a task of `job` has finished.
    fn vms_with_finished(&self, job: &str) -> BTreeSet<String> {
        let runs = self.runs().into_iter();
        let finished = runs.filter(|run| {
            run.task.job.key.as_str() == job
                && matches!(run.stopped, Some((_, StopReason::Finished)))
        });
        finished.map(|run| run.worker).collect()
    }

    /// Waits until the API reports `tasks` tasks of the job as finished.
    async fn wait_job(&self, key: &str, tasks: usize) {
        let finished = async || {
            let state = self.job_state(key).await;
            let task_states = state["tasks"].as_array().into_iter().flatten();
            let finished =
                task_states.filter(|task| task["state"]["ended"]["finished"].is_object());
            finished.count() == tasks
        };
        wait_for(key, finished).await;
    }
}

/// Guards against tasks that are lost with their VM, and against a restored VM that
/// gets no tasks.
#[actix_rt::test]
async fn tasks_survive_a_vm_crash_and_the_vm_gets_tasks_again() {
    let mut fixture = ClusterFixture::open().await;
    fixture.submit("job-1", 8, 3_000).await;
    fixture.wait_started(8).await;
    let index = fixture.busy_vm(false).await.expect("a busy VM without a shard");
    fixture.cluster.crash_vm(index).unwrap();
    fixture.wait_job("job-1", 8).await;
    fixture.cluster.restore_vm(index).unwrap();
    let vm = fixture.cluster.vms[index].vm.clone();
    for round in 0.. {
        let key = format!("job-after-{round}");
        fixture.submit(&key, 24, 200).await;
        fixture.wait_job(&key, 24).await;
        if fixture.vms_with_finished(&key).contains(&vm) {
            break;
        }
        assert!(round < 20, "no task finished on the restored VM");
    }
    fixture.check();
}

/// Guards against a worker that fails every task and still gets all tasks, and
/// against its VM being quarantined permanently.
#[actix_rt::test]
async fn jobs_finish_despite_a_failing_worker_which_gets_tasks_after_recovery() {
    let fixture = ClusterFixture::open().await;
    let fault = WorkerFault { fail_tasks: true, ..WorkerFault::default() };
    fixture.cluster.vms[0].worker.set_fault(fault);
    for job in 0..4 {
        fixture.submit(&format!("job-{job}"), 8, 200).await;
    }
    for job in 0..4 {
        fixture.wait_job(&format!("job-{job}"), 8).await;
    }
    fixture.check();
    fixture.cluster.vms[0].worker.set_fault(WorkerFault::default());
    let vm = fixture.cluster.vms[0].vm.clone();
    let round = std::cell::Cell::new(0);
    let has_tasks = async || {
        let key = format!("job-after-{}", round.replace(round.get() + 1));
        fixture.submit(&key, 16, 200).await;
        fixture.wait_job(&key, 16).await;
        fixture.vms_with_finished(&key).contains(&vm)
    };
    wait_for("a task finishes on the recovered VM", has_tasks).await;
    fixture.check();
}

/// Runs a job whose tasks fail on every VM, and another whose tasks succeed.
async fn run_failing_job(fixture: &ClusterFixture) {
    let fail_kinds = vec![TaskKind::new("transcription").unwrap()];
    let fault = WorkerFault { fail_kinds, ..WorkerFault::default() };
    for vm in &fixture.cluster.vms {
        vm.worker.set_fault(fault.clone());
    }
    fixture.submit("job-bad", 2, 200).await;
    let is_parked = async || fixture.job_state("job-bad").await["parked"].is_object();
    wait_for("the job is parked", is_parked).await;
    fixture.submit_kind("settlement", "job-good", "batch", 8, 200).await;
    fixture.wait_job("job-good", 8).await;
    fixture.check();
}

/// Guards against a job that fails on every VM and is retried endlessly, and against
/// the quarantine of VMs that other jobs need.
#[actix_rt::test]
async fn job_that_fails_everywhere_is_parked() {
    run_failing_job(&ClusterFixture::with_agents(4).await).await;
}

/// Guards against endless retries, and against the quarantine of both VMs, in a shard
/// of two VMs.
#[actix_rt::test]
async fn job_that_fails_on_both_vms_of_a_shard_is_parked() {
    run_failing_job(&ClusterFixture::open().await).await;
}

/// Guards against a watch that is not restarted after a failure, or that still runs
/// after its cancellation.
#[actix_rt::test]
async fn watch_restarts_until_it_is_cancelled() {
    let fixture = ClusterFixture::open().await;
    fixture.submit_kind("watch", "watch-1", "watch", 2, 1_000).await;
    fixture.wait_started(2).await;
    let fault = WorkerFault { fail_tasks: true, ..WorkerFault::default() };
    let index = fixture.cluster.vms.iter().position(|vm| !vm.worker.history().is_empty());
    let index = index.expect("a VM that runs a watch");
    // The fault affects only tasks that start after it, so the VM is restarted to make its
    // tasks start again.
    fixture.cluster.vms[index].worker.set_fault(fault);
    fixture.cluster.vms[index].worker.restart_vm();
    let is_running = async || {
        let running = fixture.runs().into_iter().filter(|run| run.stopped.is_none());
        running.count() == 2
    };
    wait_for("both watches run", is_running).await;
    let path = format!("/v1/jobs/{}/watch-1", fixture.plan);
    let reply = fixture.caller(1).delete(&path).await.unwrap().success().unwrap();
    assert_eq!(reply.status, 202);
    let has_stopped = async || fixture.runs().iter().all(|run| run.stopped.is_some());
    wait_for("the watches stop", has_stopped).await;
    let is_cancelled = async || {
        let state = fixture.job_state("watch-1").await;
        let tasks = state["tasks"].as_array().cloned().unwrap_or_default();
        tasks.iter().filter(|task| task["state"] == json!({ "ended": "cancelled" })).count() == 2
    };
    wait_for("the watches are reported as cancelled", is_cancelled).await;
    fixture.check();
}
