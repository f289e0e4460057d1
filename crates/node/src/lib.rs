//! Settings, logging and metrics that every daemon shares.

pub mod agent;
pub mod clock;
pub mod entry;
pub mod logging;
pub mod monitor;
pub mod process;
pub mod settings;
pub mod shutdown;
