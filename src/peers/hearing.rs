//! What is known of one peer.

use super::Heartbeat;
use crate::clock;
use crate::roster;

/// What a peer's heartbeats have told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hearing {
    /// When the peer became known.
    pub met_at: clock::Instant,
    /// When the newest heartbeat arrived; when the peer became known, if none has.
    pub heard_at: clock::Instant,
    /// The peer's newest stamp, on its clock.
    pub stamp: Option<clock::Instant>,
    /// The newest own stamp that the peer has echoed: it had `head` at that moment or later.
    pub confirmed_at: Option<clock::Instant>,
    /// The peer's earlier incarnation, if the roster still lists it.
    pub supersedes: Option<roster::Incarnation>,
    /// The greatest head that the peer has told.
    pub head: u64,
    /// The head of the peer's roster.
    pub roster_head: u64,
    /// The version of the peer's journal row.
    pub journal_version: u64,
    /// Members that the peer does not hear.
    pub silent: Vec<u16>,
    /// When the next heartbeat to the peer is due.
    pub(super) due_at: clock::Instant,
    /// The newest stamp sent to the peer.
    pub(super) stamped_at: clock::Instant,
}

impl Hearing {
    pub(super) fn new(now: clock::Instant, due_at: clock::Instant) -> Self {
        Self {
            met_at: now,
            heard_at: now,
            stamp: None,
            confirmed_at: None,
            supersedes: None,
            head: 0,
            roster_head: 0,
            journal_version: 0,
            silent: Vec::new(),
            due_at,
            stamped_at: clock::Instant::ZERO,
        }
    }

    /// Takes a heartbeat; false if it is late or its echo can't be true.
    pub(super) fn take(&mut self, now: clock::Instant, heartbeat: &Heartbeat) -> bool {
        if self.stamp.is_some_and(|stamp| heartbeat.stamp <= stamp) {
            return false;
        }
        self.heard_at = now;
        self.stamp = Some(heartbeat.stamp);
        let echo = heartbeat.echo.filter(|echo| *echo <= self.stamped_at);
        self.confirmed_at = self.confirmed_at.max(echo);
        self.supersedes = heartbeat.supersedes;
        self.head = self.head.max(heartbeat.head);
        self.roster_head = heartbeat.roster_head;
        self.journal_version = self.journal_version.max(heartbeat.journal_version);
        self.silent.clone_from(&heartbeat.silent);
        true
    }
}
