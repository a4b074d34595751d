//! Logging to standard output; every line starts with the prefix of its component.
//!
//! Lines are collected in memory and written together by a thread of their own: a busy leader logs thousands of
//! decisions a second, and a system call for each would cost it more than the decisions.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

/// Maximum length of the lines that wait to be written, in bytes; further ones are dropped and counted, so that no task
/// blocks on a slow reader.
const WAITING_BYTES_MAX: usize = 1 << 20;
/// Time for which lines are collected, in milliseconds.
const COLLECT_MS: u64 = 20;

/// Maximum length of one write, in bytes; a pipe takes up to this length in one piece.
const WRITE_BYTES_MAX: usize = 4 << 10;
/// Pause before a write to a full pipe is repeated, in milliseconds.
const FULL_PAUSE_MS: u64 = 5;

/// Logs a line at level info, prefixed with `part`.
pub fn info(part: &str, line: &str) {
    spdlog::info!("{part}: {line}");
}

/// Logs a line at level warn, prefixed with `part`.
pub fn warn(part: &str, line: &str) {
    spdlog::warn!("{part}: {line}");
}

#[derive(Debug, Default)]
struct Lines {
    waiting: Vec<u8>,
    stopped: bool,
}

#[derive(Debug, Default)]
struct Queue {
    lines: Mutex<Lines>,
    changed: Condvar,
}

impl Queue {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the lines that wait; another caller's lines may be written first.
    fn write_out(&self) {
        let waiting = std::mem::take(&mut self.lines().waiting);
        if write_all(&waiting).is_err() {
            metrics::counter!("wasabiloft_log_writes_failed_total").increment(1);
        }
    }

    /// Writes lines as they come until the queue is stopped.
    fn run(&self) {
        loop {
            let mut lines = self.lines();
            while lines.waiting.is_empty() && !lines.stopped {
                lines = self
                    .changed
                    .wait(lines)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            let stopped = lines.stopped;
            drop(lines);
            if stopped {
                self.write_out();
                return;
            }
            thread::sleep(Duration::from_millis(COLLECT_MS));
            self.write_out();
        }
    }
}

/// Writes to standard output, which may be a pipe that is full for a moment.
fn write_all(mut bytes: &[u8]) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    while !bytes.is_empty() {
        match stdout.write(&bytes[..whole_lines(bytes)]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(FULL_PAUSE_MS));
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    stdout.flush()
}

/// Returns the length of the lines that fit into one write; a longer line is split.
fn whole_lines(bytes: &[u8]) -> usize {
    let most = bytes.len().min(WRITE_BYTES_MAX);
    let end = bytes[..most].iter().rposition(|byte| *byte == b'\n');
    end.map_or(most, |end| end + 1)
}

/// The sink's end of the queue.
struct Collector {
    queue: Arc<Queue>,
}

impl Write for Collector {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut lines = self.queue.lines();
        if lines.waiting.len() + line.len() > WAITING_BYTES_MAX {
            metrics::counter!("wasabiloft_log_lines_dropped_total").increment(1);
            return Ok(line.len());
        }
        let is_first = lines.waiting.is_empty();
        lines.waiting.extend_from_slice(line);
        drop(lines);
        if is_first {
            self.queue.changed.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.queue.write_out();
        Ok(())
    }
}

/// Writes the collected lines; when dropped, it writes the last ones and ends its thread.
#[derive(Debug)]
pub struct Writer {
    queue: Arc<Queue>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.queue.lines().stopped = true;
        self.queue.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was printed by itself.
            let _ = thread.join();
        }
    }
}

/// Sets up the logger to write to standard output until the returned writer is dropped.
///
/// # Errors
///
/// Returns an error if the writer's thread or the logger can't be set up.
pub fn to_stdout() -> Result<Writer, String> {
    let queue = Arc::new(Queue::default());
    let thread = thread::Builder::new().name("log".into()).spawn({
        let queue = Arc::clone(&queue);
        move || queue.run()
    });
    let thread = thread.map_err(|error| error.to_string())?;
    let sink = WriteSink::builder()
        .target(Collector {
            queue: Arc::clone(&queue),
        })
        .formatter(PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        )))
        .build_arc()
        .map_err(|error| error.to_string())?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .build_arc()
        .map_err(|error| error.to_string())?;
    spdlog::set_default_logger(logger);
    Ok(Writer {
        queue,
        thread: Some(thread),
    })
}
