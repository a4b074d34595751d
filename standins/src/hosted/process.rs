//! Runs the daemon as a child process: writes its settings, assigns its addresses and sends it signals.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::ports;

/// Ports reserved for the links between nodes; the daemon uses two of them.
const PEER_PORTS: u16 = 4;

/// Addresses of the platform that a node connects to.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the machine API; absent if the platform has none.
    pub machines: Option<SocketAddr>,
    /// Bandwidth that the nodes' settings state for their links, in kbit/s.
    pub link_kbit_per_s: u64,
    /// Time for which the state of an ended job can be queried, in milliseconds.
    pub job_status_ms: u64,
}

/// A running daemon. Dropping it kills the process.
#[derive(Debug)]
pub struct Node {
    /// The child process.
    pub process: Child,
    /// Address that serves callers.
    pub address: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    /// Address at which other nodes reach it.
    pub peers: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: SocketAddr,
    daemon: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Whether other nodes couldn't reach it at the last check.
    was_down: bool,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process can have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(daemon: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    // Until it executes the daemon, a child holds the ports that another thread probes.
    let _probing = ports::hold();
    Command::new(daemon)
        .args(["--platform", "--config"])
        .arg(settings)
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()
}

impl Node {
    /// Starts a daemon whose settings and log lie in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written, no ports are free, or the program can't be started.
    pub fn start(
        daemon: &Path,
        folder: &Path,
        number: usize,
        platform: Platform,
    ) -> io::Result<Self> {
        let first = ports::take(PEER_PORTS)?;
        let (front, ready) = (ports::take(1)?, ports::take(1)?);
        let machines = platform.machines.map_or(String::new(), |address| {
            format!("[cloud]\naddress = \"{address}\"\nratePerS = 64.0\ndutyPerS = 64.0\n")
        });
        let text = format!(
            "nodeName = \"node-{number}\"\nip = \"127.0.0.1\"\nzone = \"andes\"\n\
             internalPorts = [{first},{}]\n[listen]\nfront = \"127.0.0.1:{front}\"\n\
             ready = \"127.0.0.1:{ready}\"\n[bounds]\nupkeepS = 0.8\nstatus_s = {}\n[limits]\nlinkMbps = {}\n\
             [platform]\naddress = \"{}\"\n{machines}",
            first + PEER_PORTS - 1,
            platform.job_status_ms as f64 / 1_000.0,
            platform.link_kbit_per_s as f64 / 1_000.0,
            platform.store
        );
        let settings = folder.join(format!("node-{number}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("node-{number}.log"));
        Ok(Self {
            process: spawn(daemon, &settings, &log)?,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, front)),
            ready: SocketAddr::from((Ipv4Addr::LOCALHOST, ready)),
            peers: SocketAddr::from((Ipv4Addr::LOCALHOST, first)),
            metrics: SocketAddr::from((Ipv4Addr::LOCALHOST, first + 1)),
            was_down: true,
            daemon: daemon.to_owned(),
            settings,
            log,
        })
    }

    /// Starts the daemon again at the same addresses; the previous process must have exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = spawn(&self.daemon, &self.settings, &self.log)?;
        Ok(())
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&mut self, signal: Signal) {
        if self.has_exited() {
            return;
        }
        let pid = i32::try_from(self.process.id())
            .ok()
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process can exit between the check and the signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// Returns whether other nodes get their connections refused: the process has exited, or doesn't listen yet.
    pub fn is_down(&mut self) -> bool {
        // A process that listens does so until it exits.
        self.was_down =
            self.has_exited() || self.was_down && TcpStream::connect(self.peers).is_err();
        self.was_down
    }

    /// Returns the contents of the daemon's log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(&self.log)
    }
}
