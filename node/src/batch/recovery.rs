//! Reads the rows from which a new leader recovers its state, part by part.

use std::collections::{BTreeMap, BTreeSet};
use std::future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time;
use wasabiloft::batch::recovery::{Part, Reads};
use wasabiloft::batch::submissions::Found;
use wasabiloft::batch::{JobId, progress_rows, record, recovery_pages, scheduler};
use wasabiloft::id;
use wasabiloft_platform::{excerpt, store};

use crate::batch::{shared, submissions};
use crate::clock;
use crate::log;

/// Timeout of a read from the store, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Decoded rows of the job table.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Accepted jobs with their records.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Jobs with a cancellation.
    pub cancelled: Vec<JobId>,
    /// Jobs whose row cannot be decoded.
    pub undecodable: Vec<JobId>,
    /// Jobs that were cancelled before they were stored, with the versions of their rows.
    pub tombstones: Vec<(JobId, u64)>,
}

impl Jobs {
    /// Decodes rows of the job table. Rows that were read before this leader removed them are skipped: `removed` holds the
    /// versions of the removals.
    pub fn decode(rows: &[store::Row], removed: &BTreeMap<JobId, u64>) -> Self {
        let mut jobs = Self::default();
        for row in rows {
            if row.removed {
                continue;
            }
            let Some(key) = record::JobKey::parse(&row.name.key) else {
                let key = excerpt::excerpt(&row.name.key);
                log::warn("holder", &format!("row ignored key={key}"));
                continue;
            };
            let (record::JobKey::Accepted(job) | record::JobKey::Cancelled(job)) = key;
            if removed
                .get(&job)
                .is_some_and(|version| row.version < *version)
            {
                continue;
            }
            match key {
                record::JobKey::Accepted(job) if submissions::found(row) == Found::Tombstone => {
                    jobs.tombstones.push((job, row.version));
                }
                record::JobKey::Accepted(job) => match decode::<record::Accepted>(row) {
                    Some(accepted) => {
                        let row_version = row.version;
                        jobs.accepted.push((
                            job,
                            record::Accepted {
                                row_version,
                                ..accepted
                            },
                        ));
                    }
                    None => jobs.undecodable.push(job),
                },
                record::JobKey::Cancelled(job) => jobs.cancelled.push(job),
            }
        }
        jobs
    }
}

fn log_decode_error(row: &store::Row, reason: &str) {
    metrics::counter!("wasabiloft_rows_undecodable_total", "table" => row.name.table.clone())
        .increment(1);
    log::warn(
        "holder",
        &format!(
            "cannot decode row table={} key={} reason={}",
            row.name.table,
            excerpt::excerpt(&row.name.key),
            excerpt::excerpt(reason)
        ),
    );
}

/// All rows of a part.
pub struct PartRows {
    /// The part that was read.
    pub part: Part,
    /// Its rows in the order of their keys.
    pub rows: Vec<store::Row>,
    /// Version of the store when the first page was read; later changes must be followed.
    pub version: u64,
    /// When the read of the first page was sent.
    pub began_at: wasabiloft::clock::Instant,
    /// How long the part was missing, in milliseconds.
    pub late_ms: u64,
    /// Whether a read of the part was refused or got no response.
    pub was_refused: bool,
}

/// Pages that were read of a part.
struct Pages {
    rows: Vec<store::Row>,
    version: u64,
    began_at: wasabiloft::clock::Instant,
}

struct Response {
    part: Part,
    generation: u32,
    sent_at: wasabiloft::clock::Instant,
    outcome: Result<store::Page, store::Error>,
}

/// The parts that a reader reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The partitions of the job table.
    Jobs,
    /// The scheduler's own partition.
    Own,
}

/// Reads parts until all are complete. It has connections of its own: a timeout of a read would close those of the
/// renewals and commits.
pub struct Reader {
    shared: Arc<shared::Shared>,
    store: Arc<store::Store>,
    reads: Reads,
    rows_max: u32,
    pages: BTreeMap<Part, Pages>,
    refused: BTreeSet<Part>,
    in_progress: FuturesUnordered<BoxFuture<'static, Response>>,
    /// Raised when all partitions are to be read again, to ignore responses to earlier reads.
    generation: u32,
}

