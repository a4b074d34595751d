//! Leads the batch duty: runs the library's scheduler and connects it to the store, the registry and the workers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::scheduler::{Counts, Output, Scheduler, Settings};
use wasabiloft::batch::{JobId, handover, queue, record, relays};
use wasabiloft::id;
use wasabiloft_platform::{settings, store};

use crate::batch::{commit, fleet, lateness, listings, recovery, shared, standby, watch};
use crate::clock;
use crate::log;

/// Length of the workers' leases, in milliseconds: long enough to outlast a takeover, and short enough that the tasks
/// of an unreachable worker are soon started elsewhere.
const LEASE_MS: u64 = 4_000;
/// Minimum pause between two planning rounds, in milliseconds; batches events that arrive together.
const PLAN_PAUSE_MIN_MS: u64 = 4;
/// Maximum pause between two planning rounds, in milliseconds; short against the length of a task.
const PLAN_PAUSE_MAX_MS: u64 = 60;
/// The pause after a round is at least this many times its length, so that reports and commits are handled meanwhile.
const PLAN_PAUSE_FACTOR: u64 = 3;
/// Interval at which timers are checked, in milliseconds.
const TICK_MS: u64 = 50;
/// Wait of a long poll for changes of a table, in milliseconds.
pub const POLL_WAIT_MS: u64 = 2_000;
/// Pause after a failed call, in milliseconds.
pub const RETRY_MS: u64 = 100;

/// State of the duty while this node leads it.
#[derive(Debug)]
pub struct Leadership {
    /// Epoch of the duty; commands to workers and machines carry it as the fencing token.
    pub epoch: u64,
    scheduler: Mutex<Scheduler>,
    relays: Mutex<relays::Relays>,
    /// Notified when something changed that planning depends on.
    pub wake: Notify,
    /// Notified when changes wait to be committed.
    pub write: Notify,
    /// Notified when commands to machines were committed and can be sent.
    pub commands_committed: Notify,
    /// Notified when a batch was committed.
    pub committed: Notify,
    /// Cancelled when the duty is lost or released.
    pub ended: CancellationToken,
    committed_ms: AtomicU64,
    /// Cancelled when a node with more CPU should take over the duty.
    step_down_requested: CancellationToken,
    successor_cpu_milli: OnceLock<u64>,
    handover: Mutex<handover::Handover>,
    /// The node that this slow leader names as its successor.
    successor: OnceLock<handover::Follower>,
    /// How late this process runs.
    pub(super) meter: Arc<lateness::Meter>,
    /// When the scheduler was created, after the rows were read.
    pub began_at: wasabiloft::clock::Instant,
}

impl Leadership {
    /// Locks and returns the scheduler.
    pub fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the division of the workers among relays.
    pub fn relays(&self) -> MutexGuard<'_, relays::Relays> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the state of a handover to a standby.
    pub fn handover(&self) -> MutexGuard<'_, handover::Handover> {
        self.handover.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the newest commit was sent, in milliseconds.
    pub fn since_commit_ms(&self) -> u64 {
        let at = self.committed_ms.load(Ordering::Relaxed);
        clock::since_boot().as_ms().saturating_sub(at)
    }

    /// Records when the newest successful commit was sent.
    pub fn commit_sent(&self, at: wasabiloft::clock::Instant) {
        self.committed_ms.store(at.as_ms(), Ordering::Relaxed);
    }

    /// Releases the duty in favour of a node with more CPU, given in thousandths of a core.
    pub fn step_down(&self, cpu_milli: u64) {
        self.successor_cpu_milli.get_or_init(|| cpu_milli);
        self.step_down_requested.cancel();
    }

    /// Releases the duty in favour of a standby, as this node is slow.
    pub fn hand_over(&self, successor: handover::Follower) {
        self.successor.get_or_init(|| successor);
        self.step_down_requested.cancel();
    }

    /// Returns the standby in whose favour the duty is released.
    pub fn successor(&self) -> Option<&handover::Follower> {
        self.successor.get()
    }

