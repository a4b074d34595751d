//! Logs: short sentences with a fixed prefix for each part.

use std::num::NonZeroUsize;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Lines that may wait to be written; beyond that new ones are dropped and counted, so that nothing waits for a reader.
const QUEUE_LINES: usize = 4_096;

/// Writes a line at the information level.
pub fn info(part: &str, line: &str) {
    spdlog::info!("{part}: {line}");
}

/// Writes a line at the warning level.
pub fn warn(part: &str, line: &str) {
    spdlog::warn!("{part}: {line}");
}

/// Sends all lines to standard output through a bounded queue.
///
/// # Errors
///
/// If the writing thread can't be started.
pub fn to_stdout() -> Result<(), spdlog::Error> {
    let capacity = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let stdout = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        )))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stdout)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {
            metrics::counter!("wasabiloft_log_lines_dropped_total").increment(1);
        })
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
