//! Admission of one service's requests on one entry VM: bounded queues by kind, fair shares and refusals.
//!
//! Each kind owns a part of the service's slots by its weight. A kind within its share goes before all that are beyond
//! theirs; urgency orders the kinds within their shares, and decides who gets the slots that nobody's share claims. Kinds
//! beyond their share leave some slots free, so that a kind within its share needn't wait for a long request to end.
//! A request that can't finish by its deadline is refused at once, before anything is sent.
//!
//! # Examples
//!
//! ```
//! use wasabiloft::{admission, clock, document, verdict};
//!
//! let spec = admission::KindSpec { urgency: document::Urgency::Urgent, share: 1 };
//! let mut controller = admission::Controller::new(&[spec], admission::Headroom::default());
//! let kind = admission::KindIndex::from(0);
//! let now = clock::Instant::ZERO;
//! let mut outputs = Vec::new();
//! let slots = admission::Slots { free: 1, held: 1, total: 1, members: 1, rank: 0 };
//! controller.handle(now, admission::Input::Slots(slots), &mut outputs);
//! for id in 0..2 {
//!     let arrival = admission::Arrival {
//!         request: admission::RequestId::from(id),
//!         kind,
//!         deadline: now.after_ms(500),
//!         retry: false,
//!     };
//!     controller.handle(now, admission::Input::Arrive(arrival), &mut outputs);
//! }
//! let first = admission::RequestId::from(0);
//! assert_eq!(outputs, [admission::Output::Start { request: first, kind }]);
//! controller.handle(clock::Instant::from_ms(500), admission::Input::Tick, &mut outputs);
//! let second = admission::RequestId::from(1);
//! let reason = verdict::Reason::QueueTimeout;
//! assert_eq!(outputs[1], admission::Output::Refuse { request: second, kind, reason });
//! ```

pub mod estimate;
pub mod intake;
pub mod queue;
pub mod share;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::document;
use crate::verdict;

/// The longest estimated wait that a queue accepts, in milliseconds.
const QUEUE_WAIT_MAX_MS: f64 = 300.0;
/// Mean service time from which a kind leaves the whole headroom, in milliseconds.
const LONG_SERVICE_MS: f64 = 1_000.0;
/// The most requests that one kind's queue holds.
const QUEUE_LEN_MAX: usize = 1_024;
/// A kind's own slots on this node may rise to so many times its local share while it counts as within its share.
const LOCAL_BURST: f64 = 3.0;
/// Lower bound of that limit, in slots.
const LOCAL_BURST_MIN: f64 = 2.0;

/// A request on this entry VM.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct RequestId(u64);

/// A kind's place in its service's document.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct KindIndex(usize);

/// What the document says of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindSpec {
    /// Orders the kinds within their shares.
    pub urgency: document::Urgency,
    /// The weight of the kind's share.
    pub share: u32,
}

/// The service's slots as this node sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// Slots that this node may use now.
    pub free: u32,
    /// Slots that this node owns, free or in use.
    pub held: u32,
    /// Slots of the service over all nodes.
    pub total: u32,
    /// Nodes that share the service's slots.
    pub members: u32,
    /// This node's place among them, from zero.
    pub rank: u32,
}

/// Slots over all nodes that kinds beyond their share leave free for those within theirs.
///
/// The longer a kind holds its slots, the longer another kind would wait for one, so the more it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Headroom {
    /// For kinds with short service times, in thousandths of the service's slots.
    pub short_milli: u32,
    /// For kinds with service times of a second or more, in thousandths of the service's slots.
    pub long_milli: u32,
}

impl Default for Headroom {
    fn default() -> Self {
        Self {
            short_milli: 20,
            long_milli: 80,
        }
    }
}

impl Headroom {
    /// The part of one node for a kind, in whole slots.
    fn part(&self, slots: &Slots, mean_ms: f64) -> u32 {
        let length = (mean_ms / LONG_SERVICE_MS).min(1.0);
        let (short, long) = (f64::from(self.short_milli), f64::from(self.long_milli));
        let milli = short + (long - short) * length;
        let all = (f64::from(slots.total) * milli / 1_000.0) as u32;
        match slots.members {
            0 => 0,
            members => all / members + u32::from(slots.rank < all % members),
        }
    }
}

