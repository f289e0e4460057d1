//! Client of the platform's append-only log service.
//!
//! [`client`] makes single requests. [`appender`] groups the records of one writer and
//! determines whether an append without an answer was stored. [`follower`] reads a
//! stream continuously, and [`snapshot`] loads and publishes the state of a fold.

pub mod appender;
pub mod client;
pub mod follower;
pub mod snapshot;
