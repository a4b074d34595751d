//! The entry node: starts its components, and stops and joins them.

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

/// Interval between reads of the list of VMs from the platform, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;
/// Capacity of a component's inbox of messages from other nodes.
const INBOX_MAX: usize = 4_096;
/// Maximum number of connections to one endpoint, over all nodes.
const CONNECTIONS_PER_ENDPOINT: usize = 64;

/// Holds the state that the components of a node share.
#[derive(Debug)]
pub struct Shared {
    /// The settings that the node was started with.
    pub settings: settings::Settings,
    /// The client of the platform's table and VMs.
    pub platform: platform::Client,
    /// The control component: configuration, roster, leases and transactions.
    pub control: control::Handle,
    /// Links to the other nodes.
    pub links: Arc<peers::Links>,
    /// The clock of all deadlines and leases of the node.
    pub clock: clock::Clock,
    /// Connections to endpoints.
    pub upstream: upstream::Upstream,
    /// Slots of endpoints.
    pub slots: slot::Slots,
    /// Retry budgets, by service.
    pub budgets: front::Budgets,
    /// Number of this node's requests in flight at each VM, and the VMs that are leaving.
    pub in_flight: Mutex<drain::Tracker>,
    /// Claims of idempotency keys.
    pub keys: keys::Handle,
    /// Tasks of requests with a key, which continue if their callers disconnect.
    pub keyed_requests: TaskTracker,
    /// Rows and list of VMs, and messages of drains.
    pub fleet: fleet::Fleet,
    /// Submissions of jobs.
    pub jobs: jobs::Handle,
    /// Documents and endpoints that requests are routed by.
    pub view: watch::Sender<Arc<view::View>>,
    /// Cancelled when the node starts to stop.
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
    /// Binds the node's addresses and starts its components.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound, or the keys of the links can't be read.
    pub async fn start(
        settings: settings::Settings,
        metrics: PrometheusHandle,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let mut links_tasks = JoinSet::new();
        let platform = platform::Client::new(settings.platform);
        let components = start_links(&settings, &platform, &mut links_tasks)?;
        let control_stop = CancellationToken::new();
        let control_task = tokio::spawn(components.control_driver.run(control_stop.clone()));
        let keys_stop = CancellationToken::new();
        let keys_task = tokio::spawn(components.keys_driver.run(keys_stop.clone()));
        let incarnation = format!("{:016x}", rand::rng().random::<u64>());
        let (jobs, jobs_driver) = jobs::new(settings.name.clone(), incarnation);
        let clock = components.control.clock();
        let shared = Arc::new(Shared {
            platform,
            control: components.control,
            links: components.links,
            clock,
            upstream: upstream::Upstream::new(clock, CONNECTIONS_PER_ENDPOINT),
            slots: components.slots,
            budgets: front::Budgets::default(),
            in_flight: Mutex::default(),
            keys: components.keys,
            keyed_requests: TaskTracker::new(),
            fleet: fleet::Fleet::new(components.drains),
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
        tasks.spawn(poll_vms(Arc::clone(&shared)));
        tasks.spawn(apply_documents(Arc::clone(&shared)));
        tasks.spawn(fleet::rows::poll(Arc::clone(&shared)));
        tasks.spawn(fleet::drains::run(
            Arc::clone(&shared),
            components.drains_inbox,
        ));
        let slots_stop = CancellationToken::new();
        let slots_task = slot::run(
            Arc::clone(&shared),
            components.slots_inbox,
            slots_stop.clone(),
        );
        let slots_task = tokio::spawn(slots_task);
        tasks.spawn(jobs_driver.run(
            shared.control.clone(),
            shared.platform.clone(),
            shared.stop.clone(),
        ));
        let duties: Vec<Arc<dyn duties::Duty>> = vec![
            Arc::new(fleet::Duty::new(Arc::clone(&shared))),
            Arc::new(jobs::Duty::new(Arc::clone(&shared))),
        ];
        tasks.spawn(duties::run(Arc::clone(&shared), duties));
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

    /// Writes a document like an operator's request; `read_version` 0 stands for a new document.
    pub async fn write_document(
        &self,
        service: &id::Service,
        read_version: u64,
        text: &str,
    ) -> documents::EditOutcome {
        documents::write(&self.shared.control, service, read_version, text).await
    }

    /// Returns the address for callers and operators.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns true while the node has endpoints and slots, and its configuration is current.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Returns the number of documents in force on this node.
    pub fn documents_total(&self) -> usize {
        self.shared.view.borrow().documents.len()
    }

    /// Returns a receiver of the rows of VMs and pools.
    pub fn fleet_rows(&self) -> watch::Receiver<Arc<fleet::rows::Rows>> {
        self.shared.fleet.rows.subscribe()
    }

    /// Returns the handle to the control component.
    pub fn control(&self) -> &control::Handle {
        &self.shared.control
    }

    /// Stops accepting requests, waits for those in progress, and joins all tasks.
    pub async fn stop(mut self) {
        self.shared.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.shared.keyed_requests.close();
        self.shared.keyed_requests.wait().await;
        self.shared.upstream.stop().await;
        self.slots_stop.cancel();
        if let Err(error) = self.slots_task.await {
            log::warn("node", &format!("slots task failed: {error}"));
        }
        self.keys_stop.cancel();
        if let Err(error) = self.keys_task.await {
            log::warn("node", &format!("keys task failed: {error}"));
        }
        // The control component stops after all requests have ended; it releases the duties and leaves the roster.
        self.control_stop.cancel();
        if let Err(error) = self.control_task.await {
            log::warn("node", &format!("control task failed: {error}"));
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
    let has_endpoints = !view.endpoints.is_empty() && shared.slots.is_ready(&view);
    !shared.stop.is_cancelled() && has_endpoints && shared.control.may_serve()
}

/// The components that exchange messages with other nodes, and their inboxes.
struct LinkedComponents {
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
) -> io::Result<LinkedComponents> {
    let socket = std::net::UdpSocket::bind(settings.peer_listen)?;
    socket.set_nonblocking(true)?;
    let me = member(settings, socket.local_addr()?);
    let keys = settings.tls.as_ref().map(peers::tls::read).transpose();
    let keys = keys.map_err(io::Error::other)?;
    let (control, inbox) = mpsc::channel(INBOX_MAX);
    let (keys_sender, keys_inbox) = mpsc::channel(INBOX_MAX);
    let (drains, drains_inbox) = mpsc::channel(INBOX_MAX);
    let (slots_sender, slots_inbox) = mpsc::channel(INBOX_MAX);
    let inboxes = peers::Inboxes {
        control,
        keys: keys_sender,
        drains: drains.clone(),
        slots: slots_sender,
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
    Ok(LinkedComponents {
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

async fn poll_vms(shared: Arc<Shared>) {
    let mut timer = time::interval(Duration::from_millis(POLL_INTERVAL_MS));
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        if let Err(error) = refresh_vms(&shared).await {
            log::warn("node", &format!("cannot read the list of VMs: {error}"));
        }
    }
}

/// Copies the documents in force to the view whenever they change.
async fn apply_documents(shared: Arc<Shared>) {
    let mut state = shared.control.watch();
    loop {
        let versions = Arc::clone(&state.borrow_and_update().documents);
        shared.view.send_if_modified(|view| {
            let documents = documents::in_force(&versions, &view.documents);
            let unchanged = documents.len() == view.documents.len()
                && documents.iter().all(|(service, accepted)| {
                    let old = view.documents.get(service);
                    old.is_some_and(|old| Arc::ptr_eq(old, accepted))
                });
            if !unchanged {
                let endpoints = view.endpoints.clone();
                *view = Arc::new(view::View {
                    documents,
                    endpoints,
                });
            }
            !unchanged
        });
        tokio::select! {
            () = shared.stop.cancelled() => return,
            changed = state.changed() => if changed.is_err() { return },
        }
    }
}

async fn refresh_vms(shared: &Shared) -> Result<(), platform::Error> {
    let list = shared.platform.vms().await?;
    let rows = Arc::clone(&shared.fleet.rows.borrow());
    let endpoints = endpoints(&list, &rows);
    shared.fleet.list.send_replace(Arc::new(list));
    apply_endpoints(shared, &endpoints);
    shared.view.send_modify(|view| {
        let documents = view.documents.clone();
        *view = Arc::new(view::View {
            documents,
            endpoints,
        });
    });
    Ok(())
}

/// Passes the endpoints to the accounting of drains and to the connection pools.
fn apply_endpoints(shared: &Shared, endpoints: &HashMap<id::Pool, Arc<Vec<view::Endpoint>>>) {
    let all = || endpoints.values().flat_map(|endpoints| endpoints.iter());
    let leaving = all().filter(|endpoint| endpoint.leaving);
    let leaving = leaving.map(|endpoint| endpoint.vm.clone());
    let mut in_flight = shared
        .in_flight
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    in_flight.set_leaving(leaving);
    drop(in_flight);
    let addresses: HashSet<SocketAddr> = all().map(|endpoint| endpoint.address).collect();
    let nodes = shared.control.state().roster.members.len().max(1);
    shared
        .upstream
        .set_limit((CONNECTIONS_PER_ENDPOINT / nodes).max(1));
    shared.upstream.tick(|address| addresses.contains(&address));
}

/// Groups the endpoints by the pool that owns their VM; a VM without a row belongs to its home pool.
fn endpoints(
    list: &messages::VmList,
    rows: &fleet::rows::Rows,
) -> HashMap<id::Pool, Arc<Vec<view::Endpoint>>> {
    let mut pools: HashMap<id::Pool, Vec<view::Endpoint>> = HashMap::new();
    // Until the rows have been read, a VM can belong to any pool.
    let listed = list.vms.iter().filter(|_| rows.loaded);
    for vm in listed {
        let is_up = matches!(
            vm.state,
            messages::VmState::Live | messages::VmState::Leaving
        );
        if is_up {
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
