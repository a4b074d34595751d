//! The simulated deployment: its events, the network, the workers and the registry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;

use wasabiloft::batch::scheduler::{Poll, Refusal, Start};
use wasabiloft::batch::{TaskId, pools, waves, worker_state};
use wasabiloft::id;

use crate::search::check;
use crate::search::history::{Cut, History, Message};
use crate::search::node::{Node, Timer};
use crate::search::platform::{Cloud, Store};
use crate::search::runner::Life;
use crate::search::shell;

/// Time that a message to or from the platform is on its way, in milliseconds.
pub const LATENCY_MS: u64 = 1;
/// Time on the clocks of the first workers when a history begins, in milliseconds.
const FIRST_CLOCK_MS: u64 = 50_000;

/// The pool whose workers run the job.
pub const POOL: &str = "counter";

/// A command to a worker.
#[derive(Clone, Debug)]
pub enum Request {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop { task: TaskId, run: u32 },
    /// Poll the lists.
    Poll(Poll),
}

impl Request {
    pub(super) fn message(&self) -> Message {
        match self {
            Self::Start(_) => Message::Start,
            Self::Stop { .. } => Message::Stop,
            Self::Poll(_) => Message::Poll,
        }
    }
}

/// The answer to a call of a node.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A worker's lists.
    Report(worker_state::Report),
    /// A worker has a newer fence.
    Fenced,
    /// Another incarnation answers.
    OtherLife,
    /// The run exists on the worker, whose clock shows this time, in milliseconds.
    Started(u64),
    /// The worker refused a start.
    Refused(Refusal),
    /// The worker carried out a stop.
    Stopped,
    /// The list of machines.
    List(Vec<pools::Machine>),
    /// Outcome of a command to a machine.
    Commanded(shell::CommandOutcome),
    /// A transaction was committed; the version of the duty's row.
    Committed(u64),
    /// A transaction's check failed.
    CheckFailed,
    /// The call got no response; `refused` means that no connection was opened.
    Failed { refused: bool },
}

/// What happens next.
#[derive(Clone, Debug)]
pub enum Event {
    /// A fault of the history.
    Fault(usize),
    /// A job is accepted.
    Submit(u64),
    /// A worker may have something to end or to answer.
    Life { vm: usize },
    /// A worker writes its registry entry.
    Heartbeat { vm: usize, life: u64 },
    /// An entry expires unless it was written since.
    EntryExpiry { worker: id::Worker, written_ms: u64 },
    /// A draining worker exits.
    Exit { vm: usize, life: u64 },
    /// A machine is up again.
    Back { vm: usize, change: u64 },
    /// A command reaches a worker.
    ToWorker {
        node: usize,
        call: u64,
        epoch: u64,
        vm: usize,
        life: u64,
        id: id::Worker,
        request: Request,
    },
    /// A call reaches the machine interface.
    ToCloud {
        node: usize,
        call: u64,
        epoch: u64,
        command: Option<(usize, shell::Command)>,
    },
    /// A transaction reaches the store.
    ToStore {
        node: usize,
        call: u64,
        transaction: crate::search::platform::Transaction,
    },
    /// An answer reaches a node.
    ToNode {
        node: usize,
        call: u64,
        answer: Answer,
    },
    /// A change of the registry reaches a node.
    Registry {
        node: usize,
        worker: id::Worker,
        listing: Option<worker_state::Listing>,
    },
    /// An accepted job reaches a node.
    Job { node: usize, job: u64 },
    /// All jobs that were stored before some time have reached a node.
    JobsRead {
        node: usize,
        incarnation: u64,
        until_ms: u64,
    },
    /// A node's timer.
    Timer {
        node: usize,
        incarnation: u64,
        timer: Timer,
    },
}

/// A poll that waits at a worker.
#[derive(Clone, Debug)]
pub(super) struct HeldPoll {
    pub(super) node: usize,
    pub(super) call: u64,
    pub(super) until_ms: u64,
}

