//! Whole clusters under faults, checked against the histories of the stand-ins.
//!
//! The daemons are child processes and have to be built first:
//! `cargo build --workspace --bins`.

mod chaos;
mod fixture;
mod jobs;

use std::time::Duration;

use cactusdoor_core::constants::MAX_CONFIG_AGE;
use cactusdoor_standin::check;
use cactusdoor_standin::history::unix_us;
use cactusdoor_standin::log_service::LogFault;
use cactusdoor_standin::upstream::ExecutionChange;
use cactusdoor_standin::worker::StopReason;
use futures::future::join_all;
use serde_json::{Value, json};

use fixture::{CallerLoad, ClusterFixture, wait_for};

/// How long an agent is paused; above the lease of a task with its margins, 10.08 s.
const PAUSE: Duration = Duration::from_secs(13);
/// Longest start or graceful stop of a daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a leaving upstream must get no new requests; the design says
/// "a few seconds".
const LEAVE_GRACE_US: u64 = 3_000_000;
/// Time within which requests that the agent forwarded before it acknowledged the
/// withdrawal have started; afterwards it refuses requests at once.
const WITHDRAWAL_GRACE_US: u64 = 1_000_000;

/// Kills the agent of a busy VM that owns a shard or, without `owner`, owns none.
async fn run_with_killed_agent(owner: bool) {
    let mut fixture = ClusterFixture::open().await;
    fixture.submit("job-1", 8, 3_000).await;
    fixture.wait_started(8).await;
    let index = fixture.busy_vm(owner).await.expect("a matching busy VM");
    let agent = fixture.cluster.vms[index].agent.clone();
    fixture.cluster.children.kill(&agent).unwrap();
    fixture.wait_finished(8).await;
    fixture.check();
    fixture.cluster.children.start(&agent).unwrap();
    fixture.cluster.children.wait_ready(&agent, DAEMON_TIMEOUT).await.unwrap();
    fixture.submit("job-2", 8, 100).await;
    fixture.wait_finished(16).await;
    fixture.check();
}

/// Guards against tasks that are lost with their agent, or that are placed again
/// while the worker still runs them.
#[actix_rt::test]
async fn tasks_survive_a_killed_agent() {
    run_with_killed_agent(false).await;
}

/// Guards against tasks that are not placed again after their owner has crashed.
#[actix_rt::test]
async fn tasks_survive_a_killed_owner() {
    run_with_killed_agent(true).await;
}

/// Guards against an agent that starts or keeps tasks when it resumes after its
/// leases have expired.
#[actix_rt::test]
async fn tasks_survive_a_paused_agent() {
    let mut fixture = ClusterFixture::open().await;
    // Longer than the pause, so that no task finishes before the agent resumes.
    fixture.submit("job-1", 8, 14_000).await;
    fixture.wait_started(8).await;
    let agents: Vec<String> = fixture.cluster.vms.iter().map(|vm| vm.agent.clone()).collect();
    let index = fixture.busy_vm(false).await.expect("a busy VM without a shard");
    fixture.cluster.children.pause(&agents[index]).unwrap();
    tokio::time::sleep(PAUSE).await;
    fixture.cluster.children.resume(&agents[index]).unwrap();
    fixture.wait_finished(8).await;
    fixture.check();
}

