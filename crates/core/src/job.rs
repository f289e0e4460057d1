//! Jobs as submitted, and how placements and tasks end.
//!
//! The names of fields and variants are stored in the log.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::{CheckpointName, IdempotencyKey, PlanName, ShardName, TaskKind};
use crate::resource::{ResourceKind, ResourceVector};
use crate::unit::Millis;

/// Largest number of tasks in one job.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// Id of a job: its plan and the idempotency key it was submitted under.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    pub plan: PlanName,
    pub key: IdempotencyKey,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.plan, self.key)
    }
}

/// Id of a task: its job and its index, counted from 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.job, self.index)
    }
}

/// How a job is scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobClass {
    /// Runs to completion; may be throttled, and checkpointed to resume on another VM.
    Batch,
    /// Runs until cancelled; restarted whenever it ends.
    Watch,
    /// Like `Watch`, but serves latency-critical work and is never throttled.
    LatencyCritical,
}

impl JobClass {
    /// Whether a task is placed again after it finishes.
    #[must_use]
    pub fn is_endless(self) -> bool {
        !matches!(self, Self::Batch)
    }
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    pub id: JobId,
    pub kind: TaskKind,
    pub class: JobClass,
    /// Number of tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: u32,
    /// Declared need of one task; the learned need may differ.
    pub need: ResourceVector,
    /// Declared run time of one task.
    pub run_time_ms: Millis,
    /// Whether tasks should start within a second.
    #[serde(default)]
    pub urgent: bool,
    /// When the job should be finished, in Unix milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<Millis>,
    /// Whether the worker can checkpoint the tasks.
    #[serde(default)]
    pub checkpoints: bool,
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartRefusal {
    DoesNotFit(ResourceKind),
    DataCentreOut,
    ConfigurationStale,
    EpochStale,
    Draining,
    /// The agent does not yet know which tasks its worker runs.
    NotReady,
    WorkerFailed,
}

/// How a placement ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementEnd {
    /// Ran to completion; `digest` identifies the result.
    Finished {
        digest: u64,
    },
    Failed,
    /// Stopped by the scheduler; `checkpoint` holds its progress, if it saved any.
    Evicted {
        checkpoint: Option<CheckpointName>,
    },
    /// The lease expired without a report from the agent.
    Lapsed,
    /// The agent did not start the task and never will.
    Refused(StartRefusal),
    Cancelled,
}

/// Why a job is not being scheduled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// No VM is large enough.
    NeverFits(ResourceKind),
    /// One task needs more than the plan's whole allowance.
    ExceedsAllowance(ResourceKind),
    /// Tasks failed on this many different VMs.
    FailsEverywhere {
        vms: u32,
    },
    UnknownPlan,
}

/// A transfer of a task from one shard to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTransfer {
    pub task: TaskId,
    /// Number of this transfer among those of the task, starting at 1.
    pub number: u32,
    pub from: ShardName,
    pub to: ShardName,
    pub checkpoint: Option<CheckpointName>,
    /// Outcome of a task that returns to its home shard after it ended.
    pub ended: Option<TaskOutcome>,
}

/// Final state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    Finished { digest: u64 },
    Cancelled,
}
