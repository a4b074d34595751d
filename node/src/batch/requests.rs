//! What callers ask about jobs, carried out on the table and with the holder's memory.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::JobId;
use wasabiloft::batch::{queue, record, spec};
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::{store, submission};

use crate::batch::front::Outcome;
use crate::batch::{peers, shared};
use crate::clock;
use crate::log;

/// Longest wait for one answer of the store, in milliseconds; 60 times a calm answer.
const CALL_TIMEOUT_MS: u64 = 900;
/// Pause before a call is made again, in milliseconds.
const RETRY_MS: u64 = 60;
/// A store that has answered nobody here for this long is taken to be away: what isn't sent yet is refused at once,
/// in milliseconds. Above the polls of the configuration.
const STORE_AWAY_MS: u64 = 1_300;
/// Time for which a write that the store says it did not do is tried again, in milliseconds.
const REFUSED_FOR_MS: u64 = 120;
/// Longest wait for the holder, in milliseconds; the table is asked after it.
const HOLDER_TIMEOUT_MS: u64 = 400;

/// Time that is left for a call, in milliseconds; `None` if it isn't worth a call.
fn time_left_ms(deadline: wasabiloft::clock::Instant) -> Option<u64> {
    let left = deadline.since_ms(clock::since_boot());
    (left > 0).then_some(left.min(CALL_TIMEOUT_MS))
}

