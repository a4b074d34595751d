//! A whole entry node: starts its parts, and stops and joins them.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wasabiloft::drain;
use wasabiloft::id;
use wasabiloft::platform as messages;
use wasabiloft::pool::row;
use wasabiloft::roster;
use wasabiloft::slots;

use crate::admin;
use crate::clock;
use crate::control;
use crate::documents;
use crate::duties;
use crate::fleet;
use crate::front;
use crate::jobs;
use crate::keys;
use crate::log;
use crate::peers;
use crate::platform;
use crate::server;
use crate::settings;
use crate::slot;
use crate::upstream;
use crate::view;

/// How often the VMs are read from the platform, in milliseconds.
const POLL_MS: u64 = 500;
/// Messages that wait until their slice takes them.
const INBOX_MAX: usize = 4_096;
/// Connections of each endpoint, over all nodes.
const CONNECTIONS_PER_ENDPOINT: usize = 64;

/// What the parts of a node share.
#[derive(Debug)]
pub struct Shared {
    /// The node's settings.
    pub settings: settings::Settings,
    /// The platform's client.
    pub platform: platform::Client,
    /// The control part: configuration, roster, leases, transactions.
    pub control: control::Handle,
    /// Links to the other nodes.
    pub links: Arc<peers::Links>,
    /// The node's clock.
    pub clock: clock::Clock,
    /// Connections to endpoints.
    pub upstream: upstream::Upstream,
    /// Slots of endpoints.
    pub slots: slot::Slots,
    /// Retry budgets.
    pub budgets: front::Budgets,
    /// What is in flight at each VM, and which VMs leave.
    pub ledger: Mutex<drain::Tracker>,
    /// Claims of idempotency keys.
    pub keys: keys::Handle,
    /// Requests with a key; they go on when their callers leave.
    pub keyed_requests: TaskTracker,
    /// Rows and list of VMs, and drains.
    pub fleet: fleet::Fleet,
    /// Submissions of jobs.
    pub jobs: jobs::Handle,
    /// Documents and endpoints, as the request path sees them.
    pub view: watch::Sender<Arc<view::View>>,
    /// Cancelled when the node is told to stop.
    pub stop: CancellationToken,
    metrics: PrometheusHandle,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
    slots_stop: CancellationToken,
    slots_task: JoinHandle<()>,
    keys_stop: CancellationToken,
    keys_task: JoinHandle<()>,
    control_stop: CancellationToken,
    control_task: JoinHandle<()>,
    links_tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn start(
        settings: settings::Settings,
        metrics: PrometheusHandle,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let mut links_tasks = JoinSet::new();
        let platform = platform::Client::new(settings.platform);
        let parts = start_links(&settings, &platform, &mut links_tasks)?;
        let control_stop = CancellationToken::new();
        let control_task = tokio::spawn(parts.control_driver.run(control_stop.clone()));
        let keys_stop = CancellationToken::new();
        let keys_task = tokio::spawn(parts.keys_driver.run(keys_stop.clone()));
        let incarnation = format!("{:016x}", rand::rng().random::<u64>());
        let (jobs, jobs_driver) = jobs::new(settings.name.clone(), incarnation);
        let clock = parts.control.clock();
        let shared = Arc::new(Shared {
            platform,
            control: parts.control,
            links: parts.links,
            clock,
            upstream: upstream::Upstream::new(clock, CONNECTIONS_PER_ENDPOINT),
            slots: parts.slots,
            budgets: front::Budgets::default(),
            ledger: Mutex::default(),
            keys: parts.keys,
            keyed_requests: TaskTracker::new(),
            fleet: fleet::Fleet::new(parts.drains),
            jobs,
            view: watch::Sender::new(Arc::default()),
            stop: CancellationToken::new(),
            settings,
            metrics,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(server::run(
            listener,
            router(Arc::clone(&shared)),
            Arc::clone(&shared),
        ));
        tasks.spawn(poll(Arc::clone(&shared)));
        tasks.spawn(follow(Arc::clone(&shared)));
        tasks.spawn(fleet::rows::poll(Arc::clone(&shared)));
        tasks.spawn(fleet::drains::run(Arc::clone(&shared), parts.drains_inbox));
        let slots_stop = CancellationToken::new();
        let slots_task = slot::run(Arc::clone(&shared), parts.slots_inbox, slots_stop.clone());
        let slots_task = tokio::spawn(slots_task);
        tasks.spawn(jobs_driver.run(
            shared.control.clone(),
            shared.platform.clone(),
            shared.stop.clone(),
        ));
        let slices: Vec<Arc<dyn duties::Duty>> = vec![
            Arc::new(fleet::Duty::new(Arc::clone(&shared))),
            Arc::new(jobs::Duty::new(Arc::clone(&shared))),
        ];
        tasks.spawn(duties::run(Arc::clone(&shared), slices));
        log::info(
            "node",
            &format!("started name={} address={address}", shared.settings.name),
        );
        Ok(Self {
            address,
            shared,
            tasks,
            slots_stop,
            slots_task,
            keys_stop,
            keys_task,
            control_stop,
            control_task,
            links_tasks,
        })
    }

    /// Writes a document as an operator would; 0 stands for a new one.
    pub async fn write_document(
        &self,
        service: &id::Service,
        read_version: u64,
        text: &str,
    ) -> documents::Edit {
        documents::write(&self.shared.control, service, read_version, text).await
    }

    /// Where callers and operators reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// True once it knows the endpoints and its documents are current.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Documents in force here.
    pub fn documents_total(&self) -> usize {
        self.shared.view.borrow().documents.len()
    }

    /// Follows the rows of VMs and pools.
    pub fn fleet_rows(&self) -> watch::Receiver<Arc<fleet::rows::Rows>> {
        self.shared.fleet.rows.subscribe()
    }

    /// The control part.
    pub fn control(&self) -> &control::Handle {
        &self.shared.control
    }

    /// Takes no new requests, lets those in progress finish, and joins all tasks.
    pub async fn stop(mut self) {
        self.shared.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.shared.keyed_requests.close();
        self.shared.keyed_requests.wait().await;
        self.shared.upstream.stop().await;
        self.slots_stop.cancel();
        if let Err(error) = self.slots_task.await {
            log::warn("node", &format!("slots part failed: {error}"));
        }
        self.keys_stop.cancel();
        if let Err(error) = self.keys_task.await {
            log::warn("node", &format!("keys part failed: {error}"));
        }
        // Requests have ended; now the duties and the place in the roster are given up.
        self.control_stop.cancel();
        if let Err(error) = self.control_task.await {
            log::warn("node", &format!("control part failed: {error}"));
        }
        self.shared.links.stop().await;
        while self.links_tasks.join_next().await.is_some() {}
        log::info(
            "node",
            &format!("stopped name={}", self.shared.settings.name),
        );
    }
}

fn is_ready(shared: &Shared) -> bool {
    let view = shared.view.borrow();
    let knows = !view.endpoints.is_empty() && shared.slots.is_ready(&view);
    !shared.stop.is_cancelled() && knows && shared.control.may_serve()
}

/// The parts that links between nodes connect.
struct Linked {
    links: Arc<peers::Links>,
    control: control::Handle,
    control_driver: control::Driver,
    keys: keys::Handle,
    keys_driver: keys::Driver,
    drains: mpsc::Sender<peers::Incoming<drain::Message>>,
    drains_inbox: mpsc::Receiver<peers::Incoming<drain::Message>>,
    slots: slot::Slots,
    slots_inbox: mpsc::Receiver<peers::Incoming<(id::Service, slots::Message)>>,
}

fn start_links(
    settings: &settings::Settings,
    platform: &platform::Client,
    tasks: &mut JoinSet<()>,
) -> io::Result<Linked> {
    let socket = std::net::UdpSocket::bind(settings.peer_listen)?;
    socket.set_nonblocking(true)?;
    let me = member(settings, socket.local_addr()?);
    let keys = settings.tls.as_ref().map(peers::tls::read).transpose();
    let keys = keys.map_err(io::Error::other)?;
    let (control, inbox) = mpsc::channel(INBOX_MAX);
    let (for_keys, keys_inbox) = mpsc::channel(INBOX_MAX);
    let (drains, drains_inbox) = mpsc::channel(INBOX_MAX);
    let (for_slots, slots_inbox) = mpsc::channel(INBOX_MAX);
    let inboxes = peers::Inboxes {
        control,
        keys: for_keys,
        drains: drains.clone(),
        slots: for_slots,
    };
    let links = peers::Links::start(me.clone(), keys, socket, inboxes, tasks)?;
    for (node, address) in &settings.peers {
        links.set_address(node, *address);
    }
    let seeds: Vec<id::Node> = settings.peers.keys().cloned().collect();
    let id = me.id.clone();
    let (control, control_driver) =
        control::new(me, &seeds, Arc::clone(&links), platform.clone(), inbox);
    let slots = slot::Slots::new(id.clone(), control.clock(), Arc::clone(&links));
    let (keys, keys_driver) = keys::new(
        id,
        Arc::clone(&links),
        platform.clone(),
        control.clone(),
        keys_inbox,
    );
    Ok(Linked {
        links,
        control,
        control_driver,
        keys,
        keys_driver,
        drains,
        drains_inbox,
        slots,
        slots_inbox,
    })
}

fn member(settings: &settings::Settings, address: SocketAddr) -> roster::Member {
    roster::Member {
        id: roster::NodeId {
            node: settings.name.clone(),
            incarnation: roster::Incarnation(rand::rng().random()),
        },
        address,
        data_centre: settings.data_centre.clone(),
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(metrics_text))
        .nest("/-", admin::router())
        .fallback(front::serve)
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    match is_ready(&shared) {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn metrics_text(State(shared): State<Arc<Shared>>) -> String {
    shared.metrics.render()
}

async fn poll(shared: Arc<Shared>) {
    let mut timer = time::interval(Duration::from_millis(POLL_MS));
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        if let Err(error) = refresh(&shared).await {
            log::warn("node", &format!("could not refresh: {error}"));
        }
    }
}

/// Brings the documents in force into the view.
async fn follow(shared: Arc<Shared>) {
    let mut state = shared.control.watch();
    loop {
        let versions = Arc::clone(&state.borrow_and_update().documents);
        shared.view.send_if_modified(|view| {
            let documents = documents::in_force(&versions, &view.documents);
            let same = documents.len() == view.documents.len()
                && documents.iter().all(|(service, accepted)| {
                    let old = view.documents.get(service);
                    old.is_some_and(|old| Arc::ptr_eq(old, accepted))
                });
            if !same {
                let endpoints = view.endpoints.clone();
                *view = Arc::new(view::View {
                    documents,
                    endpoints,
                });
            }
            !same
        });
        tokio::select! {
            () = shared.stop.cancelled() => return,
            changed = state.changed() => if changed.is_err() { return },
        }
    }
}

async fn refresh(shared: &Shared) -> Result<(), platform::Error> {
    let list = shared.platform.vms().await?;
    let rows = Arc::clone(&shared.fleet.rows.borrow());
    let endpoints = endpoints(&list, &rows);
    shared.fleet.list.send_replace(Arc::new(list));
    follow_endpoints(shared, &endpoints);
    shared.view.send_modify(|view| {
        let documents = view.documents.clone();
        *view = Arc::new(view::View {
            documents,
            endpoints,
        });
    });
    Ok(())
}

/// Brings the endpoints to the ledger of drains and to the connections.
fn follow_endpoints(shared: &Shared, endpoints: &HashMap<id::Pool, Arc<Vec<view::Endpoint>>>) {
    let all = || endpoints.values().flat_map(|endpoints| endpoints.iter());
    let leaving = all().filter(|endpoint| endpoint.leaving);
    let leaving = leaving.map(|endpoint| endpoint.vm.clone());
    let mut ledger = shared.ledger.lock().unwrap_or_else(PoisonError::into_inner);
    ledger.set_leaving(leaving);
    drop(ledger);
    let addresses: HashSet<SocketAddr> = all().map(|endpoint| endpoint.address).collect();
    let nodes = shared.control.state().roster.members.len().max(1);
    shared
        .upstream
        .set_limit((CONNECTIONS_PER_ENDPOINT / nodes).max(1));
    shared.upstream.tick(|address| addresses.contains(&address));
}

/// The endpoints by the pool that owns their VM; one without a row yet belongs to its home pool.
fn endpoints(
    list: &messages::VmList,
    rows: &fleet::rows::Rows,
) -> HashMap<id::Pool, Arc<Vec<view::Endpoint>>> {
    let mut pools: HashMap<id::Pool, Vec<view::Endpoint>> = HashMap::new();
    // Until the rows are known, a VM may belong to any pool.
    let listed = list.vms.iter().filter(|_| rows.loaded);
    for vm in listed {
        let up = matches!(
            vm.state,
            messages::VmState::Live | messages::VmState::Leaving
        );
        if up {
            let row = rows.by_vm.get(&vm.vm);
            let owner = row.map_or(&vm.home_pool, |row| &row.pool);
            let serves = row.is_none_or(|row| row.stage == row::Stage::InService);
            let pool = pools.entry(owner.clone()).or_default();
            pool.push(view::Endpoint {
                vm: vm.vm.clone(),
                address: vm.endpoint,
                leaving: !serves || vm.state == messages::VmState::Leaving,
            });
        }
    }
    pools
        .into_iter()
        .map(|(pool, endpoints)| (pool, Arc::new(endpoints)))
        .collect()
}
