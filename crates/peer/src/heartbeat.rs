//! Heartbeats of agents to the owner of their shard.

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
    /// At this percentage of its processors.
    Throttled(u8),
    Stopping,
}

/// A task that the agent holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTask {
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    pub state: RunState,
}

/// A task that ended on the VM; repeated until the owner has recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    pub token: Token,
    pub task: TaskId,
    pub end: PlacementEnd,
}

/// Usage of a task as the worker saw it some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    pub token: Token,
    pub used: ResourceVector,
    /// Progress compared with an undisturbed run, in percent.
    pub speed_percent: u8,
    /// Age of the figures.
    pub lag_ms: Millis,
}

/// An upstream beside an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub service: ServiceName,
    pub leaving: bool,
    pub slots: u32,
    pub connections: u32,
    pub load: UpstreamLoad,
    /// Recent mean latency in microseconds.
    pub latency_us: u64,
}

/// Who the agent is and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentIdentity {
    pub vm: VmName,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub rack: RackName,
}

/// State of a VM, sent each second and at once when a task ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    pub at: HybridTime,
    pub agent: AgentIdentity,
    pub shard: ShardName,
    /// Highest epoch that the agent knows.
    pub epoch: Epoch,
    pub config_revision: Revision,
    /// Counts the heartbeats of this incarnation, to whichever owner, from 1.
    pub number: u64,
    /// What is left of the lease on the VM's tasks.
    pub lease_left_ms: Millis,
    pub capacity: ResourceVector,
    pub committed: ResourceVector,
    pub draining: bool,
    pub held: Vec<HeldTask>,
    pub ended: Vec<EndedTask>,
    pub usage: Vec<UsageSample>,
    pub upstreams: Vec<UpstreamStatus>,
}

/// Answer of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    pub at: HybridTime,
    pub epoch: Epoch,
    /// Term of the lease, counted by the agent from when it sent the heartbeat.
    pub lease_ms: Millis,
    pub config: ConfigDelta,
    /// Age of the owner's last confirming read; `None` if there was none.
    pub config_age_ms: Option<Millis>,
    /// Ends that the log holds; the agent need not repeat them.
    pub recorded: Vec<Token>,
    /// Shards of which no entry has had a roster for long.
    pub silent_shards: Vec<ShardName>,
}

/// Why a heartbeat was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum HeartbeatRefusal {
    #[error("this agent does not own shard {shard}; newest known epoch is {epoch}")]
    NotOwner { shard: ShardName, epoch: Epoch, owner: Option<SocketAddr> },
}

/// A new owner introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerNotice {
    pub shard: ShardName,
    pub epoch: Epoch,
    pub address: SocketAddr,
}
