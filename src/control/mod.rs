//! The control part of a node: journal, leases, configuration and peers wired together, free of input and output.
//!
//! The shell calls [`Control::handle`] with what arrived and [`Control::wake_at`] for the next tick, and carries out
//! the [`Output`]s. Other slices submit their transactions by [`Control::submit`] and find the outcome in
//! [`Output::Settled`].

mod inbox;
mod outbox;
mod reads;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock;
use crate::config;
use crate::id;
use crate::journal;
use crate::lease;
use crate::peers;
use crate::platform;
use crate::roster;

pub use reads::{Counters as ReadCounters, Read, ReadId};

/// Time between two ticks.
pub const TICK_MS: u64 = 100;
/// Time between two looks at the duties.
const LEASES_POLL_MS: u64 = 300;
/// A starting node shares the table's budget with at least so many others.
const SHARERS_MIN: usize = 8;
/// Time between two tries to bring changes to the same peer.
const PUSH_EVERY_MS: u64 = 500;
/// Time between two tries of edits or of a change of the roster that could not go on.
const EDIT_RETRY_MS: u64 = 150;
/// Time between two questions for the heads of the members.
const ASK_EVERY_MS: u64 = 250;
/// The longest random wait after a first change that another node's change has overtaken.
const EDIT_BACKOFF_FIRST_MS: u64 = 100;
/// The longest random wait after many such changes.
const EDIT_BACKOFF_MAX_MS: u64 = 3_000;

/// How the changes made here travel to the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spread {
    /// In a heartbeat that is sent at once and asks for an answer.
    #[default]
    Push,
    /// In the heartbeats that are due anyway.
    Piggyback,
    /// Not at all: heartbeats tell only the head, and the table is polled.
    Announce,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A peer's message arrived.
    Message(peers::Message),
    /// The table replied to [`Output::Transact`].
    Transacted {
        /// The request.
        attempt: journal::Attempt,
        /// Its outcome.
        outcome: platform::Outcome,
    },
    /// The table replied to [`Output::Read`]; `None` if it failed or timed out.
    Read {
        /// The read.
        id: ReadId,
        /// The rows that were found.
        rows: Option<Vec<platform::Row>>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a node, at the address that the roster says.
    Send {
        /// The node.
        to: roster::NodeId,
        /// The message.
        message: peers::Message,
    },
    /// Send a transaction to the table.
    Transact {
        /// Names the request.
        attempt: journal::Attempt,
        /// The transaction.
        txn: platform::Txn,
    },
    /// Read from the table.
    Read {
        /// Names the read.
        id: ReadId,
        /// What to read.
        read: Read,
    },
    /// A transaction of [`Control::submit`] is settled.
    Settled(journal::Settlement),
    /// A greater head is in force here.
    Applied(u64),
}

/// Whose transaction it is.
#[derive(Debug)]
enum Owner {
    Duty(id::Duty, platform::Txn),
    Editor,
}

/// The control part of a node.
#[derive(Debug)]
pub struct Control {
    me: roster::Member,
    started_at: clock::Instant,
    spread: Spread,
    rng: SmallRng,
    writer: journal::Writer,
    leases: lease::Leases,
    replica: config::Replica,
    editor: config::edit::Editor,
    peers: peers::Peers,
    reads: reads::Reads,
    owners: BTreeMap<journal::Token, Owner>,
    head_read_at: Option<clock::Instant>,
    leases_polled_at: Option<clock::Instant>,
    gone: Vec<id::Node>,
    leaving: bool,
    edit_refusals: u32,
    /// The newest changes made here that others may lack.
    fresh: Option<config::Deltas>,
    pushed_at: BTreeMap<roster::NodeId, clock::Instant>,
    fetched_at: Option<clock::Instant>,
    asked_at: clock::Instant,
    edit_wait_until: clock::Instant,
    applied: u64,
    was_member: bool,
}

impl Control {
    /// Makes the control part of a new incarnation; `seed` feeds its jitter.
    pub fn new(me: roster::Member, now: clock::Instant, seed: u64) -> Self {
        let mut control = Self {
            started_at: now,
            spread: Spread::default(),
            rng: SmallRng::seed_from_u64(seed),
            writer: journal::Writer::new(&me.id, now),
            leases: lease::Leases::new(me.id.clone(), now),
            replica: config::Replica::default(),
            editor: config::edit::Editor::default(),
            peers: peers::Peers::new(me.id.clone(), now),
            reads: reads::Reads::new(now),
            owners: BTreeMap::new(),
            head_read_at: None,
            leases_polled_at: None,
            gone: Vec::new(),
            leaving: false,
            edit_refusals: 0,
            fresh: None,
            pushed_at: BTreeMap::new(),
            fetched_at: None,
            asked_at: now,
            edit_wait_until: now,
            applied: 0,
            was_member: false,
            me,
        };
        control.share_budgets();
        control
    }

    /// Sets how changes made here travel.
    pub fn set_spread(&mut self, spread: Spread) {
        self.spread = spread;
    }

