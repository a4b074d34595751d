//! Handover of the batch duty from a slow leader to a standby: whom the leader names, and when.
//!
//! Answers the load in which the leader's VM is seven times slower for seconds while the other nodes run normally. The
//! leader learns from heartbeats which follower is fit. It tells the fittest to read the rows in advance, and releases the
//! duty in its favour once that is done. If no follower is fit, for example because all nodes are slow, it stays.

use std::collections::BTreeMap;

use crate::batch::slowness::Speed;
use crate::batch::succession;
use crate::clock;

/// Maximum time since a follower's last heartbeat, in milliseconds; four heartbeats, of which a slow leader handles some
/// late.
const HEARD_MAX_MS: u64 = 1_000;
/// Maximum time since the store last answered a follower, in milliseconds.
const STORE_SILENT_MAX_MS: u64 = 500;
/// Share of the leader's link that a successor needs, in thousandths.
const LINK_MIN_MILLI: u64 = 750;
/// A follower with at most this average delay is fit, in milliseconds; a calm node that is seven times slower exceeds it.
const DELAY_FIT_MS: u64 = 12;
/// A follower whose delay is at most the leader's divided by this, and at most the maximum, is also fit; on a busy host all
/// nodes are late at times.
const DELAY_FIT_DIVISOR: u64 = 6;
/// Maximum average delay of a fit follower, in milliseconds; a calm node that is seven times slower is 30 ms late or more.
const DELAY_FIT_MAX_MS: u64 = 20;
/// The duty is released even if the standby isn't prepared after this time, in milliseconds; a cold takeover takes as long.
const PREPARE_MAX_MS: u64 = 800;
/// A successor's newest heartbeat arrived at least this long after the leader was found to be slow, in milliseconds. If all
/// nodes become slow together, older heartbeats show none of it.
const VERIFY_MS: u64 = 100;
/// A standby that wasn't needed stops following after this time without suspicion, in milliseconds.
const STANDBY_KEPT_MS: u64 = 2_000;
/// Minimum time between two preparations without a handover, in milliseconds; a preparation reads all rows of jobs.
const PREPARE_PAUSE_MS: u64 = 10_000;
/// Minimum time that a leader leads before it hands over, in milliseconds; half of the time for which VMs are slow, and
/// within the time for which the previous leader counts as slow.
pub const LEAD_MIN_MS: u64 = 3_000;
/// The same after a handover, in milliseconds: if load alone makes leaders slow, the duty moves rarely.
pub const LEAD_MIN_AFTER_HANDOVER_MS: u64 = 8_000;

/// What a follower reports with its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Follower {
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// CPU of the node, in thousandths of a core.
    pub cpu_milli: u64,
    /// Bandwidth of the node's link, in kbit/s.
    pub link_kbit_per_s: u64,
    /// Average delay of the node's timer that its own work doesn't explain, in milliseconds.
    pub delay_ms: u64,
    /// Whether the node is slow or was so in the last seconds.
    pub slow: bool,
    /// Whether the node is about to stop.
    pub stopping: bool,
    /// Time since the store last answered the node, in milliseconds.
    pub store_silent_ms: u64,
    /// Whether the node has read the rows and follows their changes.
    pub prepared: bool,
}

/// What the leader asks of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Instruction {
    /// Nothing.
    None,
    /// Read the rows and follow their changes.
    Prepare,
}

#[derive(Clone, Copy, Debug)]
struct Standby {
    incarnation: u64,
    chosen_at: clock::Instant,
    /// When the leader was last suspected to be slow.
    needed_at: clock::Instant,
}

/// The leader's state of a handover.
#[derive(Clone, Debug)]
pub struct Handover {
    cpu_milli: u64,
    link_kbit_per_s: u64,
    followers: BTreeMap<u64, (Follower, clock::Instant)>,
    standby: Option<Standby>,
    /// When the leader was found to be slow, if it still is.
    slow_since: Option<clock::Instant>,
    /// No handover before this time.
    not_before: clock::Instant,
    /// No preparation on mere suspicion before this time.
    prepare_not_before: clock::Instant,
    is_decided: bool,
}

impl Handover {
    /// Creates the state of a leader with the given resources that hands over at `not_before` at the earliest.
    pub fn new(cpu_milli: u64, link_kbit_per_s: u64, not_before: clock::Instant) -> Self {
        Self {
            cpu_milli,
            link_kbit_per_s,
            followers: BTreeMap::new(),
            standby: None,
            slow_since: None,
            not_before,
            prepare_not_before: clock::Instant::ZERO,
            is_decided: false,
        }
    }

