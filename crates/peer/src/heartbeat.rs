//! Heartbeats of agents to the owner of their shard, and its replies.
//!
//! A heartbeat reports the tasks, usage and upstreams of one VM; the reply renews the
//! lease on the VM's tasks and contains configuration changes.

use std::net::SocketAddr;

use cactusdoor_core::config::ConfigDelta;
use cactusdoor_core::job::{PlacementEnd, TaskId};
use cactusdoor_core::name::{DataCentre, RackName, ServiceName, ShardName, TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Revision, Token};
use cactusdoor_timeline::HybridTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::answer::UpstreamLoad;

/// State of a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    Starting,
    Running,
    /// Limited to this percentage of its processors.
    Throttled(u8),
    Stopping,
}

/// A task that has been started on the agent's VM and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTask {
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    pub state: RunState,
}

/// A task that ended on the VM; sent again until the owner has recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    pub token: Token,
    pub task: TaskId,
    pub end: PlacementEnd,
}

/// Usage of a task as the worker measured it `lag_ms` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    pub token: Token,
    pub used: ResourceVector,
    /// Progress in percent of a run without interference.
    pub speed_percent: u8,
    /// Age of the sample.
    pub lag_ms: Millis,
}

/// An upstream on the agent's VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub service: ServiceName,
    pub leaving: bool,
    pub slots: u32,
    pub connections: u32,
    pub load: UpstreamLoad,
    /// Recent mean latency, in microseconds.
    pub latency_us: u64,
}

/// Identity, address and location of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentIdentity {
    pub vm: VmName,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub rack: RackName,
}

/// State of a VM, sent every second and immediately when a task ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    pub at: HybridTime,
    pub agent: AgentIdentity,
    pub shard: ShardName,
    /// Highest epoch of the shard that the agent knows.
    pub epoch: Epoch,
    pub config_revision: Revision,
    /// Sequence number from 1 within the agent's incarnation, across owners.
    pub number: u64,
    /// Remaining duration of the lease on the VM's tasks.
    pub lease_left_ms: Millis,
    pub capacity: ResourceVector,
    pub committed: ResourceVector,
    pub draining: bool,
    pub held: Vec<HeldTask>,
    pub ended: Vec<EndedTask>,
    pub usage: Vec<UsageSample>,
    pub upstreams: Vec<UpstreamStatus>,
}

/// Reply of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    pub at: HybridTime,
    pub epoch: Epoch,
    /// Duration of the lease; the agent counts it from when it sent the heartbeat.
    pub lease_ms: Millis,
    pub config: ConfigDelta,
    /// Age of the owner's last read of the log that confirmed its configuration; `None`
    /// if there was none.
    pub config_age_ms: Option<Millis>,
    /// Ended tasks that the log has recorded; the agent stops reporting them.
    pub recorded: Vec<Token>,
    /// Shards of which the entries have received no roster for a long time.
    pub silent_shards: Vec<ShardName>,
}

/// Why a heartbeat was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum HeartbeatRefusal {
    #[error("this agent does not own shard {shard}; newest known epoch is {epoch}")]
    NotOwner { shard: ShardName, epoch: Epoch, owner: Option<SocketAddr> },
}

/// Announcement of a new owner to the agents of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerNotice {
    pub shard: ShardName,
    pub epoch: Epoch,
    pub address: SocketAddr,
}
