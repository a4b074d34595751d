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
    version: u64,
}

impl Rows {
    /// Applies a page of changes, which also contains removals.
    fn apply(&mut self, page: &store::Page) {
        for row in &page.rows {
            if row.value.is_none() {
                match record::JobKey::parse(&row.name.key) {
                    Some(record::JobKey::Accepted(job)) => {
                        self.accepted.remove(&job);
                    }
                    Some(record::JobKey::Cancelled(job)) => {
                        self.cancelled.remove(&job);
                    }
                    None => {}
                }
                continue;
            }
            let mut jobs = recovery::Jobs {
                accepted: Vec::new(),
                cancelled: Vec::new(),
                complete: false,
                version: 0,
            };
            recovery::apply_job_row(row, &mut jobs);
            self.accepted.extend(jobs.accepted);
            self.cancelled.extend(jobs.cancelled);
        }
        self.version = self.version.max(page.version);
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
    pub async fn finish(mut self, shared: &shared::Shared) -> Option<recovery::Jobs> {
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
                return Some(recovery::Jobs {
                    accepted: rows.accepted.into_iter().collect(),
                    cancelled: rows.cancelled.into_iter().collect(),
                    complete: true,
                    version: rows.version,
                });
            }
        }
        None
    }
}

async fn follow(shared: Arc<shared::Shared>, state: Arc<State>) {
    loop {
        let began_at = clock::since_boot();
        match recovery::jobs(&shared).await {
            Ok(jobs) => {
                log::info(
                    "duty",
                    &format!(
                        "standby prepared jobs={} read_ms={}",
                        jobs.accepted.len(),
                        clock::since_boot().since_ms(began_at)
                    ),
                );
                *state.rows() = Rows {
                    accepted: jobs.accepted.into_iter().collect(),
                    cancelled: jobs.cancelled.into_iter().collect(),
                    version: jobs.version,
                };
                state.is_prepared.store(true, Ordering::Relaxed);
                follow_changes(&shared, &state).await;
                state.is_prepared.store(false, Ordering::Relaxed);
            }
            Err(error) => log::info("duty", &format!("standby rows unread reason={error}")),
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
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
