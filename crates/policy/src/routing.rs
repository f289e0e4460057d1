//! Which upstream a request goes to, and whether it is sent at all.
//!
//! Nothing here reads a clock or draws random numbers; moments and random
//! numbers are passed in, so that every decision can be replayed.

pub mod allowance;
pub mod budget;
pub mod concurrency;
pub mod ejection;
pub mod ledger;
pub mod pool;
pub mod queue;
pub mod upstream;

/// Microseconds.
pub type Micros = u64;
