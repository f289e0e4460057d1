//! Decisions about requests and tasks, without I/O.

pub mod placement;
pub mod routing;
