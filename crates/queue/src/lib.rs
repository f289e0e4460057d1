//! Scheduling of jobs with several steps: the decisions of the owner and of the agents.
//!
//! The owner applies the input of callers, agents and operators to a
//! [`scheduler::QueueScheduler`], which returns pending writes: a record to store, an effect
//! to release once everything up to it is stored, or both. No start, acknowledgement
//! or published state may leave the owner before its record is stored. Nothing here
//! does I/O, reads a clock or uses randomness.

pub mod agent;
pub mod agent_reports;
pub mod backlog;
pub mod config;
pub mod explain;
pub mod features;
pub mod forecast;
mod former_runs;
pub mod interference;
pub mod job;
mod latency;
pub mod learned;
pub mod lease;
mod load_meter;
pub mod moves;
pub mod name;
pub mod observation;
pub mod placement;
mod placing;
pub mod rank;
pub mod record;
pub mod report;
pub mod run_table;
pub mod scheduler;
pub mod spec;
pub mod throttling;
mod timers;
mod waiting;
pub mod worker;
pub mod worker_call;
mod worker_heap;
pub mod write;
