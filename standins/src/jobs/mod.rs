//! A world of jobs in memory: the platform's table, workers and lists, entry nodes and holders of the jobs
//! duty, driven by a seeded clock of events.
//!
//! The decision code is the real one; what is behind it is small and can be made to fail: holders crash
//! or are paused, replies are lost, workers lie, pause and reboot. The invariants are checked as the
//! world runs.

mod baseline;
mod holder;
mod report;
mod scenario;
mod truth;
mod worker;
mod workload;

pub use holder::Protection;
pub use report::Report;
pub use scenario::{Faults, Policy, Settings, Submission};
pub use truth::Violation;
pub use workload::{Flow, Workload};

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job::{duty, intake, spec};
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
    IntakeArrives(usize, intake::Token, platform::Txn),
    IntakeSettled(usize, intake::Token, platform::Outcome),
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
    intakes: Vec<intake::Intake>,
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
                intake::Intake::new(node, "1".to_owned())
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

    fn submit(&mut self, submission: Submission) {
        let caller = self.next_caller;
        self.next_caller += 1;
        let job = submission.spec.job();
        self.truth.submitted(&job, &submission, self.now_ms);
        if self.settings.policy == Policy::FirstFit {
            self.truth.accept(&job, self.now_ms);
            self.baseline.push(job);
            return;
        }
        let node = self.rng.random_range(0..self.intakes.len());
        let now = self.now();
        let spec = submission.spec.clone();
        self.callers.insert(caller, submission);
        let outputs = self.intakes[node].submit(now.at, now.unix_ms, intake::Caller(caller), spec);
        self.intake_outputs(node, outputs);
    }

    fn cancel(&mut self, job: &id::Job) {
        let Some(stored) = self.table.get(&spec::row_key(job)) else {
            return;
        };
        let Ok(row) = serde_json::from_str::<wasabiloft::job::Row>(&stored.value) else {
            return;
        };
        let Ok(entry) = intake::owner_request(&row, &row.spec.team) else {
            return;
        };
        if matches!(entry, wasabiloft::job::inbox::Entry::Remove(_)) {
            self.truth.removed(job);
        }
        let caller = intake::Caller(u64::MAX);
        let node = self.rng.random_range(0..self.intakes.len());
        let at = self.now().at;
        let outputs = self.intakes[node].note(at, caller, entry);
        self.intake_outputs(node, outputs);
    }

    fn tick(&mut self) {
        match self.settings.policy {
            Policy::Learned => self.tick_holders(),
            Policy::FirstFit => self.tick_baseline(),
        }
        self.schedule(duty::TICK_MS, Event::Tick);
    }

    fn tick_intakes(&mut self) {
        let at = self.now().at;
        for node in 0..self.intakes.len() {
            let outputs = self.intakes[node].tick(at);
            self.intake_outputs(node, outputs);
        }
        self.schedule(duty::TICK_MS, Event::TickIntake);
    }

    fn intake_outputs(&mut self, node: usize, outputs: Vec<intake::Output>) {
        for output in outputs {
            match output {
                intake::Output::Commit { token, txn } => {
                    let delay_ms = self.store_delay_ms();
                    self.schedule(delay_ms, Event::IntakeArrives(node, token, txn));
                }
                intake::Output::Answer { caller, answer } => self.answer(caller, answer),
                // The holder finds new rows by itself; it is told only where it runs on the same node.
                intake::Output::Nudge => {
                    if let Some(holder) = self.current_holder().filter(|_| node == 0) {
                        self.input(holder, duty::Input::Nudge);
                    }
                }
            }
        }
    }

    fn answer(&mut self, caller: intake::Caller, answer: intake::Answer) {
        let Some(submission) = self.callers.remove(&caller.0) else {
            return;
        };
        let job = submission.spec.job();
        match answer {
            intake::Answer::Accepted | intake::Answer::Exists => {
                self.truth.accept(&job, self.now_ms)
            }
            intake::Answer::Refused(_) => {
                self.report.refused += 1;
                self.truth.refuse(&job);
            }
            intake::Answer::Unknown => self.report.unknown += 1,
        }
    }

    fn intake_arrives(&mut self, node: usize, token: intake::Token, txn: &platform::Txn) {
        let outcome = self.transact(txn);
        self.report.intake_txns += 1;
        let delay_ms = self.settle_delay_ms();
        self.schedule(delay_ms, Event::IntakeSettled(node, token, outcome));
    }

    /// Applies a transaction.
    fn transact(&mut self, txn: &platform::Txn) -> platform::Outcome {
        for check in &txn.checks {
            let version = self.table.get(&check.key).map_or(0, |row| row.version);
            let must_match = self.settings.protection.row_versions || check.version == 0;
            if version != check.version && must_match {
                return platform::Outcome::Refused(platform::Refused {
                    key: check.key.clone(),
                    version,
                });
            }
        }
        let versions = txn.writes.iter().map(|write| self.write(write)).collect();
        self.report.rows_written += txn.writes.len() as u64;
        platform::Outcome::Committed(platform::Committed { versions })
    }

    fn write(&mut self, write: &platform::Write) -> u64 {
        let Some(value) = &write.value else {
            self.table.remove(&write.key);
            return 0;
        };
        let version = self.next_version;
        self.next_version += 1;
        self.table.insert(
            write.key.clone(),
            platform::Row {
                key: write.key.clone(),
                version,
                value: value.clone(),
            },
        );
        version
    }

    fn store_delay_ms(&mut self) -> u64 {
        let outage_ms = self.settings.faults.outage_left_ms(self.now_ms);
        outage_ms + self.rng.random_range(2..8)
    }

    /// The reply's way back; a lost one is settled by reading, which takes longer.
    fn settle_delay_ms(&mut self) -> u64 {
        if self.rng.random_bool(self.settings.faults.lost_reply) {
            return self.rng.random_range(300..900);
        }
        self.rng.random_range(2..8)
    }

    fn take_readings(&mut self) {
        let as_of_ms = self.now_ms;
        let workers = self.workers.iter_mut();
        let usage: Vec<platform::Usage> = workers.filter_map(|one| one.reading(as_of_ms)).collect();
        self.readings.push_back(platform::UsageList {
            as_of_ms,
            workers: usage,
        });
        let vms = self.workers.iter().map(worker::Worker::listed).collect();
        self.vm_lists.push_back(platform::VmList { as_of_ms, vms });
    }

    fn read_workers(&mut self) {
        self.take_readings();
        self.report.sample(self.now_ms, &self.workers, &self.truth);
        let kept_ms = self.settings.usage_lag_ms + 2 * READING_MS;
        while self
            .readings
            .front()
            .is_some_and(|list| list.as_of_ms + kept_ms < self.now_ms)
        {
            self.readings.pop_front();
            self.vm_lists.pop_front();
        }
        self.schedule(READING_MS, Event::Read);
    }

    /// Gives the holders the newest lists that are old enough.
    fn deliver_lists(&mut self) {
        for holder in 0..self.holders.len() {
            self.deliver_to(holder);
        }
        self.schedule(READING_MS, Event::Deliver);
    }

    fn deliver_to(&mut self, holder: usize) {
        let lag_ms = self.settings.usage_lag_ms;
        let old = |as_of_ms: u64| as_of_ms + lag_ms <= self.now_ms;
        let vms = self.vm_lists.iter().rev().find(|list| old(list.as_of_ms));
        let vms = vms.or(self.vm_lists.front()).cloned();
        let usage = self.readings.iter().rev().find(|list| old(list.as_of_ms));
        let usage = usage.or(self.readings.front()).cloned();
        if let Some(list) = vms {
            self.input(holder, duty::Input::Vms(&list));
        }
        if let Some(mut list) = usage {
            list.as_of_ms = self.now_ms;
            self.input(holder, duty::Input::Usage(&list));
        }
    }
}
