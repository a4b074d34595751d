//! Duty leases: which node can act for a pool or a shard of jobs.
//!
//! A duty's row names its lease holder. The lease starts just before the holder sent its newest committed
//! transaction, so one write of its journal row renews all its duties. Another node takes a duty over after the
//! holder's journal row has stayed unchanged for the lease plus a margin on the other node's clock; its transaction
//! checks that row again, together with the duty's row. Every transaction of a duty checks the duty's row.

mod message;
pub mod rendezvous;
mod watch;

use std::collections::BTreeMap;

use crate::clock;
use crate::id;
use crate::journal;
use crate::platform;
use crate::roster;

pub use message::{Action, Grant, Row};

/// Length of a lease, in milliseconds.
pub const LEASE_MS: u64 = 5_000;
/// A holder starts no effect in this last part of its lease, in milliseconds.
pub const SAFETY_MARGIN_MS: u64 = 500;
/// A node that watches a holder waits this much longer than the lease, in milliseconds.
pub const WATCH_MARGIN_MS: u64 = 500;
/// A holder renews its leases this long after its newest commit was sent, in milliseconds.
pub const RENEW_MS: u64 = 1_500;
/// Time between two reads of all duty rows, in milliseconds.
pub const ROWS_POLL_MS: u64 = 5_000;
/// Time between two reads of all duty rows while one is unconfirmed, in milliseconds.
pub const ROWS_RETRY_MS: u64 = 500;
/// A duty moves to the preferred node after that node has been the preferred one for this long, in milliseconds.
pub const REBALANCE_AFTER_MS: u64 = 15_000;
/// Prefix of the keys of all duty rows.
const KEY_PREFIX: &str = "duty/";

/// The known state of a duty.
#[derive(Debug, Default)]
struct Entry {
    row: Option<Row>,
    version: u64,
    /// Latest time at which the table is known to have held this row.
    confirmed_at: clock::Instant,
    /// Latest time at which the row was known to be outdated.
    outdated_at: clock::Instant,
    /// True while a change of holder is being submitted.
    changing: bool,
    /// Preferred node if it is not the holder, and since when.
    preferred: Option<(roster::NodeId, clock::Instant)>,
}

impl Entry {
    /// Returns whether the row was read since it was last outdated and since this node's lease last lapsed.
    fn is_confirmed(&self, lapsed_at: clock::Instant) -> bool {
        self.confirmed_at >= self.outdated_at && self.confirmed_at >= lapsed_at
    }
}

/// The leases that a node holds and those that it watches.
#[derive(Debug)]
pub struct Leases {
    me: roster::NodeId,
    entries: BTreeMap<id::Duty, Entry>,
    rows_requested_at: Option<clock::Instant>,
    renewed_at: Option<clock::Instant>,
    /// End of the newest gap between two leases; rows that were read before it don't count.
    lapsed_at: clock::Instant,
    watches: watch::Watches,
    rebalance_after_ms: u64,
}

impl Leases {
    /// Creates the state of a new incarnation, which holds no lease.
    pub fn new(me: roster::NodeId, now: clock::Instant) -> Self {
        Self {
            me,
            entries: BTreeMap::new(),
            rows_requested_at: None,
            renewed_at: None,
            lapsed_at: now,
            watches: watch::Watches::default(),
            rebalance_after_ms: REBALANCE_AFTER_MS,
        }
    }

    /// Sets the known duties; rows of other duties are ignored.
    pub fn set_duties(&mut self, duties: &[id::Duty]) {
        self.entries.retain(|duty, _| duties.contains(duty));
        for duty in duties {
            self.entries.entry(duty.clone()).or_default();
        }
        self.rows_requested_at = None;
    }

    /// Applies the duty rows of a range read that was sent at `sent_at`; older versions are ignored.
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

    /// Records the version of a node's journal row, from a read or a heartbeat; 0 if the row is absent.
    pub fn on_journal(&mut self, now: clock::Instant, node: &roster::NodeId, version: u64) {
        self.watches.on_version(now, node, version);
    }

    /// Applies the newest commit of this node's journal, settled at `now` and sent at `renewed_at`.
    ///
    /// If the previous lease had lapsed before the commit became known, another node can have taken over a duty in
    /// the gap: leases count again only after their rows have been read again.
    pub fn on_commit(&mut self, now: clock::Instant, renewed_at: clock::Instant) {
        let renewed_in_time = self
            .renewed_at
            .is_some_and(|previous| now.since_ms(previous) < LEASE_MS);
        if !renewed_in_time {
            self.lapsed_at = now;
            self.rows_requested_at = None;
        }
        self.renewed_at = self.renewed_at.max(Some(renewed_at));
    }

    /// Records that the table responded to a request that was sent at `sent_at`.
    ///
    /// A row counts as unchanged only up to the newest response. After a time without responses all watches restart,
    /// because no holder could renew.
    pub fn on_table_response(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        self.watches.on_table_response(now, sent_at);
    }

    /// Starts the handover of all duties as soon as possible, because this node is leaving.
    pub fn start_leaving(&mut self) {
        self.rebalance_after_ms = 0;
    }

