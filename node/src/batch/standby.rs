//! A warm standby of a slow leader: reads the rows of jobs before it leads the duty, and follows their changes.
//!
//! Rows of progress and of workers change with each commit of the leader, so they are read after the claim.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::batch::{JobId, record};
use wasabiloft_platform::store;

use crate::batch::{recovery, shared};
use crate::clock;
use crate::log;

/// Wait of a long poll for changes, in milliseconds; the standby ends within that time.
const POLL_WAIT_MS: u64 = 500;
/// Pause between two polls, in milliseconds; bounds the calls during a burst of submissions.
const POLL_PAUSE_MS: u64 = 50;
/// Pause after a failed read, in milliseconds.
const RETRY_MS: u64 = 100;
/// Maximum number of reads of changes after the claim, before all rows are read anew; one usually suffices.
const CATCH_UP_READS_MAX: u32 = 8;

/// Rows of the job table at a version.
#[derive(Debug, Default)]
struct Rows {
    accepted: BTreeMap<JobId, record::Accepted>,
    cancelled: BTreeSet<JobId>,
    undecodable: BTreeSet<JobId>,
    tombstones: BTreeMap<JobId, u64>,
    version: u64,
}

impl Rows {
    /// Applies a page of changes, which also contains removals.
    fn apply(&mut self, page: &store::Page) {
        for row in &page.rows {
            if row.removed {
                match record::JobKey::parse(&row.name.key) {
                    Some(record::JobKey::Accepted(job)) => {
                        self.accepted.remove(&job);
                        self.tombstones.remove(&job);
                    }
                    Some(record::JobKey::Cancelled(job)) => {
                        self.cancelled.remove(&job);
                    }
                    None => {}
                }
                continue;
            }
            self.add(std::slice::from_ref(row));
        }
        self.version = self.version.max(page.version);
    }

    fn add(&mut self, rows: &[store::Row]) {
        let jobs = recovery::Jobs::decode(rows, &BTreeMap::new());
        self.accepted.extend(jobs.accepted);
        self.cancelled.extend(jobs.cancelled);
        self.undecodable.extend(jobs.undecodable);
        self.tombstones.extend(jobs.tombstones);
    }
}

#[derive(Debug, Default)]
struct State {
    rows: Mutex<Rows>,
    is_prepared: AtomicBool,
}

impl State {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A standby; its reads end when it is dropped.
#[derive(Debug)]
pub struct Standby {
    state: Arc<State>,
    reads: JoinSet<()>,
}

impl Standby {
    /// Starts to read the rows.
    pub fn start(shared: &Arc<shared::Shared>) -> Self {
        let state = Arc::new(State::default());
        let mut reads = JoinSet::new();
        reads.spawn(follow(Arc::clone(shared), Arc::clone(&state)));
        Self { state, reads }
    }

    /// Returns whether all rows were read.
    pub fn is_prepared(&self) -> bool {
        self.state.is_prepared.load(Ordering::Relaxed)
    }

    /// Returns the rows of jobs after this node claimed the duty; `None` if they must be read anew.
    ///
    /// Reads the changes until now: a job whose row was removed meanwhile has no progress row either and would run again.
    pub async fn finish(mut self, shared: &shared::Shared) -> Option<recovery::Recovered> {
        self.reads.shutdown().await;
        if !self.is_prepared() {
            return None;
        }
        for _ in 0..CATCH_UP_READS_MAX {
            let version = self.state.rows().version;
            let page = match shared.store.changes(record::JOB_TABLE, version, 0).await {
                Ok(page) => page,
                Err(error) => {
                    log::info("duty", &format!("standby reads anew reason={error}"));
                    return None;
                }
            };
            let is_complete = page.rows.len() < store::PAGE_ROWS_MAX as usize;
            let mut rows = self.state.rows();
            rows.apply(&page);
            if is_complete {
                let rows = std::mem::take(&mut *rows);
                let jobs = recovery::Jobs {
                    accepted: rows.accepted.into_iter().collect(),
                    cancelled: rows.cancelled.into_iter().collect(),
                    undecodable: rows.undecodable.into_iter().collect(),
                    tombstones: rows.tombstones.into_iter().collect(),
                };
                return Some(recovery::Recovered::with_jobs(jobs, rows.version));
            }
        }
        None
    }
}

async fn follow(shared: Arc<shared::Shared>, state: Arc<State>) {
    loop {
        let began_at = clock::since_boot();
        let rows = read(&shared).await;
        log::info(
            "duty",
            &format!(
                "standby prepared jobs={} read_ms={}",
                rows.accepted.len(),
                clock::since_boot().since_ms(began_at)
            ),
        );
        *state.rows() = rows;
        state.is_prepared.store(true, Ordering::Relaxed);
        follow_changes(&shared, &state).await;
        state.is_prepared.store(false, Ordering::Relaxed);
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Reads all partitions of the job table.
async fn read(shared: &Arc<shared::Shared>) -> Rows {
    let mut reader = recovery::Reader::of(shared, recovery::Scope::Jobs);
    let mut rows = Rows {
        version: u64::MAX,
        ..Rows::default()
    };
    while !reader.reads().is_complete() {
        let read = reader.next().await;
        rows.add(&read.rows);
        // A change between two reads has a version above the older of the two.
        rows.version = rows.version.min(read.version);
    }
    rows
}

/// Follows changes until their history is unavailable.
async fn follow_changes(shared: &shared::Shared, state: &State) {
    loop {
        let version = state.rows().version;
        let changes = shared
            .store
            .changes(record::JOB_TABLE, version, POLL_WAIT_MS);
        match changes.await {
            Ok(page) => state.rows().apply(&page),
            Err(store::Error::HistoryUnavailable) => return,
            Err(error) => {
                log::info("duty", &format!("standby changes unread reason={error}"));
                time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
        time::sleep(Duration::from_millis(POLL_PAUSE_MS)).await;
    }
}
