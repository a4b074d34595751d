//! Calls between nodes: heartbeats to the leader, its configuration, and its state of jobs.
//!
//! The calls use plain HTTP/1.1 on the internal port. The platform distributes no keys, so mutual TLS, which the links
//! of our own deployments use, would have to trust any peer. The messages are small and few, and lost connections are
//! detected at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use wasabiloft::batch::JobId;
use wasabiloft::batch::{handover, job_memory, predecessors, record, relays, succession};
use wasabiloft::id;
use wasabiloft_platform::{call, configuration};

use crate::batch::{admission, forward, job_room, shared};
use crate::clock;

/// Maximum time since a follower's last response from the store for it to take over from a leader that cannot reach
/// the store, in milliseconds.
const FOLLOWER_FRESH_MS: u64 = 500;
/// A leader without a commit or any other response of the store for this long hands the duty over to a follower that
/// reaches the store, in milliseconds; above three pauses between its commits, and above a poll of a slow store.
const LEADER_STALE_MS: u64 = 900;

/// A follower reads the configuration from the leader once the store has not answered for this long, in milliseconds;
/// above the wait of the configuration's polls.
const STORE_SILENT_MS: u64 = 700;
/// Timeout of reading the configuration from the leader, in milliseconds; it can have thousands of routes.
const CONFIG_TIMEOUT_MS: u64 = 3_000;
/// Maximum number of followers that read the configuration from the leader at the same time.
pub const CONFIG_TRANSFERS_MAX: usize = 4;

/// Clients of other nodes, by address.
#[derive(Debug, Default)]
pub struct Clients {
    clients: Mutex<HashMap<SocketAddr, Arc<call::Client>>>,
}

/// Maximum number of cached clients; a replaced node has a new address.
const CLIENTS_MAX: usize = 128;

impl Clients {
    /// Returns the client of an address and creates it if needed.
    pub fn to(&self, address: SocketAddr) -> Arc<call::Client> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= CLIENTS_MAX {
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
pub struct Heartbeat {
    /// Version of the follower's configuration; 0 for none.
    pub config_version: u64,
    /// Time since the store last answered the follower, in milliseconds.
    pub store_silent_ms: u64,
    /// CPU of the follower, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u64,
    /// Memory of the follower, in MiB; absent from nodes of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mib: Option<u64>,
    /// Address at which other nodes reach the follower; absent from nodes of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
    /// How the follower can relay commands; absent if it stops.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay: Option<RelayOffer>,
    /// Submissions that the follower was offered; absent if its configuration has no accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offered: Option<admission::Report>,
    /// The newest response after which the follower went on following the leader; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirms: Option<Sent>,
    /// Epochs of earlier leaders that counted on the follower and that it has left, so that it confirms them no more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub left: Vec<u64>,
    /// Name of the follower.
    #[serde(default)]
    pub node: String,
    /// Incarnation of the follower; 0 if it can't be named as a successor.
    #[serde(default)]
    pub incarnation: u64,
    /// Average delay of the follower's timer that its own work doesn't explain, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Whether the follower is slow or was so in the last seconds.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub slow: bool,
    /// Whether the follower has read the rows of jobs and follows their changes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub prepared: bool,
}

/// A response to a heartbeat, as its sender identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// Epoch of the leader that sent it.
    pub epoch: u64,
    /// Incarnation of the leader; another node may have claimed the same epoch in vain.
    #[serde(default)]
    pub incarnation: u64,
    /// When the leader sent it, in milliseconds on the leader's clock.
    pub sent_ms: u64,
}

/// A follower's offer to relay commands to workers.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayOffer {
    /// Address at which the follower takes the leader's connection.
    pub address: SocketAddr,
    /// Data centre of the follower.
    pub data_centre: id::DataCentre,
    /// Bandwidth of the follower's link, in kbit/s.
    pub link_kbit_per_s: u64,
}

/// Response to a heartbeat.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Epoch of the duty if the responding node leads it or is claiming it, else 0.
    pub epoch: u64,
    /// When the response was sent, in milliseconds on the responding node's clock; 0 from nodes of earlier versions.
    #[serde(default)]
    pub sent_ms: u64,
    /// Incarnation of the responding node; 0 from nodes of earlier versions.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether the leader requests that this follower takes over.
    pub hand_over: bool,
    /// Whether the leader knows this follower, and renews leases without the store only while it confirms.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub counts_on: bool,
    /// Version of the leader's configuration; 0 for none.
    #[serde(default)]
    pub config_version: u64,
    /// Time since the leader's configuration was last confirmed to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// Limits of accounts; absent if the follower reported no submissions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admission: Option<admission::Reply>,
    /// Memory that is left for jobs; absent if the responding node doesn't lead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_room: Option<job_memory::Room>,
    /// Whether the follower must read the rows of jobs, as the leader may hand the duty over to it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub prepare: bool,
    /// Whether the leader is releasing the duty in favour of this follower.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub releasing: bool,
}

