//! Stand-ins for the systems outside the scheduler, and a harness for tests.
//!
//! [`log_service`], [`worker`] and [`upstream`] implement the published
//! interfaces, [`platform_store`] and [`platform_worker`] those of the users'
//! platform; tests inject faults into all of them. [`relay`] delays and cuts TCP
//! connections. The stand-ins record histories, which [`check`] tests for
//! violated invariants. [`harness`] runs the daemons as child processes against
//! the stand-ins. No daemon depends on this package.

pub mod announcer;
pub mod check;
pub mod demo;
pub mod harness;
pub mod history;
pub mod log_service;
pub mod platform_store;
pub mod platform_worker;
pub mod relay;
pub mod server;
pub mod socket;
pub mod stream;
pub mod task_simulator;
pub mod upstream;
pub mod upstream_state;
pub mod worker;
pub mod worker_state;
