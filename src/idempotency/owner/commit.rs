//! Group commit of claims, ends of attempts and deletions to the table.

use crate::clock;
use crate::idempotency::entry;
use crate::idempotency::message;
use crate::idempotency::message::Message;
use crate::idempotency::message::Output;
use crate::idempotency::owner;
use crate::idempotency::view;
use crate::platform;

/// Maximum number of keys in one transaction: each takes a check and a write, and a few rows are reserved for the
/// journal.
const BATCH_MAX: usize = 45;

/// A group commit whose outcome is not known yet.
#[derive(Debug)]
pub struct InFlight {
    token: u64,
    view: u64,
    sent_at: clock::Instant,
    items: Vec<(message::Key, u64)>,
}

impl InFlight {
    /// Returns the time since the transaction was sent, in milliseconds.
    pub fn age_ms(&self, now: clock::Instant) -> u64 {
        now.since_ms(self.sent_at)
    }

    /// Returns true if the transaction writes the key.
    pub fn contains(&self, key: &message::Key) -> bool {
        self.items.iter().any(|(item, _)| item == key)
    }
}

impl owner::Owner {
    /// Starts a group commit if one is due; returns true if it started a transaction under `token`.
    pub fn commit(&mut self, ctx: &owner::Context<'_>, token: u64, out: &mut Vec<Output>) -> bool {
        if self.in_flight.is_some() || !self.is_commit_due(ctx) {
            return false;
        }
        let mut txn = platform::Txn::default();
        if ctx.settings.guards.view_check {
            txn.checks.push(platform::Check {
                key: view::ROW_KEY.into(),
                version: ctx.view_version,
            });
        }
        let items = self.take_batch(&mut txn);
        if items.is_empty() {
            return false;
        }
        self.commit_started_at = Some(ctx.now);
        self.in_flight = Some(InFlight {
            token,
            view: ctx.view.number,
            sent_at: ctx.now,
            items,
        });
        out.push(Output::Transact { token, txn });
        true
    }

    /// Handles the outcome of a group commit; returns true if it was refused because the view's row has changed.
    pub fn handle_outcome(
        &mut self,
        ctx: &owner::Context<'_>,
        token: u64,
        outcome: &platform::Outcome,
        out: &mut Vec<Output>,
    ) -> bool {
        if self
            .in_flight
            .as_ref()
            .is_none_or(|in_flight| in_flight.token != token)
        {
            return false;
        }
        let Some(in_flight) = self.in_flight.take() else {
            return false;
        };
        match outcome {
            platform::Outcome::Committed(committed) if in_flight.view == ctx.view.number => {
                for ((key, revision), version) in in_flight.items.iter().zip(&committed.versions) {
                    self.row_written(ctx, key, *revision, *version, out);
                }
                self.trim_answers(ctx);
                false
            }
            platform::Outcome::Committed(_) | platform::Outcome::Unknown => {
                for (key, _) in &in_flight.items {
                    self.reread(key);
                }
                false
            }
            platform::Outcome::Refused(refused) => {
                for (key, _) in &in_flight.items {
                    if key.row_key() == refused.key {
                        self.reread(key);
                    } else {
                        self.enqueue(ctx, key);
                        self.remove_if_unwritten(key);
                    }
                }
                refused.key.as_str() == view::ROW_KEY
            }
        }
    }

