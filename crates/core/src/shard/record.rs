//! Records of a task stream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::job::{JobId, JobSpec, ParkReason, PlacementEnd, TaskId, TaskMove};
use crate::name::VmName;
use crate::resource::ResourceVector;
use crate::unit::{Epoch, Incarnation, Token};

/// A record of a task stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskRecord {
    Noop,
    OwnerClaimed {
        epoch: Epoch,
        owner: VmName,
        address: SocketAddr,
    },
    /// The witness that must vouch before the owner grants long leases.
    WitnessNamed {
        epoch: Epoch,
        witness: WitnessId,
    },
    JobSubmitted(JobSpec),
    JobCancelled(JobId),
    TaskPlaced {
        epoch: Epoch,
        task: TaskId,
        vm: VmName,
        need: ResourceVector,
    },
    TaskEnded {
        epoch: Epoch,
        task: TaskId,
        token: Token,
        end: PlacementEnd,
    },
    JobParked {
        epoch: Epoch,
        job: JobId,
        reason: ParkReason,
    },
    JobReleased {
        epoch: Epoch,
        job: JobId,
    },
    /// The task leaves this shard.
    TaskHandedOver {
        epoch: Epoch,
        task_move: TaskMove,
    },
    /// The task enters this shard; written by the owner of the shard it left.
    TaskReceived {
        spec: JobSpec,
        task_move: TaskMove,
    },
    /// The receiving stream holds the task.
    HandOverConfirmed {
        epoch: Epoch,
        task: TaskId,
        number: u32,
    },
    /// Forgets an ended job.
    JobForgotten {
        epoch: Epoch,
        job: JobId,
    },
}

/// An agent that was named as witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessId {
    pub vm: VmName,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
}

impl TaskRecord {
    /// Epoch of a record that only the owner may write.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        match self {
            Self::TaskPlaced { epoch, .. }
            | Self::WitnessNamed { epoch, .. }
            | Self::TaskEnded { epoch, .. }
            | Self::JobParked { epoch, .. }
            | Self::JobReleased { epoch, .. }
            | Self::TaskHandedOver { epoch, .. }
            | Self::HandOverConfirmed { epoch, .. }
            | Self::JobForgotten { epoch, .. } => Some(*epoch),
            _ => None,
        }
    }
}
