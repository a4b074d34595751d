//! Division of the workers among the nodes that send the leader's commands.
//!
//! Answers the load in which thousands of commands and reports a second exceed the processor or the link of the node
//! that leads the batch duty. All decisions stay with the leader; other nodes exchange the messages with the workers on
//! its behalf and pass them on in batches. A small fleet is commanded by the leader alone, so that no other node has to
//! be alive for it. Each service in its turn needs most of the fleet, so a leader for each service would carry the
//! same peak.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::clock;
use crate::id;

/// Processor time that the exchange of messages with one worker takes at full load, in thousandths of a core.
const EXCHANGE_CPU_MILLI: u64 = 1;
/// Processor time that deciding for one worker takes at full load, in millionths of a core.
const DECIDE_CPU_MICRO: u64 = 250;
/// Link bandwidth that the exchange of messages with one worker takes at full load, in kbit/s.
const EXCHANGE_KBIT_PER_S: u64 = 40;
/// Link bandwidth that the texts of the jobs of one worker take at full load, in kbit/s.
const TEXT_KBIT_PER_S: u64 = 40;
/// The leader spends at most one part in this many of its processor on deciding and on workers of its own.
const LEADER_CPU_SHARE: u64 = 2;
/// The leader's own workers take at most one part in this many of its link, which the store's feeds need.
const LEADER_LINK_SHARE: u64 = 16;
/// The texts of jobs take at most one part in this many of the leader's link.
const TEXT_LINK_SHARE: u64 = 4;
/// A relay spends at most one part in this many of its processor and of its link; it answers callers too.
const RELAY_SHARE: u64 = 4;
/// A node that was not heard from for this long gets no commands to relay, in milliseconds; three of the slowest
/// heartbeats.
const SILENT_MS: u64 = 6_000;
/// A node that failed as a relay is not used again for this long, in milliseconds; about the length of a pause.
const FAILED_PAUSE_MS: u64 = 3_000;

/// Minimum response time of a slow relay, in milliseconds: above the pauses of a busy relay with a small part of a core,
/// and below the timeout of a command (250 ms).
const SLOW_MIN_MS: u64 = 100;
/// A relay is slow if its response time is this multiple of the median of the other relays, and of the leader's own delay.
const SLOW_FACTOR: u64 = 4;
/// First and longest pause of a slow relay, in milliseconds; doubles each time, from a short stall to a slowdown of seconds.
const BYPASS_MS: (u64, u64) = (1_000, 8_000);

/// Relays fail together if they fail within this time, in milliseconds; a timeout and its margin.
const FAILED_TOGETHER_MS: u64 = 1_000;
/// Minimum number of relays that fail together for the leader's own link to be the likely cause.
const FAILED_TOGETHER_MIN: usize = 4;
/// Age above which a relay refuses a command, in milliseconds: the relay was suspended, and the worker can have
/// restarted since.
const STALE_MS: u64 = 1_000;

/// Part of the elapsed time by which the clocks of two nodes can drift apart, as a divisor.
const DRIFT_DIVISOR: u64 = 50;

/// The age of the frames of one connection, from clocks that no time setting changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameAge {
    /// Smallest difference of the clocks seen, in milliseconds, and when it was seen on the receiver's clock.
    baseline: Option<(i64, u64)>,
}

impl FrameAge {
    /// Returns whether a frame that was sent and received at these times, each on the clock of that node in
    /// milliseconds since boot, is too old for its commands to be sent.
    ///
    /// The first frame of a connection counts as new; its sender waits for the reply before it sends commands.
    pub fn is_stale(&mut self, sent_ms: u64, received_ms: u64) -> bool {
        let difference = received_ms.cast_signed() - sent_ms.cast_signed();
        let Some((baseline, at_ms)) = self.baseline else {
            self.baseline = Some((difference, received_ms));
            return false;
        };
        let drift = received_ms.saturating_sub(at_ms) / DRIFT_DIVISOR;
        let age_ms = difference - baseline - drift.cast_signed();
        if age_ms <= 0 {
            self.baseline = Some((difference, received_ms));
        }
        age_ms > STALE_MS.cast_signed()
    }
}

/// The resources of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strength {
    /// Data centre of the node.
    pub data_centre: id::DataCentre,
    /// CPU that the node may use, in thousandths of a core.
    pub cpu_milli: u64,
    /// Bandwidth of the node's link, in kbit/s.
    pub link_kbit_per_s: u64,
}

