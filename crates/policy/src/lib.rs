//! Scheduling and routing decisions as pure computations.
//!
//! [`placement`] decides about tasks, [`routing`] about requests. Nothing here does
//! I/O or reads a clock; callers pass in the time and any random numbers.

pub mod placement;
pub mod routing;
