//! A TCP proxy that injects faults into the connections between two processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

/// Largest number of bytes forwarded in one write.
const CHUNK_BYTES: usize = 16 * 1024;

/// Fault that the proxy injects into connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Delay of each chunk in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Increasing it blocks the open connections permanently; new connections work.
    pub silence_generation: u64,
    /// Forwards requests and blocks responses.
    pub one_way: bool,
    /// Forwards nothing in either direction; new connections are accepted but get no data.
    pub black_hole: bool,
    /// Closes open connections, and new ones directly after accepting them.
    pub cut: bool,
    /// Number of response bytes after which a connection is closed; absent for no limit.
    pub cut_after_bytes: Option<u64>,
}

/// A running TCP proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a port that the system assigns.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (fault, changes) = watch::channel(Fault::default());
        let task = tokio::spawn(accept(listener, target, changes));
        Ok(Self {
            address,
            fault,
            task,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected fault.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Blocks all open connections permanently.
    pub fn silence_open(&self) {
        self.fault
            .send_modify(|fault| fault.silence_generation += 1);
    }

    /// Stops the proxy and drops its connections.
    pub async fn stop(self) {
        self.task.abort();
        // The task was aborted, so its result is ignored.
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, fault: watch::Receiver<Fault>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(forward(stream, target, fault.clone()));
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, mut fault: watch::Receiver<Fault>) {
    let initial_fault = *fault.borrow_and_update();
    if initial_fault.cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // With Nagle's algorithm, small messages wait for the peer's acknowledgement.
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = Direction {
        from: caller_read,
        to: server_write,
        fault: fault.clone(),
        initial_fault,
        is_response: false,
    };
    let responses = Direction {
        from: server_read,
        to: caller_write,
        fault: fault.clone(),
        initial_fault,
        is_response: true,
    };
    tokio::select! {
        () = async { tokio::join!(requests.pump(), responses.pump()); } => {}
        () = wait_until_cut(&mut fault) => {}
    }
}

async fn wait_until_cut(fault: &mut watch::Receiver<Fault>) {
    // The sender is dropped only with the proxy, which drops the connection as well.
    let _ = fault.wait_for(|fault| fault.cut).await;
}

struct Direction {
    from: tcp::OwnedReadHalf,
    to: tcp::OwnedWriteHalf,
    fault: watch::Receiver<Fault>,
    initial_fault: Fault,
    is_response: bool,
}

impl Direction {
    async fn pump(mut self) {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut passed_bytes = 0;
        loop {
            let Ok(count) = self.from.read(&mut buffer).await else {
                return;
            };
            if count == 0 {
                // The peer can have closed the connection already.
                let _ = self.to.shutdown().await;
                return;
            }
            self.wait_until_passable().await;
            let allowed = self.allowed(passed_bytes, count);
            if self.to.write_all(&buffer[..allowed]).await.is_err() || allowed < count {
                return;
            }
            passed_bytes += count as u64;
        }
    }

    async fn wait_until_passable(&mut self) {
        let initial_fault = self.initial_fault;
        let answers = self.is_response;
        let passes = |fault: &Fault| {
            let blocked = fault.black_hole || (fault.one_way && answers);
            !blocked && fault.silence_generation == initial_fault.silence_generation
        };
        // The sender is dropped only with the proxy, which drops the connection as well.
        let _ = self.fault.wait_for(passes).await;
        let delay_ms = self.fault.borrow().delay_ms;
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn allowed(&self, passed_bytes: u64, count: usize) -> usize {
        match self.fault.borrow().cut_after_bytes {
            Some(limit_bytes) if self.is_response => {
                let remaining_bytes = limit_bytes.saturating_sub(passed_bytes);
                count.min(usize::try_from(remaining_bytes).unwrap_or(count))
            }
            _ => count,
        }
    }
}
