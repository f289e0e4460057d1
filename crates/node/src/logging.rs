//! Log output as JSON lines on standard error.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use thiserror::Error;

/// Why logging could not be started.
#[derive(Debug, Error)]
pub enum LoggingError {
    #[error("could not start logging")]
    Logger(#[from] FlexiLoggerError),
}

/// Starts logging at `level`, such as `info` or `info, actix_server=warn`.
pub fn open(level: &str) -> Result<LoggerHandle, LoggingError> {
    let logger = Logger::try_with_str(level)?.format(flexi_logger::json_format);
    Ok(logger.log_to_stderr().start()?)
}
