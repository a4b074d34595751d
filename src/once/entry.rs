//! What the owner of a key remembers of it.

use crate::clock;
use crate::once::holder;
use crate::once::message;
use crate::platform;

/// How far a key has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Its claim is not granted yet.
    Claiming,
    /// Its claim is granted.
    Granted,
    /// Its attempt has ended, or its row says nothing of an end.
    Ended(message::End),
    /// Its row is to be deleted.
    Deleting,
}

/// A key that the owner remembers.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The attempt that holds the key.
    pub claim: message::Claim,
    /// How far it has come.
    pub state: State,
    /// The version of its row; 0 if there is none.
    pub version: u64,
    /// True if the row is not what the state says.
    pub dirty: bool,
    /// True while the key is in the queue of writes.
    pub queued: bool,
    /// True while its row is being read, to learn what it holds.
    pub reading: bool,
    /// Raised at each change, so that a write that was overtaken is told apart.
    pub revision: u64,
    /// True if members were asked to hold the claim and have not been told to let it go.
    pub held: bool,
    /// True if the answer is not in memory but in the row.
    pub answer_in_row: bool,
    /// When it was claimed here or read from the table.
    pub since: clock::Instant,
}

impl Entry {
    /// A claim that has just been asked for.
    pub fn new(claim: message::Claim, now: clock::Instant) -> Self {
        Self {
            claim,
            state: State::Claiming,
            version: 0,
            dirty: true,
            queued: false,
            reading: false,
            revision: 0,
            held: false,
            answer_in_row: false,
            since: now,
        }
    }

    /// A claim read from the table; `None` if the row is not a claim.
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

    /// Changes the state; the row has to follow.
    pub fn set(&mut self, state: State) {
        self.state = state;
        self.touch();
    }

    /// Marks the row as not up to date.
    pub fn touch(&mut self) {
        self.revision += 1;
        self.dirty = true;
    }

    /// The row's content for this state; `None` for no row.
    pub fn row_text(&self) -> Option<String> {
        let end = match &self.state {
            State::Claiming | State::Granted => None,
            State::Ended(end) => Some(end.clone()),
            State::Deleting => return None,
        };
        Some(holder::row_text(&message::RowValue {
            id: self.claim.id.clone(),
            fingerprint: self.claim.fingerprint,
            end,
        }))
    }

    /// True if nobody waits for the row to be written.
    pub fn is_lazy(&self) -> bool {
        self.state != State::Claiming && !self.held
    }

    /// Leaves the answer to the row.
    pub fn drop_answer(&mut self) {
        if let State::Ended(end) = &mut self.state {
            self.answer_in_row |= end.answer_bytes() > 0;
            end.drop_answer();
        }
    }

    /// Bytes of the answer that it keeps.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Ended(end) => end.answer_bytes(),
            State::Claiming | State::Granted | State::Deleting => 0,
        }
    }
}