impl Strength {
    fn relayed_max(&self) -> usize {
        let by_cpu = self.cpu_milli / RELAY_SHARE / EXCHANGE_CPU_MILLI;
        let by_link = self.link_kbit_per_s / RELAY_SHARE / EXCHANGE_KBIT_PER_S;
        usize::try_from(by_cpu.min(by_link)).unwrap_or(usize::MAX)
    }

    /// Returns how many of `workers` the leader itself exchanges messages with.
    fn direct_max(&self, workers: usize) -> usize {
        let deciding = workers as u64 * DECIDE_CPU_MICRO / 1_000;
        let cpu_milli = (self.cpu_milli / LEADER_CPU_SHARE).saturating_sub(deciding);
        let by_cpu = cpu_milli / EXCHANGE_CPU_MILLI;
        let by_link = self.link_kbit_per_s / LEADER_LINK_SHARE / EXCHANGE_KBIT_PER_S;
        usize::try_from(by_cpu.min(by_link)).unwrap_or(usize::MAX)
    }
}

/// Who sends the commands for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The leader.
    Direct,
    /// The node that relays at this address.
    Relay(SocketAddr),
}

#[derive(Clone, Debug)]
struct Node {
    strength: Strength,
    heard_at: clock::Instant,
    /// The node is not used before this time.
    paused_until: clock::Instant,
    /// The node is slow and used only if no other is usable before this time.
    bypassed_until: clock::Instant,
    /// Length of the newest bypass, in milliseconds; 0 if there was none lately.
    bypass_ms: u64,
    workers: usize,
}

/// The nodes that can relay, and the route to each worker.
#[derive(Clone, Debug)]
pub struct Relays {
    leader: Strength,
    nodes: BTreeMap<SocketAddr, Node>,
    routes: HashMap<id::Worker, Route>,
    direct: usize,
    /// Relays that failed lately, and when.
    failures: BTreeMap<SocketAddr, clock::Instant>,
}

impl Relays {
    /// Creates the division for a leader of the given strength, without other nodes.
    pub fn new(leader: Strength) -> Self {
        Self {
            leader,
            nodes: BTreeMap::new(),
            routes: HashMap::new(),
            direct: 0,
            failures: BTreeMap::new(),
        }
    }

    /// Records that a follower that relays at `address` is alive.
    pub fn heard(&mut self, address: SocketAddr, strength: Strength, now: clock::Instant) {
        let node = self.nodes.entry(address).or_insert_with(|| Node {
            strength: strength.clone(),
            heard_at: now,
            paused_until: clock::Instant::ZERO,
            bypassed_until: clock::Instant::ZERO,
            bypass_ms: 0,
            workers: 0,
        });
        node.strength = strength;
        node.heard_at = now;
    }

    /// Records that a relay failed or stops; its workers get other routes.
    ///
    /// If half of the relays fail at the same time, the leader's own link is the likely cause. They are kept then, as
    /// direct commands would load that link further.
    pub fn failed(&mut self, address: SocketAddr, now: clock::Instant) {
        self.failures
            .retain(|_, at| now.since_ms(*at) < FAILED_TOGETHER_MS);
        self.failures.insert(address, now);
        let used = self.nodes.values().filter(|node| node.workers > 0).count();
        if self.failures.len() >= FAILED_TOGETHER_MIN && self.failures.len() * 2 >= used {
            for address in self.failures.keys() {
                if let Some(node) = self.nodes.get_mut(address) {
                    node.paused_until = clock::Instant::ZERO;
                }
            }
        } else if let Some(node) = self.nodes.get_mut(&address) {
            node.paused_until = now.after_ms(FAILED_PAUSE_MS);
        }
    }

