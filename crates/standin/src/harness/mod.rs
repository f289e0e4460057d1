//! Runs a whole cluster for tests and the demo.
//!
//! The stand-ins run in threads of this process, so that tests can read their
//! histories and inject faults. The daemons are child processes with settings
//! files in a temporary directory. All listen on a loopback address that differs
//! between concurrent test processes.

pub mod address;
pub mod api;
pub mod child;
pub mod cluster;
pub mod settings;

pub use api::{ApiClient, ApiError, ApiReply};
pub use child::{ChildSet, HarnessError};
pub use cluster::{Cluster, ClusterSpec, DataCentreSpec, EntryProcess, VmProcess};
