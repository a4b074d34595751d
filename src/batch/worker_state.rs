//! The scheduler's state of one worker: capacity, lease and health.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::batch::TaskId;
use crate::batch::connections;
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Maximum lag of a worker's monotonic clock, in thousandths of the elapsed time.
pub(super) const CLOCK_LAG_MILLI: u64 = 20;
/// Time for a worker to end runs whose lease has lapsed, in milliseconds: the longest time that a stop takes.
const STOP_TIME_MS: u64 = 300;
/// A worker gets no new tasks once its last response is this old, in milliseconds; longer than one long poll.
pub const SILENT_MS: u64 = 1_500;
/// Consecutive failures of different jobs that make a worker suspect.
const SUSPECT_FAILURES: u32 = 2;
/// First pause of a suspect worker, in milliseconds; doubles with each failed trial.
const SUSPECT_PAUSE_FIRST_MS: u64 = 2_000;
/// Longest pause of a suspect worker, in milliseconds.
const SUSPECT_PAUSE_MAX_MS: u64 = 16_000;
/// Time without new tasks after a worker refused one for lack of capacity, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 200;

/// A worker's entry in the platform's registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Unique id in the registry.
    pub worker: id::Worker,
    /// Service whose tasks the worker runs.
    pub service: id::Service,
    /// Address at which the worker receives commands.
    pub address: SocketAddr,
    /// Data centre of the worker's VM.
    pub data_centre: id::DataCentre,
    /// Total capacity for tasks.
    pub size: Resources,
    /// Labels for placement: the kind and the rack.
    pub labels: Vec<String>,
    /// Rack of the worker's VM, if known.
    pub rack: Option<id::Rack>,
    /// Whether the worker has announced its stop.
    pub leaving: bool,
    /// Incarnation that wrote the entry, by its start in milliseconds since 1970; absent if the entry doesn't tell.
    pub started_unix_ms: Option<u64>,
}

/// A run in progress on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Task that the run executes.
    pub task: TaskId,
    /// Number of this start of the task.
    pub run: u32,
    /// Newest checkpoint, if the run has saved one.
    pub checkpoint: Option<String>,
    /// Progress, 0 to 100; 100 for a long-running task that is up and working.
    pub percent: u32,
    /// CPU use in thousandths of a core; the tail latency in milliseconds for a serving task.
    pub usage: u64,
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run completed its task.
    Done,
    /// The run failed, by a fault of the task or of the worker.
    Failed,
    /// A command stopped the run.
    Stopped,
    /// The worker's lease lapsed.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The run waited too long for the rest of its gang.
    Alone,
}

/// An ended run that the scheduler has not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number among the ended runs of this incarnation of the worker, from 1.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskId,
    /// Number of this start of the task.
    pub run: u32,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Newest checkpoint, if the run saved one.
    pub checkpoint: Option<String>,
}

/// A worker's response to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Time on the worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of this incarnation, in milliseconds since 1970; absent if the worker does not report it.
    pub started_unix_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<Run>,
    /// Ended runs that are not acknowledged.
    pub ended: Vec<EndedRun>,
    /// Number of further runs in progress that cannot be read.
    pub unreadable_runs: u32,
    /// Number of further ended runs that cannot be read.
    pub unreadable_ends: u32,
}

/// The state of a worker, kept by the scheduler.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Newest registry entry.
    pub listing: Listing,
    /// Largest capacity that the registry has shown.
    pub largest: Resources,
    /// Whether the registry still lists the worker.
    pub listed: bool,
    /// Whether a list of machines has shown the worker.
    pub on_machine: bool,
    /// Whether the worker answers although the newest list of machines doesn't show it; logged once.
    pub contradicts_list: bool,
    /// Whether the worker's newest registry entry could be read.
    pub readable: bool,
    /// When a start was last sent to the worker, or confirmed by it.
    start_at: clock::Instant,
    /// When this incarnation was first seen.
    pub joined_at: clock::Instant,
    /// Incarnation that responded last, by its start in milliseconds since 1970; 0 if not reported.
    pub started_unix_ms: u64,
    /// Whether the worker has responded to a poll of this leader, which raised the worker's fencing epoch.
    pub adopted: bool,
    /// Whether the worker's row is committed, so that the next leader knows the worker.
    pub recorded: bool,
    /// Worker's clock in milliseconds, and when that response arrived.
    pub clock: Option<(u64, clock::Instant)>,
    /// Time of the last response.
    pub last_response_at: clock::Instant,
    /// Time since the last response in which the leader itself didn't run, in milliseconds.
    excused_ms: u64,
    /// Whether the newest poll got no response.
    pub unanswered: bool,
    /// Connections to the worker.
    pub connections: connections::Connections,
    /// When it was noticed that the worker had started again under its id, as long as its row says so.
    pub restarted_at: Option<clock::Instant>,
    /// End of the longest lease that the worker can have received, on its own clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Tasks that can be running on the worker.
    pub tasks: BTreeSet<TaskId>,
    /// Capacity reserved for these tasks.
    pub used: Resources,
    /// Whether all rows of the newest report could be read.
    pub reports_whole: bool,
    /// Reported runs that should not exist, each with its number and when its stop was first sent; `None` once the worker has
    /// acknowledged the stop.
    pub unexpected: BTreeMap<(TaskId, u32), Option<clock::Instant>>,
    /// Capacity of the other runs in the newest report; `None` if the job of one is unknown, and thus its need.
    pub unreserved: Option<Resources>,
    /// Number of the ended run up to which all were handled; 0 for none.
    pub handled: u64,
    /// Numbers of handled ended runs after one whose job is not known yet.
    pub handled_ahead: BTreeSet<u64>,
    /// Number of the newest ended run that can be acknowledged; 0 for none.
    pub acknowledged: u64,
    /// When the worker was first listed as leaving.
    pub leaving_since: Option<clock::Instant>,
    /// Whether the worker is being drained for a move or maintenance.
    pub draining: bool,
    /// The worker gets no new tasks before this time.
    pub paused_until: clock::Instant,
    /// The suspect worker gets no trial before this time.
    trial_not_before: clock::Instant,
    /// When the worker last failed a run or got a trial while it was suspect.
    tried_at: clock::Instant,
    /// Consecutive failures of different jobs.
    failures: u32,
    last_failed_job: Option<crate::batch::JobId>,
    /// Current pause of a suspect worker, in milliseconds.
    suspect_pause_ms: u64,
}