/// Query for the number of waiting jobs of a queue.
#[derive(Debug, Serialize, Deserialize)]
pub struct WaitingQuery {
    /// Name of the queue.
    pub queue: String,
}

/// Returns the routes that peers call.
pub fn router() -> Router<Arc<shared::Shared>> {
    Router::new()
        .route("/beat", routing::post(heartbeat))
        .route("/jobs/{job}", routing::get(state))
        .route("/waiting", routing::get(waiting))
        .route("/config", routing::get(config))
        .merge(forward::router())
}

async fn heartbeat(
    State(shared): State<Arc<shared::Shared>>,
    Json(heartbeat): Json<Heartbeat>,
) -> Json<HeartbeatReply> {
    let configured = shared.current_config();
    let version = configured
        .config
        .as_ref()
        .map_or(0, |config| config.version);
    let now = clock::since_boot();
    let mut reply = HeartbeatReply {
        config_age_ms: configured.confirmed_at.map(|at| now.since_ms(at)),
        config_version: version,
        sent_ms: now.as_ms(),
        incarnation: shared.incarnation,
        ..HeartbeatReply::default()
    };
    reply.epoch = shared.own_epoch();
    reply.releasing = heartbeat.incarnation != 0 && shared.successor() == heartbeat.incarnation;
    if let Some(leadership) = shared.leadership() {
        leadership.follower_heard(&heartbeat, shared.incarnation, now);
        reply.counts_on = heartbeat.relay.is_some();
        if let Some(address) = heartbeat.peers {
            shared.submissions.heard(address, now);
            let memory_mib = heartbeat.memory_mib.unwrap_or(u64::MAX);
            shared.job_room.heard(address, memory_mib);
        }
        reply.job_room = Some(job_room::left(&shared, &leadership));
        if heartbeat.incarnation != 0 {
            let mut handover = leadership.handover();
            handover.heard(follower(&heartbeat), now);
            reply.prepare =
                handover.instruction(heartbeat.incarnation) == handover::Instruction::Prepare;
        }
        if let Some(offer) = heartbeat.relay {
            let strength = relays::Strength {
                data_centre: offer.data_centre,
                cpu_milli: heartbeat.cpu_milli,
                link_kbit_per_s: offer.link_kbit_per_s,
            };
            leadership.relays().heard(offer.address, strength, now);
        }
        if let Some(report) = heartbeat.offered {
            reply.admission = Some(admission::reported(&shared, &leadership, report));
        }
        let store_reachable = heartbeat.store_silent_ms < FOLLOWER_FRESH_MS;
        // A slow store delays the commits of any leader, so only a leader without any response of the store steps down.
        reply.hand_over = store_reachable
            && leadership.since_commit_ms() > LEADER_STALE_MS
            && shared.store_silent_ms() > LEADER_STALE_MS;
        let leading_ms = now.since_ms(leadership.began_at);
        let own_milli = shared.settings().cpu_milli;
        if store_reachable
            && !reply.hand_over
            && succession::steps_down(own_milli, heartbeat.cpu_milli, leading_ms)
        {
            leadership.step_down(heartbeat.cpu_milli);
        }
    } else if reply.epoch > 0 {
        // It reads its rows, which it repeats for as long as it holds the duty.
        reply.hand_over = heartbeat.store_silent_ms < FOLLOWER_FRESH_MS
            && shared.store_silent_ms() > LEADER_STALE_MS;
    }
    Json(reply)
}

/// Returns what a heartbeat says about its sender's fitness to lead.
fn follower(heartbeat: &Heartbeat) -> handover::Follower {
    handover::Follower {
        node: heartbeat.node.clone(),
        incarnation: heartbeat.incarnation,
        cpu_milli: heartbeat.cpu_milli,
        link_kbit_per_s: heartbeat
            .relay
            .as_ref()
            .map_or(0, |offer| offer.link_kbit_per_s),
        delay_ms: heartbeat.delay_ms,
        slow: heartbeat.slow,
        stopping: heartbeat.relay.is_none(),
        store_silent_ms: heartbeat.store_silent_ms,
        prepared: heartbeat.prepared,
    }
}

/// Returns the newest configuration, to few followers at a time: it can be as long as the link carries in a second.
async fn config(State(shared): State<Arc<shared::Shared>>) -> Result<Vec<u8>, StatusCode> {
    let Ok(_permit) = shared.config_transfers.try_acquire() else {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    };
    Ok(shared.current_config().raw.to_vec())
}

async fn state(
    State(shared): State<Arc<shared::Shared>>,
    Path(job): Path<String>,
) -> Json<Option<record::State>> {
    let state = job
        .parse()
        .ok()
        .and_then(|job: JobId| shared.leadership()?.state(job));
    Json(state)
}

async fn waiting(
    State(shared): State<Arc<shared::Shared>>,
    Query(query): Query<WaitingQuery>,
) -> Json<Option<usize>> {
    Json(
        shared
            .leadership()
            .map(|leadership| leadership.waiting(&query.queue)),
    )
}

