//! Election of the node that leads the batch duty: among nodes of unequal CPU capacity a strong one, once the duty's row shows
//! that the leader commits nothing any more.

use crate::clock;

/// A node counts as strong as another if it has at least this share of the other's CPU capacity, in thousandths; the
/// capacities of one kind of VM differ by less.
const SIMILAR_MILLI: u64 = 750;
/// Additional delay of a weaker node before it claims the duty, in milliseconds: a heartbeat's interval and its
/// timeout, within which a strong node notices the same loss.
const WEAKER_DELAY_MS: u64 = 650;
/// Delay before the very first claim for a node of one core, in milliseconds. Inversely proportional to the capacity;
/// for a quarter of a core it is about the time within which all nodes start.
const FIRST_CLAIM_DELAY_MS: u64 = 60;
/// Heartbeat interval of a node that can claim without delay, in milliseconds.
const HEARTBEAT_MS: u64 = 250;
/// Heartbeat interval of a weaker node that the store does not answer, in milliseconds; short enough to get the
/// configuration from the leader in time.
const HEARTBEAT_WEAKER_MS: u64 = 800;
/// Heartbeat interval of a weaker node that the store answers, in milliseconds. Hundreds of such nodes would otherwise
/// take a tenth of the leader's processor.
const HEARTBEAT_IDLE_MS: u64 = 2_000;
/// Reads of the duty's row that are refused are repeated at once for this long after one that succeeded, in milliseconds.
const REFUSED_REPEAT_MS: u64 = 2_000;
/// Minimum time that a leader leads before it steps down for a stronger node, in milliseconds; a change of leader
/// takes about a second.
const STEP_DOWN_AFTER_MS: u64 = 3_000;

/// A node waits this long before it claims a duty that names another node as the successor, in milliseconds: the
/// successor checks the row every 40 ms and claims within a call to the store.
const SUCCESSOR_TIME_MS: u64 = 600;
/// Additional delay of a slow node before it claims, in milliseconds: a heartbeat's interval, its timeout and the delay of
/// a weaker node, after which only slow nodes remain.
const SLOW_DELAY_MS: u64 = 1_500;

/// Observations of the duty's row, which a leader writes several times a second.
///
/// Only time counts in which the store answers this node: a leader that the store turns away can't write the row either. A
/// store that refuses most calls at random would else hide the loss of a leader, as no leader's row is read without a
/// refusal for long enough.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowWatch {
    version: u64,
    /// When the row was first seen at this version; later by the time around reads that were refused.
    since: clock::Instant,
    read_at: clock::Instant,
    /// Whether a read was refused since.
    was_refused: bool,
}

impl RowWatch {
    /// Records that the row was read; returns whether it has changed since it was read before.
    pub fn read(&mut self, version: u64, now: clock::Instant) -> bool {
        let has_changed = version != self.version;
        if has_changed {
            self.version = version;
            self.since = now;
        } else if self.was_refused {
            self.since = self.since.after_ms(now.since_ms(self.read_at));
        }
        self.read_at = now;
        self.was_refused = false;
        has_changed
    }

    /// Records that the store refused a read; returns whether the read is worth being repeated soon, as one succeeded just
    /// before.
    pub fn refused(&mut self, now: clock::Instant) -> bool {
        self.was_refused = true;
        self.version != 0 && now.since_ms(self.read_at) < REFUSED_REPEAT_MS
    }

    /// Records that the store didn't answer a read: what was seen before tells nothing.
    pub fn unanswered(&mut self) {
        self.version = 0;
    }

    /// Returns for how long the row has had this version, in milliseconds; 0 if it was last seen at another one.
    pub fn unchanged_ms(&self, version: u64, now: clock::Instant) -> u64 {
        if version == self.version {
            now.since_ms(self.since)
        } else {
            0
        }
    }
}

/// The successor that a released duty names, from the view of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// None.
    None,
    /// This node.
    This,
    /// Another node.
    Other,
}

impl Successor {
    /// Returns the view of the node with this incarnation.
    pub fn new(named: Option<u64>, incarnation: u64) -> Self {
        match named {
            None => Self::None,
            Some(named) if named == incarnation => Self::This,
            Some(_) => Self::Other,
        }
    }
}

/// Returns how long a node waits for a named successor, and for nodes that aren't slow, before it claims the duty, in
/// milliseconds.
pub fn yield_delay_ms(successor: Successor, is_slow: bool) -> u64 {
    let successor_ms = match successor {
        Successor::None | Successor::This => 0,
        Successor::Other => SUCCESSOR_TIME_MS,
    };
    successor_ms + if is_slow { SLOW_DELAY_MS } else { 0 }
}

/// Returns whether a node's CPU capacity is clearly below another's; both are in thousandths of a core.
pub fn is_weaker(cpu_milli: u64, other_milli: u64) -> bool {
    cpu_milli * 1_000 < other_milli * SIMILAR_MILLI
}

/// Returns how long a node waits before it claims the duty, in milliseconds.
///
/// `expected_milli` is the CPU capacity of the node that is expected to lead, from the duty's row if that exists.
pub fn claim_delay_ms(cpu_milli: u64, expected_milli: Option<u64>) -> u64 {
    match expected_milli {
        Some(expected) if is_weaker(cpu_milli, expected) => WEAKER_DELAY_MS,
        Some(_) => 0,
        None => FIRST_CLAIM_DELAY_MS * 1_000 / cpu_milli.max(1),
    }
}

/// Heartbeat interval of a standby, in milliseconds: the leader is slow, so that each message counts.
pub const HEARTBEAT_STANDBY_MS: u64 = 80;
/// Interval at which a standby checks the row while the leader releases the duty, in milliseconds.
pub const STANDBY_CHECK_MS: u64 = 40;

/// Returns the interval of a node's heartbeats to the leader, in milliseconds.
pub fn heartbeat_ms(cpu_milli: u64, expected_milli: Option<u64>, store_answers: bool) -> u64 {
    match expected_milli {
        Some(expected) if is_weaker(cpu_milli, expected) => {
            if store_answers {
                HEARTBEAT_IDLE_MS
            } else {
                HEARTBEAT_WEAKER_MS
            }
        }
        _ => HEARTBEAT_MS,
    }
}

/// Returns whether a leader that has led for `led_ms` steps down for a follower that can reach the store.
pub fn steps_down(cpu_milli: u64, follower_milli: u64, led_ms: u64) -> bool {
    led_ms >= STEP_DOWN_AFTER_MS && is_weaker(cpu_milli, follower_milli)
}
