//! The jobs duty: the state machine of the leader, the node that holds the duty's lease.
//!
//! The leader keeps every job's row in memory, chooses a worker for each job, commits the decision
//! and only then calls the worker. Each new leader rebuilds its state from the rows; what the
//! previous leader had committed but not carried out is carried out again under the same operation.

mod calls;
mod commit;
mod drain;
mod job;
mod load;
mod message;
mod parking;
mod queue;
mod round;
mod sweep;
mod task;
mod usage;

pub use message::{
    Action, Call, CallResult, ESTIMATES_KEY, Event, Input, Now, Output, Reply, Token,
};

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::{inbox, row, submission};
use crate::placement;
use crate::platform;
use crate::quarantine;
use crate::quota;

new_key_type! {
    /// Key of a job in the memory of the leader.
    struct JobKey;
}

/// Interval of [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 50;
/// Duration of a task's lease, in milliseconds.
pub const TASK_LEASE_MS: u64 = 40 * clock::SECOND_MS;
/// Interval between the renewals of a worker's leases, in milliseconds.
pub const RENEW_MS: u64 = 10 * clock::SECOND_MS;
/// Timeout of a call to a worker, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2 * clock::SECOND_MS;
/// Margin added to a full task lease for clock drift between leader and worker, in milliseconds.
pub const LEASE_MARGIN_MS: u64 = 5 * clock::SECOND_MS;

/// Settings of a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the duty.
    pub duty: id::Duty,
    /// Epoch of the duty's lease.
    pub epoch: u64,
    /// Share of each worker that is reserved for the runner of its pool's service, in thousandths.
    pub runner_reserve_permille: u64,
}

/// Status of a VM, as last listed by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VmStatus {
    state: platform::VmState,
    boots: u64,
}

/// Status of a worker, as observed by this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkerStatus {
    renew_at: clock::Instant,
    last_seen_at: clock::Instant,
    as_of_ms: u64,
    silent: bool,
    /// The worker rejected a start for lack of capacity and gets no new tasks before this time.
    full_until: clock::Instant,
    /// Number of tasks that ended soon after their start and whose results are not known yet.
    early_ends: u32,
}

/// Progress of a drain of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Drain {
    since: clock::Instant,
    reported: bool,
    /// True if the VM is drained because the platform lists it as leaving.
    listed: bool,
}

/// State machine of the leader of the jobs duty.
#[derive(Debug)]
pub struct Duty {
    settings: Settings,
    now: Now,
    jobs: SlotMap<JobKey, job::Job>,
    by_id: HashMap<id::Job, JobKey>,
    by_task: HashMap<id::Task, JobKey>,
    team_tasks: HashMap<quota::AccountIndex, task::Counts>,
    queue: queue::Queue,
    fleet: placement::Fleet,
    estimates: estimate::Estimates,
    quotas: quota::Accounts,
    worker_records: quarantine::Records,
    vms: HashMap<id::Vm, VmStatus>,
    vms_as_of_ms: u64,
    worker_status: HashMap<placement::WorkerKey, WorkerStatus>,
    draining: BTreeMap<id::Vm, Drain>,
    inbox: BTreeMap<id::Key, Vec<inbox::Entry>>,
    inbox_done: BTreeSet<id::Key>,
    cancels: BTreeSet<JobKey>,
    removals: BTreeSet<JobKey>,
    reservations: Vec<JobKey>,
    orphans: HashMap<id::Task, clock::Instant>,
    pipeline: commit::Pipeline,
    load: load::Load,
    usage_as_of_ms: u64,
    has_quotas: bool,
    has_usage: bool,
    round_due: bool,
    next_round_at: clock::Instant,
    next_sweep_at: clock::Instant,
    next_inbox_read_at: clock::Instant,
    next_urgent_round_at: clock::Instant,
    next_recheck_at: clock::Instant,
    outputs: Vec<Output>,
}

