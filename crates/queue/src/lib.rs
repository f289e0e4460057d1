//! Jobs of several steps, and the decisions of their owner, without I/O, clock
//! or randomness.
//!
//! The owner folds what callers, agents and operators tell it into a
//! [`book::QueueBook`]. The book answers with entries: a record to store, an
//! effect to release once everything up to it is stored, or both. Nothing is
//! started, acknowledged or shown to callers before its record is stored.

pub mod agent;
pub mod book;
pub mod ending;
pub mod job;
mod latency;
pub mod lease;
pub mod name;
pub mod pacing;
pub mod placing;
pub mod press;
pub mod record;
pub mod report;
pub mod seat;
pub mod spec;
pub mod terms;
