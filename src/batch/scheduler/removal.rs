//! Removal of ended jobs: first their rows in the job table, then their progress.
//!
//! In the other order, a job whose row stays because its partition is unavailable would have no progress for the next
//! leader, which would start it again. A job is known until its row is removed, so that a read doesn't add it again.

use std::sync::Arc;

use crate::batch::JobId;
use crate::batch::progress_rows;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, commit};
use crate::clock;

/// Time after the end of a job within which workers may still report its runs, whose needs are then known, in milliseconds.
const TRIM_AFTER_MS: u64 = 5_000;

impl Scheduler {
    /// Time for which ended jobs are kept, in milliseconds: twice the promised time, because the clocks of callers and
    /// of this node differ.
    fn keep_ms(&self) -> u64 {
        self.settings.status_ms * 2
    }

    /// Releases the memory of what was submitted with jobs that have ended a while ago.
    pub(super) fn trim_ended_jobs(&mut self, now: clock::Instant) {
        while let Some(&(ended_at, id)) = self.untrimmed.front() {
            if now.since_ms(ended_at) < TRIM_AFTER_MS {
                break;
            }
            self.untrimmed.pop_front();
            // Until its end is committed, callers are told whether the job has started.
            if let Some(job) = self.jobs.get_mut(&id)
                && !(job.committed_state.is_final() && job.trim())
            {
                self.untrimmed.push_back((now, id));
            }
        }
    }

    pub(super) fn find_expired_jobs(&mut self, unix_ms: u64) {
        let keep_ms = self.keep_ms();
        let expired: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| {
                job.committed_state.is_final()
                    && job.ended_unix_ms > 0
                    && job.ended_unix_ms + keep_ms < unix_ms
                    && !self.jobs_in_removal.contains(&job.id)
            })
            .map(|job| job.id)
            .take(commit::ROWS_MAX / 4)
            .collect();
        self.jobs_in_removal.extend(&expired);
        self.expired_jobs.extend(expired);
    }

    /// Returns the jobs whose rows in the job table have to be removed, once each.
    pub fn take_expired_jobs(&mut self) -> Vec<JobId> {
        let mut expired = std::mem::take(&mut self.expired_jobs);
        expired.retain(|id| self.jobs_in_removal.contains(id));
        expired
    }

    /// Returns the version of the row of a job whose rows are being removed, and when it was submitted, in milliseconds
    /// since 1970.
    pub fn expired_row(&self, id: JobId) -> Option<(u64, u64)> {
        let job = self.jobs.get(&id)?;
        let accepted = &job.accepted;
        (self.jobs_in_removal.contains(&id))
            .then_some((accepted.row_version, accepted.submitted_unix_ms))
    }

    /// Records the version of a job's row, as read from the store.
    pub fn row_read(&mut self, id: JobId, accepted: &record::Accepted) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.accepted.submitted_unix_ms == accepted.submitted_unix_ms
        {
            Arc::make_mut(&mut job.accepted).row_version = accepted.row_version;
        }
    }

    /// Returns whether a job was submitted after the rows of an earlier one with its id had been removed.
    pub(super) fn is_resubmitted(&self, ended_unix_ms: u64, accepted: &record::Accepted) -> bool {
        ended_unix_ms > 0 && accepted.submitted_unix_ms > ended_unix_ms + self.settings.status_ms
    }

    /// Removes an ended job if its id was submitted again, which is possible before the removal of its rows is
    /// confirmed; returns whether it did.
    pub(super) fn remove_earlier_job(&mut self, id: JobId, accepted: &record::Accepted) -> bool {
        let is_earlier = self.jobs_in_removal.contains(&id)
            && self
                .jobs
                .get(&id)
                .is_some_and(|job| self.is_resubmitted(job.ended_unix_ms, accepted));
        if is_earlier {
            self.jobs_in_removal.remove(&id);
            self.jobs.remove(&id);
        }
        is_earlier
    }

    /// Records that the rows of ended jobs were removed from the job table, and queues the deletion of their progress.
    pub fn job_rows_removed(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if self.jobs_in_removal.remove(id) {
                let rows = self.jobs.remove(id).map(|job| job.rows);
                let keys = rows.into_iter().flatten();
                let keys = keys.map(|part| progress_rows::Key { job: *id, part });
                self.pending_rows.delete_progress(keys);
            }
        }
    }

    /// Deletes the progress of jobs whose rows a previous leader removed before it was lost.
    pub(super) fn delete_obsolete_progress(&mut self, unix_ms: u64) {
        if !std::mem::take(&mut self.obsolete_progress_unchecked) {
            return;
        }
        let keep_ms = self.keep_ms();
        let obsolete: Vec<JobId> = self
            .unclaimed_progress
            .iter()
            .filter(|(id, stored)| {
                let progress = &stored.first;
                progress.state.is_final()
                    && progress.ended_unix_ms > 0
                    && progress.ended_unix_ms + keep_ms < unix_ms
                    && self.orphans.is_read(record::job_partition_number(**id))
                    && !self.undecodable.contains(id)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in obsolete {
            if let Some(stored) = self.unclaimed_progress.remove(&id) {
                let keys = stored.further_keys(id).chain([id.into()]);
                self.pending_rows.delete_progress(keys);
            }
        }
    }
}
