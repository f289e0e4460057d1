//! Jobs under failing VMs, workers and tasks, and jobs that are cancelled.

use std::collections::BTreeSet;

use cactusdoor_core::name::TaskKind;
use cactusdoor_standin::worker::{StopReason, WorkerFault};
use serde_json::{Value, json};

use crate::site::{Site, wait_for};

impl Site {
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
    let mut site = Site::open().await;
    site.submit("job-1", 8, 3_000).await;
    site.wait_started(8).await;
    let index = site.busy_vm(false).await.expect("a busy VM without a shard");
    site.cluster.crash_vm(index).unwrap();
    site.wait_job("job-1", 8).await;
    site.cluster.restore_vm(index).unwrap();
    let vm = site.cluster.vms[index].vm.clone();
    for round in 0.. {
        let key = format!("job-after-{round}");
        site.submit(&key, 24, 200).await;
        site.wait_job(&key, 24).await;
        if site.vms_with_finished(&key).contains(&vm) {
            break;
        }
        assert!(round < 20, "no task finished on the restored VM");
    }
    site.check();
}

/// Guards against a worker that fails every task and still gets all tasks, and
/// against its VM being quarantined permanently.
#[actix_rt::test]
async fn vm_of_a_failing_worker_is_quarantined_until_it_recovers() {
    let site = Site::open().await;
    let fault = WorkerFault { fail_tasks: true, ..WorkerFault::default() };
    site.cluster.vms[0].worker.set_fault(fault);
    for job in 0..4 {
        site.submit(&format!("job-{job}"), 8, 200).await;
    }
    for job in 0..4 {
        site.wait_job(&format!("job-{job}"), 8).await;
    }
    site.check();
    site.cluster.vms[0].worker.set_fault(WorkerFault::default());
    let vm = site.cluster.vms[0].vm.clone();
    let round = std::cell::Cell::new(0);
    let has_tasks = async || {
        let key = format!("job-after-{}", round.replace(round.get() + 1));
        site.submit(&key, 16, 200).await;
        site.wait_job(&key, 16).await;
        site.vms_with_finished(&key).contains(&vm)
    };
    wait_for("the VM takes tasks again", has_tasks).await;
    site.check();
}

/// Runs a job whose tasks fail on every VM, and another whose tasks succeed.
async fn run_failing_job(site: &Site) {
    let fail_kinds = vec![TaskKind::new("transcription").unwrap()];
    let fault = WorkerFault { fail_kinds, ..WorkerFault::default() };
    for vm in &site.cluster.vms {
        vm.worker.set_fault(fault.clone());
    }
    site.submit("job-bad", 2, 200).await;
    let is_parked = async || site.job_state("job-bad").await["parked"].is_object();
    wait_for("the job is parked", is_parked).await;
    site.submit_kind("settlement", "job-good", "batch", 8, 200).await;
    site.wait_job("job-good", 8).await;
    site.check();
}

/// Guards against a job that fails on every VM and is retried endlessly, or has VMs
/// quarantined that other jobs need.
#[actix_rt::test]
async fn job_that_fails_everywhere_is_parked() {
    run_failing_job(&Site::with_agents(4).await).await;
}

/// Guards against the same failures in a shard of two VMs.
#[actix_rt::test]
async fn job_that_fails_on_both_vms_of_a_shard_is_parked() {
    run_failing_job(&Site::open().await).await;
}

/// Guards against a watch that is not restarted after a failure, or that still runs
/// after its cancellation.
#[actix_rt::test]
async fn watch_restarts_until_it_is_cancelled() {
    let site = Site::open().await;
    site.submit_kind("watch", "watch-1", "watch", 2, 1_000).await;
    site.wait_started(2).await;
    let fault = WorkerFault { fail_tasks: true, ..WorkerFault::default() };
    let index = site.cluster.vms.iter().position(|vm| !vm.worker.history().is_empty());
    let index = index.expect("a VM that runs a watch");
    // The fault affects only tasks started from now on, so the VM restart makes its tasks start
    // again.
    site.cluster.vms[index].worker.set_fault(fault);
    site.cluster.vms[index].worker.restart_vm();
    let is_running = async || {
        let running = site.runs().into_iter().filter(|run| run.stopped.is_none());
        running.count() == 2
    };
    wait_for("both watches run", is_running).await;
    let path = format!("/v1/jobs/{}/watch-1", site.plan);
    let reply = site.caller(1).delete(&path).await.unwrap().success().unwrap();
    assert_eq!(reply.status, 202);
    let has_stopped = async || site.runs().iter().all(|run| run.stopped.is_some());
    wait_for("the watches stop", has_stopped).await;
    let is_cancelled = async || {
        let state = site.job_state("watch-1").await;
        let tasks = state["tasks"].as_array().cloned().unwrap_or_default();
        tasks.iter().filter(|task| task["state"] == json!({ "ended": "cancelled" })).count() == 2
    };
    wait_for("the watches are reported as cancelled", is_cancelled).await;
    site.check();
}
