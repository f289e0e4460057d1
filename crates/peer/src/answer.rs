//! Requests forwarded to upstreams and what came of them.

use bytes::Bytes;
use cactusdoor_core::claim::{ClaimOutcome, RequestKey};
use cactusdoor_core::name::{PlanName, ServiceName};
use cactusdoor_core::unit::{Incarnation, Millis, Offset};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// XXH3 of a body.
pub type AnswerDigest = u64;
/// Number of a request, unique within its entry's incarnation.
pub type RequestNumber = u64;

/// Identity of a request on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub entry: Incarnation,
    pub number: RequestNumber,
    /// Distinguishes retries and hedges.
    pub attempt: u32,
}

/// An idempotent request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamCall {
    pub id: RequestId,
    pub plan: PlanName,
    pub service: ServiceName,
    pub deadline_left_ms: Millis,
    pub body: Bytes,
}

/// The whole answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnswer {
    pub id: RequestId,
    pub status: u16,
    pub length: u64,
    pub digest: AnswerDigest,
    pub body: Bytes,
    pub load: UpstreamLoad,
}

/// Load of an upstream, carried by every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    pub in_flight: u32,
    pub queued: u32,
    pub slots: u32,
}

/// Why a call was refused before the upstream was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error, Serialize, Deserialize)]
pub enum CallRefusal {
    #[error("no upstream of this service")]
    NoUpstream,
    #[error("upstream is leaving")]
    Leaving,
    #[error("agent is stopping")]
    Draining,
    #[error("queue is full")]
    QueueFull,
    #[error("deadline cannot be met")]
    DeadlineTooShort,
    #[error("upstream refused the connection")]
    ConnectionRefused,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CallFailure {
    /// The upstream was not called and will not be.
    #[error("not run: {0}")]
    NotRun(CallRefusal),
    /// The upstream may have run it.
    #[error("upstream connection broke")]
    Broken,
    #[error("upstream did not answer in time")]
    TimedOut,
}

/// A binding request, addressed to one incarnation of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimDelivery {
    pub key: RequestKey,
    /// Offset of the claim in its stream.
    pub claim: Offset,
    pub agent_incarnation: Incarnation,
    pub call: UpstreamCall,
}

/// Why a delivery has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum DeliveryFailure {
    /// Not delivered; the agent will refuse this claim from now on.
    #[error("not run: {0}")]
    NotRun(CallRefusal),
    #[error("claim was fenced")]
    Fenced,
    #[error("claim was delivered before")]
    DeliveredBefore,
    #[error("claim is for another incarnation of the agent")]
    OtherIncarnation,
    #[error("outcome of the call is unknown")]
    Unknown,
}

/// Forbids the delivery of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimFence {
    pub key: RequestKey,
    pub claim: Offset,
    pub agent_incarnation: Incarnation,
}

/// What the agent knows of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// Not delivered, and it never will be.
    Fenced,
    /// The upstream has it and has not answered yet.
    InProgress,
    Ended(ClaimOutcome),
    /// Another incarnation of the agent had it.
    OtherIncarnation,
}
