//! Client of the platform worker: the process on a VM that runs tasks.
//!
//! [`message`] defines the bodies of its HTTP interface, which the stand-in uses too.
//! [`client`] makes the calls. Its errors distinguish calls that certainly had no
//! effect from calls that may have had one.

pub mod client;
pub mod message;

pub use client::{CallError, NotStarted, StartError, StartedTask, TokenError, WorkerClient};
pub use message::{
    EndAcknowledgement, EndedTask, LeaseRenewal, RenewalReply, RunningTask, StopOrder, StopReport,
    TaskEnd, TaskInventory, TaskLaunch, TaskUsage, ThrottleOrder, UsageReport, WorkerStatus,
};
