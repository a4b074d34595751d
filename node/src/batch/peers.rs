//! Links between nodes: whether the holder lives, which configuration it has, what it knows of jobs.
//!
//! Plain HTTP/1.1 on the internal port. The platform hands out no keys, so mutual TLS as on the links of our own
//! deployments would have to trust anyone; the messages are small and few, and lost connections show at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::{Path, Query, State};
use axum::routing;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use wasabiloft::batch::JobId;
use wasabiloft::batch::{record, succession};
use wasabiloft_platform::{call, configuration};

use crate::batch::shared;
use crate::clock;

/// A follower that reached the store this recently may take over from a holder that can't, in milliseconds.
const FOLLOWER_FRESH_MS: u64 = 500;
/// A holder without a commit or any other answer of the store for this long gives the duty to a follower that reaches
/// the store, in milliseconds; above three pauses between its commits, and above a poll of a slow store.
const HOLDER_STALE_MS: u64 = 900;

/// Clients of other nodes, by address.
#[derive(Debug, Default)]
pub struct Links {
    clients: Mutex<HashMap<SocketAddr, Arc<call::Client>>>,
}

/// Most addresses that are kept; nodes are replaced at new ones.
const LINKS_MAX: usize = 128;

impl Links {
    /// The client of an address.
    pub fn to(&self, address: SocketAddr) -> Arc<call::Client> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= LINKS_MAX {
            clients.clear();
        }
        let client = clients
            .entry(address)
            .or_insert_with(|| Arc::new(call::Client::new(address)));
        Arc::clone(client)
    }
}

/// A follower's heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The version of the configuration that the follower has; 0 for none.
    pub config_version: u64,
    /// Time since the store last answered the follower, in milliseconds.
    pub store_silent_ms: u64,
    /// Processors of the follower, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u64,
}

/// The answer to a heartbeat.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct BeatAnswer {
    /// The epoch of the duty if this node holds it or begins to, else 0.
    pub epoch: u64,
    /// Whether the holder wants the asking follower to take over.
    pub hand_over: bool,
    /// The newest configuration, if the follower's is older.
    pub config: Option<String>,
    /// Age of the last proof that the holder's configuration is the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
}

/// A question about a queue.
#[derive(Debug, Serialize, Deserialize)]
pub struct WaitingQuery {
    /// The queue.
    pub queue: String,
}

/// The peers' routes.
pub fn router() -> Router<Arc<shared::Shared>> {
    Router::new()
        .route("/beat", routing::post(beat))
        .route("/jobs/{job}", routing::get(state))
        .route("/waiting", routing::get(waiting))
}

async fn beat(
    State(shared): State<Arc<shared::Shared>>,
    Json(beat): Json<Beat>,
) -> Json<BeatAnswer> {
    let configured = shared.configured();
    let version = configured
        .config
        .as_ref()
        .map_or(0, |config| config.version);
    let now = clock::since_boot();
    let mut answer = BeatAnswer {
        config_age_ms: configured.confirmed_at.map(|at| now.since_ms(at)),
        ..BeatAnswer::default()
    };
    if version > beat.config_version {
        answer.config = String::from_utf8(configured.raw.to_vec()).ok();
    }
    answer.epoch = shared.own_epoch();
    if let Some(holding) = shared.holding() {
        let fresh = beat.store_silent_ms < FOLLOWER_FRESH_MS;
        // A slow store delays the commits of any holder; only one that hears nothing at all of it gives way.
        answer.hand_over = fresh
            && holding.since_commit_ms() > HOLDER_STALE_MS
            && shared.store_silent_ms() > HOLDER_STALE_MS;
        let held_ms = now.since_ms(holding.began_at);
        let own_milli = shared.settings().cpu_milli;
        if fresh && !answer.hand_over && succession::steps_down(own_milli, beat.cpu_milli, held_ms)
        {
            holding.relieve(beat.cpu_milli);
        }
    }
    Json(answer)
}

async fn state(
    State(shared): State<Arc<shared::Shared>>,
    Path(job): Path<String>,
) -> Json<Option<record::State>> {
    let state = job
        .parse()
        .ok()
        .and_then(|job: JobId| shared.holding()?.state(job));
    Json(state)
}

async fn waiting(
    State(shared): State<Arc<shared::Shared>>,
    Query(query): Query<WaitingQuery>,
) -> Json<Option<usize>> {
    Json(
        shared
            .holding()
            .map(|holding| holding.waiting(&query.queue)),
    )
}

/// Asks another node; any failure is told in words.
async fn ask<T>(client: &call::Client, path: &str, timeout_ms: u64) -> Result<T, String>
where
    T: serde::de::DeserializeOwned,
{
    let answer = client.get(path, timeout_ms).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if !answer.status.is_success() {
        return Err(format!("answered {}", answer.status));
    }
    answer.json().map_err(|error| error.to_string())
}

/// Asks the holder for a job's state; `None` if it doesn't know the job.
///
/// # Errors
///
/// If it doesn't answer.
pub async fn ask_state(
    client: &call::Client,
    job: JobId,
    timeout_ms: u64,
) -> Result<Option<record::State>, String> {
    ask(client, &format!("/jobs/{job}"), timeout_ms).await
}

/// Asks the holder how many jobs of a queue wait; `None` if it no longer holds the duty.
///
/// # Errors
///
/// If it doesn't answer.
pub async fn ask_waiting(
    client: &call::Client,
    queue: &str,
    timeout_ms: u64,
) -> Result<Option<usize>, String> {
    let query = WaitingQuery {
        queue: queue.to_owned(),
    };
    let query = serde_urlencoded::to_string(&query).map_err(|error| error.to_string())?;
    ask(client, &format!("/waiting?{query}"), timeout_ms).await
}

/// Sends a heartbeat and takes in the configuration that comes with its answer.
///
/// # Errors
///
/// If no answer comes.
pub async fn send_beat(
    shared: &shared::Shared,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<BeatAnswer, call::NoAnswer> {
    let configured = shared.configured();
    let beat = Beat {
        config_version: configured
            .config
            .as_ref()
            .map_or(0, |config| config.version),
        store_silent_ms: shared.store_silent_ms(),
        cpu_milli: shared.settings().cpu_milli,
    };
    let sent_at = clock::since_boot();
    let client = shared.peers.to(address);
    let answer = client.post("/beat", &[], &beat, timeout_ms).await?;
    let answer: BeatAnswer = answer.json()?;
    if let Some(raw) = &answer.config {
        match configuration::decode_bytes(raw.as_bytes()) {
            Ok(config) => {
                let version = config.version;
                if shared.configure(config, raw.clone().into_bytes()) {
                    crate::log::info(
                        "config",
                        &format!("in force version={version} source={address}"),
                    );
                }
            }
            Err(error) => crate::log::warn("config", &format!("kept reason={error}")),
        }
    }
    if let Some(age_ms) = answer.config_age_ms {
        let at = sent_at.as_ms().saturating_sub(age_ms);
        shared.confirm(wasabiloft::clock::Instant::from_ms(at));
    }
    Ok(answer)
}
