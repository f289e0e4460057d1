//! What this agent did as the witness of shard owners.

use cactusdoor_core::name::ShardName;
use cactusdoor_core::unit::{Incarnation, Offset};
use cactusdoor_peer::witness::{ClosingReply, VouchReply, WitnessRequest};
use indexmap::IndexMap;

#[derive(Clone, Copy, Debug, Default)]
struct ShardNamings {
    /// The newest naming that was vouched for.
    vouched: Option<Offset>,
    /// The newest naming that was closed; older ones are closed too.
    closed: Option<Offset>,
}

/// Namings by shard. There is one small entry per shard that named this agent.
#[derive(Clone, Debug)]
pub struct WitnessBook {
    incarnation: Incarnation,
    shards: IndexMap<ShardName, ShardNamings>,
}

impl WitnessBook {
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, shards: IndexMap::new() }
    }

    /// Vouches for the owner of a naming unless that naming is closed.
    pub fn vouch(&mut self, request: &WitnessRequest) -> VouchReply {
        if request.incarnation != self.incarnation {
            return VouchReply::OtherIncarnation;
        }
        let namings = self.shards.entry(request.shard.clone()).or_default();
        if namings.closed >= Some(request.naming) {
            return VouchReply::Closed;
        }
        namings.vouched = namings.vouched.max(Some(request.naming));
        VouchReply::Vouched
    }

    /// Closes a naming and tells whether it was vouched for.
    pub fn close(&mut self, request: &WitnessRequest) -> ClosingReply {
        if request.incarnation != self.incarnation {
            return ClosingReply::OtherIncarnation;
        }
        let namings = self.shards.entry(request.shard.clone()).or_default();
        namings.closed = namings.closed.max(Some(request.naming));
        if namings.vouched >= Some(request.naming) {
            ClosingReply::Vouched
        } else {
            ClosingReply::NotVouched
        }
    }
}
