//! Nodes: the term of a leader, its calls, and the followers that take over.

use std::collections::{BTreeMap, VecDeque};

use wasabiloft::batch::scheduler::{Scheduler, Start};
use wasabiloft::batch::{TaskId, authority, predecessors};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::search::history::First;
use crate::search::platform::{Standing, Transaction};
use crate::search::shell;
use crate::search::term::LEASE_MS;
use crate::search::world::{Answer, Event, World};

/// Minimum pause between two planning rounds, in milliseconds.
pub(super) const PLAN_PAUSE_MS: u64 = 4;
/// Interval at which timers are checked, in milliseconds.
pub(super) const TICK_MS: u64 = 50;
/// Interval at which an idle leader rewrites the duty's row, in milliseconds.
pub(super) const RENEW_INTERVAL_MS: u64 = 250;
/// Timeout of a call to the machine interface, in milliseconds.
pub(super) const CLOUD_TIMEOUT_MS: u64 = 1_500;
/// Pause between two lists of machines, in milliseconds.
pub(super) const LIST_PAUSE_MS: u64 = 150;
/// Interval between two heartbeats of a follower, in milliseconds.
pub(super) const HEARTBEAT_MS: u64 = 250;
/// Time that the rows of a takeover take to be read, in milliseconds.
pub(super) const TAKEOVER_READ_MS: u64 = 30;

/// A node's timer.
#[derive(Clone, Debug)]
pub enum Timer {
    /// The process runs again after it stood still.
    Wake,
    /// Time-dependent decisions of the scheduler.
    Tick,
    /// A planning round.
    Plan,
    /// A commit, if one is due.
    Commit,
    /// A transaction without a response is sent again.
    ResendCommit,
    /// The next poll of a worker.
    Poll { worker: id::Worker, turn: u64 },
    /// A call got no response in time.
    Timeout(u64),
    /// The next list of machines.
    Round,
    /// The follower's next step.
    Follow,
    /// The duty's row is read.
    RowRead {
        evidence: shell::Evidence,
        sent_at_ms: u64,
        reaches_store: bool,
    },
    /// The duty is claimed, after the delay of a weak node.
    Claim { has_ended: bool },
    /// The row is read after a claim without a response.
    ResolveClaim { claim: Claim, sent_at: Instant },
    /// The rows of a takeover are read.
    Lead { claim: Claim, proven_at: Instant },
}

/// A claim of the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub(super) epoch: u64,
}

/// A call in progress.
#[derive(Debug)]
pub(super) enum Call {
    Poll {
        worker: id::Worker,
        turn: u64,
        sent_at: Instant,
    },
    Start {
        start: Start,
        channel: u64,
        send: u32,
        may_have_run: bool,
        sent_at: Instant,
    },
    Stop {
        worker: id::Worker,
        task: TaskId,
        run: u32,
    },
    Commit,
    List {
        requested_at: Instant,
    },
    Command {
        vm: id::Vm,
        sent: shell::PendingCommand,
    },
    Claim {
        claim: Claim,
        sent_at: Instant,
    },
    /// The last commit of a leader that stops leading, which then releases the duty.
    LastCommit {
        epoch: u64,
        standing: Standing,
    },
    Release,
}

#[derive(Debug)]
pub(super) struct PollTask {
    pub(super) poller: shell::Poller,
    pub(super) vm: usize,
    pub(super) channel: u64,
    /// Number of the next step; earlier timers and responses are void.
    pub(super) turn: u64,
    pub(super) waits_for_commit: bool,
}

/// Starts to one worker, of which a few are in progress at a time.
#[derive(Debug, Default)]
pub(super) struct StartChannel {
    pub(super) vm: usize,
    pub(super) in_progress: usize,
    pub(super) waiting: VecDeque<Start>,
}

