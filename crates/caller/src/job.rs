//! JSON types of the job routes: submissions, receipts and job status.

use cactusdoor_core::job::{JobClass, JobId, JobSpec, MAX_TASKS_PER_JOB, TaskOutcome};
use cactusdoor_core::name::{IdempotencyKey, PlanName, ShardName, TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_timeline::event::WaitReason;
use serde::{Deserialize, Serialize};

use crate::error::CallerError;

/// Largest body of a submission, in bytes.
pub const MAX_JOB_BYTES: usize = 64 * 1024;

/// A job to submit; its key is sent in the header `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    pub plan: PlanName,
    pub kind: TaskKind,
    pub class: JobClass,
    /// Number of tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: u32,
    /// Resources that one task needs.
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
    /// Validates the ranges and builds the specification of the job under `key`.
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

/// Answer to a submission or cancellation that is recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReceipt {
    pub plan: PlanName,
    pub key: IdempotencyKey,
    /// Home shard of the job.
    pub shard: ShardName,
}

/// Whether a task waits, runs, was transferred or has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Not placed; `reason` is absent if the entry cannot determine it.
    Pending {
        reason: Option<WaitReason>,
    },
    Placed {
        vm: VmName,
        token: Token,
    },
    /// Transferred to the shard `to`.
    Moved {
        to: ShardName,
    },
    Ended(TaskOutcome),
}

/// Status of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    pub index: u32,
    pub state: TaskPhase,
    pub failures: u32,
    pub placements: u32,
}

/// Status of a job in one shard.
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
