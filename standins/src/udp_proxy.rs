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

/// The largest datagram.
const DATAGRAM_MAX_BYTES: usize = 65_536;

/// What the proxy does to datagrams, each way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Held back by up to so much, which reorders them, in milliseconds.
    pub jitter_ms: u64,
    /// Share that is dropped, 0 to 1.
    pub drop: f64,
    /// Share that is passed on twice, 0 to 1.
    pub duplicate: f64,
    /// Nothing passes.
    pub black_hole: bool,
    /// Flows that are open when this is raised go silent for good; new ones work.
    pub silence_generation: u64,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a port of the system's choice.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Lets all open flows go silent for good.
    pub fn silence_open(&self) {
        self.fault
            .send_modify(|fault| fault.silence_generation += 1);
    }

    /// Ends it.
    pub async fn stop(self) {
        self.task.abort();
        // The task was told to end; how it ended is of no interest.
        let _ = self.task.await;
    }
}

/// The datagrams of one sender, under an own port towards the target.
struct Flow {
    socket: Arc<UdpSocket>,
    born: u64,
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
                        self.pass(&buffer[..count], sender, &mut tasks).await;
                    }
                }
                _ = tasks.join_next(), if !tasks.is_empty() => {}
            }
        }
    }

    async fn pass(&mut self, datagram: &[u8], sender: SocketAddr, tasks: &mut JoinSet<()>) {
        let Some(flow) = self.flow(sender, tasks).await else {
            return;
        };
        let (socket, born) = (Arc::clone(&flow.socket), flow.born);
        let fault = *self.fault.borrow();
        for delay in copies(fault, born, &mut self.rng) {
            let socket = Arc::clone(&socket);
            let datagram = datagram.to_vec();
            let target = self.target;
            tasks.spawn(async move {
                time::sleep(delay).await;
                // A lost datagram is what UDP allows.
                let _ = socket.send_to(&datagram, target).await;
            });
        }
    }

    async fn flow(&mut self, sender: SocketAddr, tasks: &mut JoinSet<()>) -> Option<&Flow> {
        if !self.flows.contains_key(&sender) {
            let socket = UdpSocket::bind((self.target.ip(), 0)).await.ok()?;
            let flow = Flow {
                socket: Arc::new(socket),
                born: self.fault.borrow().silence_generation,
            };
            let back = Back {
                from: Arc::clone(&flow.socket),
                to: Arc::clone(&self.socket),
                sender,
                fault: self.fault.clone(),
                born: flow.born,
                rng: SmallRng::seed_from_u64(self.rng.random()),
            };
            tasks.spawn(back.run());
            self.flows.insert(sender, flow);
        }
        self.flows.get(&sender)
    }
}

/// The way back of a flow.
struct Back {
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    sender: SocketAddr,
    fault: watch::Receiver<Fault>,
    born: u64,
    rng: SmallRng,
}

impl Back {
    async fn run(mut self) {
        let mut held = JoinSet::new();
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                received = self.from.recv(&mut buffer) => {
                    if let Ok(count) = received {
                        self.pass(&buffer[..count], &mut held);
                    }
                }
                _ = held.join_next(), if !held.is_empty() => {}
            }
        }
    }

    fn pass(&mut self, datagram: &[u8], held: &mut JoinSet<()>) {
        let fault = *self.fault.borrow();
        for delay in copies(fault, self.born, &mut self.rng) {
            let socket = Arc::clone(&self.to);
            let datagram = datagram.to_vec();
            let sender = self.sender;
            held.spawn(async move {
                time::sleep(delay).await;
                // A lost datagram is what UDP allows.
                let _ = socket.send_to(&datagram, sender).await;
            });
        }
    }
}

/// The delays of the copies of one datagram that are passed on.
fn copies(fault: Fault, born: u64, rng: &mut SmallRng) -> Vec<Duration> {
    let silent = fault.black_hole || fault.silence_generation != born;
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
