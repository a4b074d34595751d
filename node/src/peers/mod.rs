//! Links between nodes: QUIC with mutual TLS, one connection for each direction of a pair.
//!
//! A message is sent at most once and may be lost; every slice repeats what it needs. A connection that goes silent
//! is replaced by one from a new local port, since something on the way may have lost track of the old one.

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

/// Messages that may wait for one peer.
const QUEUE_MAX: usize = 1_024;

/// Everything that nodes tell each other; each slice has its variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first on each connection: who dials, and where it listens.
    Hello(roster::Member),
    /// Heartbeats and configuration.
    Control(peers::Message),
    /// Idempotency keys.
    Keys(idempotency::message::Message),
    /// Drains of VMs.
    Drain(drain::Message),
    /// Slots of a service's runners.
    Slots(id::Service, slots::Message),
}

/// A message with its sender.
#[derive(Clone, Debug)]
pub struct Incoming<M> {
    /// The node that sent it.
    pub from: roster::NodeId,
    /// The message.
    pub message: M,
}

/// Where incoming messages go, by slice; a full inbox loses messages.
#[derive(Clone, Debug)]
pub struct Inboxes {
    /// For the control part.
    pub control: mpsc::Sender<Incoming<peers::Message>>,
    /// For idempotency keys.
    pub keys: mpsc::Sender<Incoming<idempotency::message::Message>>,
    /// For drains of VMs.
    pub drains: mpsc::Sender<Incoming<drain::Message>>,
    /// For slots.
    pub slots: mpsc::Sender<Incoming<(id::Service, slots::Message)>>,
}

impl Inboxes {
    fn put(&self, from: &roster::NodeId, message: Message) {
        let from = from.clone();
        let kept = match message {
            Message::Hello(_) => true,
            Message::Control(message) => self.control.try_send(Incoming { from, message }).is_ok(),
            Message::Keys(message) => self.keys.try_send(Incoming { from, message }).is_ok(),
            Message::Drain(message) => self.drains.try_send(Incoming { from, message }).is_ok(),
            Message::Slots(service, message) => {
                let message = (service, message);
                self.slots.try_send(Incoming { from, message }).is_ok()
            }
        };
        if !kept {
            lost("inbox-full");
        }
    }
}

fn lost(reason: &'static str) {
    metrics::counter!("wasabiloft_peer_messages_lost_total", "reason" => reason).increment(1);
}

/// The links of a node.
#[derive(Debug)]
pub struct Links {
    me: roster::Member,
    config: Option<tls::Config>,
    stop: CancellationToken,
    book: Mutex<Book>,
}

/// Addresses and the tasks that send.
#[derive(Debug, Default)]
struct Book {
    addresses: HashMap<id::Node, SocketAddr>,
    links: HashMap<id::Node, (SocketAddr, mpsc::Sender<Message>)>,
    tasks: JoinSet<()>,
    idle_ms: u64,
}

impl Links {
    /// This node.
    pub fn me(&self) -> &roster::Member {
        &self.me
    }

    /// Starts to accept connections and returns the links with the task that accepts.
    ///
    /// Without keys there are no links: nothing is accepted, and what is sent is lost.
    ///
    /// # Errors
    ///
    /// If the socket can't be used.
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
            book: Mutex::default(),
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

    /// Takes the addresses of a roster; a silent connection is given up after `idle_ms`.
    pub fn set_roster(&self, roster: &roster::Roster, idle_ms: u64) {
        let mut book = self.lock();
        book.idle_ms = idle_ms.max(link::IDLE_MIN_MS);
        for member in &roster.members {
            book.addresses
                .insert(member.id.node.clone(), member.address);
        }
    }

    /// Sets where a node listens, until a roster or the node itself says otherwise.
    pub fn set_address(&self, node: &id::Node, address: SocketAddr) {
        self.lock().addresses.insert(node.clone(), address);
    }

    /// Queues a message for a node; it is lost if the node's address is unknown or its queue is full.
    pub fn send(&self, to: &id::Node, message: Message) {
        let Some(config) = &self.config else {
            return;
        };
        let mut book = self.lock();
        let Some(address) = book.addresses.get(to).copied() else {
            lost("address-unknown");
            return;
        };
        let known = book.links.get(to).filter(|(linked, _)| *linked == address);
        let queue = match known {
            Some((_, queue)) => queue.clone(),
            None => {
                let (queue, messages) = mpsc::channel(QUEUE_MAX);
                let dialer = link::Dialer {
                    me: self.me.clone(),
                    to: to.clone(),
                    address,
                    config: config.clone(),
                    idle_ms: book.idle_ms,
                };
                book.tasks
                    .spawn(link::run(dialer, messages, self.stop.clone()));
                book.links.insert(to.clone(), (address, queue.clone()));
                queue
            }
        };
        if queue.try_send(message).is_err() {
            lost("queue-full");
        }
    }

    /// Closes all connections and joins the tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        let mut tasks = {
            let mut book = self.lock();
            book.links.clear();
            std::mem::take(&mut book.tasks)
        };
        while tasks.join_next().await.is_some() {}
    }

    fn meet(&self, member: &roster::Member) {
        self.set_address(&member.id.node, member.address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
