//! Load and experiment tool.
//!
//! An experiment drives the decision logic with a seeded load and a model of
//! the systems served, next to two baselines in the same run. It is no cluster
//! simulator: processes, the log and their failures are covered by the tests.

pub mod capacity;
pub mod event;
pub mod load;
pub mod model;
pub mod placement;
pub mod preset;
pub mod report;
pub mod routing;
