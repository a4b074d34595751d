//! Reads the rows from which a new leader recovers its state.

use std::time::Duration;

use futures_util::{StreamExt, TryStreamExt, stream};
use tokio::time;
use wasabiloft::batch::{JobId, record, recovery_pages, scheduler};
use wasabiloft::id;
use wasabiloft_platform::store;

use crate::batch::shared;
use crate::log;

/// Timeout of a read from the store, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;
/// Attempts at a read before the recovery fails.
const READ_ATTEMPTS_MAX: u32 = 4;
/// Pause before a read is repeated, in milliseconds.
const READ_RETRY_MS: u64 = 50;

/// Reads all rows of a partition in pages that the node's link carries in time.
async fn rows(
    shared: &shared::Shared,
    table: &str,
    part: &str,
    rows_max: u32,
) -> Result<store::Page, store::Error> {
    let mut all: Option<store::Page> = None;
    loop {
        let last = all.as_ref().and_then(|all| all.rows.last());
        let from = last.map(|row| row.name.next_key());
        let page = page(shared, table, part, from.as_deref(), rows_max).await?;
        let more = page.more && !page.rows.is_empty();
        match &mut all {
            None => all = Some(page),
            Some(all) => {
                all.rows.extend(page.rows);
                // Rows that changed after the first page was read are followed by their later versions.
                all.version = all.version.min(page.version);
            }
        }
        if let Some(all) = all.take_if(|_| !more) {
            return Ok(all);
        }
    }
}

async fn page(
    shared: &shared::Shared,
    table: &str,
    part: &str,
    from: Option<&str>,
    rows_max: u32,
) -> Result<store::Page, store::Error> {
    let mut attempts = 1;
    loop {
        let read = shared
            .store
            .page(table, part, from, rows_max, READ_TIMEOUT_MS);
        match read.await {
            Err(error) if attempts < READ_ATTEMPTS_MAX => {
                attempts += 1;
                log::info(
                    "holder",
                    &format!("rows read again table={table} part={part} reason={error}"),
                );
                time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            }
            outcome => return outcome,
        }
    }
}

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
    let reads = recovery_pages::reads(shared.settings().link_kbit_per_s);
    let pages: Vec<store::Page> = stream::iter(record::job_partitions())
        .map(|part| async move { rows(shared, record::JOB_TABLE, &part, reads.rows_max).await })
        .buffer_unordered(reads.at_once)
        .try_collect()
        .await?;
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

/// Reads the state that a new leader recovers, and the version after which changes of jobs must be followed. A standby has
/// read the rows of jobs already.
///
/// # Errors
///
/// Fails if any of the rows cannot be read.
pub async fn all(
    shared: &shared::Shared,
    known_jobs: Option<Jobs>,
) -> Result<(scheduler::RecoveredState, u64), store::Error> {
    let rows_max = recovery_pages::reads(shared.settings().link_kbit_per_s).rows_max;
    let own = |table| rows(shared, table, record::SCHEDULER_PARTITION, rows_max);
    let workers = own(record::WORKER_TABLE).await?;
    let jobs = match known_jobs {
        Some(known) => known,
        None => jobs(shared).await?,
    };
    let progress = own(record::PROGRESS_TABLE).await?;
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