impl Worker {
    /// Creates the state of a newly listed worker.
    pub fn new(listing: Listing, now: clock::Instant) -> Self {
        Self {
            largest: listing.size,
            listing,
            listed: true,
            on_machine: false,
            contradicts_list: false,
            start_at: clock::Instant::ZERO,
            readable: true,
            joined_at: now,
            started_unix_ms: 0,
            adopted: false,
            recorded: false,
            clock: None,
            last_response_at: now,
            excused_ms: 0,
            unanswered: false,
            connections: connections::Connections::default(),
            restarted_at: None,
            lease_until_ms: 0,
            tasks: BTreeSet::new(),
            used: Resources::default(),
            reports_whole: true,
            unexpected: BTreeMap::new(),
            unreserved: Some(Resources::default()),
            handled: 0,
            handled_ahead: BTreeSet::new(),
            acknowledged: 0,
            leaving_since: None,
            draining: false,
            paused_until: clock::Instant::ZERO,
            trial_not_before: clock::Instant::ZERO,
            tried_at: clock::Instant::ZERO,
            failures: 0,
            last_failed_job: None,
            suspect_pause_ms: 0,
        }
    }

    /// Replaces the registry entry.
    pub fn update(&mut self, listing: Listing) {
        self.largest = self.largest.max(&listing.size);
        self.listing = listing;
        self.readable = true;
    }

    /// Returns the capacity by which the worker has shrunk.
    pub fn lost(&self) -> Resources {
        self.largest.minus(&self.listing.size)
    }

    /// Records a response with the worker's clock in milliseconds.
    pub fn on_response(&mut self, clock_ms: u64, now: clock::Instant) {
        self.clock = Some((clock_ms, now));
        self.last_response_at = now;
        self.excused_ms = 0;
    }

    /// Records that the leader itself didn't run for this long, in milliseconds; reports may wait unread.
    pub fn excuse(&mut self, stalled_ms: u64) {
        self.excused_ms += stalled_ms;
    }

    /// Returns for how long the worker has been silent while the leader ran, in milliseconds.
    pub fn silent_ms(&self, now: clock::Instant) -> u64 {
        now.since_ms(self.last_response_at)
            .saturating_sub(self.excused_ms)
    }

