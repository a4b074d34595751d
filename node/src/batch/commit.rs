//! Commits the scheduler's batches, one transaction at a time, each conditional on the version of the duty's row.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::{predecessors, record};
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
/// Maximum size of the rows in a transaction, in bytes; leaves a tenth of the store's limit for the duty's row.
const TRANSACTION_BYTES_MAX: usize = 900_000;
/// Size of a row in a call without its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 128;
/// Timeout of the transaction that releases the duty, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// A row to write or remove.
#[derive(Debug)]
struct Row {
    name: store::Name,
    /// The content to write; `None` removes the row.
    value: Option<Vec<u8>>,
}

impl Row {
    fn write<T>(table: &str, key: &str, row: &T) -> Result<Self, serde_json::Error>
    where
        T: Serialize,
    {
        Ok(Self {
            value: Some(serde_json::to_vec(row)?),
            ..Self::remove(table, key)
        })
    }

    fn remove(table: &str, key: &str) -> Self {
        Self {
            name: store::Name::new(table, record::SCHEDULER_PARTITION, key),
            value: None,
        }
    }

    /// Returns the largest size of the row in a call, in bytes.
    fn bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Vec::len);
        value.div_ceil(3) * 4 + self.name.key.len() + ROW_OVERHEAD_BYTES
    }
}

/// Outcome of a transaction that is known.
enum Sent {
    /// It was committed; the time is that before it was first sent.
    Applied(wasabiloft::clock::Instant),
    /// The store refuses it for good, with this status.
    Refused(StatusCode),
}

/// What the duty's row says of its leader, apart from who it is.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Whether only commits prove to the leader that it leads.
    pub commits_only: bool,
    /// What the next leader has to assume of those before it.
    pub assumed: predecessors::Assumed,
}

