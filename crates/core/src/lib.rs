//! The scheduler's state as deterministic folds over log streams.
//!
//! No code in this crate performs I/O, reads a clock or draws random numbers.
//! The caller passes times in, so every decision can be replayed and fuzzed.

pub mod capacity;
pub mod claim;
pub mod config;
pub mod constants;
pub mod envelope;
pub mod fold;
pub mod freshness;
pub mod job;
pub mod lease;
pub mod name;
pub mod rendezvous;
pub mod resource;
pub mod shard;
pub mod snapshot;
pub mod unit;
