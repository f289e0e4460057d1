//! Records of a shard's task stream. Their variant and field names are stored in the log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::job::{JobId, JobSpec, ParkReason, PlacementEnd, TaskId, TaskTransfer};
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
    /// Names the witness that must attest before the owner grants long leases.
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
    /// The task is transferred from this shard to another.
    #[serde(rename = "task_handed_over")]
    TaskTransferred {
        epoch: Epoch,
        #[serde(rename = "task_move")]
        transfer: TaskTransfer,
    },
    /// The task is transferred to this shard; written by the sending shard's owner.
    TaskReceived {
        spec: JobSpec,
        #[serde(rename = "task_move")]
        transfer: TaskTransfer,
    },
    /// The receiving shard's stream contains the task.
    #[serde(rename = "hand_over_confirmed")]
    TransferConfirmed {
        epoch: Epoch,
        task: TaskId,
        number: u32,
    },
    /// Removes a job that this shard no longer needs.
    JobForgotten {
        epoch: Epoch,
        job: JobId,
    },
}

/// One incarnation of an agent, named as witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessId {
    pub vm: VmName,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
}

impl TaskRecord {
    /// Epoch of the owner that wrote the record; `None` if the record takes effect in any
    /// epoch, and for claims.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        match self {
            Self::TaskPlaced { epoch, .. }
            | Self::WitnessNamed { epoch, .. }
            | Self::TaskEnded { epoch, .. }
            | Self::JobParked { epoch, .. }
            | Self::JobReleased { epoch, .. }
            | Self::TaskTransferred { epoch, .. }
            | Self::TransferConfirmed { epoch, .. }
            | Self::JobForgotten { epoch, .. } => Some(*epoch),
            _ => None,
        }
    }
}
