//! Peers: heartbeats between nodes, which nodes are live, and which head each has acknowledged.
//!
//! A heartbeat echoes the newest stamp that its receiver has sent. So a node knows that a peer had a head at or
//! after a time on its *own* clock, independent of the message's delay and the peer's clock.

pub mod codec;
mod peer;

use std::collections::BTreeMap;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::config;
use crate::id;
use crate::roster;

pub use peer::Peer;

/// Time between two heartbeats to one peer in a small system, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_000;
/// Minimum heartbeat interval per node of the system while the table is available, in milliseconds.
const AVAILABLE_MS_PER_NODE: u64 = 50;
/// Minimum heartbeat interval per node of the system while the table is unavailable, in milliseconds.
const UNAVAILABLE_MS_PER_NODE: u64 = 12;
/// Heartbeat intervals without a heartbeat after which a peer no longer counts as live.
const LIVE_INTERVALS: u64 = 3;
/// Time without a heartbeat after which a peer is reported as silent, in milliseconds.
pub const SILENT_MS: u64 = 30_000;
/// Time after its end at which a process no longer counts in any node's majority, in milliseconds.
pub const ENDED_AFTER_MS: u64 = config::FRESH_MS + 1_000;
/// Time without a heartbeat after which the state of a node outside the roster is dropped, in milliseconds.
const DROP_AFTER_MS: u64 = 60_000;

/// A heartbeat from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Node that sends the heartbeat.
    pub from: roster::NodeId,
    /// Time of sending on the sender's clock; increases with each heartbeat to one receiver.
    pub stamp: clock::Instant,
    /// Newest stamp that the sender has received from the receiver, on the receiver's clock.
    pub echo: Option<clock::Instant>,
    /// Whether the sender requests a heartbeat in return immediately.
    pub asks: bool,
    /// Earlier incarnation of the sender, if the roster still lists it; that process has ended.
    pub supersedes: Option<roster::Incarnation>,
    /// Head that the sender has applied.
    pub head: u64,
    /// Head of the sender's roster.
    pub roster_head: u64,
    /// Version of the sender's journal row.
    pub journal_version: u64,
    /// Members from which the sender receives no heartbeats, by index in its roster.
    pub silent: Vec<u16>,
    /// Configuration changes that the receiver can lack.
    pub deltas: Option<config::Deltas>,
}

/// A message between the control parts of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat, sent periodically.
    Heartbeat(Heartbeat),
    /// Requests the configuration changes after the requester's head.
    Fetch {
        /// Node that requests the changes.
        from: roster::NodeId,
        /// Head that the requester has applied.
        after: u64,
    },
    /// The response to [`Message::Fetch`].
    Deltas(config::Deltas),
}

/// The state that this node reports in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Earlier incarnation of this node, if the roster still lists it.
    pub supersedes: Option<roster::Incarnation>,
    /// Head that this node has applied.
    pub head: u64,
    /// Head of this node's roster.
    pub roster_head: u64,
    /// Version of this node's journal row.
    pub journal_version: u64,
}

/// The state of the other nodes, from their heartbeats.
#[derive(Debug)]
pub struct Peers {
    me: roster::NodeId,
    members: Vec<roster::NodeId>,
    roster_head: u64,
    majority: usize,
    table_available: bool,
    peers: BTreeMap<roster::NodeId, Peer>,
    started_at: clock::Instant,
    /// Nodes without a VM in the platform's list, and since when that is known.
    removed: BTreeMap<id::Node, clock::Instant>,
}

impl Peers {
    /// Creates the state of a node that has received no heartbeat.
    pub fn new(me: roster::NodeId, now: clock::Instant) -> Self {
        Self {
            me,
            members: Vec::new(),
            roster_head: 0,
            majority: 0,
            table_available: true,
            peers: BTreeMap::new(),
            started_at: now,
            removed: BTreeMap::new(),
        }
    }

    /// Replaces the roster by a newer one and schedules first heartbeats to new members.
    pub fn set_roster<R>(&mut self, now: clock::Instant, rng: &mut R, roster: &roster::Roster)
    where
        R: Rng,
    {
        self.members = roster
            .members
            .iter()
            .map(|member| member.id.clone())
            .collect();
        self.roster_head = roster.head;
        self.majority = roster.majority();
        let interval_ms = self.interval_ms();
        for member in self.members.iter().filter(|member| **member != self.me) {
            self.peers.entry(member.clone()).or_insert_with(|| {
                let first_at = now.after_ms(rng.random_range(0..interval_ms));
                Peer::new(now, first_at)
            });
        }
    }

