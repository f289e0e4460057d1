//! Routing and placement decisions.
