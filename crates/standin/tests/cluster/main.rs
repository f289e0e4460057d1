//! Whole installations with faults, judged by the histories of the stand-ins.
//!
//! The daemons are child processes and have to be built before:
//! `cargo build --workspace --bins`.

mod chaos;
mod jobs;
mod site;

use std::time::Duration;

use cactusdoor_core::constants::MAX_CONFIG_AGE;
use cactusdoor_standin::check;
use cactusdoor_standin::history::unix_us;
use cactusdoor_standin::log_service::LogFault;
use cactusdoor_standin::upstream::ExecutionChange;
use cactusdoor_standin::worker::StopReason;
use futures::future::join_all;
use serde_json::{Value, json};

use site::{CallerLoad, Site, wait_for};

/// Above the lease of a task with its margins, 10.08 s.
const PAUSE: Duration = Duration::from_secs(13);
/// Longest graceful stop of a daemon in these tests.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Within which an upstream that leaves gets no new work, "a few seconds".
const LEAVE_GRACE_US: u64 = 3_000_000;
/// Within which requests that the agent had forwarded before it took the
/// withdrawal have begun; afterwards it refuses them at once.
const WITHDRAWAL_GRACE_US: u64 = 1_000_000;

/// Kills the agent of a busy VM, which either owns a shard or does not.
async fn killed_agent(owner: bool) {
    let mut site = Site::open().await;
    site.submit("job-1", 8, 3_000).await;
    site.wait_started(8).await;
    let index = site.busy_vm(owner).await.expect("a busy VM of this kind");
    let agent = site.cluster.vms[index].agent.clone();
    site.cluster.children.kill(&agent).unwrap();
    site.wait_finished(8).await;
    site.check();
    site.cluster.children.start(&agent).unwrap();
    site.cluster.children.wait_ready(&agent, STOP_TIMEOUT).await.unwrap();
    site.submit("job-2", 8, 100).await;
    site.wait_finished(16).await;
    site.check();
}

/// Guards against tasks that are lost with an agent, or placed again while the
/// worker still runs them.
#[actix_rt::test]
async fn tasks_survive_a_killed_agent() {
    killed_agent(false).await;
}

/// Guards against tasks that nobody places again when their owner is gone.
#[actix_rt::test]
async fn tasks_survive_a_killed_owner() {
    killed_agent(true).await;
}

/// Guards against an agent that starts or keeps tasks when it resumes after its leases.
#[actix_rt::test]
async fn tasks_survive_a_paused_agent() {
    let mut site = Site::open().await;
    // Longer than the pause, so that the tasks are still running when it begins.
    site.submit("job-1", 8, 14_000).await;
    site.wait_started(8).await;
    let agents: Vec<String> = site.cluster.vms.iter().map(|vm| vm.agent.clone()).collect();
    let index = site.busy_vm(false).await.expect("a busy VM without a shard");
    site.cluster.children.pause(&agents[index]).unwrap();
    tokio::time::sleep(PAUSE).await;
    site.cluster.children.resume(&agents[index]).unwrap();
    site.wait_finished(8).await;
    site.check();
}

/// Guards against tasks that start in a data centre that was taken out, and
/// against work that is lost when it moves.
#[actix_rt::test]
async fn data_centre_leaves_and_returns() {
    let site = Site::open().await;
    // Eight at a time, so that tasks start all the time.
    site.submit("job-1", 60, 1_000).await;
    site.wait_started(8).await;
    let path = "/v1/data-centres/a";
    let operator = site.operator(1);
    let put = async |state: &str| {
        let body = json!({ "state": state });
        let reply = operator.send_json(awc::http::Method::PUT, path, &[], &body).await;
        reply.unwrap().success().unwrap();
    };
    put("out").await;
    let out = unix_us();
    site.wait_finished(60).await;
    let is_late = |run: &&check::TaskRun| {
        run.worker.starts_with("a-") && run.started > out + MAX_CONFIG_AGE * 1_000
    };
    assert_eq!(site.runs().iter().find(is_late), None);
    assert_eq!(check::lost_checkpoints(&site.runs()), []);
    assert_eq!(check::repeated_finishes(&site.runs(), 1), []);
    site.check();
    put("in").await;
    let returned = unix_us();
    site.submit("job-2", 200, 300).await;
    let is_back = async || {
        site.runs().iter().any(|run| run.worker.starts_with("a-") && run.started > returned)
    };
    wait_for("the data centre takes work again", is_back).await;
    site.check();
}

