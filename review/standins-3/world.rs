//! A small deployment: the store, the list of machines, runners and nodes, each node a process of its own.

use std::env;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Server};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Kind, Runner, Started};
use crate::store::{Door, Store};

pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";
pub const SERVICE: &str = "huvo11a";
/// Deadline of the clients, in milliseconds, as on the sheets.
pub const DEADLINE_MS: u64 = 3_000;

/// What is the same for all parts of a deployment.
pub struct Plan {
    pub nodes: usize,
    pub runners: Vec<Kind>,
    pub enforces: bool,
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// Its way to the store.
    pub door: Door,
    process: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub nodes: Vec<Node>,
    /// All starts that runners carried out, in order.
    pub starts: Arc<Mutex<Vec<Started>>>,
    folder: PathBuf,
    _servers: Vec<Server>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.clear();
        for runner in &self.runners {
            runner.end();
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the first of some consecutive ports on which nothing listens, above those that were taken before.
fn free_ports(next: &mut u16, count: u16) -> io::Result<u16> {
    for first in *next..32_000 - count {
        let listeners =
            (first..first + count).map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
        if listeners.collect::<io::Result<Vec<_>>>().is_ok() {
            *next = first + count;
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}

impl World {
    pub fn start(root: &Path, record: Arc<Record>, plan: &Plan) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("wasabiloft-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::new(&record);
        let starts: Arc<Mutex<Vec<Started>>> = Arc::default();
        let route = Json::object(&[
            ("name", Json::text("r-anu6wsj")),
            ("host", Json::text(HOST)),
            ("pathPrefix", Json::text(PREFIX)),
            ("kind", Json::text("unsafe")),
            ("timeoutMs", Json::number(3_000)),
            ("targetLatencyMs", Json::number(600)),
            ("priority", Json::number(0)),
            ("service", Json::text(SERVICE)),
            ("maxAttempts", Json::number(4)),
            ("stretch", Json::Number("1.6".into())),
        ]);
        let service = Json::object(&[
            ("name", Json::text(SERVICE)),
            ("healthPath", Json::text("/health")),
            ("maxConns", Json::number(64)),
            ("protocol", Json::text("h1")),
            ("tls", Json::Bool(false)),
            ("enforcesCapacity", Json::Bool(plan.enforces)),
            ("spare", Json::Bool(false)),
        ]);
        let limits = Json::object(&[
            ("maxHeaderBytes", Json::number(16_384)),
            ("maxBodyBytes", Json::number(262_144)),
            ("headerTimeoutMs", Json::number(3_000)),
            ("idleTimeoutMs", Json::number(15_000)),
        ]);
        let config = Json::object(&[
            ("version", Json::number(7)),
            ("routes", Json::List(vec![route])),
            ("services", Json::List(vec![service])),
            ("limits", limits),
        ]);
        store.put("op", "config", &config.to_string());
        let mut runners = Vec::new();
        for (number, kind) in plan.runners.iter().enumerate() {
            let (machine, id) = (format!("m-{number}"), format!("i-{number}"));
            let runner = Runner::start(
                &machine,
                &id,
                SERVICE,
                kind,
                plan.enforces,
                &record,
                &store,
                &starts,
            )?;
            runners.push(runner);
        }
        let listed = runners.clone();
        let cloud = Server::start(0, move |request| {
            thread::sleep(Duration::from_millis(15));
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/machines") => {
                    let machines = listed.iter().map(|runner| runner.machine_entry()).collect();
                    let page = [
                        ("machines", Json::List(machines)),
                        ("nextPageToken", Json::Null),
                    ];
                    Reply::Answer(200, Json::object(&page).to_string())
                }
                _ => Reply::Answer(409, r#"{"reason":"busy"}"#.into()),
            }
        })?;
        let mut world = Self {
            record,
            store,
            runners,
            nodes: Vec::new(),
            starts,
            folder,
            _servers: Vec::new(),
        };
        // Below the ports that the system gives to outgoing connections, and apart from those of other runs.
        let mut next_port = 12_000 + (std::process::id() % 150 * 128) as u16;
        for number in 0..plan.nodes {
            let door = world.store.door()?;
            let node = world.start_node(root, number, &mut next_port, door, cloud.address)?;
            world.nodes.push(node);
        }
        world._servers.push(cloud);
        world.until("all nodes are ready", 20_000, |world| {
            let is_ready = |node: &Node| {
                http::call(node.ready, "GET", "/ready", &[], "", 500)
                    .is_some_and(|(status, _)| status == 200)
            };
            world.nodes.iter().all(is_ready)
        })?;
        // Traffic begins some seconds after the machines.
        thread::sleep(Duration::from_secs(4));
        Ok(world)
    }

    fn start_node(
        &self,
        root: &Path,
        number: usize,
        next_port: &mut u16,
        door: Door,
        cloud: SocketAddr,
    ) -> io::Result<Node> {
        let first = free_ports(next_port, 19)?;
        let name = format!("front-suva-{}", number + 1);
        let store = door.server.address;
        let (front, ready, control) = (first + 16, first + 17, first + 18);
        let text = format!(
            r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "suva"
region = "fiji"
internalPorts = [{first},{}]
seeds = []
bootstrap = true
lossEligible = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
commands = "request"
[zones]
suva = "fiji"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lostSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
checkpointS = 1
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
requireFence = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 8.0
partWritesPerS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
[cloud]
address = "{cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#,
            first + 15
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let mut command = Command::new(root.join("target/release/wasabiloftd"));
        command
            .arg("--platform")
            .current_dir(root)
            .env_clear()
            .env("WASABILOFT_CONFIG", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        let process = command
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.record.line(&format!("node {name} starts"));
        let at = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Ok(Node {
            name,
            front: at(front),
            ready: at(ready),
            door,
            process,
        })
    }

    /// Waits for a condition.
    pub fn until<F>(&self, what: &str, limit_ms: u64, condition: F) -> io::Result<()>
    where
        F: Fn(&Self) -> bool,
    {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < until {
            if condition(self) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(format!(
            "not within {limit_ms} ms: {what}"
        )))
    }

    /// Sends a client's request to a node. Returns the status and the body; status 0 without an answer.
    pub fn request(
        &self,
        node: usize,
        method: &str,
        job: &str,
        body: &str,
        deadline_ms: u64,
    ) -> (u16, String) {
        let node = &self.nodes[node];
        let path = format!("{PREFIX}{job}");
        let deadline = deadline_ms.to_string();
        let headers = [("host", HOST), ("x-deadline-ms", &deadline)];
        self.record
            .line(&format!("client: {method} {path} to {} {body}", node.name));
        let answer = http::call(node.front, method, &path, &headers, body, deadline_ms);
        let (status, text) = answer.unwrap_or((0, "no answer".into()));
        self.record
            .line(&format!("client: {method} {path}: {status} {text}"));
        (status, text)
    }

    /// Hands a job in, again while the answer says that it didn't run or tells nothing. Returns whether it was accepted.
    pub fn submit(&self, job: &str, body: &str) -> bool {
        (0..5).any(|attempt| {
            let node = attempt % self.nodes.len();
            let accepted = self.request(node, "POST", job, body, DEADLINE_MS).0 == 200;
            if !accepted {
                thread::sleep(Duration::from_millis(300));
            }
            accepted
        })
    }

    /// Returns the number of the node that wrote the duty last.
    pub fn leader(&self) -> io::Result<usize> {
        let of_duty = |number: &usize| self.nodes[*number].door.duty_at();
        (0..self.nodes.len())
            .filter(|number| of_duty(number).is_some())
            .max_by_key(of_duty)
            .ok_or_else(|| io::Error::other("no node leads"))
    }

    /// Returns the starts of a job's tasks.
    pub fn starts_of(&self, job: &str) -> Vec<Started> {
        let starts = self.starts.lock().unwrap();
        starts
            .iter()
            .filter(|start| start.task.starts_with(job))
            .cloned()
            .collect()
    }
}
