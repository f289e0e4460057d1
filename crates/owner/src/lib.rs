//! The owner of a scheduling shard.
//!
//! [`host`] is the actor that the agent calls. It finds owners, claims shards and answers
//! heartbeats for the shards owned by this process. Each owned shard has an actor that
//! does the I/O for the decisions of its [`scheduler`].

mod dispatch;
mod finder;
pub mod host;
mod metrics;
mod peers;
mod rosters;
pub mod scheduler;
mod shard_actor;
pub mod witness;

pub use host::{
    FindError, FindOwner, HostHeartbeat, HostSettings, OwnerHost, ReleaseShards, SilentShards,
};
