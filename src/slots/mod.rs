//! Distributes the slots of a service's runners among the entry VMs as tokens.
//!
//! Each slot of a runner is a token that at most one node holds. Only that node can start a request in the slot, so
//! that the runner's concurrency limit is kept without a central counter. Tokens follow demand: a node with more than
//! its share transfers free tokens to other nodes, and removes them before it sends the message.
//!
//! When the roster changes, each member reports the tokens that it holds and keeps them. After every member of the old
//! roster has reported, or can no longer run requests, the tokens that no member holds are assigned under the roster's
//! version, by a hash that every member computes. Tokens lost with a message are recovered in the same way, in a round
//! that any member starts.
//!
//! # Examples
//!
//! ```
//! use wasabiloft::{clock, id, roster, slots};
//!
//! let me = roster::NodeId { node: id::Node::new("entry-1"), incarnation: roster::Incarnation(1) };
//! let mut allocator = slots::Allocator::new(me.clone(), slots::Settings::default());
//! let now = clock::Instant::ZERO;
//! let mut outputs = Vec::new();
//! let roster = slots::Roster { version: 1, members: vec![me], departed: Vec::new() };
//! let runner = slots::RunnerSpec { vm: id::Vm::new("vm-1"), slots: 8 };
//! allocator.handle(now, slots::Input::Serving { until: now.after_ms(1_000) }, &mut outputs);
//! allocator.handle(now, slots::Input::Runners(vec![runner]), &mut outputs);
//! allocator.handle(now, slots::Input::Roster(roster), &mut outputs);
//! let key = allocator.key(&id::Vm::new("vm-1")).unwrap();
//! let token = allocator.acquire(now, key).unwrap();
//! assert_eq!(allocator.free(), 7);
//! allocator.release(token);
//! assert_eq!(allocator.free(), 8);
//! ```

mod assignment;
mod holdings;
mod message;
mod ownership;
mod rebalancing;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::id;
use crate::roster;

pub use assignment::{Assignment, assigned_mask};
pub use holdings::{RunnerKey, RunnerSpec, SLOTS_MAX};
pub use message::{
    Message, OwnershipReport, ReplayWindow, StatusReport, TokenRequest, Tokens, Transfer,
};

/// Whether tokens are transferred between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rebalancing {
    /// Tokens are transferred to the nodes with demand.
    #[default]
    ByDemand,
    /// Every node keeps the tokens that it was assigned.
    Fixed,
}

/// Settings of the slots of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The weight of each request kind's share of the tokens.
    pub weights: Vec<u32>,
    /// The longest time that a request can hold a slot after its node has stopped serving, in milliseconds.
    pub longest_request_ms: u64,
    /// Whether tokens are transferred between nodes.
    pub rebalancing: Rebalancing,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights: vec![1],
            longest_request_ms: 10 * clock::SECOND_MS,
            rebalancing: Rebalancing::ByDemand,
        }
    }
}

/// The nodes among which the tokens are distributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// The roster's version; it increases with each change.
    pub version: u64,
    /// The nodes that can hold tokens.
    pub members: Vec<roster::NodeId>,
    /// Earlier members that may still run requests; a departed incarnation never returns.
    pub departed: Vec<roster::NodeId>,
}

/// Demand of this node's admission control.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots that each kind could use on this node, in thousandths of a slot.
    pub need_milli: Vec<u32>,
    /// Slots that each kind uses on this node, in thousandths of a slot.
    pub used_milli: Vec<u32>,
}

/// An input of [`Allocator`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The roster has changed; versions that are not newer are ignored.
    Roster(Roster),
    /// All runners of the service, including runners that are leaving.
    Runners(Vec<RunnerSpec>),
    /// A departed member can start no more requests; its last requests can still run for
    /// [`Settings::longest_request_ms`].
    ///
    /// It is ignored for members of the roster, which can recover, so it must follow the roster change.
    Lapsed(roster::NodeId),
    /// This node may start requests until the given time; after it, the node drops its tokens.
    Serving {
        /// The end of the period for which this node has proof that the other members treat it as serving.
        until: clock::Instant,
    },
    /// A message from another node has arrived.
    Message {
        /// The sender, authenticated by the connection.
        from: roster::NodeId,
        /// The received message.
        message: Message,
    },
    /// The demand of this node's admission control has changed.
    Demand(Demand),
    /// The number of requests within their kinds' shares that wait for a slot on this node.
    Waiting(u32),
    /// This node is about to leave the roster: it transfers all its tokens to other members.
    Leave,
    /// Time has passed; expected about every ten milliseconds.
    Tick,
}

/// An output of [`Allocator`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; delivery is not guaranteed.
    Send {
        /// The node that receives the message.
        to: roster::NodeId,
        /// The message to send.
        message: Message,
    },
}

/// The exclusive right to use one slot of one runner.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Token {
    runner: RunnerKey,
    slot: u32,
}

