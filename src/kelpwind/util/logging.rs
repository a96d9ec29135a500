//! The program's log: lines of text on standard error, or of JSON on standard output.

use std::num::NonZero;
use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use super::error::{Error, Result};
use crate::core::codes::Code;

/// Most lines that wait to be written.
const QUEUE_LINES: NonZero<usize> = NonZero::new(1024).unwrap();

/// Sends log lines of `level` and above to standard error.
///
/// # Errors
/// [`Code::BadSetting`] for a level that does not exist.
pub fn init(level: &str) -> Result<()> {
    let level: Level = level.parse().map_err(|e: spdlog::Error| bad(level, e))?;
    let sink = StdStreamSink::builder().stderr().build_arc().map_err(|e| bad("", e))?;
    let logger = Logger::builder().sink(sink).build().map_err(|e| bad("", e))?;
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Sends log lines of `level` and above to standard output, one JSON object a line.
///
/// The lines are written by a thread of their own from a bounded queue. When nobody reads them and
/// the queue is full, lines are dropped; whoever logs never waits.
///
/// # Errors
/// [`Code::BadSetting`] for a level that does not exist.
pub fn init_json(level: &str) -> Result<()> {
    let level: Level = level.parse().map_err(|e: spdlog::Error| bad(level, e))?;
    let sink = StdStreamSink::builder().stdout().formatter(JsonFormatter::new()).build_arc();
    let sink = sink.map_err(|e| bad("", e))?;
    let pool = ThreadPool::builder().capacity(QUEUE_LINES).build_arc().map_err(|e| bad("", e))?;
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()
        .map_err(|e| bad("", e))?;
    let logger = Logger::builder().sink(queue).build().map_err(|e| bad("", e))?;
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn bad(level: &str, cause: spdlog::Error) -> Error {
    let context = format!("failed to start the log at level '{level}'");
    Error::new(Code::BadSetting, context).caused_by(cause)
}
