//! Executes callers' requests about jobs, using the store and the leader's state.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::JobId;
use wasabiloft::batch::record;
use wasabiloft::batch::submissions::{Answer, Found};
use wasabiloft_platform::{store, submission};

use crate::batch::front::Outcome;
use crate::batch::{forward, job_room, peers, shared, submissions, tombstones};
use crate::clock;
use crate::log;

/// Timeout of a call to the store, in milliseconds; 60 times the response time without load.
const CALL_TIMEOUT_MS: u64 = 900;
/// Pause before a call is retried, in milliseconds.
pub const RETRY_MS: u64 = 60;
/// Time for which a read that failed is retried before it goes through the leader, in milliseconds.
const REFUSED_RETRY_MS: u64 = 120;
/// Maximum time for reading whether a job that is to be refused was stored before, in milliseconds.
pub const STORED_READ_MS: u64 = 600;
/// Timeout of a call to the leader, in milliseconds; a job's state is then read from the store.
const LEADER_TIMEOUT_MS: u64 = 400;

/// Returns the timeout for a call before the deadline, in milliseconds; `None` if the deadline has passed.
pub fn call_timeout_ms(deadline: wasabiloft::clock::Instant) -> Option<u64> {
    let remaining_ms = deadline.since_ms(clock::since_boot());
    (remaining_ms > 0).then_some(remaining_ms.min(CALL_TIMEOUT_MS))
}

/// Returns the outcome of a request whose row was not written, or may not have been.
fn unwritten(answer: Answer) -> Outcome {
    match answer {
        Answer::NotRun(reason) => Outcome::NotRun(submissions::reason_text(reason)),
        _ => Outcome::Unknown("store-unanswered"),
    }
}

/// Accepts a job; once its row is committed, the job survives the loss of any node.
pub async fn submit(
    shared: &Arc<shared::Shared>,
    job: JobId,
    accepted: record::Accepted,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    let value = match serde_json::to_vec(&accepted) {
        Ok(value) => value,
        Err(error) => return Outcome::Invalid(error.to_string()),
    };
    let row_bytes = shared.settings().row_bytes;
    if value.len() as u64 > row_bytes {
        return Outcome::Invalid(format!(
            "the job takes {} bytes to store, of at most {row_bytes}",
            value.len()
        ));
    }
    if let Some(leadership) = shared.leadership() {
        shared.job_room.replied(job_room::left(shared, &leadership));
    }
    let Some(mut reservation) = shared.job_room.reserve(&accepted) else {
        // The caller may repeat a job that was accepted before, which a refusal would deny.
        return match is_stored(shared, job, deadline, STORED_READ_MS).await {
            Some(true) => Outcome::Done(submission::state_body(record::State::Queued)),
            Some(false) => Outcome::NotRun("jobs-exceed-memory"),
            None => Outcome::Unknown("store-unanswered"),
        };
    };
    let item = submissions::Item {
        key: record::JobKey::Accepted(job),
        value,
        accepted: Some(accepted),
        job_version: None,
        deadline,
    };
    // The node that commits the row logs it and passes it to the scheduler.
    match shared.submissions.write(item).await {
        Answer::Committed(_) => Outcome::Done(submission::state_body(record::State::Queued)),
        Answer::Exists => {
            reservation.not_stored();
            log::info("front", &format!("accept again job={job}"));
            Outcome::Done(submission::state_body(record::State::Queued))
        }
        answer => {
            if matches!(answer, Answer::NotRun(_)) {
                reservation.not_stored();
            }
            unwritten(answer)
        }
    }
}

/// Returns whether a job is known to be stored, or known not to be; `None` if that could not be read in time.
pub async fn is_stored(
    shared: &shared::Shared,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
    limit_ms: u64,
) -> Option<bool> {
    if let Some(leadership) = shared.leadership()
        && leadership.state(job).is_some()
    {
        return Some(true);
    }
    let deadline = deadline.min(clock::since_boot().after_ms(limit_ms));
    let row = read(
        shared,
        &job_row(job, record::JobKey::Accepted(job)),
        deadline,
    )
    .await;
    row.ok().map(|row| is_job(row.as_ref()))
}

/// Returns whether the row of a job exists and holds no tombstone.
fn is_job(row: Option<&store::Row>) -> bool {
    row.is_some_and(|row| submissions::found(row) == Found::Entry)
}

