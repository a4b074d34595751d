//! Commits the scheduler's batches, one transaction at a time, each conditional on the version of the duty's row.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::record;
use wasabiloft_platform::store;

use crate::batch::{duty, leadership, shared};
use crate::clock;
use crate::log;

/// Interval at which an idle leader rewrites the duty's row, in milliseconds; followers consider the leader dead after
/// three times that.
pub const RENEW_INTERVAL_MS: u64 = 250;
/// Minimum interval between two commits, in milliseconds; groups the ends of many tasks into one commit.
const COMMIT_INTERVAL_MS: u64 = 12;
/// Timeout of a call to the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_200;
/// Pause before a transaction that got no response is resent, in milliseconds.
const RETRY_MS: u64 = 80;
/// Timeout of the transaction that releases the duty, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// Writes the scheduler's rows and the duty's row.
pub struct Committer {
    duty: record::Duty,
    version: u64,
}

impl Committer {
    /// Creates a committer for a claim of the duty and the version of its row.
    pub fn new(duty: record::Duty, version: u64) -> Self {
        Self { duty, version }
    }

    /// Commits a batch and returns when it was sent; `None` if the duty is lost, the batch cannot be encoded, or `ended`
    /// is cancelled.
    async fn commit(
        &mut self,
        shared: &shared::Shared,
        ended: &CancellationToken,
        batch: &record::WriteBatch,
    ) -> Option<wasabiloft::clock::Instant> {
        let duty = record::Duty {
            commits: self.duty.commits + 1,
            ..self.duty.clone()
        };
        let transaction = match transaction(&duty, self.version, batch) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::warn("commit", &format!("cannot encode the batch reason={error}"));
                return None;
            }
        };
        let sent_at = clock::since_boot();
        loop {
            match shared.store.transact(&transaction, CALL_TIMEOUT_MS).await {
                Ok(store::CommitOutcome::Applied(version)) => {
                    self.version = version;
                    break;
                }
                Ok(store::CommitOutcome::CheckFailed(rows)) => {
                    let seen = duty::read(rows.into_iter().next());
                    let committed = seen.duty.as_ref() == Some(&duty);
                    let version = seen.version;
                    shared.record_duty(seen);
                    if !committed {
                        return None;
                    }
                    // An earlier attempt was committed, but its response was lost.
                    self.version = version;
                    break;
                }
                Err(error) => {
                    metrics::counter!("wasabiloft_store_retries_total").increment(1);
                    log::info(
                        "commit",
                        &format!("no response rows={} reason={error}", batch.rows()),
                    );
                }
            }
            if ended.is_cancelled() {
                return None;
            }
            time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        shared.record_store_response();
        metrics::histogram!("wasabiloft_commit_ms")
            .record(clock::since_boot().since_ms(sent_at) as f64);
        self.duty = duty;
        Some(sent_at)
    }

    /// Rewrites the duty's row, so that followers see that the leader is alive; returns when it was sent, or `None` if the
    /// duty is lost or the node stops.
    ///
    /// A renewal must not be dropped before it returns, since the version of the row is unknown then.
    async fn renew(&mut self, shared: &shared::Shared) -> Option<wasabiloft::clock::Instant> {
        let batch = record::WriteBatch::default();
        self.commit(shared, &shared.stop, &batch).await
    }

    /// Releases the duty so that another node can claim it at once.
    async fn release(self, shared: &shared::Shared, leadership: &leadership::Leadership) {
        let duty = record::Duty {
            holder: String::new(),
            address: String::new(),
            cpu_milli: leadership
                .successor_cpu_milli()
                .unwrap_or(self.duty.cpu_milli),
            successor: leadership
                .successor()
                .map(|successor| successor.incarnation),
            ..self.duty
        };
        let transaction = match transaction(&duty, self.version, &record::WriteBatch::default()) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::warn("commit", &format!("duty not released reason={error}"));
                return;
            }
        };
        match shared
            .store
            .transact(&transaction, RELEASE_TIMEOUT_MS)
            .await
        {
            Ok(_) => log::info("duty", &format!("released epoch={}", duty.epoch)),
            Err(error) => log::info("duty", &format!("not released reason={error}")),
        }
    }
}