/// Writes under a condition until the outcome is known or the caller's time is over.
async fn write(
    shared: &shared::Shared,
    transaction: &store::Transaction,
    deadline: wasabiloft::clock::Instant,
) -> Result<store::CommitOutcome, Outcome> {
    if shared.store_silent_ms() > STORE_AWAY_MS {
        return Err(Outcome::NotRun("store-away"));
    }
    let began_at = clock::since_boot();
    let mut verdict = Verdict::NotRun;
    while let Some(timeout_ms) = time_left_ms(deadline) {
        match shared.store.transact(transaction, timeout_ms).await {
            Ok(outcome) => {
                shared.store_answered();
                return Ok(outcome);
            }
            Err(error) => {
                if error.verdict() != Verdict::NotRun {
                    verdict = Verdict::MayHaveRun;
                }
                metrics::counter!("wasabiloft_store_retries_total").increment(1);
                let refused_ms = clock::since_boot().since_ms(began_at);
                if verdict == Verdict::NotRun && refused_ms > REFUSED_FOR_MS {
                    return Err(Outcome::NotRun("store-refused"));
                }
            }
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
    match verdict {
        Verdict::NotRun => Err(Outcome::NotRun("store-refused")),
        _ => Err(Outcome::Unknown("store-unanswered")),
    }
}

/// Accepts a job: once its row is committed, no node is needed to keep it.
pub async fn submit(
    shared: &Arc<shared::Shared>,
    job: JobId,
    queue: &queue::Queue,
    spec: spec::Spec,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    let accepted = record::Accepted {
        queue: queue.clone(),
        spec,
        submitted_unix_ms: clock::unix_ms(),
    };
    let value = match serde_json::to_vec(&accepted) {
        Ok(value) => value,
        Err(error) => return Outcome::Invalid(error.to_string()),
    };
    let name = store::Name::new(
        record::JOB_TABLE,
        &record::job_partition(job),
        &record::JobKey::Accepted(job).text(),
    );
    let transaction = store::Transaction {
        checks: vec![(name.clone(), 0)],
        writes: vec![(name, value)],
        ..store::Transaction::default()
    };
    match write(shared, &transaction, deadline).await {
        Ok(store::CommitOutcome::Applied(version)) => {
            log::info(
                "front",
                &format!(
                    "accept job={job} queue={} version={version}",
                    accepted.queue.name
                ),
            );
            if let Some(holding) = shared.holding() {
                holding.accepted(job, accepted);
            }
            Outcome::Done(submission::state_body(record::State::Queued))
        }
        Ok(store::CommitOutcome::CheckFailed(_)) => {
            log::info("front", &format!("accept again job={job}"));
            Outcome::Done(submission::state_body(record::State::Queued))
        }
        Err(outcome) => outcome,
    }
}

/// Reads a row until it is known or the caller's time is over.
async fn read(
    shared: &shared::Shared,
    name: &store::Name,
    deadline: wasabiloft::clock::Instant,
) -> Result<Option<store::Row>, Outcome> {
    if shared.store_silent_ms() > STORE_AWAY_MS {
        return Err(Outcome::NotRun("store-away"));
    }
    while let Some(timeout_ms) = time_left_ms(deadline) {
        match shared.store.row(name, timeout_ms).await {
            Ok(row) => {
                shared.store_answered();
                return Ok(row.filter(|row| row.value.is_some()));
            }
            Err(error) => {
                metrics::counter!("wasabiloft_store_retries_total").increment(1);
                if error.verdict() == Verdict::NotRun && shared.store_silent_ms() > STORE_AWAY_MS {
                    return Err(Outcome::NotRun("store-away"));
                }
            }
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
    Err(Outcome::NotRun("store-unanswered"))
}

fn job_row(job: JobId, key: record::JobKey) -> store::Name {
    store::Name::new(record::JOB_TABLE, &record::job_partition(job), &key.text())
}

/// Tells a job's state: from the holder's memory, else from the table.
pub async fn state(
    shared: &Arc<shared::Shared>,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    if let Some(state) = held_state(shared, job).await {
        return Outcome::Done(submission::state_body(state));
    }
    match stored_state(shared, job, deadline).await {
        Ok(Some(state)) => Outcome::Done(submission::state_body(state)),
        Ok(None) => Outcome::NoJob,
        Err(outcome) => outcome,
    }
}

async fn held_state(shared: &shared::Shared, job: JobId) -> Option<record::State> {
    if let Some(holding) = shared.holding() {
        return holding.state(job);
    }
    let address = shared.duty().duty?.address.parse().ok()?;
    let client = shared.peers.to(address);
    match peers::ask_state(&client, job, HOLDER_TIMEOUT_MS).await {
        Ok(state) => state,
        Err(error) => {
            log::info(
                "front",
                &format!("holder silent job={job} holder={address} reason={error}"),
            );
            None
        }
    }
}

async fn stored_state(
    shared: &shared::Shared,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
) -> Result<Option<record::State>, Outcome> {
    let accepted = job_row(job, record::JobKey::Accepted(job));
    if read(shared, &accepted, deadline).await?.is_none() {
        return Ok(None);
    }
    let progress = store::Name::new(
        record::PROGRESS_TABLE,
        record::SCHEDULER_PARTITION,
        &job.to_string(),
    );
    let progress = read(shared, &progress, deadline).await?;
    let progress = progress
        .and_then(|row| row.value)
        .and_then(|value| read_progress(job, &value));
    if let Some(progress) = &progress
        && progress.state.is_final()
    {
        return Ok(Some(progress.state));
    }
    let cancelled = job_row(job, record::JobKey::Cancelled(job));
    if read(shared, &cancelled, deadline).await?.is_some() {
        return Ok(Some(record::State::Cancelled));
    }
    Ok(Some(
        progress.map_or(record::State::Queued, |_| record::State::Running),
    ))
}

fn read_progress(job: JobId, value: &[u8]) -> Option<record::Progress> {
    match serde_json::from_slice(value) {
        Ok(progress) => Some(progress),
        Err(error) => {
            log::warn(
                "front",
                &format!("progress can't be read job={job} reason={error}"),
            );
            None
        }
    }
}

/// Cancels a job: once the row is committed, it starts nothing more.
pub async fn cancel(
    shared: &Arc<shared::Shared>,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    let accepted = job_row(job, record::JobKey::Accepted(job));
    match read(shared, &accepted, deadline).await {
        Ok(Some(_)) => {}
        Ok(None) => return Outcome::NoJob,
        Err(outcome) => return outcome,
    }
    let transaction = store::Transaction {
        writes: vec![(job_row(job, record::JobKey::Cancelled(job)), b"{}".to_vec())],
        ..store::Transaction::default()
    };
    match write(shared, &transaction, deadline).await {
        Ok(_) => {
            log::info("front", &format!("cancel job={job}"));
            if let Some(holding) = shared.holding() {
                holding.cancelled(job);
            }
            Outcome::Done(submission::state_body(record::State::Cancelled))
        }
        Err(outcome) => outcome,
    }
}

/// Tells how many jobs of a queue wait.
pub async fn waiting(
    shared: &Arc<shared::Shared>,
    queue: &str,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    while deadline.since_ms(clock::since_boot()) > 0 {
        let waiting = match shared.holding() {
            Some(holding) => Some(holding.waiting(queue)),
            None => asked_waiting(shared, queue).await,
        };
        if let Some(waiting) = waiting {
            return Outcome::Done(submission::waiting_body(waiting));
        }
        if deadline.since_ms(clock::since_boot()) < RETRY_MS {
            break;
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
    Outcome::NotRun("no-holder")
}

async fn asked_waiting(shared: &shared::Shared, queue: &str) -> Option<usize> {
    let address = shared.duty().duty?.address.parse().ok()?;
    let client = shared.peers.to(address);
    match peers::ask_waiting(&client, queue, HOLDER_TIMEOUT_MS).await {
        Ok(waiting) => waiting,
        Err(error) => {
            log::info(
                "front",
                &format!("holder silent queue={queue} holder={address} reason={error}"),
            );
            None
        }
    }
}
