//! State that the owner keeps for each key.

use crate::clock;
use crate::idempotency::message;
use crate::idempotency::replica;
use crate::platform;

/// State of a key at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The claim is not granted yet.
    Claiming,
    /// The claim is granted and the attempt can be running.
    Granted,
    /// The attempt has ended, with the end stored in its row or reported by its requester.
    Ended(message::End),
    /// The key is free or expired and its row is to be deleted.
    Deleting,
}

/// A key and its latest attempt, as tracked by the owner.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The attempt that holds the key.
    pub claim: message::Claim,
    /// The state of that attempt.
    pub state: State,
    /// The version of the key's row; 0 if there is no row.
    pub version: u64,
    /// True if the row in the table does not match the state.
    pub dirty: bool,
    /// True while the key is queued for a write.
    pub queued: bool,
    /// True while its row is being read again because the outcome of a write is unknown.
    pub reading: bool,
    /// Incremented at each change, to detect that a write completed after the state had changed again.
    pub revision: u64,
    /// True if members were asked to keep a replica of the claim and have not been told to delete it.
    pub replicated: bool,
    /// True if the answer has been dropped from memory and must be read from the row.
    pub answer_in_row: bool,
    /// When the key was claimed at this owner or read from the table.
    pub claimed_at: clock::Instant,
}

impl Entry {
    /// Creates the entry of a claim that has just been requested.
    pub fn new(claim: message::Claim, now: clock::Instant) -> Self {
        Self {
            claim,
            state: State::Claiming,
            version: 0,
            dirty: true,
            queued: false,
            reading: false,
            revision: 0,
            replicated: false,
            answer_in_row: false,
            claimed_at: now,
        }
    }

    /// Creates an entry from a row of the table; `None` if the row is not a claim.
    pub fn from_row(row: &platform::Row, now: clock::Instant) -> Option<Self> {
        let key = message::Key::from_row_key(&row.key)?;
        let value: message::RowValue = serde_json::from_str(&row.value).ok()?;
        let state = value.end.map_or(State::Granted, State::Ended);
        let claim = message::Claim {
            id: value.id,
            key,
            fingerprint: value.fingerprint,
        };
        let mut entry = Self::new(claim, now);
        entry.state = state;
        entry.version = row.version;
        entry.dirty = false;
        Some(entry)
    }

    /// Changes the state and marks the row for a write.
    pub fn set_state(&mut self, state: State) {
        self.state = state;
        self.mark_dirty();
    }

    /// Marks the row as outdated.
    pub fn mark_dirty(&mut self) {
        self.revision += 1;
        self.dirty = true;
    }

    /// Returns the row's content for this state; `None` if the row is to be deleted.
    pub fn row_json(&self) -> Option<String> {
        let end = match &self.state {
            State::Claiming | State::Granted => None,
            State::Ended(end) => Some(end.clone()),
            State::Deleting => return None,
        };
        Some(replica::row_json(&message::RowValue {
            id: self.claim.id.clone(),
            fingerprint: self.claim.fingerprint,
            end,
        }))
    }

    /// Returns true if no request waits for the row to be written, so that the write can be delayed.
    pub fn is_lazy(&self) -> bool {
        self.state != State::Claiming && !self.replicated
    }

    /// Drops the answer from memory; it stays in the row.
    pub fn drop_answer(&mut self) {
        if let State::Ended(end) = &mut self.state {
            self.answer_in_row |= end.answer_bytes() > 0;
            end.drop_answer();
        }
    }

    /// Returns the size of the answer held in memory, in bytes.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Ended(end) => end.answer_bytes(),
            State::Claiming | State::Granted | State::Deleting => 0,
        }
    }
}
