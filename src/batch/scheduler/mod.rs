//! The scheduler of the batch duty: places tasks on workers and follows their runs until they end.
//!
//! A run is not persisted before it starts. Workers hold leases and reject commands of older epochs, so a new leader
//! raises the fence on each worker and reads from it what is running and what has ended. Rows persist what workers do
//! not keep: acknowledged ends, failed runs, checkpoints, and which workers can run tasks at all.

mod commit;
mod crashes;
mod demand;
mod ends;
mod failures;
mod gang;
pub mod job;
mod listing;
mod machine_list;
mod message;
mod open_jobs;
mod plan;
mod quotas;
mod rates;
mod release;
mod removal;
mod reports;
mod reservation;
mod room;
mod stuck;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::batch::account_rates;
use crate::batch::accounts;
use crate::batch::job_memory;
use crate::batch::predecessors;
use crate::batch::progress_rows;
use crate::batch::queue;
use crate::batch::record;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
mod commands;
mod drain;
mod orphans;
mod tasks;
mod tenure;
mod tickets;
mod unread;
mod waiting;
mod worker_loss;

pub use commands::{Refusal, StartOutcome};
pub use drain::DrainState;
pub use message::{Counts, Output, PartitionRows, Poll, RecoveredState, Settings, Start};
pub use release::{Release, Released};
pub use worker_loss::{IncarnationEnd, lease_expiry_ms};

/// Interval after which a stop is resent if the run has not ended, in milliseconds; longer than the timeout of one
/// call.
const STOP_RESEND_MS: u64 = 400;

/// Interval at which rows that the store refused are written again, in milliseconds.
const REFUSED_RETRY_MS: u64 = 5_000;

/// Maximum number of due occurrences of all jobs that are open without a run. Each job has at least one.
const OCCURRENCES_WAITING_MAX: usize = 4_096;
/// The same of one job; more than most pools can start at once.
const OCCURRENCES_WAITING_PER_JOB_MAX: usize = 256;

/// Interval at which all runs are checked for progress and unanswered stops, in milliseconds; half a resend.
const RUNS_CHECK_MS: u64 = 200;

/// State machine that schedules the tasks of all services.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    /// Number after which this epoch numbers its starts; higher than any start of a previous leader.
    run_base: u32,
    /// What earlier leaders may still do, and since when that is known.
    earlier: predecessors::Earlier,
    earlier_since: clock::Instant,
    /// Whether all jobs that an earlier leader may have taken up are known.
    knows_earlier_jobs: bool,
    /// Whether a previous leader had recorded workers.
    has_predecessor: bool,
    started_at: clock::Instant,
    /// When rows that the store refused were last queued again.
    refused_at: clock::Instant,
    /// All leases have to end by then; `None` as long as that wasn't said.
    leases_end: Option<clock::Instant>,
    /// Which ends of runs, and which new jobs, a later commit has confirmed.
    tenure: tenure::Tenure,
    /// When the runs of all workers were last checked for progress and unanswered stops.
    runs_checked_at: clock::Instant,
    config: Arc<queue::Config>,
    jobs: HashMap<JobId, job::Job>,
    /// Jobs without a final state.
    open_jobs: open_jobs::OpenJobs,
    /// Cancellations received before their job.
    early_cancels: BTreeSet<JobId>,
    /// Recovered progress of jobs that are not known yet.
    unclaimed_progress: HashMap<JobId, progress_rows::Stored>,
    /// Whether partitions were read since obsolete progress was last searched for.
    obsolete_progress_unchecked: bool,
    /// Jobs whose row exists but cannot be decoded; their progress is kept.
    undecodable: BTreeSet<JobId>,
    /// Jobs with a progress row that cannot be decoded. None of their tasks starts, as it may be done, and the row is kept.
    held: BTreeSet<JobId>,
    /// Ended jobs whose rows are being removed.
    jobs_in_removal: BTreeSet<JobId>,
    /// Those of them that were not handed out yet.
    expired_jobs: Vec<JobId>,
    /// Ended jobs that still hold what was submitted, with the time of their end or recovery, oldest first.
    untrimmed: VecDeque<(clock::Instant, JobId)>,
    workers: BTreeMap<id::Worker, worker_state::Worker>,
    /// Workers recorded by the previous leader that have not answered a poll yet.
    unresolved: BTreeMap<id::Worker, record::WorkerRow>,
    /// When each unresolved worker was first missing from the list of machines.
    missing_since: BTreeMap<id::Worker, clock::Instant>,
    /// Runs of jobs that are not known yet.
    orphans: orphans::Orphans,
    /// Tickets for steps of queues with a policy.
    step_tickets: HashMap<tickets::StepKey, tickets::StepTickets>,
    /// Long-running tasks that wait for a worker.
    waiting: waiting::WaitingTasks,
    /// Capacity that is reserved for tasks that are to start next.
    reservations: reservation::Reservations,
    /// Services to plan again, because something changed since they were last planned.
    dirty_services: BTreeSet<id::Service>,
    /// What the client accounts have running.
    ledger: accounts::Ledger,
    /// Rates of the client accounts.
    rates: account_rates::Rates,
    /// Jobs of accounts that are to be marked as within or beyond their account's rate.
    unmarked_jobs: Vec<JobId>,
    changed_rows: ends::ChangedRows,
    /// Total work submitted since this scheduler started, by service.
    submitted_work: BTreeMap<id::Service, demand::SubmittedWork>,
    pending_rows: commit::PendingRows,
    /// Tasks that crashes of workers are held against.
    crashed_tasks: BTreeSet<TaskId>,
    /// When a worker last crashed for a reason other than a task: nothing had just begun there, or its rack went dark.
    unprovoked_crash_at: Option<clock::Instant>,
    /// Workers that crashed since the last planning round, by rack.
    crashed_in_rack: BTreeMap<id::Rack, usize>,
    /// Tasks that seem to crash their workers, judged in the next planning round: when the worker of their last trial
    /// answered last; `None` for a task that has reached the limit without a trial.
    accused_tasks: BTreeMap<TaskId, Option<clock::Instant>>,
    outputs: Vec<Output>,
    counts: Counts,
}