    /// Sets the duties that there are in the system.
    pub fn set_duties(&mut self, duties: &[id::Duty]) {
        self.leases.set_duties(duties);
    }

    /// Sets the nodes whose VM the platform's list no longer has.
    pub fn set_gone(&mut self, now: clock::Instant, gone: Vec<id::Node>) {
        self.peers.set_removed(now, &gone);
        self.gone = gone;
    }

    /// Names nodes to ask for the configuration before the roster is known, as when the table is out.
    pub fn set_seeds(&mut self, seeds: &[id::Node]) {
        for node in seeds.iter().filter(|node| **node != self.me.id.node) {
            // The messages go by the name; the answers tell the incarnation.
            let incarnation = roster::Incarnation::default();
            let seed = roster::NodeId {
                node: node.clone(),
                incarnation,
            };
            self.peers.add(self.started_at, &seed);
        }
    }

    /// Hands over all duties and then leaves the roster; see [`Control::has_left`].
    pub fn leave(&mut self) {
        self.leaving = true;
        self.leases.start_leaving();
    }

    /// True once a leaving node is out of the roster.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.replica.roster().contains(&self.me.id)
    }

    /// Queues a transaction of another slice; its outcome comes as [`Output::Settled`].
    ///
    /// # Errors
    ///
    /// As [`journal::Writer::submit`].
    pub fn submit(&mut self, txn: platform::Txn) -> Result<journal::Token, journal::Error> {
        self.writer.submit(txn)
    }

    /// Takes back a transaction of [`Control::submit`] that was never sent; false if it is too late.
    pub fn withdraw(&mut self, token: journal::Token) -> bool {
        self.writer.withdraw(token)
    }

    /// Queues an edit of a document.
    pub fn edit(&mut self, edit: config::edit::Edit) -> config::edit::Token {
        self.editor.submit(edit)
    }

    /// How far an edit has come.
    pub fn edit_status(&self, token: config::edit::Token) -> Option<config::edit::Status> {
        self.editor.status(token)
    }

    /// Forgets an edit; one that is still queued is not run.
    pub fn drop_edit(&mut self, token: config::edit::Token) -> Option<config::edit::Status> {
        self.editor.drop_edit(token)
    }

    /// This node as the roster lists it.
    pub fn me(&self) -> &roster::Member {
        &self.me
    }

    /// The configuration that is in force here.
    pub fn replica(&self) -> &config::Replica {
        &self.replica
    }

    /// What is known of the other nodes.
    pub fn peers(&self) -> &peers::Peers {
        &self.peers
    }

    /// The duty leases.
    pub fn leases(&self) -> &lease::Leases {
        &self.leases
    }

    /// What the journal has done.
    pub fn journal_counters(&self) -> journal::Counters {
        self.writer.counters()
    }

    /// What was read.
    pub fn read_counters(&self) -> ReadCounters {
        self.reads.counters()
    }

    /// True if a newer process has this node's name or journal; this one has to end.
    pub fn is_superseded(&self) -> bool {
        self.writer.is_fenced() || (self.was_member && self.predecessor().is_some())
    }

    /// The other incarnation that the roster lists under this node's name.
    fn predecessor(&self) -> Option<roster::Incarnation> {
        let member = self.replica.roster().by_name(&self.me.id.node)?;
        Some(member.id.incarnation).filter(|incarnation| *incarnation != self.me.id.incarnation)
    }

    /// Whether this node may take requests.
    pub fn standing(&self, now: clock::Instant) -> config::Standing {
        if self.is_superseded() {
            return config::Standing::Isolated;
        }
        self.replica.standing(now, &self.peers)
    }

    /// True while the table does not answer this node.
    pub fn table_is_out(&self, now: clock::Instant) -> bool {
        let answered_at = self.replica.table_confirmed_at().unwrap_or(self.started_at);
        now.since_ms(answered_at) > 2 * config::HEAD_POLL_MS
    }

    /// The next moment at which [`Input::Tick`] is due.
    pub fn wake_at(&self, now: clock::Instant) -> clock::Instant {
        let ticks = now.after_ms(TICK_MS);
        let wakes = [
            self.writer.wake_at(now),
            self.reads.wake_at(now),
            self.peers.due_at(),
        ];
        wakes
            .into_iter()
            .flatten()
            .fold(ticks, clock::Instant::min)
            .max(now.after_ms(1))
    }

    /// Takes what happened and returns what to do.
    pub fn handle(&mut self, now: clock::Instant, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Message(message) => self.on_message(now, message, &mut outputs),
            Input::Transacted { attempt, outcome } => {
                self.on_journal(now, attempt, journal::Reply::Outcome(outcome), &mut outputs);
            }
            Input::Read { id, rows } => self.on_read(now, id, rows, &mut outputs),
        }
        self.flush(now, &mut outputs);
        outputs
    }

    fn share_budgets(&mut self) {
        let nodes = self.replica.roster().members.len().max(SHARERS_MIN);
        self.writer.set_roster_size(nodes);
        self.reads.set_roster_size(nodes);
    }
}