    /// Handles the content of a row that was read again.
    pub fn handle_row(
        &mut self,
        ctx: &owner::Context<'_>,
        key: &message::Key,
        row: Option<&platform::Row>,
        out: &mut Vec<Output>,
    ) {
        if self.pending_reads.remove(key).is_none() {
            return;
        }
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.reading = false;
        let Some(row) = row else {
            entry.version = 0;
            if entry.dirty {
                self.enqueue(ctx, key);
            }
            self.remove_if_unwritten(key);
            return;
        };
        let value: Option<message::RowValue> = serde_json::from_str(&row.value).ok();
        let is_same_attempt = value.is_some_and(|value| value.id == entry.claim.id);
        entry.version = row.version;
        if is_same_attempt && entry.row_json().as_deref() == Some(row.value.as_str()) {
            let revision = entry.revision;
            self.row_written(ctx, key, revision, row.version, out);
        } else if is_same_attempt && entry.dirty {
            self.enqueue(ctx, key);
        } else if is_same_attempt || !self.unpersisted.contains(key) {
            self.load_row(ctx, row);
        } else {
            self.delete_replicas(ctx, key, out);
            if let Some(entry) = self.entries.get_mut(key) {
                entry.dirty = false;
            }
        }
    }

    /// Queues a key for a write if its row is outdated.
    pub(super) fn enqueue(&mut self, ctx: &owner::Context<'_>, key: &message::Key) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !entry.dirty || entry.reading {
            return;
        }
        if entry.is_lazy() {
            self.lazy_since.get_or_insert(ctx.now);
            if !entry.queued {
                self.lazy.push_back(key.clone());
            }
        } else {
            self.urgent.push_back(key.clone());
        }
        entry.queued = true;
    }

    fn is_commit_due(&self, ctx: &owner::Context<'_>) -> bool {
        let interval_over = self
            .commit_started_at
            .is_none_or(|at| ctx.now.since_ms(at) >= ctx.settings.commit_interval_ms);
        let lazy_due = self
            .lazy_since
            .is_some_and(|at| ctx.now.since_ms(at) >= ctx.settings.lazy_delay_ms);
        interval_over && (!self.urgent.is_empty() || lazy_due)
    }

    fn take_batch(&mut self, txn: &mut platform::Txn) -> Vec<(message::Key, u64)> {
        let mut items: Vec<(message::Key, u64)> = Vec::new();
        while items.len() < BATCH_MAX {
            let Some(key) = self.urgent.pop_front().or_else(|| self.lazy.pop_front()) else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if !entry.dirty || entry.reading || items.iter().any(|(item, _)| *item == key) {
                continue;
            }
            entry.queued = false;
            txn.checks.push(platform::Check {
                key: key.row_key(),
                version: entry.version,
            });
            txn.writes.push(platform::Write {
                key: key.row_key(),
                value: entry.row_json(),
            });
            items.push((key, entry.revision));
        }
        if self.lazy.is_empty() {
            self.lazy_since = None;
        }
        items
    }

    /// Handles a completed write of the entry's state at `revision`.
    fn row_written(
        &mut self,
        ctx: &owner::Context<'_>,
        key: &message::Key,
        revision: u64,
        version: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.version = version;
        if entry.revision != revision {
            self.enqueue(ctx, key);
            self.remove_if_unwritten(key);
            return;
        }
        entry.dirty = false;
        let id = entry.claim.id.clone();
        self.replicating.remove(&id);
        self.delete_replicas(ctx, key, out);
        self.notify_written(key, id, out);
    }

    fn notify_written(&mut self, key: &message::Key, id: message::ClaimId, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match entry.state {
            entry::State::Claiming => {
                entry.state = entry::State::Granted;
                self.claiming.remove(key);
                owner::send_reply(&id, message::Reply::Granted, out);
            }
            entry::State::Granted => {}
            entry::State::Ended(_) => send_end_committed(id, out),
            entry::State::Deleting => {
                self.entries.remove(key);
                send_end_committed(id, out);
            }
        }
    }

    /// Schedules a read of a row whose content is unknown after a write.
    fn reread(&mut self, key: &message::Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.reading = true;
            self.pending_reads.insert(key.clone(), None);
        }
    }
}

fn send_end_committed(id: message::ClaimId, out: &mut Vec<Output>) {
    out.push(Output::Send {
        to: id.requester.clone(),
        message: Message::EndCommitted { id },
    });
}
