//! The environment of a soak: the stand-in platform, its workers behind proxies, and the daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;
use tokio::time;

use crate::hosted::Listening;
use crate::hosted::checker::Checker;
use crate::hosted::machines::Machines;
use crate::hosted::process::{Node, Platform};
use crate::hosted::store::Store;
use crate::hosted::store::view::View;
use crate::hosted::worker::{Settings, Worker};
use crate::proxy::{Fault, Group, Proxy};
use crate::soak::Options;
use crate::soak::accounts::{self, Accounts};
pub use crate::soak::worker::{HEARTBEAT_MS, ProxiedWorker, Registration};

/// Host name of the queues.
pub const HOST: &str = "counter.example";
/// The queues, each with its path prefix and service.
pub const QUEUES: [(&str, &str); 2] = [("/quotes/", "counter"), ("/returns/", "desk")];
/// The pool of spare machines, which are switched off.
const SPARE: &str = "rest";
/// Interval at which the workers' entries in the store are updated, in milliseconds.
const ENTRY_INTERVAL_MS: u64 = 300;
/// Interval at which the proxies of nodes are told which of them are down, in milliseconds.
const NODE_CHECK_INTERVAL_MS: u64 = 10;
/// CPU of a machine, in thousandths of a core.
const CPU_MILLI: u64 = 4_000;
/// Bandwidth that the nodes' settings state, in kbit/s, in a soak with an odd seed: no relays are needed.
const LINK_WIDE_KBIT_PER_S: u64 = 1_000_000;
/// The same in a soak with an even seed: the leader commands two workers itself and each relay one.
const LINK_THIN_KBIT_PER_S: u64 = 160;
/// Number of the maintenance wave that operators request first.
pub const FIRST_WAVE: u64 = 1;
/// Limit of machines of the wave in maintenance at the same time.
pub const WAVE_MAX_CONCURRENT: usize = 2;

/// A path of a node through the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From a node to the store.
    Store(usize),
    /// From a node to a worker.
    Worker(usize, usize),
    /// From a node to another one that leads the duty.
    Node(usize, usize),
}

/// The processes and stand-ins of a soak.
pub struct World {
    /// Records and checks what callers and workers observe.
    pub checker: Arc<Checker>,
    /// The row store.
    pub store: Listening<Store>,
    /// The proxy between each node and the store, by node number.
    pub store_proxies: Vec<Proxy>,
    /// The proxies between the other nodes and each node, by the number of the latter.
    pub node_proxies: Vec<Group>,
    /// The machine API.
    pub machines: Listening<Machines>,
    /// The proxy in front of the machine API.
    pub machines_proxy: Proxy,
    /// The workers of all machines, spare ones included.
    pub workers: Vec<ProxiedWorker>,
    /// The daemons, by node number.
    pub nodes: Vec<Mutex<Node>>,
    /// Addresses of the daemons for callers, by node number.
    pub addresses: Vec<SocketAddr>,
    /// The client accounts.
    pub accounts: Accounts,
    /// Number of calls that were answered 401 as they should be.
    pub denied: AtomicUsize,
    started_at: time::Instant,
    version: Mutex<u64>,
    /// The workers' entries as last written, by worker id.
    entries: Mutex<BTreeMap<String, String>>,
    /// Numbers of the requested waves.
    waves: Mutex<Vec<u64>>,
    folder: Mutex<TempDir>,
    /// What each node sees of the store, where proxies of its own stand for the workers and the other nodes.
    pub views: Vec<Arc<View>>,
    /// The store's server for each node.
    servers: Vec<Listening<Store>>,
}

