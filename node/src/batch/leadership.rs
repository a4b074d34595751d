//! Leads the batch duty: runs the library's scheduler and connects it to the store, the registry and the workers.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::scheduler::{Counts, Output, Scheduler, Settings};
use wasabiloft::batch::tombstones::Tombstones;
use wasabiloft::batch::{JobId, authority, handover, predecessors, queue, record, relays};
use wasabiloft::id;
use wasabiloft_platform::{settings, store};

use crate::batch::{
    commit, fleet, gauges, job_feed, lateness, recovery, registry_feed, removal, shared, standby,
    watch,
};
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
/// Removals of jobs' rows are remembered for this long, in milliseconds; a read that began before a removal, and still
/// returns the rows, ends long before.
const REMOVED_KEEP_MS: u64 = 300_000;

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
    pub(super) committed_ms: AtomicU64,
    /// Length of the workers' leases, in milliseconds.
    pub(super) lease_ms: u64,
    pub(super) authority: Mutex<authority::Authority>,
    /// The wait for leaders before this one.
    pub(super) wait: Mutex<predecessors::Wait>,
    /// What leases were last granted by.
    pub(super) proof: Mutex<authority::Proof>,
    /// Cancelled when a node with more CPU should take over the duty.
    step_down_requested: CancellationToken,
    successor_cpu_milli: OnceLock<u64>,
    handover: Mutex<handover::Handover>,
    /// The node that this slow leader names as its successor.
    successor: OnceLock<handover::Follower>,
    /// How late this process runs.
    pub(super) meter: Arc<lateness::Meter>,
    /// Jobs whose rows were removed, with the version and the time of the removal.
    removed: Mutex<BTreeMap<JobId, (u64, wasabiloft::clock::Instant)>>,
    /// Tombstones in the job table that are to be removed.
    tombstones: Mutex<Tombstones>,
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

    /// Records that the rows of ended jobs were removed from the job table at a version.
    pub fn rows_removed(&self, jobs: &[JobId], version: u64) {
        let now = clock::since_boot();
        let mut removed = self.removed.lock().unwrap_or_else(PoisonError::into_inner);
        removed.retain(|_, (_, at)| now.since_ms(*at) < REMOVED_KEEP_MS);
        removed.extend(jobs.iter().map(|job| (*job, (version, now))));
        drop(removed);
        self.scheduler().job_rows_removed(jobs);
        self.write.notify_one();
    }

    /// Decodes rows of the job table, except those that were read before this leader removed them.
    pub fn decode_jobs(&self, rows: &[store::Row]) -> recovery::Jobs {
        let removed = self.removed.lock().unwrap_or_else(PoisonError::into_inner);
        let versions = removed.iter().map(|(job, (version, _))| (*job, *version));
        recovery::Jobs::decode(rows, &versions.collect())
    }

    /// Locks and returns the tombstones in the job table.
    pub fn tombstones(&self) -> MutexGuard<'_, Tombstones> {
        let tombstones = self.tombstones.lock();
        tombstones.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records tombstones in the job table, with the versions of their rows.
    pub fn tombstones_read(&self, read: &[(JobId, u64)]) {
        let now = clock::since_boot();
        let mut tombstones = self.tombstones();
        for (job, version) in read {
            tombstones.read(*job, *version, now);
        }
    }

    /// Returns the time since the newest commit was sent, in milliseconds.
    pub fn since_commit_ms(&self) -> u64 {
        let at = self.committed_ms.load(Ordering::Relaxed);
        clock::since_boot().as_ms().saturating_sub(at)
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
        lease_max_ms: settings.worker_lease_max_ms,
        row_bytes: settings.row_bytes,
        status_ms: settings.job_status_ms,
        quota_window_ms: settings
            .accounts
            .rate_window_ms
            .unwrap_or(Settings::QUOTA_WINDOW_DEFAULT_MS),
    }
}

