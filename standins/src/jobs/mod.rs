//! A world of jobs in memory: the platform's table, workers and lists, entry nodes and holders of the jobs
//! duty, driven by a seeded clock of events.
//!
//! The decision code is the real one; what is behind it is small and can be made to fail: holders crash
//! or are paused, replies are lost, workers lie, pause and reboot. The invariants are checked as the
//! world runs.

mod baseline;
mod callers;
mod calls;
mod holder;
mod lists;
mod report;
mod scenario;
mod table;
mod truth;
mod upkeep;
mod worker;
mod workload;

pub use holder::Protection;
pub use report::Report;
pub use scenario::{Faults, Policy, Settings, Submission};
pub use truth::Violation;
pub use workload::{Flow, Workload};

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job::{duty, spec, submission};
use wasabiloft::platform;

/// Interval at which readings of the workers are taken, in milliseconds.
const READING_MS: u64 = 5 * clock::SECOND_MS;
/// Wall-clock time at the world's start, in milliseconds since 1970.
const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;

/// Something that happens at a moment.
#[derive(Clone, Debug)]
enum Event {
    Submit(Box<Submission>),
    Cancel(id::Job),
    Tick,
    TickIntake,
    Read,
    Deliver,
    ReadArrives(usize, Box<duty::Output>),
    CallArrives(usize, duty::Call),
    ReplyArrives(usize, duty::Reply),
    TxnArrives(usize, duty::Token, platform::Txn),
    TxnSettled(usize, duty::Token, platform::Outcome),
    IntakeArrives(usize, submission::Token, platform::Txn),
    IntakeSettled(usize, submission::Token, platform::Outcome),
    Worker(usize, u64),
    CheckpointDone(usize, usize, duty::Call),
    Crash,
    Pause(u64),
    TakeOver,
    PauseWorker(usize, u64),
    Reboot(usize),
    RebootDone(usize),
    Vacate(usize),
    Release(usize),
}

/// The world.
pub struct World {
    settings: Settings,
    rng: SmallRng,
    now_ms: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: slab::Slab<Event>,
    table: BTreeMap<id::Key, platform::Row>,
    next_version: u64,
    workers: Vec<worker::Worker>,
    worker_index: BTreeMap<id::Vm, usize>,
    holders: Vec<holder::Holder>,
    intakes: Vec<submission::Batcher>,
    callers: BTreeMap<u64, Submission>,
    next_caller: u64,
    readings: VecDeque<platform::UsageList>,
    vm_lists: VecDeque<platform::VmList>,
    documents: Vec<document::Document>,
    truth: truth::Truth,
    report: Report,
    baseline: baseline::FirstFit,
    epoch: u64,
}

impl World {
    /// Makes a world of empty workers.
    pub fn new(settings: Settings) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        let workers: Vec<worker::Worker> = (0..settings.workers)
            .map(|index| worker::Worker::new(index, &settings))
            .collect();
        let worker_index = workers
            .iter()
            .enumerate()
            .map(|(index, worker)| (worker.vm.clone(), index))
            .collect();
        let intakes = (0..settings.entry_nodes)
            .map(|index| {
                let node = id::Node::from(format!("entry-{index}"));
                submission::Batcher::new(node, "1".to_owned())
            })
            .collect();
        let documents = settings.documents();
        let mut world = Self {
            settings,
            rng,
            now_ms: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            bodies: slab::Slab::new(),
            table: BTreeMap::new(),
            next_version: 1,
            workers,
            worker_index,
            holders: Vec::new(),
            intakes,
            callers: BTreeMap::new(),
            next_caller: 0,
            readings: VecDeque::new(),
            vm_lists: VecDeque::new(),
            documents,
            truth: truth::Truth::default(),
            report: Report::default(),
            baseline: baseline::FirstFit::default(),
            epoch: 0,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        self.take_readings();
        self.schedule(0, Event::TakeOver);
        self.schedule(0, Event::Tick);
        self.schedule(0, Event::TickIntake);
        self.schedule(0, Event::Deliver);
        self.schedule(READING_MS, Event::Read);
        for (at_ms, event) in self.settings.faults.events(&mut self.rng, &self.settings) {
            self.schedule(at_ms, event);
        }
    }

    /// Submits a job at a moment, in milliseconds from the world's start.
    pub fn submit_at(&mut self, at_ms: u64, submission: Submission) {
        self.schedule_at(at_ms, Event::Submit(Box::new(submission)));
    }

    /// Cancels a job at a moment.
    pub fn cancel_at(&mut self, at_ms: u64, job: &id::Job) {
        self.schedule_at(at_ms, Event::Cancel(job.clone()));
    }

