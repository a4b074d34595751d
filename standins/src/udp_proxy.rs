//! A UDP proxy that injects faults into the links between nodes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

/// Size of the receive buffer, in bytes; no datagram is larger.
const DATAGRAM_MAX_BYTES: usize = 65_536;

/// Fault that the proxy injects into datagrams, in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Longest random delay of a datagram, in milliseconds; the delays reorder datagrams.
    pub jitter_ms: u64,
    /// Share of datagrams that are dropped, 0 to 1.
    pub drop: f64,
    /// Share of datagrams that are sent twice, 0 to 1.
    pub duplicate: f64,
    /// Drops all datagrams.
    pub black_hole: bool,
    /// Increasing it blocks the open flows permanently; new flows work.
    pub silence_generation: u64,
}

/// A running UDP proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a port that the system assigns. `seed` determines the random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind((target.ip(), 0)).await?;
        let address = socket.local_addr()?;
        let (fault, changes) = watch::channel(Fault::default());
        let relay = Relay {
            socket: Arc::new(socket),
            target,
            fault: changes,
            flows: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let task = tokio::spawn(relay.run());
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

    /// Blocks all open flows permanently.
    pub fn silence_open(&self) {
        self.fault
            .send_modify(|fault| fault.silence_generation += 1);
    }

    /// Stops the proxy.
    pub async fn stop(self) {
        self.task.abort();
        // The task was aborted, so its result is ignored.
        let _ = self.task.await;
    }
}

/// The datagrams of one sender, sent to the target from a separate port.
struct Flow {
    socket: Arc<UdpSocket>,
    initial_generation: u64,
}

struct Relay {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    fault: watch::Receiver<Fault>,
    flows: HashMap<SocketAddr, Flow>,
    rng: SmallRng,
}

impl Relay {
    async fn run(mut self) {
        let mut tasks = JoinSet::new();
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((count, sender)) = received {
                        self.forward(&buffer[..count], sender, &mut tasks).await;
                    }
                }
                _ = tasks.join_next(), if !tasks.is_empty() => {}
            }
        }
    }

    async fn forward(&mut self, datagram: &[u8], sender: SocketAddr, tasks: &mut JoinSet<()>) {
        let Some(flow) = self.flow(sender, tasks).await else {
            return;
        };
        let (socket, initial_generation) = (Arc::clone(&flow.socket), flow.initial_generation);
        let fault = *self.fault.borrow();
        for delay in copy_delays(fault, initial_generation, &mut self.rng) {
            let socket = Arc::clone(&socket);
            let datagram = datagram.to_vec();
            let target = self.target;
            tasks.spawn(async move {
                time::sleep(delay).await;
                // UDP permits the loss of a datagram.
                let _ = socket.send_to(&datagram, target).await;
            });
        }
    }

    async fn flow(&mut self, sender: SocketAddr, tasks: &mut JoinSet<()>) -> Option<&Flow> {
        if !self.flows.contains_key(&sender) {
            let socket = UdpSocket::bind((self.target.ip(), 0)).await.ok()?;
            let flow = Flow {
                socket: Arc::new(socket),
                initial_generation: self.fault.borrow().silence_generation,
            };
            let return_path = ReturnPath {
                from: Arc::clone(&flow.socket),
                to: Arc::clone(&self.socket),
                sender,
                fault: self.fault.clone(),
                initial_generation: flow.initial_generation,
                rng: SmallRng::seed_from_u64(self.rng.random()),
            };
            tasks.spawn(return_path.run());
            self.flows.insert(sender, flow);
        }
        self.flows.get(&sender)
    }
}

/// Forwards the target's datagrams of a flow to the flow's sender.
struct ReturnPath {
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    sender: SocketAddr,
    fault: watch::Receiver<Fault>,
    initial_generation: u64,
    rng: SmallRng,
}

impl ReturnPath {
    async fn run(mut self) {
        let mut delayed = JoinSet::new();
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                received = self.from.recv(&mut buffer) => {
                    if let Ok(count) = received {
                        self.forward(&buffer[..count], &mut delayed);
                    }
                }
                _ = delayed.join_next(), if !delayed.is_empty() => {}
            }
        }
    }

    fn forward(&mut self, datagram: &[u8], delayed: &mut JoinSet<()>) {
        let fault = *self.fault.borrow();
        for delay in copy_delays(fault, self.initial_generation, &mut self.rng) {
            let socket = Arc::clone(&self.to);
            let datagram = datagram.to_vec();
            let sender = self.sender;
            delayed.spawn(async move {
                time::sleep(delay).await;
                // UDP permits the loss of a datagram.
                let _ = socket.send_to(&datagram, sender).await;
            });
        }
    }
}

/// Returns the delay of each copy of a datagram to send; empty if the datagram is dropped.
fn copy_delays(fault: Fault, initial_generation: u64, rng: &mut SmallRng) -> Vec<Duration> {
    let silent = fault.black_hole || fault.silence_generation != initial_generation;
    if silent || rng.random::<f64>() < fault.drop {
        return Vec::new();
    }
    let count = match rng.random::<f64>() < fault.duplicate {
        true => 2,
        false => 1,
    };
    (0..count)
        .map(|_| Duration::from_millis(rng.random_range(0..=fault.jitter_ms)))
        .collect()
}
