//! Experiments with the decision logic and measurements of its cost.
//!
//! An experiment runs the decision logic and two baselines under the same seeded load
//! on a model of the VMs. It does not simulate processes, the log or their failures;
//! tests of the other packages cover those.

pub mod capacity;
pub mod event;
pub mod interference;
pub mod load;
pub mod placement;
pub mod preset;
pub mod report;
pub mod routing;