/// The state of a leader.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) scheduler: Scheduler,
    pub(super) polls: BTreeMap<id::Worker, PollTask>,
    /// By the turn in which the polls of the worker began; kept when they end, as starts are not given up then.
    pub(super) channels: BTreeMap<u64, StartChannel>,
    pub(super) fleet: shell::Fleet,
    pub(super) version: u64,
    pub(super) in_flight: Option<(Transaction, u64)>,
    pub(super) committed_ms: u64,
    pub(super) next_commit_ms: u64,
    pub(super) planned_ms: u64,
    pub(super) plan_scheduled: bool,
    pub(super) registry: shell::Registry,
    pub(super) authority: authority::Authority,
    /// The wait for leaders before this one.
    pub(super) wait: predecessors::Wait,
    /// What the next transaction says of the leader.
    pub(super) standing: Standing,
}

/// A node.
#[derive(Debug)]
pub struct Node {
    /// Raised when the process or its term ends; timers of earlier ones are void.
    pub incarnation: u64,
    /// The process stands still until this time, in milliseconds.
    pub frozen_until_ms: u64,
    /// Length of the newest standstill, in milliseconds.
    pub frozen_for_ms: u64,
    /// What the process handles first when it wakes.
    pub first: First,
    /// The node doesn't reach the platform until this time, in milliseconds.
    pub store_away_until_ms: u64,
    /// Since when it doesn't reach the platform, in milliseconds.
    pub store_away_from_ms: u64,
    /// The store refuses the node's transactions until this time, in milliseconds.
    pub writes_refused_until_ms: u64,
    /// Delay of the store's answers, and until when, in milliseconds.
    pub store_slow: (u64, u64),
    /// When the process starts again, in milliseconds, if it stops once the duty is released.
    pub(super) stops_until_ms: Option<u64>,
    pub(super) down_until_ms: u64,
    /// Open connections by VM, and by whether they are for polls: the life at the other end.
    pub(super) connected: BTreeMap<(usize, bool), u64>,
    pub(super) calls: BTreeMap<u64, (Option<usize>, Call)>,
    pub(super) next_call: u64,
    pub(super) turns: u64,
    pub(super) term: Option<Term>,
    /// Epoch that the node claims, or leads without a term: it reads its rows, or releases the duty.
    pub(super) claims: Option<u64>,
    pub(super) follower: shell::Follower,
    pub(super) refusals: u32,
    pub(super) unresponsive_ms: Option<u64>,
    /// Version, holder and epoch of the duty's row as it was read last.
    pub(super) known: (u64, Option<usize>, u64),
    /// What the row said of its leader.
    pub(super) known_standing: Standing,
    /// CPU that the row names, in thousandths of a core.
    pub(super) expected_cpu_milli: Option<u64>,
    /// The newest response of a leader after which the node went on following it: the leader's epoch, and when it was sent.
    pub(super) confirms: Option<(u64, Instant)>,
    /// Version of the row that a claim without a known outcome expects.
    pub(super) claimed: Option<u64>,
    /// The leader that counts on the node.
    pub(super) counted_on: Option<predecessors::CountedOn>,
    /// Leaders that counted on the node when it left them.
    pub(super) left: predecessors::Left,
    /// What the node's newest claim assumes of the leaders before.
    pub(super) assumed: predecessors::Assumed,
}

impl Node {
    /// Creates a node that follows.
    pub fn new() -> Self {
        Self {
            incarnation: 0,
            frozen_until_ms: 0,
            frozen_for_ms: 0,
            first: First::default(),
            store_away_until_ms: 0,
            store_away_from_ms: 0,
            writes_refused_until_ms: 0,
            store_slow: (0, 0),
            stops_until_ms: None,
            down_until_ms: 0,
            connected: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            turns: 0,
            term: None,
            claims: None,
            follower: shell::Follower::default(),
            refusals: 0,
            unresponsive_ms: None,
            known: (0, None, 0),
            known_standing: Standing::default(),
            expected_cpu_milli: None,
            confirms: None,
            claimed: None,
            counted_on: None,
            left: predecessors::Left::default(),
            assumed: predecessors::Assumed::default(),
        }
    }

