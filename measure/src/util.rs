//! What the commands share: errors and output.

use serde::Serialize;
use snafu::Snafu;

/// Why a command could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line can't be read.
    #[snafu(display("{source}"), context(false))]
    Arguments {
        /// What is wrong with it.
        source: lexopt::Error,
    },
    /// The command line makes no sense.
    #[snafu(display("{message}"))]
    Usage {
        /// What to do about it.
        message: String,
    },
    /// The result can't be written as JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// What the writer says.
        source: serde_json::Error,
    },
}

/// Turns a result into one line of JSON.
///
/// # Errors
///
/// [`Error::Json`] if a map has keys that are not text.
pub fn json<T>(result: &T) -> Result<String, Error>
where
    T: Serialize,
{
    Ok(serde_json::to_string(result)?)
}

/// Rounds to four decimals, so that results can be read.
pub fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
