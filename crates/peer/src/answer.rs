//! Requests that entries forward to agents for their upstreams, and the answers.
//!
//! An idempotent request is sent as an [`UpstreamCall`], a binding request as a
//! [`ClaimDelivery`]. An agent passes a delivery to the upstream at most once, and no
//! longer after it has received a [`ClaimFence`] for the claim.

use bytes::Bytes;
use cactusdoor_core::claim::{ClaimOutcome, RequestKey};
use cactusdoor_core::name::{PlanName, ServiceName};
use cactusdoor_core::unit::{Incarnation, Millis, Offset};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// XXH3 hash (64 bits) of a body.
pub type AnswerDigest = u64;
/// Number of a request, unique within the incarnation of its entry.
pub type RequestNumber = u64;

/// Identity of one attempt of a request on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub entry: Incarnation,
    pub number: RequestNumber,
    /// Distinguishes the retries and hedges of a request.
    pub attempt: u32,
}

/// A request to an upstream: idempotent, or as part of a [`ClaimDelivery`] binding.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamCall {
    pub id: RequestId,
    pub plan: PlanName,
    pub service: ServiceName,
    pub deadline_left_ms: Millis,
    pub body: Bytes,
}

/// The complete answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnswer {
    pub id: RequestId,
    pub status: u16,
    pub length: u64,
    pub digest: AnswerDigest,
    pub body: Bytes,
    pub load: UpstreamLoad,
}

/// Load of an upstream, sent with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    pub in_flight: u32,
    pub queued: u32,
    pub slots: u32,
}

/// Why a request was refused before it reached the upstream.
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

/// Why an idempotent request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CallFailure {
    /// The request did not reach the upstream and never will.
    #[error("not run: {0}")]
    NotRun(CallRefusal),
    /// The upstream may have run the request.
    #[error("upstream connection broke")]
    Broken,
    #[error("upstream did not answer in time")]
    TimedOut,
}

/// A binding request, addressed to one incarnation of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimDelivery {
    pub key: RequestKey,
    /// Offset of the claim in its log stream.
    pub claim: Offset,
    pub agent_incarnation: Incarnation,
    pub call: UpstreamCall,
}

/// Why a binding request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum DeliveryFailure {
    /// Not delivered; the agent refuses this claim from now on.
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

/// Forbids the delivery of a claim to the upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimFence {
    pub key: RequestKey,
    pub claim: Offset,
    pub agent_incarnation: Incarnation,
}

/// State of a claim at the agent that was asked to fence it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// Not delivered, and never will be.
    Fenced,
    /// Delivered, but the upstream has not answered yet.
    InProgress,
    Ended(ClaimOutcome),
    /// The claim was for another incarnation of the agent.
    OtherIncarnation,
}
