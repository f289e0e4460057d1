//! The owner side of this process, as the agent side sees it.

use actix::{Actor, Addr, Context, Handler, Recipient};
use cactusdoor_owner::{FindOwner, HostHeartbeat, ReleaseShards, SilentShards};

/// Where the agent side sends what concerns ownership.
#[derive(Clone)]
pub struct OwnershipPort {
    pub beat: Recipient<HostHeartbeat>,
    pub find: Recipient<FindOwner>,
    pub silent: Recipient<SilentShards>,
    pub hand_back: Recipient<ReleaseShards>,
}

impl OwnershipPort {
    /// Port of an actor that plays the owner side.
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
            beat: host.clone().recipient(),
            find: host.clone().recipient(),
            silent: host.clone().recipient(),
            hand_back: host.clone().recipient(),
        }
    }
}
