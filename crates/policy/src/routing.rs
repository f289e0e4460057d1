//! Decides which upstream a request goes to, and whether it is admitted and sent.
//!
//! [`allowance`] limits the request rate of each plan, [`queue`] the requests that
//! wait, and [`budget`] the extra attempts. [`pool`] chooses an upstream from the
//! state in [`upstream`], [`concurrency`] and [`ejection`]. [`attempt`] tracks the
//! attempts of one request.
//!
//! Nothing here reads a clock or generates random numbers; callers pass both in, so
//! that each decision can be replayed.

pub mod allowance;
pub mod attempt;
pub mod budget;
pub mod concurrency;
pub mod ejection;
pub mod pool;
pub mod queue;
pub mod upstream;

/// Microseconds.
pub type Micros = u64;