    /// Has a worker vacated for maintenance, rebooted once it is empty, and released.
    pub fn maintain_at(&mut self, at_ms: u64, worker: usize) {
        self.schedule_at(at_ms, Event::Vacate(worker));
    }

    /// Runs until a moment and checks the invariants on the way.
    ///
    /// # Errors
    ///
    /// The first invariant that does not hold.
    pub fn run_until(&mut self, until_ms: u64) -> Result<(), Violation> {
        while let Some(Reverse((at_ms, _, body))) = self.events.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.events.pop();
            self.now_ms = at_ms;
            let event = self.bodies.remove(body);
            self.step(event);
            if let Some(violation) = self.truth.violation() {
                return Err(violation);
            }
        }
        self.now_ms = until_ms;
        self.check_rows()
    }

    /// Has the fleet's use sampled only from a moment on.
    pub fn sample_from(&mut self, from_ms: u64) {
        self.report.sample_from(from_ms);
    }

    /// The measurements so far.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.close(self.now_ms, &self.truth);
        report
    }

    /// The number of jobs in each state, by the table's rows.
    pub fn states(&self) -> BTreeMap<String, u64> {
        let mut states = BTreeMap::new();
        for (_, row) in self.job_rows() {
            let name = format!("{}/{}", row.state.name(), row.reason());
            *states.entry(name).or_insert(0) += 1;
        }
        states
    }

    /// The rows of all jobs.
    pub fn job_rows(&self) -> impl Iterator<Item = (id::Job, wasabiloft::job::Row)> {
        self.table.values().filter_map(|stored| {
            let job = spec::job_of_key(&stored.key)?;
            let row = serde_json::from_str(&stored.value).ok()?;
            Some((job, row))
        })
    }

    /// Checks that no accepted job has vanished.
    fn check_rows(&self) -> Result<(), Violation> {
        if self.settings.policy == Policy::FirstFit {
            return Ok(());
        }
        for job in self.truth.accepted() {
            if !self.table.contains_key(&spec::row_key(job)) {
                return Err(Violation::Vanished { job: job.clone() });
            }
        }
        for job in self.truth.refused() {
            if self.table.contains_key(&spec::row_key(job)) {
                return Err(Violation::RefusedButStored { job: job.clone() });
            }
        }
        Ok(())
    }

    fn now(&self) -> duty::Now {
        duty::Now {
            at: clock::Instant::from_ms(self.now_ms),
            unix_ms: EPOCH_UNIX_MS + self.now_ms,
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + after_ms, event);
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        let body = self.bodies.insert(event);
        self.events.push(Reverse((at_ms, self.sequence, body)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Submit(submission) => self.submit(*submission),
            Event::Cancel(job) => self.cancel(&job),
            Event::Tick => self.tick(),
            Event::TickIntake => self.tick_intakes(),
            Event::Read => self.read_workers(),
            Event::Deliver => self.deliver_lists(),
            Event::ReadArrives(holder, output) => self.read_arrives(holder, &output),
            Event::CallArrives(holder, call) => self.call_arrives(holder, call),
            Event::ReplyArrives(holder, reply) => {
                self.input(holder, duty::Input::Replied(&reply));
            }
            Event::TxnArrives(holder, token, txn) => self.txn_arrives(holder, token, &txn),
            Event::TxnSettled(holder, token, outcome) => {
                let outcome = &outcome;
                self.input(holder, duty::Input::Settled { token, outcome });
            }
            Event::IntakeArrives(node, token, txn) => self.intake_arrives(node, token, &txn),
            Event::IntakeSettled(node, token, outcome) => {
                let at = self.now().at;
                let outputs = self.intakes[node].settled(at, token, &outcome);
                self.intake_outputs(node, outputs);
            }
            Event::Worker(worker, stamp) => self.worker_due(worker, stamp),
            Event::CheckpointDone(holder, worker, call) => {
                self.checkpoint_done(holder, worker, call);
            }
            Event::Crash => self.crash(),
            Event::Pause(length_ms) => self.pause_holder(length_ms),
            Event::TakeOver => self.take_over(),
            Event::PauseWorker(worker, length_ms) => self.pause_worker(worker, length_ms),
            Event::Reboot(worker) => self.reboot(worker),
            Event::RebootDone(worker) => self.reboot_done(worker),
            Event::Vacate(worker) => self.vacate(worker),
            Event::Release(worker) => self.release(worker),
        }
    }

    fn tick(&mut self) {
        match self.settings.policy {
            Policy::Learned => self.tick_holders(),
            Policy::FirstFit => self.tick_baseline(),
        }
        self.schedule(duty::TICK_MS, Event::Tick);
    }
}
