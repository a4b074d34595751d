//! Holding the batch duty: the decisions of the library, with the store, the registry and the workers around them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::scheduler::{Counts, Output, Scheduler, Settings};
use wasabiloft::batch::{JobId, queue, record};
use wasabiloft::id;
use wasabiloft_platform::{registry, settings, store};

use crate::batch::{commit, fleet, inherit, shared, watch};
use crate::clock;
use crate::log;

/// Length of the leases that workers get, in milliseconds: long enough for a takeover, short enough that the work of a
/// worker that vanished is soon free.
const LEASE_MS: u64 = 4_000;
/// Shortest time between two plannings, in milliseconds; joins what arrives together.
const PLAN_EVERY_MS: u64 = 4;
/// Time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 50;
/// How long a poll of a table waits for a change, in milliseconds.
const POLL_WAIT_MS: u64 = 2_000;
/// Pause after a change of the registry was heard, in milliseconds: every worker writes its entry every second or two,
/// and changes that matter may be heard together.
const REGISTRY_PAUSE_MS: u64 = 120;
/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 100;
/// Longest wait for a reading of the registry, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;
/// After an outage of the store entries may be missing for this long, in milliseconds, as the platform promises.
const ENTRIES_BACK_MS: u64 = 2_500;

/// The duty while this node holds it.
#[derive(Debug)]
pub struct Holding {
    /// The epoch of the duty.
    pub epoch: u64,
    holder: Mutex<Scheduler>,
    /// Something changed that may be planned.
    pub wake: Notify,
    /// Something waits to be committed.
    pub write: Notify,
    /// Orders for machines were committed, so that they may be sent.
    pub cleared: Notify,
    /// A batch was committed.
    pub committed: Notify,
    /// Cancelled when the duty is lost or given back.
    pub over: CancellationToken,
    committed_ms: AtomicU64,
    /// Cancelled when a stronger node is to take the duty over.
    relieved: CancellationToken,
    relief_milli: OnceLock<u64>,
    /// When the duty was taken over.
    pub began_at: wasabiloft::clock::Instant,
}

impl Holding {
    /// The decisions.
    pub fn holder(&self) -> MutexGuard<'_, Scheduler> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the newest commit was sent, in milliseconds.
    pub fn since_commit_ms(&self) -> u64 {
        let at = self.committed_ms.load(Ordering::Relaxed);
        clock::since_boot().as_ms().saturating_sub(at)
    }

    /// Notes a commit that was sent at a moment.
    pub fn commit_sent(&self, at: wasabiloft::clock::Instant) {
        self.committed_ms.store(at.as_ms(), Ordering::Relaxed);
    }

    /// Gives the duty back for the sake of a stronger node, of so many thousandths of a core.
    pub fn relieve(&self, cpu_milli: u64) {
        self.relief_milli.get_or_init(|| cpu_milli);
        self.relieved.cancel();
    }

    /// The strength of the node for which the duty is given back.
    pub fn relief_milli(&self) -> Option<u64> {
        self.relief_milli.get().copied()
    }

    /// Takes in the node's newest configuration.
    pub fn configured(&self, shared: &shared::Shared) {
        if let Some(config) = shared.configured().config {
            self.holder().config_changed(config);
            self.wake.notify_one();
        }
    }

    /// Takes in a job.
    pub fn accepted(&self, job: JobId, accepted: record::Accepted) {
        self.holder()
            .job_accepted(job, accepted, clock::since_boot());
        self.wake.notify_one();
    }

    /// Takes in a cancellation.
    pub fn cancelled(&self, job: JobId) {
        self.holder()
            .job_cancelled(job, clock::since_boot(), clock::unix_ms());
        self.wake.notify_one();
    }

    /// A job's state, if it is known here.
    pub fn state(&self, job: JobId) -> Option<record::State> {
        self.holder().job_state(job)
    }

    /// How many jobs of a queue wait.
    pub fn waiting(&self, queue: &str) -> usize {
        self.holder().waiting_jobs(queue)
    }
}

fn terms(settings: &settings::Settings) -> Settings {
    Settings {
        lease_ms: LEASE_MS.min(settings.worker_lease_max_ms),
        status_ms: settings.job_status_ms,
    }
}

/// A claim that was committed.
pub struct Start {
    /// The duty's row.
    pub duty: record::Duty,
    /// Its version.
    pub version: u64,
    /// Whether the last holder may still give orders.
    pub predecessor_may_act: bool,
}