impl World {
    /// Starts platform, workers and daemons.
    pub async fn start(options: &Options) -> io::Result<Self> {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let checker = Arc::new(Checker::default());
        let store = Store::start().await?;
        let machines = Machines::start(SPARE, Arc::clone(&checker)).await?;
        let machines_proxy = Proxy::start(machines.address).await?;
        let folder = tempfile::Builder::new().prefix("soak-").tempdir()?;
        let mut workers = Vec::new();
        let mut wave = Vec::new();
        for number in 0..options.machines + options.machines / 3 {
            let name = format!("m{number}");
            let settings = Settings {
                cpu_milli: CPU_MILLI,
                clock_milli: rng.random_range(980..=1_000),
                ..Settings::new(200)
            };
            let id = (number < options.machines).then(|| format!("i-{name}-1"));
            let pool = match id {
                Some(_) => QUEUES[number % QUEUES.len()].1,
                None => SPARE,
            };
            let off = id.is_none();
            let worker = Worker::start_as(settings, id, Arc::clone(&checker)).await?;
            worker.state.off.store(off, Ordering::Relaxed);
            machines.state.add(&name, pool, Arc::clone(&worker.state));
            let proxy = Group::start(worker.address, options.nodes).await?;
            if number % 2 == 0 {
                wave.push(name.clone());
            }
            workers.push(ProxiedWorker::new(worker, proxy, name));
        }
        let mut nodes: Vec<Node> = Vec::new();
        let mut world = Self {
            checker,
            store_proxies: Vec::new(),
            node_proxies: Vec::new(),
            views: Vec::new(),
            servers: Vec::new(),
            machines,
            machines_proxy,
            workers,
            nodes: Vec::new(),
            addresses: Vec::new(),
            accounts: Accounts::new(options.accounts),
            denied: AtomicUsize::new(0),
            started_at: time::Instant::now(),
            version: Mutex::new(0),
            entries: Mutex::default(),
            waves: Mutex::default(),
            folder: Mutex::new(folder),
            store,
        };
        for account in 0..options.accounts {
            if let Some(quota_milli) = accounts::quota_milli(account) {
                world
                    .checker
                    .set_quota(&accounts::name(account), quota_milli);
            }
        }
        world.configure(&[]);
        world.write_entries();
        for caller in 0..options.nodes {
            let view = Arc::new(View::default());
            for proxied in &world.workers {
                let proxy = proxied.proxy.of(caller);
                view.substitute(proxied.worker.address, proxy.address());
            }
            let server = Store::listen(&world.store.state, Arc::clone(&view)).await?;
            world
                .store_proxies
                .push(Proxy::start(server.address).await?);
            world.servers.push(server);
            world.views.push(view);
        }
        for number in 0..options.nodes {
            let platform = Platform {
                store: world.store_proxies[number].address(),
                machines: Some(world.machines_proxy.address()),
                link_kbit_per_s: if options.seed.is_multiple_of(2) {
                    LINK_THIN_KBIT_PER_S
                } else {
                    LINK_WIDE_KBIT_PER_S
                },
                job_status_ms: options.job_status_ms,
            };
            let folder = world.folder().to_owned();
            let node = Node::start(&options.daemon, &folder, number, platform)?;
            // A node claims the duty later than its address is known to the others.
            let proxies = Group::start(node.peers, options.nodes).await?;
            let callers = world.views.iter().enumerate();
            for (caller, view) in callers.filter(|(caller, _)| *caller != number) {
                view.substitute(node.peers, proxies.of(caller).address());
            }
            world.node_proxies.push(proxies);
            nodes.push(node);
        }
        world.addresses = nodes.iter().map(|node| node.address).collect();
        world.nodes = nodes.into_iter().map(Mutex::new).collect();
        if options.wave {
            world.request_wave(FIRST_WAVE, &wave);
        }
        Ok(world)
    }

    fn folder(&self) -> PathBuf {
        let folder = self.folder.lock().unwrap_or_else(PoisonError::into_inner);
        folder.path().to_owned()
    }

    /// Keeps the daemons' logs after the soak, and returns their directory.
    pub fn keep_logs(&self) -> PathBuf {
        let mut folder = self.folder.lock().unwrap_or_else(PoisonError::into_inner);
        folder.disable_cleanup(true);
        folder.path().to_owned()
    }

    /// Locks the daemon with the given number.
    pub fn node(&self, number: usize) -> std::sync::MutexGuard<'_, Node> {
        let node = &self.nodes[number];
        node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the proxy on a path.
    pub fn path(&self, path: Path) -> &Proxy {
        match path {
            Path::Store(node) => &self.store_proxies[node],
            Path::Worker(node, worker) => self.workers[worker].proxy.of(node),
            Path::Node(from, to) => self.node_proxies[to].of(from),
        }
    }

