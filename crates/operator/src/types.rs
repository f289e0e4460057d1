//! JSON bodies of the administration API.

use std::net::SocketAddr;

use cactusdoor_core::config::{ConfigItem, DataCentreState, ItemChange};
use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Revision};
use cactusdoor_peer::heartbeat::UpstreamStatus;
use cactusdoor_peer::roster::ShardCapacity;
use serde::{Deserialize, Serialize};

/// Largest body of a request, in bytes.
pub const MAX_CHANGE_BYTES: usize = 4 * 1024 * 1024;

/// The accepted configuration, as of the entry's last read of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    pub revision: Revision,
    /// Time since the entry last read the log to its end.
    pub confirmed_age_ms: Option<Millis>,
    pub items: Vec<ConfigItem>,
}

/// A change of one or more items, of which all or none are accepted.
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

/// An agent of a shard, as the owner last listed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    pub vm: VmName,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub draining: bool,
    pub upstreams: Vec<UpstreamStatus>,
    /// Listed in an earlier epoch, but not yet in the current one.
    #[serde(rename = "earlier")]
    pub from_earlier_epoch: bool,
}

/// A shard, as its owner last reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    pub shard: ShardName,
    pub data_centre: DataCentre,
    pub epoch: Epoch,
    pub owner: VmName,
    pub owner_address: SocketAddr,
    /// Time since the owner's last roster update that the entry applied.
    #[serde(rename = "silent_ms")]
    pub roster_age_ms: Millis,
    /// Free capacity for tasks.
    #[serde(rename = "room")]
    pub capacity: ShardCapacity,
    pub agents: Vec<AgentView>,
}

/// The live entries, and the shards and agents that owners reported to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterView {
    /// Peer addresses of the entries.
    pub entries: Vec<SocketAddr>,
    pub shards: Vec<ShardView>,
}
