//! Client of the platform's append-only log service.
//!
//! [`client`] makes single calls, [`appender`] groups records and finds out what
//! became of an append whose answer was lost, [`follower`] tails a stream, and
//! [`snapshot`] loads and publishes the state of a fold.

pub mod appender;
pub mod client;
pub mod follower;
pub mod snapshot;
