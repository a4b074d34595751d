//! Ways on which the leader's commands reach the workers: its own connections, or a relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::task::JoinSet;
use wasabiloft::batch::connections::{Connection, Exchange};
use wasabiloft::batch::relays::Route;
use wasabiloft::batch::worker_state;
use wasabiloft::id;
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::worker;

use crate::batch::leadership;
use crate::batch::relay::link::{self, Link};
use crate::batch::relay::message::{self, Command, Failure, Response, Target};
use crate::clock;
use crate::log;

/// Relays that are tried for one command before the leader sends it itself.
const RELAYS_TRIED_MAX: u32 = 3;

/// Interval at which the response times of relays are compared, in milliseconds; short against the timeout of a command.
const MEASURE_INTERVAL_MS: u64 = 30;

/// A worker with its data centre, near which a relay is chosen.
#[derive(Clone, Debug)]
pub struct Recipient {
    /// The addressed incarnation of the worker.
    pub target: Target,
    /// Data centre of the worker's VM.
    pub data_centre: id::DataCentre,
}

impl Recipient {
    /// Creates the recipient of a registry entry.
    pub fn new(listing: &worker_state::Listing) -> Self {
        Self {
            target: Target {
                worker: listing.worker.clone(),
                address: listing.address,
            },
            data_centre: listing.data_centre.clone(),
        }
    }
}

enum Channel {
    Direct(Arc<worker::Worker>),
    Relay(Arc<Link>),
}

#[derive(Default)]
struct Connections {
    direct: HashMap<id::Worker, Arc<worker::Worker>>,
    relays: HashMap<SocketAddr, Arc<Link>>,
    measured_at: wasabiloft::clock::Instant,
    links: JoinSet<()>,
}

/// The channels to all workers.
pub struct Channels {
    leadership: Arc<leadership::Leadership>,
    connections: Mutex<Connections>,
}

impl Channels {
    /// Creates channels without any connection.
    pub fn new(leadership: Arc<leadership::Leadership>) -> Self {
        Self {
            leadership,
            connections: Mutex::default(),
        }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a command to a worker once.
    ///
    /// # Errors
    ///
    /// Fails if no usable response arrives; [`Failure::verdict`] says whether the command can have had an effect.
    pub async fn call(
        &self,
        recipient: &Recipient,
        mut command: Command,
        timeout_ms: u64,
    ) -> Result<Response, Failure> {
        if !self.leadership.may_act() {
            match &mut command {
                Command::Poll(poll) => poll.until_ms = None,
                Command::Start { .. } | Command::Stop { .. } | Command::Pace { .. } => {
                    return Err(Failure {
                        verdict: Verdict::NotRun,
                        disconnected: false,
                        reason: "the leader has no authority".into(),
                    });
                }
            }
        }
        let worker = &recipient.target.worker;
        let connection = match &command {
            Command::Poll(poll) => poll.connection,
            Command::Start { .. } | Command::Stop { .. } | Command::Pace { .. } => {
                self.leadership.scheduler().command_connection(worker)
            }
        };
        let outcome = self.send(recipient, command, timeout_ms, connection).await;
        let exchange = match &outcome {
            Ok(_) => Exchange::Answered,
            Err(failure) if failure.disconnected => Exchange::Disconnected,
            Err(_) => Exchange::Unanswered,
        };
        let now = clock::since_boot();
        let mut scheduler = self.leadership.scheduler();
        scheduler.connection_used(worker, connection, exchange, now);
        drop(scheduler);
        outcome
    }

    async fn send(
        &self,
        recipient: &Recipient,
        mut command: Command,
        timeout_ms: u64,
        connection: Connection,
    ) -> Result<Response, Failure> {
        let epoch = self.leadership.epoch;
        match self.channel(recipient) {
            Channel::Direct(client) => {
                message::execute(&client, &command, epoch, timeout_ms, connection).await
            }
            Channel::Relay(link) => {
                if let Command::Start { task, text, .. } = &mut command
                    && (!self.leadership.relays().sends_texts() || !link.is_first_start(task.job))
                {
                    *text = None;
                }
                let target = recipient.target.clone();
                link.call(target, command, epoch, timeout_ms, connection)
                    .await
            }
        }
    }

    /// Forgets a worker whose incarnation has ended.
    pub fn forget(&self, worker: &id::Worker) {
        self.connections().direct.remove(worker);
        self.leadership.relays().remove(worker);
    }

    /// Closes the connections to all relays.
    pub async fn end(&self) {
        let mut links = std::mem::take(&mut self.connections().links);
        links.shutdown().await;
    }

    /// Compares the response times of all relays and bypasses slow ones.
    fn measure(&self, connections: &Connections, now: wasabiloft::clock::Instant) {
        let response_times: Vec<(SocketAddr, u64)> = connections
            .relays
            .iter()
            .filter(|(_, link)| !link.failed.is_cancelled())
            .map(|(address, link)| (*address, link.response_ms(now)))
            .collect();
        let own_delay_ms = self.leadership.meter.delay_ms();
        let bypassed = self
            .leadership
            .relays()
            .measured(&response_times, own_delay_ms, now);
        for address in bypassed {
            let response_ms = response_times
                .iter()
                .find(|(measured, _)| *measured == address)
                .map_or(0, |(_, ms)| *ms);
            metrics::counter!("wasabiloft_relays_bypassed_total").increment(1);
            log::info(
                "relay",
                &format!(
                    "bypassed address={address} response_ms={response_ms} own_delay_ms={own_delay_ms}"
                ),
            );
        }
    }

    fn channel(&self, recipient: &Recipient) -> Channel {
        let now = clock::since_boot();
        let worker = &recipient.target.worker;
        let mut connections = self.connections();
        if now.since_ms(connections.measured_at) >= MEASURE_INTERVAL_MS {
            connections.measured_at = now;
            self.measure(&connections, now);
        }
        for _ in 0..RELAYS_TRIED_MAX {
            let mut relays = self.leadership.relays();
            let Route::Relay(address) = relays.route(worker, &recipient.data_centre, now) else {
                break;
            };
            match connections.relays.get(&address) {
                Some(link) if link.failed.is_cancelled() || link.stopping.is_cancelled() => {
                    relays.failed(address, now);
                    connections.relays.remove(&address);
                }
                Some(link) => {
                    let link = Arc::clone(link);
                    connections.direct.remove(worker);
                    return Channel::Relay(link);
                }
                None => {
                    connections.direct.remove(worker);
                    return Channel::Relay(connections.connect(address));
                }
            }
        }
        let client = connections.direct.entry(worker.clone()).or_insert_with(|| {
            let address = recipient.target.address;
            Arc::new(worker::Worker::new(worker.clone(), address))
        });
        Channel::Direct(Arc::clone(client))
    }
}

impl Connections {
    fn connect(&mut self, address: SocketAddr) -> Arc<Link> {
        while self.links.try_join_next().is_some() {}
        let (link, queue) = Link::new();
        self.relays.insert(address, Arc::clone(&link));
        log::info("relay", &format!("used address={address}"));
        self.links.spawn({
            let link = Arc::clone(&link);
            async move {
                let reason = link::run(link, address, queue).await;
                metrics::counter!("wasabiloft_relays_lost_total").increment(1);
                log::info("relay", &format!("lost address={address} reason={reason}"));
            }
        });
        link
    }
}
