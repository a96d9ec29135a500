//! Sets up the process's logger: text lines on standard error, or JSON lines on standard output.

use std::num::NonZero;
use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use super::error::{Error, Result};
use crate::core::codes::Code;

/// Maximum number of lines waiting to be written.
const QUEUE_LINES: NonZero<usize> = NonZero::new(1024).unwrap();

/// Logs lines of `level` and above to standard error.
///
/// # Errors
/// [`Code::BadSetting`] if `level` does not exist.
pub fn init(level: &str) -> Result<()> {
    let level: Level = level.parse().map_err(|e: spdlog::Error| init_error(level, e))?;
    let sink = StdStreamSink::builder().stderr().build_arc().map_err(|e| init_error("", e))?;
    let logger = Logger::builder().sink(sink).build().map_err(|e| init_error("", e))?;
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs lines of `level` and above to standard output, one JSON object per line.
///
/// A separate thread writes the lines from a bounded queue. If standard output is not read and the
/// queue is full, new lines are dropped, so that logging never blocks.
///
/// # Errors
/// [`Code::BadSetting`] if `level` does not exist.
pub fn init_json(level: &str) -> Result<()> {
    let level: Level = level.parse().map_err(|e: spdlog::Error| init_error(level, e))?;
    let sink = StdStreamSink::builder().stdout().formatter(JsonFormatter::new()).build_arc();
    let sink = sink.map_err(|e| init_error("", e))?;
    let pool =
        ThreadPool::builder().capacity(QUEUE_LINES).build_arc().map_err(|e| init_error("", e))?;
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()
        .map_err(|e| init_error("", e))?;
    let logger = Logger::builder().sink(queue).build().map_err(|e| init_error("", e))?;
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    spdlog::set_default_logger(Arc::new(logger));
    log_panics();
    Ok(())
}

/// Logs panics: the runtime ends the task that has panicked and goes on with the others.
fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let what = panic.to_string();
        spdlog::critical!("a task has panicked", kv: { what = what.as_str() });
        print(panic);
    }));
}

fn init_error(level: &str, cause: spdlog::Error) -> Error {
    let context = format!("failed to set up logging at level '{level}'");
    Error::new(Code::BadSetting, context).caused_by(cause)
}