    /// Adds a node, so that it gets heartbeats for a while even if it is not in the roster.
    pub fn add(&mut self, now: clock::Instant, node: &roster::NodeId) {
        self.peers
            .entry(node.clone())
            .or_insert_with(|| Peer::new(now, now));
    }

    /// Sets whether the table is available to this node; if not, heartbeats are more frequent and request replies.
    pub fn set_table_available<R>(&mut self, now: clock::Instant, rng: &mut R, available: bool)
    where
        R: Rng,
    {
        let becomes_unavailable = self.table_available && !available;
        self.table_available = available;
        let interval_ms = self.interval_ms();
        if becomes_unavailable {
            // Heartbeats of a majority have to arrive before the last state read from the table expires.
            for peer in self.peers.values_mut() {
                let soon = now.after_ms(rng.random_range(0..interval_ms));
                peer.due_at = peer.due_at.min(soon);
            }
        }
    }

    /// Returns the time between two heartbeats to one peer, in milliseconds.
    pub fn interval_ms(&self) -> u64 {
        let nodes = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        let per_node_ms = if self.table_available {
            AVAILABLE_MS_PER_NODE
        } else {
            UNAVAILABLE_MS_PER_NODE
        };
        HEARTBEAT_MS.max(nodes.saturating_mul(per_node_ms))
    }

    /// Returns the nodes to which a heartbeat is due.
    pub fn due(&mut self, now: clock::Instant) -> Vec<roster::NodeId> {
        let members = &self.members;
        self.peers.retain(|node, peer| {
            members.contains(node) || now.since_ms(peer.last_received_at) < DROP_AFTER_MS
        });
        let due = self.peers.iter().filter(|(_, peer)| peer.due_at <= now);
        due.map(|(node, _)| node.clone()).collect()
    }

    /// Returns the earliest time at which a heartbeat is due.
    pub fn due_at(&self) -> Option<clock::Instant> {
        self.peers.values().map(|peer| peer.due_at).min()
    }

    /// Creates the heartbeat to send to a peer now and schedules the next one.
    pub fn heartbeat(
        &mut self,
        now: clock::Instant,
        to: &roster::NodeId,
        state: State,
        asks: bool,
        deltas: Option<config::Deltas>,
    ) -> Heartbeat {
        let interval_ms = self.interval_ms();
        let silent = self.silent_indexes(now);
        let peer = self
            .peers
            .entry(to.clone())
            .or_insert_with(|| Peer::new(now, now));
        peer.due_at = now.after_ms(interval_ms);
        peer.last_stamp_sent = peer.last_stamp_sent.after_ms(1).max(now);
        Heartbeat {
            from: self.me.clone(),
            stamp: peer.last_stamp_sent,
            echo: peer.stamp,
            asks,
            supersedes: state.supersedes,
            head: state.head,
            roster_head: state.roster_head,
            journal_version: state.journal_version,
            silent,
            deltas,
        }
    }

    /// Returns whether heartbeats should request a reply because the table is unavailable.
    pub fn asks(&self) -> bool {
        !self.table_available
    }

    /// Applies a heartbeat; returns false if it is older than one that was applied.
    pub fn on_heartbeat(&mut self, now: clock::Instant, heartbeat: &Heartbeat) -> bool {
        if heartbeat.from == self.me {
            return false;
        }
        let interval_ms = self.interval_ms();
        let peer = self
            .peers
            .entry(heartbeat.from.clone())
            .or_insert_with(|| Peer::new(now, now.after_ms(interval_ms)));
        peer.apply(now, heartbeat)
    }

