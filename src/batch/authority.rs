//! What a leader may still do, from what proves that it wasn't replaced.
//!
//! A node takes the duty over in the store, and only after its newest heartbeat to the leader got no response within its
//! timeout, or after the leader asked to be replaced. Two facts follow.
//!
//! * A process that stood still for that long may have been replaced. It sends nothing to workers and machines until a commit
//!   that it sent afterwards has succeeded.
//! * A leader that runs on, but doesn't reach the store, may have been replaced as well. It certainly led when it sent its
//!   newest successful commit, and when it sent the oldest of the responses that its followers have confirmed since. A
//!   successor waits from its own beginning, which is later, until the leases of its predecessor have lapsed. So a leader
//!   grants no lease that ends later than that, and runs that nobody can vouch for end by themselves.
//!
//! While the store answers nobody, followers keep confirming, and leases are renewed. A node that isn't a follower may reach
//! the store, though. It waits longer if the duty's row says that the leader counts on its followers (see
//! [`crate::batch::predecessors`]), and the leader counts on them only once a commit has said so.

use std::collections::BTreeMap;

use crate::batch::predecessors;
use crate::batch::scheduler;
use crate::clock;

/// Timeout of a follower's heartbeat, in milliseconds; far above a round trip and the pauses of a busy leader.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 400;
/// A leader that began this recently doesn't know all its followers, in milliseconds; above the longest interval between
/// two heartbeats of a node.
const FOLLOWERS_KNOWN_MS: u64 = 2_500;
/// Time for a worker to end runs whose lease has lapsed, in milliseconds.
const STOP_TIME_MS: u64 = 300;

/// What proves that a leader hasn't been replaced, and so bounds the leases that it grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Its newest successful commit.
    Commit,
    /// The confirmations of its followers, which are newer.
    Followers,
}

/// A follower's newest confirmation.
#[derive(Clone, Copy, Debug)]
struct Follower {
    heard_at: clock::Instant,
    /// When the leader sent the newest response that the follower has confirmed.
    confirmed_at: clock::Instant,
    /// When a later incarnation of the node was first heard.
    superseded_at: Option<clock::Instant>,
}

/// A leader's authority over workers and machines.
#[derive(Clone, Debug)]
pub struct Authority {
    began_at: clock::Instant,
    /// When this process was last seen to run.
    ran_at: clock::Instant,
    /// When this process ran again after it had stood still; `None` once a later commit has succeeded.
    resumed_at: Option<clock::Instant>,
    /// When the newest successful commit was sent.
    committed_at: clock::Instant,
    /// Whether a commit has said that the leader counts on its followers.
    counts_on_followers: bool,
    /// The followers that were heard in this term, by name and incarnation.
    followers: BTreeMap<(String, u64), Follower>,
}

impl Authority {
    /// Creates the authority of a leader whose claim, or a renewal of it, was sent at `committed_at` and succeeded.
    pub fn new(committed_at: clock::Instant, now: clock::Instant) -> Self {
        Self {
            began_at: now,
            ran_at: now,
            resumed_at: None,
            committed_at,
            counts_on_followers: false,
            followers: BTreeMap::new(),
        }
    }

    /// Returns whether the next commit says that only commits prove that the leader leads.
    pub fn commits_only(&self, now: clock::Instant) -> bool {
        now.since_ms(self.began_at) < FOLLOWERS_KNOWN_MS
    }

    /// Records that the process runs, and returns for how long it stood still if it lost its authority by that, in
    /// milliseconds.
    pub fn observe(&mut self, now: clock::Instant) -> Option<u64> {
        let stalled_ms = now.since_ms(self.ran_at);
        self.ran_at = self.ran_at.max(now);
        if stalled_ms < HEARTBEAT_TIMEOUT_MS {
            return None;
        }
        self.resumed_at = Some(now);
        Some(stalled_ms)
    }

    /// Records that a commit that was sent at `sent_at` has succeeded; `commits_only` is what it said. Returns whether the
    /// authority is thereby regained.
    pub fn committed(&mut self, sent_at: clock::Instant, commits_only: bool) -> bool {
        self.committed_at = self.committed_at.max(sent_at);
        self.counts_on_followers = !commits_only;
        // A commit that is newer than its silence proves that a follower hasn't taken over, and when it comes back it knows
        // that the leader counts on it no more. Claims of an incarnation that has ended fail after a commit.
        let committed_at = self.committed_at;
        self.followers.retain(|_, follower| {
            committed_at.since_ms(follower.heard_at) < predecessors::FOLLOWER_GONE_MS
                && follower.superseded_at.is_none_or(|at| at > committed_at)
        });
        let regained = self.resumed_at.is_some_and(|resumed| resumed <= sent_at);
        if regained {
            self.resumed_at = None;
        }
        regained
    }

    /// Records a heartbeat of a follower. `confirmed_at` is when this leader sent the newest response after which the
    /// follower went on following it; `None` if it hasn't received any in this term.
    pub fn heard(
        &mut self,
        name: &str,
        incarnation: u64,
        confirmed_at: Option<clock::Instant>,
        now: clock::Instant,
    ) {
        let key = (name.to_owned(), incarnation);
        if !self.followers.contains_key(&key) {
            let earlier = self.followers.iter_mut();
            for (_, follower) in earlier.filter(|((other, _), _)| other == name) {
                follower.superseded_at.get_or_insert(now);
            }
        }
        let follower = self.followers.entry(key).or_insert(Follower {
            heard_at: now,
            confirmed_at: self.began_at,
            superseded_at: None,
        });
        follower.heard_at = now;
        if let Some(at) = confirmed_at {
            follower.confirmed_at = follower.confirmed_at.max(at);
        }
    }

    /// Records that a follower stops, so that this incarnation of it claims nothing any more.
    pub fn stopped(&mut self, name: &str, incarnation: u64) {
        self.followers.remove(&(name.to_owned(), incarnation));
    }

    /// Returns the newest moment at which no other node can have taken the duty over, except one that waits longer.
    fn led_at(&self) -> clock::Instant {
        let confirmed = self.followers.values().map(|seen| seen.confirmed_at).min();
        let latest = self.committed_at.after_ms(predecessors::UNCONFIRMED_MAX_MS);
        match confirmed.filter(|_| self.counts_on_followers) {
            Some(confirmed) => self.committed_at.max(confirmed.min(latest)),
            None => self.committed_at,
        }
    }

    /// Returns what proves that the leader hasn't been replaced; commits that are about as new as the confirmations count.
    pub fn proof(&self) -> Proof {
        if self.led_at().since_ms(self.committed_at) > HEARTBEAT_TIMEOUT_MS {
            Proof::Followers
        } else {
            Proof::Commit
        }
    }

    /// Returns the moment by which all leases of `lease_ms` and shorter have to end, so that a successor doesn't take a
    /// worker for lapsed before.
    pub fn leases_end(&self, lease_ms: u64) -> clock::Instant {
        let wait_ms = scheduler::lease_expiry_ms(lease_ms);
        self.led_at().after_ms(wait_ms - STOP_TIME_MS)
    }

    /// Returns when the newest successful commit was sent, which proves that nobody had taken over before.
    pub fn committed_at(&self) -> clock::Instant {
        self.committed_at
    }

    /// Returns whether the leader may send commands, as of the last observation.
    pub fn may_act(&self) -> bool {
        self.resumed_at.is_none()
    }
}
