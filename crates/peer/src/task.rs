//! Starting and stopping tasks on a VM.

use cactusdoor_core::job::{JobClass, PlacementEnd, TaskId};
use cactusdoor_core::name::{CheckpointName, ShardName, TaskKind};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Token};
use cactusdoor_timeline::HybridTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Starts a task whose placement is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    pub at: HybridTime,
    pub shard: ShardName,
    pub epoch: Epoch,
    /// The incarnation of the agent that the placement is meant for.
    pub agent_incarnation: Incarnation,
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub class: JobClass,
    pub need: ResourceVector,
    pub run_time_ms: Millis,
    pub checkpoint: Option<CheckpointName>,
}

/// How a task is to be held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopMode {
    /// To this percentage of its processors; 100 lifts the throttle.
    Throttle(u8),
    CheckpointAndStop,
    /// Without a checkpoint, because the job was cancelled.
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

/// What the agent did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReply {
    Throttled,
    /// The task has stopped, with this end.
    Ended(PlacementEnd),
    /// The agent does not have the token and will never start it.
    NotRunning,
}

/// Why a stop was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum TaskRefusal {
    #[error("a newer epoch is known")]
    EpochStale,
    #[error("agent has not taken inventory yet")]
    NotReady,
    #[error("worker did not answer")]
    WorkerFailed,
}
