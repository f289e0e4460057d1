//! Administration API: types, routes and client.
//!
//! The routes hand changes to an [`OperatorHandler`], which the entry daemon
//! provides. Conflicts are typed, so that an operator sees which item another
//! operator changed.

pub mod client;
pub mod error;
pub mod route;
pub mod types;

pub use client::OperatorClient;
pub use error::OperatorError;
pub use route::{OperatorHandler, configure};
