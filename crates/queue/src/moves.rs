//! Moves of best-effort runs that make no progress, and preemption.
//!
//! A run is moved by an order to stop it; its task then waits like any other.
