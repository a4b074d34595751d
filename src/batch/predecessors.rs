//! What a new leader has to assume of the leaders before it, and how long it waits for them.
//!
//! A leader that has lost the store may run on for a while. What bounds it depends on what it knows of its successor.
//!
//! * A leader whose row says that only commits prove its term grants no lease that outlasts the usual wait of any
//!   successor.
//! * A leader that also counts on its followers goes on renewing leases while all of them confirm it, for at most
//!   [`UNCONFIRMED_MAX_MS`]. A successor that is one of them has stopped confirming before its claim, so that the usual wait
//!   is enough. Any other successor has to wait longer, unless one of them says that it has left the leader: from then on the
//!   usual wait is enough as well.
//!
//! What is assumed of all earlier leaders is written with the claim, as the next leader may come before the wait is over.
//!
//! A leader takes up no job that it learned of later than [`NEW_JOBS_MS`] after its newest commit. A job that a successor
//! learns of after all jobs stored until then are known to it is thus known to no earlier leader.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::batch::record;
use crate::batch::scheduler;
use crate::clock;

/// A leader counts on its followers, which means that it renews leases while all of them confirm it, for this long without a
/// commit, in milliseconds; longer than most outages of a store.
pub const UNCONFIRMED_MAX_MS: u64 = 300_000;
/// A leader takes up jobs that it learned of within this time after its newest commit, in milliseconds; twice as long as a
/// commit takes while the store is slow.
pub const NEW_JOBS_MS: u64 = 2_000;
/// A follower takes itself for one that the leader counts on for this long after its newest heartbeat that was answered, in
/// milliseconds; below [`FOLLOWER_GONE_MS`], as clocks differ.
const COUNTED_ON_MS: u64 = 30_000;
/// A follower that was silent for this long before a commit isn't counted on any more, in milliseconds: its machine may have
/// been removed.
pub const FOLLOWER_GONE_MS: u64 = 60_000;

/// What leaders before the holder of the duty may still do.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Earlier {
    /// Nothing: none of them commands workers any more. Leases that the last one granted may run on, for the usual wait.
    #[default]
    Ended,
    /// They may act until their leases lapse, within the usual wait.
    Lapsing,
    /// One of them may count on other followers, and go on for longer.
    Unconfirmed,
}

impl Earlier {
    /// Returns whether no earlier leader can act.
    pub fn is_ended(&self) -> bool {
        *self == Self::Ended
    }

    /// Returns how long a new leader waits, in milliseconds from its beginning, before it takes the workers of earlier leaders
    /// that answer nobody for lapsed.
    pub fn wait_ms(self, lease_ms: u64) -> u64 {
        let lapse_ms = scheduler::lease_expiry_ms(lease_ms);
        match self {
            Self::Ended | Self::Lapsing => lapse_ms,
            Self::Unconfirmed => lapse_ms + UNCONFIRMED_MAX_MS,
        }
    }
}

/// The leader that counts on this node, as the node last heard from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedOn {
    /// Epoch of the leader.
    pub epoch: u64,
    /// When the heartbeat was sent that the leader answered.
    pub at: clock::Instant,
}

impl CountedOn {
    /// Returns whether the leader of an epoch still counts on this node.
    pub fn is_by(&self, epoch: u64, now: clock::Instant) -> bool {
        self.epoch == epoch && now.since_ms(self.at) < COUNTED_ON_MS
    }
}

/// Leaders that counted on this node when it left them, by epoch. It confirms none of them any more.
///
/// Nothing makes such a leader forget the node later: it forgets a silent follower only with a commit, and none of its commits
/// succeeds once another epoch has begun.
#[derive(Clone, Debug, Default)]
pub struct Left {
    epochs: BTreeMap<u64, clock::Instant>,
}

impl Left {
    /// Records that the duty's row names the leader of `epoch`, to which this node's heartbeats go from now on.
    pub fn row_read(&mut self, epoch: u64, counted_on: Option<&CountedOn>, now: clock::Instant) {
        let left = counted_on.filter(|leader| leader.epoch < epoch);
        if let Some(leader) = left.filter(|leader| leader.is_by(leader.epoch, now)) {
            self.epochs.entry(leader.epoch).or_insert(now);
        }
        self.epochs
            .retain(|_, at| now.since_ms(*at) < 2 * UNCONFIRMED_MAX_MS);
    }

