//! Slots of a service's runners as tokens with one owner among the entry VMs.
//!
//! Every slot of a runner is a token that at most one node holds; only its holder may start a request in that slot, so
//! that the runner's limit holds without a central count. Tokens follow demand: a node with more than its part passes
//! free ones on, and forgets them before it sends. At a change of roster each member tells what it holds and keeps it;
//! when every member of the old roster has told, or can no longer run anything, the tokens that nobody holds are dealt
//! out by the roster's version. Tokens that were lost on the way come back by the same rule, in a round that any member starts.
//!
//! # Examples
//!
//! ```
//! use wasabiloft::{clock, id, roster, slots};
//!
//! let me = roster::NodeId { node: id::Node::new("entry-1"), incarnation: roster::Incarnation(1) };
//! let mut ledger = slots::Ledger::new(me.clone(), slots::Settings::default());
//! let now = clock::Instant::ZERO;
//! let mut outputs = Vec::new();
//! let roster = slots::Roster { version: 1, members: vec![me], departed: Vec::new() };
//! let runner = slots::RunnerSpec { vm: id::Vm::new("vm-1"), slots: 8 };
//! ledger.handle(now, slots::Input::Serving { until: now.after_ms(1_000) }, &mut outputs);
//! ledger.handle(now, slots::Input::Runners(vec![runner]), &mut outputs);
//! ledger.handle(now, slots::Input::Roster(roster), &mut outputs);
//! let key = ledger.key(&id::Vm::new("vm-1")).unwrap();
//! let token = ledger.take(now, key).unwrap();
//! assert_eq!(ledger.free(), 7);
//! ledger.release(token);
//! assert_eq!(ledger.free(), 8);
//! ```

mod book;
mod census;
mod deal;
mod message;
mod passing;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::id;
use crate::roster;

pub use book::{RunnerKey, RunnerSpec, SLOTS_MAX};
pub use deal::{Deal, dealt_mask};
pub use message::{Ask, Census, Give, Message, Report, Tokens, Window};

/// Whether tokens are passed between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passing {
    /// Tokens follow demand.
    #[default]
    ByDemand,
    /// Every node keeps what it was dealt.
    Fixed,
}

/// Settings of one service's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The weight of each kind's share.
    pub weights: Vec<u32>,
    /// The longest that a request holds a slot after its node stopped serving, in milliseconds.
    pub longest_request_ms: u64,
    /// Whether tokens follow demand.
    pub passing: Passing,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights: vec![1],
            longest_request_ms: 10 * clock::SECOND_MS,
            passing: Passing::ByDemand,
        }
    }
}

/// The nodes among which the tokens are dealt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// The roster's version.
    pub version: u64,
    /// Its members.
    pub members: Vec<roster::NodeId>,
    /// Earlier members that may still run requests; an incarnation never comes back.
    pub departed: Vec<roster::NodeId>,
}

/// What this node's admission asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots that each kind could use here, in thousandths.
    pub need_milli: Vec<u32>,
    /// Slots that each kind uses here, in thousandths.
    pub used_milli: Vec<u32>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The roster changed; versions that are not newer are ignored.
    Roster(Roster),
    /// The runners of the service, all of them, leaving ones included.
    Runners(Vec<RunnerSpec>),
    /// A departed member can start nothing any more; its last requests may still run for the longest request's time.
    ///
    /// It is ignored for members of the roster, which may come back, so it is told after the roster's change.
    Lapsed(roster::NodeId),
    /// This node may start requests until then; past it, it forgets its tokens.
    Serving {
        /// The end of this node's proof that others count on it.
        until: clock::Instant,
    },
    /// A message came from another node.
    Message {
        /// The sender, as the link has authenticated it.
        from: roster::NodeId,
        /// The message.
        message: Message,
    },
    /// Admission's demand changed.
    Demand(Demand),
    /// So many requests within their kinds' shares wait for a slot here.
    Waiting(u32),
    /// This node is about to leave: it passes all its tokens on.
    Leave,
    /// Time passed; due about every ten milliseconds.
    Tick,
}

/// What should be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: roster::NodeId,
        /// The message.
        message: Message,
    },
}

/// The right to use one slot of one runner.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Token {
    runner: RunnerKey,
    slot: u32,
}

