//! The entry daemon.
//!
//! It accepts requests, jobs and operators' changes, and forwards requests to the
//! agents that owners list. It places no tasks. One actix system runs all actors
//! on one thread; each HTTP server adds a thread that parses requests and sends
//! messages to the actors.

pub mod binding;
mod caller;
mod config;
mod connections;
mod daemon;
mod job;
pub mod key_expiry;
pub mod membership;
mod metrics;
mod operator;
mod peer;
mod readiness;
pub mod request;
mod stream;

pub use daemon::{EntryDaemon, run};
