//! A TCP proxy that injects faults into the connections between two processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, tcp};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

use crate::ports;

/// Largest number of bytes forwarded in one write.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time from the last bytes of a connection to its end, in milliseconds.
const END_DELAY_MS: u64 = 20;
/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Attempts to bind a port again whose listener was closed: a child process holds the listener until it executes its program.
const BIND_ATTEMPTS: u32 = 100;
/// Pause between two such attempts, in milliseconds.
const BIND_PAUSE_MS: u64 = 5;

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
    /// Holds up the bytes of open connections until it ends, and drops those of a sender that resets its connection. New
    /// connections get nothing.
    pub partition: bool,
    /// Closes open connections, and new ones directly after accepting them.
    pub cut: bool,
    /// Resets open connections and refuses new ones, as a host on which nothing listens.
    pub refuse: bool,
    /// The target isn't there: its connections are reset and new ones refused. [`Proxy::set`] leaves this as it is.
    pub target_down: bool,
    /// Number of connections at which further ones are reset directly after they were accepted; absent for no limit. Open
    /// connections stay.
    pub connections_max: Option<usize>,
    /// Number of response bytes after which a connection is closed; absent for no limit.
    pub cut_after_bytes: Option<u64>,
}

impl Fault {
    /// Returns whether connections are reset and refused.
    fn refuses(&self) -> bool {
        self.refuse || self.target_down
    }
}

/// How the network between two processes fails.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// New connections are refused and open ones reset.
    Refuses,
    /// No bytes pass.
    BlackHole,
    /// Requests pass, and responses don't.
    OneWay,
}

impl Cut {
    /// Returns the fault of a proxy between the two.
    pub fn fault(self) -> Fault {
        let none = Fault::default();
        match self {
            Self::Refuses => Fault {
                refuse: true,
                ..none
            },
            Self::BlackHole => Fault {
                black_hole: true,
                ..none
            },
            Self::OneWay => Fault {
                one_way: true,
                ..none
            },
        }
    }
}

/// A running TCP proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), ports::take(1)?)).await?;
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

    /// Replaces the injected fault. Connections that were silenced stay so.
    pub fn set(&self, fault: Fault) {
        self.fault.send_modify(|current| {
            let silenced = current.silence_generation;
            *current = Fault {
                target_down: current.target_down,
                silence_generation: silenced.max(fault.silence_generation),
                ..fault
            };
        });
    }

    /// Sets whether the target is down, so that callers find its port as it is without the proxy.
    pub fn set_target_down(&self, target_down: bool) {
        self.fault.send_if_modified(|fault| {
            std::mem::replace(&mut fault.target_down, target_down) != target_down
        });
    }

    /// Blocks all open connections permanently.
    pub fn silence_open(&self) {
        self.fault
            .send_modify(|fault| fault.silence_generation += 1);
    }

    /// Stops the proxy and drops its connections.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task was aborted, so its result is ignored.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Proxies of several callers to one target.
#[derive(Debug)]
pub struct Group {
    proxies: Vec<Proxy>,
}