impl Token {
    /// Returns the runner that the slot belongs to.
    pub fn runner(&self) -> RunnerKey {
        self.runner
    }

    /// Returns the index of the slot within its runner, from 0.
    pub fn slot(&self) -> u32 {
        self.slot
    }
}

/// Counts of token and message events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Tokens transferred to other nodes.
    #[serde(rename = "given")]
    pub transferred: u64,
    /// Tokens received from other nodes.
    pub received: u64,
    /// Unheld tokens that were assigned to this node.
    #[serde(rename = "dealt")]
    pub assigned: u64,
    /// Messages dropped because their sender was in another assignment.
    #[serde(rename = "other_deal")]
    pub other_assignment: u64,
    /// Transfers dropped because they had already been received.
    #[serde(rename = "repeated")]
    pub duplicate_transfers: u64,
    /// Tokens received that this node already owned; any value other than zero indicates a fault.
    #[serde(rename = "doubled")]
    pub duplicate_tokens: u64,
    /// Assignment rounds that this node started because tokens were missing.
    pub rounds: u64,
    /// Times that this node dropped its tokens because it could not prove that it may serve.
    pub lapses: u64,
    /// Token requests sent.
    #[serde(rename = "asks")]
    pub token_requests: u64,
}

/// Last known state of another member.
#[derive(Clone, Debug, Default)]
struct Peer {
    assignment: Assignment,
    last_received_at: clock::Instant,
    requested_at: clock::Instant,
    held: u32,
    free: u32,
    need_milli: Vec<u32>,
    used_milli: Vec<u32>,
    complete: bool,
    ownership_sent_at: Option<clock::Instant>,
    replay_window: ReplayWindow,
}

/// Manages the tokens of one service on one node.
#[derive(Clone, Debug)]
pub struct Allocator {
    me: roster::NodeId,
    settings: Settings,
    holdings: holdings::Holdings,
    assignment: Assignment,
    members: Vec<roster::NodeId>,
    ownership: OwnershipReport,
    awaited: BTreeSet<roster::NodeId>,
    /// Members that have reported their tokens in this assignment, or whose last requests have ended.
    accounted: BTreeSet<roster::NodeId>,
    /// Departed members, and when their last requests end.
    lapsed: BTreeMap<roster::NodeId, clock::Instant>,
    /// Tokens that any member reported in this assignment, as masks by runner.
    reported_held: BTreeMap<id::Vm, u64>,
    complete: bool,
    leaving: bool,
    peers: BTreeMap<roster::NodeId, Peer>,
    demand: Demand,
    waiting: u32,
    last_status: StatusReport,
    status_sent_at: Option<clock::Instant>,
    requested_at: Option<clock::Instant>,
    requests: Vec<rebalancing::QueuedRequest>,
    pending_transfers: Vec<roster::NodeId>,
    serial: u64,
    missing_since: Option<clock::Instant>,
    serving_until: clock::Instant,
    counters: Counters,
}

impl Allocator {
    /// Creates the allocator of a node that holds no tokens.
    pub fn new(me: roster::NodeId, settings: Settings) -> Self {
        Self {
            me,
            settings,
            holdings: holdings::Holdings::default(),
            assignment: Assignment::default(),
            members: Vec::new(),
            ownership: ownership::empty(),
            awaited: BTreeSet::new(),
            accounted: BTreeSet::new(),
            lapsed: BTreeMap::new(),
            reported_held: BTreeMap::new(),
            complete: false,
            leaving: false,
            peers: BTreeMap::new(),
            demand: Demand::default(),
            waiting: 0,
            last_status: rebalancing::empty_status(),
            status_sent_at: None,
            requested_at: None,
            requests: Vec::new(),
            pending_transfers: Vec::new(),
            serial: 0,
            missing_since: None,
            serving_until: clock::Instant::ZERO,
            counters: Counters::default(),
        }
    }

    /// Handles an input and appends the resulting outputs.
    pub fn handle(&mut self, now: clock::Instant, input: Input, outputs: &mut Vec<Output>) {
        self.drop_if_not_serving(now);
        match input {
            Input::Roster(roster) => self.apply_roster(now, roster, outputs),
            Input::Runners(specs) => self.set_runners(&specs),
            Input::Lapsed(member) => self.record_lapse(now, member),
            Input::Serving { until } => self.serving_until = self.serving_until.max(until),
            Input::Message { from, message } => self.receive(now, from, message, outputs),
            Input::Demand(demand) => self.demand = demand,
            Input::Waiting(waiting) => self.set_waiting(now, waiting, outputs),
            Input::Leave => self.leaving = true,
            Input::Tick => self.tick(now, outputs),
        }
        self.send_pending_transfers(outputs);
        self.serve_requests(now, outputs);
    }