/// A machine with its worker.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Id of the machine.
    pub id: id::Vm,
    /// Pool of the machine.
    pub pool: id::Service,
    /// State in the list of machines.
    pub state: pools::State,
    /// Its worker, if one is up.
    pub life: Option<Life>,
    /// Number of state changes; a return that was planned before the last one is void.
    pub change: u64,
    pub(super) next_id: Option<id::Worker>,
    pub(super) next_pool: Option<id::Service>,
    pub(super) is_silent: bool,
    pub(super) held: Vec<HeldPoll>,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) listing: worker_state::Listing,
    pub(super) written_ms: u64,
}

#[derive(Clone, Debug)]
pub(super) struct ActiveCut {
    pub(super) node: Option<usize>,
    pub(super) vm: usize,
    pub(super) how: Cut,
    pub(super) until_ms: u64,
    pub(super) from_store: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Fate {
    pub(super) message: Message,
    pub(super) vm: usize,
    pub(super) hold_up_ms: Option<u64>,
}

/// A cut between two nodes.
#[derive(Clone, Debug)]
pub(super) struct Split {
    pub(super) node: usize,
    pub(super) other: usize,
    pub(super) how: Cut,
    pub(super) until_ms: u64,
}

/// What the network does with a message.
pub(super) enum Delivery {
    At(u64),
    Lost,
}

/// The simulated deployment.
pub struct World {
    /// Simulated time, in milliseconds.
    pub now_ms: u64,
    pub(super) queue: BinaryHeap<Reverse<(u64, u8, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) next_event: u64,
    /// The history that takes place.
    pub history: History,
    /// The machines.
    pub vms: Vec<Vm>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The store.
    pub store: Store,
    /// The machine interface.
    pub cloud: Cloud,
    /// Waves that operators have requested.
    pub waves: Vec<waves::Request>,
    /// Machines that demand requires in another pool.
    pub wanted: BTreeMap<id::Vm, id::Service>,
    pub(super) entries: BTreeMap<id::Worker, Entry>,
    pub(super) cuts: Vec<ActiveCut>,
    pub(super) fates: Vec<Fate>,
    pub(super) splits: Vec<Split>,
    pub(super) lives: u64,
    /// The checks.
    pub checks: check::Checks,
    /// Lines about what happened, if they are wanted.
    pub trace: Option<Vec<String>>,
}

impl World {
    /// Creates the deployment of a history; `traced` keeps lines about what happens.
    pub fn new(history: History, traced: bool) -> Self {
        let mut world = Self {
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            vms: Vec::new(),
            nodes: Vec::new(),
            store: Store::default(),
            cloud: Cloud::default(),
            waves: Vec::new(),
            wanted: BTreeMap::new(),
            entries: BTreeMap::new(),
            cuts: Vec::new(),
            fates: Vec::new(),
            splits: Vec::new(),
            lives: 0,
            checks: check::Checks::default(),
            trace: traced.then(Vec::new),
            history,
        };
        for number in 0..world.history.setup.vms {
            world.vms.push(Vm {
                id: id::Vm::new(&format!("vm{number}")),
                pool: id::Service::new(POOL),
                state: pools::State::Up,
                life: None,
                change: 0,
                next_id: None,
                next_pool: None,
                is_silent: false,
                held: Vec::new(),
            });
            world.begin_life(number, FIRST_CLOCK_MS);
        }
        for number in 0..world.history.setup.nodes {
            world.nodes.push(Node::new());
            world.begin_node(number);
        }
        world.push(world.history.setup.submit_ms, Event::Submit(1));
        for index in 0..world.history.faults.len() {
            world.push(world.history.faults[index].at_ms, Event::Fault(index));
        }
        world
    }

    /// Adds an event.
    pub fn push(&mut self, at_ms: u64, event: Event) {
        self.push_in_class(at_ms, 1, event);
    }

