//! Commits the holder's batches, one transaction after another, each under the duty's row.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time;
use wasabiloft::batch::record;
use wasabiloft_platform::store;

use crate::batch::{duty, holding, shared};
use crate::clock;
use crate::log;

/// An idle holder commits its duty's row after this long, in milliseconds; followers miss it after three times that.
const RENEW_MS: u64 = 250;
/// Shortest time between two commits, in milliseconds; joins the ends of many tasks into one.
const GROUP_MS: u64 = 12;
/// Longest wait for an answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_200;
/// Pause before a transaction without an answer is sent again, in milliseconds.
const RETRY_MS: u64 = 80;
/// Longest time for giving the duty back, in milliseconds.
const GIVE_BACK_MS: u64 = 1_000;

/// The writer of the holder's part.
pub struct Committer {
    duty: record::Duty,
    version: u64,
}

impl Committer {
    /// A writer that holds the duty's row at a version.
    pub fn new(duty: record::Duty, version: u64) -> Self {
        Self { duty, version }
    }

    /// Commits a batch; `false` if the duty is lost.
    async fn commit(
        &mut self,
        shared: &shared::Shared,
        holding: &holding::Holding,
        batch: &record::WriteBatch,
    ) -> bool {
        let duty = record::Duty {
            commits: self.duty.commits + 1,
            ..self.duty.clone()
        };
        let transaction = match transaction(&duty, self.version, batch) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::warn("commit", &format!("batch can't be encoded reason={error}"));
                return false;
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
                    let ours = seen.duty.as_ref() == Some(&duty);
                    let version = seen.version;
                    shared.saw_duty(seen);
                    if !ours {
                        return false;
                    }
                    // An earlier send was committed and its answer lost.
                    self.version = version;
                    break;
                }
                Err(error) => {
                    metrics::counter!("wasabiloft_store_retries_total").increment(1);
                    log::info(
                        "commit",
                        &format!("unanswered rows={} reason={error}", batch.rows()),
                    );
                }
            }
            if holding.over.is_cancelled() {
                return false;
            }
            time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        shared.store_answered();
        metrics::histogram!("wasabiloft_commit_ms")
            .record(clock::since_boot().since_ms(sent_at) as f64);
        holding.commit_sent(sent_at);
        self.duty = duty;
        true
    }

    /// Gives the duty back, so that another node takes it at once.
    async fn give_back(self, shared: &shared::Shared, holding: &holding::Holding) {
        let duty = record::Duty {
            holder: String::new(),
            address: String::new(),
            cpu_milli: holding.relief_milli().unwrap_or(self.duty.cpu_milli),
            ..self.duty
        };
        let transaction = match transaction(&duty, self.version, &record::WriteBatch::default()) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::warn("commit", &format!("duty not given back reason={error}"));
                return;
            }
        };
        match shared.store.transact(&transaction, GIVE_BACK_MS).await {
            Ok(_) => log::info("duty", &format!("free epoch={}", duty.epoch)),
            Err(error) => log::info("duty", &format!("not given back reason={error}")),
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
        put(
            &mut transaction,
            name(record::PROGRESS_TABLE, &job.to_string()),
            progress,
        )?;
    }
    for (worker, row) in &batch.workers_added {
        put(
            &mut transaction,
            name(record::WORKER_TABLE, worker.as_str()),
            row,
        )?;
    }
    for (number, wave) in &batch.waves {
        put(
            &mut transaction,
            name(record::WAVE_TABLE, &number.to_string()),
            wave,
        )?;
    }
    for (vm, ordered) in &batch.machine_commands {
        put(
            &mut transaction,
            name(record::MACHINE_TABLE, vm.as_str()),
            ordered,
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

fn put<T>(
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

/// Commits what the holder has to write until the duty is over.
pub async fn run(
    shared: Arc<shared::Shared>,
    holding: Arc<holding::Holding>,
    mut committer: Committer,
) {
    loop {
        tokio::select! {
            () = holding.over.cancelled() => break,
            () = holding.write.notified() => {}
            () = time::sleep(Duration::from_millis(RENEW_MS)) => {}
        }
        let batch = holding.holder().take_batch();
        if (batch.rows() > 0 || holding.since_commit_ms() >= RENEW_MS)
            && !committer.commit(&shared, &holding, &batch).await
        {
            holding.over.cancel();
            return;
        }
        if !batch.is_empty() {
            remove_jobs(&shared, &batch).await;
            holding.holder().batch_committed(&batch);
            holding.committed.notify_waiters();
            holding.wake.notify_one();
            if !batch.machine_commands.is_empty() {
                holding.cleared.notify_one();
            }
        }
        time::sleep(Duration::from_millis(GROUP_MS)).await;
    }
    committer.give_back(&shared, &holding).await;
}

/// Removes the rows of jobs that ended long ago; their progress went with the batch.
async fn remove_jobs(shared: &shared::Shared, batch: &record::WriteBatch) {
    for &job in &batch.jobs_deleted {
        let part = record::job_partition(job);
        let keys = [
            record::JobKey::Accepted(job),
            record::JobKey::Cancelled(job),
        ];
        let transaction = store::Transaction {
            removals: keys
                .iter()
                .map(|key| store::Name::new(record::JOB_TABLE, &part, &key.text()))
                .collect(),
            ..store::Transaction::default()
        };
        if let Err(error) = shared.store.transact(&transaction, CALL_TIMEOUT_MS).await {
            log::info("commit", &format!("row left job={job} reason={error}"));
        }
    }
}
