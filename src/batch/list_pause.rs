//! Pause between two readings of the list of machines.
//!
//! The list grows with the fleet, and the leader reads all of it. On a weak processor or a thin link the readings
//! would crowd out the workers' reports, so they become rarer there.

/// Shortest pause, in milliseconds; a fraction of the time that a machine takes to change its pool.
pub const PAUSE_MIN_MS: u64 = 150;
/// Longest pause, in milliseconds; crashed workers show in the list first.
const PAUSE_MAX_MS: u64 = 1_000;
/// The readings take at most one part in this many of the link.
const LINK_SHARE: u64 = 8;
/// The readings take at most one part in this many of the processor.
const CPU_SHARE: u64 = 20;
/// Processor time that the entry of a machine takes on a full core, in microseconds.
const ENTRY_CPU_US: u64 = 5;

/// Returns the pause after a reading of `machines` entries in `bytes`, in milliseconds, on a node with `cpu_milli`
/// thousandths of a core and a link of `link_kbit_per_s`.
pub fn pause_ms(machines: u64, bytes: u64, cpu_milli: u64, link_kbit_per_s: u64) -> u64 {
    let by_link_ms = bytes * 8 * LINK_SHARE / link_kbit_per_s.max(1);
    let by_cpu_ms = machines * ENTRY_CPU_US * CPU_SHARE / cpu_milli.max(1);
    by_link_ms.max(by_cpu_ms).clamp(PAUSE_MIN_MS, PAUSE_MAX_MS)
}
