//! Actions that a [`ShardScheduler`](super::ShardScheduler) requests from its caller.

use std::net::SocketAddr;

use cactusdoor_core::name::{ShardName, VmName};
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_core::unit::Epoch;
use cactusdoor_peer::heartbeat::OwnerNotice;
use cactusdoor_peer::task::{TaskStart, TaskStop};
use cactusdoor_peer::witness::WitnessRequest;
use cactusdoor_timeline::EventKind;

/// Identifies an append that the scheduler requested.
pub type AppendId = u64;

/// One action for the caller, which reports the outcome of appends and calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Appends to the shard's own stream.
    Append {
        append_id: AppendId,
        record: TaskRecord,
        urgent: bool,
    },
    /// Appends to the stream of another shard.
    AppendRemote {
        append_id: AppendId,
        shard: ShardName,
        record: TaskRecord,
    },
    /// Sends a start; the sender fills in the timestamp.
    Start {
        vm: VmName,
        address: SocketAddr,
        start: TaskStart,
    },
    /// Sends a stop or a throttle; the sender fills in the timestamp.
    Stop {
        vm: VmName,
        address: SocketAddr,
        stop: TaskStop,
    },
    /// Asks this owner's witness to attest, before long leases are granted.
    Attest {
        address: SocketAddr,
        request: WitnessRequest,
    },
    /// Asks the previous owner's witness whether it attested, and forbids it to do so
    /// later.
    CloseNaming {
        address: SocketAddr,
        request: WitnessRequest,
    },
    Announce {
        address: SocketAddr,
        notice: OwnerNotice,
    },
    Event(EventKind),
    /// The claim of this process took effect.
    Owned(Epoch),
    /// Another claim took effect; this process no longer owns the shard, or never did.
    Lost {
        current: Epoch,
    },
}

/// Outcome of a call to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome<T> {
    Answered(T),
    /// No answer; the call may have been carried out.
    Lost,
}
