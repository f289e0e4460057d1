//! Client of the platform worker: the process on a VM that runs tasks.
//!
//! [`message`] has the bodies of its HTTP interface, which the stand-in uses
//! too, and [`client`] makes the calls. Errors tell whether the worker surely
//! did nothing or may have acted.

pub mod client;
pub mod message;

pub use client::{CallError, NotStarted, StartError, StartedTask, TokenError, WorkerClient};
pub use message::{
    EndAcknowledgement, EndedTask, LeaseRenewal, RenewalReply, RunningTask, StopOrder, StopReport,
    TaskEnd, TaskInventory, TaskLaunch, TaskUsage, ThrottleOrder, UsageReport, WorkerStatus,
};