/// A committed claim of the duty.
pub struct Start {
    /// The duty's row as the claim wrote it.
    pub duty: record::Duty,
    /// Version of the row.
    pub version: u64,
    /// A moment at which this node certainly led.
    pub led_at: wasabiloft::clock::Instant,
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
        led_at,
        handed_over,
        standby,
    } = start;
    // The duty is renewed meanwhile: rows that take seconds to read, or are refused, would else lose it.
    let rows_read = CancellationToken::new();
    let renewed_ms = Arc::new(AtomicU64::new(led_at.as_ms()));
    let mut renewing = tokio::spawn(commit::renew_until(
        Arc::clone(shared),
        commit::Committer::new(duty.clone(), version),
        rows_read.clone(),
        Arc::clone(&renewed_ms),
    ));
    let begun = tokio::select! {
        begun = begin(shared, &duty, handed_over, standby, &renewed_ms) => begun,
        // Returns before the rows are read only if the duty is lost or the node stops.
        _ = &mut renewing => {
            log::info(
                "duty",
                &format!("lost while reading rows epoch={}", duty.epoch),
            );
            return;
        }
        () = shared.stop.cancelled() => {
            rows_read.cancel();
            // Nothing was started, and the next leader finds this process gone.
            let _ = renewing.await;
            return;
        }
    };
    rows_read.cancel();
    let (leadership, reader, jobs_version) = begun;
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
    tasks.spawn(commit_after_renewal(
        Arc::clone(shared),
        Arc::clone(&leadership),
        renewing,
    ));
    tasks.spawn(job_feed::follow(
        Arc::clone(shared),
        Arc::clone(&leadership),
        reader,
        jobs_version,
    ));
    tasks.spawn(removal::run(Arc::clone(shared), Arc::clone(&leadership)));
    tasks.spawn(registry_feed::follow(
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

/// Commits the scheduler's batches once the last renewal is answered, which a refusing store delays.
async fn commit_after_renewal(
    shared: Arc<shared::Shared>,
    leadership: Arc<Leadership>,
    renewing: JoinHandle<Option<commit::Committer>>,
) {
    match renewing.await {
        Ok(Some(committer)) => commit::run(shared, leadership, committer).await,
        _ => leadership.ended.cancel(),
    }
}

/// Reads rows until the node may lead. Returns the reader of the parts that are missing, and the version after which
/// changes of jobs must be followed.
async fn begin(
    shared: &Arc<shared::Shared>,
    duty: &record::Duty,
    handed_over: bool,
    standby: Option<standby::Standby>,
    renewed_ms: &AtomicU64,
) -> (Arc<Leadership>, recovery::Reader, u64) {
    let prepared = match standby {
        Some(standby) => standby.finish(shared).await,
        None => None,
    };
    let (mut reader, mut recovered) = match prepared {
        Some(recovered) => (
            recovery::Reader::of(shared, recovery::Scope::Own),
            recovered,
        ),
        None => (
            recovery::Reader::new(shared),
            recovery::Recovered::default(),
        ),
    };
    while !reader.reads().may_lead(clock::since_boot()) {
        let leads_at = reader.reads().leads_at();
        let grace_ms = leads_at.map(|at| at.since_ms(clock::since_boot()).max(1));
        tokio::select! {
            read = reader.next() => {
                if read.was_refused {
                    recovery::log_late(&read, 0);
                }
                recovered.add(&read);
            }
            () = time::sleep(Duration::from_millis(grace_ms.unwrap_or(0))), if grace_ms.is_some() => {}
        }
    }
    let version = recovered.version.unwrap_or(0);
    let tombstones = std::mem::take(&mut recovered.tombstones);
    let mut recovered = recovered.state;
    recovered.unread = reader.reads().unread_partitions().collect();
    recovered.earlier = duty.earlier;
    log::info(
        "holder",
        &format!(
            "inherits jobs={} progress={} workers={} partitions={} unread={:?} repeated={} earlier={:?}",
            recovered.accepted.len(),
            recovered.progress.len(),
            recovered.workers.len(),
            record::JOB_PARTITIONS - recovered.unread.len() as u64,
            recovered.unread,
            reader.reads().repeated(),
            duty.earlier
        ),
    );
    let config = shared.current_config().config;
    let config = config.unwrap_or_else(|| Arc::new(queue::Config::default()));
    let settings = shared.settings();
    let now = clock::since_boot();
    let scheduler_settings = scheduler_settings(&settings);
    let committed_ms = renewed_ms.load(Ordering::Relaxed);
    let committed_at = wasabiloft::clock::Instant::from_ms(committed_ms);
    let scheduler = Scheduler::new(scheduler_settings, duty.epoch, config, recovered, now);
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
    let assumed = predecessors::Assumed {
        earlier: duty.earlier,
        unconfirmed: duty.unconfirmed.clone(),
    };
    let leadership = Arc::new(Leadership {
        epoch: duty.epoch,
        scheduler: Mutex::new(scheduler),
        relays: Mutex::new(relays::Relays::new(strength)),
        wake: Notify::new(),
        write: Notify::new(),
        committed: Notify::new(),
        commands_committed: Notify::new(),
        ended: CancellationToken::new(),
        lease_ms: scheduler_settings.lease_ms,
        authority: Mutex::new(authority::Authority::new(committed_at, now)),
        wait: Mutex::new(predecessors::Wait::new(assumed, now)),
        proof: Mutex::new(authority::Proof::Commit),
        committed_ms: AtomicU64::new(committed_ms),
        step_down_requested: CancellationToken::new(),
        successor_cpu_milli: OnceLock::new(),
        handover: Mutex::new(handover),
        successor: OnceLock::new(),
        meter: Arc::clone(&shared.meter),
        removed: Mutex::default(),
        tombstones: Mutex::default(),
        began_at: now,
    });
    leadership.tombstones_read(&tombstones);
    leadership.limit_leases();
    leadership.configured(shared);
    (leadership, reader, version)
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
                let may_act = leadership.may_act();
                let mut scheduler = leadership.scheduler();
                let now = clock::since_boot();
                scheduler.tick(now, clock::unix_ms());
                if may_act {
                    scheduler.evict_long_running(now);
                }
                let counts = scheduler.counts();
                drop(scheduler);
                gauges::count_ends(&previous_counts, &counts);
                previous_counts = counts;
            }
        }
        let round_at = time::Instant::now();
        let outputs = {
            let may_act = leadership.may_act();
            let mut scheduler = leadership.scheduler();
            if may_act {
                scheduler.plan(clock::since_boot(), clock::unix_ms());
            }
            scheduler.take_outputs()
        };
        for output in outputs {
            match output {
                Output::Log(line) => log::info("holder", &line),
                Output::Superseded => {
                    log::info("duty", "superseded by a newer epoch");
                    leadership.ended.cancel();
                    break;
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

/// Waits for some time, or until the leadership ends.
pub async fn pause(leadership: &Leadership, pause_ms: u64) {
    tokio::select! {
        () = leadership.ended.cancelled() => {}
        () = time::sleep(Duration::from_millis(pause_ms)) => {}
    }
}