    /// Writes a new version of the configuration, with extra queues of the first service.
    pub fn configure(&self, extra: &[&str]) {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        let extra = extra.iter().map(|prefix| (*prefix, QUEUES[0].1));
        let routes: Vec<_> = QUEUES
            .into_iter()
            .chain(extra)
            .map(|(prefix, service)| {
                json!({
                    "name": prefix, "host": HOST, "pathPrefix": prefix, "kind": "unsafe",
                    "timeoutMs": 3_000, "targetLatencyMs": 600, "priority": 0, "service": service,
                    "maxAttempts": 4, "stretch": 1.6,
                })
            })
            .collect();
        let mut services: Vec<_> = QUEUES
            .iter()
            .map(|(_, name)| json!({"name": name, "enforcesCapacity": true, "spare": false}))
            .collect();
        services.push(json!({"name": SPARE, "enforcesCapacity": true, "spare": true}));
        let limits = json!({"maxBodyBytes": 10_000, "idleTimeoutMs": 15_000});
        let mut config = json!({
            "version": *version, "routes": routes, "services": services, "limits": limits,
        });
        if let Some(accounts) = self.accounts.config() {
            config["tenants"] = accounts;
        }
        self.put("op", "config", &config.to_string());
    }

    /// Requests a maintenance wave of the named machines.
    pub fn request_wave(&self, number: u64, names: &[String]) {
        self.machines
            .state
            .add_wave(number, names, WAVE_MAX_CONCURRENT);
        let wave = json!({
            "wave": number, "machines": names, "deadlineS": 20, "maxCount": WAVE_MAX_CONCURRENT,
        });
        let mut waves = self.waves.lock().unwrap_or_else(PoisonError::into_inner);
        waves.push(number);
        self.put("op", &format!("wave/{number}"), &wave.to_string());
    }

    /// Requests another wave, of every third machine from the given one on, if maintenance of the last one has started on
    /// all its machines.
    pub fn request_next_wave(&self, first: usize) {
        let waves = self.waves.lock().unwrap_or_else(PoisonError::into_inner);
        let last = waves.last().copied();
        drop(waves);
        if last.is_some_and(|last| !self.machines.state.wave_started(last)) {
            return;
        }
        let number = last.map_or(FIRST_WAVE, |last| last + 1);
        let machines = self.workers.iter().skip(first).step_by(3);
        let names: Vec<String> = machines.map(|proxied| proxied.machine.clone()).collect();
        self.request_wave(number, &names);
    }

    /// Describes the requested waves that aren't reported as completed. Adds a violation for each that is reported too
    /// early.
    pub fn unfinished_waves(&self) -> Vec<String> {
        let waves = self.waves.lock().unwrap_or_else(PoisonError::into_inner);
        let unfinished = |number: &u64| self.unfinished_wave(*number);
        waves.iter().filter_map(unfinished).collect()
    }

    fn unfinished_wave(&self, number: u64) -> Option<String> {
        let key = format!("wave/{number}");
        let reported = self.store.state.get("status", "", &key);
        let reported = reported.and_then(|text| STANDARD.decode(text).ok());
        let reported =
            reported.is_some_and(|text| String::from_utf8_lossy(&text).contains("completed"));
        let started = self.machines.state.wave_started(number);
        if reported && !started {
            let text = "a wave was reported as completed before maintenance had started on all its machines";
            self.checker.add_violation(text.to_owned());
        }
        (!reported).then(|| {
            format!("wave {number} was not reported as completed; all machines started: {started}")
        })
    }

    fn put(&self, table: &str, key: &str, value: &str) {
        self.store.state.put(table, key, &STANDARD.encode(value));
    }

    /// Updates the machines, the workers' entries and the proxies of nodes that are down, until the task is aborted.
    pub async fn run_updates(self: Arc<Self>) {
        let mut entries = time::interval(Duration::from_millis(ENTRY_INTERVAL_MS));
        let mut nodes = time::interval(Duration::from_millis(NODE_CHECK_INTERVAL_MS));
        loop {
            tokio::select! {
                _ = entries.tick() => self.write_entries(),
                _ = nodes.tick() => {
                    for (number, proxies) in self.node_proxies.iter().enumerate() {
                        proxies.set_target_down(self.node(number).is_down());
                    }
                }
            }
        }
    }

    /// Changes what the registry shows of the worker that now runs on a machine, at once.
    pub fn register(&self, worker: usize, registration: Registration) {
        self.workers[worker].register(registration);
        self.write_entries();
    }

