//! The jobs duty: the state machine of the node that holds its lease.
//!
//! The holder keeps every job's row in memory, decides which worker takes it, commits the decision and only
//! then calls the worker. It is built anew from the rows by each holder; whatever a predecessor had
//! committed but not done is done again under the same operation.

mod calls;
mod commit;
mod entry;
mod live;
mod load;
mod message;
mod parking;
mod queue;
mod round;
mod sweep;
mod usage;
mod vacate;

pub use message::{
    Action, Call, CallResult, ESTIMATES_KEY, Event, Input, Now, Output, Reply, Token,
};

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::{inbox, intake, row};
use crate::placement;
use crate::platform;
use crate::quarantine;
use crate::quota;

new_key_type! {
    /// A job in the duty's memory.
    struct JobKey;
}

/// Interval of [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 50;
/// Length of a task's lease, in milliseconds.
pub const TASK_LEASE_MS: u64 = 40 * clock::SECOND_MS;
/// Interval of a worker's lease renewals, in milliseconds.
pub const RENEW_MS: u64 = 10 * clock::SECOND_MS;
/// The longest that a call to a worker may be on its way, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2 * clock::SECOND_MS;
/// Margin after a task's whole lease for clocks that run at different speeds, in milliseconds.
pub const LEASE_MARGIN_MS: u64 = 5 * clock::SECOND_MS;

/// What a holder is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The duty's name.
    pub duty: id::Duty,
    /// The epoch of its lease.
    pub epoch: u64,
    /// Thousandths of each worker that are kept for the runner of its pool's service.
    pub runner_reserve_permille: u64,
}

/// What is known of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VmStatus {
    state: platform::VmState,
    boots: u64,
}

/// The connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Link {
    renew_at: clock::Instant,
    alive_at: clock::Instant,
    as_of_ms: u64,
    silent: bool,
    /// The worker had no room for a start, and is not asked again before this moment.
    full_until: clock::Instant,
    /// Tasks that were gone soon after their start and whose results are not known yet.
    early_ends: u32,
}

/// A VM that is being vacated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Vacating {
    since: clock::Instant,
    reported: bool,
    /// True if it is vacated because the platform lists it as leaving.
    listed: bool,
}

/// The state of the jobs duty.
#[derive(Debug)]
pub struct Duty {
    settings: Settings,
    now: Now,
    jobs: SlotMap<JobKey, entry::Job>,
    by_id: HashMap<id::Job, JobKey>,
    by_task: HashMap<id::Task, JobKey>,
    crews: HashMap<quota::AccountIndex, live::Crew>,
    queue: queue::Queue,
    fleet: placement::Fleet,
    book: estimate::Estimates,
    ledger: quota::Accounts,
    records: quarantine::Records,
    vms: HashMap<id::Vm, VmStatus>,
    vms_as_of_ms: u64,
    links: HashMap<placement::WorkerKey, Link>,
    vacating: BTreeMap<id::Vm, Vacating>,
    inbox: BTreeMap<id::Key, Vec<inbox::Entry>>,
    inbox_done: BTreeSet<id::Key>,
    cancels: BTreeSet<JobKey>,
    removals: BTreeSet<JobKey>,
    reservations: Vec<JobKey>,
    orphans: HashMap<id::Task, clock::Instant>,
    pipeline: commit::Pipeline,
    load: load::Load,
    platform_ms: u64,
    has_quotas: bool,
    has_usage: bool,
    round_due: bool,
    round_at: clock::Instant,
    sweep_at: clock::Instant,
    inbox_at: clock::Instant,
    urgent_at: clock::Instant,
    parking_at: clock::Instant,
    outputs: Vec<Output>,
}

impl Duty {
    /// Makes a holder that knows nothing yet; its outputs ask for the rows.
    pub fn new(settings: Settings, now: Now) -> (Self, Vec<Output>) {
        let fleet = placement::Fleet::new(settings.runner_reserve_permille);
        let duty = Self {
            settings,
            now,
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_task: HashMap::new(),
            crews: HashMap::new(),
            queue: queue::Queue::default(),
            fleet,
            book: estimate::Estimates::default(),
            ledger: quota::Accounts::default(),
            records: quarantine::Records::default(),
            vms: HashMap::new(),
            vms_as_of_ms: 0,
            links: HashMap::new(),
            vacating: BTreeMap::new(),
            inbox: BTreeMap::new(),
            inbox_done: BTreeSet::new(),
            cancels: BTreeSet::new(),
            removals: BTreeSet::new(),
            reservations: Vec::new(),
            orphans: HashMap::new(),
            pipeline: commit::Pipeline::default(),
            load: load::Load::default(),
            platform_ms: 0,
            has_quotas: false,
            has_usage: false,
            round_due: false,
            round_at: now.at,
            sweep_at: now.at,
            inbox_at: now.at,
            urgent_at: now.at,
            parking_at: now.at,
            outputs: Vec::new(),
        };
        let outputs = vec![Output::ReadEstimates, Output::Load { after: None }];
        (duty, outputs)
    }

    /// Takes one input and returns what is to be done.
    pub fn handle(&mut self, now: Now, input: Input<'_>) -> Vec<Output> {
        self.now = now;
        match input {
            Input::Loaded { rows, last } => self.loaded(rows, last),
            Input::Estimates(row) => self.take_estimates(row),
            Input::Inbox(rows) => self.read_inbox(rows),
            Input::Read { rows, absent } => self.read_jobs(rows, absent),
            Input::Settled { token, outcome } => self.settled(token, outcome),
            Input::Vms(list) => self.take_vms(list),
            Input::Usage(list) => self.take_usage(list),
            Input::Documents(documents) => {
                self.ledger.set_documents(documents);
                self.has_quotas = true;
                self.parking_at = now.at;
                self.round_due = true;
            }
            Input::Replied(reply) => self.take_reply(reply),
            Input::Vacate(vm) => self.vacate(vm),
            Input::Release(vm) => self.release(vm),
            Input::Nudge => self.outputs.push(Output::ReadInbox),
            Input::Tick => {}
        }
        if self.load.is_done() {
            self.advance();
        }
        std::mem::take(&mut self.outputs)
    }

    /// The rows of all jobs, by job.
    pub fn rows(&self) -> impl Iterator<Item = (&id::Job, &row::Row)> {
        self.jobs.values().map(|job| (&job.id, &job.row))
    }

    /// The fleet as the holder sees it.
    pub fn fleet(&self) -> &placement::Fleet {
        &self.fleet
    }

    /// The teams' use as the holder sees it.
    pub fn ledger(&self) -> &quota::Accounts {
        &self.ledger
    }

    /// How many jobs are queued.
    pub fn backlog(&self) -> intake::Backlog {
        self.queue.backlog()
    }

    /// Does what is due.
    fn advance(&mut self) {
        self.apply_cancels();
        self.apply_removals();
        self.sweep();
        self.apply_vacates();
        self.settle_reservations();
        self.round();
        self.settle_inbox();
        self.flush();
    }

    fn count(&mut self, event: Event) {
        self.outputs.push(Output::Count(event));
    }

    /// An intent in this holder's name.
    fn intent(&self, operation: &id::Operation, verb: &str) -> platform::Intent {
        platform::Intent {
            operation: id::Operation::from(format!("{operation}/{verb}")),
            duty: self.settings.duty.clone(),
            epoch: self.settings.epoch,
        }
    }
}
