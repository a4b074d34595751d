//! Links between nodes: QUIC with mutual TLS, one connection for each direction of a pair.
//!
//! A message is sent at most once and can be lost; every component repeats what it needs. A connection without
//! traffic is replaced by one from a new local port, because a device on the path can have lost its state for the old
//! one.

mod inbound;
mod link;
pub mod tls;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wasabiloft::drain;
use wasabiloft::id;
use wasabiloft::idempotency;
use wasabiloft::peers;
use wasabiloft::roster;
use wasabiloft::slots;

/// Capacity of the queue of messages to one peer; further ones are dropped.
const QUEUE_MAX: usize = 1_024;

/// A message between nodes; each component has its variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on each connection: the dialling node and the address where it listens.
    Hello(roster::Member),
    /// Heartbeats and configuration.
    Control(peers::Message),
    /// Claims of idempotency keys.
    Keys(idempotency::message::Message),
    /// Drains of VMs, with the nodes' reports.
    Drain(drain::Message),
    /// Slots of one service's runners.
    Slots(id::Service, slots::Message),
}

/// A message with its sender.
#[derive(Clone, Debug)]
pub struct Incoming<M> {
    /// The node that sent it.
    pub from: roster::NodeId,
    /// The message's content, of the receiving component's type.
    pub message: M,
}

/// The inboxes of the components; a message to a full inbox is dropped and counted.
#[derive(Clone, Debug)]
pub struct Inboxes {
    /// Heartbeats and configuration, for the control component.
    pub control: mpsc::Sender<Incoming<peers::Message>>,
    /// Claims of idempotency keys.
    pub keys: mpsc::Sender<Incoming<idempotency::message::Message>>,
    /// Drains of VMs.
    pub drains: mpsc::Sender<Incoming<drain::Message>>,
    /// Slots, each message with its service.
    pub slots: mpsc::Sender<Incoming<(id::Service, slots::Message)>>,
}

impl Inboxes {
    fn deliver(&self, from: &roster::NodeId, message: Message) {
        let from = from.clone();
        let delivered = match message {
            Message::Hello(_) => true,
            Message::Control(message) => self.control.try_send(Incoming { from, message }).is_ok(),
            Message::Keys(message) => self.keys.try_send(Incoming { from, message }).is_ok(),
            Message::Drain(message) => self.drains.try_send(Incoming { from, message }).is_ok(),
            Message::Slots(service, message) => {
                let message = (service, message);
                self.slots.try_send(Incoming { from, message }).is_ok()
            }
        };
        if !delivered {
            count_lost("inbox-full");
        }
    }
}

fn count_lost(reason: &'static str) {
    metrics::counter!("wasabiloft_peer_messages_lost_total", "reason" => reason).increment(1);
}

/// Holds the links of a node to its peers.
#[derive(Debug)]
pub struct Links {
    me: roster::Member,
    config: Option<tls::Config>,
    stop: CancellationToken,
    state: Mutex<State>,
}

/// The peers' addresses and the sending tasks.
#[derive(Debug, Default)]
struct State {
    addresses: HashMap<id::Node, SocketAddr>,
    links: HashMap<id::Node, (SocketAddr, mpsc::Sender<Message>)>,
    tasks: JoinSet<()>,
    idle_ms: u64,
}

impl Links {
    /// Returns this node's entry in the roster.
    pub fn me(&self) -> &roster::Member {
        &self.me
    }

    /// Creates the links and spawns the task that accepts connections into `tasks`.
    ///
    /// Without keys there are no links: no connection is accepted, and messages to peers are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be used.
    pub fn start(
        me: roster::Member,
        config: Option<tls::Config>,
        socket: std::net::UdpSocket,
        inboxes: Inboxes,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<Arc<Self>> {
        let stop = CancellationToken::new();
        let links = Arc::new(Self {
            me,
            config,
            stop,
            state: Mutex::default(),
        });
        links.lock().idle_ms = link::IDLE_MIN_MS;
        if let Some(config) = &links.config {
            let runtime = Arc::new(quinn::TokioRuntime);
            let server = config.server(inbound::IDLE_MS);
            let endpoint = quinn::Endpoint::new(
                quinn::EndpointConfig::default(),
                Some(server),
                socket,
                runtime,
            )?;
            tasks.spawn(inbound::accept(endpoint, Arc::clone(&links), inboxes));
        }
        Ok(links)
    }

    /// Stores the addresses of a roster's members; a connection without traffic is closed after `idle_ms`.
    pub fn set_roster(&self, roster: &roster::Roster, idle_ms: u64) {
        let mut state = self.lock();
        state.idle_ms = idle_ms.max(link::IDLE_MIN_MS);
        for member in &roster.members {
            state
                .addresses
                .insert(member.id.node.clone(), member.address);
        }
    }

    /// Sets the address of a node, until a roster or the node's own hello replaces it.
    pub fn set_address(&self, node: &id::Node, address: SocketAddr) {
        self.lock().addresses.insert(node.clone(), address);
    }

    /// Queues a message to a node; drops it if the node's address is unknown or its queue is full.
    pub fn send(&self, to: &id::Node, message: Message) {
        let Some(config) = &self.config else {
            return;
        };
        let mut state = self.lock();
        let Some(address) = state.addresses.get(to).copied() else {
            count_lost("address-unknown");
            return;
        };
        let known = state.links.get(to).filter(|(linked, _)| *linked == address);
        let queue = match known {
            Some((_, queue)) => queue.clone(),
            None => {
                let (queue, messages) = mpsc::channel(QUEUE_MAX);
                let dialer = link::Dialer {
                    me: self.me.clone(),
                    to: to.clone(),
                    address,
                    config: config.clone(),
                    idle_ms: state.idle_ms,
                };
                state
                    .tasks
                    .spawn(link::run(dialer, messages, self.stop.clone()));
                state.links.insert(to.clone(), (address, queue.clone()));
                queue
            }
        };
        if queue.try_send(message).is_err() {
            count_lost("queue-full");
        }
    }

    /// Closes all connections and joins the tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        let mut tasks = {
            let mut state = self.lock();
            state.links.clear();
            std::mem::take(&mut state.tasks)
        };
        while tasks.join_next().await.is_some() {}
    }

    fn learn_address(&self, member: &roster::Member) {
        self.set_address(&member.id.node, member.address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
