//! Size of the reads by which a new leader recovers its state.
//!
//! Answers the load of a takeover with thousands of jobs on a thin link: reads that are larger than the link carries
//! within their timeout fail for every node that takes over, one after the other.

/// Length of a row as the store sends it, in bytes: a job with a text of ordinary length.
const ROW_BYTES: u64 = 2_000;
/// Time that a read should take on the link, in milliseconds.
const READ_MS: u64 = 250;
/// Fewest and most rows in a read; the store sends no more than 500.
const ROWS: (u64, u64) = (16, 500);
/// Most reads at the same time: one for each partition of the job table.
const READS_MAX: u64 = 16;

/// The reads of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reads {
    /// Maximum number of rows in a read.
    pub rows_max: u32,
    /// Maximum number of reads at the same time.
    pub at_once: usize,
}

/// Returns how to read over a link of `link_kbit_per_s`.
pub fn reads(link_kbit_per_s: u64) -> Reads {
    let rows = link_kbit_per_s * READ_MS / 8 / ROW_BYTES;
    let rows_max = rows.clamp(ROWS.0, ROWS.1);
    Reads {
        rows_max: u32::try_from(rows_max).unwrap_or(u32::MAX),
        at_once: usize::try_from((rows / rows_max).clamp(1, READS_MAX)).unwrap_or(1),
    }
}
