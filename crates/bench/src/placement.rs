//! Placement experiment: batch jobs and latency-critical tasks on shared VMs.
//!
//! The same jobs run on a model of the VMs under each policy: the shard owners'
//! scheduler and two first-in, first-out baselines.

pub mod baseline;
pub mod jobs;
pub mod model;
pub mod owner;
pub mod report;
pub mod run;
pub mod scenario;
