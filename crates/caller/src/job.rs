//! Jobs as callers submit and see them.

use cactusdoor_core::job::{JobClass, JobId, JobSpec, MAX_TASKS_PER_JOB, TaskOutcome};
use cactusdoor_core::name::{IdempotencyKey, PlanName, ShardName, TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_timeline::event::WaitReason;
use serde::{Deserialize, Serialize};

use crate::error::CallerError;

/// Largest body of a submission, in bytes.
pub const MAX_JOB_BYTES: usize = 64 * 1024;

/// A job to be submitted; its key is in the header `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    pub plan: PlanName,
    pub kind: TaskKind,
    pub class: JobClass,
    /// Number of tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: u32,
    /// Need of one task.
    pub need: ResourceVector,
    /// Declared run time of one task.
    pub run_time_ms: Millis,
    #[serde(default)]
    pub urgent: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<Millis>,
    #[serde(default)]
    pub checkpoints: bool,
}

impl JobSubmission {
    /// Checks the ranges and names the job.
    pub fn into_spec(self, key: IdempotencyKey) -> Result<JobSpec, CallerError> {
        if !(1..=MAX_TASKS_PER_JOB).contains(&self.tasks) {
            let text = format!("tasks must be from 1 to {MAX_TASKS_PER_JOB}");
            return Err(CallerError::malformed(text));
        }
        if self.need == ResourceVector::ZERO {
            return Err(CallerError::malformed("need must not be zero"));
        }
        if self.run_time_ms == 0 && !self.class.is_endless() {
            return Err(CallerError::malformed("run_time_ms must not be zero"));
        }
        Ok(JobSpec {
            id: JobId { plan: self.plan, key },
            kind: self.kind,
            class: self.class,
            tasks: self.tasks,
            need: self.need,
            run_time_ms: self.run_time_ms,
            urgent: self.urgent,
            deadline_unix_ms: self.deadline_unix_ms,
            checkpoints: self.checkpoints,
        })
    }
}

/// Answer to a submission or cancellation that the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReceipt {
    pub plan: PlanName,
    pub key: IdempotencyKey,
    /// Home shard of the job.
    pub shard: ShardName,
}

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskWhere {
    /// Not placed; `reason` as far as the entry can tell.
    Pending {
        reason: Option<WaitReason>,
    },
    Placed {
        vm: VmName,
        token: Token,
    },
    Moved {
        to: ShardName,
    },
    Ended(TaskOutcome),
}

/// State of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    pub index: u32,
    pub state: TaskWhere,
    pub failures: u32,
    pub placements: u32,
}

/// State of a job in one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    pub plan: PlanName,
    pub key: IdempotencyKey,
    pub shard: ShardName,
    /// Whether this shard accounts for the plan's allowance.
    pub home: bool,
    pub kind: TaskKind,
    pub class: JobClass,
    pub need: ResourceVector,
    pub cancelled: bool,
    pub parked: Option<cactusdoor_core::job::ParkReason>,
    pub tasks: Vec<TaskStatus>,
}