impl Scheduler {
    /// Creates the scheduler of an epoch from the rows that were recovered from the store.
    pub fn new(
        settings: Settings,
        epoch: u64,
        config: Arc<queue::Config>,
        recovered: RecoveredState,
        now: clock::Instant,
    ) -> Self {
        let mut scheduler = Self {
            settings,
            run_base: commands::run_base(epoch),
            earlier: recovered.earlier,
            earlier_since: now,
            knows_earlier_jobs: recovered.earlier.is_ended(),
            has_predecessor: !recovered.workers.is_empty(),
            started_at: now,
            refused_at: now,
            leases_end: None,
            tenure: tenure::Tenure::default(),
            runs_checked_at: now,
            config,
            jobs: HashMap::new(),
            open_jobs: open_jobs::OpenJobs::default(),
            early_cancels: BTreeSet::new(),
            unclaimed_progress: HashMap::new(),
            obsolete_progress_unchecked: true,
            undecodable: recovered.undecodable.into_iter().collect(),
            held: recovered.undecodable_progress.into_iter().collect(),
            jobs_in_removal: BTreeSet::new(),
            expired_jobs: Vec::new(),
            untrimmed: VecDeque::new(),
            workers: BTreeMap::new(),
            unresolved: recovered.workers.iter().cloned().collect(),
            missing_since: BTreeMap::new(),
            orphans: orphans::Orphans::new(recovered.unread),
            step_tickets: HashMap::new(),
            waiting: waiting::WaitingTasks::default(),
            reservations: reservation::Reservations::default(),
            dirty_services: BTreeSet::new(),
            ledger: accounts::Ledger::default(),
            rates: account_rates::Rates::new(settings.quota_window_ms),
            unmarked_jobs: Vec::new(),
            changed_rows: ends::ChangedRows::default(),
            submitted_work: BTreeMap::new(),
            pending_rows: commit::PendingRows::new(
                recovered.workers.into_iter().map(|(worker, _)| worker),
            ),
            crashed_tasks: BTreeSet::new(),
            unprovoked_crash_at: None,
            crashed_in_rack: BTreeMap::new(),
            accused_tasks: BTreeMap::new(),
            outputs: Vec::new(),
            counts: Counts::default(),
        };
        scheduler.configure_accounts();
        for (row, progress) in recovered.progress {
            let stored = scheduler.unclaimed_progress.entry(row.job).or_default();
            stored.insert(row.part, progress);
        }
        for (id, accepted) in recovered.accepted {
            scheduler.add_job(id, accepted, true, now);
        }
        for id in recovered.cancelled {
            scheduler.job_cancelled(id, now, 0);
        }
        scheduler
    }

