//! Logs and counts entries of other writers that cannot be read.

use std::collections::BTreeSet;

use crate::log;

/// Maximum number of entries that are named in the log while they cannot be read; all are counted.
const NAMED_MAX: usize = 32;

/// The entries of one list that cannot be read.
#[derive(Debug)]
pub struct Unreadable {
    /// Label of the list in the metrics.
    what: &'static str,
    /// Prefix of the lines in the log.
    part: &'static str,
    named: BTreeSet<String>,
}

impl Unreadable {
    /// Creates the record of a list.
    pub fn new(what: &'static str, part: &'static str) -> Self {
        Self {
            what,
            part,
            named: BTreeSet::new(),
        }
    }

    /// Counts entries that were read and cannot be used.
    pub fn count(&self, entries: u64) {
        metrics::counter!("wasabiloft_entries_unreadable_total", "what" => self.what)
            .increment(entries);
    }

    /// Counts an entry, and logs it unless it was unreadable before.
    pub fn found(&mut self, name: &str, line: &str) {
        self.count(1);
        if self.named.len() < NAMED_MAX && self.named.insert(name.to_owned()) {
            log::warn(self.part, line);
        }
    }

    /// Records that an entry was removed or can be read; returns whether it was logged as unreadable.
    pub fn resolved(&mut self, name: &str) -> bool {
        self.named.remove(name)
    }

    /// Forgets all entries but those for which `is_present` holds.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.named.retain(|name| is_present(name));
    }
}
