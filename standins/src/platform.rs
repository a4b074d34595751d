//! The stand-in platform: table, object store, VMs with their endpoints, and workers, behind one HTTP port.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::platform;

use crate::deployment;
use crate::endpoint;
use crate::faults;
use crate::server;
use crate::table;
use crate::tally;
use crate::vms;
use crate::worker;

/// How often the platform's own state goes on, in milliseconds.
const TICK_MS: u64 = 20;
/// How long old usage readings are kept, in milliseconds.
const USAGE_HISTORY_MS: u64 = 60_000;
/// The most rows of one range read.
const RANGE_MAX: usize = 1_000;

/// Calls that the store served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Transactions.
    pub writes_total: u64,
    /// Row and range reads.
    pub reads_total: u64,
    /// Transactions whose reply was lost.
    pub lost_replies_total: u64,
}

#[derive(Debug)]
struct Inner {
    table: table::Table,
    objects: HashMap<String, Bytes>,
    checkpoints_ms: HashMap<String, u64>,
    vms: vms::Vms,
    workers: BTreeMap<id::Vm, worker::Worker>,
    usage_history: VecDeque<platform::UsageList>,
    worker_epochs: HashMap<id::Duty, u64>,
    faults: faults::Faults,
    counts: StoreCounts,
    tasks_lost_total: u64,
    tasks_cut_total: u64,
    rng: SmallRng,
}

/// State that handlers share.
#[derive(Debug)]
pub struct Shared {
    inner: Mutex<Inner>,
    endpoints: HashMap<id::Vm, endpoint::Endpoint>,
    tally: Arc<tally::Tally>,
    started_at: Instant,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: server::Server,
    ticker: JoinHandle<()>,
}

/// What happened on the platform so far, for reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What the endpoints counted.
    pub endpoints: tally::Counts,
    /// What the store served.
    pub store: StoreCounts,
    /// Reboots that were asked for.
    pub reboots_total: u64,
    /// Running tasks that a failure of their worker lost.
    pub tasks_lost_total: u64,
    /// Running tasks that a reboot of their worker, which was asked for, cut.
    pub tasks_cut_total: u64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> clock::Instant {
        let passed_ms = self.started_at.elapsed().as_millis();
        clock::Instant::from_ms(u64::try_from(passed_ms).unwrap_or(u64::MAX))
    }
}

