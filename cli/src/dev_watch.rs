//! What `dev` does beside the load: edits documents, submits jobs, and watches budgets and jobs from outside.

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

/// Folder of jobs in a deployment's folder.
const JOBS_DIR: &str = "jobs";
/// How often a document is edited, in milliseconds.
const EDIT_EVERY_MS: u64 = 2_000;
/// How often a node is asked for the version in force, in milliseconds.
const LAG_LOOK_MS: u64 = 10;
/// The longest that a version may take to be in force everywhere, in milliseconds.
const LAG_MAX_MS: u64 = 7_000;
/// How often the pools are looked at, in milliseconds.
const POOL_LOOK_MS: u64 = 200;
/// How often a job that is not over yet is looked at, in milliseconds.
const JOB_LOOK_MS: u64 = 200;

/// What the edits met.
#[derive(Debug, Default)]
pub struct Edits {
    /// Time from acceptance until all nodes had the version, of each edit, in milliseconds.
    pub lags_ms: Vec<u64>,
    /// Edits that were accepted.
    pub accepted_total: u64,
    /// Accepted edits that were not in force everywhere in time.
    pub late_total: u64,
    /// Times that a node showed an older version than before.
    pub reverted_total: u64,
}

impl Edits {
    /// The lag at a quantile, in milliseconds; 0 without edits.
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
            () = time::sleep(Duration::from_millis(EDIT_EVERY_MS)) => {}
        }
        let index = number % documents.len();
        let entry = entries[number % entries.len()];
        let (text, document) = &documents[index];
        let text = format!("{text}\n# Edit {number}.\n");
        if let Some(version) = put(entry, &document.service, text).await {
            edits.accepted_total += 1;
            measure_lag(&client, &entries, &document.service, version, &mut edits).await;
        }
    }
    edits
}

/// Writes a document over the version in force; gives the new version if it was accepted.
async fn put(entry: SocketAddr, service: &id::Service, text: String) -> Option<u64> {
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
        while version_at(client, *entry, service).await.unwrap_or(0) < version {
            if elapsed_ms(accepted_at) > LAG_MAX_MS {
                edits.late_total += 1;
                return;
            }
            time::sleep(Duration::from_millis(LAG_LOOK_MS)).await;
        }
    }
    edits.lags_ms.push(elapsed_ms(accepted_at));
    for entry in entries {
        let seen = version_at(client, *entry, service).await;
        edits.reverted_total += u64::from(seen.is_some_and(|seen| seen < version));
    }
}

async fn version_at(
    client: &client::Client,
    entry: SocketAddr,
    service: &id::Service,
) -> Option<u64> {
    let path = format!("/-/documents/{service}");
    let answer = client.call(entry, Method::GET, &path, None::<&()>).await;
    util::version(&answer.ok()?)
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// What was seen of the pools.
#[derive(Debug, Default)]
pub struct Pools {
    /// Looks in which a pool had fewer VMs in service than its document's least.
    pub breaches_total: u64,
}

/// A VM of a node's list, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Owned {
    vm: id::Vm,
    pool: id::Pool,
}

/// Looks at the pools until stopped: ownership by a node's list, states by the platform itself.
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
            () = time::sleep(Duration::from_millis(POOL_LOOK_MS)) => {}
        }
        let owned = client.json(entry, Method::GET, "/-/vms", None::<&()>).await;
        let list = client
            .json(platform, Method::GET, "/vms", None::<&()>)
            .await;
        if let (Ok(owned), Ok(list)) = (owned, list) {
            let owned: Vec<Owned> = owned;
            pools.breaches_total += breaches(&owned, &list, &documents);
        }
    }
}

fn breaches(owned: &[Owned], list: &platform::VmList, documents: &[document::Document]) -> u64 {
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
        let up = members.filter(|vm| live.get(&vm.vm) == Some(&true)).count();
        breaches += u64::from(up < document.availability.min_runners as usize);
    }
    breaches
}

/// What became of the jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Jobs that were accepted.
    pub submitted_total: u64,
    /// Jobs that finished.
    pub finished_total: u64,
    /// Accepted jobs that no node knew afterwards.
    pub lost_total: u64,
}

/// The jobs in a deployment's folder; none if it has no such folder.
///
/// # Errors
///
/// If a file can't be read or is not a job.
pub fn read_jobs(dir: &Path) -> Result<Vec<job::Spec>, util::Error> {
    let folder = dir.join(JOBS_DIR);
    let Ok(entries) = std::fs::read_dir(&folder) else {
        return Ok(Vec::new());
    };
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    paths.iter().map(|path| util::read_job(path)).collect()
}

/// Submits jobs through one node after another, and waits until they are over or the run ends.
pub async fn run_jobs(
    entries: Vec<SocketAddr>,
    specs: Vec<job::Spec>,
    stop: CancellationToken,
) -> Jobs {
    let client = client::Client::default();
    let mut jobs = Jobs::default();
    let mut open = Vec::new();
    for (number, spec) in specs.iter().enumerate() {
        let entry = entries[number % entries.len()];
        let answer = client
            .call(entry, Method::POST, "/-/jobs", Some(spec))
            .await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            jobs.submitted_total += 1;
            open.push(spec.job());
        }
    }
    while !open.is_empty() && !stop.is_cancelled() {
        time::sleep(Duration::from_millis(JOB_LOOK_MS)).await;
        let mut still_open = Vec::new();
        for job in open {
            match look(&client, entries[0], &job).await {
                Look::Finished => jobs.finished_total += 1,
                Look::Ended => {}
                Look::Unknown => jobs.lost_total += 1,
                Look::Open => still_open.push(job),
            }
        }
        open = still_open;
    }
    jobs
}

/// What a node says of a job.
enum Look {
    Finished,
    Ended,
    Open,
    Unknown,
}

async fn look(client: &client::Client, entry: SocketAddr, job: &id::Job) -> Look {
    let path = format!("/-/jobs/{job}");
    let Ok(answer) = client.call(entry, Method::GET, &path, None::<&()>).await else {
        return Look::Open;
    };
    if answer.status() == StatusCode::NOT_FOUND {
        return Look::Unknown;
    }
    let row: Option<job::Row> = serde_json::from_slice(answer.body()).ok();
    match row.map(|row| row.state) {
        Some(job::State::Ended(job::row::End::Finished)) => Look::Finished,
        Some(job::State::Ended(_)) => Look::Ended,
        _ => Look::Open,
    }
}
