//! Routing experiment: interactive requests through the entries to upstreams, beside
//! batch tasks that interfere with them.

pub mod policy;
pub mod run;
pub mod scenario;