    /// Applies the outcome of an [`Action::Change`]; to be called after [`Leases::on_commit`] if it committed.
    pub fn on_settled(
        &mut self,
        now: clock::Instant,
        duty: &id::Duty,
        txn: &platform::Txn,
        settled: &journal::Settled,
    ) {
        self.rows_requested_at = None;
        if let journal::Settled::Refused(refused) = settled {
            self.watches.on_refused(now, refused);
        }
        let Some(entry) = self.entries.get_mut(duty) else {
            return;
        };
        entry.changing = false;
        entry.preferred = None;
        let journal::Settled::Committed(committed) = settled else {
            entry.outdated_at = now;
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

    /// Cancels a change that the journal did not accept.
    pub fn on_submit_failed(&mut self, duty: &id::Duty) {
        if let Some(entry) = self.entries.get_mut(duty) {
            entry.changing = false;
        }
    }

    /// Returns the right to act for a duty, if this node holds its lease now.
    pub fn grant(&self, now: clock::Instant, duty: &id::Duty) -> Option<Grant> {
        let entry = self.entries.get(duty)?;
        let row = entry.row.as_ref()?;
        let valid = row.holder == self.me
            && !entry.changing
            && entry.is_confirmed(self.lapsed_at)
            && self
                .renewed_at
                .is_some_and(|renewed_at| may_act(row, renewed_at, now));
        valid.then(|| Grant {
            duty: duty.clone(),
            epoch: row.epoch,
            check: platform::Check {
                key: key(duty),
                version: entry.version,
            },
        })
    }

    /// Returns the grants of all duties that this node holds now.
    pub fn grants(&self, now: clock::Instant) -> Vec<Grant> {
        self.entries
            .keys()
            .filter_map(|duty| self.grant(now, duty))
            .collect()
    }

    /// Returns the time before which an effect of a held duty has to start, unless the lease is renewed.
    pub fn act_deadline(&self, duty: &id::Duty) -> Option<clock::Instant> {
        let row = self.entries.get(duty)?.row.as_ref()?;
        let lease_ms = row.lease_ms.saturating_sub(SAFETY_MARGIN_MS);
        Some(self.renewed_at?.after_ms(lease_ms))
    }

    /// Returns whether an effect under a grant can still start; to be called right before the effect.
    pub fn still_holds(&self, now: clock::Instant, grant: &Grant) -> bool {
        self.grant(now, &grant.duty)
            .is_some_and(|current| current == *grant)
    }

    /// Returns the actions to perform now; `live` are the nodes with recent heartbeats, including this one.
    pub fn poll(&mut self, now: clock::Instant, live: &[roster::NodeId]) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.needs_renewal(now) {
            actions.push(Action::Renew);
        }
        if self.needs_rows(now) {
            self.rows_requested_at = Some(now);
            actions.push(Action::ReadRows);
        }
        let duties: Vec<id::Duty> = self.entries.keys().cloned().collect();
        for duty in duties {
            actions.extend(self.poll_duty(now, live, &duty));
        }
        actions
    }

    fn needs_renewal(&self, now: clock::Instant) -> bool {
        let mut rows = self.entries.values().filter_map(|entry| entry.row.as_ref());
        rows.any(|row| row.holder == self.me)
            && self
                .renewed_at
                .is_none_or(|renewed_at| now.since_ms(renewed_at) >= RENEW_MS)
    }

    fn needs_rows(&self, now: clock::Instant) -> bool {
        let confirmed = self
            .entries
            .values()
            .all(|entry| entry.is_confirmed(self.lapsed_at));
        let interval_ms = if confirmed {
            ROWS_POLL_MS
        } else {
            ROWS_RETRY_MS
        };
        self.rows_requested_at
            .is_none_or(|requested_at| now.since_ms(requested_at) >= interval_ms)
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
            let first = rendezvous::preferred(duty, live.iter())?;
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
        if rendezvous::preferred(duty, others) != Some(&self.me) {
            return None;
        }
        match self.watches.status(now, row) {
            watch::Status::Renewed => None,
            watch::Status::ReadJournal => Some(Action::ReadJournal(row.holder.clone())),
            watch::Status::Lapsed(check) => {
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
        let preferred = rendezvous::preferred(duty, live.iter())?;
        let granted = self.grant(now, duty);
        let entry = self.entries.get_mut(duty)?;
        if *preferred == self.me {
            entry.preferred = None;
            return None;
        }
        let same = entry
            .preferred
            .as_ref()
            .is_some_and(|(node, _)| node == preferred);
        if !same {
            entry.preferred = Some((preferred.clone(), now));
        }
        let (_, since) = entry.preferred.as_ref()?;
        if now.since_ms(*since) < self.rebalance_after_ms {
            return None;
        }
        let grant = granted?;
        entry.changing = true;
        Some(change(
            duty,
            grant.check.version,
            None,
            preferred,
            grant.epoch + 1,
        ))
    }
}

/// Returns whether the holder can still start an effect.
///
/// `sent_at` is a time just before the renewal was sent, so that a slow reply shortens the lease.
pub fn may_act(row: &Row, sent_at: clock::Instant, now: clock::Instant) -> bool {
    now.since_ms(sent_at) + SAFETY_MARGIN_MS < row.lease_ms
}

/// Returns the key of a duty's row.
pub fn key(duty: &id::Duty) -> id::Key {
    id::Key::from(format!("{KEY_PREFIX}{duty}"))
}

/// Returns the prefix of the keys of all duty rows.
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