/// Retries the read of a row until it succeeds or the caller's deadline has passed.
pub async fn read(
    shared: &shared::Shared,
    name: &store::Name,
    deadline: wasabiloft::clock::Instant,
) -> Result<Option<store::Row>, Outcome> {
    let began_at = clock::since_boot();
    while let Some(timeout_ms) = call_timeout_ms(deadline) {
        let is_away = shared.store_silent_ms() > submissions::STORE_UNAVAILABLE_MS;
        if !is_away {
            match shared.store.row(name, timeout_ms).await {
                Ok(row) => {
                    shared.record_store_response();
                    return Ok(row.filter(|row| !row.removed));
                }
                Err(_) => metrics::counter!("wasabiloft_store_retries_total").increment(1),
            }
        }
        let refused_ms = clock::since_boot().since_ms(began_at);
        if is_away || refused_ms > REFUSED_RETRY_MS {
            match forward::read(shared, name, deadline).await {
                Ok(row) => return Ok(row),
                Err(()) if is_away => return Err(Outcome::NotRun("store-away")),
                Err(()) => {}
            }
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
    Err(Outcome::NotRun("store-unanswered"))
}

/// Returns the name of a row of the job table.
pub fn job_row(job: JobId, key: record::JobKey) -> store::Name {
    store::Name::new(record::JOB_TABLE, &record::job_partition(job), &key.text())
}

/// Returns a job's state from the leader's memory, or from the store if the leader does not know it.
pub async fn state(
    shared: &Arc<shared::Shared>,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    if let Some(state) = leader_state(shared, job).await {
        return Outcome::Done(submission::state_body(state));
    }
    match stored_state(shared, job, deadline).await {
        Ok(Some(state)) => Outcome::Done(submission::state_body(state)),
        Ok(None) => Outcome::NoJob,
        Err(outcome) => outcome,
    }
}

async fn leader_state(shared: &shared::Shared, job: JobId) -> Option<record::State> {
    if let Some(leadership) = shared.leadership() {
        return leadership.state(job);
    }
    let address = shared.duty().duty?.address.parse().ok()?;
    let client = shared.peers.to(address);
    match peers::fetch_state(&client, job, LEADER_TIMEOUT_MS).await {
        Ok(state) => state,
        Err(error) => {
            log::info(
                "front",
                &format!("leader does not respond job={job} holder={address} reason={error}"),
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
    if !is_job(read(shared, &accepted, deadline).await?.as_ref()) {
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
    Ok(Some(progress.map_or(record::State::Queued, |progress| {
        progress.told_state()
    })))
}

fn read_progress(job: JobId, value: &[u8]) -> Option<record::Progress> {
    match serde_json::from_slice(value) {
        Ok(progress) => Some(progress),
        Err(error) => {
            log::warn(
                "front",
                &format!("cannot decode progress job={job} reason={error}"),
            );
            None
        }
    }
}

/// Cancels a job; after the row is committed, no task of the job is started.
pub async fn cancel(
    shared: &Arc<shared::Shared>,
    job: JobId,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    let accepted = job_row(job, record::JobKey::Accepted(job));
    let stored = match read(shared, &accepted, deadline).await {
        Ok(Some(row)) => Ok(row),
        // A submission without an answer may still be written.
        Ok(None) => tombstones::write(shared, job, deadline).await,
        Err(outcome) => Err(outcome),
    };
    let job_version = match stored {
        Ok(row) if submissions::found(&row) == Found::Tombstone => return Outcome::NoJob,
        Ok(row) => row.version,
        Err(outcome) => return outcome,
    };
    let item = submissions::Item {
        key: record::JobKey::Cancelled(job),
        value: b"{}".to_vec(),
        accepted: None,
        job_version: Some(job_version),
        deadline,
    };
    let is_cancelled = match shared.submissions.write(item).await {
        Answer::Committed(_) => true,
        // The row of the cancellation exists, or the job was removed.
        Answer::Exists => {
            let cancelled = job_row(job, record::JobKey::Cancelled(job));
            match read(shared, &cancelled, deadline).await {
                Ok(row) => row.is_some(),
                Err(outcome) => return outcome,
            }
        }
        answer => return unwritten(answer),
    };
    if is_cancelled {
        Outcome::Done(submission::state_body(record::State::Cancelled))
    } else {
        Outcome::NoJob
    }
}

/// Returns the number of waiting jobs of a queue.
pub async fn waiting(
    shared: &Arc<shared::Shared>,
    queue: &str,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    while deadline.since_ms(clock::since_boot()) > 0 {
        let waiting = match shared.leadership() {
            Some(leadership) => Some(leadership.waiting(queue)),
            None => leader_waiting(shared, queue).await,
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

async fn leader_waiting(shared: &shared::Shared, queue: &str) -> Option<usize> {
    let address = shared.duty().duty?.address.parse().ok()?;
    let client = shared.peers.to(address);
    match peers::fetch_waiting(&client, queue, LEADER_TIMEOUT_MS).await {
        Ok(waiting) => waiting,
        Err(error) => {
            log::info(
                "front",
                &format!("leader does not respond queue={queue} holder={address} reason={error}"),
            );
            None
        }
    }
}
