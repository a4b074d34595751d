//! Detection of lapsed leases by watching the holders' journal rows on the local monotonic clock.

use std::collections::BTreeMap;

use super::{Row, WATCH_MARGIN_MS};
use crate::clock;
use crate::journal;
use crate::platform;
use crate::roster;

/// A holder's journal row is read from the table if its version was last reported this long ago, in milliseconds.
const RECENT_REPORT_MS: u64 = 2_000;
/// Minimum time between two reads of one holder's journal row, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;

/// After this long without a response of the table, in milliseconds, holders may have been unable to renew.
const RESPONSE_GAP_MS: u64 = 2_500;

/// The state of a holder's lease according to its watch.
#[derive(Debug)]
pub(super) enum Status {
    /// The lease can still be valid.
    Renewed,
    /// The holder's journal row has to be read.
    ReadJournal,
    /// The lease has lapsed if this check holds.
    Lapsed(platform::Check),
}

/// The watch of one holder's journal row.
#[derive(Debug)]
struct Watch {
    version: u64,
    /// When this node first saw the version.
    since: clock::Instant,
    reported_at: clock::Instant,
    read_requested_at: Option<clock::Instant>,
}

/// The watches of all holders whose journal version was reported.
#[derive(Debug, Default)]
pub(super) struct Watches {
    by_node: BTreeMap<roster::NodeId, Watch>,
    reads_of_unwatched: BTreeMap<roster::NodeId, clock::Instant>,
    /// When the newest request that the table responded to was sent.
    responded_at: clock::Instant,
}

impl Watches {
    pub(super) fn on_version(&mut self, now: clock::Instant, node: &roster::NodeId, version: u64) {
        self.reads_of_unwatched.remove(node);
        let Some(watch) = self.by_node.get_mut(node) else {
            let watch = Watch {
                version,
                since: now,
                reported_at: now,
                read_requested_at: None,
            };
            self.by_node.insert(node.clone(), watch);
            return;
        };
        watch.reported_at = watch.reported_at.max(now);
        let deleted = version == 0 && watch.version > 0;
        if version > watch.version || deleted {
            watch.version = version;
            watch.since = now;
        }
    }

    /// Applies a refusal that can name a watched journal row.
    pub(super) fn on_refused(&mut self, now: clock::Instant, refused: &platform::Refused) {
        for (node, watch) in &mut self.by_node {
            if journal::key(node) == refused.key {
                watch.version = refused.version;
                watch.since = now;
            }
        }
    }

    pub(super) fn on_table_response(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        if sent_at.since_ms(self.responded_at) > RESPONSE_GAP_MS {
            for watch in self.by_node.values_mut() {
                watch.since = now;
            }
        }
        self.responded_at = self.responded_at.max(sent_at);
    }

    pub(super) fn status(&mut self, now: clock::Instant, row: &Row) -> Status {
        let Some(watch) = self.by_node.get_mut(&row.holder) else {
            let read_requested_at = self.reads_of_unwatched.get(&row.holder);
            if read_requested_at.is_some_and(|read_requested_at| {
                now.since_ms(*read_requested_at) < READ_INTERVAL_MS
            }) {
                return Status::Renewed;
            }
            self.reads_of_unwatched.insert(row.holder.clone(), now);
            return Status::ReadJournal;
        };
        if self.responded_at.since_ms(watch.since) >= row.lease_ms + WATCH_MARGIN_MS {
            let key = journal::key(&row.holder);
            return Status::Lapsed(platform::Check {
                key,
                version: watch.version,
            });
        }
        let read_recently = watch
            .read_requested_at
            .is_some_and(|read_requested_at| now.since_ms(read_requested_at) < READ_INTERVAL_MS);
        if read_recently || now.since_ms(watch.reported_at) < RECENT_REPORT_MS {
            return Status::Renewed;
        }
        watch.read_requested_at = Some(now);
        Status::ReadJournal
    }
}
