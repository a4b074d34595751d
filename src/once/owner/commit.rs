//! Group commit of claims, ends and deletions.

use crate::clock;
use crate::once::entry;
use crate::once::message;
use crate::once::message::Message;
use crate::once::message::Output;
use crate::once::owner;
use crate::once::view;
use crate::platform;

/// Keys in one transaction: each is a check and a write, and a few rows are left for the journal.
const BATCH_MAX: usize = 45;

/// A transaction without outcome.
#[derive(Debug)]
pub struct Flight {
    token: u64,
    view: u64,
    sent_at: clock::Instant,
    items: Vec<(message::Key, u64)>,
}

impl Flight {
    /// Time since it was sent, in milliseconds.
    pub fn age_ms(&self, now: clock::Instant) -> u64 {
        now.since_ms(self.sent_at)
    }

    /// Tells whether a key is part of it.
    pub fn has(&self, key: &message::Key) -> bool {
        self.items.iter().any(|(item, _)| item == key)
    }
}

impl owner::Owner {
    /// Starts a group commit if one is due; `token` names it. Returns true if it was used.
    pub fn commit(&mut self, ctx: &owner::Context<'_>, token: u64, out: &mut Vec<Output>) -> bool {
        if self.flight.is_some() || !self.is_commit_due(ctx) {
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
        self.committed_at = Some(ctx.now);
        self.flight = Some(Flight {
            token,
            view: ctx.view.number,
            sent_at: ctx.now,
            items,
        });
        out.push(Output::Transact { token, txn });
        true
    }

    /// Takes the outcome of a group commit. Returns true if the view's row has changed.
    pub fn outcome(
        &mut self,
        ctx: &owner::Context<'_>,
        token: u64,
        outcome: &platform::Outcome,
        out: &mut Vec<Output>,
    ) -> bool {
        if self
            .flight
            .as_ref()
            .is_none_or(|flight| flight.token != token)
        {
            return false;
        }
        let Some(flight) = self.flight.take() else {
            return false;
        };
        match outcome {
            platform::Outcome::Committed(committed) if flight.view == ctx.view.number => {
                for ((key, revision), version) in flight.items.iter().zip(&committed.versions) {
                    self.written(ctx, key, *revision, *version, out);
                }
                self.trim_answers(ctx);
                false
            }
            platform::Outcome::Committed(_) | platform::Outcome::Unknown => {
                for (key, _) in &flight.items {
                    self.question(key);
                }
                false
            }
            platform::Outcome::Refused(refused) => {
                for (key, _) in &flight.items {
                    if key.row_key() == refused.key {
                        self.question(key);
                    } else {
                        self.enqueue(ctx, key);
                        self.drop_unwritten(key);
                    }
                }
                refused.key.as_str() == view::ROW_KEY
            }
        }
    }

    /// Takes the content of a single row.
    pub fn row(
        &mut self,
        ctx: &owner::Context<'_>,
        key: &message::Key,
        row: Option<&platform::Row>,
        out: &mut Vec<Output>,
    ) {
        if self.reads.remove(key).is_none() {
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
            self.drop_unwritten(key);
            return;
        };
        let value: Option<message::RowValue> = serde_json::from_str(&row.value).ok();
        let same = value.is_some_and(|value| value.id == entry.claim.id);
        entry.version = row.version;
        if same && entry.row_text().as_deref() == Some(row.value.as_str()) {
            let revision = entry.revision;
            self.written(ctx, key, revision, row.version, out);
        } else if same && entry.dirty {
            self.enqueue(ctx, key);
        } else if same || !self.from_memory.contains(key) {
            self.adopt(ctx, row);
        } else {
            self.let_go(ctx, key, out);
            if let Some(entry) = self.entries.get_mut(key) {
                entry.dirty = false;
            }
        }
    }

    /// Puts a key into the queue of writes.
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
        let gap_over = self
            .committed_at
            .is_none_or(|at| ctx.now.since_ms(at) >= ctx.settings.commit_gap_ms);
        let lazy_due = self
            .lazy_since
            .is_some_and(|at| ctx.now.since_ms(at) >= ctx.settings.lazy_ms);
        gap_over && (!self.urgent.is_empty() || lazy_due)
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
                value: entry.row_text(),
            });
            items.push((key, entry.revision));
        }
        if self.lazy.is_empty() {
            self.lazy_since = None;
        }
        items
    }

    /// A row has been written as it was at `revision`.
    fn written(
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
            self.drop_unwritten(key);
            return;
        }
        entry.dirty = false;
        let id = entry.claim.id.clone();
        self.holds.remove(&id);
        self.let_go(ctx, key, out);
        self.report_written(key, id, out);
    }

    fn report_written(&mut self, key: &message::Key, id: message::ClaimId, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match entry.state {
            entry::State::Claiming => {
                entry.state = entry::State::Granted;
                self.claiming.remove(key);
                owner::reply_to_asker(&id, message::Reply::Granted, out);
            }
            entry::State::Granted => {}
            entry::State::Ended(_) => settle(id, out),
            entry::State::Deleting => {
                self.entries.remove(key);
                settle(id, out);
            }
        }
    }

    /// Reads a row again, because what was written is not known.
    fn question(&mut self, key: &message::Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.reading = true;
            self.reads.insert(key.clone(), None);
        }
    }
}

fn settle(id: message::ClaimId, out: &mut Vec<Output>) {
    out.push(Output::Send {
        to: id.asker.clone(),
        message: Message::Settled { id },
    });
}
