//! Reads the rows from which a new leader recovers its state.

use futures_util::future;
use wasabiloft::batch::scheduler;
use wasabiloft::batch::{JobId, record};
use wasabiloft::id;
use wasabiloft_platform::store;

use crate::batch::shared;
use crate::log;

/// Timeout of a read from the store, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Rows of the job table, with the version after which changes must be followed.
pub struct Jobs {
    /// Accepted jobs with their records.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Jobs with a cancellation.
    pub cancelled: Vec<JobId>,
    /// Whether all rows were read, so that none are left for another page.
    pub complete: bool,
    /// Version after which changes must be followed.
    pub version: u64,
}

/// Reads all rows of the job table.
///
/// # Errors
///
/// Fails if one of the partitions cannot be read.
pub async fn jobs(shared: &shared::Shared) -> Result<Jobs, store::Error> {
    let reads = record::job_partitions().map(|part| async move {
        shared
            .store
            .rows(record::JOB_TABLE, &part, READ_TIMEOUT_MS)
            .await
    });
    let pages = future::try_join_all(reads).await?;
    let mut jobs = Jobs {
        accepted: Vec::new(),
        cancelled: Vec::new(),
        complete: true,
        // A change between two reads has a version above the older of the two.
        version: pages.iter().map(|page| page.version).min().unwrap_or(0),
    };
    for row in pages.into_iter().flat_map(|page| page.rows) {
        apply_job_row(&row, &mut jobs);
    }
    Ok(jobs)
}

/// Adds a row of the job table to the accepted jobs or the cancellations.
pub fn apply_job_row(row: &store::Row, jobs: &mut Jobs) {
    let Some(value) = &row.value else { return };
    match record::JobKey::parse(&row.name.key) {
        Some(record::JobKey::Accepted(job)) => match serde_json::from_slice(value) {
            Ok(accepted) => jobs.accepted.push((job, accepted)),
            Err(error) => log_decode_error(row, &error),
        },
        Some(record::JobKey::Cancelled(job)) => jobs.cancelled.push(job),
        None => log::warn("holder", &format!("row ignored key={}", row.name.key)),
    }
}

fn log_decode_error(row: &store::Row, error: &serde_json::Error) {
    log::warn(
        "holder",
        &format!(
            "cannot decode row table={} key={} reason={error}",
            row.name.table, row.name.key
        ),
    );
}

/// Reads the state that a new leader recovers, and the version after which changes of jobs must be followed.
///
/// # Errors
///
/// Fails if any of the rows cannot be read.
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
    let mut recovered = scheduler::RecoveredState {
        accepted: jobs.accepted,
        cancelled: jobs.cancelled,
        ..scheduler::RecoveredState::default()
    };
    for row in &progress.rows {
        let (Ok(job), Some(value)) = (row.name.key.parse(), &row.value) else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(progress) => recovered.progress.push((job, progress)),
            Err(error) => log_decode_error(row, &error),
        }
    }
    for row in &workers.rows {
        let Some(value) = &row.value else { continue };
        match serde_json::from_slice(value) {
            Ok(worker) => recovered
                .workers
                .push((id::Worker::new(&row.name.key), worker)),
            Err(error) => log_decode_error(row, &error),
        }
    }
    Ok((recovered, jobs.version))
}
