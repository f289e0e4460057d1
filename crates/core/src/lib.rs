//! State of the scheduler as deterministic folds over log streams.
//!
//! Nothing here performs I/O or reads a clock. Moments and random numbers are
//! passed in, so that every decision can be replayed and fuzzed.

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
