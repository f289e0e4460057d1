//! HTTP administration API: types, JSON errors, routes and a client.
//!
//! The routes parse requests and pass them to an [`OperatorHandler`], which the entry
//! daemon implements. A conflict names the item, so that an operator sees which item
//! another operator changed. This crate decides on no change itself.

pub mod client;
pub mod error;
pub mod route;
pub mod types;

pub use client::OperatorClient;
pub use error::OperatorError;
pub use route::{OperatorHandler, configure};
