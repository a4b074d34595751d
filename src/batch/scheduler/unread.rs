//! Partitions of the job table that are read only after the scheduler has started.
//!
//! Answers the load of a takeover while the store refuses some partitions: jobs of the others proceed. The progress of
//! unread jobs is kept from the start, because a job's tasks must not start before its progress is known.

use crate::batch::JobId;
use crate::batch::progress_rows;
use crate::batch::record;
use crate::batch::scheduler::{PartitionRows, Scheduler};
use crate::clock;

impl Scheduler {
    /// Adds the jobs of a partition, with their progress, cancellations and runs, and returns how many are new.
    ///
    /// All rows are applied before the next planning round, so no task of a cancelled job starts.
    pub fn partition_read(
        &mut self,
        rows: PartitionRows,
        now: clock::Instant,
        unix_ms: u64,
    ) -> usize {
        // Tasks of jobs that a previous leader may have known can run on workers that have not answered.
        let recovered = self.orphans.partition_read(rows.partition, rows.began_at);
        self.undecodable.extend(rows.undecodable);
        let mut added = 0;
        for (id, accepted) in rows.accepted {
            if !self.add_job(id, accepted, recovered, now) {
                continue;
            }
            added += 1;
            self.apply_orphans(id, now);
            if self.early_cancels.remove(&id) {
                self.job_cancelled(id, now, unix_ms);
            }
        }
        for id in rows.cancelled {
            self.job_cancelled(id, now, unix_ms);
        }
        self.obsolete_progress_unchecked = true;
        added
    }

    /// Records jobs whose row was written or changed and cannot be decoded.
    pub fn jobs_undecodable(&mut self, jobs: Vec<JobId>) {
        self.undecodable.extend(jobs);
    }

    /// Returns whether a row of a job cannot be decoded, so that no task of it starts and no end of it is applied. An operator
    /// ends this by cancelling the job, or by replacing the row before the next leader begins.
    pub(super) fn is_held(&self, id: JobId) -> bool {
        match self.jobs.get(&id) {
            Some(job) => self.held.contains(&id) && !job.state.is_final(),
            None => self.undecodable.contains(&id),
        }
    }

    /// Removes and returns the recovered progress of a job that becomes known.
    pub(super) fn claim_progress(
        &mut self,
        id: JobId,
        accepted: &record::Accepted,
    ) -> Option<progress_rows::Stored> {
        let stored = self.unclaimed_progress.remove(&id)?;
        let progress = &stored.first;
        let is_obsolete =
            progress.state.is_final() && self.is_resubmitted(progress.ended_unix_ms, accepted);
        if is_obsolete {
            self.pending_rows.delete_progress(stored.further_keys(id));
        }
        (!is_obsolete).then_some(stored)
    }

    /// Returns the final state of a job whose row has not been read. Its other states are uncertain, as a cancellation
    /// would be unread as well.
    pub(super) fn state_of_unread(&self, id: JobId) -> Option<record::State> {
        if self.orphans.is_read(record::job_partition_number(id)) {
            return None;
        }
        let progress = &self.unclaimed_progress.get(&id)?.first;
        progress.state.is_final().then_some(progress.state)
    }
}