impl Token {
    /// The runner.
    pub fn runner(&self) -> RunnerKey {
        self.runner
    }

    /// The slot's number in its runner.
    pub fn slot(&self) -> u32 {
        self.slot
    }
}

/// Counts of what happened to tokens and messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Tokens given to other nodes.
    pub given: u64,
    /// Tokens received.
    pub received: u64,
    /// Lost tokens that a deal gave to this node.
    pub dealt: u64,
    /// Messages dropped because they belong to another deal.
    pub other_deal: u64,
    /// Gifts dropped because they came before.
    pub repeated: u64,
    /// Tokens received that were already held; anything but zero is a fault.
    pub doubled: u64,
    /// Rounds started because tokens were missing.
    pub rounds: u64,
    /// Times that this node forgot its tokens because it could not prove that it may serve.
    pub lapses: u64,
    /// Requests for tokens that were sent.
    pub asks: u64,
}

/// What is known of another member.
#[derive(Clone, Debug, Default)]
struct Peer {
    deal: Deal,
    heard_at: clock::Instant,
    asked_at: clock::Instant,
    held: u32,
    free: u32,
    need_milli: Vec<u32>,
    used_milli: Vec<u32>,
    complete: bool,
    census_sent_at: Option<clock::Instant>,
    window: Window,
}

/// The tokens of one service on one node.
#[derive(Clone, Debug)]
pub struct Ledger {
    me: roster::NodeId,
    settings: Settings,
    book: book::Book,
    deal: Deal,
    members: Vec<roster::NodeId>,
    census: Census,
    awaited: BTreeSet<roster::NodeId>,
    settled: BTreeSet<roster::NodeId>,
    lapsed: BTreeMap<roster::NodeId, clock::Instant>,
    listed: BTreeMap<id::Vm, u64>,
    complete: bool,
    leaving: bool,
    peers: BTreeMap<roster::NodeId, Peer>,
    demand: Demand,
    waiting: u32,
    reported: Report,
    reported_at: Option<clock::Instant>,
    asked_at: Option<clock::Instant>,
    asks: Vec<passing::Pending>,
    owed: Vec<roster::NodeId>,
    serial: u64,
    short_since: Option<clock::Instant>,
    serving_until: clock::Instant,
    counters: Counters,
}

impl Ledger {
    /// Makes the ledger of a node that holds nothing yet.
    pub fn new(me: roster::NodeId, settings: Settings) -> Self {
        Self {
            me,
            settings,
            book: book::Book::default(),
            deal: Deal::default(),
            members: Vec::new(),
            census: census::empty(),
            awaited: BTreeSet::new(),
            settled: BTreeSet::new(),
            lapsed: BTreeMap::new(),
            listed: BTreeMap::new(),
            complete: false,
            leaving: false,
            peers: BTreeMap::new(),
            demand: Demand::default(),
            waiting: 0,
            reported: passing::empty_report(),
            reported_at: None,
            asked_at: None,
            asks: Vec::new(),
            owed: Vec::new(),
            serial: 0,
            short_since: None,
            serving_until: clock::Instant::ZERO,
            counters: Counters::default(),
        }
    }

    /// Takes an input and appends what should be done.
    pub fn handle(&mut self, now: clock::Instant, input: Input, outputs: &mut Vec<Output>) {
        self.check_serving(now);
        match input {
            Input::Roster(roster) => self.enter_roster(now, roster, outputs),
            Input::Runners(specs) => self.list_runners(&specs),
            Input::Lapsed(member) => self.lapse(now, member),
            Input::Serving { until } => self.serving_until = self.serving_until.max(until),
            Input::Message { from, message } => self.receive(now, from, message, outputs),
            Input::Demand(demand) => self.demand = demand,
            Input::Waiting(waiting) => self.wait(now, waiting, outputs),
            Input::Leave => self.leaving = true,
            Input::Tick => self.tick(now, outputs),
        }
        self.pay(outputs);
        self.answer_asks(now, outputs);
    }

    /// Takes a free token of a runner, if this node holds one and may serve.
    pub fn take(&mut self, now: clock::Instant, runner: RunnerKey) -> Option<Token> {
        self.check_serving(now);
        let entry = self.book.runners.get_mut(runner)?;
        let free = entry.free();
        if free == 0 {
            return None;
        }
        let slot = free.trailing_zeros();
        entry.used |= 1 << slot;
        Some(Token { runner, slot })
    }

