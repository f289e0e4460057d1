//! Stand-ins for the platform, for tests and the demo.
