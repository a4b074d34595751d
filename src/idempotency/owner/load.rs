//! Loads the claims of a shard from the table when this node becomes its owner.

use crate::clock;
use crate::id;
use crate::idempotency::entry;
use crate::idempotency::message;
use crate::idempotency::message::Output;
use crate::idempotency::owner;
use crate::idempotency::view;
use crate::platform;

/// Maximum number of rows that one scan returns.
const SCAN_ROWS_MAX: usize = 1_000;
/// Maximum number of shards scanned, and of single rows read, at the same time.
const CONCURRENT_READS_MAX: usize = 8;
/// Time after which an unanswered read is sent again, in milliseconds.
const READ_RETRY_MS: u64 = 1_000;

/// Progress of loading a shard.
#[derive(Debug, Default)]
pub struct Shard {
    loaded: bool,
    after: Option<id::Key>,
    requested_at: Option<clock::Instant>,
}

impl Shard {
    /// Creates a shard of which no rows have been read; `loaded` is true if no rows need to be read.
    pub fn new(loaded: bool) -> Self {
        Self {
            loaded,
            ..Self::default()
        }
    }
}

impl owner::Owner {
    /// Returns true if the claims of a shard are loaded.
    pub fn is_loaded(&self, shard: view::Shard) -> bool {
        self.shards.get(&shard).is_some_and(|state| state.loaded)
    }

    /// Returns true if the claims of all owned shards are loaded.
    pub fn all_loaded(&self) -> bool {
        self.shards.values().all(|state| state.loaded)
    }

    /// Handles the rows of a scan of a shard.
    pub fn handle_rows(
        &mut self,
        ctx: &owner::Context<'_>,
        prefix: &str,
        after: Option<&id::Key>,
        rows: &[platform::Row],
    ) {
        let found = self
            .shards
            .iter_mut()
            .find(|(shard, _)| message::row_prefix(**shard) == prefix);
        let Some((_, state)) = found else {
            return;
        };
        if state.loaded || state.after.as_ref() != after {
            return;
        }
        state.requested_at = None;
        if let Some(last) = rows.last() {
            state.after = Some(last.key.clone());
        }
        state.loaded = rows.is_empty();
        for row in rows {
            self.load_row(ctx, row);
        }
        self.trim_answers(ctx);
    }

    /// Replaces the entry of a key by the content of its row.
    pub(super) fn load_row(&mut self, ctx: &owner::Context<'_>, row: &platform::Row) {
        let Some(entry) = entry::Entry::from_row(row, ctx.now) else {
            return;
        };
        let key = entry.claim.key.clone();
        if let Some(old) = self.entries.get(&key) {
            self.answer_bytes -= old.answer_bytes();
        }
        self.claiming.remove(&key);
        self.answer_bytes += entry.answer_bytes();
        self.answers.push_back(key);
        self.insert(ctx, entry);
    }

    /// Requests the next rows of shards that are not loaded yet.
    pub(super) fn scan_shards(&mut self, ctx: &owner::Context<'_>, out: &mut Vec<Output>) {
        let unloaded = self.shards.iter_mut().filter(|(_, state)| !state.loaded);
        for (shard, state) in unloaded.take(CONCURRENT_READS_MAX) {
            let recently_sent = state
                .requested_at
                .is_some_and(|at| ctx.now.since_ms(at) < READ_RETRY_MS);
            if recently_sent {
                continue;
            }
            state.requested_at = Some(ctx.now);
            out.push(Output::Scan {
                view: ctx.view.number,
                prefix: message::row_prefix(*shard),
                after: state.after.clone(),
                limit: SCAN_ROWS_MAX,
            });
        }
    }

    /// Requests single rows whose content is unknown or whose answer is not in memory.
    pub(super) fn read_rows(&mut self, ctx: &owner::Context<'_>, out: &mut Vec<Output>) {
        for (key, requested_at) in self.pending_reads.iter_mut().take(CONCURRENT_READS_MAX) {
            let recently_sent = requested_at.is_some_and(|at| ctx.now.since_ms(at) < READ_RETRY_MS);
            if recently_sent {
                continue;
            }
            *requested_at = Some(ctx.now);
            out.push(Output::ReadRow { key: key.row_key() });
        }
    }

    /// Drops the oldest answers from memory beyond the limits; they are read from their rows when a request repeats.
    pub(super) fn trim_answers(&mut self, ctx: &owner::Context<'_>) {
        let bytes_max = ctx.settings.answer_bytes_max;
        let mut remaining = self.answers.len();
        while remaining > 0 {
            if self.answer_bytes <= bytes_max && remaining <= ctx.settings.entries_max {
                return;
            }
            remaining -= 1;
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.dirty {
                self.answers.push_back(key);
                continue;
            }
            self.answer_bytes -= entry.answer_bytes();
            entry.drop_answer();
        }
    }
}
