//! The actor that an agent asks about owners, and that owns shards itself.

use std::net::SocketAddr;

use actix::{Actor, Addr, Context, Handler, Message, ResponseFuture};
use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::name::ShardName;
use cactusdoor_core::shard::ShardOwnership;
use cactusdoor_core::unit::Millis;
use cactusdoor_log::client::LogClient;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::heartbeat::{AgentHeartbeat, AgentIdentity, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_timeline::EventLog;
use prometheus::Registry;
use thiserror::Error;

/// What the host needs of its process.
pub struct HostSettings {
    pub identity: AgentIdentity,
    pub writer: WriterId,
    /// All shards of the system.
    pub shards: Vec<ShardName>,
    /// The shard that this VM belongs to.
    pub own_shard: ShardName,
    /// Peer addresses of some entries, for first contact.
    pub entries: Vec<SocketAddr>,
    pub log: LogClient,
    pub clock: MonotonicClock,
    pub events: EventLog,
    pub registry: Registry,
}

/// A heartbeat that another agent, or the one in this process, sent here.
#[derive(Message)]
#[rtype(result = "Result<HeartbeatReply, HeartbeatRefusal>")]
pub struct HostBeat(pub AgentHeartbeat);

/// Asks for the owner of a shard, and claims the shard if that owner is lost.
#[derive(Message)]
#[rtype(result = "Result<ShardOwnership, FindError>")]
pub struct FindOwner {
    pub shard: ShardName,
    /// For how long the shard's owner has not answered the caller.
    pub silent_for: Millis,
}

/// Shards of which no entry has had a roster for long.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SilentShards(pub Vec<ShardName>);

/// Gives up all shards owned here; answered once their last appends are settled.
#[derive(Message)]
#[rtype(result = "()")]
pub struct HandBack;

/// Why no owner was found.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FindError {
    #[error("shard {0} is not configured")]
    UnknownShard(ShardName),
    #[error("log service is unavailable")]
    LogUnavailable,
    #[error("stream of shard {0} lost records that no snapshot covers")]
    Uncovered(ShardName),
    #[error("the claim of shard {0} could not be stored")]
    ClaimNotStored(ShardName),
    #[error("shard {0} has no owner yet")]
    NoOwner(ShardName),
    #[error("this process is stopping")]
    Stopping,
}

/// The owner side of an agent.
pub struct OwnerHost {
    _settings: HostSettings,
}

impl OwnerHost {
    /// Starts the host on the current thread.
    #[must_use]
    pub fn spawn(settings: HostSettings) -> Addr<Self> {
        Self { _settings: settings }.start()
    }
}

impl Actor for OwnerHost {
    type Context = Context<Self>;
}

impl Handler<HostBeat> for OwnerHost {
    type Result = ResponseFuture<Result<HeartbeatReply, HeartbeatRefusal>>;

    fn handle(&mut self, HostBeat(beat): HostBeat, _: &mut Context<Self>) -> Self::Result {
        let refusal = HeartbeatRefusal::NotOwner { shard: beat.shard, epoch: 0, owner: None };
        Box::pin(async move { Err(refusal) })
    }
}

impl Handler<FindOwner> for OwnerHost {
    type Result = ResponseFuture<Result<ShardOwnership, FindError>>;

    fn handle(&mut self, ask: FindOwner, _: &mut Context<Self>) -> Self::Result {
        Box::pin(async move { Err(FindError::NoOwner(ask.shard)) })
    }
}

impl Handler<SilentShards> for OwnerHost {
    type Result = ();

    fn handle(&mut self, _: SilentShards, _: &mut Context<Self>) {}
}

impl Handler<HandBack> for OwnerHost {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: HandBack, _: &mut Context<Self>) -> Self::Result {
        Box::pin(async {})
    }
}