    /// Adds an event; at the same time, those of a lower class come first.
    pub(super) fn push_in_class(&mut self, at_ms: u64, class: u8, event: Event) {
        self.next_event += 1;
        let at_ms = at_ms.max(self.now_ms);
        self.queue.push(Reverse((at_ms, class, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Adds a line about what happened.
    pub fn note<F>(&mut self, text: F)
    where
        F: FnOnce() -> String,
    {
        let now_ms = self.now_ms;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now_ms:>6} ms  {}", text()));
        }
    }

    /// Writes the state without the history that led to it.
    pub fn write_state<W>(&self, writer: &mut W) -> fmt::Result
    where
        W: fmt::Write,
    {
        let now_ms = self.now_ms;
        let mut events: Vec<_> = self.queue.iter().map(|Reverse(key)| *key).collect();
        events.sort_unstable();
        for (at_ms, class, number) in events {
            write!(writer, "{at_ms} {class} {:?}", self.events.get(&number))?;
        }
        let cuts = self.cuts.iter().filter(|cut| now_ms < cut.until_ms);
        for cut in cuts {
            write!(writer, "{cut:?}")?;
        }
        let splits = self.splits.iter().filter(|cut| now_ms < cut.until_ms);
        for cut in splits {
            write!(writer, "{cut:?}")?;
        }
        write!(writer, "{:?}{:?}{:?}", self.vms, self.nodes, self.store)?;
        write!(writer, "{:?}{:?}{:?}", self.cloud, self.waves, self.wanted)?;
        write!(
            writer,
            "{:?}{:?}{:?}",
            self.entries, self.fates, self.checks
        )
    }

    /// Runs to the end, or to the first violation.
    pub fn run(&mut self) {
        while self.checks.violations.is_empty() && self.step_until(self.history.setup.run_ms) {}
    }

    /// Handles the next event before `until_ms`; returns whether there was one.
    pub fn step_until(&mut self, until_ms: u64) -> bool {
        let Some(Reverse((at_ms, _, number))) = self.queue.peek().copied() else {
            return false;
        };
        if at_ms >= until_ms {
            return false;
        }
        self.queue.pop();
        self.now_ms = at_ms;
        if let Some(event) = self.events.remove(&number) {
            self.handle(event);
        }
        true
    }

    pub(super) fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::ToNode { node, .. }
            | Event::Registry { node, .. }
            | Event::Job { node, .. }
            | Event::JobsRead { node, .. }
            | Event::Timer { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = node {
            let frozen_until_ms = self.nodes[node].frozen_until_ms;
            if self.now_ms < frozen_until_ms {
                let class = self.nodes[node].class_after_freeze(&event);
                self.push_in_class(frozen_until_ms, class, event);
                return;
            }
        }
        match event {
            Event::Fault(index) => self.apply(&self.history.faults[index].clone()),
            Event::Submit(job) => self.submit(job),
            Event::Life { vm } => self.advance_life(vm),
            Event::Heartbeat { vm, life } => self.heartbeat(vm, life),
            Event::EntryExpiry { worker, written_ms } => {
                let entry = self.entries.get(&worker);
                if entry.is_some_and(|entry| entry.written_ms == written_ms) {
                    self.remove_entry(&worker);
                }
            }
            Event::Exit { vm, life } => self.exit(vm, life),
            Event::Back { vm, change } => {
                if self.vms[vm].change == change {
                    self.vms[vm].state = pools::State::Up;
                    if let Some(pool) = self.vms[vm].next_pool.take() {
                        self.vms[vm].pool = pool;
                    }
                    self.begin_life(vm, 0);
                }
            }
            Event::ToWorker {
                node,
                call,
                epoch,
                vm,
                life,
                id,
                request,
            } => self.at_worker(node, call, epoch, vm, life, &id, request),
            Event::ToCloud {
                node,
                call,
                epoch,
                command,
            } => self.at_cloud(node, call, epoch, command),
            Event::ToStore {
                node,
                call,
                transaction,
            } => self.at_store(node, call, transaction),
            Event::ToNode { node, call, answer } => self.answered(node, call, answer),
            Event::Registry {
                node,
                worker,
                listing,
            } => self.registry_changed(node, &worker, listing),
            Event::Job { node, job } => self.job_known(node, job),
            Event::JobsRead {
                node,
                incarnation,
                until_ms,
            } => self.jobs_read(node, incarnation, until_ms),
            Event::Timer {
                node,
                incarnation,
                timer,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.timer(node, timer);
                }
            }
        }
    }
}
