//! What the commands share: errors, output and percentiles.

use serde::Serialize;
use snafu::Snafu;
use wasabiloft_standins::control;

/// Why a command gave no result.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line can't be read.
    #[snafu(display("{source}"), context(false))]
    Arguments {
        /// What is wrong with it.
        source: lexopt::Error,
    },
    /// What must always hold did not.
    #[snafu(display("{source}"), context(false))]
    Breach {
        /// What happened.
        source: control::Violation,
    },
    /// The result can't be written as JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// What the writer says.
        source: serde_json::Error,
    },
}

/// Prints a result as one JSON object on one line.
///
/// # Errors
///
/// [`Error::Json`] if it can't be written.
pub fn print_json<T>(result: &T) -> Result<(), Error>
where
    T: Serialize,
{
    println!("{}", serde_json::to_string(result)?);
    Ok(())
}

/// Percentiles of some durations, in milliseconds; all zero if there are none.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    count: usize,
}

impl Percentiles {
    /// Of these durations.
    pub fn of(mut durations_ms: Vec<u64>) -> Self {
        durations_ms.sort_unstable();
        let count = durations_ms.len();
        let Some(last) = count.checked_sub(1) else {
            return Self::default();
        };
        Self {
            p50_ms: durations_ms[last / 2],
            p99_ms: durations_ms[last * 99 / 100],
            max_ms: durations_ms[last],
            count,
        }
    }
}

/// Rounds to four decimals, so that results can be read.
pub fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
