//! Nodes: the term of a leader, its calls, and the followers that take over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wasabiloft::batch::scheduler::{
    IncarnationEnd, Output, RecoveredState, Scheduler, Settings, Start, StartOutcome,
};
use wasabiloft::batch::{TaskId, queue, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::search::platform::Transaction;
use crate::search::shell;
use crate::search::world::{Answer, Event, LATENCY_MS, POOL, Request, World};

/// Length of the workers' leases, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Timeout of a command to a worker, in milliseconds.
const COMMAND_TIMEOUT_MS: u64 = 250;
/// Attempts to send a start before its outcome counts as unknown.
const START_ATTEMPTS_MAX: u32 = 3;
/// Timeout of a poll beyond its wait, in milliseconds.
const POLL_TIMEOUT_MARGIN_MS: u64 = 350;
/// Longest pause before a poll while ended runs aren't acknowledged yet, in milliseconds.
const UNCOMMITTED_PAUSE_MS: u64 = 60;
/// Minimum pause between two planning rounds, in milliseconds.
const PLAN_PAUSE_MS: u64 = 4;
/// Interval at which timers are checked, in milliseconds.
const TICK_MS: u64 = 50;
/// Interval at which an idle leader rewrites the duty's row, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 250;
/// Minimum interval between two commits, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 12;
/// Timeout of a transaction, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_200;
/// Pause before a transaction that got no response is resent, in milliseconds.
const COMMIT_RETRY_MS: u64 = 80;
/// Timeout of a call to the machine interface, in milliseconds.
const CLOUD_TIMEOUT_MS: u64 = 1_500;
/// Pause between two lists of machines, in milliseconds.
const LIST_PAUSE_MS: u64 = 150;
/// Interval between two heartbeats of a follower, in milliseconds.
const HEARTBEAT_MS: u64 = 250;
/// Timeout of a heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 400;
/// Pause before the row is checked again while the leader's state is uncertain, in milliseconds.
const RECHECK_MS: u64 = 100;
/// Time that a read of rows takes, in milliseconds.
const READ_MS: u64 = 5;
/// Time that the rows of a takeover take to be read, in milliseconds.
const TAKEOVER_READ_MS: u64 = 30;
/// A leader whose newest commit is this old asks its followers to take over, in milliseconds.
const LEADER_STALE_MS: u64 = 900;

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
    },
    /// The rows of a takeover are read.
    Lead { may_act: bool, epoch: u64 },
}

/// A call in progress.
#[derive(Debug)]
enum Call {
    Poll {
        worker: id::Worker,
        turn: u64,
        sent_at: Instant,
    },
    Start {
        start: Start,
        send: u32,
        may_have_run: bool,
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
        may_act: bool,
        epoch: u64,
    },
}

#[derive(Debug)]
struct PollTask {
    poller: shell::Poller,
    vm: usize,
    /// Number of the next step; earlier timers and responses are void.
    turn: u64,
    waits_for_commit: bool,
}

/// The state of a leader.
#[derive(Debug)]
struct Term {
    epoch: u64,
    scheduler: Scheduler,
    polls: BTreeMap<id::Worker, PollTask>,
    fleet: shell::Fleet,
    version: u64,
    in_flight: Option<(Transaction, u64)>,
    committed_ms: u64,
    next_commit_ms: u64,
    planned_ms: u64,
    plan_scheduled: bool,
    registry: shell::Registry,
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
    /// Whether timers act before waiting messages when the process wakes.
    pub timers_first: bool,
    /// The node doesn't reach the platform until this time, in milliseconds.
    pub store_away_until_ms: u64,
    down_until_ms: u64,
    connected: BTreeSet<(usize, bool)>,
    calls: BTreeMap<u64, (Option<usize>, Call)>,
    next_call: u64,
    turns: u64,
    term: Option<Term>,
    claims: bool,
    follower: shell::Follower,
    refusals: u32,
    unresponsive_ms: Option<u64>,
    /// Version, holder and epoch of the duty's row as it was read last.
    known: (u64, Option<usize>, u64),
}

impl Node {
    /// Creates a node that follows.
    pub fn new() -> Self {
        Self {
            incarnation: 0,
            frozen_until_ms: 0,
            frozen_for_ms: 0,
            timers_first: false,
            store_away_until_ms: 0,
            down_until_ms: 0,
            connected: BTreeSet::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            turns: 0,
            term: None,
            claims: false,
            follower: shell::Follower::default(),
            refusals: 0,
            unresponsive_ms: None,
            known: (0, None, 0),
        }
    }