impl Platform {
    /// Starts the platform of a deployment, with an endpoint for each VM.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn start(
        address: SocketAddr,
        deployment: &deployment::Deployment,
        seed: u64,
    ) -> io::Result<Self> {
        let tally = Arc::new(tally::Tally::default());
        let mut endpoints = Vec::new();
        for index in 0..deployment.vm_count() {
            let name = format!("vm-{:04}", index + 1);
            let any = SocketAddr::new(address.ip(), 0);
            endpoints.push(endpoint::Endpoint::start(&name, any, Arc::clone(&tally)).await?);
        }
        let addresses: Vec<_> = endpoints.iter().map(endpoint::Endpoint::address).collect();
        let vms = deployment.vms(&addresses);
        let shared = Arc::new(Shared {
            inner: Mutex::new(inner(&vms, deployment.reboot_ms, seed)),
            endpoints: vms.iter().map(|vm| vm.vm.clone()).zip(endpoints).collect(),
            tally,
            started_at: Instant::now(),
        });
        let server = server::Server::start(address, router(Arc::clone(&shared))).await?;
        let ticker = tokio::spawn(tick(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            ticker,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What the endpoints executed.
    pub fn tally(&self) -> &tally::Tally {
        &self.shared.tally
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: faults::Faults) {
        self.shared.lock().faults = faults;
    }

    /// Changes the behaviour of a VM's endpoint.
    pub fn set_endpoint_mode(&self, vm: &id::Vm, mode: endpoint::Mode) {
        if let Some(endpoint) = self.shared.endpoints.get(vm) {
            endpoint.set_mode(mode);
        }
    }

    /// Lets a VM fail or come back, as nobody asked for; false if there is no such VM.
    pub fn force_vm(&self, vm: &id::Vm, state: platform::VmState) -> bool {
        force_vm(&self.shared, vm, state)
    }

    /// Lets a worker fail everything that it starts, or not.
    pub fn set_worker_bad(&self, vm: &id::Vm, bad: bool) {
        if let Some(worker) = self.shared.lock().workers.get_mut(vm) {
            worker.bad = bad;
        }
    }

    /// The VMs as they are now.
    pub fn vms(&self) -> Vec<platform::Vm> {
        self.shared.lock().vms.now().to_vec()
    }

    /// What happened so far.
    pub fn report(&self) -> Report {
        report(&self.shared)
    }

    /// Starts of each job over all workers.
    pub fn starts_of_jobs(&self) -> HashMap<id::Job, u32> {
        let inner = self.shared.lock();
        let mut starts = HashMap::new();
        for worker in inner.workers.values() {
            for (job, count) in &worker.starts {
                *starts.entry(job.clone()).or_default() += count;
            }
        }
        starts
    }

    /// Stops it and all endpoints.
    pub async fn stop(self) {
        self.ticker.abort();
        // The task was told to end; how it ended is of no interest.
        let _ = self.ticker.await;
        self.server.stop().await;
        if let Ok(shared) = Arc::try_unwrap(self.shared) {
            for endpoint in shared.endpoints.into_values() {
                endpoint.stop().await;
            }
        }
    }
}

fn inner(vms: &[platform::Vm], reboot_ms: u64, seed: u64) -> Inner {
    let workers = vms
        .iter()
        .map(|vm| (vm.vm.clone(), worker::Worker::new(vm.size)))
        .collect();
    Inner {
        table: table::Table::default(),
        objects: HashMap::new(),
        checkpoints_ms: HashMap::new(),
        vms: vms::Vms::new(vms.to_vec(), reboot_ms),
        workers,
        usage_history: VecDeque::new(),
        worker_epochs: HashMap::new(),
        faults: faults::Faults::default(),
        counts: StoreCounts::default(),
        tasks_lost_total: 0,
        tasks_cut_total: 0,
        rng: SmallRng::seed_from_u64(seed),
    }
}

fn report(shared: &Shared) -> Report {
    let inner = shared.lock();
    Report {
        endpoints: shared.tally.counts(),
        store: inner.counts.clone(),
        reboots_total: inner.vms.reboots_total,
        tasks_lost_total: inner.tasks_lost_total,
        tasks_cut_total: inner.tasks_cut_total,
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut timer = time::interval(Duration::from_millis(TICK_MS));
    loop {
        timer.tick().await;
        let now = shared.now();
        let mut inner = shared.lock();
        for vm in inner.vms.tick(now) {
            if let Some(endpoint) = shared.endpoints.get(&vm) {
                endpoint.set_mode(endpoint::Mode::Normal);
            }
        }
        for worker in inner.workers.values_mut() {
            worker.tick(now);
        }
        remember_usage(&mut inner, now);
    }
}

fn remember_usage(inner: &mut Inner, now: clock::Instant) {
    let list = usage_now(inner, now);
    inner.usage_history.push_back(list);
    while inner
        .usage_history
        .front()
        .is_some_and(|list| list.as_of_ms + USAGE_HISTORY_MS < now.as_ms())
    {
        inner.usage_history.pop_front();
    }
}

fn usage_now(inner: &Inner, now: clock::Instant) -> platform::UsageList {
    let workers = inner
        .workers
        .iter()
        .map(|(vm, worker)| platform::Usage {
            vm: vm.clone(),
            as_of_ms: now.as_ms(),
            tasks: worker.usage(now),
        })
        .collect();
    platform::UsageList {
        as_of_ms: now.as_ms(),
        workers,
    }
}

fn router(shared: Arc<Shared>) -> Router {
    let store = Router::new()
        .route("/table/transact", routing::post(transact))
        .route("/table/row", routing::get(row))
        .route("/table/range", routing::get(range))
        .route(
            "/objects/{*name}",
            routing::put(put_object)
                .get(get_object)
                .delete(delete_object),
        )
        .layer(middleware::from_fn_with_state(
            Arc::clone(&shared),
            store_faults,
        ));
    Router::new()
        .merge(store)
        .route("/vms", routing::get(list_vms))
        .route("/vms/{vm}/drain", routing::post(drain))
        .route("/vms/{vm}/resume", routing::post(resume))
        .route("/vms/{vm}/reboot", routing::post(reboot))
        .route("/vms/{vm}/force", routing::put(force))
        .route("/vms/{vm}/endpoint", routing::put(endpoint_mode))
        .route("/workers/usage", routing::get(usage))
        .route("/workers/{vm}/tasks", routing::post(start_task))
        .route("/workers/{vm}/renew", routing::post(renew_tasks))
        .route(
            "/workers/{vm}/tasks/{task}/{action}",
            routing::post(task_action),
        )
        .route("/workers/{vm}/bad", routing::put(worker_bad))
        .route("/faults", routing::get(get_faults).put(put_faults))
        .route("/report", routing::get(get_report))
        .route("/executions", routing::get(executions))
        .with_state(shared)
}

async fn store_faults(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    let (faults, lose_reply) = {
        let mut inner = shared.lock();
        let faults = inner.faults.clone();
        let is_txn = request.uri().path() == "/table/transact";
        let lose = is_txn && inner.rng.random::<f64>() < faults.store_lost_replies;
        (faults, lose)
    };
    if faults.store_delay_ms > 0 {
        time::sleep(Duration::from_millis(faults.store_delay_ms)).await;
    }
    if faults.store_hangs {
        std::future::pending::<()>().await;
    }
    if faults.store_outage {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let response = next.run(request).await;
    if lose_reply {
        shared.lock().counts.lost_replies_total += 1;
        std::future::pending::<()>().await;
    }
    response
}

async fn transact(State(shared): State<Arc<Shared>>, Json(txn): Json<platform::Txn>) -> Response {
    if txn.checks.len() > platform::TXN_ROWS_MAX || txn.writes.len() > platform::TXN_ROWS_MAX {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let mut inner = shared.lock();
    inner.counts.writes_total += 1;
    match inner.table.transact(&txn) {
        Ok(committed) => Json(committed).into_response(),
        Err(refused) => (StatusCode::CONFLICT, Json(refused)).into_response(),
    }
}

#[derive(Debug, Deserialize)]
struct RowQuery {
    key: id::Key,
}

async fn row(State(shared): State<Arc<Shared>>, Query(query): Query<RowQuery>) -> Response {
    let mut inner = shared.lock();
    inner.counts.reads_total += 1;
    match inner.table.row(&query.key) {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Debug, Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

async fn range(State(shared): State<Arc<Shared>>, Query(query): Query<RangeQuery>) -> Response {
    let limit = query.limit.unwrap_or(RANGE_MAX).min(RANGE_MAX);
    let mut inner = shared.lock();
    inner.counts.reads_total += 1;
    Json(inner.table.range(&query.prefix, &query.after, limit)).into_response()
}

async fn put_object(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    body: Bytes,
) -> StatusCode {
    shared.lock().objects.insert(name, body);
    StatusCode::OK
}

async fn get_object(State(shared): State<Arc<Shared>>, Path(name): Path<String>) -> Response {
    match shared.lock().objects.get(&name) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn delete_object(State(shared): State<Arc<Shared>>, Path(name): Path<String>) -> StatusCode {
    match shared.lock().objects.remove(&name) {
        Some(_) => StatusCode::OK,
        None => StatusCode::NOT_FOUND,
    }
}

async fn list_vms(State(shared): State<Arc<Shared>>) -> Json<platform::VmList> {
    let now = shared.now();
    let inner = shared.lock();
    Json(inner.vms.list(now, inner.faults.vm_list_lag_ms))
}

fn vm_status(answer: vms::Answer) -> StatusCode {
    match answer {
        vms::Answer::Done => StatusCode::OK,
        vms::Answer::OldEpoch => StatusCode::CONFLICT,
        vms::Answer::Unknown => StatusCode::NOT_FOUND,
    }
}

async fn drain(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(intent): Json<platform::Intent>,
) -> StatusCode {
    vm_status(shared.lock().vms.drain(&vm, &intent))
}

async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(intent): Json<platform::Intent>,
) -> StatusCode {
    vm_status(shared.lock().vms.resume(&vm, &intent))
}

async fn reboot(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(intent): Json<platform::Intent>,
) -> StatusCode {
    let now = shared.now();
    let mut inner = shared.lock();
    let before = inner.vms.reboots_total;
    let answer = inner.vms.reboot(&vm, &intent, now);
    if inner.vms.reboots_total > before {
        take_down(&shared, &mut inner, &vm, endpoint::Mode::Down);
    }
    vm_status(answer)
}

fn take_down(shared: &Shared, inner: &mut Inner, vm: &id::Vm, mode: endpoint::Mode) {
    if let Some(endpoint) = shared.endpoints.get(vm) {
        endpoint.set_mode(mode);
    }
    let Some(worker) = inner.workers.get_mut(vm) else {
        return;
    };
    let lost = worker.reboot() as u64;
    match mode {
        endpoint::Mode::Crashed => inner.tasks_lost_total += lost,
        _ => inner.tasks_cut_total += lost,
    }
}

async fn force(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(state): Json<platform::VmState>,
) -> StatusCode {
    match force_vm(&shared, &vm, state) {
        true => StatusCode::OK,
        false => StatusCode::NOT_FOUND,
    }
}

fn force_vm(shared: &Shared, vm: &id::Vm, state: platform::VmState) -> bool {
    let mut inner = shared.lock();
    if inner.vms.state(vm).is_none() {
        return false;
    }
    inner.vms.force(vm, state);
    match (state, shared.endpoints.get(vm)) {
        (platform::VmState::Failed, _) => {
            take_down(shared, &mut inner, vm, endpoint::Mode::Crashed);
        }
        (platform::VmState::Live, Some(endpoint)) => endpoint.set_mode(endpoint::Mode::Normal),
        _ => {}
    }
    true
}

async fn endpoint_mode(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(mode): Json<endpoint::Mode>,
) -> StatusCode {
    match shared.endpoints.get(&vm) {
        Some(endpoint) => {
            endpoint.set_mode(mode);
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn usage(State(shared): State<Arc<Shared>>) -> Json<platform::UsageList> {
    let now = shared.now();
    let inner = shared.lock();
    let wanted_ms = now.as_ms().saturating_sub(inner.faults.usage_lag_ms);
    let mut history = inner.usage_history.iter().rev();
    let list = history
        .find(|list| list.as_of_ms <= wanted_ms)
        .cloned()
        .unwrap_or_default();
    Json(platform::UsageList {
        as_of_ms: now.as_ms(),
        workers: list.workers,
    })
}

fn fence(inner: &mut Inner, duty: &id::Duty, epoch: u64) -> bool {
    let newest = inner.worker_epochs.entry(duty.clone()).or_default();
    if epoch < *newest {
        return false;
    }
    *newest = epoch;
    true
}

async fn start_task(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(start): Json<platform::StartTask>,
) -> Response {
    let now = shared.now();
    let mut inner = shared.lock();
    if inner.vms.state(&vm) != Some(platform::VmState::Live) {
        return StatusCode::NOT_FOUND.into_response();
    }
    if !fence(&mut inner, &start.intent.duty, start.intent.epoch) {
        return StatusCode::CONFLICT.into_response();
    }
    let checkpoint = start.checkpoint.as_ref();
    let checkpoint_ms = checkpoint.and_then(|name| inner.checkpoints_ms.get(name).copied());
    match inner.workers.get_mut(&vm) {
        Some(worker) => Json(worker.start(now, &start, checkpoint_ms.unwrap_or(0))).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn renew_tasks(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(renew): Json<platform::RenewTasks>,
) -> Response {
    let now = shared.now();
    let mut inner = shared.lock();
    if !fence(&mut inner, &renew.duty, renew.epoch) {
        return StatusCode::CONFLICT.into_response();
    }
    match inner.workers.get_mut(&vm) {
        Some(worker) => {
            let unknown = worker.renew(now, &renew);
            Json(platform::RenewAnswer { unknown }).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn task_action(
    State(shared): State<Arc<Shared>>,
    Path((vm, task, action)): Path<(id::Vm, id::Task, String)>,
    Json(intent): Json<platform::Intent>,
) -> StatusCode {
    let now = shared.now();
    let mut inner = shared.lock();
    if !fence(&mut inner, &intent.duty, intent.epoch) {
        return StatusCode::CONFLICT;
    }
    let Some(worker) = inner.workers.get_mut(&vm) else {
        return StatusCode::NOT_FOUND;
    };
    let answer = match action.as_str() {
        "throttle" => worker.throttle(now, &task),
        "stop" => worker.stop(now, &task),
        "checkpoint" => {
            let object = format!("checkpoint/{task}");
            match worker.checkpoint(now, &task, &object) {
                Some(done_ms) => {
                    inner.checkpoints_ms.insert(object, done_ms);
                    worker::Answer::Done
                }
                None => worker::Answer::Unknown,
            }
        }
        _ => worker::Answer::Unknown,
    };
    match answer {
        worker::Answer::Done => StatusCode::OK,
        worker::Answer::OldEpoch => StatusCode::CONFLICT,
        worker::Answer::Unknown => StatusCode::NOT_FOUND,
    }
}

async fn worker_bad(
    State(shared): State<Arc<Shared>>,
    Path(vm): Path<id::Vm>,
    Json(bad): Json<bool>,
) -> StatusCode {
    match shared.lock().workers.get_mut(&vm) {
        Some(worker) => {
            worker.bad = bad;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn get_faults(State(shared): State<Arc<Shared>>) -> Json<faults::Faults> {
    Json(shared.lock().faults.clone())
}

async fn put_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<faults::Faults>,
) -> StatusCode {
    shared.lock().faults = faults;
    StatusCode::OK
}

async fn get_report(State(shared): State<Arc<Shared>>) -> Json<Report> {
    Json(report(&shared))
}

async fn executions(State(shared): State<Arc<Shared>>) -> Json<HashMap<String, u32>> {
    Json(shared.tally.executions())
}
