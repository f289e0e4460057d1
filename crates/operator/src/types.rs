//! Bodies of the administration API.

use std::net::SocketAddr;

use cactusdoor_core::config::{ConfigItem, DataCentreState, ItemChange};
use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Revision};
use cactusdoor_peer::heartbeat::UpstreamStatus;
use cactusdoor_peer::roster::ShardCapacity;
use serde::{Deserialize, Serialize};

/// Largest body of a change, in bytes.
pub const MAX_CHANGE_BYTES: usize = 4 * 1024 * 1024;

/// The accepted configuration as the entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    pub revision: Revision,
    /// Age of the last read that reached the end of the log.
    pub confirmed_age_ms: Option<Millis>,
    pub items: Vec<ConfigItem>,
}

/// A change of one or more items, accepted whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    pub items: Vec<ItemChange>,
}

/// Answer to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAccepted {
    pub revision: Revision,
}

/// Takes a data centre out of service or brings it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreChange {
    pub state: DataCentreState,
}

/// An agent of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    pub vm: VmName,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub draining: bool,
    pub upstreams: Vec<UpstreamStatus>,
    /// Known from an earlier epoch and not listed since.
    pub earlier: bool,
}

/// A shard as its owner reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    pub shard: ShardName,
    pub data_centre: DataCentre,
    pub epoch: Epoch,
    pub owner: VmName,
    pub owner_address: SocketAddr,
    /// Time since the owner's last roster.
    pub silent_ms: Millis,
    pub room: ShardCapacity,
    pub agents: Vec<AgentView>,
}

/// Everything that an entry knows of the other processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterView {
    pub entries: Vec<SocketAddr>,
    pub shards: Vec<ShardView>,
}
