//! A randomised soak test: runs daemons as child processes on a stand-in platform and injects faults from outside.
//!
//! The callers' work and the faults are drawn from a seed. The checks cover what callers and workers observe: the runs of
//! each task, the responses to callers, the commands to machines, and that all work completes after the faults end.

mod accounts;
mod callers;
mod faults;
pub mod scenario;
pub mod worker;
pub mod world;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

/// Time after the last fault by which accepted jobs must be done, in milliseconds: the sum of the platform's bounds for
/// recovery and for completing the work.
const COMPLETION_LIMIT_MS: u64 = 26_000;
/// Interval between checks for unfinished work, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;

/// Default duration of the fault injection, in milliseconds.
pub const RUN_MS: u64 = 12_000;

/// Seeds that once failed with the sizes of [`Options::new`], each with the cause. CI runs them.
pub const REGRESSIONS: &[(u64, &str)] = &[
    (
        301,
        "jobs that always fail made all workers suspect, so that their last attempts waited forever",
    ),
    (
        526,
        "the stand-in's worker ended runs with a lapsed lease only on its next request; the daemon was right",
    ),
];

/// How faults are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// One at a time, of nodes, the store and the paths to workers; they overlap if they last.
    Single,
    /// Several at a time and in quick succession, also of the machine API and of workers that run on while they are
    /// unreachable.
    Series,
    /// The leader's process is frozen again and again while workers are cut off, and wakes before the cut ends.
    FrozenLeaders,
    /// Several at a time, of the network from single nodes to the store, to workers and to each other, and of processes.
    Partitions,
}

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of the callers' work and the faults.
    pub seed: u64,
    /// Duration of the fault injection, in milliseconds.
    pub run_ms: u64,
    /// Number of daemons.
    pub nodes: usize,
    /// Number of machines in service pools; a third as many more start in the spare pool.
    pub machines: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of client accounts; with 0, callers need no key.
    pub accounts: usize,
    /// Whether operators request a maintenance wave at the start.
    pub wave: bool,
    /// Time for which the state of an ended job can be queried, in milliseconds.
    pub job_status_ms: u64,
    /// How faults are drawn.
    pub faults: Faults,
}

impl Options {
    /// Returns options with the default sizes.
    pub fn new(daemon: PathBuf, seed: u64) -> Self {
        Self {
            daemon,
            seed,
            run_ms: RUN_MS,
            nodes: 4,
            machines: 6,
            callers: 6,
            accounts: 0,
            wave: true,
            job_status_ms: 120_000,
            faults: Faults::Single,
        }
    }

    /// Returns options with many processes.
    pub fn large(daemon: PathBuf, seed: u64) -> Self {
        Self {
            nodes: 24,
            machines: 48,
            callers: 24,
            ..Self::new(daemon, seed)
        }
    }
}

/// Result of a soak with one seed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed that the work and the faults were drawn from.
    pub seed: u64,
    /// Number of jobs that callers submitted, whatever the outcome.
    pub jobs: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs with every attempt refused as not run.
    pub refused: usize,
    /// Number of starts of tasks.
    pub starts: u32,
    /// Number of calls with an unknown, missing or revoked key that were answered 401.
    pub denied: usize,
    /// Descriptions of the injected faults, in order.
    pub faults: Vec<String>,
    /// Violations of the system's guarantees; empty if the soak passed.
    pub violations: Vec<String>,
    /// Directory of the daemons' logs; present only if there are violations.
    pub logs: Option<PathBuf>,
}

/// Runs the soak with one seed.
///
/// # Errors
///
/// Returns an error if a process or a stand-in can't be started.
pub async fn run(options: &Options) -> std::io::Result<Report> {
    let world = Arc::new(world::World::start(options).await?);
    let updates = tokio::spawn(Arc::clone(&world).run_updates());
    let callers = callers::start(&world, options);
    let key_changes =
        accounts::change_keys(Arc::clone(&world), options.clone(), callers.stop.clone());
    let key_changes = tokio::spawn(key_changes);
    let injected = faults::inject_all(&world, options).await;
    callers.stop.cancel();
    // A panic of the task is shown as a violation, since keys would no longer change.
    if let Err(error) = key_changes.await {
        world
            .checker
            .add_violation(format!("keys no longer change: {error}"));
    }
    let jobs = callers.join().await;
    world.end_faults()?;
    let unfinished = wait_until_finished(&world, &jobs).await;
    for text in unfinished {
        world.checker.add_violation(text);
    }
    updates.abort();
    // The task was aborted, so its result is ignored.
    let _ = updates.await;
    let violations = world.violations();
    let count = |outcome| jobs.iter().filter(|job| job.submission == outcome).count();
    Ok(Report {
        seed: options.seed,
        jobs: jobs.len(),
        accepted: count(crate::hosted::checker::Submission::Accepted),
        refused: count(crate::hosted::checker::Submission::Refused),
        starts: world.checker.start_counts().values().sum(),
        denied: world.denied.load(std::sync::atomic::Ordering::Relaxed),
        faults: injected,
        logs: (!violations.is_empty()).then(|| world.keep_logs()),
        violations,
    })
}

/// Waits until all work is finished, and returns what isn't finished in time.
async fn wait_until_finished(world: &Arc<world::World>, jobs: &[callers::Job]) -> Vec<String> {
    let deadline = time::Instant::now() + Duration::from_millis(COMPLETION_LIMIT_MS);
    loop {
        let unfinished = callers::unfinished(world, jobs).await;
        if unfinished.is_empty() || time::Instant::now() >= deadline {
            return unfinished;
        }
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}
