//! The state of one peer.

use super::Heartbeat;
use crate::clock;
use crate::roster;

/// The state of a peer, from its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// When the peer became known.
    pub known_since: clock::Instant,
    /// When the newest heartbeat arrived, or when the peer became known if none has.
    pub last_received_at: clock::Instant,
    /// Stamp of the peer's newest heartbeat, on its clock.
    pub stamp: Option<clock::Instant>,
    /// Newest stamp of this node that the peer has echoed: the peer had `head` at that time or later.
    pub confirmed_at: Option<clock::Instant>,
    /// Earlier incarnation of the peer, if the roster still lists it.
    pub supersedes: Option<roster::Incarnation>,
    /// Greatest head that the peer has reported.
    pub head: u64,
    /// Head of the peer's roster.
    pub roster_head: u64,
    /// Version of the peer's journal row.
    pub journal_version: u64,
    /// Members from which the peer receives no heartbeats, by index in its roster.
    pub silent: Vec<u16>,
    /// When the next heartbeat to the peer is due.
    pub(super) due_at: clock::Instant,
    /// Newest stamp sent to the peer.
    pub(super) last_stamp_sent: clock::Instant,
}

impl Peer {
    pub(super) fn new(now: clock::Instant, due_at: clock::Instant) -> Self {
        Self {
            known_since: now,
            last_received_at: now,
            stamp: None,
            confirmed_at: None,
            supersedes: None,
            head: 0,
            roster_head: 0,
            journal_version: 0,
            silent: Vec::new(),
            due_at,
            last_stamp_sent: clock::Instant::ZERO,
        }
    }

    /// Applies a heartbeat; returns false if it is older than one that was applied.
    ///
    /// An echo of a stamp that was never sent is ignored.
    pub(super) fn apply(&mut self, now: clock::Instant, heartbeat: &Heartbeat) -> bool {
        if self.stamp.is_some_and(|stamp| heartbeat.stamp <= stamp) {
            return false;
        }
        self.last_received_at = now;
        self.stamp = Some(heartbeat.stamp);
        let echo = heartbeat.echo.filter(|echo| *echo <= self.last_stamp_sent);
        self.confirmed_at = self.confirmed_at.max(echo);
        self.supersedes = heartbeat.supersedes;
        self.head = self.head.max(heartbeat.head);
        self.roster_head = heartbeat.roster_head;
        self.journal_version = self.journal_version.max(heartbeat.journal_version);
        self.silent.clone_from(&heartbeat.silent);
        true
    }
}
