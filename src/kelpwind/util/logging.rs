//! The program's log: lines on standard error, for changes of state only.

use std::sync::Arc;

use spdlog::sink::StdStreamSink;
use spdlog::{Level, LevelFilter, Logger};

use super::error::{Error, Result};
use crate::core::codes::Code;

/// Sends log lines of `level` and above to standard error.
///
/// # Errors
/// [`Code::BadSetting`] for a level that does not exist.
pub fn start(level: &str) -> Result<()> {
    let level: Level = level.parse().map_err(|e: spdlog::Error| bad(level, e))?;
    let sink = StdStreamSink::builder().stderr().build_arc().map_err(|e| bad("", e))?;
    let logger = Logger::builder().sink(sink).build().map_err(|e| bad("", e))?;
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn bad(level: &str, cause: spdlog::Error) -> Error {
    let context = format!("failed to start the log at level '{level}'");
    Error::new(Code::BadSetting, context).caused_by(cause)
}
