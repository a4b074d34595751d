//! The machine API: lists machines, moves them between pools and maintains them, and checks who commands them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::{Json, Router, routing};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::{RawValue, to_raw_value};
use tokio::time;

use super::checker::Checker;
use super::worker::Worker;
use super::{Listening, listen, lock};

/// Duration of a move to another pool, in milliseconds.
pub const MOVE_MS: u64 = 600;
/// Duration of maintenance, in milliseconds.
pub const MAINTENANCE_MS: u64 = 800;
/// Minimum time between commands of two lease holders to the same machine, in milliseconds.
pub const LEASE_MS: u64 = 3_000;
/// Time for which a lost machine is down, longer than any test.
const LOST: Duration = Duration::from_secs(24 * 60 * 60);
/// Memory of each machine, in MiB.
const MEMORY_MIB: u64 = 32_000;

/// A machine of a pool and the worker on it.
#[derive(Debug)]
pub struct Machine {
    /// The machine's worker, which gets a new incarnation after each outage.
    pub worker: Arc<Worker>,
    /// Name of the pool that the machine belongs to.
    pub pool: String,
    /// State reported during an outage, and when the outage ends.
    outage: Option<(&'static str, time::Instant)>,
    /// Wave of the last maintenance.
    wave: Option<u64>,
    incarnations: u32,
}

#[derive(Debug, Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    /// The last command to each machine: lease holder, fence token, time.
    last_commands: BTreeMap<String, (String, u64, time::Instant)>,
    /// Maintenance waves: machines, limit of concurrent outages, machines whose maintenance has started.
    waves: BTreeMap<u64, (BTreeSet<String>, usize, BTreeSet<String>)>,
}

/// State of the machine API.
#[derive(Debug)]
pub struct Machines {
    inner: Mutex<Inner>,
    checker: Arc<Checker>,
    spare: String,
    fault: Mutex<Option<Fault>>,
    /// JSON texts that the list shows in place of machines, or beside them.
    texts: Mutex<BTreeMap<String, String>>,
}

/// A page of the list.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    machines: Vec<Box<RawValue>>,
    next_page_token: &'static str,
}

/// Fault of the machine API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Commands are executed; nothing is answered.
    Silent,
    /// Lists are answered until the next command; from that command on the API is silent.
    SilentFromCommand,
    /// Every request gets this status, and commands are not executed.
    Busy(StatusCode),
    /// Requests are executed and answered this much later, in milliseconds.
    Slow(u64),
    /// Lists are answered this much later, in milliseconds; they show the machines as of the request.
    LateList(u64),
}

/// Time for which a silent API withholds a response, longer than any caller waits.
const WITHHELD: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
struct Move {
    machine: String,
    pool: String,
}

#[derive(Deserialize)]
struct Maintenance {
    machine: String,
    wave: u64,
}