    /// Returns the order in which an event that waited is handled when the process wakes.
    pub fn class_after_freeze(&self, event: &Event) -> u8 {
        let is_feed = matches!(
            event,
            Event::Job { .. } | Event::JobsRead { .. } | Event::Registry { .. }
        );
        let is_timer = match event {
            Event::Timer {
                timer: Timer::Timeout(_),
                ..
            } => return 3,
            Event::Timer {
                timer: Timer::Wake, ..
            } if self.first == First::Feeds => return 0,
            Event::Timer {
                timer: Timer::Plan, ..
            } if self.first == First::Feeds => return 1,
            Event::Timer { .. } => true,
            _ => false,
        };
        // Decisions on what is handled first have class 1.
        match (self.first, is_timer, is_feed) {
            (First::Timers, true, _) | (First::Feeds, _, true) => 0,
            (First::Answers | First::Timers, false, _) => 1,
            (First::Answers, true, _) | (First::Feeds, _, false) => 2,
        }
    }

    /// Returns the calls in progress to a VM's worker.
    pub fn calls_to(&self, vm: usize) -> Vec<u64> {
        let calls = self.calls.iter();
        calls
            .filter(|(_, (target, _))| *target == Some(vm))
            .map(|(call, _)| *call)
            .collect()
    }

    /// Returns whether a call is in progress.
    pub fn is_open(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// Returns the fencing epoch of the node's commands; 0 if it doesn't lead.
    pub fn epoch(&self) -> u64 {
        self.term.as_ref().map_or(0, |term| term.epoch)
    }

    /// Returns the life at the other end of the connection to a VM's worker; `None` if there is no connection.
    pub fn connection(&self, vm: usize, is_poll: bool) -> Option<u64> {
        self.connected.get(&(vm, is_poll)).copied()
    }

    /// Records that a connection to a life was opened.
    pub fn connect(&mut self, vm: usize, is_poll: bool, life: u64) {
        self.connected.insert((vm, is_poll), life);
    }

    /// Records that a connection has ended.
    pub fn disconnect(&mut self, vm: usize, is_poll: bool) {
        self.connected.remove(&(vm, is_poll));
    }

    fn call(&mut self, target: Option<usize>, call: Call) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, (target, call));
        self.next_call
    }
}

impl World {
    pub(super) fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    /// Adds a timer of a node.
    pub fn push_timer(&mut self, node: usize, at_ms: u64, timer: Timer) {
        let incarnation = self.nodes[node].incarnation;
        let event = Event::Timer {
            node,
            incarnation,
            timer,
        };
        self.push(at_ms, event);
    }

    /// Begins a node's process; the first node claims the duty at once.
    pub fn begin_node(&mut self, node: usize) {
        let setup = &self.history.setup;
        let joins_ms = setup.joins_ms;
        if node == 0 {
            self.claim(node, false);
        } else if node + 1 == setup.nodes && joins_ms > 0 {
            self.restart_node(node, joins_ms);
        } else {
            self.push_timer(node, self.now_ms + HEARTBEAT_MS, Timer::Follow);
        }
    }

    /// Ends a node's process and starts it again later.
    pub fn restart_node(&mut self, node: usize, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let before = &self.nodes[node];
        let fresh = Node {
            incarnation: before.incarnation + 1,
            next_call: before.next_call,
            store_away_until_ms: before.store_away_until_ms,
            store_away_from_ms: before.store_away_from_ms,
            writes_refused_until_ms: before.writes_refused_until_ms,
            store_slow: before.store_slow,
            down_until_ms: until_ms,
            ..Node::new()
        };
        self.nodes[node] = fresh;
        self.push_timer(node, until_ms, Timer::Follow);
    }

