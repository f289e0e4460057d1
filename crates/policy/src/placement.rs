//! Placement of tasks on VMs, and which tasks are throttled or evicted.
//!
//! [`order`] decides which task is placed next, [`choice`] picks its VM, and
//! [`allowance`] tracks what each plan uses. [`learning`] and [`interference`]
//! estimate resource needs and slowdown from delayed usage samples.
//! [`attribution`] decides whether a VM or a job is the cause of failures,
//! [`eviction`] protects latency-critical tasks, [`preemption`] selects victims for
//! an urgent task, and [`ramp`] reopens a returned data centre step by step.

pub mod allowance;
pub mod attribution;
pub mod choice;
pub mod eviction;
pub mod interference;
pub mod learning;
pub mod order;
pub mod preemption;
pub mod ramp;