    /// Returns the CPU of the node in whose favour the duty is released, in thousandths of a core.
    pub fn successor_cpu_milli(&self) -> Option<u64> {
        self.successor_cpu_milli.get().copied()
    }

    /// Applies the node's newest configuration.
    pub fn configured(&self, shared: &shared::Shared) {
        if let Some(config) = shared.current_config().config {
            self.scheduler().config_changed(config);
            self.wake.notify_one();
        }
    }

    /// Passes an accepted job to the scheduler.
    pub fn accepted(&self, job: JobId, accepted: record::Accepted) {
        self.scheduler()
            .job_accepted(job, accepted, clock::since_boot());
        self.wake.notify_one();
    }

    /// Passes a cancellation to the scheduler.
    pub fn cancelled(&self, job: JobId) {
        self.scheduler()
            .job_cancelled(job, clock::since_boot(), clock::unix_ms());
        self.wake.notify_one();
    }

    /// Returns a job's state; `None` if the scheduler does not know the job.
    pub fn state(&self, job: JobId) -> Option<record::State> {
        self.scheduler().job_state(job)
    }

    /// Returns the number of waiting jobs of a queue.
    pub fn waiting(&self, queue: &str) -> usize {
        self.scheduler().waiting_jobs(queue)
    }
}

fn scheduler_settings(settings: &settings::Settings) -> Settings {
    Settings {
        lease_ms: LEASE_MS.min(settings.worker_lease_max_ms),
        status_ms: settings.job_status_ms,
        quota_window_ms: Settings::QUOTA_WINDOW_DEFAULT_MS,
    }
}

/// A committed claim of the duty.
pub struct Start {
    /// The duty's row as the claim wrote it.
    pub duty: record::Duty,
    /// Version of the row.
    pub version: u64,
    /// Whether the previous leader can still send commands.
    pub previous_leader_may_act: bool,
    /// Whether the previous leader named this node as its successor.
    pub handed_over: bool,
    /// The standby's rows, if this node has prepared.
    pub standby: Option<standby::Standby>,
}

/// Leads the duty until it is lost, handed over, or the node stops.
pub async fn run(shared: &Arc<shared::Shared>, start: Start) {
    let began_at = clock::since_boot();
    let Start {
        duty,
        version,
        previous_leader_may_act,
        handed_over,
        standby,
    } = start;
    let mut committer = commit::Committer::new(duty.clone(), version);
    let begun = {
        let begin = begin(shared, &duty, previous_leader_may_act, handed_over, standby);
        tokio::pin!(begin);
        loop {
            tokio::select! {
                begun = &mut begin => break begun,
                () = time::sleep(Duration::from_millis(commit::RENEW_INTERVAL_MS)) => {}
            }
            // Thousands of jobs on a thin link take seconds to read, after which others would claim the duty.
            if !committer.renew(shared).await {
                log::info(
                    "duty",
                    &format!("lost while reading rows epoch={}", duty.epoch),
                );
                return;
            }
        }
    };
    let Some((leadership, jobs_version)) = begun else {
        return;
    };
    metrics::counter!("wasabiloft_takeovers_total").increment(1);
    metrics::histogram!("wasabiloft_take_over_ms")
        .record(clock::since_boot().since_ms(began_at) as f64);
    log::info(
        "duty",
        &format!(
            "holds epoch={} loaded_ms={}",
            duty.epoch,
            clock::since_boot().since_ms(began_at)
        ),
    );
    shared.set_leadership(Some(Arc::clone(&leadership)));
    let mut tasks = JoinSet::new();
    tasks.spawn(commit::run(
        Arc::clone(shared),
        Arc::clone(&leadership),
        committer,
    ));
    tasks.spawn(follow_jobs(
        Arc::clone(shared),
        Arc::clone(&leadership),
        jobs_version,
    ));
    tasks.spawn(listings::follow(
        Arc::clone(shared),
        Arc::clone(&leadership),
    ));
    tasks.spawn(fleet::run(Arc::clone(shared), Arc::clone(&leadership)));
    let mut workers = watch::Workers::new(Arc::clone(&leadership), shared.settings().advice);
    tokio::select! {
        () = drive(&leadership, &mut workers) => {}
        () = leadership.ended.cancelled() => log::info("duty", &format!("lost epoch={}", leadership.epoch)),
        () = shared.stop.cancelled() => {
            log::info("duty", &format!("given back epoch={} reason=stop", leadership.epoch));
        }
        () = leadership.step_down_requested.cancelled() => log::info(
            "duty",
            &match leadership.successor() {
                Some(successor) => format!(
                    "given back epoch={} reason=slow successor={}",
                    leadership.epoch, successor.node
                ),
                None => format!(
                    "given back epoch={} reason=stronger-node cpu_milli={:?}",
                    leadership.epoch,
                    leadership.successor_cpu_milli()
                ),
            },
        ),
    }
    shared.set_leadership(None);
    workers.end().await;
    // Must come after the commands ended: the committer then releases the duty, and the next leader can start tasks.
    leadership.ended.cancel();
    while tasks.join_next().await.is_some() {}
}