/// A request that came in, or comes again for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its kind.
    pub kind: KindIndex,
    /// When its answer must be complete.
    pub deadline: clock::Instant,
    /// True for a retry of an admitted request: it goes to the front of its queue.
    pub retry: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request came in.
    Arrive(Arrival),
    /// A queued request's caller went away.
    Cancel(RequestId, KindIndex),
    /// A started request gave its slot back.
    Finish {
        /// Its kind.
        kind: KindIndex,
        /// How long it held its slot, in milliseconds.
        busy_ms: u64,
        /// True if it ran to its end, so that its time teaches something.
        whole: bool,
    },
    /// The slots changed.
    Slots(Slots),
    /// What the other nodes run, by kind, in thousandths of a slot.
    Elsewhere(Vec<u32>),
    /// Time passed.
    Tick,
}

/// What should be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start the request in one of the free slots.
    Start {
        /// The request.
        request: RequestId,
        /// Its kind.
        kind: KindIndex,
    },
    /// Answer the request as not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Its kind.
        kind: KindIndex,
        /// Why.
        reason: verdict::Reason,
    },
}

/// The state of one kind.
#[derive(Clone, Debug)]
struct Kind {
    spec: KindSpec,
    queue: queue::Queue,
    running: u32,
    elsewhere: f64,
    service_time: estimate::ServiceTime,
}

/// Admission of one service on one node.
#[derive(Clone, Debug)]
pub struct Controller {
    kinds: Vec<Kind>,
    slots: Slots,
    headroom: Headroom,
    weights: f64,
}

impl Controller {
    /// Makes the controller of a service with these kinds and no slots yet.
    pub fn new(specs: &[KindSpec], headroom: Headroom) -> Self {
        let kinds = specs.iter().map(|spec| Kind::new(*spec)).collect();
        let weights = specs.iter().map(|spec| f64::from(spec.share)).sum();
        Self {
            kinds,
            slots: Slots::default(),
            headroom,
            weights,
        }
    }

