//! Edits of documents and changes of the roster: committed by conditional transactions, then accepted by a majority.

use std::collections::BTreeSet;

use slotmap::SlotMap;

use super::{Deltas, HEAD_KEY, Replica, Version};
use crate::id;
use crate::journal;
use crate::platform;
use crate::roster;

slotmap::new_key_type! {
    /// Identifies an edit until it is dropped.
    pub struct Token;
}

/// Maximum number of documents that one transaction changes; the head, the roster and the journal also need rows.
const BATCH_MAX: usize = 64;

/// An edit of a document, conditional on the version that the operator has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The service.
    pub service: id::Service,
    /// The new text; `None` deletes the document.
    pub text: Option<String>,
    /// The version that the operator read; 0 if the document did not exist.
    pub if_match: u64,
}

/// The progress of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing has been sent.
    Queued,
    /// It was sent, and its outcome is uncertain.
    Unsettled,
    /// It has committed as this version and will take effect; it is not accepted yet.
    Committed(u64),
    /// It is accepted as this version.
    Accepted(u64),
    /// The document has a different version from the one that the operator read: this one, or 0 if it does not exist.
    Raced(u64),
}

/// The next action that an editor requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the current head and call [`Editor::on_fresh_head`] once it is applied.
    ReadHead,
    /// Submit the transaction to the journal and call [`Editor::on_settled`].
    Submit(platform::Txn),
}

/// An edit with its status.
#[derive(Debug)]
struct Entry {
    edit: Edit,
    status: Status,
}

/// A submitted transaction whose outcome is pending.
#[derive(Debug)]
struct Batch {
    tokens: Vec<Token>,
    deltas: Deltas,
}

/// The event that the editor waits for.
#[derive(Debug)]
enum Phase {
    Idle,
    ReadingHead,
    /// The head was read, but the local replica has not applied its changes yet.
    Applying,
    Submitted(Batch),
}

/// Batches queued edits into one transaction at a time.
#[derive(Debug)]
pub struct Editor {
    entries: SlotMap<Token, Entry>,
    roster_change: Option<roster::Change>,
    phase: Phase,
}

impl Default for Editor {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            roster_change: None,
            phase: Phase::Idle,
        }
    }
}

impl Editor {
    /// Queues an edit.
    pub fn submit(&mut self, edit: Edit) -> Token {
        self.entries.insert(Entry {
            edit,
            status: Status::Queued,
        })
    }

    /// Returns the status of an edit; `None` if it was dropped.
    pub fn status(&self, token: Token) -> Option<Status> {
        self.entries.get(token).map(|entry| entry.status)
    }

    /// Drops an edit and returns its status; a queued edit is not run.
    pub fn drop_edit(&mut self, token: Token) -> Option<Status> {
        self.entries.remove(token).map(|entry| entry.status)
    }

    /// Returns the number of edits that are neither accepted nor refused.
    pub fn open(&self) -> usize {
        let is_open = |entry: &&Entry| {
            matches!(
                entry.status,
                Status::Queued | Status::Unsettled | Status::Committed(_)
            )
        };
        self.entries.values().filter(is_open).count()
    }

    /// Sets the roster change to make, or none.
    pub fn set_roster_change(&mut self, change: Option<roster::Change>) {
        self.roster_change = change;
    }

    /// Returns the next action, if one is due.
    pub fn poll(&mut self) -> Option<Action> {
        let has_queued = self
            .entries
            .values()
            .any(|entry| entry.status == Status::Queued);
        if !matches!(self.phase, Phase::Idle) || !(has_queued || self.roster_change.is_some()) {
            return None;
        }
        self.phase = Phase::ReadingHead;
        Some(Action::ReadHead)
    }

    /// Returns true if [`Editor::on_fresh_head`] must be called again once the newest head is applied.
    pub fn waits_for_replica(&self) -> bool {
        matches!(self.phase, Phase::Applying)
    }

    /// Handles a failed read of the head.
    pub fn on_head_failed(&mut self) {
        if matches!(self.phase, Phase::ReadingHead) {
            self.phase = Phase::Idle;
        }
    }