    /// Acquires a free token of a runner; `None` if this node holds none or may not serve.
    pub fn acquire(&mut self, now: clock::Instant, runner: RunnerKey) -> Option<Token> {
        self.drop_if_not_serving(now);
        let entry = self.holdings.runners.get_mut(runner)?;
        let free = entry.free();
        if free == 0 {
            return None;
        }
        let slot = free.trailing_zeros();
        entry.used |= 1 << slot;
        Some(Token { runner, slot })
    }

    /// Releases a token after use.
    ///
    /// Call this only when the runner has finished the request or can no longer be working on it.
    pub fn release(&mut self, token: Token) {
        if let Some(runner) = self.holdings.runners.get_mut(token.runner) {
            runner.used &= !(1 << token.slot);
        }
    }

    /// Returns the key of the runner on a VM; `None` if this node does not know the runner.
    pub fn key(&self, vm: &id::Vm) -> Option<RunnerKey> {
        self.holdings.key(vm)
    }

    /// Returns the VM of a runner; `None` if the runner has been removed.
    pub fn vm(&self, runner: RunnerKey) -> Option<&id::Vm> {
        self.holdings.runners.get(runner).map(|runner| &runner.vm)
    }

    /// Returns the number of tokens of one runner that this node holds, free or in use.
    pub fn held_of(&self, runner: RunnerKey) -> u32 {
        let runner = self.holdings.runners.get(runner);
        runner.map_or(0, |runner| runner.held().count_ones())
    }

    /// Returns the number of free tokens of one runner on this node.
    pub fn free_of(&self, runner: RunnerKey) -> u32 {
        let runner = self.holdings.runners.get(runner);
        runner.map_or(0, |runner| runner.free().count_ones())
    }

    /// Returns the keys of all runners known to this node.
    pub fn runners(&self) -> impl Iterator<Item = RunnerKey> {
        self.holdings.runners.keys()
    }

    /// Returns the number of slots of one runner, on whichever node their tokens are.
    pub fn slots_of(&self, runner: RunnerKey) -> u32 {
        let runner = self.holdings.runners.get(runner);
        runner.map_or(0, |runner| runner.slots)
    }

    /// Returns the number of tokens that this node holds and does not use.
    pub fn free(&self) -> u32 {
        self.holdings.free()
    }

    /// Returns the number of tokens that this node holds, free or in use.
    pub fn held(&self) -> u32 {
        self.holdings.held()
    }

    /// Returns all tokens that this node holds, by runner.
    pub fn holdings(&self) -> Vec<Tokens> {
        self.holdings.tokens()
    }

    /// Returns the number of slots of all listed runners, on whichever node their tokens are.
    pub fn total(&self) -> u32 {
        self.holdings.slots()
    }

    /// Returns the assignment that this node has entered.
    pub fn assignment(&self) -> Assignment {
        self.assignment
    }

    /// Returns true if every member of the earlier assignments has reported its tokens or has lapsed.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the nodes outside the roster whose last requests must end before unheld tokens are assigned.
    pub fn awaited(&self) -> impl Iterator<Item = &roster::NodeId> {
        let members = &self.members;
        self.awaited.iter().filter(|node| !members.contains(node))
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Drops all owned tokens once this node can no longer prove that it may serve.
    fn drop_if_not_serving(&mut self, now: clock::Instant) {
        if now < self.serving_until {
            return;
        }
        let mut dropped = false;
        for runner in self.holdings.runners.values_mut() {
            dropped |= runner.owned != 0;
            runner.owned = 0;
        }
        if dropped {
            self.counters.lapses += 1;
        }
    }

    fn receive(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let assignment = message.assignment();
        if assignment.roster_version == self.assignment.roster_version
            && assignment > self.assignment
        {
            self.enter_assignment(now, assignment, outputs);
        }
        let peer = self.peers.entry(from.clone()).or_default();
        peer.assignment = peer.assignment.max(assignment);
        peer.last_received_at = now;
        if assignment != self.assignment {
            self.counters.other_assignment += 1;
            return;
        }
        match message {
            Message::Ownership(ownership) => self.record_ownership(now, from, ownership),
            Message::Transfer(transfer) => self.receive_transfer(from, &transfer),
            Message::Request(request) => self.queue_request(now, from, request),
            Message::Status(status) => self.record_status(from, status),
        }
    }

    fn receive_transfer(&mut self, from: roster::NodeId, transfer: &Transfer) {
        let peer = self.peers.entry(from).or_default();
        if !peer.replay_window.accept(transfer.serial) {
            self.counters.duplicate_transfers += 1;
            return;
        }
        let duplicates = self.holdings.add_tokens(&transfer.tokens);
        self.counters.duplicate_tokens += u64::from(duplicates.count_ones());
        self.counters.received += u64::from(transfer.tokens.mask.count_ones());
    }

    fn tick(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        self.try_complete(now);
        self.resend_ownership(now, outputs);
        self.detect_missing(now, outputs);
        self.report_status(now, outputs);
        self.plan_transfers(now);
        self.request_tokens(now, outputs);
    }
}
