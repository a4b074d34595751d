//! Group commit of changed rows: one transaction at a time, urgent jobs first.

use std::collections::VecDeque;

use super::job::{Job, WriteState};
use super::{Duty, JobKey, Output, Token, message};
use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::{row, spec, submission};
use crate::platform;

/// Maximum number of jobs in one transaction; each takes one check and one write.
const JOBS_PER_TXN: usize = platform::TXN_ROWS_MAX / 2 - 10;
/// Maximum number of inbox rows that one transaction deletes.
const INBOX_PER_TXN: usize = 8;
/// Minimum interval between two transactions, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 20;
/// Minimum interval between two publications of the backlog, in milliseconds.
const BACKLOG_INTERVAL_MS: u64 = 5 * clock::SECOND_MS;

/// Minimum interval between two writes of the size estimates, in milliseconds.
const ESTIMATES_INTERVAL_MS: u64 = 30 * clock::SECOND_MS;

/// A transaction whose outcome has not settled.
#[derive(Debug)]
struct InFlight {
    token: Token,
    jobs: Vec<JobKey>,
    inbox: Vec<id::Key>,
}

/// Rows that wait to be written, and the transaction in flight.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    urgent: VecDeque<JobKey>,
    others: VecDeque<JobKey>,
    in_flight: Option<InFlight>,
    next_token: u64,
    next_commit: clock::Instant,
    next_backlog: clock::Instant,
    published_backlog: submission::Backlog,
    next_estimates: clock::Instant,
    written_estimates: estimate::Snapshot,
}

impl Pipeline {
    /// Adds a job whose row has changed.
    pub(super) fn push(&mut self, key: JobKey, urgent: bool) {
        if urgent {
            self.urgent.push_back(key);
        } else {
            self.others.push_back(key);
        }
    }

    fn take_jobs(&mut self) -> Vec<JobKey> {
        let mut jobs = Vec::new();
        while jobs.len() < JOBS_PER_TXN {
            let Some(key) = self.urgent.pop_front().or_else(|| self.others.pop_front()) else {
                break;
            };
            jobs.push(key);
        }
        jobs
    }
}

impl Duty {
    /// Sends the next transaction if none is in flight and the interval has passed.
    pub(super) fn flush(&mut self) {
        let now = self.now.at;
        if self.pipeline.in_flight.is_some() || now < self.pipeline.next_commit {
            return;
        }
        let jobs = self.pipeline.take_jobs();
        let inbox: Vec<id::Key> = self
            .inbox_done
            .iter()
            .take(INBOX_PER_TXN)
            .cloned()
            .collect();
        let mut txn = platform::Txn::default();
        for key in &jobs {
            self.write_job(*key, &mut txn);
        }
        for key in &inbox {
            txn.writes.push(delete(key.clone()));
        }
        self.publish_backlog(&mut txn);
        self.write_estimates(&mut txn);
        if txn.writes.is_empty() {
            return;
        }
        let token = Token(self.pipeline.next_token);
        self.pipeline.next_token += 1;
        self.pipeline.next_commit = now.after_ms(COMMIT_INTERVAL_MS);
        self.pipeline.in_flight = Some(InFlight { token, jobs, inbox });
        self.outputs.push(Output::Commit { token, txn });
    }

    fn write_job(&mut self, key: JobKey, txn: &mut platform::Txn) {
        let job = &mut self.jobs[key];
        job.write_state = WriteState::InFlight;
        let row_key = spec::row_key(&job.id);
        txn.checks.push(platform::Check {
            key: row_key.clone(),
            version: job.version,
        });
        txn.writes.push(if job.delete {
            delete(row_key)
        } else {
            platform::Write {
                key: row_key,
                value: Some(submission::to_json(&job.row)),
            }
        });
    }

    fn publish_backlog(&mut self, txn: &mut platform::Txn) {
        let now = self.now.at;
        if now < self.pipeline.next_backlog {
            return;
        }
        self.pipeline.next_backlog = now.after_ms(BACKLOG_INTERVAL_MS);
        let backlog = self.queue.backlog();
        if backlog != self.pipeline.published_backlog {
            txn.writes.push(message::backlog_write(&backlog));
            self.pipeline.published_backlog = backlog;
        }
    }

    fn write_estimates(&mut self, txn: &mut platform::Txn) {
        let now = self.now.at;
        if now < self.pipeline.next_estimates {
            return;
        }
        self.pipeline.next_estimates = now.after_ms(ESTIMATES_INTERVAL_MS);
        let snapshot = self.estimates.snapshot();
        if snapshot != self.pipeline.written_estimates {
            txn.writes.push(message::estimates_write(&snapshot));
            self.pipeline.written_estimates = snapshot;
        }
    }

    /// Handles the outcome of a transaction and carries out the committed decisions.
    pub(super) fn commit_settled(&mut self, token: Token, outcome: &platform::Outcome) {
        let Some(sent) = self.pipeline.in_flight.take_if(|sent| sent.token == token) else {
            return;
        };
        let platform::Outcome::Committed(committed) = outcome else {
            self.outputs.push(Output::StepDown);
            return;
        };
        for key in &sent.inbox {
            self.inbox_done.remove(key);
            self.inbox.remove(key);
        }
        for (key, version) in sent.jobs.into_iter().zip(&committed.versions) {
            self.job_committed(key, *version);
        }
        self.round_due = true;
    }

    fn job_committed(&mut self, key: JobKey, version: u64) {
        let job: &mut Job = &mut self.jobs[key];
        if job.delete {
            self.remove_job(key);
            return;
        }
        job.version = version;
        job.write_state = WriteState::Settled;
        match &job.row.state {
            row::State::Placed(_) if !self.cancels.contains(&key) => self.send_start(key),
            row::State::Stopping(_) => self.send_stop(key),
            _ => {}
        }
    }
}

fn delete(key: id::Key) -> platform::Write {
    platform::Write { key, value: None }
}
