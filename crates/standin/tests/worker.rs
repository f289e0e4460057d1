//! The worker client with the worker stand-in: starts, leases, ends, usage and faults.

mod common;

use assert_matches::assert_matches;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_standin::task_simulator::{KindBehaviour, PairInterference, TaskBehaviour};
use cactusdoor_standin::worker::{
    StopReason, TaskChange, TaskHistory, WorkerFault, WorkerOptions, WorkerStandin,
};
use cactusdoor_worker::{
    CallError, EndAcknowledgement, LeaseRenewal, NotStarted, StartError, StartedTask, StopOrder,
    TaskEnd, TaskLaunch, ThrottleOrder, TokenError, UsageReport, WorkerClient,
};

use common::{eventually, kind, loopback, task};

/// A run time and lease that no test reaches.
const LONG_MS: u64 = 3_600_000;

fn options() -> WorkerOptions {
    let capacity = ResourceVector::new(4_000, 8_000, 1);
    WorkerOptions { name: "vm-1".into(), capacity, ..WorkerOptions::default() }
}

fn open(options: WorkerOptions) -> (WorkerStandin, WorkerClient) {
    let worker = WorkerStandin::spawn(loopback(), options).unwrap();
    let client = WorkerClient::open(worker.address());
    (worker, client)
}

fn launch(index: u32) -> TaskLaunch {
    TaskLaunch {
        task: task(index),
        kind: kind("transcription"),
        need: ResourceVector::new(1_000, 1_000, 0),
        run_time_ms: LONG_MS,
        endless: false,
        checkpoint: None,
        lease_ms: LONG_MS,
    }
}

/// Tokens and reasons of all stops so far.
fn stops(worker: &WorkerStandin) -> Vec<(u64, StopReason)> {
    let history = worker.history().into_iter();
    let stops = history.filter_map(|record| match record.change {
        TaskChange::Stopped(reason) => Some((record.token, reason)),
        TaskChange::Started { .. } => None,
    });
    stops.collect()
}