    /// Records the response times of the connected relays to the leader's pings, in milliseconds. Returns the relays that
    /// are bypassed from now on, as their response time is far above the others'.
    ///
    /// `own_delay_ms` is the delay of the leader's own timers. If half of the relays are slow, the leader or its link is
    /// the likely cause, and none is bypassed.
    pub fn measured(
        &mut self,
        response_times: &[(SocketAddr, u64)],
        own_delay_ms: u64,
        now: clock::Instant,
    ) -> Vec<SocketAddr> {
        let mut bypassed = Vec::new();
        for &(address, response_ms) in response_times {
            let mut others: Vec<u64> = response_times
                .iter()
                .filter(|(other, _)| *other != address)
                .map(|(_, ms)| *ms)
                .collect();
            others.sort_unstable();
            let median_ms = others.get(others.len() / 2).copied().unwrap_or(0);
            let limit_ms = SLOW_MIN_MS.max(median_ms.max(own_delay_ms) * SLOW_FACTOR);
            let Some(node) = self.nodes.get_mut(&address) else {
                continue;
            };
            if now < node.bypassed_until {
                continue;
            }
            if response_ms >= limit_ms {
                node.bypass_ms = (node.bypass_ms * 2).clamp(BYPASS_MS.0, BYPASS_MS.1);
                node.bypassed_until = now.after_ms(node.bypass_ms);
                bypassed.push(address);
            } else if now.since_ms(node.bypassed_until) >= BYPASS_MS.1 {
                node.bypass_ms = 0;
            }
        }
        bypassed
    }

    /// Returns the route to a worker; it stays the same while its relay is alive and the leader can carry its share.
    pub fn route(
        &mut self,
        worker: &id::Worker,
        data_centre: &id::DataCentre,
        now: clock::Instant,
    ) -> Route {
        let current = self.routes.get(worker).copied();
        let total = self.routes.len() + usize::from(current.is_none());
        let direct_max = self.leader.direct_max(total);
        let is_kept = match current {
            Some(Route::Direct) => self.direct <= direct_max,
            Some(Route::Relay(address)) => {
                self.is_alive(&address, now)
                    && (!self.is_bypassed(&address, now)
                        || self.best_relay(data_centre, now, false).is_none())
            }
            None => false,
        };
        if let Some(current) = current.filter(|_| is_kept) {
            return current;
        }
        self.remove(worker);
        let route = if self.direct < direct_max {
            Route::Direct
        } else {
            self.best_relay(data_centre, now, false)
                .or_else(|| self.best_relay(data_centre, now, true))
                .map_or(Route::Direct, Route::Relay)
        };
        match route {
            Route::Direct => self.direct += 1,
            Route::Relay(address) => {
                if let Some(node) = self.nodes.get_mut(&address) {
                    node.workers += 1;
                }
            }
        }
        self.routes.insert(worker.clone(), route);
        route
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: &id::Worker) {
        match self.routes.remove(worker) {
            Some(Route::Direct) => self.direct -= 1,
            Some(Route::Relay(address)) => {
                if let Some(node) = self.nodes.get_mut(&address) {
                    node.workers -= 1;
                }
            }
            None => {}
        }
    }

    /// Returns whether the leader's link carries the texts of jobs; if not, relays read them from the store.
    pub fn sends_texts(&self) -> bool {
        let texts_kbit_per_s = self.routes.len() as u64 * TEXT_KBIT_PER_S;
        self.leader.link_kbit_per_s / TEXT_LINK_SHARE >= texts_kbit_per_s
    }

    /// Returns the number of workers with a direct route and of those with a relay.
    pub fn counts(&self) -> (usize, usize) {
        (self.direct, self.routes.len() - self.direct)
    }

    fn is_alive(&self, address: &SocketAddr, now: clock::Instant) -> bool {
        self.nodes
            .get(address)
            .is_some_and(|node| is_usable(node, now))
    }

    fn is_bypassed(&self, address: &SocketAddr, now: clock::Instant) -> bool {
        self.nodes
            .get(address)
            .is_some_and(|node| now < node.bypassed_until)
    }

    /// Returns the strongest usable node with capacity to spare, in the worker's data centre if there is one.
    fn best_relay(
        &self,
        data_centre: &id::DataCentre,
        now: clock::Instant,
        with_bypassed: bool,
    ) -> Option<SocketAddr> {
        self.nodes
            .iter()
            .filter(|(_, node)| with_bypassed || now >= node.bypassed_until)
            .filter(|(_, node)| is_usable(node, now) && node.workers < node.strength.relayed_max())
            .max_by_key(|(_, node)| {
                let load = node.workers * 1_000 / node.strength.relayed_max().max(1);
                (
                    node.strength.data_centre == *data_centre,
                    node.strength.cpu_milli,
                    std::cmp::Reverse(load),
                )
            })
            .map(|(address, _)| *address)
    }
}

fn is_usable(node: &Node, now: clock::Instant) -> bool {
    now.since_ms(node.heard_at) < SILENT_MS && now >= node.paused_until
}
