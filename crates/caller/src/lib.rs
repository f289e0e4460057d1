//! HTTP API for callers: request and answer types, JSON errors, routes and a client.
//!
//! The routes validate requests and pass them to a [`CallerHandler`], which the
//! entry daemon implements. This crate schedules nothing and keeps no state.

pub mod answer;
pub mod client;
pub mod error;
pub mod job;
pub mod request;
pub mod route;

pub use error::{CallerError, ErrorCode, RetryAdvice, WorkOutcome};
pub use route::{CallerHandler, configure};
