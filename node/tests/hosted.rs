//! Test cluster on a stand-in for the users' platform: a store, workers, and nodes as separate processes.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use tempfile::TempDir;
use tokio::time;
use wasabiloft_platform::call::Client;
use wasabiloft_standins::hosted::Listening;
use wasabiloft_standins::hosted::machines::Machines;
use wasabiloft_standins::hosted::process::{Node, Platform};
use wasabiloft_standins::hosted::store::Store;
use wasabiloft_standins::hosted::worker::{Settings, Worker};

/// Host name of the queue's route.
pub const HOST: &str = "counter.example";
/// Path prefix of the queue's route.
pub const PREFIX: &str = "/quotes/";
/// Timeout for a condition, in milliseconds.
const TIMEOUT_MS: u64 = 20_000;
/// Interval between two checks of a condition, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// The platform's stand-ins and the nodes.
pub struct Cluster {
    /// Stand-in for the platform's store.
    pub store: Listening<Store>,
    /// Stand-ins for the workers.
    pub workers: Vec<Listening<Worker>>,
    /// Node processes.
    pub nodes: Vec<Node>,
    /// Stand-in for the machine interface, if the platform has one.
    pub machines: Option<Listening<Machines>>,
    settings: Settings,
    folder: TempDir,
    link_kbit_per_s: u64,
    enforces_capacity: bool,
}

/// Response to a request.
pub struct Response {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// Body, followed by `retry-after` if that header was set; the error if no response arrived.
    pub body: String,
}

impl Cluster {
    /// Starts the platform with workers whose tasks take `task_ms`, and nodes, and waits until the nodes are ready.
    pub async fn start(nodes: usize, workers: usize, task_ms: u64) -> Self {
        Self::start_on_links(nodes, workers, task_ms, 1_000_000).await
    }

    /// Starts a cluster whose nodes have links of a bandwidth in kbit/s; over thin ones the leader uses relays.
    pub async fn start_on_links(
        nodes: usize,
        workers: usize,
        task_ms: u64,
        link_kbit_per_s: u64,
    ) -> Self {
        Self::start_with(nodes, workers, Settings::new(task_ms), link_kbit_per_s).await
    }

    /// Starts a cluster whose workers have the given settings, with one checker.
    pub async fn start_with(
        nodes: usize,
        workers: usize,
        settings: Settings,
        link_kbit_per_s: u64,
    ) -> Self {
        Self::start_on(nodes, workers, settings, link_kbit_per_s, None).await
    }

    /// Starts a cluster whose workers run on machines `m-0` and so on of one pool.
    pub async fn start_with_machines(nodes: usize, workers: usize, task_ms: u64) -> Self {
        let machines = Machines::start("spare", Arc::default()).await;
        let machines = Some(machines.expect("a machine interface"));
        Self::start_on(nodes, workers, Settings::new(task_ms), 1_000_000, machines).await
    }

    async fn start_on(
        nodes: usize,
        workers: usize,
        settings: Settings,
        link_kbit_per_s: u64,
        machines: Option<Listening<Machines>>,
    ) -> Self {
        let mut cluster = Self {
            link_kbit_per_s,
            enforces_capacity: settings.enforces_capacity,
            store: Store::start().await.expect("a store"),
            workers: Vec::new(),
            nodes: Vec::new(),
            machines,
            settings,
            folder: tempfile::tempdir().expect("a folder"),
        };
        cluster.configure(1, &[PREFIX]);
        for _ in 0..workers {
            cluster.add_worker().await;
        }
        for number in 0..nodes {
            let node = cluster.start_node(number);
            cluster.nodes.push(node);
        }
        for node in 0..nodes {
            cluster.until_ready(node).await;
        }
        if nodes > 0 {
            cluster.until_led().await;
        }
        cluster
    }

