//! Background tasks of `dev`: edit documents, submit jobs, and check availability budgets and jobs from outside.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job;
use wasabiloft::platform;
use wasabiloft_standins::client;

use crate::util;

/// Name of the folder with jobs inside a deployment's folder.
const JOBS_DIR: &str = "jobs";
/// Interval between edits of documents, in milliseconds.
const EDIT_INTERVAL_MS: u64 = 2_000;
/// Interval between polls of a node for the version in force, in milliseconds.
const LAG_POLL_INTERVAL_MS: u64 = 10;
/// Maximum time until a version is in force on all nodes, in milliseconds.
const LAG_MAX_MS: u64 = 7_000;
/// Interval between checks of the pools, in milliseconds.
const POOL_CHECK_INTERVAL_MS: u64 = 200;
/// Interval between polls of the jobs that have not ended, in milliseconds.
const JOB_POLL_INTERVAL_MS: u64 = 200;

/// Results of the edits.
#[derive(Debug, Default)]
pub struct Edits {
    /// Time from acceptance until all nodes had the version, for each edit, in milliseconds.
    pub lags_ms: Vec<u64>,
    /// Number of accepted edits.
    pub accepted_total: u64,
    /// Number of accepted edits that were not in force on all nodes in time.
    pub late_total: u64,
    /// Number of times a node showed an older version than before.
    pub reverted_total: u64,
}

impl Edits {
    /// Returns the lag at a quantile, in milliseconds; 0 if there were no edits.
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.lags_ms.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let index = (last as f64 * quantile).ceil() as usize;
        sorted.get(index).copied().unwrap_or(0)
    }
}

/// Edits one document after another until stopped, and measures when each edit is in force on all nodes.
pub async fn edit(
    entries: Vec<SocketAddr>,
    documents: Vec<(String, document::Document)>,
    stop: CancellationToken,
) -> Edits {
    let client = client::Client::default();
    let mut edits = Edits::default();
    for number in 0.. {
        tokio::select! {
            () = stop.cancelled() => break,
            () = time::sleep(Duration::from_millis(EDIT_INTERVAL_MS)) => {}
        }
        let index = number % documents.len();
        let entry = entries[number % entries.len()];
        let (text, document) = &documents[index];
        let text = format!("{text}\n# Edit {number}.\n");
        if let Some(version) = replace_document(entry, &document.service, text).await {
            edits.accepted_total += 1;
            measure_lag(&client, &entries, &document.service, version, &mut edits).await;
        }
    }
    edits
}

/// Replaces the version in force of a document. Returns the new version if it was accepted.
async fn replace_document(entry: SocketAddr, service: &id::Service, text: String) -> Option<u64> {
    let (version, _) = util::document_in_force(entry, service).await.ok()??;
    let path = format!("/-/documents/{service}");
    let response = util::call(
        entry,
        Method::PUT,
        &path,
        Some(version),
        util::Body::Toml(text),
    )
    .await
    .ok()?;
    match response.status() {
        StatusCode::OK => util::version(&response),
        _ => None,
    }
}

async fn measure_lag(
    client: &client::Client,
    entries: &[SocketAddr],
    service: &id::Service,
    version: u64,
    edits: &mut Edits,
) {
    let accepted_at = Instant::now();
    for entry in entries {
        while fetch_version(client, *entry, service).await.unwrap_or(0) < version {
            if elapsed_ms(accepted_at) > LAG_MAX_MS {
                edits.late_total += 1;
                return;
            }
            time::sleep(Duration::from_millis(LAG_POLL_INTERVAL_MS)).await;
        }
    }
    edits.lags_ms.push(elapsed_ms(accepted_at));
    for entry in entries {
        let seen = fetch_version(client, *entry, service).await;
        edits.reverted_total += u64::from(seen.is_some_and(|seen| seen < version));
    }
}