/// A batch that was committed.
struct Committed {
    /// When its last transaction was sent.
    sent_at: wasabiloft::clock::Instant,
    /// Rows that the store refuses.
    refused: BTreeSet<store::Name>,
}

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

    /// Sets what the next transactions say of the leader.
    fn set_standing(&mut self, standing: &Standing) {
        self.duty.commits_only = standing.commits_only;
        self.duty.earlier = standing.assumed.earlier;
        self.duty
            .unconfirmed
            .clone_from(&standing.assumed.unconfirmed);
    }

    /// Commits a batch in as many transactions as its rows need. Returns when the last of them was sent, with the rows that
    /// the store refuses; `None` if the duty is lost, a row cannot be encoded, or `ended` is cancelled.
    ///
    /// Rows don't depend on each other, so that some can be committed without the others.
    async fn commit(
        &mut self,
        shared: &shared::Shared,
        ended: &CancellationToken,
        batch: &record::WriteBatch,
    ) -> Option<Committed> {
        let rows = match encode(batch) {
            Ok(rows) => rows,
            Err(error) => {
                log::warn("commit", &format!("cannot encode the batch reason={error}"));
                return None;
            }
        };
        let mut refused = BTreeSet::new();
        let mut waiting = group(rows);
        let mut sent_at = None;
        while let Some(rows) = waiting.pop_front() {
            let sent = self.transact(shared, ended, &rows).await?;
            match (sent, &rows[..]) {
                (Sent::Applied(at), _) => sent_at = Some(at),
                (Sent::Refused(status), [row]) => {
                    metrics::counter!("wasabiloft_rows_refused_total").increment(1);
                    log::warn(
                        "commit",
                        &format!(
                            "row refused table={} key={} bytes={} status={status}",
                            row.name.table,
                            row.name.key,
                            row.value.as_ref().map_or(0, Vec::len)
                        ),
                    );
                    refused.insert(row.name.clone());
                }
                (Sent::Refused(_), _) => {
                    let mut first = rows;
                    let second = first.split_off(first.len() / 2);
                    waiting.push_front(second);
                    waiting.push_front(first);
                }
            }
            if waiting.is_empty() && sent_at.is_none() {
                waiting.push_back(Vec::new());
            }
        }
        let sent_at = sent_at?;
        Some(Committed { sent_at, refused })
    }

    /// Commits rows in one transaction, with the duty's row; repeats it until its outcome is known. Returns `None` if the
    /// duty is lost, or `ended` is cancelled.
    async fn transact(
        &mut self,
        shared: &shared::Shared,
        ended: &CancellationToken,
        rows: &[Row],
    ) -> Option<Sent> {
        let duty = record::Duty {
            commits: self.duty.commits + 1,
            ..self.duty.clone()
        };
        let transaction = match transaction(&duty, self.version, rows) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::warn("commit", &format!("cannot encode the duty reason={error}"));
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
                Err(store::Error::Refused { status }) if !rows.is_empty() && is_final(status) => {
                    shared.record_store_response();
                    return Some(Sent::Refused(status));
                }
                Err(error) => {
                    metrics::counter!("wasabiloft_store_retries_total").increment(1);
                    log::info(
                        "commit",
                        &format!("no response rows={} reason={error}", rows.len()),
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
        Some(Sent::Applied(sent_at))
    }

    /// Rewrites the duty's row, so that followers see that the leader is alive; returns when it was sent, or `None` if the
    /// duty is lost or the node stops.
    ///
    /// A renewal must not be dropped before it returns, since the version of the row is unknown then.
    async fn renew(&mut self, shared: &shared::Shared) -> Option<wasabiloft::clock::Instant> {
        let batch = record::WriteBatch::default();
        let committed = self.commit(shared, &shared.stop, &batch).await?;
        Some(committed.sent_at)
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
        let transaction = match transaction(&duty, self.version, &[]) {
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

/// Returns whether the store refuses a transaction for good: it would refuse a repetition as well.
fn is_final(status: StatusCode) -> bool {
    status.is_client_error()
        && !matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT
        )
}

/// Returns the rows that a batch writes and removes.
fn encode(batch: &record::WriteBatch) -> Result<Vec<Row>, serde_json::Error> {
    let mut rows = Vec::new();
    for (row, progress) in &batch.progress {
        rows.push(Row::write(
            record::PROGRESS_TABLE,
            &row.to_string(),
            progress,
        )?);
    }
    for (worker, row) in &batch.workers_added {
        rows.push(Row::write(record::WORKER_TABLE, worker.as_str(), row)?);
    }
    for (key, wave) in &batch.waves {
        rows.push(Row::write(record::WAVE_TABLE, &key.to_string(), wave)?);
    }
    for (vm, command) in &batch.machine_commands {
        rows.push(Row::write(record::MACHINE_TABLE, vm.as_str(), command)?);
    }
    for worker in &batch.workers_removed {
        rows.push(Row::remove(record::WORKER_TABLE, worker.as_str()));
    }
    for row in &batch.progress_deleted {
        rows.push(Row::remove(record::PROGRESS_TABLE, &row.to_string()));
    }
    Ok(rows)
}

/// Divides rows into transactions that the store accepts; without rows, there is one that renews the duty.
fn group(rows: Vec<Row>) -> VecDeque<Vec<Row>> {
    let mut groups = VecDeque::from([Vec::new()]);
    let mut bytes = 0;
    for row in rows {
        bytes += row.bytes();
        let is_full = groups
            .back()
            .is_some_and(|group| !group.is_empty() && bytes > TRANSACTION_BYTES_MAX);
        if is_full {
            bytes = row.bytes();
            groups.push_back(Vec::new());
        }
        if let Some(group) = groups.back_mut() {
            group.push(row);
        }
    }
    groups
}

fn transaction(
    duty: &record::Duty,
    version: u64,
    rows: &[Row],
) -> Result<store::Transaction, serde_json::Error> {
    let mut transaction = store::Transaction {
        checks: vec![(duty::row_name(), version)],
        writes: vec![(duty::row_name(), serde_json::to_vec(duty)?)],
        ..store::Transaction::default()
    };
    for row in rows {
        match &row.value {
            Some(value) => transaction.writes.push((row.name.clone(), value.clone())),
            None => transaction.removals.push(row.name.clone()),
        }
    }
    Ok(transaction)
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
        let standing = leadership.standing();
        committer.set_standing(&standing);
        let (mut batch, is_awaited) = {
            let mut scheduler = leadership.scheduler();
            (scheduler.take_batch(), scheduler.awaits_commit())
        };
        let is_due = is_awaited || leadership.since_commit_ms() >= RENEW_INTERVAL_MS;
        if batch.rows() > 0 || is_due {
            let committed = committer.commit(&shared, &leadership.ended, &batch).await;
            let Some(Committed { sent_at, refused }) = committed else {
                leadership.ended.cancel();
                return;
            };
            leadership.commit_sent(sent_at, &standing);
            if !refused.is_empty() {
                leadership
                    .scheduler()
                    .rows_refused(&mut batch, |table, key| {
                        let name = store::Name::new(table, record::SCHEDULER_PARTITION, key);
                        refused.contains(&name)
                    });
            }
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
