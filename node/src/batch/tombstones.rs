//! Writes tombstones: cancellations of jobs that aren't stored, whose submissions may still be written.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{JobId, record};
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::store;

use crate::batch::front::Outcome;
use crate::batch::{forward, requests, shared, submissions};
use crate::clock;
use crate::log;

/// What became of an attempt to write a tombstone.
enum Attempt {
    /// The tombstone is written.
    Written,
    /// The row of the job exists.
    RowExists,
    /// Nothing was written, or that isn't known.
    Failed(Verdict),
}

/// Writes a tombstone into the row of a job that was absent, and returns the row that exists then: the tombstone, or the job
/// if it was stored meanwhile.
///
/// # Errors
///
/// Fails with the outcome for the caller if no such row is known to exist before the deadline.
pub async fn write(
    shared: &Arc<shared::Shared>,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
) -> Result<store::Row, Outcome> {
    if !shared.take_tombstone() {
        return Err(Outcome::NotRun("too-many-cancellations"));
    }
    let tombstone = record::Tombstone {
        cancelled_unix_ms: clock::unix_ms(),
    };
    let name = requests::job_row(job, record::JobKey::Accepted(job));
    let value = serde_json::to_vec(&tombstone);
    let value = value.map_err(|error| Outcome::Invalid(error.to_string()))?;
    let transaction = store::Transaction {
        checks: vec![(name.clone(), 0)],
        writes: vec![(name.clone(), value.clone())],
        ..store::Transaction::default()
    };
    let mut may_be_written = false;
    while let Some(timeout_ms) = requests::call_timeout_ms(deadline) {
        match attempt(shared, &transaction, timeout_ms).await {
            Attempt::Written => {
                log::info("front", &format!("cancel job={job} stored=false"));
                return Ok(store::Row {
                    name,
                    value: Some(value),
                    removed: false,
                    version: 0,
                });
            }
            Attempt::RowExists => {
                if let Some(row) = requests::read(shared, &name, deadline).await? {
                    return Ok(row);
                }
            }
            Attempt::Failed(verdict) => may_be_written |= verdict != Verdict::NotRun,
        }
        time::sleep(Duration::from_millis(requests::RETRY_MS)).await;
    }
    Err(if may_be_written {
        Outcome::Unknown("store-unanswered")
    } else {
        Outcome::NotRun("store-unanswered")
    })
}

/// Commits the transaction once: by this node, or by the leader if the store answers it and not this node.
async fn attempt(
    shared: &shared::Shared,
    transaction: &store::Transaction,
    timeout_ms: u64,
) -> Attempt {
    let is_away = shared.store_silent_ms() > submissions::STORE_UNAVAILABLE_MS;
    if !is_away {
        match shared.store.transact(transaction, timeout_ms).await {
            Ok(store::CommitOutcome::Applied(_)) => {
                shared.record_store_response();
                return Attempt::Written;
            }
            Ok(store::CommitOutcome::CheckFailed(_)) => {
                shared.record_store_response();
                return Attempt::RowExists;
            }
            Err(error) if error.verdict() != Verdict::NotRun => {
                return Attempt::Failed(error.verdict());
            }
            Err(_) => metrics::counter!("wasabiloft_store_retries_total").increment(1),
        }
    }
    match forward::commit(shared, transaction, timeout_ms).await {
        Ok(true) => Attempt::Written,
        Ok(false) => Attempt::RowExists,
        Err(verdict) => Attempt::Failed(verdict),
    }
}
