//! Follows the table of accepted jobs while leading, and reads the partitions that could not be read before.

use std::future;
use std::sync::Arc;

use wasabiloft::batch::record;
use wasabiloft::batch::recovery::Part;
use wasabiloft::batch::scheduler::PartitionRows;
use wasabiloft_platform::store;

use crate::batch::{leadership, recovery, shared};
use crate::clock;
use crate::log;

/// A response that the follower of the job table waits for.
enum JobsEvent {
    /// A part of the rows was read.
    Read(recovery::PartRows),
    /// A poll that was sent at some time returned changes.
    Polled(
        wasabiloft::clock::Instant,
        Result<store::Page, store::Error>,
    ),
}

/// Follows the table of accepted jobs and cancellations, and reads the partitions that are missing.
pub async fn follow(
    shared: Arc<shared::Shared>,
    leadership: Arc<leadership::Leadership>,
    mut reader: recovery::Reader,
    from: u64,
) {
    let mut after = Some(from);
    while !leadership.ended.is_cancelled() {
        let event = tokio::select! {
            () = leadership.ended.cancelled() => return,
            read = reader.next() => JobsEvent::Read(read),
            polled = poll_jobs(&shared, after) => polled,
        };
        match event {
            JobsEvent::Read(read) => {
                // Changes after the read are followed again, also if a poll returned some of them: the feed may lack
                // those of a partition that was unavailable.
                after = Some(after.unwrap_or(read.version).min(read.version));
                add_partition(&leadership, &read);
            }
            JobsEvent::Polled(sent_at, Ok(page)) => {
                shared.record_store_response();
                let jobs = leadership.decode_jobs(&page.rows);
                leadership.tombstones_read(&jobs.tombstones);
                leadership.scheduler().jobs_undecodable(jobs.undecodable);
                for (job, accepted) in jobs.accepted {
                    leadership.accepted(job, accepted);
                }
                for job in jobs.cancelled {
                    leadership.cancelled(job);
                }
                if page.rows.len() < store::PAGE_ROWS_MAX as usize {
                    leadership.scheduler().jobs_read(sent_at);
                }
                after = after.max(Some(page.version));
            }
            JobsEvent::Polled(_, Err(store::Error::HistoryUnavailable)) => {
                log::info("holder", "history of jobs unavailable, reading all rows");
                leadership.scheduler().job_changes_missed();
                reader.read_jobs_again();
                after = None;
            }
            JobsEvent::Polled(_, Err(error)) => {
                log::info("holder", &format!("jobs unread reason={error}"));
                leadership::pause(&leadership, leadership::RETRY_MS).await;
            }
        }
    }
}

/// Passes the rows of a partition that was read while leading to the scheduler.
fn add_partition(leadership: &leadership::Leadership, read: &recovery::PartRows) {
    let Part::Jobs(partition) = read.part else {
        return;
    };
    let jobs = leadership.decode_jobs(&read.rows);
    leadership.tombstones_read(&jobs.tombstones);
    let rows = PartitionRows {
        partition,
        accepted: jobs.accepted,
        cancelled: jobs.cancelled,
        undecodable: jobs.undecodable,
        began_at: read.began_at,
    };
    let now = clock::since_boot();
    let added = leadership
        .scheduler()
        .partition_read(rows, now, clock::unix_ms());
    recovery::log_late(read, added);
    leadership.wake.notify_one();
}

/// Waits for changes after a version; forever if all rows have to be read first.
async fn poll_jobs(shared: &shared::Shared, after: Option<u64>) -> JobsEvent {
    let sent_at = clock::since_boot();
    let Some(after) = after else {
        return future::pending().await;
    };
    let changes = shared
        .store
        .changes(record::JOB_TABLE, after, leadership::POLL_WAIT_MS);
    JobsEvent::Polled(sent_at, changes.await)
}