/// Takes the log down for longer than a task's lease while a job runs, and
/// returns the names of the owners' VMs and what ran until the end of the outage.
async fn outage(site: &Site) -> (Vec<String>, Vec<check::TaskRun>) {
    site.submit("job-1", 8, 15_000).await;
    site.wait_started(8).await;
    let owners = site.owners().await;
    let began = unix_us();
    site.cluster.log.set_fault(LogFault { down: true, ..LogFault::default() });
    let caller = site.caller(0);
    let refused = site.settle(&caller, "key-1").await.unwrap();
    let error: Value = refused.json().unwrap();
    assert_eq!(error["error"]["outcome"], "unknown", "{error}");
    assert_eq!(error["error"]["retry"], "same_key", "{error}");
    for second in 0..12 {
        assert_eq!(site.ask(&caller, &format!("second {second}")).await.status, 200);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let runs = site.runs();
    let late = |run: &&check::TaskRun| run.started > began + MAX_CONFIG_AGE * 1_000;
    assert_eq!(runs.iter().find(late), None);
    site.cluster.log.set_fault(LogFault::default());
    site.wait_finished(8).await;
    let settled = async || site.settle(&caller, "key-1").await.is_some_and(|r| r.status == 200);
    wait_for("the settlement runs", settled).await;
    site.submit("job-2", 4, 100).await;
    site.wait_finished(12).await;
    site.check();
    (owners, runs)
}

/// Whether a run was ended by somebody.
fn is_stopped(run: &check::TaskRun) -> bool {
    matches!(&run.stopped, Some((_, reason)) if *reason != StopReason::Finished)
}

/// Guards against running work and interactive traffic that need the log, and
/// against settlements that run although their claim cannot be read back.
#[actix_rt::test]
async fn work_continues_in_a_log_outage() {
    let site = Site::open().await;
    let (owners, runs) = outage(&site).await;
    let is_elsewhere = |run: &check::TaskRun| !owners.contains(&run.worker);
    assert_eq!(runs.iter().find(|run| is_elsewhere(run) && is_stopped(run)), None);
}

/// Guards against the same for tasks on the VM of the shard's owner.
#[actix_rt::test]
async fn work_beside_the_owner_continues_in_a_log_outage() {
    let site = Site::open().await;
    let (owners, runs) = outage(&site).await;
    let is_beside = |run: &check::TaskRun| owners.contains(&run.worker);
    assert_eq!(runs.iter().find(|run| is_beside(run) && is_stopped(run)), None);
}

/// Guards against a settlement that runs twice, or that runs although a caller
/// was told "not run", when log answers are lost and an entry dies.
#[actix_rt::test]
async fn settlements_run_at_most_once() {
    let mut site = Site::open().await;
    let keys: Vec<String> = (0..40).map(|number| format!("settlement-{number}")).collect();
    let lost = LogFault {
        lose_answers: 4,
        hold_back: 4,
        hold_ms: Some(700),
        stream_prefix: "claims-".into(),
        ..LogFault::default()
    };
    site.cluster.log.set_fault(lost);
    let callers = [site.caller(0), site.caller(1)];
    let first = join_all(keys.iter().map(|key| site.settle(&callers[0], key)));
    let second = join_all(keys.iter().map(|key| site.settle(&callers[1], key)));
    let (first, second) = futures::join!(first, second);
    let dead = site.cluster.entries[0].name.clone();
    site.cluster.children.kill(&dead).unwrap();
    let mut told_not_run = Vec::new();
    for (key, reply) in keys.iter().chain(&keys).zip(first.into_iter().chain(second)) {
        let error = reply.and_then(|reply| reply.json::<Value>().ok()).unwrap_or_default();
        if error["error"]["outcome"] == "not_run" {
            told_not_run.push(key.clone());
        }
    }
    for key in &keys {
        let is_final = async || {
            let Some(reply) = site.settle(&callers[1], key).await else { return false };
            let retry = reply.json::<Value>().unwrap_or_default()["error"]["retry"].clone();
            reply.status == 200 || retry != "same_key"
        };
        wait_for("the outcome is final", is_final).await;
    }
    site.check();
    for record in site.executions() {
        let key = record.key.unwrap_or_default();
        assert!(!told_not_run.contains(&key), "{key} ran although a caller was told it did not");
    }
}

/// Guards against requests that fail or arrive late at an upstream that leaves.
#[actix_rt::test]
async fn upstream_leaves_under_load() {
    let site = Site::open().await;
    let load = CallerLoad::start(&site, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.cluster.vms[0].upstream.as_ref().unwrap().leave();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let (failures, count) = load.finish().await;
    assert_eq!(failures, Vec::<String>::new());
    assert!(count > 100, "only {count} requests");
    let executions = site.executions();
    assert_eq!(check::late_starts(&executions, LEAVE_GRACE_US), []);
    let left = &site.cluster.vms[0];
    let status = left.upstream.as_ref().unwrap().status();
    let last = status.withdrawn_unix_us.unwrap() + WITHDRAWAL_GRACE_US;
    let mut started = executions
        .iter()
        .filter(|execution| matches!(execution.change, ExecutionChange::Started { .. }));
    let late = started.find(|start| start.upstream == left.vm && start.time_unix_us > last);
    assert_eq!(late, None);
}

/// Guards against requests that are interrupted or refused when an agent stops,
/// and against tasks that it does not hand back.
#[actix_rt::test]
async fn agent_stops_gracefully_under_load() {
    let mut site = Site::open().await;
    site.submit("job-1", 8, 4_000).await;
    site.wait_started(8).await;
    let load = CallerLoad::start(&site, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let index = site.busy_vm(false).await.expect("a busy VM without a shard");
    let agent = site.cluster.vms[index].agent.clone();
    site.cluster.children.terminate(&agent).unwrap();
    let status = site.cluster.children.wait_exit(&agent, STOP_TIMEOUT).await.unwrap();
    assert!(status.success(), "{status}");
    let (failures, _) = load.finish().await;
    assert_eq!(failures, Vec::<String>::new());
    let interrupted = site.executions().into_iter();
    assert_eq!(interrupted.filter(|e| e.change == ExecutionChange::Interrupted).count(), 0);
    let lapsed = |run: &&check::TaskRun| matches!(run.stopped, Some((_, StopReason::Lapsed)));
    assert_eq!(site.runs().iter().find(lapsed), None);
    site.wait_finished(8).await;
    site.check();
}
