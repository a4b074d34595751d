//! Logging to standard output; every line starts with the prefix of its component.

use std::num::NonZeroUsize;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Capacity of the queue of lines; further ones are dropped and counted, so that no task blocks on a slow reader.
const QUEUE_LINES: usize = 4_096;

/// Logs a line at level info, prefixed with `part`.
pub fn info(part: &str, line: &str) {
    spdlog::info!("{part}: {line}");
}

/// Logs a line at level warn, prefixed with `part`.
pub fn warn(part: &str, line: &str) {
    spdlog::warn!("{part}: {line}");
}

/// Sets up the logger to write to standard output through a bounded queue.
///
/// # Errors
///
/// Returns an error if the writer thread can't be started.
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
