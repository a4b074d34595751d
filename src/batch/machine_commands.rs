//! Timing of machine commands across a change of leader: two leaders never command one machine within a lease.
//!
//! A leader commits a row with the store's time before it sends a command. The next leader reads these rows and holds
//! off from recently commanded machines. It can command all others at once, because the previous leader can't commit
//! another command, whatever its state.

use crate::clock;

/// A command is sent within this time after its row was submitted, or not at all, in milliseconds; longer than a
/// commit takes while the store is slow.
const SEND_WITHIN_MS: u64 = 500;
/// Maximum lag of a node's estimate of the store's clock, in milliseconds: the one-way delay of a response.
const CLOCK_SLACK_MS: u64 = 400;
/// Maximum one-way delay of a command, in milliseconds.
const SEND_DELAY_MS: u64 = 300;

/// Returns whether a command whose row was written at `written_at` can still be sent.
pub fn may_send(written_at: clock::Instant, now: clock::Instant) -> bool {
    now.since_ms(written_at) <= SEND_WITHIN_MS
}

/// Returns how long a new leader holds off from a machine, in milliseconds after it read the machine's command row.
///
/// `commanded_ms` and `read_ms` are on the store's clock.
pub fn holdoff_ms(commanded_ms: u64, read_ms: u64, lease_ms: u64) -> u64 {
    let until_ms = commanded_ms + SEND_WITHIN_MS + CLOCK_SLACK_MS + SEND_DELAY_MS + lease_ms;
    until_ms.saturating_sub(read_ms)
}
