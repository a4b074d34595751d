//! A seeded world for idempotency keys: nodes, a lossy network, a table with outages, callers that repeat.
//!
//! The invariants are asserted inside: no key runs twice, and no attempt that follows a run is told that its
//! key did not run.

use std::cmp;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::idempotency;
use wasabiloft::idempotency::message;
use wasabiloft::idempotency::message::Input;
use wasabiloft::idempotency::message::Output;
use wasabiloft::idempotency::node;
use wasabiloft::platform;
use wasabiloft::roster;
use wasabiloft::verdict;

/// Time between two ticks of a node, in milliseconds.
const TICK_MS: u64 = 20;
/// How long a caller waits for an answer, in milliseconds.
const CALL_DEADLINE_MS: u64 = 3_000;
/// How long a request runs at an endpoint, at most, in milliseconds.
const RUN_MS: u64 = 400;
/// How long the roster needs to show that a node is gone, in milliseconds.
const ROSTER_LAG_MS: u64 = 1_500;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entry VMs.
    pub nodes: usize,
    /// Length of the part with faults, in milliseconds; as much again without faults follows.
    pub faulty_ms: u64,
    /// First attempts a second.
    pub keys_per_s: u64,
    /// Chance that a key is sent again, per attempt.
    pub repeat: f64,
    /// Chance that a message is lost.
    pub loss: f64,
    /// Chance that a message is delivered twice.
    pub duplicate: f64,
    /// Chance that a transaction's reply is lost; half of those transactions happened.
    pub reply_loss: f64,
    /// Mean time between kills of a node, in milliseconds; 0 for none.
    pub kill_every_ms: u64,
    /// Mean time between pauses of a node, in milliseconds; 0 for none.
    pub pause_every_ms: u64,
    /// Outages of the table, as start and end in milliseconds.
    pub outages: Vec<(u64, u64)>,
    /// Nodes, by position, that alone can't reach the table during the outages; empty for all.
    pub cut_nodes: Vec<usize>,
    /// Nodes, by position, that during the outages reach neither the table nor the other nodes.
    pub isolated_nodes: Vec<usize>,
    /// The settings of every node.
    pub settings: idempotency::Settings,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// First attempts and repeats sent.
    pub attempts: u64,
    /// Attempts that ran.
    pub runs: u64,
    /// First attempts among `attempts`.
    pub first: u64,
    /// First attempts that were allowed to run.
    pub first_ran: u64,
    /// First attempts that arrived in an outage.
    pub outage_first: u64,
    /// First attempts that arrived in an outage and ran.
    pub outage_first_ran: u64,
    /// Repeats that got the first answer again.
    pub replays: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Transactions that reached the table.
    pub transactions: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Reads of the table.
    pub reads: u64,
    /// Messages between nodes.
    pub messages: u64,
    /// Changes of the view.
    pub view_changes: u64,
    /// Shards in doubt at the end.
    pub doubtful: u64,
    /// Wait from arrival to leave to run, in milliseconds, sorted.
    pub grant_wait_ms: Vec<u64>,
    /// Invariants that were broken.
    pub violations: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Message(roster::NodeId, roster::NodeId, Vec<u8>),
    Apply(roster::NodeId, u64, Vec<u8>),
    Outcome(roster::NodeId, u64, Vec<u8>),
    Read(roster::NodeId, u64),
    RunEnds(roster::NodeId, u64),
    Call(u64, u64),
    Roster,
    Kill,
    Pause,
    Resume(usize),
    Start(usize),
}

#[derive(Debug)]
struct Process {
    member: roster::NodeId,
    once: node::Node,
    paused: bool,
    dead: bool,
    inbox: Vec<Input>,
}

