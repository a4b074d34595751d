//! Claims of the batch duty, and what becomes of those without a response.

use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{predecessors, record};
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::store;

use crate::batch::{duty, shared};
use crate::clock;
use crate::log;

/// Timeout of a call to the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Most reads of the row after a claim without a response. Where nine of ten calls are refused, one succeeds with 99 %
/// certainty.
const CLAIM_READS_MAX: u32 = 44;
/// Pause before such a read is repeated, in milliseconds.
const CLAIM_READ_PAUSE_MS: u64 = 50;

/// What became of a claim of the duty.
pub enum Outcome {
    /// It was committed.
    Committed(Claimed),
    /// It wasn't, and won't be.
    Failed,
    /// It may have been committed, or may still be.
    Unknown,
}

/// A claim of the duty that was committed.
pub struct Claimed {
    /// The duty's row as it was written.
    pub duty: record::Duty,
    /// Version of the duty's row.
    pub version: u64,
    /// When the call was sent whose response shows that this node leads.
    pub led_at: wasabiloft::clock::Instant,
}

/// Claims the duty, conditional on the version of the row that was last read.
pub async fn claim(
    shared: &shared::Shared,
    has_ended: bool,
    counted_on: Option<predecessors::CountedOn>,
    left: &predecessors::Left,
) -> Outcome {
    let seen = shared.duty();
    let settings = shared.settings();
    let now = clock::since_boot();
    let assumed = if seen.duty.is_none() && seen.version > 0 {
        // The row can't be decoded.
        predecessors::Assumed::unknown()
    } else {
        let row = seen.duty.as_ref();
        predecessors::assume(row, has_ended, counted_on.as_ref(), left, now)
    };
    let duty = record::Duty {
        holder: settings.node.clone(),
        address: settings.peers.to_string(),
        incarnation: shared.incarnation,
        epoch: seen.duty.map_or(0, |duty| duty.epoch) + 1,
        commits: 0,
        cpu_milli: settings.cpu_milli,
        successor: None,
        commits_only: true,
        earlier: assumed.earlier,
        unconfirmed: assumed.unconfirmed,
    };
    let value = match serde_json::to_vec(&duty) {
        Ok(value) => value,
        Err(error) => {
            log::warn("duty", &format!("cannot encode the row reason={error}"));
            return Outcome::Failed;
        }
    };
    let transaction = store::Transaction {
        checks: vec![(duty::row_name(), seen.version)],
        writes: vec![(duty::row_name(), value)],
        ..store::Transaction::default()
    };
    // Set before the claim is sent: once the claim is committed, a heartbeat must not be told that this node does not
    // lead the duty.
    shared.set_own_epoch(duty.epoch);
    let outcome = commit_claim(shared, duty, &transaction).await;
    if !matches!(outcome, Outcome::Committed(_)) {
        shared.set_own_epoch(0);
    }
    outcome
}

async fn commit_claim(
    shared: &shared::Shared,
    duty: record::Duty,
    transaction: &store::Transaction,
) -> Outcome {
    let sent_at = clock::since_boot();
    match shared.store.transact(transaction, CALL_TIMEOUT_MS).await {
        Ok(store::CommitOutcome::Applied(version)) => {
            log::info(
                "duty",
                &format!(
                    "taken over epoch={} version={version} earlier={:?} unconfirmed={:?}",
                    duty.epoch, duty.earlier, duty.unconfirmed
                ),
            );
            shared.record_duty(shared::DutyRow {
                duty: Some(duty.clone()),
                version,
            });
            Outcome::Committed(Claimed {
                duty,
                version,
                led_at: sent_at,
            })
        }
        Ok(store::CommitOutcome::CheckFailed(rows)) => {
            // If the row is an earlier claim of this node, others have been told since that it doesn't lead.
            shared.record_duty(duty::read(rows.into_iter().next()));
            Outcome::Failed
        }
        Err(error) if error.verdict() == Verdict::NotRun => {
            log::info("duty", &format!("claim refused reason={error}"));
            Outcome::Failed
        }
        Err(error) => {
            log::info("duty", &format!("claim got no response reason={error}"));
            resolve_claim(shared, duty).await
        }
    }
}

/// Reads the row to find out whether a claim without a response was committed.
///
/// Refused reads are repeated, because another claim would raise the epoch once more.
async fn resolve_claim(shared: &shared::Shared, duty: record::Duty) -> Outcome {
    let mut reads = 1;
    loop {
        let sent_at = clock::since_boot();
        match shared.store.row(&duty::row_name(), CALL_TIMEOUT_MS).await {
            Ok(row) => return read_outcome(shared, duty, duty::read(row), sent_at),
            Err(error) if error.verdict() != Verdict::NotRun || reads >= CLAIM_READS_MAX => {
                log::info("duty", &format!("claim outcome unknown reason={error}"));
                return Outcome::Unknown;
            }
            Err(_) => {
                reads += 1;
                time::sleep(Duration::from_millis(CLAIM_READ_PAUSE_MS)).await;
            }
        }
    }
}

/// Returns what became of a claim, by the row that was read by a call sent at `sent_at`. A claim that isn't in the row can
/// still be committed later.
fn read_outcome(
    shared: &shared::Shared,
    duty: record::Duty,
    now: shared::DutyRow,
    sent_at: wasabiloft::clock::Instant,
) -> Outcome {
    let committed = now
        .duty
        .as_ref()
        .is_some_and(|now| now.incarnation == duty.incarnation && now.epoch == duty.epoch);
    let version = now.version;
    shared.record_duty(now);
    if committed {
        Outcome::Committed(Claimed {
            duty,
            version,
            led_at: sent_at,
        })
    } else {
        Outcome::Unknown
    }
}
