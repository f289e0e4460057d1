//! Events that a process records for operators, as they are written to JSON.

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobId, ParkReason, PlacementEnd, StartRefusal, TaskId};
use cactusdoor_core::name::{DataCentre, ProcessName, ServiceName, ShardName, VmName};
use cactusdoor_core::unit::{Epoch, Millis, Revision, Token};
use serde::{Deserialize, Serialize};

use crate::hybrid::HybridTime;

/// An event of one process, with its time and number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    pub at: HybridTime,
    pub process: ProcessName,
    /// Sequence number among the events of the process, from 1.
    pub number: u64,
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Why a pending task has not been placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    #[serde(rename = "no_room")]
    NoCapacity,
    AllowanceUsed,
    FairShare,
    Backoff,
    Parked(ParkReason),
    DataCentreOut,
    ConfigurationStale,
    LogUnreachable,
}

/// What happened, and to what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    ProcessStarted {
        data_centre: DataCentre,
    },
    ProcessStopping,
    LogUnreachable,
    LogReachable,
    ShardOwned {
        shard: ShardName,
        epoch: Epoch,
    },
    ShardLost {
        shard: ShardName,
        epoch: Epoch,
    },
    ConfigApplied {
        revision: Revision,
    },
    DataCentreChanged {
        data_centre: DataCentre,
        state: DataCentreState,
        revision: Revision,
    },
    UpstreamAnnounced {
        vm: VmName,
        service: ServiceName,
    },
    UpstreamLeaving {
        vm: VmName,
        service: ServiceName,
    },
    AgentJoined {
        vm: VmName,
        shard: ShardName,
    },
    AgentSilent {
        vm: VmName,
        shard: ShardName,
    },
    #[serde(rename = "vm_held_back")]
    VmQuarantined {
        vm: VmName,
        failures: u32,
    },
    VmReadmitted {
        vm: VmName,
    },
    JobSubmitted {
        job: JobId,
        shard: ShardName,
    },
    JobCancelled {
        job: JobId,
    },
    JobParked {
        job: JobId,
        reason: ParkReason,
    },
    TaskWaits {
        task: TaskId,
        reason: WaitReason,
    },
    TaskPlaced {
        task: TaskId,
        token: Token,
        vm: VmName,
        epoch: Epoch,
    },
    StartRefused {
        task: TaskId,
        token: Token,
        vm: VmName,
        reason: StartRefusal,
    },
    TaskStarted {
        task: TaskId,
        token: Token,
        vm: VmName,
    },
    TaskThrottled {
        task: TaskId,
        token: Token,
        vm: VmName,
        percent: u8,
    },
    TaskEnded {
        task: TaskId,
        token: Token,
        vm: VmName,
        end: PlacementEnd,
    },
    #[serde(rename = "task_handed_over")]
    TaskTransferred {
        task: TaskId,
        from: ShardName,
        to: ShardName,
        move_number: u32,
    },
    LeaseLapsed {
        vm: VmName,
        shard: ShardName,
    },
    RequestSent {
        request: String,
        vm: VmName,
        attempt: u32,
    },
    RequestEnded {
        request: String,
        outcome: String,
        elapsed_ms: Millis,
    },
    ClaimWon {
        request: String,
        vm: VmName,
    },
    ClaimSettled {
        request: String,
        outcome: String,
    },
}