/// Sends a GET request to another node; any failure is described as text.
async fn get<T>(client: &call::Client, path: &str, timeout_ms: u64) -> Result<T, String>
where
    T: serde::de::DeserializeOwned,
{
    let reply = client.get(path, timeout_ms).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if !reply.status.is_success() {
        return Err(format!("peer responded with status {}", reply.status));
    }
    reply.json().map_err(|error| error.to_string())
}

/// Requests a job's state from the leader; returns `None` if it does not know the job.
///
/// # Errors
///
/// Fails if the leader does not respond.
pub async fn fetch_state(
    client: &call::Client,
    job: JobId,
    timeout_ms: u64,
) -> Result<Option<record::State>, String> {
    get(client, &format!("/jobs/{job}"), timeout_ms).await
}

/// Requests the number of waiting jobs of a queue from the leader; returns `None` if it no longer leads the duty.
///
/// # Errors
///
/// Fails if the leader does not respond.
pub async fn fetch_waiting(
    client: &call::Client,
    queue: &str,
    timeout_ms: u64,
) -> Result<Option<usize>, String> {
    let query = WaitingQuery {
        queue: queue.to_owned(),
    };
    let query = serde_urlencoded::to_string(&query).map_err(|error| error.to_string())?;
    get(client, &format!("/waiting?{query}"), timeout_ms).await
}

/// Sends a heartbeat and applies the configuration of the response; `is_prepared` says whether this node is a standby that
/// has read its rows, and `confirms` after which response this node went on following the leader.
/// A node that `may_lead`, as a claim of it can still be committed, doesn't say that it stops.
///
/// # Errors
///
/// Fails if no usable response arrives.
pub async fn send_heartbeat(
    shared: &shared::Shared,
    address: SocketAddr,
    is_prepared: bool,
    confirms: Option<Sent>,
    left: &predecessors::Left,
    may_lead: bool,
    timeout_ms: u64,
) -> Result<HeartbeatReply, call::NoAnswer> {
    let configured = shared.current_config();
    let settings = shared.settings();
    let relay = RelayOffer {
        address: settings.relay,
        data_centre: id::DataCentre::new(&settings.data_centre),
        link_kbit_per_s: settings.link_kbit_per_s,
    };
    let heartbeat = Heartbeat {
        config_version: configured
            .config
            .as_ref()
            .map_or(0, |config| config.version),
        store_silent_ms: shared.store_silent_ms(),
        cpu_milli: settings.cpu_milli,
        memory_mib: Some(settings.memory_mib),
        peers: Some(settings.peers),
        relay: (may_lead || !shared.stop.is_cancelled()).then_some(relay),
        confirms,
        left: left.epochs().collect(),
        offered: admission::report(shared, configured.config.as_deref()),
        node: settings.node.clone(),
        incarnation: shared.incarnation,
        delay_ms: shared.meter.delay_ms(),
        slow: shared.meter.was_slow(),
        prepared: is_prepared,
    };
    let sent_at = clock::since_boot();
    let client = shared.peers.to(address);
    let reply = client.post("/beat", &[], &heartbeat, timeout_ms).await?;
    let mut reply: HeartbeatReply = reply.json()?;
    if let Some(room) = reply.job_room {
        shared.job_room.replied(room);
    }
    if let Some(limits) = reply.admission.take() {
        admission::replied(shared, limits, sent_at);
    }
    let own_version = configured.config.map_or(0, |config| config.version);
    if reply.config_version > own_version && shared.store_silent_ms() > STORE_SILENT_MS {
        fetch_config(shared, address).await;
    } else if let Some(age_ms) = reply.config_age_ms
        && reply.config_version == own_version
    {
        let at = sent_at.as_ms().saturating_sub(age_ms);
        shared.confirm_config(wasabiloft::clock::Instant::from_ms(at));
    }
    Ok(reply)
}

/// Reads the configuration from the leader, in place of the store that does not answer this node.
async fn fetch_config(shared: &shared::Shared, address: SocketAddr) {
    let client = shared.peers.to(address);
    let reply = match client.get("/config", CONFIG_TIMEOUT_MS).await {
        Ok(reply) if reply.status.is_success() => reply,
        Ok(reply) => {
            crate::log::info(
                "config",
                &format!("leader is busy source={address} status={}", reply.status),
            );
            return;
        }
        Err(error) => {
            crate::log::info(
                "config",
                &format!("not read source={address} reason={error}"),
            );
            return;
        }
    };
    match configuration::decode_bytes(&reply.body) {
        Ok(decoded) => {
            let version = decoded.config.version;
            if shared.apply_config(decoded.config, reply.body.to_vec()) {
                crate::log::info(
                    "config",
                    &format!("in force version={version} source={address}"),
                );
            }
        }
        Err(error) => crate::log::warn("config", &format!("kept reason={error}")),
    }
}