#[derive(Clone, Debug)]
struct Call {
    key: u64,
    first: bool,
    at_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct KeyTruth {
    runs: u64,
    answer: Option<String>,
    may_have_run: bool,
}

/// The world.
pub struct World {
    plan: Plan,
    rng: rngs::SmallRng,
    now_ms: u64,
    events: BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    sequence: u64,
    processes: Vec<Process>,
    incarnations: u64,
    table: BTreeMap<id::Key, platform::Row>,
    versions: u64,
    replies: BTreeMap<u64, Output>,
    calls: BTreeMap<u64, Call>,
    ends: BTreeMap<u64, message::End>,
    truth: BTreeMap<u64, KeyTruth>,
    next_call: u64,
    report: Report,
}

/// Runs a plan with a seed.
pub fn run(plan: Plan, seed: u64) -> Report {
    let mut world = World::new(plan, seed);
    world.run();
    world.report.grant_wait_ms.sort_unstable();
    world.report
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut world = Self {
            rng: rngs::SmallRng::seed_from_u64(seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            processes: Vec::new(),
            incarnations: 0,
            table: BTreeMap::new(),
            versions: 0,
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            ends: BTreeMap::new(),
            truth: BTreeMap::new(),
            next_call: 0,
            report: Report::default(),
            plan,
        };
        for at in 0..world.plan.nodes {
            let process = world.process(at);
            world.processes.push(process);
            world.push(at as u64, Event::Tick(at));
        }
        world.push(1, Event::Roster);
        world.schedule_calls();
        world.schedule_faults();
        world.schedule_partitions();
        world
    }

    fn process(&mut self, at: usize) -> Process {
        self.incarnations += 1;
        let member = roster::NodeId {
            node: id::Node::from(format!("entry-{at}")),
            incarnation: roster::Incarnation(self.incarnations),
        };
        Process {
            once: node::Node::new(member.clone(), self.plan.settings.clone()),
            member,
            paused: false,
            dead: false,
            inbox: Vec::new(),
        }
    }

    fn schedule_calls(&mut self) {
        let end_ms = 2 * self.plan.faulty_ms;
        let gap_ms = 1_000 / self.plan.keys_per_s.max(1);
        let mut key = 0;
        let mut at_ms = 2_000;
        while at_ms < end_ms {
            self.push(at_ms, Event::Call(key, 0));
            key += 1;
            at_ms += self.rng.random_range(0..=2 * gap_ms);
        }
    }

    fn schedule_faults(&mut self) {
        for (every_ms, event) in [
            (self.plan.kill_every_ms, Event::Kill),
            (self.plan.pause_every_ms, Event::Pause),
        ] {
            let mut at_ms = 2_000;
            while every_ms > 0 && at_ms < self.plan.faulty_ms {
                at_ms += self.rng.random_range(0..=2 * every_ms);
                self.push(at_ms, event.clone());
            }
        }
    }

    fn schedule_partitions(&mut self) {
        if self.plan.isolated_nodes.is_empty() {
            return;
        }
        for (from_ms, to_ms) in self.plan.outages.clone() {
            self.push(from_ms + ROSTER_LAG_MS, Event::Roster);
            self.push(to_ms + ROSTER_LAG_MS, Event::Roster);
        }
    }

    fn run(&mut self) {
        let end_ms = 2 * self.plan.faulty_ms + 2 * CALL_DEADLINE_MS;
        while let Some(cmp::Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.step(event);
        }
        let views = self
            .processes
            .iter()
            .filter_map(|process| process.once.view());
        if let Some(view) = views.max_by_key(|view| view.number) {
            self.report.view_changes = view.number;
            self.report.doubtful = view.suspect.len() as u64;
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(at) => {
                self.push(self.now_ms + TICK_MS, Event::Tick(at));
                if !self.processes[at].paused && !self.processes[at].dead {
                    self.input(at, Input::Tick);
                }
            }
            Event::Message(from, to, bytes) => {
                if let Ok(message) = serde_json::from_slice(&bytes) {
                    self.input_to(&to, Input::Peer { from, message });
                }
            }
            Event::Apply(member, token, bytes) => self.apply(member, token, &bytes),
            Event::Outcome(member, token, bytes) => {
                let outcome = decode_outcome(&bytes);
                self.input_to(&member, Input::Outcome { token, outcome });
            }
            Event::Read(member, number) => self.reply_read(&member, number),
            Event::RunEnds(member, number) => self.run_ends(&member, number),
            Event::Call(key, repeats) => self.call(key, repeats),
            Event::Roster => self.roster(),
            Event::Kill => self.kill(),
            Event::Pause => self.pause(),
            Event::Resume(at) => self.resume(at),
            Event::Start(at) => self.start(at),
        }
    }

    fn call(&mut self, key: u64, repeats: u64) {
        let at = self.rng.random_range(0..self.processes.len());
        let usable = !self.processes[at].dead && self.processes[at].once.is_ready();
        if !usable {
            self.push(self.now_ms + 100, Event::Call(key, repeats));
            return;
        }
        let number = self.next_call;
        self.next_call += 1;
        let first = repeats == 0;
        self.report.attempts += 1;
        self.report.first += u64::from(first);
        self.report.outage_first += u64::from(first && self.in_outage(at, 0));
        self.calls.insert(
            number,
            Call {
                key,
                first,
                at_ms: self.now_ms,
            },
        );
        if repeats < 4 && self.rng.random_bool(self.plan.repeat) {
            let wait_ms = *[5, 300, 3_000, 20_000]
                .get(self.rng.random_range(0..4))
                .unwrap_or(&5);
            let at_ms = self.now_ms + self.rng.random_range(0..=wait_ms);
            self.push(at_ms, Event::Call(key, repeats + 1));
        }
        let input = Input::Request {
            number,
            key: message::Key {
                service: "reservations".into(),
                text: format!("k{key}").as_str().into(),
            },
            fingerprint: key,
            deadline: clock::Instant::from_ms(self.now_ms + CALL_DEADLINE_MS),
        };
        self.input(at, input);
    }

    fn input_to(&mut self, member: &roster::NodeId, input: Input) {
        let found = self
            .processes
            .iter()
            .position(|process| process.member == *member && !process.dead);
        if let Some(at) = found {
            self.input(at, input);
        }
    }

    fn input(&mut self, at: usize, input: Input) {
        if self.processes[at].paused {
            self.processes[at].inbox.push(input);
            return;
        }
        let now = clock::Instant::from_ms(self.now_ms);
        let outputs = self.processes[at].once.handle(now, input);
        let member = self.processes[at].member.clone();
        for output in outputs {
            self.output(at, &member, output);
        }
    }

    fn output(&mut self, at: usize, member: &roster::NodeId, output: Output) {
        match output {
            Output::Send { to, message } => self.send(member, to, &message),
            Output::Transact { token, txn } => {
                let at_ms = self.now_ms + self.rng.random_range(3..20);
                let bytes = serde_json::to_vec(&txn).unwrap_or_default();
                self.push(at_ms, Event::Apply(member.clone(), token, bytes));
            }
            Output::ReadRow { .. } | Output::Scan { .. } => {
                if self.in_outage(at, 0) {
                    return;
                }
                self.report.reads += 1;
                self.sequence += 1;
                self.replies.insert(self.sequence, output);
                let at_ms = self.now_ms + self.rng.random_range(3..20);
                self.push(at_ms, Event::Read(member.clone(), self.sequence));
            }
            Output::Decide { number, decision } => self.decide(member, number, decision),
        }
    }

    fn send(&mut self, from: &roster::NodeId, to: roster::NodeId, message: &message::Message) {
        self.report.messages += 1;
        let bytes = serde_json::to_vec(message).unwrap_or_default();
        if self.is_isolated(from) != self.is_isolated(&to) {
            return;
        }
        let faulty = self.now_ms < self.plan.faulty_ms;
        if faulty && self.rng.random_bool(self.plan.loss) {
            return;
        }
        let mut copies = 1;
        if faulty && self.rng.random_bool(self.plan.duplicate) {
            copies = 2;
        }
        for _ in 0..copies {
            let late = faulty && self.rng.random_bool(0.02);
            let most_ms = if late { 1_500 } else { 6 };
            let at_ms = self.now_ms + self.rng.random_range(1..most_ms);
            let event = Event::Message(from.clone(), to.clone(), bytes.clone());
            self.push(at_ms, event);
        }
    }

    fn apply(&mut self, member: roster::NodeId, token: u64, bytes: &[u8]) {
        let at = self
            .processes
            .iter()
            .position(|process| process.member == member);
        if at.is_some_and(|at| self.in_outage(at, 0)) {
            // The journal keeps the transaction until the table is back.
            self.push(
                self.now_ms + 100,
                Event::Apply(member, token, bytes.to_vec()),
            );
            return;
        }
        let Ok(txn) = serde_json::from_slice::<platform::Txn>(bytes) else {
            return;
        };
        let faulty = self.now_ms < self.plan.faulty_ms;
        let lost = faulty && self.rng.random_bool(self.plan.reply_loss);
        let outcome = if lost && self.rng.random_bool(0.5) {
            platform::Outcome::Unknown
        } else {
            let outcome = self.transact(&txn);
            if lost {
                platform::Outcome::Unknown
            } else {
                outcome
            }
        };
        let at_ms = self.now_ms + self.rng.random_range(3..20);
        let bytes = encode_outcome(&outcome);
        self.push(at_ms, Event::Outcome(member, token, bytes));
    }

    fn transact(&mut self, txn: &platform::Txn) -> platform::Outcome {
        self.report.transactions += 1;
        assert!(txn.checks.len() + txn.writes.len() <= platform::TXN_ROWS_MAX);
        for check in &txn.checks {
            let version = self.table.get(&check.key).map_or(0, |row| row.version);
            if version != check.version {
                return platform::Outcome::Refused(platform::Refused {
                    key: check.key.clone(),
                    version,
                });
            }
        }
        let mut versions = Vec::new();
        for write in &txn.writes {
            self.report.rows_written += 1;
            self.versions += 1;
            let Some(value) = &write.value else {
                self.table.remove(&write.key);
                versions.push(0);
                continue;
            };
            versions.push(self.versions);
            let row = platform::Row {
                key: write.key.clone(),
                version: self.versions,
                value: value.clone(),
            };
            self.table.insert(write.key.clone(), row);
        }
        platform::Outcome::Committed(platform::Committed { versions })
    }

    fn reply_read(&mut self, member: &roster::NodeId, number: u64) {
        let input = match self.replies.remove(&number) {
            Some(Output::ReadRow { key }) => Input::Row {
                row: self.table.get(&key).cloned(),
                key,
            },
            Some(Output::Scan {
                view,
                prefix,
                after,
                limit,
            }) => {
                let rows = self
                    .table
                    .values()
                    .filter(|row| row.key.as_str().starts_with(&prefix))
                    .filter(|row| after.as_ref().is_none_or(|after| row.key > *after))
                    .take(limit)
                    .cloned()
                    .collect();
                Input::Rows {
                    view,
                    prefix,
                    after,
                    rows,
                }
            }
            _ => return,
        };
        self.input_to(member, input);
    }

    fn decide(&mut self, member: &roster::NodeId, number: u64, decision: message::Decision) {
        let Some(call) = self.calls.get(&number).cloned() else {
            return;
        };
        match decision {
            message::Decision::Run => self.start_run(member, number, &call),
            message::Decision::Replay(answer) => {
                self.report.replays += 1;
                let truth = self.truth.entry(call.key).or_default();
                if truth.answer.as_deref() != Some(answer.body.as_str()) {
                    self.violate(format!("k{} got an answer of another run", call.key));
                }
            }
            message::Decision::Refuse(verdict, reason) => {
                *self.report.refusals.entry(reason.to_string()).or_default() += 1;
                let truth = self.truth.entry(call.key).or_default();
                let wrong = match verdict {
                    verdict::Verdict::Ran => truth.runs == 0,
                    verdict::Verdict::NotRun => truth.runs > 0 || truth.may_have_run,
                    verdict::Verdict::MayHaveRun => false,
                };
                if wrong {
                    self.violate(format!("k{} was told {verdict}", call.key));
                }
            }
        }
    }

    fn start_run(&mut self, member: &roster::NodeId, number: u64, call: &Call) {
        self.report.grant_wait_ms.push(self.now_ms - call.at_ms);
        let end = match self.rng.random_range(0..10) {
            0 => message::End::NotRun,
            1 => message::End::MayHaveRun,
            _ => message::End::Ran(Some(message::Answer {
                status: 201,
                content_type: None,
                body: format!("answer {number}"),
            })),
        };
        let truth = self.truth.entry(call.key).or_default();
        let runs = match &end {
            message::End::NotRun => false,
            message::End::MayHaveRun => {
                truth.may_have_run = true;
                self.rng.random_bool(0.5)
            }
            message::End::Ran(answer) => {
                truth.answer = answer.as_ref().map(|answer| answer.body.clone());
                true
            }
        };
        truth.runs += u64::from(runs);
        let twice = truth.runs > 1;
        let false_refusal = end == message::End::NotRun && (truth.runs > 0 || truth.may_have_run);
        if twice {
            self.violate(format!("k{} ran twice", call.key));
        }
        if false_refusal {
            self.violate(format!("k{} was told not-run after a run", call.key));
        }
        self.report.runs += u64::from(runs);
        self.report.first_ran += u64::from(call.first);
        let in_outage = self
            .processes
            .iter()
            .position(|process| process.member == *member)
            .is_some_and(|at| self.in_outage(at, self.now_ms - call.at_ms));
        self.report.outage_first_ran += u64::from(call.first && in_outage);
        self.ends.insert(number, end);
        let at_ms = self.now_ms + self.rng.random_range(1..=RUN_MS);
        self.push(at_ms, Event::RunEnds(member.clone(), number));
    }

    fn run_ends(&mut self, member: &roster::NodeId, number: u64) {
        if let Some(end) = self.ends.remove(&number) {
            self.input_to(member, Input::End { number, end });
        }
    }

    fn kill(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        if self.processes[at].dead {
            return;
        }
        self.processes[at].dead = true;
        let after_ms = self.rng.random_range(100..5_000);
        self.push(self.now_ms + after_ms, Event::Start(at));
        self.plan_roster();
    }

    fn start(&mut self, at: usize) {
        self.processes[at] = self.process(at);
        self.plan_roster();
    }

    fn pause(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        if self.processes[at].paused || self.processes[at].dead {
            return;
        }
        self.processes[at].paused = true;
        let after_ms = self.rng.random_range(100..8_000);
        self.push(self.now_ms + after_ms, Event::Resume(at));
        self.plan_roster();
    }

    fn resume(&mut self, at: usize) {
        self.processes[at].paused = false;
        if self.processes[at].dead {
            return;
        }
        for input in std::mem::take(&mut self.processes[at].inbox) {
            self.input(at, input);
        }
        self.plan_roster();
    }

    /// The roster follows what is alive, later; it can't while the table is out.
    fn plan_roster(&mut self) {
        let at_ms = self.now_ms + self.rng.random_range(ROSTER_LAG_MS / 3..ROSTER_LAG_MS);
        self.push(at_ms, Event::Roster);
    }

    fn roster(&mut self) {
        let roster = self.members();
        if roster.is_empty() || (self.all_cut() && self.in_outage(0, 0)) {
            self.push(self.now_ms + 100, Event::Roster);
            return;
        }
        for at in 0..self.processes.len() {
            let cut_off = self.plan.isolated_nodes.contains(&at) && self.in_outage(at, 0);
            if !self.processes[at].dead && !cut_off {
                self.input(at, Input::Roster(roster.clone()));
            }
        }
    }

    fn members(&self) -> Vec<roster::NodeId> {
        self.processes
            .iter()
            .filter(|process| !process.dead && !process.paused)
            .filter(|process| !self.is_isolated(&process.member))
            .map(|process| process.member.clone())
            .collect()
    }

    fn in_outage(&self, at: usize, since_ms: u64) -> bool {
        let affected = self.all_cut()
            || self.plan.cut_nodes.contains(&at)
            || self.plan.isolated_nodes.contains(&at);
        let moment_ms = self.now_ms - since_ms;
        let out = |(from_ms, to_ms): &(u64, u64)| (*from_ms..*to_ms).contains(&moment_ms);
        affected && self.plan.outages.iter().any(out)
    }

    fn all_cut(&self) -> bool {
        self.plan.cut_nodes.is_empty() && self.plan.isolated_nodes.is_empty()
    }

    fn is_isolated(&self, member: &roster::NodeId) -> bool {
        let at = self
            .processes
            .iter()
            .position(|process| process.member == *member);
        at.is_some_and(|at| self.plan.isolated_nodes.contains(&at) && self.in_outage(at, 0))
    }

    fn violate(&mut self, what: String) {
        let text = format!("{} ms: {what}", self.now_ms);
        self.report.violations.push(text);
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(cmp::Reverse((at_ms, self.sequence, event)));
    }
}

fn encode_outcome(outcome: &platform::Outcome) -> Vec<u8> {
    let encoded = match outcome {
        platform::Outcome::Committed(committed) => {
            serde_json::to_vec(&(Some(committed), None::<()>))
        }
        platform::Outcome::Refused(refused) => serde_json::to_vec(&(None::<()>, Some(refused))),
        platform::Outcome::Unknown => serde_json::to_vec(&(None::<()>, None::<()>)),
    };
    encoded.unwrap_or_default()
}

fn decode_outcome(bytes: &[u8]) -> platform::Outcome {
    let decoded: Result<(Option<platform::Committed>, Option<platform::Refused>), _> =
        serde_json::from_slice(bytes);
    match decoded {
        Ok((Some(committed), _)) => platform::Outcome::Committed(committed),
        Ok((None, Some(refused))) => platform::Outcome::Refused(refused),
        Ok((None, None)) | Err(_) => platform::Outcome::Unknown,
    }
}