impl Group {
    /// Starts a proxy to `target` for each of `count` callers.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr, count: usize) -> io::Result<Self> {
        let mut proxies = Vec::new();
        for _ in 0..count {
            proxies.push(Proxy::start(target).await?);
        }
        Ok(Self { proxies })
    }

    /// Returns the proxy of a caller.
    pub fn of(&self, caller: usize) -> &Proxy {
        &self.proxies[caller]
    }

    /// Returns the proxies of all callers.
    pub fn all(&self) -> &[Proxy] {
        &self.proxies
    }

    /// Sets whether the target is down.
    pub fn set_target_down(&self, target_down: bool) {
        for proxy in &self.proxies {
            proxy.set_target_down(target_down);
        }
    }

    /// Replaces the faults injected for all callers.
    pub fn set(&self, fault: Fault) {
        for proxy in &self.proxies {
            proxy.set(fault);
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut fault: watch::Receiver<Fault>) {
    let mut connections = JoinSet::new();
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = listener;
    loop {
        let changes = fault.clone();
        tokio::select! {
            accepted = listener.accept() => {
                while connections.try_join_next().is_some() {}
                if let Ok((stream, _)) = accepted {
                    let connections_max = changes.borrow().connections_max;
                    if connections_max.is_some_and(|max| connections.len() >= max) {
                        // The close then sends a reset. If that can't be set, it still ends the connection.
                        let _ = stream.set_zero_linger();
                    } else {
                        connections.spawn(forward(stream, target, changes));
                    }
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            () = wait_until(&mut fault, Fault::refuses) => {
                drop(listener);
                match listen_after_refusals(address, &mut fault).await {
                    Ok(again) => listener = again,
                    Err(_) => return,
                }
            }
        }
    }
}

/// Refuses connections until the fault ends, then listens again.
///
/// # Errors
///
/// Returns an error if another process took the port.
async fn listen_after_refusals(
    address: SocketAddr,
    fault: &mut watch::Receiver<Fault>,
) -> io::Result<TcpListener> {
    // A bound socket that doesn't listen keeps the port, and the system refuses connections to it.
    let mut attempts = 0;
    let socket = loop {
        match bind(address) {
            Ok(socket) => break socket,
            Err(error) if attempts >= BIND_ATTEMPTS => return Err(error),
            Err(_) => attempts += 1,
        }
        time::sleep(Duration::from_millis(BIND_PAUSE_MS)).await;
    };
    wait_until(fault, |fault| !fault.refuses()).await;
    socket.listen(BACKLOG)
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn forward(caller: TcpStream, target: SocketAddr, mut fault: watch::Receiver<Fault>) {
    let initial_fault = *fault.borrow_and_update();
    if initial_fault.cut || initial_fault.refuses() {
        return;
    }
    if initial_fault.partition {
        wait_until(&mut fault, |fault| !fault.partition).await;
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // With Nagle's algorithm, small messages wait for the peer's acknowledgement.
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (mut caller, mut server) = (caller, server);
    let (caller_read, caller_write) = caller.split();
    let (server_read, server_write) = server.split();
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
    let is_reset = tokio::select! {
        () = async { tokio::join!(requests.pump(), responses.pump()); } => false,
        () = wait_until(&mut fault, |fault| fault.cut || fault.refuses()) => fault.borrow().refuses(),
    };
    if is_reset {
        // Without lingering, the close sends a reset. If that can't be set, the close still ends the connection.
        let _ = (caller.set_zero_linger(), server.set_zero_linger());
    }
}

async fn wait_until<F>(fault: &mut watch::Receiver<Fault>, condition: F)
where
    F: FnMut(&Fault) -> bool,
{
    // The sender is dropped only with the proxy, which drops the connection as well.
    let _ = fault.wait_for(condition).await;
}

struct Direction<'a> {
    from: tcp::ReadHalf<'a>,
    to: tcp::WriteHalf<'a>,
    fault: watch::Receiver<Fault>,
    initial_fault: Fault,
    is_response: bool,
}

impl Direction<'_> {
    async fn pump(mut self) {
        self.forward().await;
        // A server that receives the end of the stream together with a request may not execute it.
        time::sleep(Duration::from_millis(END_DELAY_MS)).await;
        // The peer can have closed the connection already.
        let _ = self.to.shutdown().await;
    }

    async fn forward(&mut self) {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut passed_bytes = 0;
        loop {
            let Ok(count) = self.from.read(&mut buffer).await else {
                return;
            };
            if count == 0 {
                return;
            }
            self.wait_until_passable().await;
            if matches!(self.from.as_ref().take_error(), Ok(Some(_)) | Err(_)) {
                return;
            }
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
            let blocked = fault.black_hole || fault.partition || (fault.one_way && answers);
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
