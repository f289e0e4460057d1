//! Rosters: what owners tell entries about the VMs of their shards.

use std::net::SocketAddr;

use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Revision};
use cactusdoor_timeline::HybridTime;
use serde::{Deserialize, Serialize};

use crate::heartbeat::{AgentIdentity, UpstreamStatus};

/// An agent as listed by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    pub agent: AgentIdentity,
    pub draining: bool,
    pub upstreams: Vec<UpstreamStatus>,
}

/// Room for tasks in a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRoom {
    pub free: ResourceVector,
    /// Largest free amount on one VM.
    pub largest: ResourceVector,
    pub pending_tasks: u32,
}

/// Members that changed since the last update, or all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    pub at: HybridTime,
    pub shard: ShardName,
    pub data_centre: DataCentre,
    pub epoch: Epoch,
    pub owner: VmName,
    pub owner_address: SocketAddr,
    /// Number of this update within the epoch.
    pub number: u64,
    /// Whether `members` is the complete list.
    pub full: bool,
    pub members: Vec<RosterMember>,
    pub gone: Vec<VmName>,
    pub room: ShardRoom,
}

/// State of another shard, for owners that move tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    pub shard: ShardName,
    pub data_centre: DataCentre,
    pub epoch: Epoch,
    pub room: ShardRoom,
}

/// Answer of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterReply {
    pub at: HybridTime,
    /// The entry lacks an earlier update and needs the complete list.
    pub needs_full: bool,
    /// A later epoch of the same shard has been heard of.
    pub newer_epoch: Option<Epoch>,
    pub entries: Vec<SocketAddr>,
    pub shards: Vec<ShardSummary>,
    /// Agents of the owner's shard that the entry knows from earlier epochs.
    pub earlier_members: Vec<AgentIdentity>,
    pub config_revision: Revision,
}