    /// Starts a worker and writes its registry entry.
    pub async fn add_worker(&mut self) {
        let number = self.workers.len();
        let id = self.machines.as_ref().map(|_| format!("i-{number}"));
        let worker = Worker::start_as(self.settings.clone(), id, Arc::default());
        let worker = worker.await.expect("a worker");
        if let Some(machines) = &self.machines {
            let machine = format!("m-{number}");
            let state = Arc::clone(&worker.state);
            machines.state.add(&machine, "counter", state);
        }
        self.workers.push(worker);
        self.put_entry(number);
    }

    /// Returns a worker's registry entry.
    pub fn entry(&self, worker: usize) -> serde_json::Value {
        let Listening { address, state, .. } = &self.workers[worker];
        let (_, born) = state.incarnation();
        json!({
            "service": "counter", "address": address, "zone": "andes", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": born, "clockMs": 1,
            "capacity": {"cpu": state.cpu_milli(), "memMb": 16_000, "gpu": 0}, "labels": ["a", "r1"],
        })
    }

    /// Writes a worker's registry entry.
    pub fn put_entry(&self, worker: usize) {
        let entry = self.entry(worker);
        self.put("servers", &format!("i-{worker}"), &entry.to_string());
    }

    /// Changes a worker's CPU capacity, in thousandths of a core, and its registry entry.
    pub fn resize(&self, worker: usize, cpu_milli: u64) {
        self.workers[worker].state.resize(cpu_milli);
        self.put_entry(worker);
    }

    /// Writes a configuration with a queue for each prefix.
    pub fn configure(&self, version: u64, prefixes: &[&str]) {
        let config = self.config(version, prefixes);
        self.put("op", "config", &config.to_string());
    }

    /// Writes a configuration with client accounts, as the platform states them.
    pub fn configure_accounts(&self, version: u64, accounts: &serde_json::Value) {
        let mut config = self.config(version, &[PREFIX]);
        config["tenants"] = accounts.clone();
        self.put("op", "config", &config.to_string());
    }

    /// Returns a configuration with a queue for each prefix.
    pub fn config(&self, version: u64, prefixes: &[&str]) -> serde_json::Value {
        let routes: Vec<_> = prefixes
            .iter()
            .map(|prefix| {
                json!({
                    "name": prefix, "host": HOST, "pathPrefix": prefix, "kind": "unsafe",
                    "timeoutMs": 3_000, "targetLatencyMs": 600, "priority": 0, "service": "counter",
                    "maxAttempts": 2, "stretch": 1.6,
                })
            })
            .collect();
        let services = json!([
            {"name": "counter", "enforcesCapacity": self.enforces_capacity, "spare": false}
        ]);
        let limits = json!({"maxBodyBytes": 10_000, "idleTimeoutMs": 15_000});
        json!({
            "version": version, "routes": routes, "services": services, "limits": limits,
        })
    }

