//! Group commit of changed rows: one transaction at a time, urgent jobs first.

use std::collections::VecDeque;

use super::entry::{Job, Write};
use super::{Duty, JobKey, Output, Token, message};
use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::{intake, row, spec};
use crate::platform;

/// Jobs that one transaction takes; each is a check and a write.
const JOBS_PER_TXN: usize = platform::TXN_ROWS_MAX / 2 - 10;
/// Inbox rows that one transaction deletes.
const INBOX_PER_TXN: usize = 8;
/// Least time between two transactions, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 20;
/// Least time between two publications of the backlog, in milliseconds.
const BACKLOG_MS: u64 = 5 * clock::SECOND_MS;

/// Least time between two writes of the learned sizes, in milliseconds.
const ESTIMATES_MS: u64 = 30 * clock::SECOND_MS;

/// A transaction whose outcome has not settled.
#[derive(Debug)]
struct InFlight {
    token: Token,
    jobs: Vec<JobKey>,
    inbox: Vec<id::Key>,
}

/// Rows that wait to be written.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    urgent: VecDeque<JobKey>,
    others: VecDeque<JobKey>,
    in_flight: Option<InFlight>,
    next_token: u64,
    next_commit: clock::Instant,
    next_backlog: clock::Instant,
    published: intake::Backlog,
    next_estimates: clock::Instant,
    kept: estimate::Snapshot,
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
    /// Sends the next transaction if none is in flight.
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
        self.keep_estimates(&mut txn);
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
        job.write = Write::InFlight;
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
                value: Some(intake::to_json(&job.row)),
            }
        });
    }

    fn publish_backlog(&mut self, txn: &mut platform::Txn) {
        let now = self.now.at;
        if now < self.pipeline.next_backlog {
            return;
        }
        self.pipeline.next_backlog = now.after_ms(BACKLOG_MS);
        let backlog = self.queue.backlog();
        if backlog != self.pipeline.published {
            txn.writes.push(message::backlog_write(&backlog));
            self.pipeline.published = backlog;
        }
    }

    fn keep_estimates(&mut self, txn: &mut platform::Txn) {
        let now = self.now.at;
        if now < self.pipeline.next_estimates {
            return;
        }
        self.pipeline.next_estimates = now.after_ms(ESTIMATES_MS);
        let snapshot = self.book.snapshot();
        if snapshot != self.pipeline.kept {
            txn.writes.push(message::estimates_write(&snapshot));
            self.pipeline.kept = snapshot;
        }
    }

    /// Takes the outcome of a transaction and does what it allows.
    pub(super) fn settled(&mut self, token: Token, outcome: &platform::Outcome) {
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
            self.forget(key);
            return;
        }
        job.version = version;
        job.write = Write::Settled;
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
