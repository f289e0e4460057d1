//! HTTP interface for callers: types, typed JSON errors, routes and a client.
//!
//! The routes check what callers send and hand it to a [`CallerHandler`], which
//! the entry daemon provides.

pub mod answer;
pub mod client;
pub mod error;
pub mod job;
pub mod request;
pub mod route;

pub use error::{CallerError, ErrorCode, OutcomeWord, RetryAdvice};
pub use route::{CallerHandler, configure};