    /// Cuts a node off from the platform.
    pub fn cut_store(&mut self, node: usize, until_ms: u64) {
        if self.nodes[node].store_away_until_ms <= self.now_ms {
            self.nodes[node].store_away_from_ms = self.now_ms;
        }
        self.nodes[node].store_away_until_ms = until_ms;
        if let Some(term) = &mut self.nodes[node].term {
            term.registry.on_outage_end(Instant::from_ms(until_ms));
        }
    }

    /// Handles a node's timer.
    pub fn timer(&mut self, node: usize, timer: Timer) {
        match timer {
            Timer::Wake => {
                let for_ms = self.nodes[node].frozen_for_ms;
                if let Some(term) = &mut self.nodes[node].term {
                    term.scheduler.excuse_silence(for_ms);
                }
            }
            Timer::Tick => {
                let now = self.now();
                let may_act = self.may_act(node);
                if let Some(term) = &mut self.nodes[node].term {
                    term.scheduler.tick(now, now.as_ms());
                    if may_act {
                        term.scheduler.evict_long_running(now);
                    }
                    self.read_jobs(node);
                    self.push_timer(node, now.as_ms() + TICK_MS, Timer::Tick);
                    self.plan(node);
                }
            }
            Timer::Plan => {
                if let Some(term) = &mut self.nodes[node].term {
                    term.plan_scheduled = false;
                    self.plan(node);
                }
            }
            Timer::Commit => self.commit(node),
            Timer::ResendCommit => self.send_commit(node),
            Timer::Poll { worker, turn } => self.poll(node, &worker, turn),
            Timer::Timeout(call) => self.timed_out(node, call),
            Timer::Round => self.request_list(node),
            Timer::Follow => self.follow(node),
            Timer::RowRead {
                evidence,
                sent_at_ms,
                reaches_store,
            } => self.row_read(node, evidence, sent_at_ms, reaches_store),
            Timer::Claim { has_ended } => self.claim(node, has_ended),
            Timer::ResolveClaim { claim, sent_at } => self.resolve_claim(node, claim, sent_at),
            Timer::Lead { claim, proven_at } => self.lead(node, claim, proven_at),
        }
    }

    /// Returns whether a leader may send commands.
    pub(super) fn may_act(&mut self, node: usize) -> bool {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return false;
        };
        if let Some(stalled_ms) = term.authority.observe(now) {
            self.note(|| format!("  n{node}: authority lost stalled_ms={stalled_ms}"));
        }
        let term = self.nodes[node].term.as_ref();
        term.is_some_and(|term| term.authority.may_act())
    }

    /// Passes a leader's scheduler the moment by which leases have to end.
    pub(super) fn limit_leases(&mut self, node: usize) {
        let now = self.now();
        if let Some(term) = &mut self.nodes[node].term {
            let end = term.authority.leases_end(LEASE_MS);
            term.scheduler.limit_leases(end);
            term.scheduler
                .certainly_led(term.authority.committed_at(), now);
        }
    }

    pub(super) fn timed_out(&mut self, node: usize, call: u64) {
        let state = &mut self.nodes[node];
        let Some((target, what)) = state.calls.get(&call) else {
            return;
        };
        if let Some(vm) = target {
            let is_poll = matches!(what, Call::Poll { .. });
            let vm = *vm;
            state.disconnect(vm, is_poll);
        }
        self.answered(node, call, Answer::Failed { refused: false });
    }

    pub(super) fn call(
        &mut self,
        node: usize,
        target: Option<usize>,
        call: Call,
        timeout_ms: u64,
    ) -> u64 {
        let number = self.nodes[node].call(target, call);
        self.push_timer(node, self.now_ms + timeout_ms, Timer::Timeout(number));
        number
    }

    /// Schedules a planning round.
    pub(super) fn wake(&mut self, node: usize) {
        let now_ms = self.now_ms;
        if let Some(term) = &mut self.nodes[node].term
            && !term.plan_scheduled
        {
            term.plan_scheduled = true;
            let at_ms = now_ms.max(term.planned_ms + PLAN_PAUSE_MS);
            self.push_timer(node, at_ms, Timer::Plan);
        }
    }
}