    /// Returns the order in which an event that waited is handled when the process wakes.
    pub fn class_after_freeze(&self, event: &Event) -> u8 {
        match event {
            Event::Timer {
                timer: Timer::Timeout(_),
                ..
            } => 3,
            Event::Timer { .. } if self.timers_first => 0,
            Event::Timer { .. } => 2,
            _ => 1,
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

    /// Returns the fencing epoch of the node's commands; 0 if it doesn't lead.
    pub fn epoch(&self) -> u64 {
        self.term.as_ref().map_or(0, |term| term.epoch)
    }

    /// Returns whether the client of a VM's worker has a connection.
    pub fn is_connected(&self, vm: usize, is_poll: bool) -> bool {
        self.connected.contains(&(vm, is_poll))
    }

    /// Records that a connection was opened.
    pub fn connect(&mut self, vm: usize, is_poll: bool) {
        self.connected.insert((vm, is_poll));
    }

    fn call(&mut self, target: Option<usize>, call: Call) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, (target, call));
        self.next_call
    }
}

impl World {
    fn now(&self) -> Instant {
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
        if node == 0 && self.now_ms == 0 {
            self.claim(node, false);
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
            down_until_ms: until_ms,
            ..Node::new()
        };
        self.nodes[node] = fresh;
        self.push_timer(node, until_ms, Timer::Follow);
    }

    /// Cuts a node off from the platform.
    pub fn cut_store(&mut self, node: usize, until_ms: u64) {
        self.nodes[node].store_away_until_ms = until_ms;
        if let Some(term) = &mut self.nodes[node].term {
            term.registry.on_outage_end(Instant::from_ms(until_ms));
        }
    }