impl Machines {
    /// Starts the API; machines of the pool `spare` are switched off.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(spare: &str, checker: Arc<Checker>) -> std::io::Result<Listening<Self>> {
        let state = Arc::new(Self {
            inner: Mutex::default(),
            checker,
            spare: spare.to_owned(),
            fault: Mutex::default(),
            texts: Mutex::default(),
        });
        let router = Router::new()
            .route("/machines", routing::get(list))
            .route("/machine-move", routing::post(change_pool))
            .route("/machine-upkeep", routing::post(maintain))
            .with_state(Arc::clone(&state));
        listen(state, router).await
    }

    /// Adds a machine and the worker that runs on it.
    pub fn add(&self, name: &str, pool: &str, worker: Arc<Worker>) {
        let machine = Machine {
            worker,
            pool: pool.to_owned(),
            outage: None,
            wave: None,
            incarnations: 1,
        };
        lock(&self.inner).machines.insert(name.to_owned(), machine);
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: Option<Fault>) {
        *lock(&self.fault) = fault;
    }

    fn fall_silent_from_command(&self) {
        let mut fault = lock(&self.fault);
        if *fault == Some(Fault::SilentFromCommand) {
            *fault = Some(Fault::Silent);
        }
    }

    /// Switches a machine off for a time in milliseconds, as when its worker has left; it comes back with another worker.
    /// Does nothing if the machine isn't up.
    pub fn stop(&self, name: &str, for_ms: u64) {
        let mut inner = lock(&self.inner);
        let machine = inner.machines.get_mut(name);
        let is_up = |machine: &&mut Machine| machine.outage.is_none() && machine.pool != self.spare;
        if let Some(machine) = machine.filter(is_up) {
            Self::shut_down(machine, "down", for_ms);
        }
    }

    /// Loses all machines of a pool that are in a state such as `moving`, for good, and returns their number.
    pub fn lose(&self, pool: &str, state: &str) -> usize {
        let mut inner = lock(&self.inner);
        let is_lost = |machine: &&mut Machine| {
            machine.pool == pool && machine.outage.is_some_and(|(outage, _)| outage == state)
        };
        let lost = inner.machines.values_mut().filter(is_lost);
        let until = time::Instant::now() + LOST;
        lost.map(|machine| machine.outage = Some(("down", until)))
            .count()
    }

    /// Adds a maintenance wave that operators requested, or changes it; maintenance that has started counts.
    pub fn add_wave(&self, number: u64, machines: &[String], max_concurrent: usize) {
        let mut inner = lock(&self.inner);
        let wave = inner.waves.entry(number).or_default();
        wave.0 = machines.iter().cloned().collect();
        wave.1 = max_concurrent;
    }

    /// Returns whether maintenance has started on every machine of a wave.
    pub fn wave_started(&self, number: u64) -> bool {
        let inner = lock(&self.inner);
        let wave = inner.waves.get(&number);
        wave.is_some_and(|(machines, _, started)| machines == started)
    }

    /// Ends outages whose time is over, starting a new worker incarnation on each machine that isn't spare. Returns
    /// the worker, pool and id of each running machine.
    pub fn refresh(&self) -> Vec<(Arc<Worker>, String, String)> {
        let mut inner = lock(&self.inner);
        let now = time::Instant::now();
        let mut running = Vec::new();
        for (name, machine) in &mut inner.machines {
            if machine.outage.is_some_and(|(_, until)| now >= until) {
                machine.outage = None;
                if machine.pool != self.spare {
                    machine.incarnations += 1;
                    let id = format!("i-{name}-{}", machine.incarnations);
                    machine.worker.start_incarnation(Some(id));
                    machine
                        .worker
                        .off
                        .store(false, std::sync::atomic::Ordering::Relaxed);
                }
            }
            let off = machine.outage.is_some() || machine.pool == self.spare;
            if let (false, (Some(id), _)) = (off, machine.worker.incarnation()) {
                running.push((Arc::clone(&machine.worker), machine.pool.clone(), id));
            }
        }
        running
    }

    /// Lists a JSON text in place of a machine's entry, or beside the others at the name's position; `None` ends that.
    ///
    /// # Panics
    ///
    /// Panics if the text isn't JSON.
    pub fn list_as(&self, name: &str, text: Option<&str>) {
        let mut texts = lock(&self.texts);
        match text {
            Some(text) => {
                RawValue::from_string(text.to_owned()).expect("JSON");
                texts.insert(name.to_owned(), text.to_owned());
            }
            None => {
                texts.remove(name);
            }
        }
    }

    fn page(&self) -> Page {
        self.refresh();
        let inner = lock(&self.inner);
        let mut machines: BTreeMap<&str, Box<RawValue>> = inner
            .machines
            .iter()
            .map(|(name, machine)| {
                let off = machine.outage.is_some() || machine.pool == self.spare;
                let id = if off {
                    None
                } else {
                    machine.worker.incarnation().0
                };
                let entry = json!({
                    "machine": name, "pool": machine.pool, "zone": "andes",
                    "state": machine.outage.map_or("up", |(state, _)| state),
                    "labels": ["a", "r1"], "id": id,
                    "capacity": {"cpu": machine.worker.cpu_milli(), "memMb": MEMORY_MIB, "gpu": 0},
                });
                (name.as_str(), to_raw_value(&entry).expect("JSON"))
            })
            .collect();
        let texts = lock(&self.texts);
        for (name, text) in texts.iter() {
            let text = RawValue::from_string(text.clone()).expect("JSON");
            machines.insert(name, text);
        }
        Page {
            machines: machines.into_values().collect(),
            next_page_token: "",
        }
    }

    /// Checks and records the lease holder of a command. Returns an error status if the machine can't execute it.
    fn check_command(
        &self,
        inner: &mut Inner,
        headers: &HeaderMap,
        name: &str,
    ) -> Option<StatusCode> {
        let text = |key: &str| headers.get(key).and_then(|value| value.to_str().ok());
        let holder = text("x-lease-holder").unwrap_or("").to_owned();
        let fence: u64 = text("x-fence-token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let now = time::Instant::now();
        if let Some((last_holder, last_fence, at)) = inner.last_commands.get(name) {
            let elapsed = now.duration_since(*at);
            let changed = *last_holder != holder || *last_fence != fence;
            if changed && elapsed < Duration::from_millis(LEASE_MS) {
                self.checker.add_violation(format!(
                    "machine {name} was commanded by {last_holder} (fence {last_fence}) and by {holder} (fence {fence}) within {} ms",
                    elapsed.as_millis()
                ));
            }
            if fence < *last_fence {
                self.checker.add_violation(format!(
                    "machine {name} was commanded under fence {fence} after fence {last_fence}"
                ));
            }
        }
        inner
            .last_commands
            .insert(name.to_owned(), (holder, fence, now));
        match inner.machines.get(name) {
            None => Some(StatusCode::BAD_REQUEST),
            Some(machine) if machine.outage.is_some() => Some(StatusCode::CONFLICT),
            Some(_) => None,
        }
    }

    fn shut_down(machine: &mut Machine, state: &'static str, for_ms: u64) {
        machine
            .worker
            .off
            .store(true, std::sync::atomic::Ordering::Relaxed);
        machine.worker.start_incarnation(None);
        let until = time::Instant::now() + Duration::from_millis(for_ms);
        machine.outage = Some((state, until));
    }

    fn move_to_pool(&self, headers: &HeaderMap, command: Move) -> Response {
        self.refresh();
        let mut inner = lock(&self.inner);
        if let Some(status) = self.check_command(&mut inner, headers, &command.machine) {
            return refused(status);
        }
        if let Some(machine) = inner.machines.get_mut(&command.machine)
            && machine.pool != command.pool
        {
            machine.pool = command.pool;
            Self::shut_down(machine, "moving", MOVE_MS);
        }
        StatusCode::OK.into_response()
    }

    fn begin_maintenance(&self, headers: &HeaderMap, command: &Maintenance) -> Response {
        self.refresh();
        let mut inner = lock(&self.inner);
        let done = inner
            .waves
            .get(&command.wave)
            .is_some_and(|(_, _, started)| started.contains(&command.machine));
        if done {
            return StatusCode::OK.into_response();
        }
        if let Some(status) = self.check_command(&mut inner, headers, &command.machine) {
            return refused(status);
        }
        let maintained = inner
            .machines
            .values()
            .filter(|machine| matches!(machine.outage, Some(("upkeep", _))))
            .filter(|machine| machine.wave == Some(command.wave))
            .count();
        let Some((_, max_concurrent, started)) = inner.waves.get_mut(&command.wave) else {
            return (StatusCode::CONFLICT, Json(json!({"reason": "wave"}))).into_response();
        };
        started.insert(command.machine.clone());
        if maintained >= *max_concurrent {
            let text = format!(
                "maintenance started on {} while {maintained} machines were in maintenance",
                command.machine
            );
            self.checker.add_violation(text);
        }
        if let Some(machine) = inner.machines.get_mut(&command.machine) {
            machine.wave = Some(command.wave);
            Self::shut_down(machine, "upkeep", MAINTENANCE_MS);
        }
        StatusCode::OK.into_response()
    }
}