/// Guards against tasks that start in a data centre that was taken out, and
/// against work that is lost when tasks move.
#[actix_rt::test]
async fn evacuated_data_centre_starts_no_tasks_until_it_returns() {
    let fixture = ClusterFixture::open().await;
    // Eight run concurrently, so that tasks start continuously.
    fixture.submit("job-1", 60, 1_000).await;
    fixture.wait_started(8).await;
    let path = "/v1/data-centres/a";
    let operator = fixture.operator(1);
    let set_state = async |state: &str| {
        let body = json!({ "state": state });
        let reply = operator.send_json(awc::http::Method::PUT, path, &[], &body).await;
        reply.unwrap().success().unwrap();
    };
    set_state("out").await;
    let taken_out = unix_us();
    fixture.wait_finished(60).await;
    let is_late = |run: &&check::TaskRun| {
        run.worker.starts_with("a-") && run.started > taken_out + MAX_CONFIG_AGE * 1_000
    };
    assert_eq!(fixture.runs().iter().find(is_late), None);
    assert_eq!(check::lost_checkpoints(&fixture.runs()), []);
    assert_eq!(check::repeated_finishes(&fixture.runs(), 1), []);
    fixture.check();
    set_state("in").await;
    let returned = unix_us();
    fixture.submit("job-2", 200, 300).await;
    let has_work = async || {
        fixture.runs().iter().any(|run| run.worker.starts_with("a-") && run.started > returned)
    };
    wait_for("a task starts in the returned data centre", has_work).await;
    fixture.check();
}

