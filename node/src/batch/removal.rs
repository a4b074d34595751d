//! Removes the rows of ended jobs from the job table, apart from the commits: an unavailable partition delays only the
//! removal of its own rows.
//!
//! A row is removed only if it is the one of the ended job: a leader that was replaced can't know that its successor removed
//! it and the id was submitted again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{JobId, record};
use wasabiloft_platform::store;

use crate::batch::{leadership, requests, shared};
use crate::clock;
use crate::log;

/// Interval between two rounds, in milliseconds; nothing waits for a removal.
const INTERVAL_MS: u64 = 500;
/// Timeout of a transaction, in milliseconds.
const TIMEOUT_MS: u64 = 1_200;
/// Pause of a partition after a failed removal, in milliseconds.
const RETRY_MS: u64 = 2_000;
/// Most tombstones that are removed in a round, one after another.
const TOMBSTONES_MAX: usize = 8;
/// Most jobs in a transaction. Each has two rows and a condition, and the store takes 100 entries.
const JOBS_MAX: usize = 33;

/// Jobs of a partition whose rows are to be removed.
#[derive(Default)]
struct Waiting {
    jobs: Vec<JobId>,
    /// No transaction is sent before this time.
    not_before: wasabiloft::clock::Instant,
}

/// Removes the rows of ended jobs until the leadership ends.
pub async fn run(shared: Arc<shared::Shared>, leadership: Arc<leadership::Leadership>) {
    let mut partitions: BTreeMap<u64, Waiting> = BTreeMap::new();
    loop {
        tokio::select! {
            () = leadership.ended.cancelled() => return,
            () = time::sleep(Duration::from_millis(INTERVAL_MS)) => {}
        }
        remove_tombstones(&shared, &leadership).await;
        let expired = leadership.scheduler().take_expired_jobs();
        for job in expired {
            let waiting = partitions.entry(record::job_partition_number(job));
            waiting.or_default().jobs.push(job);
        }
        for (&partition, waiting) in &mut partitions {
            if leadership.ended.is_cancelled() {
                return;
            }
            if waiting.not_before > clock::since_boot() {
                continue;
            }
            let count = waiting.jobs.len().min(JOBS_MAX);
            let jobs: Vec<JobId> = waiting.jobs.drain(..count).collect();
            let again = remove(&shared, &leadership, partition, jobs).await;
            if !again.is_empty() {
                waiting.jobs.extend(again);
                waiting.not_before = clock::since_boot().after_ms(RETRY_MS);
            }
        }
        partitions.retain(|_, waiting| !waiting.jobs.is_empty());
    }
}

/// Removes tombstones that are no longer needed, each on the condition that its row is the one that was read.
async fn remove_tombstones(shared: &shared::Shared, leadership: &leadership::Leadership) {
    let now = clock::since_boot();
    if !leadership.may_act() {
        return;
    }
    let expired = leadership.tombstones().take_expired(TOMBSTONES_MAX, now);
    for (job, version) in expired {
        let name = requests::job_row(job, record::JobKey::Accepted(job));
        let transaction = store::Transaction {
            checks: vec![(name.clone(), version)],
            removals: vec![name],
            ..store::Transaction::default()
        };
        if let Err(error) = shared.store.transact(&transaction, TIMEOUT_MS).await {
            log::info(
                "holder",
                &format!("tombstone not removed job={job} reason={error}"),
            );
            let now = clock::since_boot();
            leadership
                .tombstones()
                .put_back(job, version, RETRY_MS, now);
        }
    }
}

/// An ended job's row.
struct ExpiredRow {
    job: JobId,
    name: store::Name,
    version: u64,
    submitted_unix_ms: u64,
}

/// Removes the rows of ended jobs of a partition. Returns the jobs whose rows have to be removed later.
async fn remove(
    shared: &shared::Shared,
    leadership: &leadership::Leadership,
    partition: u64,
    jobs: Vec<JobId>,
) -> Vec<JobId> {
    let part = record::job_partition_name(partition);
    let name = |key: record::JobKey| store::Name::new(record::JOB_TABLE, &part, &key.text());
    let rows: Vec<ExpiredRow> = {
        let scheduler = leadership.scheduler();
        let row = |job| {
            let (version, submitted_unix_ms) = scheduler.expired_row(job)?;
            Some(ExpiredRow {
                job,
                name: name(record::JobKey::Accepted(job)),
                version,
                submitted_unix_ms,
            })
        };
        jobs.into_iter().filter_map(row).collect()
    };
    if rows.is_empty() || !leadership.may_act() {
        return rows.iter().map(|row| row.job).collect();
    }
    let cancelled = rows
        .iter()
        .map(|row| name(record::JobKey::Cancelled(row.job)));
    let transaction = store::Transaction {
        checks: rows
            .iter()
            .map(|row| (row.name.clone(), row.version))
            .collect(),
        removals: rows
            .iter()
            .map(|row| row.name.clone())
            .chain(cancelled)
            .collect(),
        ..store::Transaction::default()
    };
    match shared.store.transact(&transaction, TIMEOUT_MS).await {
        Ok(store::CommitOutcome::Applied(version)) => {
            let jobs: Vec<JobId> = rows.iter().map(|row| row.job).collect();
            leadership.rows_removed(&jobs, version);
            Vec::new()
        }
        Ok(store::CommitOutcome::CheckFailed(found)) => {
            let is_pending = |row: &&ExpiredRow| is_pending(leadership, row, &found);
            rows.iter().filter(is_pending).map(|row| row.job).collect()
        }
        Err(error) => {
            log::info(
                "holder",
                &format!(
                    "rows not removed part={part} jobs={} reason={error}",
                    rows.len()
                ),
            );
            rows.iter().map(|row| row.job).collect()
        }
    }
}

/// Returns whether a job's row still has to be removed, after a check of a transaction has failed: `found` holds the rows that
/// exist.
fn is_pending(leadership: &leadership::Leadership, row: &ExpiredRow, found: &[store::Row]) -> bool {
    let found = found.iter().find(|found| found.name == row.name);
    let Some(found) = found.filter(|found| !found.removed) else {
        // An earlier attempt without a response has removed it.
        leadership.rows_removed(&[row.job], row.version + 1);
        return false;
    };
    if found.version == row.version {
        return true;
    }
    let read = leadership.decode_jobs(std::slice::from_ref(found)).accepted;
    let accepted = read.into_iter().next().map(|(_, accepted)| accepted);
    let is_same = accepted.is_some_and(|accepted| {
        let is_same = accepted.submitted_unix_ms == row.submitted_unix_ms;
        leadership.scheduler().row_read(row.job, &accepted);
        is_same
    });
    if !is_same {
        log::info(
            "holder",
            &format!("row kept job={} reason=submitted-again", row.job),
        );
    }
    is_same
}
