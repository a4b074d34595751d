//! What the commands share: output.

use serde::Serialize;

/// Prints a result as one line of JSON.
///
/// # Errors
///
/// If the result can't be written as JSON.
pub fn print<T>(result: &T) -> Result<(), lexopt::Error>
where
    T: Serialize,
{
    let text = serde_json::to_string(result).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}

/// Rounds to four decimals, so that results can be read.
pub fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