fn refused(status: StatusCode) -> Response {
    (status, Json(json!({"reason": "busy"}))).into_response()
}

/// Waits or refuses as the injected fault demands before a request is executed.
async fn begin(machines: &Machines) -> Option<Response> {
    let fault = *lock(&machines.fault);
    match fault {
        Some(Fault::Busy(status)) => Some(refused(status)),
        Some(Fault::Slow(delay_ms)) => {
            time::sleep(Duration::from_millis(delay_ms)).await;
            None
        }
        Some(Fault::Silent | Fault::SilentFromCommand | Fault::LateList(_)) | None => None,
    }
}

/// Responds to a command that was executed.
async fn respond_to_command(machines: &Machines, response: Response) -> Response {
    machines.fall_silent_from_command();
    respond(machines, response).await
}

/// Withholds the response of a request if the API is silent.
async fn respond(machines: &Machines, response: Response) -> Response {
    let fault = *lock(&machines.fault);
    if fault == Some(Fault::Silent) {
        time::sleep(WITHHELD).await;
    }
    response
}

async fn list(State(machines): State<Arc<Machines>>) -> Response {
    if let Some(refused) = begin(&machines).await {
        return refused;
    }
    let page = machines.page();
    let fault = *lock(&machines.fault);
    if let Some(Fault::LateList(delay_ms)) = fault {
        time::sleep(Duration::from_millis(delay_ms)).await;
    }
    respond(&machines, Json(page).into_response()).await
}

async fn change_pool(
    State(machines): State<Arc<Machines>>,
    headers: HeaderMap,
    Json(command): Json<Move>,
) -> Response {
    if let Some(refused) = begin(&machines).await {
        return refused;
    }
    let response = machines.move_to_pool(&headers, command);
    respond_to_command(&machines, response).await
}

async fn maintain(
    State(machines): State<Arc<Machines>>,
    headers: HeaderMap,
    Json(command): Json<Maintenance>,
) -> Response {
    if let Some(refused) = begin(&machines).await {
        return refused;
    }
    let response = machines.begin_maintenance(&headers, &command);
    respond_to_command(&machines, response).await
}