fn names(part: Part) -> (&'static str, String) {
    let own = || record::SCHEDULER_PARTITION.to_owned();
    match part {
        Part::Workers => (record::WORKER_TABLE, own()),
        Part::Progress => (record::PROGRESS_TABLE, own()),
        Part::Jobs(partition) => (record::JOB_TABLE, record::job_partition_name(partition)),
    }
}

impl Reader {
    /// Creates a reader of all parts.
    pub fn new(shared: &Arc<shared::Shared>) -> Self {
        let settings = shared.settings();
        let pages = recovery_pages::reads(settings.link_kbit_per_s);
        Self {
            shared: Arc::clone(shared),
            store: Arc::new(store::Store::new(settings.store)),
            reads: Reads::new(pages.at_once, clock::since_boot()),
            rows_max: pages.rows_max,
            pages: BTreeMap::new(),
            refused: BTreeSet::new(),
            in_progress: FuturesUnordered::new(),
            generation: 0,
        }
    }

    /// Creates a reader of the job table only, or of all other parts if a standby has read the job table.
    pub fn of(shared: &Arc<shared::Shared>, scope: Scope) -> Self {
        let mut reader = Self::new(shared);
        let now = clock::since_boot();
        match scope {
            Scope::Jobs => {
                reader.reads.completed(Part::Workers, now);
                reader.reads.completed(Part::Progress, now);
            }
            Scope::Own => {
                for partition in 0..record::JOB_PARTITIONS {
                    reader.reads.completed(Part::Jobs(partition), now);
                }
            }
        }
        reader
    }

    /// Returns the decisions about the reads.
    pub fn reads(&self) -> &Reads {
        &self.reads
    }

    /// Reads all partitions of the job table again.
    pub fn read_jobs_again(&mut self) {
        self.generation += 1;
        self.pages.clear();
        self.reads.read_jobs_again(clock::since_boot());
    }

    /// Returns the next part that is read completely; waits forever if all are. It can be dropped without losing
    /// anything.
    pub async fn next(&mut self) -> PartRows {
        loop {
            if self.reads.is_complete() {
                future::pending::<()>().await;
            }
            let now = clock::since_boot();
            let repeated = self.reads.repeated();
            for part in self.reads.take_due(now) {
                let read = self.page(part, now);
                self.in_progress.push(read);
            }
            metrics::counter!("wasabiloft_recovery_reads_repeated_total")
                .increment(self.reads.repeated() - repeated);
            let pause_ms = self.reads.next_at(now).since_ms(now).max(1);
            tokio::select! {
                Some(response) = self.in_progress.next() => {
                    if let Some(rows) = self.apply(response) {
                        return rows;
                    }
                }
                () = time::sleep(Duration::from_millis(pause_ms)) => {}
            }
        }
    }

