//! What a job is, and how its tasks end.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::{CheckpointName, IdempotencyKey, PlanName, ShardName, TaskKind};
use crate::resource::{ResourceKind, ResourceVector};
use crate::unit::Millis;

/// Largest number of tasks in one job.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// A job: the plan and the idempotency key it was submitted under.
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

/// One task of a job.
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
    /// Runs to its end; may be throttled, checkpointed and moved.
    Batch,
    /// Has no end; restarted after every failure until cancelled.
    Watch,
    /// Has no end and serves latency-critical work; never throttled.
    LatencyCritical,
}

impl JobClass {
    /// Whether a task that finishes is placed again.
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
    /// Declared need of one task; the learned one may differ.
    pub need: ResourceVector,
    /// Declared run time of one task.
    pub run_time_ms: Millis,
    /// Urgent work starts within a second.
    #[serde(default)]
    pub urgent: bool,
    /// When the job should be finished, Unix milliseconds.
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
    /// The agent has not yet learned from its worker what runs there.
    NotReady,
    WorkerFailed,
}

/// How a placement ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementEnd {
    /// Ran to its end; `digest` identifies the result.
    Finished {
        digest: u64,
    },
    Failed,
    /// Stopped by us, progress kept in `checkpoint` if there is one.
    Evicted {
        checkpoint: Option<CheckpointName>,
    },
    /// The lease passed without a word from the agent.
    Lapsed,
    /// The agent never started it and never will.
    Refused(StartRefusal),
    Cancelled,
}

/// Why a job is not being scheduled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParkReason {
    /// No VM is large enough.
    NeverFits(ResourceKind),
    /// One task needs more than the plan may use.
    ExceedsAllowance(ResourceKind),
    /// Tasks failed on this many VMs.
    FailsEverywhere {
        vms: u32,
    },
    UnknownPlan,
}

/// A task that changes shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskMove {
    pub task: TaskId,
    /// Counts the moves of this task, starting at 1.
    pub number: u32,
    pub from: ShardName,
    pub to: ShardName,
    pub checkpoint: Option<CheckpointName>,
    /// Set when the task comes back ended to its home shard.
    pub ended: Option<TaskOutcome>,
}

/// Final state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    Finished { digest: u64 },
    Cancelled,
}