fn transaction(
    duty: &record::Duty,
    version: u64,
    batch: &record::WriteBatch,
) -> Result<store::Transaction, serde_json::Error> {
    let name = |table: &str, key: &str| store::Name::new(table, record::SCHEDULER_PARTITION, key);
    let mut transaction = store::Transaction {
        checks: vec![(duty::row_name(), version)],
        writes: vec![(duty::row_name(), serde_json::to_vec(duty)?)],
        ..store::Transaction::default()
    };
    for (job, progress) in &batch.progress {
        add_write(
            &mut transaction,
            name(record::PROGRESS_TABLE, &job.to_string()),
            progress,
        )?;
    }
    for (worker, row) in &batch.workers_added {
        add_write(
            &mut transaction,
            name(record::WORKER_TABLE, worker.as_str()),
            row,
        )?;
    }
    for (number, wave) in &batch.waves {
        add_write(
            &mut transaction,
            name(record::WAVE_TABLE, &number.to_string()),
            wave,
        )?;
    }
    for (vm, command) in &batch.machine_commands {
        add_write(
            &mut transaction,
            name(record::MACHINE_TABLE, vm.as_str()),
            command,
        )?;
    }
    for worker in &batch.workers_removed {
        transaction
            .removals
            .push(name(record::WORKER_TABLE, worker.as_str()));
    }
    for job in &batch.jobs_deleted {
        transaction
            .removals
            .push(name(record::PROGRESS_TABLE, &job.to_string()));
    }
    Ok(transaction)
}

fn add_write<T>(
    transaction: &mut store::Transaction,
    name: store::Name,
    row: &T,
) -> Result<(), serde_json::Error>
where
    T: Serialize,
{
    transaction.writes.push((name, serde_json::to_vec(row)?));
    Ok(())
}

/// Renews the duty while the rows are read, until `read` is cancelled. Returns `None` if the duty is lost or the node
/// stops. `renewed_ms` holds when the newest renewal was sent.
pub async fn renew_until(
    shared: Arc<shared::Shared>,
    mut committer: Committer,
    read: CancellationToken,
    renewed_ms: Arc<AtomicU64>,
) -> Option<Committer> {
    loop {
        tokio::select! {
            () = read.cancelled() => return Some(committer),
            () = time::sleep(Duration::from_millis(RENEW_INTERVAL_MS)) => {}
        }
        let sent_at = committer.renew(&shared).await?;
        renewed_ms.store(sent_at.as_ms(), Ordering::Relaxed);
    }
}

/// Commits the scheduler's batches until the leadership ends, then releases the duty.
pub async fn run(
    shared: Arc<shared::Shared>,
    leadership: Arc<leadership::Leadership>,
    mut committer: Committer,
) {
    loop {
        tokio::select! {
            () = leadership.ended.cancelled() => break,
            () = leadership.write.notified() => {}
            () = time::sleep(Duration::from_millis(RENEW_INTERVAL_MS)) => {}
        }
        let batch = leadership.scheduler().take_batch();
        if batch.rows() > 0 || leadership.since_commit_ms() >= RENEW_INTERVAL_MS {
            let committed = committer.commit(&shared, &leadership.ended, &batch).await;
            let Some(sent_at) = committed else {
                leadership.ended.cancel();
                return;
            };
            leadership.commit_sent(sent_at);
        }
        if !batch.is_empty() {
            leadership.scheduler().batch_committed(&batch);
            leadership.committed.notify_waiters();
            leadership.wake.notify_one();
            if !batch.machine_commands.is_empty() {
                leadership.commands_committed.notify_one();
            }
        }
        time::sleep(Duration::from_millis(COMMIT_INTERVAL_MS)).await;
    }
    committer.release(&shared, &leadership).await;
}