    /// Iterates over the epochs of the leaders.
    pub fn epochs(&self) -> impl Iterator<Item = u64> {
        self.epochs.keys().copied()
    }
}

/// What a node that claims the duty has to assume of all earlier leaders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assumed {
    /// What they may still do.
    pub earlier: Earlier,
    /// Epochs of those that may count on other followers.
    pub unconfirmed: BTreeSet<u64>,
}

/// Stands for leaders whose epochs the duty's row doesn't tell; no leader has this epoch.
const EPOCH_UNKNOWN: u64 = 0;

impl Assumed {
    /// Returns what has to be assumed if nothing is known.
    pub fn unknown() -> Self {
        Self {
            earlier: Earlier::Unconfirmed,
            unconfirmed: BTreeSet::from([EPOCH_UNKNOWN]),
        }
    }
}

/// Returns what a node that claims the duty has to assume. `row` is the duty's row that the claim replaces, if there is one
/// that can be read, and `has_ended` says whether its holder certainly leads no more. `left` are the leaders that this node
/// has left.
pub fn assume(
    row: Option<&record::Duty>,
    has_ended: bool,
    counted_on: Option<&CountedOn>,
    left: &Left,
    now: clock::Instant,
) -> Assumed {
    let Some(row) = row else {
        return Assumed::default();
    };
    let is_counted_on = counted_on.is_some_and(|leader| leader.is_by(row.epoch, now));
    let last = if has_ended {
        Earlier::Ended
    } else if row.commits_only || is_counted_on {
        Earlier::Lapsing
    } else {
        Earlier::Unconfirmed
    };
    let mut unconfirmed = row.unconfirmed.clone();
    if row.earlier == Earlier::Unconfirmed && unconfirmed.is_empty() {
        unconfirmed.insert(EPOCH_UNKNOWN);
    }
    if last == Earlier::Unconfirmed {
        unconfirmed.insert(row.epoch);
    }
    for epoch in left.epochs() {
        unconfirmed.remove(&epoch);
    }
    let bounded = last.max(row.earlier).min(Earlier::Lapsing);
    let earlier = if unconfirmed.is_empty() {
        bounded
    } else {
        Earlier::Unconfirmed
    };
    Assumed {
        earlier,
        unconfirmed,
    }
}

/// A leader's wait for those before it.
#[derive(Clone, Debug)]
pub struct Wait {
    assumed: Assumed,
    since: clock::Instant,
}

impl Wait {
    /// Creates the wait of a leader that began at `now`.
    pub fn new(assumed: Assumed, now: clock::Instant) -> Self {
        Self {
            assumed,
            since: now,
        }
    }

    /// Records that a follower has left leaders that counted on it. Returns whether that bounds all earlier leaders: the usual
    /// wait begins.
    pub fn left<I>(&mut self, epochs: I, now: clock::Instant) -> bool
    where
        I: IntoIterator<Item = u64>,
    {
        if self.assumed.earlier != Earlier::Unconfirmed {
            return false;
        }
        for epoch in epochs.into_iter().filter(|epoch| *epoch != EPOCH_UNKNOWN) {
            self.assumed.unconfirmed.remove(&epoch);
        }
        let is_bounded = self.assumed.unconfirmed.is_empty();
        if is_bounded {
            self.assumed.earlier = Earlier::Lapsing;
            self.since = now;
        }
        is_bounded
    }

    /// Returns what the next leader has to assume of the leaders before this one. `has_unresolved` says whether any of their
    /// workers has neither answered this leader nor been taken for ended; else all workers refuse them.
    pub fn standing(&self, has_unresolved: bool, lease_ms: u64, now: clock::Instant) -> Assumed {
        let earlier = self.assumed.earlier;
        if now.since_ms(self.since) >= earlier.wait_ms(lease_ms) {
            Assumed::default()
        } else if has_unresolved {
            self.assumed.clone()
        } else {
            Assumed {
                earlier: earlier.min(Earlier::Lapsing),
                unconfirmed: BTreeSet::new(),
            }
        }
    }
}