    /// Builds the next transaction from a head that was read after [`Action::ReadHead`].
    ///
    /// `acknowledged` means that a majority of the roster has applied this head. Only then can the roster change, so
    /// that majorities of consecutive rosters intersect.
    pub fn on_fresh_head(&mut self, replica: &Replica, acknowledged: bool) -> Option<Action> {
        if !matches!(self.phase, Phase::ReadingHead | Phase::Applying) {
            return None;
        }
        self.phase = Phase::Idle;
        let (head, row_version) = replica.table_head()?;
        if replica.head() < head.head {
            self.phase = Phase::Applying;
            return None;
        }
        let mut deltas = Deltas {
            after: head.head,
            head: head.head,
            ..Deltas::default()
        };
        let mut keys = Vec::new();
        let tokens = self.collect(replica, &mut deltas, &mut keys);
        let change = self
            .roster_change
            .as_ref()
            .filter(|_| acknowledged && keys.is_empty());
        if let Some(change) = change {
            deltas.roster = replica.roster().with_change(change, deltas.head + 1);
            if deltas.roster.is_some() {
                deltas.head += 1;
                keys.push(id::Key::new(roster::KEY));
            }
        }
        if keys.is_empty() {
            return None;
        }
        let txn = transaction(&deltas, &head.with_changes(&keys), row_version);
        self.phase = Phase::Submitted(Batch { tokens, deltas });
        Some(Action::Submit(txn))
    }

    /// Handles the outcome of the transaction; returns the changes that have committed.
    pub fn on_settled(&mut self, settled: &journal::Settled) -> Option<Deltas> {
        let Phase::Submitted(batch) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return None;
        };
        let committed = !matches!(settled, journal::Settled::Refused(_));
        for token in &batch.tokens {
            let Some(entry) = self.entries.get_mut(*token) else {
                continue;
            };
            let version = batch.deltas.documents.get(&entry.edit.service);
            entry.status = match version.filter(|_| committed) {
                Some(version) => Status::Committed(version.head),
                // The head has advanced; the edit is checked again against the new one.
                None => Status::Queued,
            };
        }
        committed.then_some(batch.deltas)
    }

    /// Requeues the edits of a transaction that the journal did not accept.
    pub fn on_submit_failed(&mut self) {
        if let Phase::Submitted(batch) = std::mem::replace(&mut self.phase, Phase::Idle) {
            self.requeue(&batch.tokens);
        }
    }

    /// Marks committed edits as accepted if `is_acknowledged` returns true for their head.
    pub fn accept<F>(&mut self, is_acknowledged: F)
    where
        F: Fn(u64) -> bool,
    {
        for entry in self.entries.values_mut() {
            if let Status::Committed(head) = entry.status
                && is_acknowledged(head)
            {
                entry.status = Status::Accepted(head);
            }
        }
    }

    fn requeue(&mut self, tokens: &[Token]) {
        for token in tokens {
            if let Some(entry) = self.entries.get_mut(*token) {
                entry.status = Status::Queued;
            }
        }
    }

    /// Adds the queued edits whose condition holds to the batch, at most one per service.
    fn collect(
        &mut self,
        replica: &Replica,
        deltas: &mut Deltas,
        keys: &mut Vec<id::Key>,
    ) -> Vec<Token> {
        let mut tokens = Vec::new();
        let mut services: BTreeSet<id::Service> = BTreeSet::new();
        for (token, entry) in &mut self.entries {
            if entry.status != Status::Queued || services.len() >= BATCH_MAX {
                continue;
            }
            let service = &entry.edit.service;
            if services.contains(service) {
                continue;
            }
            let current = replica.documents().get(service);
            let current = current.filter(|version| version.text.is_some());
            let current_head = current.map_or(0, |version| version.head);
            if current_head != entry.edit.if_match {
                entry.status = Status::Raced(current_head);
                continue;
            }
            deltas.head += 1;
            let version = Version {
                head: deltas.head,
                text: entry.edit.text.clone(),
            };
            deltas.documents.insert(service.clone(), version);
            services.insert(service.clone());
            keys.push(super::key(service));
            entry.status = Status::Unsettled;
            tokens.push(token);
        }
        tokens
    }
}

fn transaction(deltas: &Deltas, head: &super::Head, row_version: u64) -> platform::Txn {
    let head_key = id::Key::new(HEAD_KEY);
    let checks = vec![platform::Check {
        key: head_key.clone(),
        version: row_version,
    }];
    let mut writes = vec![write(head_key, &serde_json::json!(head))];
    for (service, version) in &deltas.documents {
        writes.push(write(super::key(service), &serde_json::json!(version)));
    }
    if let Some(roster) = &deltas.roster {
        writes.push(write(id::Key::new(roster::KEY), &serde_json::json!(roster)));
    }
    platform::Txn { checks, writes }
}

fn write(key: id::Key, value: &serde_json::Value) -> platform::Write {
    platform::Write {
        key,
        value: Some(value.to_string()),
    }
}
