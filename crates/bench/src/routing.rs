//! Routing experiment: requests through entries to upstreams that batch work disturbs.

pub mod policy;
pub mod run;
pub mod scenario;