    /// Takes an input and appends what should be done.
    pub fn handle(&mut self, now: clock::Instant, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Arrive(arrival) => self.arrive(now, &arrival, outputs),
            Input::Cancel(request, kind) => self.cancel(request, kind),
            Input::Finish {
                kind,
                busy_ms,
                whole,
            } => self.finish(kind, busy_ms, whole),
            Input::Slots(slots) => self.slots = slots,
            Input::Elsewhere(milli) => self.elsewhere(&milli),
            Input::Tick => self.expire(now, outputs),
        }
        self.start(now, outputs);
    }

    /// Takes back a start that found no endpoint.
    pub fn undo_start(&mut self, kind: KindIndex) {
        self.kinds[kind.0].running -= 1;
    }

    /// The slots as last told.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// The number of kinds.
    pub fn kinds(&self) -> usize {
        self.kinds.len()
    }

    /// Requests of a kind that wait.
    pub fn queued(&self, kind: KindIndex) -> usize {
        self.kinds[kind.0].queue.len()
    }

    /// Requests of a kind that run from this node.
    pub fn running(&self, kind: KindIndex) -> u32 {
        self.kinds[kind.0].running
    }

    /// The learned time that a kind's requests hold a slot.
    pub fn service_time(&self, kind: KindIndex) -> &estimate::ServiceTime {
        &self.kinds[kind.0].service_time
    }

    /// Requests that wait although their kind is within its share.
    pub fn waiting_within_share(&self) -> u32 {
        let mut waiting = 0;
        for kind in &self.kinds {
            if !kind.queue.is_empty() && self.within_share(kind) {
                waiting += self.room(kind).min(kind.queue.len() as u32);
            }
        }
        waiting
    }

    fn arrive(&mut self, now: clock::Instant, arrival: &Arrival, outputs: &mut Vec<Output>) {
        let refusal = self.refusal(now, arrival);
        let kind = &mut self.kinds[arrival.kind.0];
        let waiting = queue::Waiting {
            request: arrival.request,
            arrived_at: now,
            deadline: arrival.deadline,
        };
        match refusal {
            Some(reason) => outputs.push(Output::Refuse {
                request: arrival.request,
                kind: arrival.kind,
                reason,
            }),
            None if arrival.retry => kind.queue.push_front(waiting),
            None => kind.queue.push(waiting),
        }
    }

    /// Says why a request can't be taken, if so.
    fn refusal(&self, now: clock::Instant, arrival: &Arrival) -> Option<verdict::Reason> {
        let kind = &self.kinds[arrival.kind.0];
        let left_ms = arrival.deadline.since_ms(now) as f64;
        if left_ms <= kind.service_time.mean_ms() {
            return Some(verdict::Reason::DeadlineTooShort);
        }
        if arrival.retry || (kind.queue.is_empty() && self.slots.free > 0) {
            return None;
        }
        if kind.queue.len() >= QUEUE_LEN_MAX {
            return Some(verdict::Reason::QueueFull);
        }
        let wait_ms = self.wait_ms(kind);
        if wait_ms + kind.service_time.high_ms() > left_ms {
            return Some(verdict::Reason::DeadlineTooShort);
        }
        let too_long = wait_ms > QUEUE_WAIT_MAX_MS && !self.within_share(kind);
        too_long.then_some(verdict::Reason::QueueFull)
    }

    /// Estimates the wait of a request that joins the kind's queue.
    fn wait_ms(&self, kind: &Kind) -> f64 {
        let local_share = self.share_of(kind, self.slots.held);
        let slots = f64::from(kind.running).max(local_share).max(1.0);
        kind.queue.len() as f64 * kind.service_time.mean_ms() / slots
    }

    fn cancel(&mut self, request: RequestId, kind: KindIndex) {
        self.kinds[kind.0].queue.remove(request);
    }

    fn finish(&mut self, kind: KindIndex, busy_ms: u64, whole: bool) {
        let kind = &mut self.kinds[kind.0];
        kind.running -= 1;
        if whole {
            kind.service_time.record(busy_ms as f64);
        }
    }

    fn elsewhere(&mut self, milli: &[u32]) {
        for (kind, used_milli) in self.kinds.iter_mut().zip(milli) {
            kind.elsewhere = f64::from(*used_milli) / 1_000.0;
        }
    }

    fn expire(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        for (index, kind) in self.kinds.iter_mut().enumerate() {
            let service_ms = kind.service_time.mean_ms() as u64;
            for late in kind.queue.expire(now, service_ms) {
                outputs.push(Output::Refuse {
                    request: late.request,
                    kind: KindIndex(index),
                    reason: verdict::Reason::QueueTimeout,
                });
            }
        }
    }

    /// Starts queued requests while slots are free.
    fn start(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        while self.slots.free > 0 {
            let Some(index) = self.next_kind() else {
                return;
            };
            let kind = &mut self.kinds[index];
            let Some(next) = kind.queue.pop() else {
                return;
            };
            let finish = now.after_ms(kind.service_time.mean_ms() as u64);
            if next.deadline <= finish {
                outputs.push(Output::Refuse {
                    request: next.request,
                    kind: KindIndex(index),
                    reason: verdict::Reason::QueueTimeout,
                });
                continue;
            }
            kind.running += 1;
            self.slots.free -= 1;
            outputs.push(Output::Start {
                request: next.request,
                kind: KindIndex(index),
            });
        }
    }

    /// Picks the kind that gets the next slot: those within their share first, then by urgency, then by waiting time.
    fn next_kind(&self) -> Option<usize> {
        let mut best = None;
        for (index, kind) in self.kinds.iter().enumerate() {
            let Some(front) = kind.queue.front() else {
                continue;
            };
            let within = self.within_share(kind);
            let mean_ms = kind.service_time.mean_ms();
            if !within && self.slots.free <= self.headroom.part(&self.slots, mean_ms) {
                continue;
            }
            let rank = (
                within,
                kind.spec.urgency,
                std::cmp::Reverse(front.arrived_at),
            );
            if best.is_none_or(|(_, best_rank)| rank > best_rank) {
                best = Some((index, rank));
            }
        }
        best.map(|(index, _)| index)
    }

    /// Tells whether one more request of the kind stays within the kind's share.
    fn within_share(&self, kind: &Kind) -> bool {
        self.room(kind) > 0
    }

    /// Slots that the kind may still take within its share.
    fn room(&self, kind: &Kind) -> u32 {
        let running = f64::from(kind.running);
        let share = self.share_of(kind, self.slots.total);
        let local_share = self.share_of(kind, self.slots.held);
        let burst = (LOCAL_BURST * local_share).max(LOCAL_BURST_MIN);
        let room = (share - kind.elsewhere - running).min(burst - running);
        room.max(0.0).floor() as u32
    }

    /// The kind's part of so many slots, by weight.
    fn share_of(&self, kind: &Kind, slots: u32) -> f64 {
        if self.weights <= 0.0 {
            return 0.0;
        }
        f64::from(slots) * f64::from(kind.spec.share) / self.weights
    }
}

impl Kind {
    fn new(spec: KindSpec) -> Self {
        Self {
            spec,
            queue: queue::Queue::default(),
            running: 0,
            elsewhere: 0.0,
            service_time: estimate::ServiceTime::default(),
        }
    }
}