    fn end_term(&mut self, node: usize, reason: &str) {
        let epoch = self.nodes[node].epoch();
        self.note(|| format!("n{node} stops leading epoch={epoch}: {reason}"));
        let state = &mut self.nodes[node];
        state.term = None;
        state.calls.clear();
        state.connected.clear();
        state.incarnation += 1;
        state.follower = shell::Follower::default();
        self.push_timer(node, self.now_ms + HEARTBEAT_MS, Timer::Follow);
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
                if let Some(term) = &mut self.nodes[node].term {
                    term.scheduler.tick(now, now.as_ms());
                    term.scheduler.evict_long_running(now);
                    term.scheduler.jobs_read(now);
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
            } => self.row_read(node, evidence, sent_at_ms),
            Timer::Lead { may_act, epoch } => self.lead(node, may_act, epoch),
        }
    }

    fn timed_out(&mut self, node: usize, call: u64) {
        let state = &mut self.nodes[node];
        let Some((target, what)) = state.calls.get(&call) else {
            return;
        };
        if let Some(vm) = target {
            let is_poll = matches!(what, Call::Poll { .. });
            state.connected.remove(&(*vm, is_poll));
        }
        self.answered(node, call, Answer::Failed { refused: false });
    }

    fn call(&mut self, node: usize, target: Option<usize>, call: Call, timeout_ms: u64) -> u64 {
        let number = self.nodes[node].call(target, call);
        self.push_timer(node, self.now_ms + timeout_ms, Timer::Timeout(number));
        number
    }

    /// Schedules a planning round.
    fn wake(&mut self, node: usize) {
        let now_ms = self.now_ms;
        if let Some(term) = &mut self.nodes[node].term
            && !term.plan_scheduled
        {
            term.plan_scheduled = true;
            let at_ms = now_ms.max(term.planned_ms + PLAN_PAUSE_MS);
            self.push_timer(node, at_ms, Timer::Plan);
        }
    }

    fn plan(&mut self, node: usize) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        term.planned_ms = now.as_ms();
        term.scheduler.plan(now, now.as_ms());
        for output in term.scheduler.take_outputs() {
            self.execute(node, output);
        }
        self.commit(node);
    }

    fn execute(&mut self, node: usize, output: Output) {
        let turn = self.nodes[node].turns + 1;
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        match output {
            Output::StartPolling(listing) => {
                let task = PollTask {
                    poller: shell::Poller::new(),
                    vm: usize::from(listing.address.port()) - 1,
                    turn,
                    waits_for_commit: false,
                };
                self.nodes[node].turns = turn;
                let worker = listing.worker.clone();
                if let Some(term) = &mut self.nodes[node].term {
                    term.polls.insert(worker.clone(), task);
                }
                self.poll(node, &worker, turn);
            }
            Output::StopPolling(worker) => {
                term.polls.remove(&worker);
            }
            Output::Start(start) => self.send_start(node, start, 1, false),
            Output::Stop { worker, task, run } => {
                let Some(vm) = term.polls.get(&worker).map(|poll| poll.vm) else {
                    return;
                };
                let call = Call::Stop {
                    worker: worker.clone(),
                    task,
                    run,
                };
                let call = self.call(node, Some(vm), call, COMMAND_TIMEOUT_MS);
                self.send(node, call, &worker, vm, Request::Stop { task, run });
            }
            Output::Superseded => self.end_term(node, "superseded"),
            Output::Log(line) => self.note(|| format!("  n{node}: {line}")),
            Output::Pace { .. } | Output::RequestTickets { .. } => {}
        }
    }

    fn send_start(&mut self, node: usize, start: Start, send: u32, may_have_run: bool) {
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        let Some(vm) = term.polls.get(&start.worker).map(|poll| poll.vm) else {
            self.start_over(node, &start, StartOutcome::NotSent);
            return;
        };
        let worker = start.worker.clone();
        let request = Request::Start(start.clone());
        let call = Call::Start {
            start,
            send,
            may_have_run,
        };
        let call = self.call(node, Some(vm), call, COMMAND_TIMEOUT_MS);
        self.send(node, call, &worker, vm, request);
    }

    fn start_over(&mut self, node: usize, start: &Start, outcome: StartOutcome) {
        let now = self.now();
        if let Some(term) = &mut self.nodes[node].term {
            term.scheduler
                .start_answered(&start.worker, start.task, start.run, outcome, now);
        }
        self.wake(node);
    }

    fn poll(&mut self, node: usize, worker: &id::Worker, turn: u64) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        let Some(task) = term.polls.get_mut(worker).filter(|task| task.turn == turn) else {
            return;
        };
        task.waits_for_commit = false;
        let vm = task.vm;
        let Some(poll) = term.scheduler.next_poll(worker, now) else {
            return;
        };
        let call = Call::Poll {
            worker: worker.clone(),
            turn,
            sent_at: now,
        };
        let timeout_ms = poll.wait_ms + POLL_TIMEOUT_MARGIN_MS;
        let call = self.call(node, Some(vm), call, timeout_ms);
        self.send(node, call, worker, vm, Request::Poll(poll));
    }

    /// Polls a worker again after a pause.
    fn poll_later(&mut self, node: usize, worker: &id::Worker, pause_ms: u64) {
        self.nodes[node].turns += 1;
        let turn = self.nodes[node].turns;
        let task = self.nodes[node]
            .term
            .as_mut()
            .and_then(|term| term.polls.get_mut(worker));
        if let Some(task) = task {
            task.turn = turn;
            let timer = Timer::Poll {
                worker: worker.clone(),
                turn,
            };
            self.push_timer(node, self.now_ms + pause_ms, timer);
        }
    }

    /// Handles the answer to a call, or its failure.
    pub fn answered(&mut self, node: usize, call: u64, answer: Answer) {
        let Some((_, call)) = self.nodes[node].calls.remove(&call) else {
            return;
        };
        let now = self.now();
        match call {
            Call::Poll {
                worker,
                turn,
                sent_at,
            } => self.poll_answered(node, &worker, turn, sent_at, answer),
            Call::Start {
                start,
                send,
                may_have_run,
            } => self.start_answered(node, start, send, may_have_run, &answer),
            Call::Stop { worker, task, run } => {
                if let (Answer::Stopped, Some(term)) = (&answer, &mut self.nodes[node].term) {
                    term.scheduler.stop_answered(&worker, task, run, now);
                }
            }
            Call::Commit => self.commit_answered(node, &answer),
            Call::List { requested_at } => {
                if let Some(term) = &mut self.nodes[node].term {
                    if let Answer::List(list) = answer {
                        term.fleet
                            .apply_list(&mut term.scheduler, list, requested_at, now);
                        if shell::can_send(now.as_ms().saturating_sub(term.committed_ms)) {
                            let wanted = &self.wanted;
                            term.fleet.round(&mut term.scheduler, wanted, now);
                        }
                    }
                    self.push_timer(node, now.as_ms() + LIST_PAUSE_MS, Timer::Round);
                    self.wake(node);
                    self.commit(node);
                }
            }
            Call::Command { vm, sent } => {
                let outcome = match answer {
                    Answer::Commanded(outcome) => Some(outcome),
                    _ => None,
                };
                if let Some(term) = &mut self.nodes[node].term {
                    term.fleet
                        .handle_result(&mut term.scheduler, &vm, &sent, outcome, now);
                    self.wake(node);
                    self.commit(node);
                }
            }
            Call::Claim { may_act, epoch } => {
                if let Answer::Committed(version) = answer {
                    self.nodes[node].known = (version, Some(node), epoch);
                    let timer = Timer::Lead { may_act, epoch };
                    self.push_timer(node, now.as_ms() + TAKEOVER_READ_MS, timer);
                } else {
                    self.nodes[node].claims = false;
                    self.push_timer(node, now.as_ms() + HEARTBEAT_MS, Timer::Follow);
                }
            }
        }
    }

    fn poll_answered(
        &mut self,
        node: usize,
        worker: &id::Worker,
        turn: u64,
        sent_at: Instant,
        answer: Answer,
    ) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        let Some(task) = term.polls.get_mut(worker).filter(|task| task.turn == turn) else {
            return;
        };
        match answer {
            Answer::Report(report) => {
                task.poller.on_report();
                task.waits_for_commit = !report.ended.is_empty();
                let pause_ms = if report.ended.is_empty() {
                    0
                } else {
                    UNCOMMITTED_PAUSE_MS
                };
                term.scheduler
                    .poll_answered(worker, &report, sent_at, now, now.as_ms());
                self.wake(node);
                self.poll_later(node, worker, pause_ms);
            }
            Answer::Fenced => self.end_term(node, "fenced"),
            Answer::OtherLife => {
                term.scheduler
                    .incarnation_ended(worker, IncarnationEnd::OtherLife);
                self.wake(node);
            }
            _ => {
                let refused = matches!(answer, Answer::Failed { refused: true });
                term.scheduler.poll_failed(worker);
                let state = term.scheduler.workers().get(worker);
                if task.poller.on_failure(refused, state) {
                    term.scheduler
                        .incarnation_ended(worker, IncarnationEnd::Left);
                    self.wake(node);
                    return;
                }
                let pause_ms = task.poller.pause_ms();
                self.poll_later(node, worker, pause_ms);
            }
        }
    }

    fn start_answered(
        &mut self,
        node: usize,
        start: Start,
        send: u32,
        may_have_run: bool,
        answer: &Answer,
    ) {
        let outcome = match answer {
            Answer::Started => StartOutcome::Started,
            Answer::Refused(reason) => StartOutcome::Refused {
                reason: *reason,
                sends: if may_have_run { send } else { 1 },
            },
            Answer::OtherLife => StartOutcome::Refused {
                reason: wasabiloft::batch::scheduler::Refusal::OtherLife,
                sends: if may_have_run { send } else { 1 },
            },
            Answer::Failed { refused: true } if !may_have_run => StartOutcome::NotSent,
            _ if send < START_ATTEMPTS_MAX => {
                let may_have_run =
                    may_have_run || !matches!(answer, Answer::Failed { refused: true });
                self.send_start(node, start, send + 1, may_have_run);
                return;
            }
            _ => StartOutcome::NoAnswer,
        };
        self.start_over(node, &start, outcome);
    }

    fn commit(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        if term.in_flight.is_some() {
            return;
        }
        if now_ms < term.next_commit_ms {
            let at_ms = term.next_commit_ms;
            self.push_timer(node, at_ms, Timer::Commit);
            return;
        }
        let batch = term.scheduler.take_batch();
        term.next_commit_ms = now_ms + COMMIT_INTERVAL_MS;
        let is_due = now_ms - term.committed_ms >= RENEW_INTERVAL_MS;
        if batch.rows() == 0 && !is_due {
            if !batch.is_empty() {
                self.batch_committed(node, &batch);
            }
            return;
        }
        let transaction = Transaction {
            node,
            version: term.version,
            epoch: term.epoch,
            token: (term.epoch << 32) + now_ms + 1,
            batch,
        };
        term.in_flight = Some((transaction, now_ms));
        self.send_commit(node);
    }

    fn send_commit(&mut self, node: usize) {
        let Some(term) = &self.nodes[node].term else {
            return;
        };
        if let Some((transaction, _)) = term.in_flight.clone() {
            let call = self.call(node, None, Call::Commit, COMMIT_TIMEOUT_MS);
            self.transact(node, call, transaction);
        }
    }

    fn commit_answered(&mut self, node: usize, answer: &Answer) {
        let now_ms = self.now_ms;
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        match answer {
            Answer::Committed(version) => {
                let Some((transaction, sent_at_ms)) = term.in_flight.take() else {
                    return;
                };
                term.version = *version;
                term.committed_ms = sent_at_ms;
                term.next_commit_ms = now_ms + COMMIT_INTERVAL_MS;
                self.batch_committed(node, &transaction.batch);
                self.push_timer(node, sent_at_ms + RENEW_INTERVAL_MS, Timer::Commit);
                self.push_timer(node, now_ms + COMMIT_INTERVAL_MS, Timer::Commit);
            }
            Answer::CheckFailed => self.end_term(node, "the duty's row has changed"),
            _ => self.push_timer(node, now_ms + COMMIT_RETRY_MS, Timer::ResendCommit),
        }
    }

    fn batch_committed(&mut self, node: usize, batch: &record::WriteBatch) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        term.scheduler.batch_committed(batch);
        let since_commit_ms = now.as_ms().saturating_sub(term.committed_ms);
        let commands = term
            .fleet
            .take_committed(&mut term.scheduler, since_commit_ms, now);
        let waiting = term.polls.iter().filter(|(_, task)| task.waits_for_commit);
        let waiting: Vec<id::Worker> = waiting.map(|(worker, _)| worker.clone()).collect();
        for worker in waiting {
            self.poll_later(node, &worker, 0);
        }
        for (vm, sent) in commands {
            let Some(number) = self.vms.iter().position(|machine| machine.id == vm) else {
                continue;
            };
            let command = sent.command.clone();
            let call = Call::Command { vm, sent };
            let call = self.call(node, None, call, CLOUD_TIMEOUT_MS);
            self.call_cloud(node, call, Some((number, command)));
        }
        self.wake(node);
    }

    fn request_list(&mut self, node: usize) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        for request in &self.waves {
            let record = self.store.waves.get(&request.number);
            term.fleet.add_wave(request, record, now);
        }
        let call = Call::List { requested_at: now };
        let call = self.call(node, None, call, CLOUD_TIMEOUT_MS);
        self.call_cloud(node, call, None);
    }

    /// Passes a change of the registry to a leader.
    pub fn registry_changed(
        &mut self,
        node: usize,
        worker: &id::Worker,
        listing: Option<worker_state::Listing>,
    ) {
        let now = self.now();
        if let Some(term) = &mut self.nodes[node].term {
            term.registry
                .apply(&mut term.scheduler, worker, listing, now);
            self.wake(node);
        }
    }

    /// Passes the accepted job to a leader.
    pub fn job_known(&mut self, node: usize) {
        let now = self.now();
        let Some((job, accepted)) = self.store.accepted.first().cloned() else {
            return;
        };
        if let Some(term) = &mut self.nodes[node].term {
            term.scheduler.job_accepted(job, accepted, now);
            self.wake(node);
        }
    }

    fn follow(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let (_, holder, _) = self.nodes[node].known;
        let Some(holder) = holder.filter(|holder| *holder != node) else {
            let evidence = match holder {
                None => shell::Evidence::None,
                Some(_) => shell::Evidence::Dead,
            };
            self.read_row(node, evidence, 0);
            return;
        };
        let leader = &self.nodes[holder];
        let is_down = now_ms < leader.down_until_ms;
        let is_frozen = now_ms < leader.frozen_until_ms;
        let leads = leader.term.is_some() || leader.claims;
        let is_stale = leader
            .term
            .as_ref()
            .is_some_and(|term| now_ms.saturating_sub(term.committed_ms) >= LEADER_STALE_MS);
        let state = &mut self.nodes[node];
        if is_down {
            state.refusals += 1;
            let evidence = if state.refusals >= 2 {
                shell::Evidence::Dead
            } else {
                shell::Evidence::None
            };
            self.read_row(node, evidence, LATENCY_MS);
        } else if is_frozen {
            state.refusals = 0;
            let is_known = state
                .unresponsive_ms
                .is_some_and(|at_ms| now_ms - at_ms < HEARTBEAT_TIMEOUT_MS);
            let wait_ms = if is_known { 0 } else { HEARTBEAT_TIMEOUT_MS };
            if !is_known {
                state.unresponsive_ms = Some(now_ms + HEARTBEAT_TIMEOUT_MS);
            }
            self.read_row(node, shell::Evidence::None, wait_ms);
        } else if !leads {
            self.read_row(node, shell::Evidence::Dead, LATENCY_MS);
        } else if is_stale {
            self.read_row(node, shell::Evidence::RequestsHandover, LATENCY_MS);
        } else {
            state.refusals = 0;
            state.unresponsive_ms = None;
            self.push_timer(node, now_ms + HEARTBEAT_MS, Timer::Follow);
        }
    }

    fn read_row(&mut self, node: usize, evidence: shell::Evidence, wait_ms: u64) {
        let sent_at_ms = self.now_ms + wait_ms;
        let timer = Timer::RowRead {
            evidence,
            sent_at_ms,
        };
        self.push_timer(node, sent_at_ms + READ_MS, timer);
    }

    fn row_read(&mut self, node: usize, evidence: shell::Evidence, sent_at_ms: u64) {
        let now = self.now();
        let state = &mut self.nodes[node];
        if now.as_ms() < state.store_away_until_ms {
            state.follower = shell::Follower::default();
            self.push_timer(node, now.as_ms() + HEARTBEAT_MS, Timer::Follow);
            return;
        }
        let store = &self.store;
        let is_known = state.known.0 == store.version;
        state.known = (store.version, store.holder, store.epoch);
        let step = state.follower.check_row(
            store.version,
            evidence,
            is_known,
            Instant::from_ms(sent_at_ms),
            now,
        );
        match step {
            shell::Step::Recheck => {
                self.push_timer(node, now.as_ms() + RECHECK_MS, Timer::Follow);
            }
            shell::Step::Claim {
                previous_leader_may_act,
            } => self.claim(node, previous_leader_may_act),
        }
    }

    fn claim(&mut self, node: usize, may_act: bool) {
        let state = &mut self.nodes[node];
        state.claims = true;
        let (version, _, epoch) = state.known;
        let epoch = epoch + 1;
        let transaction = Transaction {
            node,
            version,
            epoch,
            token: (epoch << 32) + (node as u64) + self.now_ms,
            batch: record::WriteBatch::default(),
        };
        let call = self.call(node, None, Call::Claim { may_act, epoch }, CLOUD_TIMEOUT_MS);
        self.transact(node, call, transaction);
    }

    fn lead(&mut self, node: usize, may_act: bool, epoch: u64) {
        let now = self.now();
        self.note(|| format!("n{node} leads epoch={epoch}"));
        let store = &self.store;
        let recovered = RecoveredState {
            accepted: store.accepted.clone(),
            progress: store.progress.clone().into_iter().collect(),
            workers: store.workers.clone().into_iter().collect(),
            predecessor_may_act: may_act,
            ..RecoveredState::default()
        };
        let settings = Settings {
            lease_ms: LEASE_MS,
            status_ms: 120_000,
            quota_window_ms: Settings::QUOTA_WINDOW_DEFAULT_MS,
        };
        let service = queue::Service {
            enforces_capacity: true,
            spare: false,
        };
        let config = Arc::new(queue::Config {
            version: 1,
            services: [(id::Service::new(POOL), service)].into(),
            ..queue::Config::default()
        });
        let mut scheduler = Scheduler::new(settings, epoch, config, recovered, now);
        for listing in self.listings() {
            scheduler.worker_listed(listing, now);
        }
        let term = Term {
            epoch,
            scheduler,
            polls: BTreeMap::new(),
            fleet: shell::Fleet::recover(&self.store.commands, now),
            version: self.nodes[node].known.0,
            in_flight: None,
            committed_ms: now.as_ms().saturating_sub(TAKEOVER_READ_MS),
            next_commit_ms: 0,
            planned_ms: 0,
            plan_scheduled: false,
            registry: shell::Registry::default(),
        };
        self.nodes[node].claims = false;
        self.nodes[node].term = Some(term);
        self.push_timer(node, now.as_ms(), Timer::Tick);
        self.push_timer(node, now.as_ms(), Timer::Round);
        self.push_timer(node, now.as_ms() + RENEW_INTERVAL_MS, Timer::Commit);
    }
}
