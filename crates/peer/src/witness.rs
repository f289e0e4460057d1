//! Messages to the witness of a shard's owner.
//!
//! The witness is an agent that knows whether the owner may have granted long
//! leases, which last through an outage of the log. An owner that cannot read the log
//! asks its witness to attest before it grants such leases. A later owner closes the
//! naming of that witness: if the witness has not attested by then, it never will, so
//! no long lease can be in force.

use cactusdoor_core::name::ShardName;
use cactusdoor_core::unit::{Incarnation, Offset};
use serde::{Deserialize, Serialize};

/// Identifies one naming of a witness in the task stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRequest {
    pub shard: ShardName,
    /// Offset of the record that named the witness.
    pub naming: Offset,
    /// Incarnation of the named agent.
    pub incarnation: Incarnation,
}

/// Reply to an owner that asks its witness to attest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttestReply {
    #[serde(rename = "Vouched")]
    Attested,
    /// A later owner has closed this naming.
    Closed,
    /// The agent has restarted and does not know what its earlier incarnation did.
    OtherIncarnation,
}

/// Reply to a later owner that closes a naming.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClosingReply {
    /// The witness has not attested and never will.
    #[serde(rename = "NotVouched")]
    NotAttested,
    #[serde(rename = "Vouched")]
    Attested,
    /// The agent has restarted and does not know what its earlier incarnation did.
    OtherIncarnation,
}