/// The first usage report that contains a task.
async fn usage(client: &WorkerClient) -> UsageReport {
    loop {
        let report = client.usage().await.unwrap();
        if !report.tasks.is_empty() {
            return report;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against a repeated call that starts a task twice, and against an old
/// token that starts it again.
#[actix_rt::test]
async fn stale_token_does_not_start_a_task() {
    let (worker, client) = open(options());
    assert_eq!(client.start(5, &launch(0)).await, Ok(StartedTask::Started));
    assert_eq!(client.start(5, &launch(0)).await, Ok(StartedTask::Running));
    let stale = Err(StartError::NotStarted(NotStarted::TokenStale));
    assert_eq!(client.start(4, &launch(0)).await, stale);
    assert_matches!(client.stop(5, StopOrder { checkpoint: false }).await, Ok(_));
    assert_eq!(client.start(5, &launch(0)).await, stale);
    assert_eq!(client.start(6, &launch(0)).await, Ok(StartedTask::Started));
    assert_eq!(worker.history().len(), 3);
}

/// Guards against a worker whose tasks need more than its capacity.
#[actix_rt::test]
async fn start_beyond_the_capacity_is_rejected() {
    let (_worker, client) = open(options());
    for index in 0..4 {
        client.start(u64::from(index), &launch(index)).await.unwrap();
    }
    let refused = client.start(9, &launch(9)).await;
    assert_eq!(refused, Err(StartError::NotStarted(NotStarted::DoesNotFit)));
    client.stop(0, StopOrder { checkpoint: false }).await.unwrap();
    assert_eq!(client.start(9, &launch(9)).await, Ok(StartedTask::Started));
}

/// Guards against a task that runs after its lease expired, and against a renewal
/// that restarts it.
#[actix_rt::test]
async fn task_stops_when_its_lease_expires() {
    let (worker, client) = open(options());
    let short = TaskLaunch { lease_ms: 100, ..launch(0) };
    client.start(1, &short).await.unwrap();
    client.start(2, &launch(1)).await.unwrap();
    eventually("the lease expires", || !stops(&worker).is_empty()).await;
    let reply = client.renew(&LeaseRenewal { tokens: vec![1, 2], lease_ms: 500 }).await.unwrap();
    assert_eq!(reply.lapsed, [1]);
    assert_eq!(stops(&worker), [(1, StopReason::Lapsed)]);
    let history = worker.history();
    let ran_us = history[2].time_unix_us - history[0].time_unix_us;
    assert!(ran_us <= 100_000, "ran {ran_us} us under a lease of 100 ms");
    let inventory = client.inventory().await.unwrap();
    assert_eq!(inventory.running.len(), 1);
    assert_eq!(inventory.ended[0].end, TaskEnd::Lapsed);
    eventually("the renewed lease expires too", || stops(&worker).len() == 2).await;
}

/// Guards against an end that is dropped before it is acknowledged.
#[actix_rt::test]
async fn ends_are_reported_until_acknowledged() {
    let (worker, client) = open(options());
    client.start(1, &TaskLaunch { run_time_ms: 30, ..launch(0) }).await.unwrap();
    eventually("the task finishes", || stops(&worker) == [(1, StopReason::Finished)]).await;
    let inventory = client.inventory().await.unwrap();
    assert_matches!(inventory.ended[..], [ref ended] => {
        assert_matches!(ended.end, TaskEnd::Finished { .. });
    });
    let order = StopOrder { checkpoint: true };
    assert_matches!(client.stop(1, order).await, Ok(TaskEnd::Finished { .. }));
    client.acknowledge(&EndAcknowledgement { tokens: vec![1] }).await.unwrap();
    assert_eq!(client.inventory().await.unwrap().ended, []);
    assert_eq!(client.stop(1, order).await, Err(TokenError::UnknownToken));
}

/// Guards against work that is repeated after a checkpoint.
#[actix_rt::test]
async fn task_resumes_from_its_checkpoint_on_another_worker() {
    let (_first, client) = open(options());
    client.start(1, &launch(0)).await.unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let end = client.stop(1, StopOrder { checkpoint: true }).await.unwrap();
    let TaskEnd::Stopped { checkpoint: Some(checkpoint) } = end else { panic!("{end:?}") };

    // The checkpoint covers the whole run time of 200 ms; without it the task would run for
    // 200 ms.
    let (second, client) = open(options());
    let resumed = TaskLaunch { run_time_ms: 200, checkpoint: Some(checkpoint), ..launch(0) };
    client.start(2, &resumed).await.unwrap();
    eventually("the task finishes", || second.history().len() == 2).await;
    let history = second.history();
    let ran_us = history[1].time_unix_us - history[0].time_unix_us;
    assert!(ran_us < 200_000, "ran {ran_us} us after the checkpoint");
}

/// Guards against a speed that ignores the throttle or interference.
#[actix_rt::test]
async fn usage_reflects_throttle_and_interference() {
    let pair = PairInterference {
        victim: kind("transcription"),
        noisy: kind("settlement"),
        slowdown_percent: 80.0,
    };
    let oversized =
        KindBehaviour { kind: kind("settlement"), run_time_percent: 100.0, usage_percent: 150.0 };
    let behaviour = TaskBehaviour { interference: vec![pair], kinds: vec![oversized] };
    let (worker, client) = open(WorkerOptions { behaviour, ..options() });
    client.start(1, &launch(0)).await.unwrap();
    assert_eq!(usage(&client).await.tasks[0].speed_percent, 100);
    let noisy = TaskLaunch {
        kind: kind("settlement"),
        need: ResourceVector::new(2_000, 1_000, 0),
        ..launch(1)
    };
    client.start(2, &noisy).await.unwrap();
    worker.set_fault(WorkerFault { usage_lag_ms: Some(0), ..WorkerFault::default() });
    // The noisy task needs half of the processors, so the slowdown is half of 80%.
    let report = loop {
        let report = usage(&client).await;
        if report.tasks.len() == 2 {
            break report;
        }
    };
    assert_eq!(report.tasks[0].speed_percent, 60);
    assert_eq!(report.tasks[1].speed_percent, 100);
    assert_eq!(report.tasks[1].used, ResourceVector::new(3_000, 1_500, 0));
    client.throttle(2, ThrottleOrder { percent: 50 }).await.unwrap();
    while usage(&client).await.tasks[0].speed_percent != 80 {}
    let rejected = client.throttle(2, ThrottleOrder { percent: 0 }).await;
    assert_eq!(rejected, Err(TokenError::Call(CallError::Rejected(400))));
}

/// Guards against reported usage that is newer than the configured lag.
#[actix_rt::test]
async fn usage_report_has_the_configured_lag() {
    let (_worker, client) = open(WorkerOptions { usage_lag_ms: 300, ..options() });
    let started = std::time::Instant::now();
    client.start(1, &launch(0)).await.unwrap();
    let report = usage(&client).await;
    assert_eq!(report.lag_ms, 300);
    assert!(started.elapsed().as_millis() >= 300);
}

/// Guards against a failure fault that misses some of the tasks started under it.
#[actix_rt::test]
async fn failing_worker_fails_every_task_it_starts() {
    let (worker, client) = open(options());
    client.start(1, &launch(0)).await.unwrap();
    worker.set_fault(WorkerFault { fail_tasks: true, ..WorkerFault::default() });
    client.start(2, &launch(1)).await.unwrap();
    client.start(3, &TaskLaunch { endless: true, ..launch(2) }).await.unwrap();
    eventually("both tasks fail", || stops(&worker).len() == 2).await;
    assert_eq!(stops(&worker), [(2, StopReason::Failed), (3, StopReason::Failed)]);
    worker.set_fault(WorkerFault::default());
    client.start(4, &launch(1)).await.unwrap();
    assert_eq!(client.inventory().await.unwrap().running.len(), 2);
}

/// Guards against a client that reports "not started" for a call that took effect.
#[actix_rt::test]
async fn start_without_an_answer_is_uncertain() {
    let (worker, client) = open(options());
    worker.set_fault(WorkerFault { lose_answers: 1, ..WorkerFault::default() });
    let lost = client.start(1, &launch(0)).await;
    assert_eq!(lost, Err(StartError::Uncertain(CallError::NoAnswer)));
    assert_eq!(client.start(1, &launch(0)).await, Ok(StartedTask::Running));
    // Above the client's timeout of 1 s.
    worker.set_fault(WorkerFault { delay_ms: 1_200, ..WorkerFault::default() });
    let late = client.start(2, &launch(1)).await;
    assert_eq!(late, Err(StartError::Uncertain(CallError::NoAnswer)));
    eventually("the late start takes effect", || worker.history().len() == 2).await;
    worker.set_fault(WorkerFault { refuse: true, ..WorkerFault::default() });
    let refused = client.start(3, &launch(2)).await;
    assert_eq!(refused, Err(StartError::Uncertain(CallError::Failed(503))));
    assert_eq!(client.status().await, Err(CallError::Failed(503)));
}

/// Guards against a client that reports "uncertain" although it sent nothing.
#[actix_rt::test]
async fn refused_connection_starts_nothing() {
    let (worker, client) = open(options());
    drop(worker);
    let refused = client.start(1, &launch(0)).await;
    assert_eq!(refused, Err(StartError::NotStarted(NotStarted::NotSent)));
    assert_matches!(client.inventory().await, Err(error) => assert!(error.had_no_effect()));
}

/// Guards against tasks that survive the restart of their VM.
#[actix_rt::test]
async fn vm_restart_ends_all_tasks() {
    let (worker, client) = open(options());
    let boot = client.status().await.unwrap().boot;
    client.start(1, &launch(0)).await.unwrap();
    worker.restart_vm();
    assert_eq!(stops(&worker), [(1, StopReason::Crashed)]);
    assert_ne!(client.status().await.unwrap().boot, boot);
    assert_eq!(client.inventory().await.unwrap().running, []);
}

/// Guards against a history file that lacks records.
#[actix_rt::test]
async fn history_is_written_as_json_lines() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history.jsonl");
    let (worker, client) = open(WorkerOptions { history: Some(path.clone()), ..options() });
    client.start(1, &launch(0)).await.unwrap();
    client.stop(1, StopOrder { checkpoint: false }).await.unwrap();
    let text = std::fs::read_to_string(path).unwrap();
    let parsed = text.lines().map(|line| serde_json::from_str::<TaskHistory>(line).unwrap());
    assert_eq!(parsed.collect::<Vec<_>>(), worker.history());
}