    /// Reads the next page of a part.
    fn page(&self, part: Part, now: wasabiloft::clock::Instant) -> BoxFuture<'static, Response> {
        let (table, partition) = names(part);
        let last = self.pages.get(&part).and_then(|pages| pages.rows.last());
        let from = last.map(|row| row.name.next_key());
        let (store, rows_max, generation) =
            (Arc::clone(&self.store), self.rows_max, self.generation);
        let read = async move {
            let page = store.page(
                table,
                &partition,
                from.as_deref(),
                rows_max,
                READ_TIMEOUT_MS,
            );
            Response {
                part,
                generation,
                sent_at: now,
                outcome: page.await,
            }
        };
        read.boxed()
    }

    fn apply(&mut self, response: Response) -> Option<PartRows> {
        let (part, now) = (response.part, clock::since_boot());
        let is_obsolete = response.generation != self.generation && !part.is_own();
        if response.outcome.is_ok() {
            self.shared.record_store_response();
        }
        let page = match response.outcome {
            Ok(_) if is_obsolete => {
                self.reads.continued(part, now);
                return None;
            }
            Ok(page) => page,
            Err(error) => {
                self.fail(part, &error, now);
                return None;
            }
        };
        let has_more = page.more && !page.rows.is_empty();
        let pages = self.pages.entry(part).or_insert(Pages {
            rows: Vec::new(),
            // Rows that changed after the first page was read are followed by their later versions.
            version: page.version,
            began_at: response.sent_at,
        });
        pages.rows.extend(page.rows);
        if has_more {
            self.reads.continued(part, now);
            return None;
        }
        let pages = self.pages.remove(&part)?;
        Some(PartRows {
            part,
            rows: pages.rows,
            version: pages.version,
            began_at: pages.began_at,
            late_ms: self.reads.completed(part, now),
            was_refused: self.refused.remove(&part),
        })
    }

    fn fail(&mut self, part: Part, error: &store::Error, now: wasabiloft::clock::Instant) {
        self.reads.failed(part, rand::random_range(0..=1_000), now);
        if self.refused.insert(part) {
            let (table, partition) = names(part);
            log::info(
                "holder",
                &format!("rows unread table={table} part={partition} reason={error}"),
            );
        }
    }
}

/// The state that a new leader recovers from the parts that were read.
#[derive(Default)]
pub struct Recovered {
    /// Input of the scheduler.
    pub state: scheduler::RecoveredState,
    /// Version after which changes of jobs must be followed.
    pub version: Option<u64>,
    /// Jobs that were cancelled before they were stored, with the versions of their rows.
    pub tombstones: Vec<(JobId, u64)>,
}

impl Recovered {
    /// Starts with the rows of jobs that a standby has read up to a version.
    pub fn with_jobs(jobs: Jobs, version: u64) -> Self {
        let mut recovered = Self::default();
        recovered.state.accepted = jobs.accepted;
        recovered.state.cancelled = jobs.cancelled;
        recovered.state.undecodable = jobs.undecodable;
        recovered.tombstones = jobs.tombstones;
        recovered.version = Some(version);
        recovered
    }

    /// Adds the rows of a part.
    pub fn add(&mut self, read: &PartRows) {
        let version = self.version.unwrap_or(read.version);
        // A change between two reads has a version above the older of the two.
        self.version = Some(version.min(read.version));
        match read.part {
            Part::Workers => {
                for row in &read.rows {
                    let worker = decode(row).unwrap_or_else(record::WorkerRow::unreadable);
                    let id = id::Worker::new(&row.name.key);
                    self.state.workers.push((id, worker));
                }
            }
            Part::Progress => {
                for row in &read.rows {
                    let Ok(key) = row.name.key.parse::<progress_rows::Key>() else {
                        continue;
                    };
                    match decode(row) {
                        Some(progress) => self.state.progress.push((key, progress)),
                        None => self.state.undecodable_progress.push(key.job),
                    }
                }
            }
            Part::Jobs(_) => {
                let jobs = Jobs::decode(&read.rows, &BTreeMap::new());
                self.state.accepted.extend(jobs.accepted);
                self.state.cancelled.extend(jobs.cancelled);
                self.state.undecodable.extend(jobs.undecodable);
                self.tombstones.extend(jobs.tombstones);
            }
        }
    }
}

fn decode<T>(row: &store::Row) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let Some(value) = &row.value else {
        log_decode_error(row, "no readable content");
        return None;
    };
    let decoded = serde_json::from_slice(value);
    decoded
        .inspect_err(|error| log_decode_error(row, &error.to_string()))
        .ok()
}

/// Logs that a part was read after it had been refused, or while leading, and how many jobs were added with it.
pub fn log_late(read: &PartRows, jobs_added: usize) {
    let (table, partition) = names(read.part);
    log::info(
        "holder",
        &format!(
            "rows read late table={table} part={partition} rows={} jobs_added={jobs_added} late_ms={}",
            read.rows.len(),
            read.late_ms
        ),
    );
}
