//! Reading the claims of a shard when it is taken over.

use crate::clock;
use crate::id;
use crate::once::entry;
use crate::once::message;
use crate::once::message::Output;
use crate::once::owner;
use crate::once::view;
use crate::platform;

/// Rows that one read returns at most.
const SCAN_ROWS: usize = 1_000;
/// Shards that are read at once.
const SCANS_AT_ONCE: usize = 8;
/// A read without reply for this long is sent again, in milliseconds.
const READ_RETRY_MS: u64 = 1_000;

/// How far the reading of a shard has come.
#[derive(Debug, Default)]
pub struct Shard {
    loaded: bool,
    after: Option<id::Key>,
    asked_at: Option<clock::Instant>,
}

impl Shard {
    /// A shard of which nothing has been read yet; `loaded` if nothing needs to be.
    pub fn new(loaded: bool) -> Self {
        Self {
            loaded,
            ..Self::default()
        }
    }
}

impl owner::Owner {
    /// Tells whether the claims of a shard are known.
    pub fn is_loaded(&self, shard: view::Shard) -> bool {
        self.shards.get(&shard).is_some_and(|state| state.loaded)
    }

    /// Tells whether the claims of all owned shards are known.
    pub fn all_loaded(&self) -> bool {
        self.shards.values().all(|state| state.loaded)
    }

    /// Takes rows of a shard that is being read.
    pub fn rows(
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
        state.asked_at = None;
        if let Some(last) = rows.last() {
            state.after = Some(last.key.clone());
        }
        state.loaded = rows.is_empty();
        for row in rows {
            self.adopt(ctx, row);
        }
        self.trim_answers(ctx);
    }

    /// Remembers a claim as its row has it.
    pub(super) fn adopt(&mut self, ctx: &owner::Context<'_>, row: &platform::Row) {
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

    /// Asks for the rows of shards that are not known yet.
    pub(super) fn scan(&mut self, ctx: &owner::Context<'_>, out: &mut Vec<Output>) {
        let unloaded = self.shards.iter_mut().filter(|(_, state)| !state.loaded);
        for (shard, state) in unloaded.take(SCANS_AT_ONCE) {
            let waits = state
                .asked_at
                .is_some_and(|at| ctx.now.since_ms(at) < READ_RETRY_MS);
            if waits {
                continue;
            }
            state.asked_at = Some(ctx.now);
            out.push(Output::Scan {
                view: ctx.view.number,
                prefix: message::row_prefix(*shard),
                after: state.after.clone(),
                limit: SCAN_ROWS,
            });
        }
    }

    /// Asks for single rows whose content is in question.
    pub(super) fn read(&mut self, ctx: &owner::Context<'_>, out: &mut Vec<Output>) {
        for (key, asked_at) in self.reads.iter_mut().take(SCANS_AT_ONCE) {
            let waits = asked_at.is_some_and(|at| ctx.now.since_ms(at) < READ_RETRY_MS);
            if waits {
                continue;
            }
            *asked_at = Some(ctx.now);
            out.push(Output::ReadRow { key: key.row_key() });
        }
    }

    /// Keeps the newest answers in memory; older ones are read from their rows when asked for.
    pub(super) fn trim_answers(&mut self, ctx: &owner::Context<'_>) {
        let bytes_max = ctx.settings.answer_bytes_max;
        let mut left = self.answers.len();
        while left > 0 {
            if self.answer_bytes <= bytes_max && left <= ctx.settings.entries_max {
                return;
            }
            left -= 1;
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