    /// Records a heartbeat.
    pub fn heard(&mut self, follower: Follower, now: clock::Instant) {
        self.followers
            .retain(|_, (_, at)| now.since_ms(*at) < HEARD_MAX_MS * 10);
        self.followers.insert(follower.incarnation, (follower, now));
    }

    /// Returns the median delay of the followers that were heard lately, in milliseconds; `None` without followers.
    pub fn peers_delay_ms(&self, now: clock::Instant) -> Option<u64> {
        let mut delays: Vec<u64> = self
            .followers
            .values()
            .filter(|(_, at)| now.since_ms(*at) < HEARD_MAX_MS)
            .map(|(follower, _)| follower.delay_ms)
            .collect();
        delays.sort_unstable();
        delays.get(delays.len() / 2).copied()
    }

    /// Returns what the leader asks of a follower.
    pub fn instruction(&self, incarnation: u64) -> Instruction {
        match self.standby {
            Some(standby) if standby.incarnation == incarnation => Instruction::Prepare,
            _ => Instruction::None,
        }
    }

    /// Updates the preparation to the leader's speed. Returns the successor once the duty must be released in its favour.
    pub fn update(
        &mut self,
        speed: Speed,
        own_delay_ms: u64,
        now: clock::Instant,
    ) -> Option<Follower> {
        if self.is_decided || now < self.not_before {
            return None;
        }
        match speed {
            Speed::Slow => {
                self.slow_since.get_or_insert(now);
            }
            Speed::Usual | Speed::Suspected => self.slow_since = None,
        }
        if speed == Speed::Usual {
            let is_unneeded =
                |standby: &mut Standby| now.since_ms(standby.needed_at) >= STANDBY_KEPT_MS;
            if self.standby.take_if(is_unneeded).is_some() {
                self.prepare_not_before = now.after_ms(PREPARE_PAUSE_MS);
            }
            return None;
        }
        if speed == Speed::Suspected && self.standby.is_none() && now < self.prepare_not_before {
            return None;
        }
        let kept = self.standby.filter(|standby| {
            let follower = self.followers.get(&standby.incarnation);
            follower.is_some_and(|(follower, at)| self.is_fit(follower, *at, own_delay_ms, now))
        });
        let standby = match kept {
            Some(standby) => Standby {
                needed_at: now,
                ..standby
            },
            None => Standby {
                incarnation: self.fittest(own_delay_ms, now)?,
                chosen_at: now,
                needed_at: now,
            },
        };
        self.standby = Some(standby);
        let slow_since = self.slow_since?;
        let (follower, heard_at) = self.followers.get(&standby.incarnation)?;
        if *heard_at < slow_since.after_ms(VERIFY_MS) {
            return None;
        }
        if !follower.prepared && now.since_ms(standby.chosen_at) < PREPARE_MAX_MS {
            return None;
        }
        self.is_decided = true;
        Some(follower.clone())
    }

    fn is_fit(
        &self,
        follower: &Follower,
        heard_at: clock::Instant,
        own_delay_ms: u64,
        now: clock::Instant,
    ) -> bool {
        let delay_max_ms = (own_delay_ms / DELAY_FIT_DIVISOR).clamp(DELAY_FIT_MS, DELAY_FIT_MAX_MS);
        !follower.slow
            && !follower.stopping
            && follower.delay_ms <= delay_max_ms
            && follower.store_silent_ms < STORE_SILENT_MAX_MS
            && now.since_ms(heard_at) < HEARD_MAX_MS
            && !succession::is_weaker(follower.cpu_milli, self.cpu_milli)
            && follower.link_kbit_per_s * 1_000 >= self.link_kbit_per_s * LINK_MIN_MILLI
    }

    /// Returns the incarnation of the fittest follower: the strongest, then the least late, then the last heard.
    fn fittest(&self, own_delay_ms: u64, now: clock::Instant) -> Option<u64> {
        self.followers
            .values()
            .filter(|(follower, at)| self.is_fit(follower, *at, own_delay_ms, now))
            .max_by_key(|(follower, at)| {
                (
                    follower.cpu_milli,
                    follower.link_kbit_per_s,
                    std::cmp::Reverse(follower.delay_ms),
                    *at,
                )
            })
            .map(|(follower, _)| follower.incarnation)
    }
}