impl Duty {
    /// Creates a leader with an empty state; the returned outputs request the stored rows.
    pub fn new(settings: Settings, now: Now) -> (Self, Vec<Output>) {
        let fleet = placement::Fleet::new(settings.runner_reserve_permille);
        let duty = Self {
            settings,
            now,
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_task: HashMap::new(),
            team_tasks: HashMap::new(),
            queue: queue::Queue::default(),
            fleet,
            estimates: estimate::Estimates::default(),
            quotas: quota::Accounts::default(),
            worker_records: quarantine::Records::default(),
            vms: HashMap::new(),
            vms_as_of_ms: 0,
            worker_status: HashMap::new(),
            draining: BTreeMap::new(),
            inbox: BTreeMap::new(),
            inbox_done: BTreeSet::new(),
            cancels: BTreeSet::new(),
            removals: BTreeSet::new(),
            reservations: Vec::new(),
            orphans: HashMap::new(),
            pipeline: commit::Pipeline::default(),
            load: load::Load::default(),
            usage_as_of_ms: 0,
            has_quotas: false,
            has_usage: false,
            round_due: false,
            next_round_at: now.at,
            next_sweep_at: now.at,
            next_inbox_read_at: now.at,
            next_urgent_round_at: now.at,
            next_recheck_at: now.at,
            outputs: Vec::new(),
        };
        let outputs = vec![Output::ReadEstimates, Output::Load { after: None }];
        (duty, outputs)
    }

    /// Handles one input and returns the resulting actions.
    pub fn handle(&mut self, now: Now, input: Input<'_>) -> Vec<Output> {
        self.now = now;
        match input {
            Input::Loaded { rows, last } => self.apply_page(rows, last),
            Input::Estimates(row) => self.restore_estimates(row),
            Input::Inbox(rows) => self.apply_inbox(rows),
            Input::Read { rows, absent } => self.apply_jobs(rows, absent),
            Input::Settled { token, outcome } => self.commit_settled(token, outcome),
            Input::Vms(list) => self.apply_vms(list),
            Input::Usage(list) => self.apply_usage(list),
            Input::Documents(documents) => {
                self.quotas.set_documents(documents);
                self.has_quotas = true;
                self.next_recheck_at = now.at;
                self.round_due = true;
            }
            Input::Replied(reply) => self.handle_reply(reply),
            Input::Drain(vm) => self.start_drain(vm),
            Input::EndDrain(vm) => self.end_drain(vm),
            Input::InboxChanged => self.outputs.push(Output::ReadInbox),
            Input::Tick => {}
        }
        if self.load.is_done() {
            self.advance();
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the rows of all jobs, by job.
    pub fn rows(&self) -> impl Iterator<Item = (&id::Job, &row::Row)> {
        self.jobs.values().map(|job| (&job.id, &job.row))
    }

    /// Returns the fleet, as known to the leader.
    pub fn fleet(&self) -> &placement::Fleet {
        &self.fleet
    }

    /// Returns the quota accounting of the teams, as known to the leader.
    pub fn quotas(&self) -> &quota::Accounts {
        &self.quotas
    }

    /// Returns the numbers of queued jobs.
    pub fn backlog(&self) -> submission::Backlog {
        self.queue.backlog()
    }

    /// Carries out all work that is due.
    fn advance(&mut self) {
        self.apply_cancels();
        self.apply_removals();
        self.sweep();
        self.apply_drains();
        self.settle_reservations();
        self.round();
        self.settle_inbox();
        self.flush();
    }

    fn count(&mut self, event: Event) {
        self.outputs.push(Output::Count(event));
    }

    /// Creates an intent that carries the duty and epoch of this leader.
    fn intent(&self, operation: &id::Operation, verb: &str) -> platform::Intent {
        platform::Intent {
            operation: id::Operation::from(format!("{operation}/{verb}")),
            duty: self.settings.duty.clone(),
            epoch: self.settings.epoch,
        }
    }
}