    /// Adds a job that was accepted after this scheduler started, or whose partition was never read.
    pub fn job_accepted(&mut self, id: JobId, accepted: record::Accepted, now: clock::Instant) {
        // The store's response to this node's own submission can arrive after a previous leader has started the job.
        let recovered = self.orphans.is_never_read(record::job_partition_number(id));
        self.add_job(id, accepted, recovered, now);
        self.apply_orphans(id, now);
        if self.early_cancels.remove(&id) {
            self.job_cancelled(id, now, 0);
        }
    }

    /// Adds a job unless it is known, and returns whether it did.
    fn add_job(
        &mut self,
        id: JobId,
        accepted: record::Accepted,
        recovered: bool,
        now: clock::Instant,
    ) -> bool {
        if self.jobs.contains_key(&id) && !self.remove_earlier_job(id, &accepted) {
            return false;
        }
        let progress = self.claim_progress(id, &accepted);
        // Tasks of a job with progress may still run.
        let recovered = recovered || progress.is_some();
        let service = accepted.queue.service.clone();
        self.pending_rows.keep_job(id);
        if self.has_rate(&accepted) {
            self.unmarked_jobs.push(id);
        } else if !recovered {
            self.count_submitted(&accepted);
        }
        let row_bytes = self.settings.row_bytes;
        let mut job = job::Job::new(id, Arc::new(accepted), recovered, row_bytes);
        job.known_at = now;
        job.known_to_earlier = recovered || !self.knows_earlier_jobs;
        if job.accepted.spec.schedule.is_none() {
            job.open_occurrence(0);
        }
        let mut moved = BTreeSet::new();
        if let Some(progress) = progress {
            moved = job.restore(&progress);
            let crashed = job.tasks().filter(|(_, task)| !task.crashes.is_empty());
            self.crashed_tasks.extend(crashed.map(|(id, _)| id));
        }
        if !job.state.is_final() {
            let bytes = job_memory::job_bytes(&job.accepted);
            self.open_jobs.insert(id, &service, bytes);
        }
        let is_final = job.state.is_final();
        if is_final {
            self.untrimmed.push_back((now, id));
        }
        self.jobs.insert(id, job);
        if self.is_held(id) {
            self.log(format!("job held job={id} reason=progress-undecodable"));
        }
        if is_final {
            self.delete_further_progress(id);
        } else {
            self.delete_finished_progress(id);
        }
        // The first row comes last, as the progress that it may hold for others is lost with it.
        for part in moved.into_iter().rev() {
            self.changed_rows
                .insert(progress_rows::Key { job: id, part });
        }
        self.dirty_services.insert(service);
        true
    }

    /// Cancels a job, or records the cancellation if the job is not known yet.
    pub fn job_cancelled(&mut self, id: JobId, now: clock::Instant, unix_ms: u64) {
        match self.jobs.get(&id) {
            None => {
                self.early_cancels.insert(id);
            }
            Some(job) if job.state.is_final() => {}
            Some(_) => {
                self.log(format!("cancel job={id}"));
                self.end_job(id, record::State::Cancelled, now, unix_ms);
            }
        }
    }

    /// Sets the final state of a job and stops its active runs.
    fn end_job(&mut self, id: JobId, state: record::State, now: clock::Instant, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.ended_unix_ms = unix_ms;
        self.open_jobs.remove(id, &job.accepted.queue.service);
        self.untrimmed.push_back((now, id));
        self.changed_rows.insert(id.into());
        self.step_tickets.retain(|(job, ..), _| *job != id);
        let active_tasks: Vec<TaskId> = job
            .tasks()
            .filter(|(_, task)| task.active.is_some())
            .map(|(task, _)| task)
            .collect();
        for task in active_tasks {
            self.stop_task(task, job::StopReason::Over, now);
        }
    }

    /// Returns the memory that all open jobs take, in bytes.
    pub fn open_job_bytes(&self) -> u64 {
        self.open_jobs.bytes()
    }

    /// Applies a new version of the configuration and marks all its services to be planned again.
    pub fn config_changed(&mut self, config: Arc<queue::Config>) {
        self.config = config;
        self.configure_accounts();
        self.dirty_services
            .extend(self.config.services.keys().cloned());
    }

