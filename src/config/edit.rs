//! Edits of documents and changes of the roster, made by conditional transactions and accepted in two steps.

use std::collections::BTreeSet;

use slotmap::SlotMap;

use super::{Deltas, HEAD_KEY, Replica, Version};
use crate::id;
use crate::journal;
use crate::platform;
use crate::roster;

slotmap::new_key_type! {
    /// Names an edit until it is dropped.
    pub struct Token;
}

/// Documents that one transaction may change; the head, the roster and the journal need rows too.
const BATCH_MAX: usize = 64;

/// An edit of a document, conditional on the version that the operator has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The service.
    pub service: id::Service,
    /// The new text; `None` deletes the document.
    pub text: Option<String>,
    /// The version that the operator has read; 0 if there was none.
    pub if_match: u64,
}

/// How far an edit has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing has been sent.
    Queued,
    /// It was sent, and may or may not have committed.
    Unsettled,
    /// It has committed as this version and will come into force; it is not accepted yet.
    Committed(u64),
    /// It is accepted as this version.
    Accepted(u64),
    /// The document has another version than the operator has read, this one, or 0 if there is none.
    Raced(u64),
}

/// What an editor has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head afresh and call [`Editor::on_fresh_head`] once it is applied.
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

/// A transaction that waits for its outcome.
#[derive(Debug)]
struct Batch {
    tokens: Vec<Token>,
    deltas: Deltas,
}

/// What the editor waits for.
#[derive(Debug)]
enum Phase {
    Idle,
    ReadingHead,
    /// The head was read and its changes are not applied here yet.
    Applying,
    Submitted(Batch),
}

/// Joins waiting edits into one transaction at a time.
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

    /// How far an edit has come; `None` if it was dropped.
    pub fn status(&self, token: Token) -> Option<Status> {
        self.entries.get(token).map(|entry| entry.status)
    }

    /// Forgets an edit and returns its status; one that was queued is not run.
    pub fn drop_edit(&mut self, token: Token) -> Option<Status> {
        self.entries.remove(token).map(|entry| entry.status)
    }

    /// Edits that are neither accepted nor refused.
    pub fn open(&self) -> usize {
        let is_open = |entry: &&Entry| {
            matches!(
                entry.status,
                Status::Queued | Status::Unsettled | Status::Committed(_)
            )
        };
        self.entries.values().filter(is_open).count()
    }

    /// Sets the change of the roster that is wanted now, if any.
    pub fn want_roster_change(&mut self, change: Option<roster::Change>) {
        self.roster_change = change;
    }

    /// Returns what to do now.
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

    /// True if [`Editor::on_fresh_head`] has to be called again once the newest head is applied.
    pub fn waits_for_replica(&self) -> bool {
        matches!(self.phase, Phase::Applying)
    }

    /// Gives up a read of the head that failed.
    pub fn on_head_failed(&mut self) {
        if matches!(self.phase, Phase::ReadingHead) {
            self.phase = Phase::Idle;
        }
    }

    /// Goes on with a head that was read after [`Action::ReadHead`].
    ///
    /// `acknowledged` says that a majority of the roster has applied this head; only then the roster may change,
    /// so that majorities of neighbouring rosters meet.
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
        let txn = transaction(&deltas, &head.raised(&keys), row_version);
        self.phase = Phase::Submitted(Batch { tokens, deltas });
        Some(Action::Submit(txn))
    }

    /// Takes the outcome of the transaction; returns the changes that have committed.
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
                // The head has moved; the edit is checked again against the new one.
                None => Status::Queued,
            };
        }
        committed.then_some(batch.deltas)
    }

    /// Gives up a transaction that the journal did not take.
    pub fn on_submit_failed(&mut self) {
        if let Phase::Submitted(batch) = std::mem::replace(&mut self.phase, Phase::Idle) {
            self.requeue(&batch.tokens);
        }
    }

    /// Marks the committed edits that are accepted, by what `is_acknowledged` says of a head.
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

    /// Puts the queued edits whose condition holds into the batch; one of each service.
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
