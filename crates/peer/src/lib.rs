//! RPC interfaces between the processes of the system.
//!
//! Agents serve [`AgentService`], which owners and entries call; an agent that owns a
//! shard also answers heartbeats through it. Entries serve [`EntryService`], which
//! owners and other entries call. [`queue::QueueService`] is served by the agents of
//! `cactusdoor-fleet`; of these, only the owner of the queues gives valid answers.
//!
//! The codec identifies fields, variants and methods by their position, so their order
//! is part of the protocol. Deadlines and leases are sent as remaining durations, because the
//! clocks of different VMs are not synchronised.

pub mod answer;
pub mod heartbeat;
pub mod queue;
pub mod roster;
pub mod task;
pub mod wire;
pub mod witness;

use std::net::SocketAddr;

use crate::answer::{
    AnswerDigest, CallFailure, ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply,
    UpstreamAnswer, UpstreamCall,
};
use crate::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply, OwnerNotice};
use crate::roster::{RosterReply, RosterUpdate};
use crate::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use crate::witness::{AttestReply, ClosingReply, WitnessRequest};
use cactusdoor_core::job::StartRefusal;

/// Served by every agent.
#[tarpc::service]
pub trait AgentService {
    /// From an agent to the owner of its shard, which is also an agent.
    async fn heartbeat(heartbeat: AgentHeartbeat) -> Result<HeartbeatReply, HeartbeatRefusal>;
    /// From a new owner to the agents of its shard.
    async fn announce_owner(notice: OwnerNotice);
    /// From an owner that has named this agent as its witness; asks it to attest.
    async fn vouch(request: WitnessRequest) -> AttestReply;
    /// From an owner to the witness of its predecessor; closes the naming.
    async fn close_naming(request: WitnessRequest) -> ClosingReply;
    /// From an owner; the results are in the order of `starts`.
    async fn start(starts: Vec<TaskStart>) -> Vec<Result<(), StartRefusal>>;
    /// From an owner; the results are in the order of `stops`.
    async fn stop(stops: Vec<TaskStop>) -> Vec<Result<StopReply, TaskRefusal>>;
    /// From an entry: forwards an idempotent request.
    async fn call(call: UpstreamCall) -> Result<UpstreamAnswer, CallFailure>;
    /// From an entry: forwards a binding request whose claim is in the log.
    async fn deliver(delivery: ClaimDelivery) -> Result<UpstreamAnswer, DeliveryFailure>;
    /// From an entry: forbids the delivery of a claim, or returns its outcome.
    async fn fence(fence: ClaimFence) -> FenceReply;
}

/// Served by every entry.
#[tarpc::service]
pub trait EntryService {
    /// From the owner of a shard: its roster.
    async fn roster(update: RosterUpdate) -> RosterReply;
    /// From another entry, with its address; returns the entries known here.
    async fn introduce(entry: SocketAddr) -> Vec<SocketAddr>;
}

/// Digest of the body of a request or answer.
#[must_use]
pub fn digest(bytes: &[u8]) -> AnswerDigest {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