async fn fetch_version(
    client: &client::Client,
    entry: SocketAddr,
    service: &id::Service,
) -> Option<u64> {
    let path = format!("/-/documents/{service}");
    let response = client.call(entry, Method::GET, &path, None::<&()>).await;
    util::version(&response.ok()?)
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Results of the pool checks.
#[derive(Debug, Default)]
pub struct Pools {
    /// Number of times a pool had fewer live VMs than its document's `min_runners`, summed over all checks.
    pub breaches_total: u64,
}

/// Entry of a node's list of VMs, with only the fields that are used here.
#[derive(Debug, Deserialize)]
struct VmEntry {
    vm: id::Vm,
    pool: id::Pool,
}

/// Checks the pools until stopped, with ownership from a node's list and states from the platform itself.
pub async fn watch_pools(
    entry: SocketAddr,
    platform: SocketAddr,
    documents: Vec<document::Document>,
    stop: CancellationToken,
) -> Pools {
    let client = client::Client::default();
    let mut pools = Pools::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return pools,
            () = time::sleep(Duration::from_millis(POOL_CHECK_INTERVAL_MS)) => {}
        }
        let owned = client.json(entry, Method::GET, "/-/vms", None::<&()>).await;
        let list = client
            .json(platform, Method::GET, "/vms", None::<&()>)
            .await;
        if let (Ok(owned), Ok(list)) = (owned, list) {
            let owned: Vec<VmEntry> = owned;
            pools.breaches_total += breaches(&owned, &list, &documents);
        }
    }
}

fn breaches(owned: &[VmEntry], list: &platform::VmList, documents: &[document::Document]) -> u64 {
    let live: HashMap<_, _> = list
        .vms
        .iter()
        .map(|vm| (&vm.vm, vm.state == platform::VmState::Live))
        .collect();
    let mut breaches = 0;
    for document in documents {
        let members = owned.iter().filter(|vm| vm.pool == document.capacity.pool);
        let mut members = members.peekable();
        if members.peek().is_none() {
            continue;
        }
        let live_count = members.filter(|vm| live.get(&vm.vm) == Some(&true)).count();
        breaches += u64::from(live_count < document.availability.min_runners as usize);
    }
    breaches
}

/// Results of the submitted jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Number of accepted jobs.
    pub submitted_total: u64,
    /// Number of jobs that finished.
    pub finished_total: u64,
    /// Number of accepted jobs that the polled node did not know afterwards.
    pub lost_total: u64,
}

/// Reads the jobs in a deployment's folder. Returns none if there is no folder of jobs.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is not a valid job.
pub fn read_jobs(dir: &Path) -> Result<Vec<job::Spec>, util::Error> {
    let folder = dir.join(JOBS_DIR);
    let Ok(entries) = std::fs::read_dir(&folder) else {
        return Ok(Vec::new());
    };
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    paths.iter().map(|path| util::read_job(path)).collect()
}

/// Submits jobs through the nodes in turn, and waits until they have ended or the run stops.
pub async fn run_jobs(
    entries: Vec<SocketAddr>,
    specs: Vec<job::Spec>,
    stop: CancellationToken,
) -> Jobs {
    let client = client::Client::default();
    let mut jobs = Jobs::default();
    let mut pending = Vec::new();
    for (number, spec) in specs.iter().enumerate() {
        let entry = entries[number % entries.len()];
        let response = client
            .call(entry, Method::POST, "/-/jobs", Some(spec))
            .await;
        if response.is_ok_and(|response| response.status().is_success()) {
            jobs.submitted_total += 1;
            pending.push(spec.job());
        }
    }
    while !pending.is_empty() && !stop.is_cancelled() {
        time::sleep(Duration::from_millis(JOB_POLL_INTERVAL_MS)).await;
        let mut still_pending = Vec::new();
        for job in pending {
            match poll_job(&client, entries[0], &job).await {
                JobStatus::Finished => jobs.finished_total += 1,
                JobStatus::Ended => {}
                JobStatus::Unknown => jobs.lost_total += 1,
                JobStatus::Pending => still_pending.push(job),
            }
        }
        pending = still_pending;
    }
    jobs
}

/// Status of a job as reported by a node.
enum JobStatus {
    Finished,
    Ended,
    Pending,
    Unknown,
}

async fn poll_job(client: &client::Client, entry: SocketAddr, job: &id::Job) -> JobStatus {
    let path = format!("/-/jobs/{job}");
    let Ok(response) = client.call(entry, Method::GET, &path, None::<&()>).await else {
        return JobStatus::Pending;
    };
    if response.status() == StatusCode::NOT_FOUND {
        return JobStatus::Unknown;
    }
    let row: Option<job::Row> = serde_json::from_slice(response.body()).ok();
    match row.map(|row| row.state) {
        Some(job::State::Ended(job::row::End::Finished)) => JobStatus::Finished,
        Some(job::State::Ended(_)) => JobStatus::Ended,
        _ => JobStatus::Pending,
    }
}
