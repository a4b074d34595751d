//! A deployment of real `wasabiloftd` processes, eight in the fault tests. Each has one proxy for its callers and one
//! for the platform. The stand-in platform runs in the test's process.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rustix::process;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time;
use wasabiloft_standins::client;
use wasabiloft_standins::deployment;
use wasabiloft_standins::platform;
use wasabiloft_standins::proxy;

use crate::workdir;
use crate::workdir::Workdir;

/// Maximum time to wait for a state before the test fails, in seconds.
const WAIT_MAX_S: u64 = 60;
/// Interval between polls while waiting for a state, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Serialises the deployments, so that each one has all of the machine's cores.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// Entry node: its process and its proxies.
pub struct Node {
    child: Child,
    /// Proxy through which callers reach the node.
    pub entry: proxy::Proxy,
    /// Proxy through which the node reaches the platform.
    pub to_platform: proxy::Proxy,
    direct: SocketAddr,
}

impl Node {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: process::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id fits");
        let id = process::Pid::from_raw(id).expect("a process id is not zero");
        process::kill_process(id, signal).expect("the process is ours");
    }

    /// Waits for the process to exit. Returns true if it exited with success.
    pub async fn wait(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(WAIT_MAX_S);
        loop {
            let ended = self.child.try_wait().expect("the process is ours");
            if let Some(status) = ended {
                return status.success();
            }
            assert!(Instant::now() < until, "the process does not exit");
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Returns the address of the proxy for callers.
    pub fn address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Returns the listen address of the process itself, which bypasses the proxy.
    pub fn direct_address(&self) -> SocketAddr {
        self.direct
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process can have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Running deployment; holds the lock that serialises deployments.
pub struct Deployment {
    /// The stand-in platform.
    pub platform: platform::Platform,
    /// The entry nodes.
    pub nodes: Vec<Node>,
    /// Client for requests made by the test itself.
    pub client: client::Client,
    dir: PathBuf,
    work: Workdir,
    started: usize,
    _lock: MutexGuard<'static, ()>,
}

impl Deployment {
    /// Starts the platform and the entry nodes of an example, puts its documents in force and waits until all
    /// nodes are ready.
    pub async fn start(example: &str, nodes: usize) -> Self {
        let lock = DEPLOYMENT_LOCK.lock().await;
        let dir = workdir::repository("examples").join(example);
        let file = deployment::read(&dir).expect("the example is valid");
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = platform::Platform::start(any, &file, 1).await;
        let mut deployment = Self {
            platform: platform.expect("a port is free"),
            nodes: Vec::new(),
            client: client::Client::default(),
            dir,
            work: Workdir::create_empty(),
            started: 0,
            _lock: lock,
        };
        for _ in 0..nodes {
            let node = deployment.start_node().await;
            deployment.nodes.push(node);
        }
        deployment.apply_documents();
        deployment.wait_until_ready().await;
        deployment
    }

    /// Starts another entry node with a unique name.
    pub async fn start_node(&mut self) -> Node {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let made = self.work.run(&["keys", "--out", "tls", &name]);
        assert!(made.status.success(), "{made:?}");
        let to_platform = proxy::Proxy::start(self.platform.address()).await;
        let to_platform = to_platform.expect("a port is free");
        let settings = format!("{name}.toml");
        self.work
            .create(&settings, &settings_text(&name, to_platform.address()));
        let mut child = Command::new(daemon_path())
            .current_dir(self.work.path())
            .args(["--config", &settings])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let direct = first_address(&mut child);
        let entry = proxy::Proxy::start(direct).await.expect("a port is free");
        Node {
            child,
            entry,
            to_platform,
            direct,
        }
    }

    /// Returns the addresses of the nodes' proxies for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::address).collect()
    }

    /// Returns the documents of the example with their text.
    pub fn documents(&self) -> Vec<(String, wasabiloft::document::Document)> {
        deployment::read_documents(&self.dir).expect("the example is valid")
    }

    /// Waits until the endpoints have finished the given number of additional requests.
    pub async fn wait_for_requests(&self, requests: u64) {
        let goal = self.platform.report().endpoints.finished_total + requests;
        let until = Instant::now() + Duration::from_secs(WAIT_MAX_S);
        while self.platform.report().endpoints.finished_total < goal {
            assert!(Instant::now() < until, "no progress of requests");
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Waits until the first node shows all VMs.
    pub async fn wait_for_rows(&self) {
        let vms = self.platform.vms().len();
        let until = Instant::now() + Duration::from_secs(WAIT_MAX_S);
        while workdir::stdout(&self.run_command(&["vm"])).lines().count() < vms {
            assert!(Instant::now() < until, "the VMs are not listed in time");
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Runs a `wasabiloft` command against the first node.
    pub fn run_command(&self, args: &[&str]) -> std::process::Output {
        let node = self.nodes[0].direct_address().to_string();
        let mut all = args.to_vec();
        all.extend(["--node", &node]);
        self.work.run(&all)
    }

    /// Writes a file into the working directory of the commands.
    pub fn create(&self, name: &str, text: &str) {
        self.work.create(name, text);
    }

    fn apply_documents(&self) {
        let node = self.nodes[0].direct_address().to_string();
        let paths = deployment::document_paths(&self.dir).expect("the example is valid");
        let paths: Vec<_> = paths
            .iter()
            .map(|path| path.display().to_string())
            .collect();
        let mut args = vec!["apply", "--node", &node];
        args.extend(paths.iter().map(String::as_str));
        let until = Instant::now() + Duration::from_secs(WAIT_MAX_S);
        loop {
            let applied = self.work.run(&args);
            if applied.status.success() {
                return;
            }
            assert!(Instant::now() < until, "{applied:?}");
        }
    }

    /// Waits until every node reports that it is ready.
    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            self.wait_for_ready(node.direct_address(), true).await;
        }
    }

    /// Waits until a node's readiness equals `wanted`.
    pub async fn wait_for_ready(&self, address: SocketAddr, wanted: bool) {
        let until = Instant::now() + Duration::from_secs(WAIT_MAX_S);
        while self.is_ready(address).await != wanted {
            assert!(Instant::now() < until, "{address}: ready is not {wanted}");
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let answer = self
            .client
            .call(address, Method::GET, "/readyz", None::<&()>)
            .await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }
}

/// Returns the path of the daemon's executable, which is in the same folder as the command's.
fn daemon_path() -> PathBuf {
    let command = PathBuf::from(env!("CARGO_BIN_EXE_wasabiloft"));
    let daemon = command.with_file_name("wasabiloftd");
    assert!(
        daemon.exists(),
        "build the workspace first: cargo test --workspace"
    );
    daemon
}

fn settings_text(name: &str, platform: SocketAddr) -> String {
    format!(
        "name = \"{name}\"\n\
         data_centre = \"santiago\"\n\
         listen = \"127.0.0.1:0\"\n\
         peer_listen = \"127.0.0.1:0\"\n\
         platform = \"{platform}\"\n\
         [tls]\n\
         authority = \"tls/authority.pem\"\n\
         certificate = \"tls/{name}.pem\"\n\
         key = \"tls/{name}-key.pem\"\n"
    )
}

/// Returns the address that a daemon prints, skipping the lines of its log.
fn first_address(child: &mut Child) -> SocketAddr {
    let stdout = child.stdout.take().expect("the output is piped");
    let mut lines = BufReader::new(stdout).lines();
    let address = loop {
        let line = lines.next().expect("the daemon prints its address");
        let line = line.expect("the output is text");
        if let Ok(address) = line.trim().parse() {
            break address;
        }
    };
    // Reads the remaining output, so that the daemon never blocks on a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    address
}
