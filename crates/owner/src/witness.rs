//! Attestations that this agent gave as the witness of shard owners.
//!
//! A naming is the record by which an owner names this agent as its witness. The owner
//! asks the agent to attest the naming before it grants long leases during a log outage.
//! A later owner closes the naming and learns whether it was attested, and so whether it
//! must wait for long leases to expire. A closed naming is never attested afterwards.
//!
//! The records are kept in memory only, and apply to one incarnation of the agent.

use cactusdoor_core::name::ShardName;
use cactusdoor_core::unit::{Incarnation, Offset};
use cactusdoor_peer::witness::{AttestReply, ClosingReply, WitnessRequest};
use indexmap::IndexMap;

#[derive(Clone, Copy, Debug, Default)]
struct ShardNamings {
    /// Offset of the newest naming that was attested.
    attested: Option<Offset>,
    /// Offset of the newest naming that was closed; older ones are closed too.
    closed: Option<Offset>,
}

/// Namings by shard; one small record per shard that named this agent.
#[derive(Clone, Debug)]
pub struct AttestationRecords {
    incarnation: Incarnation,
    shards: IndexMap<ShardName, ShardNamings>,
}

impl AttestationRecords {
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, shards: IndexMap::new() }
    }

    /// Attests a naming unless it is closed.
    pub fn attest(&mut self, request: &WitnessRequest) -> AttestReply {
        if request.incarnation != self.incarnation {
            return AttestReply::OtherIncarnation;
        }
        let namings = self.shards.entry(request.shard.clone()).or_default();
        if namings.closed >= Some(request.naming) {
            return AttestReply::Closed;
        }
        namings.attested = namings.attested.max(Some(request.naming));
        AttestReply::Attested
    }

    /// Closes a naming and reports whether it was attested.
    pub fn close(&mut self, request: &WitnessRequest) -> ClosingReply {
        if request.incarnation != self.incarnation {
            return ClosingReply::OtherIncarnation;
        }
        let namings = self.shards.entry(request.shard.clone()).or_default();
        namings.closed = namings.closed.max(Some(request.naming));
        if namings.attested >= Some(request.naming) {
            ClosingReply::Attested
        } else {
            ClosingReply::NotAttested
        }
    }
}
