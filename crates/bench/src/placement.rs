//! Placement experiment: batch jobs and latency-critical tasks on shared VMs.

pub mod baseline;
pub mod jobs;
pub mod owners;
pub mod run;
pub mod scenario;
pub mod table;
pub mod world;
