//! Where tasks are placed, and which are held back or evicted.
//!
//! [`order`] decides which task is next, [`choice`] on which VM it goes,
//! [`allowance`] how much a plan may use. [`learning`] and [`interference`] turn
//! lagging usage figures into needs and expected slowdown, [`attribution`] tells a
//! bad worker from a bad job, [`eviction`] protects latency-critical tasks,
//! [`preemption`] makes room for urgent ones, and [`ramp`] lets a data centre
//! return step by step.

pub mod allowance;
pub mod attribution;
pub mod choice;
pub mod eviction;
pub mod interference;
pub mod learning;
pub mod order;
pub mod preemption;
pub mod ramp;
