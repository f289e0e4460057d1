//! The entry daemon.
//!
//! One actix system runs all actors on one thread; each HTTP server adds a
//! thread that parses requests and sends messages to the actors.

pub mod binding;
mod caller;
mod config;
mod daemon;
pub mod forget;
mod job;
mod links;
pub mod membership;
mod metrics;
mod operator;
mod peer;
mod readiness;
pub mod request;
mod stream;

pub use daemon::{EntryDaemon, run};
