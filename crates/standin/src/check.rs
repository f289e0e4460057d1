//! Checks of the recorded histories for violated invariants.
//!
//! The checks read only what the stand-ins recorded, never what the daemons
//! report about themselves.

use std::collections::BTreeMap;

use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_core::unit::Token;
use thiserror::Error;

use crate::history::UnixMicros;
use crate::upstream::{ExecutionChange, ExecutionHistory};
use crate::worker::{StopReason, TaskChange, TaskHistory};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    #[error("task {task} ran on {first} and on {second} at the same time")]
    ConcurrentRuns { task: TaskId, first: String, second: String },
    #[error("worker {worker} exceeded its capacity of {resource} at Unix time {time_unix_us} us")]
    Overcommitted { worker: String, resource: ResourceKind, time_unix_us: UnixMicros },
    #[error("key {plan}/{key} was executed {count} times")]
    ExecutedTwice { plan: String, key: String, count: usize },
    #[error("task {task} was stopped on {first} and started on {second} without its checkpoint")]
    CheckpointLost { task: TaskId, first: String, second: String },
    #[error("task {task} finished {count} times")]
    FinishedTwice { task: TaskId, count: usize },
    #[error("{upstream} started request {request_id} {leaving_us} us after it began to leave")]
    StartedWhileLeaving { upstream: String, request_id: String, leaving_us: UnixMicros },
}

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRun {
    pub worker: String,
    pub task: TaskId,
    pub token: Token,
    pub need: ResourceVector,
    pub started: UnixMicros,
    /// The checkpoint that it resumed from.
    pub checkpoint: Option<CheckpointName>,
    /// Time and reason of its stop; `None` while it runs.
    pub stopped: Option<(UnixMicros, StopReason)>,
}

impl TaskRun {
    fn end(&self) -> UnixMicros {
        self.stopped.as_ref().map_or(UnixMicros::MAX, |(time, _)| *time)
    }
}

/// Pairs the starts and stops in the histories of any number of workers into
/// runs, in order of their starts.
#[must_use]
pub fn collect_runs(history: &[TaskHistory]) -> Vec<TaskRun> {
    let mut runs: Vec<TaskRun> = Vec::new();
    for record in history {
        match &record.change {
            TaskChange::Started { checkpoint } => runs.push(TaskRun {
                worker: record.worker.clone(),
                task: record.task.clone(),
                token: record.token,
                need: record.need,
                started: record.time_unix_us,
                checkpoint: checkpoint.clone(),
                stopped: None,
            }),
            TaskChange::Stopped(reason) => {
                let open = runs.iter_mut().rev().find(|run| {
                    run.worker == record.worker
                        && run.token == record.token
                        && run.stopped.is_none()
                });
                if let Some(run) = open {
                    run.stopped = Some((record.time_unix_us, reason.clone()));
                }
            }
        }
    }
    runs.sort_by_key(|run| run.started);
    runs
}

/// Tasks of which two runs overlapped in time.
#[must_use]
pub fn overlaps(runs: &[TaskRun]) -> Vec<Violation> {
    let mut by_task: BTreeMap<&TaskId, Vec<&TaskRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (task, runs) in by_task {
        let mut latest: Option<&TaskRun> = None;
        for run in runs {
            if let Some(earlier) = latest.filter(|earlier| run.started < earlier.end()) {
                let (first, second) = (earlier.worker.clone(), run.worker.clone());
                violations.push(Violation::ConcurrentRuns { task: task.clone(), first, second });
            }
            if latest.is_none_or(|earlier| run.end() >= earlier.end()) {
                latest = Some(run);
            }
        }
    }
    violations
}

/// Runs that follow a stop with a checkpoint and did not resume from it.
///
/// An agent that crashes between a stop and its report loses the checkpoint, so
/// this check applies only to histories without such a crash.
#[must_use]
pub fn lost_checkpoints(runs: &[TaskRun]) -> Vec<Violation> {
    let mut latest: BTreeMap<&TaskId, &TaskRun> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in runs {
        let Some(earlier) = latest.insert(&run.task, run) else { continue };
        let Some((_, StopReason::Ordered { checkpoint: Some(expected) })) = &earlier.stopped else {
            continue;
        };
        if run.checkpoint.as_ref() != Some(expected) {
            let (first, second) = (earlier.worker.clone(), run.worker.clone());
            violations.push(Violation::CheckpointLost { task: run.task.clone(), first, second });
        }
    }
    violations
}

/// Tasks that finished more than `limit` times.
#[must_use]
pub fn repeated_finishes(runs: &[TaskRun], limit: usize) -> Vec<Violation> {
    let mut counts: BTreeMap<&TaskId, usize> = BTreeMap::new();
    for run in runs {
        if matches!(run.stopped, Some((_, StopReason::Finished))) {
            *counts.entry(&run.task).or_default() += 1;
        }
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > limit);
    repeated.map(|(task, count)| Violation::FinishedTwice { task: task.clone(), count }).collect()
}

/// Workers whose running tasks needed more than `capacity`.
#[must_use]
pub fn overcommitments(runs: &[TaskRun], capacity: ResourceVector) -> Vec<Violation> {
    let mut by_worker: BTreeMap<&str, Vec<&TaskRun>> = BTreeMap::new();
    for run in runs {
        by_worker.entry(&run.worker).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (worker, runs) in by_worker {
        // Usage rises only at starts, so the other times need no check.
        for start in runs.iter().map(|run| run.started) {
            let running = runs.iter().filter(|run| run.started <= start && start < run.end());
            let used = running
                .fold(ResourceVector::ZERO, |used, run| used.checked_add(run.need).unwrap_or(used));
            if let Some(resource) = capacity.shortage(used) {
                let (worker, time_unix_us) = (worker.to_owned(), start);
                violations.push(Violation::Overcommitted { worker, resource, time_unix_us });
            }
        }
    }
    violations
}

/// Idempotency keys that were executed more than once.
#[must_use]
pub fn repeated_keys(history: &[ExecutionHistory]) -> Vec<Violation> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for record in starts(history) {
        if let Some(key) = &record.key {
            *counts.entry((&record.plan, key)).or_default() += 1;
        }
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    let violation = |((plan, key), count): ((&str, &str), usize)| Violation::ExecutedTwice {
        plan: plan.to_owned(),
        key: key.to_owned(),
        count,
    };
    repeated.map(violation).collect()
}

/// Executions that started more than `grace` microseconds after their upstream
/// began to leave.
#[must_use]
pub fn late_starts(history: &[ExecutionHistory], grace: UnixMicros) -> Vec<Violation> {
    let violation = |record: &ExecutionHistory| match record.change {
        ExecutionChange::Started { leaving_us: Some(leaving_us) } if leaving_us > grace => {
            let (upstream, request_id) = (record.upstream.clone(), record.request_id.clone());
            Some(Violation::StartedWhileLeaving { upstream, request_id, leaving_us })
        }
        _ => None,
    };
    history.iter().filter_map(violation).collect()
}

fn starts(history: &[ExecutionHistory]) -> impl Iterator<Item = &ExecutionHistory> {
    let is_start =
        |record: &&ExecutionHistory| matches!(record.change, ExecutionChange::Started { .. });
    history.iter().filter(is_start)
}