async fn begin(
    shared: &Arc<shared::Shared>,
    duty: &record::Duty,
    previous_leader_may_act: bool,
    handed_over: bool,
    standby: Option<standby::Standby>,
) -> Option<(Arc<Leadership>, u64)> {
    let known_jobs = match standby {
        Some(standby) => standby.finish(shared).await,
        None => None,
    };
    let (mut recovered, version) = match recovery::all(shared, known_jobs).await {
        Ok(recovered) => recovered,
        Err(error) => {
            log::warn("duty", &format!("rows unread reason={error}"));
            return None;
        }
    };
    recovered.predecessor_may_act = previous_leader_may_act;
    log::info(
        "holder",
        &format!(
            "inherits jobs={} progress={} workers={}",
            recovered.accepted.len(),
            recovered.progress.len(),
            recovered.workers.len()
        ),
    );
    let config = shared.current_config().config;
    let config = config.unwrap_or_else(|| Arc::new(queue::Config::default()));
    let settings = shared.settings();
    let now = clock::since_boot();
    let scheduler = Scheduler::new(
        scheduler_settings(&settings),
        duty.epoch,
        config,
        recovered,
        now,
    );
    let strength = relays::Strength {
        data_centre: id::DataCentre::new(&settings.data_centre),
        cpu_milli: settings.cpu_milli,
        link_kbit_per_s: settings.link_kbit_per_s,
    };
    let lead_min_ms = if handed_over {
        handover::LEAD_MIN_AFTER_HANDOVER_MS
    } else {
        handover::LEAD_MIN_MS
    };
    let handover = handover::Handover::new(
        settings.cpu_milli,
        settings.link_kbit_per_s,
        now.after_ms(lead_min_ms),
    );
    let leadership = Arc::new(Leadership {
        epoch: duty.epoch,
        scheduler: Mutex::new(scheduler),
        relays: Mutex::new(relays::Relays::new(strength)),
        wake: Notify::new(),
        write: Notify::new(),
        committed: Notify::new(),
        commands_committed: Notify::new(),
        ended: CancellationToken::new(),
        committed_ms: AtomicU64::new(now.as_ms()),
        step_down_requested: CancellationToken::new(),
        successor_cpu_milli: OnceLock::new(),
        handover: Mutex::new(handover),
        successor: OnceLock::new(),
        meter: Arc::clone(&shared.meter),
        began_at: now,
    });
    leadership.configured(shared);
    Some((leadership, version))
}