/// Holds the duty until it is lost or the node stops.
pub async fn run(shared: &Arc<shared::Shared>, start: Start) {
    let began_at = clock::since_boot();
    let Start {
        duty,
        version,
        predecessor_may_act,
    } = start;
    let Some((holding, jobs_version)) = begin(shared, &duty, predecessor_may_act).await else {
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
    shared.hold(Some(Arc::clone(&holding)));
    let mut parts = JoinSet::new();
    let committer = commit::Committer::new(duty, version);
    parts.spawn(commit::run(
        Arc::clone(shared),
        Arc::clone(&holding),
        committer,
    ));
    parts.spawn(follow_jobs(
        Arc::clone(shared),
        Arc::clone(&holding),
        jobs_version,
    ));
    parts.spawn(follow_registry(Arc::clone(shared), Arc::clone(&holding)));
    parts.spawn(fleet::run(Arc::clone(shared), Arc::clone(&holding)));
    let mut workers = watch::Workers::new(Arc::clone(&holding), shared.settings().advice);
    tokio::select! {
        () = drive(&holding, &mut workers) => {}
        () = holding.over.cancelled() => log::info("duty", &format!("lost epoch={}", holding.epoch)),
        () = shared.stop.cancelled() => {
            log::info("duty", &format!("given back epoch={} reason=stop", holding.epoch));
        }
        () = holding.relieved.cancelled() => log::info(
            "duty",
            &format!(
                "given back epoch={} reason=stronger-node cpu_milli={:?}",
                holding.epoch,
                holding.relief_milli()
            ),
        ),
    }
    shared.hold(None);
    workers.end().await;
    // Only now: the committer gives the duty back, and a successor may start tasks of its own.
    holding.over.cancel();
    while parts.join_next().await.is_some() {}
}

async fn begin(
    shared: &Arc<shared::Shared>,
    duty: &record::Duty,
    predecessor_may_act: bool,
) -> Option<(Arc<Holding>, u64)> {
    let (mut found, version) = match inherit::all(shared).await {
        Ok(found) => found,
        Err(error) => {
            log::warn("duty", &format!("rows unread reason={error}"));
            return None;
        }
    };
    found.predecessor_may_act = predecessor_may_act;
    log::info(
        "holder",
        &format!(
            "inherits jobs={} progress={} workers={}",
            found.accepted.len(),
            found.progress.len(),
            found.workers.len()
        ),
    );
    let config = shared.configured().config;
    let config = config.unwrap_or_else(|| Arc::new(queue::Config::default()));
    let settings = shared.settings();
    let now = clock::since_boot();
    let holder = Scheduler::new(terms(&settings), duty.epoch, config, found, now);
    let holding = Arc::new(Holding {
        epoch: duty.epoch,
        holder: Mutex::new(holder),
        wake: Notify::new(),
        write: Notify::new(),
        committed: Notify::new(),
        cleared: Notify::new(),
        over: CancellationToken::new(),
        committed_ms: AtomicU64::new(now.as_ms()),
        relieved: CancellationToken::new(),
        relief_milli: OnceLock::new(),
        began_at: now,
    });
    holding.configured(shared);
    Some((holding, version))
}

/// Plans whenever something changed, and carries out what the holder decides.
async fn drive(holding: &Arc<Holding>, workers: &mut watch::Workers) {
    let mut tick = time::interval(Duration::from_millis(TICK_MS));
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut counted = Counts::default();
    loop {
        tokio::select! {
            () = holding.wake.notified() => {}
            _ = tick.tick() => {
                let mut holder = holding.holder();
                let now = clock::since_boot();
                holder.tick(now, clock::unix_ms());
                holder.evict_long_running(now);
                let counts = holder.counts();
                drop(holder);
                count_ends(&counted, &counts);
                counted = counts;
            }
        }
        let outputs = {
            let mut holder = holding.holder();
            holder.plan(clock::since_boot(), clock::unix_ms());
            holder.take_outputs()
        };
        for output in outputs {
            match output {
                Output::Log(line) => log::info("holder", &line),
                Output::Superseded => {
                    log::info("duty", "superseded by a newer epoch");
                    holding.over.cancel();
                }
                order => workers.carry_out(order),
            }
        }
        holding.write.notify_one();
        time::sleep(Duration::from_millis(PLAN_EVERY_MS)).await;
    }
}

/// Adds to the counters what has ended since the last time.
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
}