    /// Writes a row as the platform would.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.store.state.put(table, key, &STANDARD.encode(value));
    }

    fn start_node(&self, number: usize) -> Node {
        let daemon = Path::new(env!("CARGO_BIN_EXE_wasabiloftd"));
        let platform = Platform {
            store: self.store.address,
            machines: self.machines.as_ref().map(|machines| machines.address),
            link_kbit_per_s: self.link_kbit_per_s,
            job_status_ms: 120_000,
        };
        Node::start(daemon, self.folder.path(), number, platform).expect("the daemon starts")
    }

    /// Waits until a node is ready.
    pub async fn until_ready(&self, node: usize) {
        let ready = Client::new(self.nodes[node].ready);
        until("the node is ready", async || {
            let response = ready.get("/ready", 500).await;
            response.is_ok_and(|response| response.status.as_u16() == 200)
        })
        .await;
    }

    /// Sends a request to a node.
    pub async fn call(&self, node: usize, method: &str, path: &str, body: &str) -> Response {
        call(self.nodes[node].address, method, path, body).await
    }

    /// Submits a job of one step and returns the status code.
    pub async fn submit(&self, node: usize, id: &str, tasks: u32) -> u16 {
        let body = json!({"spec": "text", "steps": [
            {"count": tasks, "cpu": 500, "memMb": 256, "estimateMs": 300}
        ]});
        let path = format!("{PREFIX}{id}");
        self.call(node, "POST", &path, &body.to_string())
            .await
            .status
    }

    /// Waits until a job is in a state.
    pub async fn until_state(&self, node: usize, id: &str, state: &str) {
        let path = format!("{PREFIX}{id}");
        let wanted = json!({ "state": state }).to_string();
        until(state, async || {
            self.call(node, "GET", &path, "").await.body == wanted
        })
        .await;
    }

    /// Returns a node's log so far.
    pub fn log(&self, node: usize) -> String {
        self.nodes[node].log().expect("a log")
    }

    /// Returns the newest epoch under which a node led the duty, by its log; 0 if no_response.
    pub fn epoch(&self, node: usize) -> u64 {
        let log = self.log(node);
        let epochs = log
            .lines()
            .filter_map(|line| line.split("holds epoch=").nth(1));
        epochs
            .filter_map(|rest| rest.split(' ').next()?.parse().ok())
            .max()
            .unwrap_or(0)
    }

    /// Waits until a node's log says that it leads the duty, which can be a while after it does.
    pub async fn until_led(&self) {
        until("a node leads", async || self.epoch(self.leader()) > 0).await;
    }

    /// Returns the node that leads the duty, by its log.
    pub fn leader(&self) -> usize {
        (0..self.nodes.len())
            .max_by_key(|node| self.epoch(*node))
            .expect("nodes")
    }
}

/// Maximum number of a node's newest log lines that a failed test shows.
const SHOWN_LINES: usize = 60;

impl Drop for Cluster {
    /// Shows the newest lines of the nodes' logs if the test fails; a failure may not come again.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for (number, node) in self.nodes.iter().enumerate() {
            let log = node.log().unwrap_or_else(|error| error.to_string());
            let lines = log.lines().filter(|line| !line.contains("machines listed"));
            let mut newest: Vec<&str> = lines.rev().take(SHOWN_LINES).collect();
            newest.reverse();
            eprintln!("log of node {number}:\n{}", newest.join("\n"));
        }
    }
}

/// Sends a request; status 0 means that no response arrived.
pub async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Response {
    call_with(address, method, path, body, &[]).await
}

/// Sends a request with an account's key, if one is given.
pub async fn call_with_key(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    key: Option<&str>,
) -> Response {
    let credentials = key.map(|key| format!("Bearer {key}"));
    let credentials = credentials.as_deref();
    let headers: Vec<(&str, &str)> = credentials
        .iter()
        .map(|value| ("authorization", *value))
        .collect();
    call_with(address, method, path, body, &headers).await
}

/// Sends a request with additional headers; status 0 means that no response arrived.
pub async fn call_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Response {
    use http_body_util::{BodyExt, Full};
    use hyper_util::rt::TokioIo;

    let no_response = |reason: String| Response {
        status: 0,
        body: reason,
    };
    let stream = match tokio::net::TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return no_response(error.to_string()),
    };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = match handshake {
        Ok(pair) => pair,
        Err(error) => return no_response(error.to_string()),
    };
    tokio::spawn(connection);
    let mut request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-deadline-ms", "3000");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(bytes::Bytes::from(body.to_owned())))
        .expect("a request");
    match sender.send_request(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            let retry_after = response.headers().contains_key("retry-after");
            let body = response.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            let suffix = if retry_after { "retry-after" } else { "" };
            Response {
                status,
                body: format!("{body}{suffix}"),
            }
        }
        Err(error) => no_response(error.to_string()),
    }
}

/// Waits until a condition holds.
pub async fn until<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let deadline = time::Instant::now() + Duration::from_millis(TIMEOUT_MS);
    while !condition().await {
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}
