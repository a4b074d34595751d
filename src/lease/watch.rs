//! Watching the journal rows of holders on the own monotonic clock.

use std::collections::BTreeMap;

use super::{Row, WATCH_MARGIN_MS};
use crate::clock;
use crate::journal;
use crate::platform;
use crate::roster;

/// A holder of which nothing was heard for this long is asked for in the table.
const HEARD_RECENTLY_MS: u64 = 2_000;
/// Time between two reads of one holder's journal row.
const ASK_EVERY_MS: u64 = 1_000;

/// After this long without an answer of the table a holder may not have been able to renew.
const ANSWER_GAP_MS: u64 = 2_500;

/// What a watch says of a holder.
#[derive(Debug)]
pub(super) enum Judgement {
    /// Its lease may be valid.
    Renewed,
    /// Its journal row has to be read.
    Ask,
    /// Its lease has run out if this check holds.
    Lapsed(platform::Check),
}

/// One holder's watch.
#[derive(Debug)]
struct Watch {
    version: u64,
    /// The moment at which the version was first seen here.
    since: clock::Instant,
    told_at: clock::Instant,
    asked_at: Option<clock::Instant>,
}

/// The watches of all holders that were heard of.
#[derive(Debug, Default)]
pub(super) struct Watches {
    by_node: BTreeMap<roster::NodeId, Watch>,
    asked: BTreeMap<roster::NodeId, clock::Instant>,
    /// When the newest request was sent that the table answered.
    answered_at: clock::Instant,
}

impl Watches {
    pub(super) fn on_version(&mut self, now: clock::Instant, node: &roster::NodeId, version: u64) {
        self.asked.remove(node);
        let Some(watch) = self.by_node.get_mut(node) else {
            let watch = Watch {
                version,
                since: now,
                told_at: now,
                asked_at: None,
            };
            self.by_node.insert(node.clone(), watch);
            return;
        };
        watch.told_at = watch.told_at.max(now);
        let deleted = version == 0 && watch.version > 0;
        if version > watch.version || deleted {
            watch.version = version;
            watch.since = now;
        }
    }

    /// Takes a refusal that may name a watched journal row.
    pub(super) fn on_refused(&mut self, now: clock::Instant, refused: &platform::Refused) {
        for (node, watch) in &mut self.by_node {
            if journal::key(node) == refused.key {
                watch.version = refused.version;
                watch.since = now;
            }
        }
    }

    pub(super) fn on_table_answer(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        if sent_at.since_ms(self.answered_at) > ANSWER_GAP_MS {
            for watch in self.by_node.values_mut() {
                watch.since = now;
            }
        }
        self.answered_at = self.answered_at.max(sent_at);
    }

    pub(super) fn judge(&mut self, now: clock::Instant, row: &Row) -> Judgement {
        let Some(watch) = self.by_node.get_mut(&row.holder) else {
            let asked_at = self.asked.get(&row.holder);
            if asked_at.is_some_and(|asked_at| now.since_ms(*asked_at) < ASK_EVERY_MS) {
                return Judgement::Renewed;
            }
            self.asked.insert(row.holder.clone(), now);
            return Judgement::Ask;
        };
        if self.answered_at.since_ms(watch.since) >= row.lease_ms + WATCH_MARGIN_MS {
            let key = journal::key(&row.holder);
            return Judgement::Lapsed(platform::Check {
                key,
                version: watch.version,
            });
        }
        let asked_lately = watch
            .asked_at
            .is_some_and(|asked_at| now.since_ms(asked_at) < ASK_EVERY_MS);
        if asked_lately || now.since_ms(watch.told_at) < HEARD_RECENTLY_MS {
            return Judgement::Renewed;
        }
        watch.asked_at = Some(now);
        Judgement::Ask
    }
}
