//! Peers: heartbeats between nodes, who is heard, and who has acknowledged which head.
//!
//! A heartbeat echoes the newest stamp that its receiver has sent. So a node knows that a peer had a head at or
//! after a moment on its *own* clock, however late the message arrives and whatever the peer's clock says.

pub mod codec;
mod hearing;

use std::collections::BTreeMap;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::config;
use crate::id;
use crate::roster;

pub use hearing::Hearing;

/// Time between two heartbeats to one peer, in a small system.
pub const HEARTBEAT_MS: u64 = 1_000;
/// The time between two heartbeats grows by this for each node while the table answers.
const CALM_MS_PER_NODE: u64 = 50;
/// The time between two heartbeats grows by this for each node while the table does not answer.
const QUICK_MS_PER_NODE: u64 = 12;
/// Intervals without a heartbeat after which a peer no longer counts as live.
const LIVE_INTERVALS: u64 = 3;
/// Time without a heartbeat after which a peer is reported as silent.
pub const SILENT_MS: u64 = 30_000;
/// A process that has ended counts as heard by nobody after this time.
pub const ENDED_AFTER_MS: u64 = config::FRESH_MS + 1_000;
/// Time after which a node outside the roster is forgotten.
const FORGET_MS: u64 = 60_000;

/// A heartbeat from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: roster::NodeId,
    /// The sender's clock when it sent this; grows with each heartbeat to one receiver.
    pub stamp: clock::Instant,
    /// The newest stamp of the receiver that the sender has got, on the receiver's clock.
    pub echo: Option<clock::Instant>,
    /// True if the sender asks for a heartbeat at once.
    pub asks: bool,
    /// The sender's earlier incarnation, if the roster still lists it: that process has ended.
    pub supersedes: Option<roster::Incarnation>,
    /// The head that the sender has applied.
    pub head: u64,
    /// The head of the sender's roster.
    pub roster_head: u64,
    /// The version of the sender's journal row.
    pub journal_version: u64,
    /// Members that the sender does not hear, by their place in its roster.
    pub silent: Vec<u16>,
    /// Changes that the receiver may not have.
    pub deltas: Option<config::Deltas>,
}

/// A message between the nodes' control parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for the changes after the asker's head.
    Fetch {
        /// The asker.
        from: roster::NodeId,
        /// The asker's head.
        after: u64,
    },
    /// Answers [`Message::Fetch`].
    Deltas(config::Deltas),
}

/// What this node tells of itself in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Its earlier incarnation, if the roster still lists it.
    pub supersedes: Option<roster::Incarnation>,
    /// The head that it has applied.
    pub head: u64,
    /// The head of its roster.
    pub roster_head: u64,
    /// The version of its journal row.
    pub journal_version: u64,
}

/// What this node knows of the others by their heartbeats.
#[derive(Debug)]
pub struct Peers {
    me: roster::NodeId,
    members: Vec<roster::NodeId>,
    roster_head: u64,
    majority: usize,
    table_answers: bool,
    hearings: BTreeMap<roster::NodeId, Hearing>,
    started_at: clock::Instant,
    /// Nodes without a VM, and since when that is known.
    gone: BTreeMap<id::Node, clock::Instant>,
}

impl Peers {
    /// Makes the state of a node that has heard nobody.
    pub fn new(me: roster::NodeId, now: clock::Instant) -> Self {
        Self {
            me,
            members: Vec::new(),
            roster_head: 0,
            majority: 0,
            table_answers: true,
            hearings: BTreeMap::new(),
            started_at: now,
            gone: BTreeMap::new(),
        }
    }