/// Follows accepted jobs and cancellations.
async fn follow_jobs(shared: Arc<shared::Shared>, holding: Arc<Holding>, from: u64) {
    let mut after = Some(from);
    while !holding.over.is_cancelled() {
        let sent_at = clock::since_boot();
        let outcome = match after {
            Some(version) => poll_jobs(&shared, version).await,
            None => inherit::jobs(&shared).await,
        };
        match outcome {
            Ok(jobs) => {
                shared.store_answered();
                after = Some(jobs.version);
                for (job, accepted) in jobs.accepted {
                    holding.accepted(job, accepted);
                }
                for job in jobs.cancelled {
                    holding.cancelled(job);
                }
                if jobs.complete {
                    holding.holder().jobs_read(sent_at);
                }
            }
            Err(store::Error::HistoryUnavailable) => {
                log::info("holder", "history of jobs gone, reads anew");
                after = None;
            }
            Err(error) => {
                log::info("holder", &format!("jobs unread reason={error}"));
                pause(&holding, RETRY_MS).await;
            }
        }
    }
}

async fn poll_jobs(shared: &shared::Shared, after: u64) -> Result<inherit::Jobs, store::Error> {
    let page = shared
        .store
        .changes(record::JOB_TABLE, after, POLL_WAIT_MS)
        .await?;
    let mut jobs = inherit::Jobs {
        accepted: Vec::new(),
        cancelled: Vec::new(),
        complete: page.rows.len() < store::PAGE_ROWS_MAX as usize,
        version: page.version.max(after),
    };
    for row in &page.rows {
        inherit::sort(row, &mut jobs);
    }
    Ok(jobs)
}

async fn pause(holding: &Holding, pause_ms: u64) {
    tokio::select! {
        () = holding.over.cancelled() => {}
        () = time::sleep(Duration::from_millis(pause_ms)) => {}
    }
}

/// Follows the registry of workers.
async fn follow_registry(shared: Arc<shared::Shared>, holding: Arc<Holding>) {
    let mut after = None;
    let mut known: BTreeMap<id::Worker, u64> = BTreeMap::new();
    let mut lost_at = None;
    let mut trusted_at = wasabiloft::clock::Instant::ZERO;
    while !holding.over.is_cancelled() {
        let outcome = match after {
            Some(version) => {
                shared
                    .store
                    .changes(registry::TABLE, version, POLL_WAIT_MS)
                    .await
            }
            None => {
                shared
                    .store
                    .rows(registry::TABLE, "", READ_TIMEOUT_MS)
                    .await
            }
        };
        let page = match outcome {
            Ok(page) => page,
            Err(store::Error::HistoryUnavailable) => {
                after = None;
                continue;
            }
            Err(error) => {
                if lost_at.is_none() {
                    log::info("holder", &format!("registry unread reason={error}"));
                }
                lost_at.get_or_insert(clock::since_boot());
                pause(&holding, RETRY_MS).await;
                continue;
            }
        };
        let now = clock::since_boot();
        if lost_at.take().is_some() {
            // Entries that lapsed meanwhile come back; until then a missing one means nothing.
            trusted_at = now.after_ms(ENTRIES_BACK_MS);
        }
        if after.is_none() {
            let present: Vec<id::Worker> = page
                .rows
                .iter()
                .map(|row| id::Worker::new(&row.name.key))
                .collect();
            let missing: Vec<id::Worker> = known
                .keys()
                .filter(|worker| !present.contains(worker))
                .cloned()
                .collect();
            for worker in missing {
                known.remove(&worker);
                holding.holder().worker_unlisted(&worker);
            }
        }
        for row in &page.rows {
            entry(&holding, row, &mut known, now >= trusted_at);
        }
        after = Some(page.version.max(after.unwrap_or(0)));
        holding.wake.notify_one();
        pause(&holding, REGISTRY_PAUSE_MS).await;
    }
}

fn entry(
    holding: &Holding,
    row: &store::Row,
    known: &mut BTreeMap<id::Worker, u64>,
    removals_count: bool,
) {
    let id = id::Worker::new(&row.name.key);
    let now = clock::since_boot();
    match registry::decode(row) {
        Ok(listing) => {
            known.insert(id, row.version);
            holding.holder().worker_listed(listing, now);
        }
        Err(error) => {
            if row.value.is_some() {
                log::warn("holder", &error.to_string());
            }
            if removals_count || row.value.is_some() {
                known.remove(&id);
                holding.holder().worker_unlisted(&id);
            }
        }
    }
}
