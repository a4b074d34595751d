//! Duty leases: which node may act for a pool or a shard of jobs.
//!
//! A duty's row names its holder. The holder's lease runs from the moment before it sent its newest transaction
//! that committed, so one write of its journal row renews all its duties. Another node takes a duty over after it
//! has watched the holder's journal row unchanged for the lease and a margin on its own clock; its transaction
//! checks that row once more, and the duty's row. Every transaction of a duty checks the duty's row.

mod message;
pub mod spread;
mod watch;

use std::collections::BTreeMap;

use crate::clock;
use crate::id;
use crate::journal;
use crate::platform;
use crate::roster;

pub use message::{Action, Grant, Row};

/// The length of a lease.
pub const LEASE_MS: u64 = 5_000;
/// A holder starts no effect in the last part of its lease.
pub const SAFETY_MARGIN_MS: u64 = 500;
/// A watcher waits this much longer than the lease.
pub const WATCH_MARGIN_MS: u64 = 500;
/// A holder renews this long after the newest commit.
pub const RENEW_MS: u64 = 1_500;
/// Time between two reads of all duty rows.
pub const ROWS_POLL_MS: u64 = 5_000;
/// Time between two reads of all duty rows while one is in doubt.
pub const ROWS_RETRY_MS: u64 = 500;
/// A duty moves to a better placed node after that node has been the better one for this long.
pub const SPREAD_AFTER_MS: u64 = 15_000;
/// The prefix of all duty rows.
const KEY_PREFIX: &str = "duty/";

/// What is known of a duty.
#[derive(Debug, Default)]
struct Entry {
    row: Option<Row>,
    version: u64,
    /// The newest moment at which the row is known to have been as it is here.
    confirmed_at: clock::Instant,
    /// The moment at which the row was known to be out of date.
    doubted_at: clock::Instant,
    /// True while a change of holder is being submitted.
    changing: bool,
    /// The node that has been better placed, and since when.
    better: Option<(roster::NodeId, clock::Instant)>,
}

impl Entry {
    /// Tells whether the row was seen since it was last in doubt and since the node's newest lapse.
    fn is_confirmed(&self, lapsed_at: clock::Instant) -> bool {
        self.confirmed_at >= self.doubted_at && self.confirmed_at >= lapsed_at
    }
}

/// The leases that a node holds and those that it watches.
#[derive(Debug)]
pub struct Leases {
    me: roster::NodeId,
    entries: BTreeMap<id::Duty, Entry>,
    rows_asked_at: Option<clock::Instant>,
    proven_at: Option<clock::Instant>,
    /// The end of the newest gap between two leases; rows that were read before it prove nothing.
    lapsed_at: clock::Instant,
    watches: watch::Watches,
    spread_after_ms: u64,
}

impl Leases {
    /// Makes the state of a new incarnation, which holds nothing.
    pub fn new(me: roster::NodeId, now: clock::Instant) -> Self {
        Self {
            me,
            entries: BTreeMap::new(),
            rows_asked_at: None,
            proven_at: None,
            lapsed_at: now,
            watches: watch::Watches::default(),
            spread_after_ms: SPREAD_AFTER_MS,
        }
    }

    /// Sets the duties that there are; rows of others are left alone.
    pub fn set_duties(&mut self, duties: &[id::Duty]) {
        self.entries.retain(|duty, _| duties.contains(duty));
        for duty in duties {
            self.entries.entry(duty.clone()).or_default();
        }
        self.rows_asked_at = None;
    }

