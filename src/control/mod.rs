//! Control component of a node: combines journal, leases, configuration and peers, without I/O.
//!
//! The caller passes each input to [`Control::handle`], gets the time of the next tick from [`Control::wake_at`], and
//! performs the [`Output`]s. Other components submit their transactions with [`Control::submit`] and receive the
//! outcome in [`Output::Settled`].

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

/// Interval between ticks, in milliseconds.
pub const TICK_MS: u64 = 100;
/// Interval between polls of the duties' leases.
const LEASES_POLL_MS: u64 = 300;
/// Minimum node count for dividing the table's request budget; a starting node assumes at least this many.
const BUDGET_NODES_MIN: usize = 8;
/// Interval between attempts to send changes to the same peer.
const PUSH_INTERVAL_MS: u64 = 500;
/// Retry interval of edits or of a roster change that could not proceed.
const EDIT_RETRY_MS: u64 = 150;
/// Interval between requests for the members' heads.
const HEAD_REQUEST_INTERVAL_MS: u64 = 250;
/// Maximum random backoff after the first change that lost a conflict with another node's change.
const EDIT_BACKOFF_INITIAL_MS: u64 = 100;
/// Maximum random backoff after repeated conflicts.
const EDIT_BACKOFF_MAX_MS: u64 = 3_000;

/// How changes made on this node are propagated to the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spread {
    /// In a heartbeat that is sent immediately and requests a reply.
    #[default]
    Push,
    /// In the regularly scheduled heartbeats.
    Piggyback,
    /// Not sent: heartbeats carry only the head, and nodes poll the table.
    Announce,
}

/// An event for [`Control::handle`].
#[derive(Clone, Debug)]
pub enum Input {
    /// The time of [`Control::wake_at`] was reached.
    Tick,
    /// A peer's message arrived.
    Message(peers::Message),
    /// The table replied to [`Output::Transact`].
    Transacted {
        /// The request that the table replied to.
        attempt: journal::Attempt,
        /// The outcome of the transaction.
        outcome: platform::Outcome,
    },
    /// The table replied to [`Output::Read`]; `None` if it failed or timed out.
    Read {
        /// The read that the table replied to.
        id: ReadId,
        /// The rows found; `None` if the read failed or timed out.
        rows: Option<Vec<platform::Row>>,
    },
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a node, at its address in the roster.
    Send {
        /// The receiving node.
        to: roster::NodeId,
        /// The message to send.
        message: peers::Message,
    },
    /// Send a transaction to the table.
    Transact {
        /// Identifies the request in [`Input::Transacted`].
        attempt: journal::Attempt,
        /// The transaction to send.
        txn: platform::Txn,
    },
    /// Read from the table.
    Read {
        /// Identifies the read in [`Input::Read`].
        id: ReadId,
        /// The rows to read.
        read: Read,
    },
    /// A transaction submitted with [`Control::submit`] has a final outcome.
    Settled(journal::Settlement),
    /// This node has applied changes up to this greater head.
    Applied(u64),
}

/// The component that submitted a transaction.
#[derive(Debug)]
enum Owner {
    Duty(id::Duty, platform::Txn),
    Editor,
}

/// State machine of a node's control component.
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
    removed_nodes: Vec<id::Node>,
    leaving: bool,
    edit_refusals: u32,
    /// The newest changes made on this node that other nodes may lack.
    local: Option<config::Deltas>,
    pushed_at: BTreeMap<roster::NodeId, clock::Instant>,
    fetched_at: Option<clock::Instant>,
    heads_requested_at: clock::Instant,
    edit_wait_until: clock::Instant,
    applied: u64,
    was_member: bool,
}