    /// Requests that the active run of a task is stopped.
    fn stop_task(&mut self, id: TaskId, reason: job::StopReason, now: clock::Instant) {
        let Some(active) = self
            .jobs
            .get_mut(&id.job)
            .and_then(|job| job.task_mut(&id))
            .and_then(|task| task.active.as_mut())
        else {
            return;
        };
        active.stop_reason = Some(reason);
        active.stop_requested_at.get_or_insert(now);
        active.stop_sent_at = Some(now);
        let (worker, run) = (active.worker.clone(), active.run);
        self.log(format!(
            "stop task={id} run={run} worker={worker} reason={reason:?}"
        ));
        self.outputs.push(Output::Stop {
            worker,
            task: id,
            run,
        });
    }

    /// Handles everything that depends on time: due occurrences, lapsed leases, unanswered stops, runs without
    /// progress and expired jobs.
    pub fn tick(&mut self, now: clock::Instant, unix_ms: u64) {
        self.open_due_occurrences(unix_ms);
        self.resolve_expired(now);
        self.expire_leases(now);
        self.forget_restarts(now);
        if now.since_ms(self.runs_checked_at) >= RUNS_CHECK_MS {
            self.runs_checked_at = now;
            self.resend_stops(now);
            self.stop_stuck_runs(now);
            self.check_waiting(now);
        }
        if now.since_ms(self.refused_at) >= REFUSED_RETRY_MS {
            self.refused_at = now;
            self.changed_rows.retry_refused();
        }
        self.trim_ended_jobs(now);
        self.find_expired_jobs(unix_ms);
        self.delete_obsolete_progress(unix_ms);
    }

    fn open_due_occurrences(&mut self, unix_ms: u64) {
        let is_scheduled = |id: &&JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.accepted.spec.schedule.is_some())
        };
        let scheduled: Vec<JobId> = self
            .open_jobs
            .iter()
            .filter(is_scheduled)
            .copied()
            .collect();
        let share = OCCURRENCES_WAITING_MAX / scheduled.len().max(1);
        let waiting_max = share.clamp(1, OCCURRENCES_WAITING_PER_JOB_MAX);
        for id in scheduled {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.open_due(unix_ms, waiting_max) {
                self.dirty_services
                    .insert(job.accepted.queue.service.clone());
            }
        }
    }

    fn resend_stops(&mut self, now: clock::Instant) {
        let mut resends = Vec::new();
        for (worker, state) in &self.workers {
            for id in &state.tasks {
                let active = self
                    .jobs
                    .get_mut(&id.job)
                    .and_then(|job| job.task_mut(id))
                    .and_then(|task| task.active.as_mut());
                let Some(active) = active else { continue };
                let due = active.stop_reason.is_some()
                    && active.stop_acked_at.is_none()
                    && active
                        .stop_sent_at
                        .is_none_or(|at| now.since_ms(at) >= STOP_RESEND_MS);
                if due {
                    active.stop_sent_at = Some(now);
                    resends.push((worker.clone(), *id, active.run));
                }
            }
        }
        for (worker, task, run) in resends {
            self.outputs.push(Output::Stop { worker, task, run });
        }
    }

    fn log(&mut self, text: String) {
        self.outputs.push(Output::Log(text));
    }

    /// Returns the pending outputs, which the caller has to carry out, and clears them.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the state of a job as callers see it, or `None` if the job is not known here.
    ///
    /// `Completed` and `Failed` are returned only once they are committed.
    pub fn job_state(&self, id: JobId) -> Option<record::State> {
        let Some(job) = self.jobs.get(&id) else {
            return self.state_of_unread(id);
        };
        if job.committed_state.is_final() {
            return Some(job.committed_state);
        }
        if job.state == record::State::Cancelled {
            return Some(record::State::Cancelled);
        }
        if job.has_begun() {
            Some(record::State::Running)
        } else {
            Some(record::State::Queued)
        }
    }

    /// Returns the number of accepted jobs in a queue of which no task has begun.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        self.open_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.accepted.queue.name == queue && !job.has_begun())
            .count()
    }

    /// Returns the counters of ended runs since this scheduler started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the workers by id, including those that no longer stand in the registry but can still run tasks.
    pub fn workers(&self) -> &BTreeMap<id::Worker, worker_state::Worker> {
        &self.workers
    }

    /// Returns what the client accounts have running.
    pub fn ledger(&self) -> &accounts::Ledger {
        &self.ledger
    }

    /// Returns the configuration that was applied last.
    pub fn config(&self) -> &queue::Config {
        &self.config
    }
}