    /// Cuts a worker off from the store, so that its entry expires; it last wrote its entry `silent_ms` ago.
    pub fn cut_from_store(&self, worker: usize, silent_ms: u64) {
        let since = time::Instant::now() - Duration::from_millis(silent_ms);
        self.workers[worker].set_unreachable_since(Some(since));
    }

    /// Ends the cut of [`World::cut_from_store`].
    pub fn join_to_store(&self, worker: usize) {
        self.workers[worker].set_unreachable_since(None);
    }

    /// Returns how many heartbeats a worker has written; workers write at different times.
    fn heartbeats(&self, worker: usize) -> u64 {
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        let phase_ms = worker as u64 * 137 % HEARTBEAT_MS;
        (elapsed_ms + phase_ms) / HEARTBEAT_MS
    }

    /// Writes the entries that have changed, and removes those of workers that are gone.
    fn write_entries(&self) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut present = BTreeMap::new();
        for (worker, pool, id) in self.machines.state.refresh() {
            let mut workers = self.workers.iter();
            let position = workers.position(|proxied| Arc::ptr_eq(&proxied.worker.state, &worker));
            if let Some(position) = position
                && let Some(entry) = self.workers[position].entry(
                    &pool,
                    &id,
                    self.heartbeats(position),
                    entries.get(&id),
                )
            {
                present.insert(id, entry);
            }
        }
        for (id, entry) in &present {
            if entries.get(id) != Some(entry) {
                self.put("servers", id, entry);
            }
        }
        for id in entries.keys().filter(|id| !present.contains_key(*id)) {
            self.store.state.remove("servers", id);
        }
        *entries = present;
    }

    /// Returns the node that took the duty over last and its epoch, by the daemons' logs.
    pub fn leader(&self) -> Option<(usize, u64)> {
        self.terms()
            .into_iter()
            .map(|(epoch, node)| (node, epoch))
            .next_back()
    }

    /// Returns the epochs of the duty with their nodes, by the daemons' logs.
    pub fn terms(&self) -> BTreeMap<u64, usize> {
        let mut terms = BTreeMap::new();
        for number in 0..self.nodes.len() {
            let log = self.node(number).log().unwrap_or_default();
            let epochs = log.split("holds epoch=").skip(1);
            let epochs = epochs.filter_map(|rest| {
                rest.split(|c: char| !c.is_ascii_digit())
                    .next()?
                    .parse()
                    .ok()
            });
            terms.extend(epochs.map(|epoch: u64| (epoch, number)));
        }
        terms
    }

    /// Returns the violations found so far, with the names of the nodes that started the runs.
    pub fn violations(&self) -> Vec<String> {
        for (epoch, node) in self.terms() {
            self.checker.set_starter(epoch, &format!("node-{node}"));
        }
        self.checker.violations()
    }

    /// Ends all faults, resumes paused processes and restarts those that have exited.
    pub fn end_faults(&self) -> io::Result<()> {
        let store = &self.store.state;
        store.unavailable.store(false, Ordering::Relaxed);
        store.lost_responses.store(0, Ordering::Relaxed);
        store.late_writes.store(0, Ordering::Relaxed);
        store.delay_ms.store(0, Ordering::Relaxed);
        for view in &self.views {
            view.refuse_parts(BTreeSet::new());
        }
        for proxy in self
            .store_proxies
            .iter()
            .chain(self.workers.iter().flat_map(|proxied| proxied.proxy.all()))
            .chain(self.node_proxies.iter().flat_map(Group::all))
            .chain([&self.machines_proxy])
        {
            proxy.set(Fault::default());
            proxy.silence_open();
        }
        self.machines.state.set_fault(None);
        for proxied in &self.workers {
            let worker = &proxied.worker.state;
            worker.unresponsive.store(false, Ordering::Relaxed);
            worker.late_commands.store(0, Ordering::Relaxed);
        }
        for worker in 0..self.workers.len() {
            self.register(worker, Registration::Ready);
            self.join_to_store(worker);
        }
        for number in 0..self.nodes.len() {
            let mut node = self.node(number);
            node.signal(Signal::CONT);
            if node.has_exited() {
                node.restart()?;
            }
        }
        Ok(())
    }
}