    /// Takes a newer roster.
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
            self.hearings.entry(member.clone()).or_insert_with(|| {
                let first_at = now.after_ms(rng.random_range(0..interval_ms));
                Hearing::new(now, first_at)
            });
        }
    }

    /// Makes a node known, so that it gets heartbeats for a while even if it is in no roster.
    pub fn meet(&mut self, now: clock::Instant, node: &roster::NodeId) {
        self.hearings
            .entry(node.clone())
            .or_insert_with(|| Hearing::new(now, now));
    }

    /// Says whether the table answers this node; if not, heartbeats are quicker and ask for answers.
    pub fn set_table_answers<R>(&mut self, now: clock::Instant, rng: &mut R, answers: bool)
    where
        R: Rng,
    {
        let turns_quick = self.table_answers && !answers;
        self.table_answers = answers;
        let interval_ms = self.interval_ms();
        if turns_quick {
            // A majority has to be heard before the table's last word is too old.
            for hearing in self.hearings.values_mut() {
                let soon = now.after_ms(rng.random_range(0..interval_ms));
                hearing.due_at = hearing.due_at.min(soon);
            }
        }
    }

    /// Time between two heartbeats to one peer.
    pub fn interval_ms(&self) -> u64 {
        let nodes = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        let per_node_ms = if self.table_answers {
            CALM_MS_PER_NODE
        } else {
            QUICK_MS_PER_NODE
        };
        HEARTBEAT_MS.max(nodes.saturating_mul(per_node_ms))
    }

    /// The nodes to which a heartbeat is due.
    pub fn due(&mut self, now: clock::Instant) -> Vec<roster::NodeId> {
        let members = &self.members;
        self.hearings.retain(|node, hearing| {
            members.contains(node) || now.since_ms(hearing.heard_at) < FORGET_MS
        });
        let due = self
            .hearings
            .iter()
            .filter(|(_, hearing)| hearing.due_at <= now);
        due.map(|(node, _)| node.clone()).collect()
    }

    /// The earliest moment at which a heartbeat is due.
    pub fn due_at(&self) -> Option<clock::Instant> {
        self.hearings.values().map(|hearing| hearing.due_at).min()
    }

    /// Makes the heartbeat to a peer that is sent now.
    pub fn heartbeat(
        &mut self,
        now: clock::Instant,
        to: &roster::NodeId,
        state: State,
        asks: bool,
        deltas: Option<config::Deltas>,
    ) -> Heartbeat {
        let interval_ms = self.interval_ms();
        let silent = self.silent_places(now);
        let hearing = self
            .hearings
            .entry(to.clone())
            .or_insert_with(|| Hearing::new(now, now));
        hearing.due_at = now.after_ms(interval_ms);
        hearing.stamped_at = hearing.stamped_at.after_ms(1).max(now);
        Heartbeat {
            from: self.me.clone(),
            stamp: hearing.stamped_at,
            echo: hearing.stamp,
            asks,
            supersedes: state.supersedes,
            head: state.head,
            roster_head: state.roster_head,
            journal_version: state.journal_version,
            silent,
            deltas,
        }
    }

    /// True if heartbeats should ask for an answer, as the table gives none.
    pub fn asks(&self) -> bool {
        !self.table_answers
    }

    /// Takes a heartbeat; returns false if it is older than one that came before.
    pub fn on_heartbeat(&mut self, now: clock::Instant, heartbeat: &Heartbeat) -> bool {
        if heartbeat.from == self.me {
            return false;
        }
        let interval_ms = self.interval_ms();
        let hearing = self
            .hearings
            .entry(heartbeat.from.clone())
            .or_insert_with(|| Hearing::new(now, now.after_ms(interval_ms)));
        hearing.take(now, heartbeat)
    }

    /// What is known of a peer.
    pub fn hearing(&self, node: &roster::NodeId) -> Option<&Hearing> {
        self.hearings.get(node)
    }

    /// Members that are heard, this node included if it is one.
    pub fn live(&self, now: clock::Instant) -> Vec<roster::NodeId> {
        let within_ms = LIVE_INTERVALS * self.interval_ms();
        let heard = |node: &&roster::NodeId| {
            **node == self.me
                || self.hearings.get(*node).is_some_and(|hearing| {
                    hearing.stamp.is_some() && now.since_ms(hearing.heard_at) < within_ms
                })
        };
        self.members.iter().filter(heard).cloned().collect()
    }

    /// The newest moment on this node's clock at which a majority of the roster had no head above `head`.
    ///
    /// `None` if no majority was ever heard so.
    pub fn confirmed_at(&self, now: clock::Instant, head: u64) -> Option<clock::Instant> {
        let confirmed = |node: &roster::NodeId| {
            if *node == self.me {
                return Some(now);
            }
            let hearing = self.hearings.get(node)?;
            hearing.confirmed_at.filter(|_| hearing.head <= head)
        };
        let mut moments: Vec<clock::Instant> = self.members.iter().filter_map(confirmed).collect();
        moments.sort_unstable_by(|one, other| other.cmp(one));
        moments.get(self.majority.checked_sub(1)?).copied()
    }

    /// Tells whether a majority of the roster has applied a head or has ended; `own_head` is this node's.
    ///
    /// A node that has ended long ago is in no majority that another node still counts on.
    pub fn is_acknowledged(&self, now: clock::Instant, head: u64, own_head: u64) -> bool {
        let has = |node: &&roster::NodeId| {
            if **node == self.me {
                return own_head >= head;
            }
            let hearing = self.hearings.get(*node);
            hearing.is_some_and(|hearing| hearing.head >= head) || self.has_ended(now, node)
        };
        self.members.iter().filter(has).count() >= self.majority
    }

    /// Sets the nodes whose VM the platform's list no longer has.
    pub fn set_gone(&mut self, now: clock::Instant, gone: &[id::Node]) {
        self.gone.retain(|node, _| gone.contains(node));
        for node in gone {
            self.gone.entry(node.clone()).or_insert(now);
        }
    }

    /// Tells whether a member's process is known to have ended so long ago that its word counts nowhere.
    fn has_ended(&self, now: clock::Instant, member: &roster::NodeId) -> bool {
        let gone_at = self.gone.get(&member.node).copied();
        let own = (member.node == self.me.node).then_some(self.started_at);
        let superseded = self.hearings.iter().find(|(node, hearing)| {
            node.node == member.node && hearing.supersedes == Some(member.incarnation)
        });
        let ended_at = [gone_at, own, superseded.map(|(_, hearing)| hearing.met_at)];
        let mut ended_at = ended_at.into_iter().flatten();
        ended_at.any(|ended_at| now.since_ms(ended_at) >= ENDED_AFTER_MS)
    }

    /// The peer that told the greatest head, if that is above `head`.
    pub fn ahead(&self, now: clock::Instant, head: u64) -> Option<(&roster::NodeId, u64)> {
        let within_ms = LIVE_INTERVALS * self.interval_ms();
        let heard = self.hearings.iter().filter(|(_, hearing)| {
            hearing.head > head && now.since_ms(hearing.heard_at) < within_ms
        });
        let best = heard.max_by_key(|(_, hearing)| (hearing.head, hearing.heard_at))?;
        Some((best.0, best.1.head))
    }

    /// Members that a majority of the roster, this node included, reports as silent.
    pub fn silent_by_majority(&self, now: clock::Instant) -> Vec<roster::NodeId> {
        let own = self.silent_places(now);
        let mut silent = Vec::new();
        for (place, node) in self.members.iter().enumerate() {
            let Ok(place) = u16::try_from(place) else {
                break;
            };
            if !own.contains(&place) {
                continue;
            }
            let reports = |hearing: &&Hearing| {
                hearing.roster_head == self.roster_head
                    && now.since_ms(hearing.heard_at) < SILENT_MS
                    && hearing.silent.contains(&place)
            };
            let others = self
                .members
                .iter()
                .filter_map(|member| self.hearings.get(member));
            if others.filter(reports).count() + 1 >= self.majority {
                silent.push(node.clone());
            }
        }
        silent
    }

    fn silent_places(&self, now: clock::Instant) -> Vec<u16> {
        if !self.members.contains(&self.me) {
            return Vec::new();
        }
        let is_silent = |node: &roster::NodeId| {
            let heard_at = self
                .hearings
                .get(node)
                .map_or(self.started_at, |other| other.heard_at);
            *node != self.me && now.since_ms(heard_at) >= SILENT_MS
        };
        let places = self
            .members
            .iter()
            .enumerate()
            .filter(|(_, node)| is_silent(node));
        places
            .filter_map(|(place, _)| u16::try_from(place).ok())
            .collect()
    }
}