/// Plans whenever something changed and executes the scheduler's outputs.
async fn drive(leadership: &Arc<Leadership>, workers: &mut watch::Workers) {
    let mut tick = time::interval(Duration::from_millis(TICK_MS));
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut previous_counts = Counts::default();
    loop {
        tokio::select! {
            () = leadership.wake.notified() => {}
            _ = tick.tick() => {
                let mut scheduler = leadership.scheduler();
                let now = clock::since_boot();
                scheduler.tick(now, clock::unix_ms());
                scheduler.evict_long_running(now);
                let counts = scheduler.counts();
                drop(scheduler);
                count_ends(&previous_counts, &counts);
                previous_counts = counts;
            }
        }
        let round_at = time::Instant::now();
        let outputs = {
            let mut scheduler = leadership.scheduler();
            scheduler.plan(clock::since_boot(), clock::unix_ms());
            scheduler.take_outputs()
        };
        for output in outputs {
            match output {
                Output::Log(line) => log::info("holder", &line),
                Output::Superseded => {
                    log::info("duty", "superseded by a newer epoch");
                    leadership.ended.cancel();
                }
                command => workers.execute(command),
            }
        }
        leadership.write.notify_one();
        let took_ms = u64::try_from(round_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        leadership.meter.record_round(took_ms);
        let pause_ms = took_ms
            .saturating_mul(PLAN_PAUSE_FACTOR)
            .clamp(PLAN_PAUSE_MIN_MS, PLAN_PAUSE_MAX_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Adds the runs that ended since the previous call to the counters.
fn count_ends(before: &Counts, now: &Counts) {
    let ends = [
        ("done", before.done, now.done),
        ("failed", before.failed, now.failed),
        ("broken-off", before.broken_off, now.broken_off),
        ("lost", before.lost, now.lost),
    ];
    for (how, before, now) in ends {
        metrics::counter!("wasabiloft_runs_ended_total", "how" => how).increment(now - before);
    }
    metrics::counter!("wasabiloft_workers_crashed_total")
        .increment(now.workers_crashed - before.workers_crashed);
    metrics::counter!("wasabiloft_jobs_given_up_total").increment(now.given_up - before.given_up);
}

/// Follows the table of accepted jobs and cancellations.
async fn follow_jobs(shared: Arc<shared::Shared>, leadership: Arc<Leadership>, from: u64) {
    let mut after = Some(from);
    while !leadership.ended.is_cancelled() {
        let sent_at = clock::since_boot();
        let outcome = match after {
            Some(version) => poll_jobs(&shared, version).await,
            None => recovery::jobs(&shared).await,
        };
        match outcome {
            Ok(jobs) => {
                shared.record_store_response();
                after = Some(jobs.version);
                for (job, accepted) in jobs.accepted {
                    leadership.accepted(job, accepted);
                }
                for job in jobs.cancelled {
                    leadership.cancelled(job);
                }
                if jobs.complete {
                    leadership.scheduler().jobs_read(sent_at);
                }
            }
            Err(store::Error::HistoryUnavailable) => {
                log::info("holder", "history of jobs unavailable, reading all rows");
                after = None;
            }
            Err(error) => {
                log::info("holder", &format!("jobs unread reason={error}"));
                pause(&leadership, RETRY_MS).await;
            }
        }
    }
}

async fn poll_jobs(shared: &shared::Shared, after: u64) -> Result<recovery::Jobs, store::Error> {
    let page = shared
        .store
        .changes(record::JOB_TABLE, after, POLL_WAIT_MS)
        .await?;
    let mut jobs = recovery::Jobs {
        accepted: Vec::new(),
        cancelled: Vec::new(),
        complete: page.rows.len() < store::PAGE_ROWS_MAX as usize,
        version: page.version.max(after),
    };
    for row in &page.rows {
        recovery::apply_job_row(row, &mut jobs);
    }
    Ok(jobs)
}

/// Waits for a time, in milliseconds, or until the leadership ends.
pub async fn pause(leadership: &Leadership, pause_ms: u64) {
    tokio::select! {
        () = leadership.ended.cancelled() => {}
        () = time::sleep(Duration::from_millis(pause_ms)) => {}
    }
}