    /// Returns the state of a peer.
    pub fn peer(&self, node: &roster::NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Returns the live members: those with recent heartbeats, and this node if it is a member.
    pub fn live(&self, now: clock::Instant) -> Vec<roster::NodeId> {
        let within_ms = LIVE_INTERVALS * self.interval_ms();
        let live = |node: &&roster::NodeId| {
            **node == self.me
                || self.peers.get(*node).is_some_and(|peer| {
                    peer.stamp.is_some() && now.since_ms(peer.last_received_at) < within_ms
                })
        };
        self.members.iter().filter(live).cloned().collect()
    }

    /// Returns the latest time on this node's clock at which a majority of the roster had no head above `head`.
    ///
    /// `None` if no majority has ever confirmed this.
    pub fn confirmed_at(&self, now: clock::Instant, head: u64) -> Option<clock::Instant> {
        let confirmed = |node: &roster::NodeId| {
            if *node == self.me {
                return Some(now);
            }
            let peer = self.peers.get(node)?;
            peer.confirmed_at.filter(|_| peer.head <= head)
        };
        let mut moments: Vec<clock::Instant> = self.members.iter().filter_map(confirmed).collect();
        moments.sort_unstable_by(|one, other| other.cmp(one));
        moments.get(self.majority.checked_sub(1)?).copied()
    }

    /// Returns whether a majority of the roster has applied a head or has ended; `own_head` is this node's.
    ///
    /// A node that ended long enough ago is in no majority that another node still relies on.
    pub fn is_acknowledged(&self, now: clock::Instant, head: u64, own_head: u64) -> bool {
        let has = |node: &&roster::NodeId| {
            if **node == self.me {
                return own_head >= head;
            }
            let peer = self.peers.get(*node);
            peer.is_some_and(|peer| peer.head >= head) || self.has_ended(now, node)
        };
        self.members.iter().filter(has).count() >= self.majority
    }

    /// Sets the nodes whose VM is no longer in the platform's list.
    pub fn set_removed(&mut self, now: clock::Instant, removed: &[id::Node]) {
        self.removed.retain(|node, _| removed.contains(node));
        for node in removed {
            self.removed.entry(node.clone()).or_insert(now);
        }
    }

    /// Returns whether a member's process ended so long ago that no majority counts it any more.
    fn has_ended(&self, now: clock::Instant, member: &roster::NodeId) -> bool {
        let removed_at = self.removed.get(&member.node).copied();
        let own = (member.node == self.me.node).then_some(self.started_at);
        let superseded = self.peers.iter().find(|(node, peer)| {
            node.node == member.node && peer.supersedes == Some(member.incarnation)
        });
        let ended_at = [
            removed_at,
            own,
            superseded.map(|(_, peer)| peer.known_since),
        ];
        let mut ended_at = ended_at.into_iter().flatten();
        ended_at.any(|ended_at| now.since_ms(ended_at) >= ENDED_AFTER_MS)
    }

    /// Returns the live peer with the greatest reported head and that head, if it is above `head`.
    pub fn most_advanced(&self, now: clock::Instant, head: u64) -> Option<(&roster::NodeId, u64)> {
        let within_ms = LIVE_INTERVALS * self.interval_ms();
        let live = self.peers.iter().filter(|(_, peer)| {
            peer.head > head && now.since_ms(peer.last_received_at) < within_ms
        });
        let best = live.max_by_key(|(_, peer)| (peer.head, peer.last_received_at))?;
        Some((best.0, best.1.head))
    }

    /// Returns the members that a majority of the roster, including this node, reports as silent.
    pub fn silent_by_majority(&self, now: clock::Instant) -> Vec<roster::NodeId> {
        let own = self.silent_indexes(now);
        let mut silent = Vec::new();
        for (index, node) in self.members.iter().enumerate() {
            let Ok(index) = u16::try_from(index) else {
                break;
            };
            if !own.contains(&index) {
                continue;
            }
            let reports = |peer: &&Peer| {
                peer.roster_head == self.roster_head
                    && now.since_ms(peer.last_received_at) < SILENT_MS
                    && peer.silent.contains(&index)
            };
            let others = self
                .members
                .iter()
                .filter_map(|member| self.peers.get(member));
            if others.filter(reports).count() + 1 >= self.majority {
                silent.push(node.clone());
            }
        }
        silent
    }

    fn silent_indexes(&self, now: clock::Instant) -> Vec<u16> {
        if !self.members.contains(&self.me) {
            return Vec::new();
        }
        let is_silent = |node: &roster::NodeId| {
            let last_received_at = self
                .peers
                .get(node)
                .map_or(self.started_at, |other| other.last_received_at);
            *node != self.me && now.since_ms(last_received_at) >= SILENT_MS
        };
        let indexes = self
            .members
            .iter()
            .enumerate()
            .filter(|(_, node)| is_silent(node));
        indexes
            .filter_map(|(index, _)| u16::try_from(index).ok())
            .collect()
    }
}
