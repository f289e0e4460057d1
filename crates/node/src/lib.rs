//! Settings, logging, monitoring and process control shared by the daemons.

pub mod agent;
pub mod clock;
pub mod entry;
pub mod logging;
pub mod monitor;
pub mod process;
pub mod settings;
pub mod shutdown;
