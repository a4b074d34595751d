//! Removes the rows of ended jobs from the job table, apart from the commits: an unavailable partition delays only the
//! removal of its own rows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{JobId, record};
use wasabiloft_platform::store;

use crate::batch::{leadership, shared};
use crate::clock;
use crate::log;

/// Interval between two rounds, in milliseconds; nothing waits for a removal.
const INTERVAL_MS: u64 = 500;
/// Timeout of a transaction, in milliseconds.
const TIMEOUT_MS: u64 = 1_200;
/// Pause of a partition after a failed removal, in milliseconds.
const RETRY_MS: u64 = 2_000;
/// Most jobs in a transaction. Each has two rows, and the store takes 100.
const JOBS_MAX: usize = 45;

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
            if remove(&shared, &leadership, partition, &waiting.jobs[..count]).await {
                waiting.jobs.drain(..count);
            } else {
                waiting.not_before = clock::since_boot().after_ms(RETRY_MS);
            }
        }
        partitions.retain(|_, waiting| !waiting.jobs.is_empty());
    }
}

async fn remove(
    shared: &shared::Shared,
    leadership: &leadership::Leadership,
    partition: u64,
    jobs: &[JobId],
) -> bool {
    let part = record::job_partition_name(partition);
    let keys = jobs.iter().flat_map(|&job| {
        [
            record::JobKey::Accepted(job),
            record::JobKey::Cancelled(job),
        ]
    });
    let transaction = store::Transaction {
        removals: keys
            .map(|key| store::Name::new(record::JOB_TABLE, &part, &key.text()))
            .collect(),
        ..store::Transaction::default()
    };
    match shared.store.transact(&transaction, TIMEOUT_MS).await {
        Ok(store::CommitOutcome::Applied(version)) => {
            leadership.rows_removed(jobs, version);
            true
        }
        Ok(store::CommitOutcome::CheckFailed(_)) => false,
        Err(error) => {
            log::info(
                "holder",
                &format!(
                    "rows not removed part={part} jobs={} reason={error}",
                    jobs.len()
                ),
            );
            false
        }
    }
}
