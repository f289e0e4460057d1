//! Runs a whole installation for tests and the demo.
//!
//! The stand-ins run in threads of this process, so that their histories and
//! faults are at hand. The daemons are child processes with settings files in a
//! temporary directory, on addresses of a loopback network of their own.

pub mod address;
pub mod api;
pub mod child;
pub mod cluster;
pub mod settings;

pub use api::{ApiClient, ApiError, ApiReply};
pub use child::{ChildSet, HarnessError};
pub use cluster::{CentrePlan, Cluster, ClusterPlan, EntryProcess, VmProcess};
