//! Requests of an owner to an agent to start, throttle or stop tasks.
//!
//! Each request contains the owner's epoch; an agent refuses a request with a lower epoch
//! than the highest it knows.

use cactusdoor_core::job::{JobClass, PlacementEnd, TaskId};
use cactusdoor_core::name::{CheckpointName, ShardName, TaskKind};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Token};
use cactusdoor_timeline::HybridTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Starts a task whose placement is committed to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    pub at: HybridTime,
    pub shard: ShardName,
    pub epoch: Epoch,
    /// Incarnation of the agent for which the placement was made.
    pub agent_incarnation: Incarnation,
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub class: JobClass,
    pub need: ResourceVector,
    pub run_time_ms: Millis,
    pub checkpoint: Option<CheckpointName>,
}

/// How a task is throttled or stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopMode {
    /// Limits the task to this percentage of its processors; 100 ends throttling.
    Throttle(u8),
    CheckpointAndStop,
    /// Stops the task without a checkpoint: its job was cancelled, its placement is no longer
    /// valid, or it still slows down latency-critical tasks after the milder measures.
    Cancel,
}

/// Throttles or stops a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStop {
    pub at: HybridTime,
    pub shard: ShardName,
    pub epoch: Epoch,
    pub task: TaskId,
    pub token: Token,
    pub mode: StopMode,
}

/// Result of a stop request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReply {
    Throttled,
    /// The task has ended, in this way.
    Ended(PlacementEnd),
    /// The agent does not run a task with this token and, unless the request was to throttle
    /// it, will never start one.
    NotRunning,
}

/// Why a stop request was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum TaskRefusal {
    #[error("a newer epoch is known")]
    EpochStale,
    #[error("agent does not yet know which tasks its worker runs")]
    NotReady,
    #[error("worker did not answer")]
    WorkerFailed,
}
