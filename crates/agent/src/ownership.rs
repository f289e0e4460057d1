//! Messages from the agent's actors to the owner host of the same process: the actor that
//! finds and claims shards.

use actix::{Actor, Addr, Context, Handler, Recipient};
use cactusdoor_owner::{FindOwner, HostHeartbeat, ReleaseShards, SilentShards};

/// Recipients of the messages that the owner host handles.
#[derive(Clone)]
pub struct OwnershipRecipients {
    pub heartbeat: Recipient<HostHeartbeat>,
    pub find: Recipient<FindOwner>,
    pub silent_shards: Recipient<SilentShards>,
    pub release: Recipient<ReleaseShards>,
}

impl OwnershipRecipients {
    /// Recipients of one actor that handles all these messages.
    #[must_use]
    pub fn of<A>(host: &Addr<A>) -> Self
    where
        A: Actor<Context = Context<A>>
            + Handler<HostHeartbeat>
            + Handler<FindOwner>
            + Handler<SilentShards>
            + Handler<ReleaseShards>,
    {
        Self {
            heartbeat: host.clone().recipient(),
            find: host.clone().recipient(),
            silent_shards: host.clone().recipient(),
            release: host.clone().recipient(),
        }
    }
}