    /// Gives a token back after use.
    ///
    /// Call it only when the runner has ended the request, or can no longer be working on it.
    pub fn release(&mut self, token: Token) {
        if let Some(entry) = self.book.runners.get_mut(token.runner) {
            entry.used &= !(1 << token.slot);
        }
    }

    /// The key of a known runner.
    pub fn key(&self, vm: &id::Vm) -> Option<RunnerKey> {
        self.book.key(vm)
    }

    /// The VM of a runner.
    pub fn vm(&self, runner: RunnerKey) -> Option<&id::Vm> {
        self.book.runners.get(runner).map(|entry| &entry.vm)
    }

    /// Tokens of one runner that this node holds, free or in use.
    pub fn held_of(&self, runner: RunnerKey) -> u32 {
        let entry = self.book.runners.get(runner);
        entry.map_or(0, |entry| entry.held().count_ones())
    }

    /// Free tokens of one runner.
    pub fn free_of(&self, runner: RunnerKey) -> u32 {
        let entry = self.book.runners.get(runner);
        entry.map_or(0, |entry| entry.free().count_ones())
    }

    /// Every runner that this node knows.
    pub fn runners(&self) -> impl Iterator<Item = RunnerKey> {
        self.book.runners.keys()
    }

    /// Slots of one runner, whoever holds them.
    pub fn slots_of(&self, runner: RunnerKey) -> u32 {
        let entry = self.book.runners.get(runner);
        entry.map_or(0, |entry| entry.slots)
    }

    /// Tokens that this node holds and does not use.
    pub fn free(&self) -> u32 {
        self.book.free()
    }

    /// Tokens that this node holds, free or in use.
    pub fn held(&self) -> u32 {
        self.book.held()
    }

    /// Everything that this node holds, by runner.
    pub fn holdings(&self) -> Vec<Tokens> {
        self.book.holdings()
    }

    /// Slots of all listed runners, whoever holds them.
    pub fn total(&self) -> u32 {
        self.book.slots()
    }

    /// The deal that this node is in.
    pub fn deal(&self) -> Deal {
        self.deal
    }

    /// Tells whether every member of the earlier deals has told what it holds, or has lapsed.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Nodes outside the roster whose last requests must have ended before lost tokens are dealt.
    pub fn awaited(&self) -> impl Iterator<Item = &roster::NodeId> {
        let members = &self.members;
        self.awaited.iter().filter(|node| !members.contains(node))
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Forgets all tokens once this node can't prove any more that it may serve.
    fn check_serving(&mut self, now: clock::Instant) {
        if now < self.serving_until {
            return;
        }
        let mut forgot = false;
        for entry in self.book.runners.values_mut() {
            forgot |= entry.owned != 0;
            entry.owned = 0;
        }
        if forgot {
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
        let deal = message.deal();
        if deal.roster_version == self.deal.roster_version && deal > self.deal {
            self.enter(now, deal, outputs);
        }
        let peer = self.peers.entry(from.clone()).or_default();
        peer.deal = peer.deal.max(deal);
        peer.heard_at = now;
        if deal != self.deal {
            self.counters.other_deal += 1;
            return;
        }
        match message {
            Message::Census(census) => self.count_census(now, from, census),
            Message::Give(give) => self.accept(from, &give),
            Message::Ask(ask) => self.queue_ask(now, from, ask),
            Message::Report(report) => self.note_report(from, report),
        }
    }

    fn accept(&mut self, from: roster::NodeId, give: &Give) {
        let peer = self.peers.entry(from).or_default();
        if !peer.window.accept(give.serial) {
            self.counters.repeated += 1;
            return;
        }
        let doubled = self.book.add(&give.tokens);
        self.counters.doubled += u64::from(doubled.count_ones());
        self.counters.received += u64::from(give.tokens.mask.count_ones());
    }

    fn tick(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        self.settle(now);
        self.repeat_census(now, outputs);
        self.find_missing(now, outputs);
        self.report(now, outputs);
        self.plan_surplus(now);
        self.ask(now, outputs);
    }
}
