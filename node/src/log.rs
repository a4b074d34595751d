//! Logs: short sentences with a fixed prefix for each part.

/// Writes a line at the information level.
pub fn info(part: &str, line: &str) {
    spdlog::info!("{part}: {line}");
}

/// Writes a line at the warning level.
pub fn warn(part: &str, line: &str) {
    spdlog::warn!("{part}: {line}");
}
