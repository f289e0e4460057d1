//! Request and answer bodies of the worker's HTTP interface.

use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::{CheckpointName, TaskKind};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use serde::{Deserialize, Serialize};

/// `GET /v1/worker`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    pub capacity: ResourceVector,
    /// Changes when the VM restarts.
    pub boot: u64,
}

/// How a task ended on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task ran to completion; `digest` identifies the result.
    Finished {
        digest: u64,
    },
    Failed,
    /// The worker stopped the task because its lease expired.
    Lapsed,
    /// Stopped on request; `checkpoint` is set if one was taken.
    Stopped {
        checkpoint: Option<CheckpointName>,
    },
}

/// A running task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    /// Speed in percent of full speed; 100 if the task is not throttled.
    pub throttle_percent: u8,
    pub lease_left_ms: Millis,
}

/// A task whose end has not been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    pub token: Token,
    pub task: TaskId,
    pub end: TaskEnd,
}

/// `GET /v1/tasks`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskInventory {
    pub running: Vec<RunningTask>,
    pub ended: Vec<EndedTask>,
}

/// `PUT /v1/tasks/{token}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLaunch {
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    /// Run time of the whole task at full speed and without interference.
    pub run_time_ms: Millis,
    /// Whether the task runs until it is stopped.
    pub endless: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<CheckpointName>,
    /// Lease of the task, counted by the worker from when it receives the call.
    pub lease_ms: Millis,
}

/// `POST /v1/leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    pub tokens: Vec<Token>,
    pub lease_ms: Millis,
}

/// Answer to a [`LeaseRenewal`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// Tokens whose tasks do not run, for any reason.
    pub lapsed: Vec<Token>,
}

/// `POST /v1/tasks/{token}/stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    pub checkpoint: bool,
}

/// Answer to a [`StopOrder`]: how the task ended, possibly before the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReport {
    pub end: TaskEnd,
}

/// `POST /v1/tasks/{token}/throttle`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleOrder {
    /// Speed in percent of full speed, 1 to 100; 100 removes the throttle.
    pub percent: u8,
}

/// Measured usage of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    pub token: Token,
    pub used: ResourceVector,
    /// Progress compared with a run without interference, in percent.
    pub speed_percent: u8,
}

/// `GET /v1/usage`: usage as it was `lag_ms` ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    pub lag_ms: Millis,
    pub tasks: Vec<TaskUsage>,
}

/// `POST /v1/ended`: tokens whose ends the worker no longer has to list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndAcknowledgement {
    pub tokens: Vec<Token>,
}
