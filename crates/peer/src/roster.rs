//! Rosters: lists of the agents and upstreams of a shard, sent by its owner to the
//! entries.
//!
//! Updates are incremental; an entry that misses one asks for the complete list. The
//! replies inform the owner of newer epochs, of other shards and of earlier members.

use std::net::SocketAddr;

use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Revision};
use cactusdoor_timeline::HybridTime;
use serde::{Deserialize, Serialize};

use crate::heartbeat::{AgentIdentity, UpstreamStatus};

/// An agent of the shard, with its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    pub agent: AgentIdentity,
    pub draining: bool,
    pub upstreams: Vec<UpstreamStatus>,
}

/// Free capacity for tasks in a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCapacity {
    pub free: ResourceVector,
    /// Free resources of the VM with the most free accelerators, then processors.
    pub largest: ResourceVector,
    pub pending_tasks: u32,
}

/// The members that have changed since the last update, or all members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    pub at: HybridTime,
    pub shard: ShardName,
    pub data_centre: DataCentre,
    pub epoch: Epoch,
    pub owner: VmName,
    pub owner_address: SocketAddr,
    /// Sequence number of this update within the epoch.
    pub number: u64,
    /// Whether `members` is complete and not only the changes.
    pub full: bool,
    pub members: Vec<RosterMember>,
    /// Members that have been removed since the last update.
    pub gone: Vec<VmName>,
    pub room: ShardCapacity,
}

/// State of a shard, for owners that transfer tasks to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    pub shard: ShardName,
    pub data_centre: DataCentre,
    pub epoch: Epoch,
    pub room: ShardCapacity,
}

/// Reply of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterReply {
    pub at: HybridTime,
    /// The entry has missed an update and needs the complete list.
    pub needs_full: bool,
    /// A later epoch of the same shard, if the entry knows one.
    pub newer_epoch: Option<Epoch>,
    /// Peer addresses of the entries known to this one.
    pub entries: Vec<SocketAddr>,
    pub shards: Vec<ShardSummary>,
    /// Agents of the owner's shard that the entry knows from earlier epochs.
    pub earlier_members: Vec<AgentIdentity>,
    pub config_revision: Revision,
}
