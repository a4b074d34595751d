//! The simulated deployment: its events, the network, the workers and the registry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use wasabiloft::batch::scheduler::{Poll, Refusal, Start};
use wasabiloft::batch::{TaskId, pools, waves, worker_state};
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::search::check;
use crate::search::history::{Cut, Fault, History, Kind, Message};
use crate::search::node::{Node, Timer};
use crate::search::platform::{ANY_VM, Cloud, Store};
use crate::search::runner::{CORES, Carried, Life};
use crate::search::shell;

/// Time that a message is on its way, in milliseconds.
pub const LATENCY_MS: u64 = 1;
/// Interval at which a worker writes its registry entry, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// An entry that isn't written for this long is removed, in milliseconds.
const ENTRY_EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
/// Time until a leader learns of a change in the registry, in milliseconds.
const REGISTRY_DELAY_MS: u64 = 60;
/// Time until a leader learns of an accepted job, in milliseconds.
const JOB_DELAY_MS: u64 = 10;
/// Announced time from the registration of a stop to its begin, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time for which a machine is unavailable for a move, in milliseconds.
const MOVE_MS: u64 = 1_500;
/// Time on the clocks of the first workers when a history begins, in milliseconds.
const FIRST_CLOCK_MS: u64 = 50_000;
/// Length of a run, in milliseconds.
const RUN_MS: u64 = 17_000;
/// Deadline of a maintenance wave, in milliseconds.
const WAVE_DEADLINE_MS: u64 = 60_000;

/// The pool whose workers run the job.
pub const POOL: &str = "counter";
/// The other pool.
const OTHER_POOL: &str = "ledger";

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
    fn message(&self) -> Message {
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
    /// The run exists.
    Started,
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
    /// The job is accepted.
    Submit,
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
    Job { node: usize },
    /// A node's timer.
    Timer {
        node: usize,
        incarnation: u64,
        timer: Timer,
    },
}

/// A poll that waits at a worker.
#[derive(Clone, Debug)]
struct HeldPoll {
    node: usize,
    call: u64,
    until_ms: u64,
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
    next_id: Option<id::Worker>,
    next_pool: Option<id::Service>,
    is_silent: bool,
    held: Vec<HeldPoll>,
}

#[derive(Clone, Debug)]
struct Entry {
    listing: worker_state::Listing,
    written_ms: u64,
}

#[derive(Clone, Debug)]
struct ActiveCut {
    node: Option<usize>,
    vm: usize,
    how: Cut,
    until_ms: u64,
    from_store: bool,
}

#[derive(Clone, Debug)]
struct Fate {
    message: Message,
    vm: usize,
    hold_up_ms: Option<u64>,
}

/// What the network does with a message.
enum Delivery {
    At(u64),
    Lost,
}

