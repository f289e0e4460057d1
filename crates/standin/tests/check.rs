//! Each check accepts a valid history and reports a violation in an invalid one.

mod common;

use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_standin::check::{
    Violation, collect_runs, late_starts, lost_checkpoints, overcommitments, overlaps,
    repeated_finishes, repeated_keys,
};
use cactusdoor_standin::upstream::{ExecutionChange, ExecutionHistory};
use cactusdoor_standin::worker::{StopReason, TaskChange, TaskHistory};

use common::{kind, task};

fn record(worker: &str, token: u64, time: u64, change: TaskChange) -> TaskHistory {
    TaskHistory {
        worker: worker.into(),
        boot: 1,
        time_unix_us: time,
        task: task(0),
        token,
        kind: kind("transcription"),
        need: ResourceVector::new(600, 10, 0),
        change,
    }
}

fn start(worker: &str, token: u64, time: u64) -> TaskHistory {
    record(worker, token, time, TaskChange::Started { checkpoint: None })
}

fn stop(worker: &str, token: u64, time: u64) -> TaskHistory {
    record(worker, token, time, TaskChange::Stopped(StopReason::Lapsed))
}

/// Guards against a check that misses an overlapping run or reports one that
/// starts when its predecessor ends.
#[test]
fn overlapping_runs_are_reported() {
    let valid = [start("v", 1, 10), stop("v", 1, 20), start("w", 2, 20), stop("w", 2, 30)];
    assert_eq!(overlaps(&collect_runs(&valid)), []);
    let invalid = [start("v", 1, 10), stop("v", 1, 21), start("w", 2, 20), stop("w", 2, 30)];
    let (first, second) = ("v".to_owned(), "w".to_owned());
    let twice = Violation::ConcurrentRuns { task: task(0), first, second };
    assert_eq!(overlaps(&collect_runs(&invalid)), std::slice::from_ref(&twice));
    let open = [start("v", 1, 10), start("w", 2, 20), stop("w", 2, 30)];
    assert_eq!(overlaps(&collect_runs(&open)), [twice]);
    // The second run lies within the first, which still runs when the third starts.
    let nested = [start("v", 1, 10), start("w", 2, 20), stop("w", 2, 25), start("x", 3, 30)];
    assert_eq!(overlaps(&collect_runs(&nested)).len(), 2);
}

/// Guards against a check that misses an overcommitted worker.
#[test]
fn overcommitted_worker_is_reported() {
    let capacity = ResourceVector::new(1_000, 1_000, 0);
    let valid = [start("v", 1, 10), stop("v", 1, 20), start("v", 2, 20), start("w", 3, 20)];
    assert_eq!(overcommitments(&collect_runs(&valid), capacity), []);
    let invalid = [start("v", 1, 10), start("v", 2, 15), stop("v", 1, 20)];
    let expected = Violation::Overcommitted {
        worker: "v".into(),
        resource: ResourceKind::Processors,
        time_unix_us: 15,
    };
    assert_eq!(overcommitments(&collect_runs(&invalid), capacity), [expected]);
}

fn execution(key: Option<&str>, change: ExecutionChange) -> ExecutionHistory {
    ExecutionHistory {
        upstream: "u".into(),
        time_unix_us: 1,
        execution: 1,
        request_id: "r".into(),
        key: key.map(str::to_owned),
        plan: "plan".into(),
        service: "counter".into(),
        body_digest: 0,
        change,
    }
}

/// Guards against a check that counts ends of executions or requests without a key.
#[test]
fn repeated_idempotency_key_is_reported() {
    let started = ExecutionChange::Started { leaving_us: None };
    let once = [
        execution(Some("k"), started),
        execution(Some("k"), ExecutionChange::Completed),
        execution(None, started),
        execution(None, started),
    ];
    assert_eq!(repeated_keys(&once), []);
    let twice = [execution(Some("k"), started), execution(Some("k"), started)];
    let (plan, key) = ("plan".to_owned(), "k".to_owned());
    assert_eq!(repeated_keys(&twice), [Violation::ExecutedTwice { plan, key, count: 2 }]);
}

/// Guards against a check that ignores the time since the upstream began to leave.
#[test]
fn late_start_at_a_leaving_upstream_is_reported() {
    let started = |leaving_us| execution(None, ExecutionChange::Started { leaving_us });
    assert_eq!(late_starts(&[started(None), started(Some(100))], 100), []);
    assert_eq!(late_starts(&[started(Some(101))], 100).len(), 1);
}

/// Guards against a check that misses a start without the checkpoint of the previous stop.
#[test]
fn lost_checkpoint_is_reported() {
    let checkpoint = Some(CheckpointName::new("checkpoint-1").unwrap());
    let stopped = StopReason::Ordered { checkpoint: checkpoint.clone() };
    let first = [start("v", 1, 10), record("v", 1, 20, TaskChange::Stopped(stopped))];
    let resumed = record("w", 2, 30, TaskChange::Started { checkpoint });
    let valid = [&first[..], &[resumed]].concat();
    assert_eq!(lost_checkpoints(&collect_runs(&valid)), []);
    let invalid = [&first[..], &[start("w", 2, 30)]].concat();
    let (first, second) = ("v".to_owned(), "w".to_owned());
    let lost = Violation::CheckpointLost { task: task(0), first, second };
    assert_eq!(lost_checkpoints(&collect_runs(&invalid)), [lost]);
}

/// Guards against a check that misses a task that finished again.
#[test]
fn repeated_finish_is_reported() {
    let finish = |token, time| record("v", token, time, TaskChange::Stopped(StopReason::Finished));
    let invalid = [start("v", 1, 10), finish(1, 20), start("v", 2, 30), finish(2, 40)];
    assert_eq!(repeated_finishes(&collect_runs(&invalid[..2]), 1), []);
    assert_eq!(repeated_finishes(&collect_runs(&invalid), 2), []);
    let twice = Violation::FinishedTwice { task: task(0), count: 2 };
    assert_eq!(repeated_finishes(&collect_runs(&invalid), 1), [twice]);
}