    /// Takes the duty rows of a range read that was sent at `sent_at`; older versions are ignored.
    pub fn on_rows(&mut self, sent_at: clock::Instant, rows: &[platform::Row]) {
        for platform_row in rows {
            let name = platform_row.key.as_str().strip_prefix(KEY_PREFIX);
            let Some(entry) = name.and_then(|name| self.entries.get_mut(&id::Duty::new(name)))
            else {
                continue;
            };
            let Ok(row) = serde_json::from_str::<Row>(&platform_row.value) else {
                continue;
            };
            if platform_row.version >= entry.version {
                entry.row = Some(row);
                entry.version = platform_row.version;
                entry.confirmed_at = entry.confirmed_at.max(sent_at);
            }
        }
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.row.is_none())
        {
            entry.confirmed_at = entry.confirmed_at.max(sent_at);
        }
    }

    /// Takes the version of a node's journal row, from a read or a heartbeat; 0 if the row is absent.
    pub fn on_journal(&mut self, now: clock::Instant, node: &roster::NodeId, version: u64) {
        self.watches.on_version(now, node, version);
    }

    /// Takes the newest commit of this node's journal, settled at `now` and sent at `proven_at`.
    ///
    /// A commit that became known after the lease before it had run out leaves a gap, in which a duty may
    /// have been taken over: holdings count again once their rows have been read afresh.
    pub fn on_commit(&mut self, now: clock::Instant, proven_at: clock::Instant) {
        let renewed_in_time = self
            .proven_at
            .is_some_and(|previous| now.since_ms(previous) < LEASE_MS);
        if !renewed_in_time {
            self.lapsed_at = now;
            self.rows_asked_at = None;
        }
        self.proven_at = self.proven_at.max(Some(proven_at));
    }

    /// Notes that the table answered a request that was sent at `sent_at`.
    ///
    /// A row counts as unchanged only up to the newest answer; after a time without any, all watches start afresh,
    /// since no holder could renew.
    pub fn on_table_answer(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        self.watches.on_table_answer(now, sent_at);
    }

    /// Hands all duties over as soon as possible, as this node is leaving.
    pub fn leave(&mut self) {
        self.spread_after_ms = 0;
    }

    /// Takes the outcome of a [`Action::Change`], after [`Leases::on_commit`] if it committed.
    pub fn on_settled(
        &mut self,
        now: clock::Instant,
        duty: &id::Duty,
        txn: &platform::Txn,
        settled: &journal::Settled,
    ) {
        self.rows_asked_at = None;
        if let journal::Settled::Refused(refused) = settled {
            self.watches.on_refused(now, refused);
        }
        let Some(entry) = self.entries.get_mut(duty) else {
            return;
        };
        entry.changing = false;
        entry.better = None;
        let journal::Settled::Committed(committed) = settled else {
            entry.doubted_at = now;
            return;
        };
        let value = txn.writes.first().and_then(|write| write.value.as_deref());
        let row = value.and_then(|value| serde_json::from_str::<Row>(value).ok());
        if let (Some(row), Some(version)) = (row, committed.versions.first()) {
            entry.row = Some(row);
            entry.version = *version;
            entry.confirmed_at = now;
        }
    }

    /// Gives up a change that the journal did not take.
    pub fn on_submit_failed(&mut self, duty: &id::Duty) {
        if let Some(entry) = self.entries.get_mut(duty) {
            entry.changing = false;
        }
    }

    /// The right to act for a duty, if this node holds it now.
    pub fn grant(&self, now: clock::Instant, duty: &id::Duty) -> Option<Grant> {
        let entry = self.entries.get(duty)?;
        let row = entry.row.as_ref()?;
        let valid = row.holder == self.me
            && !entry.changing
            && entry.is_confirmed(self.lapsed_at)
            && self
                .proven_at
                .is_some_and(|proven_at| may_act(row, proven_at, now));
        valid.then(|| Grant {
            duty: duty.clone(),
            epoch: row.epoch,
            check: platform::Check {
                key: key(duty),
                version: entry.version,
            },
        })
    }

    /// All duties that this node holds now.
    pub fn held(&self, now: clock::Instant) -> Vec<Grant> {
        self.entries
            .keys()
            .filter_map(|duty| self.grant(now, duty))
            .collect()
    }

    /// The moment before which an effect of a duty that is held has to start, if no renewal comes.
    pub fn act_before(&self, duty: &id::Duty) -> Option<clock::Instant> {
        let row = self.entries.get(duty)?.row.as_ref()?;
        let lease_ms = row.lease_ms.saturating_sub(SAFETY_MARGIN_MS);
        Some(self.proven_at?.after_ms(lease_ms))
    }

    /// Tells whether an effect in the name of a grant may still start; to be asked right before the effect.
    pub fn still_holds(&self, now: clock::Instant, grant: &Grant) -> bool {
        self.grant(now, &grant.duty)
            .is_some_and(|current| current == *grant)
    }

    /// Returns what has to be done now; `live` are the nodes that are heard, this one included.
    pub fn poll(&mut self, now: clock::Instant, live: &[roster::NodeId]) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.wants_renewal(now) {
            actions.push(Action::Renew);
        }
        if self.wants_rows(now) {
            self.rows_asked_at = Some(now);
            actions.push(Action::ReadRows);
        }
        let duties: Vec<id::Duty> = self.entries.keys().cloned().collect();
        for duty in duties {
            actions.extend(self.poll_duty(now, live, &duty));
        }
        actions
    }

    fn wants_renewal(&self, now: clock::Instant) -> bool {
        let mut rows = self.entries.values().filter_map(|entry| entry.row.as_ref());
        rows.any(|row| row.holder == self.me)
            && self
                .proven_at
                .is_none_or(|proven_at| now.since_ms(proven_at) >= RENEW_MS)
    }

    fn wants_rows(&self, now: clock::Instant) -> bool {
        let confirmed = self
            .entries
            .values()
            .all(|entry| entry.is_confirmed(self.lapsed_at));
        let interval_ms = if confirmed {
            ROWS_POLL_MS
        } else {
            ROWS_RETRY_MS
        };
        self.rows_asked_at
            .is_none_or(|asked_at| now.since_ms(asked_at) >= interval_ms)
    }

    fn poll_duty(
        &mut self,
        now: clock::Instant,
        live: &[roster::NodeId],
        duty: &id::Duty,
    ) -> Option<Action> {
        let entry = self.entries.get_mut(duty)?;
        if entry.changing || !entry.is_confirmed(self.lapsed_at) {
            return None;
        }
        let Some(row) = &entry.row else {
            let first = spread::winner(duty, live.iter())?;
            if *first != self.me {
                return None;
            }
            entry.changing = true;
            return Some(change(duty, 0, None, &self.me, 1));
        };
        if row.holder == self.me {
            return self.hand_over(now, live, duty);
        }
        let others = live.iter().filter(|node| **node != row.holder);
        if spread::winner(duty, others) != Some(&self.me) {
            return None;
        }
        match self.watches.judge(now, row) {
            watch::Judgement::Renewed => None,
            watch::Judgement::Ask => Some(Action::ReadJournal(row.holder.clone())),
            watch::Judgement::Lapsed(check) => {
                entry.changing = true;
                Some(change(
                    duty,
                    entry.version,
                    Some(check),
                    &self.me,
                    row.epoch + 1,
                ))
            }
        }
    }

    fn hand_over(
        &mut self,
        now: clock::Instant,
        live: &[roster::NodeId],
        duty: &id::Duty,
    ) -> Option<Action> {
        let winner = spread::winner(duty, live.iter())?;
        let granted = self.grant(now, duty);
        let entry = self.entries.get_mut(duty)?;
        if *winner == self.me {
            entry.better = None;
            return None;
        }
        let same = entry
            .better
            .as_ref()
            .is_some_and(|(node, _)| node == winner);
        if !same {
            entry.better = Some((winner.clone(), now));
        }
        let (_, since) = entry.better.as_ref()?;
        if now.since_ms(*since) < self.spread_after_ms {
            return None;
        }
        let grant = granted?;
        entry.changing = true;
        Some(change(
            duty,
            grant.check.version,
            None,
            winner,
            grant.epoch + 1,
        ))
    }
}

/// Tells whether the holder may still start an effect.
///
/// `sent_at` is the moment before the renewal was sent, so that a slow reply shortens the lease.
pub fn may_act(row: &Row, sent_at: clock::Instant, now: clock::Instant) -> bool {
    now.since_ms(sent_at) + SAFETY_MARGIN_MS < row.lease_ms
}

/// The key of a duty's row.
pub fn key(duty: &id::Duty) -> id::Key {
    id::Key::from(format!("{KEY_PREFIX}{duty}"))
}

/// The prefix of all duty rows.
pub fn prefix() -> &'static str {
    KEY_PREFIX
}

fn change(
    duty: &id::Duty,
    version: u64,
    lapsed: Option<platform::Check>,
    holder: &roster::NodeId,
    epoch: u64,
) -> Action {
    let row = Row {
        holder: holder.clone(),
        epoch,
        lease_ms: LEASE_MS,
    };
    let mut checks = vec![platform::Check {
        key: key(duty),
        version,
    }];
    checks.extend(lapsed);
    let value = Some(serde_json::json!(row).to_string());
    let writes = vec![platform::Write {
        key: key(duty),
        value,
    }];
    Action::Change {
        duty: duty.clone(),
        txn: platform::Txn { checks, writes },
    }
}