impl Control {
    /// Creates the control component of a new incarnation; `seed` initializes the random generator for jitter.
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
            removed_nodes: Vec::new(),
            leaving: false,
            edit_refusals: 0,
            local: None,
            pushed_at: BTreeMap::new(),
            fetched_at: None,
            heads_requested_at: now,
            edit_wait_until: now,
            applied: 0,
            was_member: false,
            me,
        };
        control.update_budget_shares();
        control
    }

    /// Sets how changes made on this node are propagated.
    pub fn set_spread(&mut self, spread: Spread) {
        self.spread = spread;
    }

    /// Sets the list of all duties in the system.
    pub fn set_duties(&mut self, duties: &[id::Duty]) {
        self.leases.set_duties(duties);
    }

    /// Sets the nodes whose VM is no longer in the platform's list.
    pub fn set_removed_nodes(&mut self, now: clock::Instant, removed_nodes: Vec<id::Node>) {
        self.peers.set_removed(now, &removed_nodes);
        self.removed_nodes = removed_nodes;
    }

    /// Sets the nodes to contact for the configuration before the roster is known, as when the table is unavailable.
    pub fn set_seeds(&mut self, seeds: &[id::Node]) {
        for node in seeds.iter().filter(|node| **node != self.me.id.node) {
            // Messages are addressed by name; the replies contain the incarnation.
            let incarnation = roster::Incarnation::default();
            let seed = roster::NodeId {
                node: node.clone(),
                incarnation,
            };
            self.peers.add(self.started_at, &seed);
        }
    }

    /// Starts handing over all duties and then leaving the roster; see [`Control::has_left`].
    pub fn leave(&mut self) {
        self.leaving = true;
        self.leases.start_leaving();
    }

    /// Returns true once a leaving node is no longer in the roster.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.replica.roster().contains(&self.me.id)
    }

    /// Queues a transaction of another component; its outcome is reported as [`Output::Settled`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`journal::Writer::submit`].
    pub fn submit(&mut self, txn: platform::Txn) -> Result<journal::Token, journal::Error> {
        self.writer.submit(txn)
    }

    /// Withdraws a transaction of [`Control::submit`] that was never sent; returns false if it is too late.
    pub fn withdraw(&mut self, token: journal::Token) -> bool {
        self.writer.withdraw(token)
    }

    /// Queues an edit of a document.
    pub fn edit(&mut self, edit: config::edit::Edit) -> config::edit::Token {
        self.editor.submit(edit)
    }

    /// Returns the status of an edit; `None` if it was dropped.
    pub fn edit_status(&self, token: config::edit::Token) -> Option<config::edit::Status> {
        self.editor.status(token)
    }

    /// Drops an edit and returns its status; a queued edit is not run.
    pub fn drop_edit(&mut self, token: config::edit::Token) -> Option<config::edit::Status> {
        self.editor.drop_edit(token)
    }

    /// Returns this node's roster entry.
    pub fn me(&self) -> &roster::Member {
        &self.me
    }

    /// Returns the configuration that is in force on this node.
    pub fn replica(&self) -> &config::Replica {
        &self.replica
    }

    /// Returns the state of the other nodes as known to this node.
    pub fn peers(&self) -> &peers::Peers {
        &self.peers
    }

    /// Returns the state of the duties' leases.
    pub fn leases(&self) -> &lease::Leases {
        &self.leases
    }

    /// Returns the journal's counters.
    pub fn journal_counters(&self) -> journal::Counters {
        self.writer.counters()
    }

    /// Returns the counters of table reads.
    pub fn read_counters(&self) -> ReadCounters {
        self.reads.counters()
    }

    /// Returns true if a newer process has this node's name or journal; this process must then exit.
    pub fn is_superseded(&self) -> bool {
        self.writer.is_fenced() || (self.was_member && self.predecessor().is_some())
    }

    /// Returns the other incarnation that the roster lists under this node's name.
    fn predecessor(&self) -> Option<roster::Incarnation> {
        let member = self.replica.roster().by_name(&self.me.id.node)?;
        Some(member.id.incarnation).filter(|incarnation| *incarnation != self.me.id.incarnation)
    }

    /// Returns whether this node can accept requests.
    pub fn serving_state(&self, now: clock::Instant) -> config::ServingState {
        if self.is_superseded() {
            return config::ServingState::Isolated;
        }
        self.replica.serving_state(now, &self.peers)
    }

    /// Returns true while the table does not respond to this node.
    pub fn table_is_out(&self, now: clock::Instant) -> bool {
        let confirmed_at = self.replica.table_confirmed_at().unwrap_or(self.started_at);
        now.since_ms(confirmed_at) > 2 * config::HEAD_POLL_MS
    }

    /// Returns the time at which the next [`Input::Tick`] is due.
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

    /// Handles an input and returns the actions to perform.
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

    fn update_budget_shares(&mut self) {
        let nodes = self.replica.roster().members.len().max(BUDGET_NODES_MIN);
        self.writer.set_roster_size(nodes);
        self.reads.set_roster_size(nodes);
    }
}
