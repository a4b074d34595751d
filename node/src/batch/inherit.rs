//! Reads the rows with which a holder begins.

use futures_util::future;
use wasabiloft::batch::scheduler;
use wasabiloft::batch::{JobId, record};
use wasabiloft::id;
use wasabiloft_platform::store;

use crate::batch::shared;
use crate::log;

/// Longest wait for one answer of the store, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Rows of jobs, with the version from which changes are to be followed.
pub struct Jobs {
    /// Accepted jobs.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Cancellations.
    pub cancelled: Vec<JobId>,
    /// Whether there were no more rows than one answer holds.
    pub complete: bool,
    /// Later changes are of this version or newer.
    pub version: u64,
}

/// Reads all rows of jobs.
///
/// # Errors
///
/// If the store doesn't give one of the parts.
pub async fn jobs(shared: &shared::Shared) -> Result<Jobs, store::Error> {
    let parts = record::job_partitions().map(|part| async move {
        shared
            .store
            .rows(record::JOB_TABLE, &part, READ_TIMEOUT_MS)
            .await
    });
    let pages = future::try_join_all(parts).await?;
    let mut jobs = Jobs {
        accepted: Vec::new(),
        cancelled: Vec::new(),
        complete: true,
        // A change between two reads has a version above the older of them.
        version: pages.iter().map(|page| page.version).min().unwrap_or(0),
    };
    for row in pages.into_iter().flat_map(|page| page.rows) {
        sort(&row, &mut jobs);
    }
    Ok(jobs)
}

/// Sorts a row of the job table.
pub fn sort(row: &store::Row, jobs: &mut Jobs) {
    let Some(value) = &row.value else { return };
    match record::JobKey::parse(&row.name.key) {
        Some(record::JobKey::Accepted(job)) => match serde_json::from_slice(value) {
            Ok(accepted) => jobs.accepted.push((job, accepted)),
            Err(error) => unreadable(row, &error),
        },
        Some(record::JobKey::Cancelled(job)) => jobs.cancelled.push(job),
        None => log::warn("holder", &format!("row ignored key={}", row.name.key)),
    }
}

fn unreadable(row: &store::Row, error: &serde_json::Error) {
    log::warn(
        "holder",
        &format!(
            "row can't be read table={} key={} reason={error}",
            row.name.table, row.name.key
        ),
    );
}

/// Reads all that a holder begins with, and the version from which changes of jobs are to be followed.
///
/// # Errors
///
/// If the store doesn't give some of it.
pub async fn all(
    shared: &shared::Shared,
) -> Result<(scheduler::RecoveredState, u64), store::Error> {
    let store = &shared.store;
    let (progress, workers, jobs) = future::try_join3(
        store.rows(
            record::PROGRESS_TABLE,
            record::SCHEDULER_PARTITION,
            READ_TIMEOUT_MS,
        ),
        store.rows(
            record::WORKER_TABLE,
            record::SCHEDULER_PARTITION,
            READ_TIMEOUT_MS,
        ),
        jobs(shared),
    )
    .await?;
    let mut found = scheduler::RecoveredState {
        accepted: jobs.accepted,
        cancelled: jobs.cancelled,
        ..scheduler::RecoveredState::default()
    };
    for row in &progress.rows {
        let (Ok(job), Some(value)) = (row.name.key.parse(), &row.value) else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(progress) => found.progress.push((job, progress)),
            Err(error) => unreadable(row, &error),
        }
    }
    for row in &workers.rows {
        let Some(value) = &row.value else { continue };
        match serde_json::from_slice(value) {
            Ok(worker) => found.workers.push((id::Worker::new(&row.name.key), worker)),
            Err(error) => unreadable(row, &error),
        }
    }
    Ok((found, jobs.version))
}