    /// Returns the end of a lease of `lease_ms` that begins now, on the worker's clock; `None` if that is unknown.
    pub fn lease_end_ms(&self, now: clock::Instant, lease_ms: u64) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + now.since_ms(at) + lease_ms)
    }

    /// Returns the time until every lease that the worker can have received has certainly lapsed, in milliseconds; 0 if
    /// they have.
    pub fn lease_left_ms(&self, now: clock::Instant) -> u64 {
        let Some((clock_ms, at)) = self.clock else {
            return self.lease_until_ms;
        };
        let elapsed_ms = now.since_ms(at) * (1_000 - CLOCK_LAG_MILLI) / 1_000;
        (self.lease_until_ms + STOP_TIME_MS).saturating_sub(clock_ms + elapsed_ms)
    }

    /// Returns whether every lease that the worker can have received has certainly lapsed.
    pub fn is_lapsed(&self, now: clock::Instant) -> bool {
        let Some((clock_ms, at)) = self.clock else {
            return self.lease_until_ms == 0;
        };
        let elapsed_ms = now.since_ms(at) * (1_000 - CLOCK_LAG_MILLI) / 1_000;
        clock_ms + elapsed_ms > self.lease_until_ms + STOP_TIME_MS
    }

    /// Returns whether the worker can get new tasks.
    pub fn is_usable(&self, now: clock::Instant) -> bool {
        self.is_open(now) && now >= self.trial_not_before
    }

    /// Returns whether the worker is suspect and can get a task that has no other worker, during a pause that has grown beyond
    /// the first.
    pub fn is_open_to_trial(&self, now: clock::Instant) -> bool {
        self.is_suspect()
            && self.is_open(now)
            && now.since_ms(self.tried_at) >= SUSPECT_PAUSE_FIRST_MS
    }

    /// Records that the worker gets a task, which is a trial if the worker is suspect.
    pub fn on_start(&mut self, now: clock::Instant) {
        self.tried_at = now;
        self.start_at = now;
    }

    /// Records that the worker has confirmed a start.
    pub fn on_start_confirmed(&mut self, now: clock::Instant) {
        self.start_at = now;
    }

    /// Records the worker's clock in its response to a command that was sent at `sent_at`, in milliseconds. Returns whether
    /// it went back, which proves that the worker has started again under its id.
    ///
    /// Leases that were granted to the earlier incarnation then have their greatest length, `lease_max_ms`. A clock that was
    /// known only after the command was sent tells nothing, as responses overtake each other.
    pub fn on_clock(
        &mut self,
        clock_ms: u64,
        lease_max_ms: u64,
        sent_at: clock::Instant,
        now: clock::Instant,
    ) -> bool {
        let has_restarted = self
            .clock
            .is_some_and(|(known_ms, at)| at <= sent_at && clock_ms < known_ms);
        if has_restarted {
            self.clock = Some((clock_ms, now));
            self.lease_until_ms = clock_ms + lease_max_ms;
        }
        has_restarted
    }

    /// Returns whether evidence as of `at` can be about the worker as it is: it has neither answered since nor got a start,
    /// which an incarnation with the same id may have carried out.
    pub fn is_unheard_since(&self, at: clock::Instant) -> bool {
        self.last_response_at < at && self.start_at < at
    }

    /// Returns whether the newest registry entry was written by the incarnation that responded last. An entry of another one
    /// tells nothing of its labels and its capacity.
    pub fn is_entry_current(&self) -> bool {
        let written_by = self.listing.started_unix_ms;
        let is_known = self.started_unix_ms != 0;
        written_by.is_none_or(|written_by| !is_known || written_by == self.started_unix_ms)
    }

    /// Returns whether nothing but the pause of a suspect worker keeps the worker from getting new tasks.
    fn is_open(&self, now: clock::Instant) -> bool {
        self.adopted
            && self.recorded
            && self.listed
            && self.readable
            && self.is_entry_current()
            && !self.listing.leaving
            && !self.draining
            && now >= self.paused_until
            && self.silent_ms(now) < SILENT_MS
    }

    /// Returns whether the free capacity covers `need`.
    pub fn has_capacity(&self, need: &Resources) -> bool {
        self.unreserved.is_some_and(|unreserved| {
            unreserved
                .plus(&self.used)
                .plus(need)
                .fits_in(&self.listing.size)
        })
    }

    /// Reserves capacity for a task, once.
    pub fn reserve(&mut self, task: TaskId, need: &Resources) {
        if self.tasks.insert(task) {
            self.used = self.used.plus(need);
        }
    }

    /// Releases the capacity reserved for a task.
    pub fn release(&mut self, task: &TaskId, need: &Resources) {
        if self.tasks.remove(task) {
            self.used = self.used.minus(need);
        }
    }

    /// Pauses the worker after it refused a task for lack of capacity.
    pub fn on_refusal(&mut self, now: clock::Instant) {
        self.paused_until = now.after_ms(REFUSAL_PAUSE_MS);
    }

    /// Counts a failed run of `job` and pauses the worker if it is suspect.
    pub fn on_run_failed(&mut self, job: crate::batch::JobId, now: clock::Instant) {
        if self.last_failed_job != Some(job) {
            self.failures += 1;
        }
        self.last_failed_job = Some(job);
        if self.is_suspect() {
            self.suspect_pause_ms =
                (self.suspect_pause_ms * 2).clamp(SUSPECT_PAUSE_FIRST_MS, SUSPECT_PAUSE_MAX_MS);
            self.trial_not_before = now.after_ms(self.suspect_pause_ms);
            self.tried_at = now;
        }
    }

    /// Resets the failure count after a successful run.
    pub fn on_run_succeeded(&mut self) {
        self.failures = 0;
        self.last_failed_job = None;
        self.suspect_pause_ms = 0;
    }

    /// Returns whether a task with one attempt left can wait for capacity on the worker.
    pub fn is_healthy(&self, now: clock::Instant) -> bool {
        self.adopted
            && self.listed
            && self.readable
            && self.is_entry_current()
            && !self.listing.leaving
            && !self.is_suspect()
            && self.silent_ms(now) < SILENT_MS
    }

    /// Returns whether the worker's last runs all failed; it then gets one task at a time as a trial.
    pub fn is_suspect(&self) -> bool {
        self.failures >= SUSPECT_FAILURES
    }
}