/// The simulated deployment.
pub struct World {
    /// Simulated time, in milliseconds.
    pub now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u8, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
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
    entries: BTreeMap<id::Worker, Entry>,
    cuts: Vec<ActiveCut>,
    fates: Vec<Fate>,
    lives: u64,
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
        world.push(world.history.setup.submit_ms, Event::Submit);
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
    fn push_in_class(&mut self, at_ms: u64, class: u8, event: Event) {
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

    /// Runs to the end, or to the first violation.
    pub fn run(&mut self) {
        while self.checks.violations.is_empty() && self.step_until(RUN_MS) {}
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

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::ToNode { node, .. }
            | Event::Registry { node, .. }
            | Event::Job { node }
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
            Event::Submit => self.submit(),
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
            Event::Job { node } => self.job_known(node),
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

    fn apply(&mut self, fault: &Fault) {
        self.note(|| format!("* {:?}", fault.kind));
        let now_ms = self.now_ms;
        match fault.kind.clone() {
            Kind::Freeze {
                node,
                for_ms,
                timers_first,
            } => {
                let state = &mut self.nodes[node];
                state.frozen_until_ms = state.frozen_until_ms.max(now_ms + for_ms);
                state.timers_first = timers_first;
                state.frozen_for_ms = for_ms;
                self.push_timer(node, now_ms, Timer::Wake);
            }
            Kind::Restart { node, for_ms } => self.restart_node(node, for_ms),
            Kind::Cut {
                node,
                vm,
                how,
                for_ms,
            } => self.cut(node, vm, how, for_ms, false),
            Kind::Isolate { vm, how, for_ms } => self.cut(None, vm, how, for_ms, true),
            Kind::StoreAway { node, for_ms } => self.cut_store(node, now_ms + for_ms),
            Kind::Crash {
                vm,
                silent,
                for_ms,
                same_id,
            } => {
                if let Some(life) = &self.vms[vm].life {
                    self.vms[vm].next_id = same_id.then(|| life.id.clone());
                    self.end_life(vm, pools::State::Down, Some(for_ms));
                    self.vms[vm].is_silent = silent;
                    if !silent {
                        self.reset_calls(None, vm);
                    }
                }
            }
            Kind::Drain { vm, extra_ms } => {
                if let Some(life) = &mut self.vms[vm].life
                    && !life.leaving
                {
                    life.leaving = true;
                    let number = life.number;
                    self.write_entry(vm);
                    let at_ms = now_ms + DRAIN_MS + extra_ms;
                    self.push(at_ms, Event::Exit { vm, life: number });
                }
            }
            Kind::Unlist { vm } => {
                if let Some(life) = &self.vms[vm].life {
                    let worker = life.id.clone();
                    self.remove_entry(&worker);
                }
            }
            Kind::CloudAway { executes, for_ms } => {
                self.cloud.away = Some((executes, now_ms + for_ms));
            }
            Kind::CloudSlow { delay_ms, for_ms } => {
                self.cloud.slow = Some((delay_ms, now_ms + for_ms));
            }
            Kind::Wave { vm } => {
                let number = self.waves.len() as u64 + 1;
                self.waves.push(waves::Request {
                    number,
                    vms: vec![self.vms[vm].id.clone()],
                    deadline_ms: WAVE_DEADLINE_MS,
                    at_once_max: 1,
                });
            }
            Kind::Move { vm } => {
                let to = if self.vms[vm].pool.as_str() == POOL {
                    OTHER_POOL
                } else {
                    POOL
                };
                let id = self.vms[vm].id.clone();
                self.wanted.insert(id, id::Service::new(to));
            }
            Kind::HoldUp {
                message,
                vm,
                for_ms,
            } => self.fates.push(Fate {
                message,
                vm,
                hold_up_ms: Some(for_ms),
            }),
            Kind::Lose { message, vm } => self.fates.push(Fate {
                message,
                vm,
                hold_up_ms: None,
            }),
        }
    }

    fn submit(&mut self) {
        let setup = &self.history.setup;
        self.store.submit(setup.tasks, setup.task_ms);
        for node in 0..self.nodes.len() {
            let at_ms = self.nodes[node].store_away_until_ms.max(self.now_ms) + JOB_DELAY_MS;
            self.push(at_ms, Event::Job { node });
        }
    }

    fn begin_life(&mut self, vm: usize, clock_ms: u64) {
        self.lives += 1;
        let number = self.lives;
        let state = &mut self.vms[vm];
        let id = state.next_id.take();
        let id = id.unwrap_or_else(|| id::Worker::new(&format!("w{vm}.{number}")));
        let slow = self.history.setup.slow_clocks;
        state.life = Some(Life::new(number, id.clone(), self.now_ms, clock_ms, slow));
        self.note(|| format!("worker {id} begins on vm{vm}"));
        // The heartbeats of the workers are spread over the interval.
        let phase_ms = if number as usize <= self.history.setup.vms {
            number * 400
        } else {
            HEARTBEAT_MS
        };
        self.write_entry(vm);
        let at_ms = self.now_ms + phase_ms;
        self.push(at_ms, Event::Heartbeat { vm, life: number });
    }

    /// Ends a worker; the machine is back after `back_ms`, if it comes back.
    pub fn end_life(&mut self, vm: usize, state: pools::State, back_ms: Option<u64>) {
        let Some(life) = self.vms[vm].life.take() else {
            return;
        };
        self.note(|| format!("worker {} ends on vm{vm}: {state:?}", life.id));
        let machine = &mut self.vms[vm];
        machine.state = state;
        machine.change += 1;
        machine.held.clear();
        machine.is_silent = false;
        let change = machine.change;
        if let Some(back_ms) = back_ms {
            self.push(self.now_ms + back_ms, Event::Back { vm, change });
        }
    }

    /// Ends a worker by a command; its entry is removed.
    pub fn end_life_by_command(&mut self, vm: usize, command: &shell::Command) {
        let Some(worker) = self.vms[vm].life.as_ref().map(|life| life.id.clone()) else {
            return;
        };
        match command {
            shell::Command::Move { to } => {
                self.vms[vm].next_pool = Some(to.clone());
                self.end_life(vm, pools::State::Moving, Some(MOVE_MS));
            }
            shell::Command::Upkeep { .. } => {
                self.end_life(vm, pools::State::Upkeep, Some(shell::MAINTENANCE_MS));
            }
        }
        self.reset_calls(None, vm);
        self.remove_entry(&worker);
    }

    fn exit(&mut self, vm: usize, life: u64) {
        let current = self.vms[vm].life.as_ref();
        let Some(current) = current.filter(|current| current.number == life) else {
            return;
        };
        let worker = current.id.clone();
        self.end_life(vm, pools::State::Down, None);
        self.reset_calls(None, vm);
        self.remove_entry(&worker);
    }

    fn heartbeat(&mut self, vm: usize, life: u64) {
        let current = self.vms[vm].life.as_ref().map(|life| life.number);
        if current != Some(life) {
            return;
        }
        let (now_ms, cuts) = (self.now_ms, &self.cuts);
        let is_cut = cuts
            .iter()
            .any(|cut| cut.vm == vm && cut.from_store && now_ms < cut.until_ms);
        if !is_cut {
            self.write_entry(vm);
        }
        self.push(now_ms + HEARTBEAT_MS, Event::Heartbeat { vm, life });
    }

    fn write_entry(&mut self, vm: usize) {
        let machine = &self.vms[vm];
        let Some(life) = &machine.life else { return };
        let listing = life.listing(&machine.pool, vm);
        let (worker, written_ms) = (life.id.clone(), self.now_ms);
        let entry = Entry {
            listing: listing.clone(),
            written_ms,
        };
        self.entries.insert(worker.clone(), entry);
        let expiry = Event::EntryExpiry {
            worker: worker.clone(),
            written_ms,
        };
        self.push(written_ms + ENTRY_EXPIRY_MS, expiry);
        self.publish(&worker, Some(listing));
    }

    fn remove_entry(&mut self, worker: &id::Worker) {
        if self.entries.remove(worker).is_some() {
            self.note(|| format!("entry of {worker} removed"));
            self.publish(worker, None);
        }
    }

    fn publish(&mut self, worker: &id::Worker, listing: Option<worker_state::Listing>) {
        for node in 0..self.nodes.len() {
            let at_ms = self.nodes[node].store_away_until_ms.max(self.now_ms) + REGISTRY_DELAY_MS;
            let event = Event::Registry {
                node,
                worker: worker.clone(),
                listing: listing.clone(),
            };
            self.push(at_ms, event);
        }
    }

    /// Returns all registry entries.
    pub fn listings(&self) -> Vec<worker_state::Listing> {
        let entries = self.entries.values();
        entries.map(|entry| entry.listing.clone()).collect()
    }

    /// Returns the list of machines.
    pub fn machines(&self) -> Vec<pools::Machine> {
        let machines = self.vms.iter().map(|vm| pools::Machine {
            vm: vm.id.clone(),
            pool: vm.pool.clone(),
            state: vm.state,
            data_centre: id::DataCentre::new("z0"),
            rack: None,
            kind: String::new(),
            size: Resources {
                cpu_milli: CORES * 1_000,
                memory_mib: 16_000,
                accelerators: 0,
            },
            worker: vm.life.as_ref().map(|life| life.id.clone()),
        });
        machines.collect()
    }

    fn cut(&mut self, node: Option<usize>, vm: usize, how: Cut, for_ms: u64, from_store: bool) {
        self.cuts.push(ActiveCut {
            node,
            vm,
            how,
            until_ms: self.now_ms + for_ms,
            from_store,
        });
        if how == Cut::Refused {
            self.reset_calls(node, vm);
        }
    }

    /// Returns the cut of a path, and when it ends.
    fn path(&self, node: usize, vm: usize) -> Option<(Cut, u64)> {
        let active = self.cuts.iter().filter(|cut| {
            cut.vm == vm && cut.node.is_none_or(|from| from == node) && self.now_ms < cut.until_ms
        });
        active
            .map(|cut| (cut.how, cut.until_ms))
            .max_by_key(|(how, until_ms)| {
                let rank = match how {
                    Cut::OneWay => 0,
                    Cut::Silent => 1,
                    Cut::Refused => 2,
                };
                (rank, *until_ms)
            })
    }

    fn reset_calls(&mut self, node: Option<usize>, vm: usize) {
        for number in 0..self.nodes.len() {
            if node.is_some_and(|node| node != number) {
                continue;
            }
            let calls = self.nodes[number].calls_to(vm);
            for call in calls {
                let answer = Answer::Failed { refused: false };
                let event = Event::ToNode {
                    node: number,
                    call,
                    answer,
                };
                self.push(self.now_ms + LATENCY_MS, event);
            }
        }
    }

    /// Returns when a message arrives that takes `latency_ms` by itself.
    fn delivery(&mut self, message: Message, vm: usize, latency_ms: u64) -> Delivery {
        let fate = |fate: &Fate| fate.message == message && (fate.vm == vm || vm == ANY_VM);
        let Some(index) = self.fates.iter().position(fate) else {
            return Delivery::At(self.now_ms + latency_ms);
        };
        let fate = self.fates.remove(index);
        self.note(|| format!("{message:?} of vm{vm}: {:?}", fate.hold_up_ms));
        match fate.hold_up_ms {
            Some(for_ms) => Delivery::At(self.now_ms + for_ms),
            None => Delivery::Lost,
        }
    }

    /// Delivers a message that a fault of the history may hold up or lose.
    pub fn deliver(&mut self, message: Message, vm: usize, latency_ms: u64, event: Event) {
        if let Delivery::At(at_ms) = self.delivery(message, vm, latency_ms) {
            self.push(at_ms, event);
        }
    }

    /// Sends a command to a worker.
    pub fn send(
        &mut self,
        node: usize,
        call: u64,
        worker: &id::Worker,
        vm: usize,
        request: Request,
    ) {
        let refused = Event::ToNode {
            node,
            call,
            answer: Answer::Failed { refused: true },
        };
        let refused_at_ms = self.now_ms + LATENCY_MS;
        let is_poll = matches!(request, Request::Poll(_));
        let mut held_until_ms = None;
        match self.path(node, vm) {
            Some((Cut::Refused, _)) => {
                self.push(refused_at_ms, refused);
                return;
            }
            // Without a connection, nothing is on its way that could arrive later.
            Some((Cut::Silent, _)) if !self.nodes[node].is_connected(vm, is_poll) => return,
            Some((Cut::Silent, until_ms)) => held_until_ms = Some(until_ms),
            Some((Cut::OneWay, _)) | None => {}
        }
        let Some(life) = &self.vms[vm].life else {
            if !self.vms[vm].is_silent {
                self.push(refused_at_ms, refused);
            }
            return;
        };
        let event = Event::ToWorker {
            node,
            call,
            epoch: self.nodes[node].epoch(),
            vm,
            life: life.number,
            id: worker.clone(),
            request: request.clone(),
        };
        self.nodes[node].connect(vm, is_poll);
        match held_until_ms {
            Some(until_ms) => self.push(until_ms + LATENCY_MS, event),
            None => self.deliver(request.message(), vm, LATENCY_MS, event),
        }
    }

    /// Sends a worker's answer.
    fn reply(&mut self, node: usize, call: u64, vm: usize, answer: Answer) {
        let event = Event::ToNode { node, call, answer };
        match self.path(node, vm) {
            Some((Cut::Refused, _)) => {}
            Some((Cut::Silent | Cut::OneWay, until_ms)) => self.push(until_ms + LATENCY_MS, event),
            None => self.deliver(Message::Answer, vm, LATENCY_MS, event),
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn at_worker(
        &mut self,
        node: usize,
        call: u64,
        epoch: u64,
        vm: usize,
        life: u64,
        id: &id::Worker,
        request: Request,
    ) {
        self.advance_life(vm);
        let now_ms = self.now_ms;
        let task_ms = self.history.setup.task_ms;
        let Some(current) = &mut self.vms[vm].life else {
            return;
        };
        if current.number != life {
            // The connection was to the process before.
            let answer = Answer::Failed { refused: false };
            self.push(now_ms + LATENCY_MS, Event::ToNode { node, call, answer });
            return;
        }
        if current.id != *id {
            self.reply(node, call, vm, Answer::OtherLife);
            return;
        }
        let number = current.number;
        match request {
            Request::Start(start) => {
                let outcome = current.start(epoch, &start, task_ms, now_ms);
                if outcome == Ok(Carried::Began) {
                    self.began(vm, epoch, &start);
                }
                let answer = match outcome {
                    Ok(_) => Answer::Started,
                    Err(reason) => Answer::Refused(reason),
                };
                self.reply(node, call, vm, answer);
            }
            Request::Stop { task, run } => {
                let answer = if current.stop(epoch, task, run, now_ms) {
                    Answer::Stopped
                } else {
                    Answer::Fenced
                };
                self.note(|| format!("stop {task} run={run} reaches vm{vm}"));
                self.reply(node, call, vm, answer);
            }
            Request::Poll(poll) => match current.poll(epoch, &poll, now_ms) {
                None => self.reply(node, call, vm, Answer::Fenced),
                Some(acknowledged) => {
                    self.checks.acknowledged(number, &acknowledged, now_ms);
                    self.vms[vm].held.push(HeldPoll {
                        node,
                        call,
                        until_ms: now_ms + poll.wait_ms,
                    });
                    self.push(now_ms + poll.wait_ms, Event::Life { vm });
                }
            },
        }
        self.advance_life(vm);
    }

    fn began(&mut self, vm: usize, epoch: u64, start: &Start) {
        let task = start.task;
        let others: Vec<String> = self
            .vms
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != vm)
            .filter_map(|(_, other)| other.life.as_ref())
            .filter(|life| life.running.contains_key(&task))
            .map(|life| life.id.to_string())
            .collect();
        let worker = start.worker.to_string();
        self.note(|| {
            format!(
                "run={} of {task} begins on {worker} epoch={epoch}",
                start.run
            )
        });
        let now_ms = self.now_ms;
        self.checks.started(task, &worker, &others, now_ms);
    }

    /// Ends runs that are over, and answers polls that have waited long enough or see an end.
    fn advance_life(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let Some(life) = &mut self.vms[vm].life else {
            return;
        };
        let ended = life.advance(now_ms);
        let (number, id) = (life.number, life.id.clone());
        let first = life.ends.len() - ended.len();
        let numbers: Vec<u64> = life.ends[first..]
            .iter()
            .map(|end| end.reported.number)
            .collect();
        for ((task, run, outcome), end) in ended.into_iter().zip(numbers) {
            self.note(|| format!("run={run} of {task} ends on {id}: {outcome:?}"));
            self.checks.ended(task, outcome, number, end);
        }
        let Some(life) = &self.vms[vm].life else {
            return;
        };
        if let Some(next_ms) = life.next_ms(now_ms) {
            self.push(next_ms, Event::Life { vm });
        }
        let Some(life) = &self.vms[vm].life else {
            return;
        };
        let has_ends = !life.ends.is_empty();
        let report = life.report(now_ms);
        let (answered, held) = std::mem::take(&mut self.vms[vm].held)
            .into_iter()
            .partition(|poll| has_ends || poll.until_ms <= now_ms);
        self.vms[vm].held = held;
        let answered: Vec<HeldPoll> = answered;
        for poll in answered {
            self.reply(poll.node, poll.call, vm, Answer::Report(report.clone()));
        }
    }
}
