//! Stand-ins for everything outside the system, and a harness for tests.
//!
//! [`log_service`], [`worker`] and [`upstream`] speak the published interfaces,
//! [`platform_store`] and [`platform_worker`] those of the users' platform,
//! and can be made to fail; [`relay`] disturbs TCP connections. Checkers use the
//! histories that the stand-ins record. [`harness`] runs the daemons as child
//! processes against them.

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
pub mod task_clock;
pub mod upstream;
pub mod upstream_state;
pub mod worker;
pub mod worker_state;
