//! The owner of a scheduling shard.
//!
//! [`host`] is the actor that the agent talks to; it finds owners, claims
//! shards and answers heartbeats for the shards owned here.

pub mod host;

pub use host::{FindError, FindOwner, HandBack, HostBeat, HostSettings, OwnerHost, SilentShards};