/// Runs a job during an outage of the log that is longer than a task's lease;
/// returns the names of the owners' VMs and the runs until the end of the outage.
async fn run_log_outage(fixture: &ClusterFixture) -> (Vec<String>, Vec<check::TaskRun>) {
    fixture.submit("job-1", 8, 15_000).await;
    fixture.wait_started(8).await;
    let owners = fixture.owners().await;
    let outage_start = unix_us();
    fixture.cluster.log.set_fault(LogFault { down: true, ..LogFault::default() });
    let caller = fixture.caller(0);
    let refused = fixture.settle(&caller, "key-1").await.unwrap();
    let error: Value = refused.json().unwrap();
    assert_eq!(error["error"]["outcome"], "unknown", "{error}");
    assert_eq!(error["error"]["retry"], "same_key", "{error}");
    for second in 0..12 {
        assert_eq!(fixture.ask(&caller, &format!("second {second}")).await.status, 200);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let runs = fixture.runs();
    let is_late = |run: &&check::TaskRun| run.started > outage_start + MAX_CONFIG_AGE * 1_000;
    assert_eq!(runs.iter().find(is_late), None);
    fixture.cluster.log.set_fault(LogFault::default());
    fixture.wait_finished(8).await;
    let settled = async || fixture.settle(&caller, "key-1").await.is_some_and(|r| r.status == 200);
    wait_for("the settlement succeeds", settled).await;
    fixture.submit("job-2", 4, 100).await;
    fixture.wait_finished(12).await;
    fixture.check();
    (owners, runs)
}

/// Whether a run has stopped without finishing.
fn is_stopped(run: &check::TaskRun) -> bool {
    matches!(&run.stopped, Some((_, reason)) if *reason != StopReason::Finished)
}

/// Guards against tasks that stop and interactive requests that fail in a log outage,
/// and against settlements that are executed although their claim cannot be read back.
#[actix_rt::test]
async fn work_continues_during_a_log_outage() {
    let fixture = ClusterFixture::open().await;
    let (owners, runs) = run_log_outage(&fixture).await;
    let is_elsewhere = |run: &check::TaskRun| !owners.contains(&run.worker);
    assert_eq!(runs.iter().find(|run| is_elsewhere(run) && is_stopped(run)), None);
}

/// Guards against tasks that stop in a log outage because they run on the VM of a
/// shard's owner.
#[actix_rt::test]
async fn work_on_the_owners_vm_continues_during_a_log_outage() {
    let fixture = ClusterFixture::open().await;
    let (owners, runs) = run_log_outage(&fixture).await;
    let is_on_owner = |run: &check::TaskRun| owners.contains(&run.worker);
    assert_eq!(runs.iter().find(|run| is_on_owner(run) && is_stopped(run)), None);
}

/// Guards against a settlement that is executed twice, or although a caller got the
/// answer "not run", when log answers are lost and an entry crashes.
#[actix_rt::test]
async fn settlements_are_executed_at_most_once() {
    let mut fixture = ClusterFixture::open().await;
    let keys: Vec<String> = (0..40).map(|number| format!("settlement-{number}")).collect();
    let lost = LogFault {
        lose_answers: 4,
        hold_back: 4,
        hold_ms: Some(700),
        stream_prefix: "claims-".into(),
        ..LogFault::default()
    };
    fixture.cluster.log.set_fault(lost);
    let callers = [fixture.caller(0), fixture.caller(1)];
    let first = join_all(keys.iter().map(|key| fixture.settle(&callers[0], key)));
    let second = join_all(keys.iter().map(|key| fixture.settle(&callers[1], key)));
    let (first, second) = futures::join!(first, second);
    let killed = fixture.cluster.entries[0].name.clone();
    fixture.cluster.children.kill(&killed).unwrap();
    let mut answered_not_run = Vec::new();
    for (key, reply) in keys.iter().chain(&keys).zip(first.into_iter().chain(second)) {
        let error = reply.and_then(|reply| reply.json::<Value>().ok()).unwrap_or_default();
        if error["error"]["outcome"] == "not_run" {
            answered_not_run.push(key.clone());
        }
    }
    for key in &keys {
        let is_final = async || {
            let Some(reply) = fixture.settle(&callers[1], key).await else { return false };
            let retry = reply.json::<Value>().unwrap_or_default()["error"]["retry"].clone();
            reply.status == 200 || retry != "same_key"
        };
        wait_for("the outcome is final", is_final).await;
    }
    fixture.check();
    for record in fixture.executions() {
        let key = record.key.unwrap_or_default();
        assert!(
            !answered_not_run.contains(&key),
            "{key} was executed although a caller got the answer \"not run\""
        );
    }
}

/// Guards against requests that fail while an upstream leaves, or that start on it
/// after its withdrawal.
#[actix_rt::test]
async fn no_request_fails_when_an_upstream_leaves_under_load() {
    let fixture = ClusterFixture::open().await;
    let load = CallerLoad::start(&fixture, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.cluster.vms[0].upstream.as_ref().unwrap().leave();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let (failures, count) = load.finish().await;
    assert_eq!(failures, Vec::<String>::new());
    assert!(count > 100, "only {count} requests");
    let executions = fixture.executions();
    assert_eq!(check::late_starts(&executions, LEAVE_GRACE_US), []);
    let vm = &fixture.cluster.vms[0];
    let status = vm.upstream.as_ref().unwrap().status();
    let limit = status.withdrawn_unix_us.unwrap() + WITHDRAWAL_GRACE_US;
    let mut started = executions
        .iter()
        .filter(|execution| matches!(execution.change, ExecutionChange::Started { .. }));
    let late = started.find(|start| start.upstream == vm.vm && start.time_unix_us > limit);
    assert_eq!(late, None);
}

/// Guards against requests that are interrupted or refused when an agent stops,
/// and against tasks that it leaves running until their leases expire.
#[actix_rt::test]
async fn no_request_fails_when_an_agent_stops_under_load() {
    let mut fixture = ClusterFixture::open().await;
    fixture.submit("job-1", 8, 4_000).await;
    fixture.wait_started(8).await;
    let load = CallerLoad::start(&fixture, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let index = fixture.busy_vm(false).await.expect("a busy VM without a shard");
    let agent = fixture.cluster.vms[index].agent.clone();
    fixture.cluster.children.terminate(&agent).unwrap();
    let status = fixture.cluster.children.wait_exit(&agent, DAEMON_TIMEOUT).await.unwrap();
    assert!(status.success(), "{status}");
    let (failures, _) = load.finish().await;
    assert_eq!(failures, Vec::<String>::new());
    let executions = fixture.executions().into_iter();
    assert_eq!(executions.filter(|e| e.change == ExecutionChange::Interrupted).count(), 0);
    let has_lapsed = |run: &&check::TaskRun| matches!(run.stopped, Some((_, StopReason::Lapsed)));
    assert_eq!(fixture.runs().iter().find(has_lapsed), None);
    fixture.wait_finished(8).await;
    fixture.check();
}
