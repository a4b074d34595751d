//! A node's copy of the configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::{DOCUMENT_PREFIX, Deltas, FRESH_MS, Head, Version};
use crate::clock;
use crate::id;
use crate::peers;
use crate::platform;
use crate::roster;

/// Whether a node can accept requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It has no complete configuration yet.
    Starting,
    /// It can accept requests that arrive before this time.
    ServingUntil(clock::Instant),
    /// Neither the table nor a majority of the roster has recently confirmed its configuration.
    Isolated,
}

/// Rows that a node must read from the table to reach a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredRows {
    /// These rows, to reach this head.
    Changed(u64, Vec<id::Key>),
    /// All documents and the roster, to reach this head.
    All(u64),
}

/// A head that was read from the table and is not applied yet.
#[derive(Debug)]
struct Target {
    head: u64,
    /// When the read of the head was sent.
    sent_at: clock::Instant,
    /// Rows still to be read; `None` if all rows must be read.
    missing: Option<BTreeSet<id::Key>>,
}

/// A node's copy of the documents and of the roster.
#[derive(Debug, Default)]
pub struct Replica {
    head: u64,
    loaded: bool,
    documents: BTreeMap<id::Service, Version>,
    roster: roster::Roster,
    target: Option<Target>,
    /// The newest head that was read, and its row's version.
    table_head: Option<(Head, u64)>,
    /// When the newest read whose head is applied was sent.
    table_confirmed_at: Option<clock::Instant>,
}

impl Replica {
    /// Returns the number of the newest change up to which all changes are applied.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns true once a complete configuration, possibly an empty one, has been applied.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the newest applied roster.
    pub fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Returns all documents with their versions, including deleted ones.
    pub fn documents(&self) -> &BTreeMap<id::Service, Version> {
        &self.documents
    }

    /// Returns the newest content read from the head's row, and the row's version; 0 if absent.
    pub fn table_head(&self) -> Option<(&Head, u64)> {
        self.table_head
            .as_ref()
            .map(|(head, version)| (head, *version))
    }

    /// Handles the head's row from a read that was sent at `sent_at`; returns the rows to read, if any.
    pub fn on_head(
        &mut self,
        sent_at: clock::Instant,
        row: Option<&platform::Row>,
    ) -> Option<RequiredRows> {
        let head: Head = match row {
            Some(row) => serde_json::from_str(&row.value).ok()?,
            None => Head::default(),
        };
        let version = row.map_or(0, |row| row.version);
        if self
            .table_head
            .as_ref()
            .is_some_and(|(_, known)| version < *known)
        {
            return None;
        }
        let number = head.head;
        let changed = head.changed_after(self.head);
        self.table_head = Some((head, version));
        if number == 0 {
            self.loaded = true;
        }
        if number <= self.head {
            self.table_confirmed_at = self.table_confirmed_at.max(Some(sent_at));
            return None;
        }
        let changed = changed.filter(|_| self.loaded);
        let missing = changed.map(|keys| keys.into_iter().collect::<BTreeSet<id::Key>>());
        let required = match &missing {
            Some(keys) => RequiredRows::Changed(number, keys.iter().cloned().collect()),
            None => RequiredRows::All(number),
        };
        self.target = Some(Target {
            head: number,
            sent_at,
            missing,
        });
        Some(required)
    }

    /// Applies a requested row; `head` is the head that the read was to reach.
    pub fn on_row(&mut self, head: u64, key: &id::Key, row: Option<&platform::Row>) {
        let Some(row) = row else { return };
        self.apply_row(row);
        let Some(target) = self.target.as_mut().filter(|target| target.head == head) else {
            return;
        };
        let Some(missing) = &mut target.missing else {
            return;
        };
        missing.remove(key);
        if missing.is_empty() {
            self.advance(head);
        }
    }

    /// Applies the roster's row.
    pub fn on_roster_row(&mut self, row: Option<&platform::Row>) {
        if let Some(row) = row {
            self.apply_row(row);
        }
    }

    /// Applies all documents' rows, which were read after the head `head` and after the roster's row.
    pub fn on_all_documents(&mut self, head: u64, documents: &[platform::Row]) {
        for row in documents {
            self.apply_row(row);
        }
        self.loaded = true;
        self.advance(head);
    }

    /// Applies changes from a peer or from a local edit; returns false if earlier changes are missing.
    pub fn on_deltas(&mut self, deltas: &Deltas) -> bool {
        if deltas.after > self.head {
            return false;
        }
        for (service, version) in &deltas.documents {
            self.apply_document(service, version);
        }
        if let Some(roster) = &deltas.roster {
            self.apply_roster(roster);
        }
        self.loaded = true;
        self.advance(deltas.head);
        true
    }

    /// Returns all changes after a head, for a peer that has that head.
    pub fn deltas_after(&self, after: u64) -> Deltas {
        let newer = self
            .documents
            .iter()
            .filter(|(_, version)| version.head > after);
        let documents = newer.map(|(service, version)| (service.clone(), version.clone()));
        let roster = Some(&self.roster).filter(|roster| roster.head > after);
        Deltas {
            after,
            head: self.head,
            documents: documents.collect(),
            roster: roster.cloned(),
        }
    }

    /// Returns whether the node can accept requests now.
    pub fn serving_state(&self, now: clock::Instant, peers: &peers::Peers) -> ServingState {
        if !self.loaded {
            return ServingState::Starting;
        }
        let peers_confirmed_at = peers.confirmed_at(now, self.head);
        let confirmed_at = self.table_confirmed_at.max(peers_confirmed_at);
        match confirmed_at.map(|confirmed_at| confirmed_at.after_ms(FRESH_MS)) {
            Some(until) if until > now => ServingState::ServingUntil(until),
            _ => ServingState::Isolated,
        }
    }

    /// Returns when the newest read of the head was sent that found no new changes or whose changes are applied.
    pub fn table_confirmed_at(&self) -> Option<clock::Instant> {
        self.table_confirmed_at
    }

    fn advance(&mut self, head: u64) {
        self.head = self.head.max(head);
        if let Some(target) = self.target.take_if(|target| target.head <= self.head) {
            self.table_confirmed_at = self.table_confirmed_at.max(Some(target.sent_at));
        }
    }

    fn apply_row(&mut self, row: &platform::Row) {
        if row.key.as_str() == roster::KEY {
            if let Ok(roster) = serde_json::from_str(&row.value) {
                self.apply_roster(&roster);
            }
            return;
        }
        let Some(service) = row.key.as_str().strip_prefix(DOCUMENT_PREFIX) else {
            return;
        };
        if let Ok(version) = serde_json::from_str(&row.value) {
            self.apply_document(&id::Service::new(service), &version);
        }
    }

    fn apply_document(&mut self, service: &id::Service, version: &Version) {
        let known = self.documents.get(service);
        if known.is_none_or(|known| known.head < version.head) {
            self.documents.insert(service.clone(), version.clone());
        }
    }

    fn apply_roster(&mut self, roster: &roster::Roster) {
        if self.roster.head < roster.head {
            self.roster = roster.clone();
        }
    }
}
