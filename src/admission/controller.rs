//! The state machine of one service's admission on one node.

use crate::admission::estimate;
use crate::admission::queue;
use crate::admission::{
    Arrival, Headroom, Input, KindIndex, KindSpec, Load, Output, RESERVING_SERVICE_MS, RequestId,
    Slots,
};
use crate::clock;
use crate::verdict;

/// The longest estimated wait that a queue accepts, in milliseconds.
const QUEUE_WAIT_MAX_MS: f64 = 300.0;
/// Weight of the newest reading in what is kept for kinds that don't flood.
const RESERVED_GAIN: f64 = 0.007;
/// The most requests that one kind's queue holds.
const QUEUE_LEN_MAX: usize = 1_024;
/// A kind's own slots on this node may rise to so many times its local share while it counts as within its share.
const LOCAL_BURST: f64 = 3.0;
/// Lower bound of that limit, in slots.
const LOCAL_BURST_MIN: f64 = 2.0;

/// The state of one kind.
#[derive(Clone, Debug)]
struct Kind {
    spec: KindSpec,
    queue: queue::Queue,
    running: u32,
    need: f64,
    need_elsewhere: f64,
    used_elsewhere: f64,
    service_time: estimate::ServiceTime,
}

/// Admission of one service on one node.
#[derive(Clone, Debug)]
pub struct Controller {
    kinds: Vec<Kind>,
    slots: Slots,
    headroom: Headroom,
    reserved: f64,
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
            reserved: 0.0,
            weights,
        }
    }

    /// Changes the kinds; each names its place before the change, if it was there.
    ///
    /// What waits in the queues of kinds that are gone is forgotten.
    pub fn set_kinds(&mut self, kinds: &[(KindSpec, Option<KindIndex>)]) {
        let old = std::mem::take(&mut self.kinds);
        let kept = |(spec, before): &(KindSpec, Option<KindIndex>)| {
            let before = before.and_then(|index| old.get(usize::from(index)));
            match before {
                Some(kind) => Kind {
                    spec: *spec,
                    ..kind.clone()
                },
                None => Kind::new(*spec),
            }
        };
        self.kinds = kinds.iter().map(kept).collect();
        self.weights = kinds.iter().map(|(spec, _)| f64::from(spec.share)).sum();
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
            Input::Load(load) => self.load(&load),
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
            if !kind.queue.is_empty() && !self.floods(kind) && self.within_share(kind) {
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
        let local_share = self.local_share(kind);
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

    fn load(&mut self, load: &Load) {
        let slots = |milli: &[u32], index: usize| {
            milli
                .get(index)
                .map_or(0.0, |milli| f64::from(*milli) / 1_000.0)
        };
        for (index, kind) in self.kinds.iter_mut().enumerate() {
            kind.need = slots(&load.need_milli, index);
            kind.need_elsewhere = slots(&load.need_elsewhere_milli, index);
            kind.used_elsewhere = slots(&load.used_elsewhere_milli, index);
        }
        let others = self.kinds.iter().filter(|kind| !self.floods(kind));
        let needed: f64 = others.map(Kind::need_all).sum();
        self.reserved += RESERVED_GAIN * (needed - self.reserved);
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
            if self.floods(kind) && self.flooding() >= self.flood_limit(kind) {
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

    /// Tells whether the kind asks for more than its share over all nodes.
    fn floods(&self, kind: &Kind) -> bool {
        kind.need_all() > self.share_of(kind, self.slots.total)
    }

    /// Requests of flooding kinds that run from this node.
    fn flooding(&self) -> u32 {
        let kinds = self.kinds.iter().filter(|kind| self.floods(kind));
        kinds.map(|kind| kind.running).sum()
    }

    /// The most requests of flooding kinds that may run from this node, as a kind's service time allows.
    ///
    /// The limit of all nodes is what the other kinds need and the headroom leave over; this node's part follows its
    /// part of the flood. It does not depend on the slots held now, so that a long request can't keep a passing surplus.
    /// Parts of a slot are rounded up on some nodes and down on the others.
    fn flood_limit(&self, kind: &Kind) -> u32 {
        let mean_ms = kind.service_time.mean_ms();
        let reserved = self.reserved * (mean_ms / RESERVING_SERVICE_MS).min(1.0);
        let headroom = self.headroom.slots(self.slots.total, mean_ms);
        let limit = f64::from(self.slots.total) - reserved - headroom;
        let flooding = || self.kinds.iter().filter(|kind| self.floods(kind));
        let local: f64 = flooding().map(|kind| kind.need).sum();
        let all: f64 = flooding().map(Kind::need_all).sum();
        let members = f64::from(self.slots.members.max(1));
        let rounding = (f64::from(self.slots.rank) + 0.5) / members;
        (limit * local / all + rounding).max(0.0) as u32
    }

    /// Tells whether one more request of the kind stays within the kind's share.
    fn within_share(&self, kind: &Kind) -> bool {
        self.room(kind) > 0
    }

    /// Slots that the kind may still take within its share.
    fn room(&self, kind: &Kind) -> u32 {
        let running = f64::from(kind.running);
        let share = self.share_of(kind, self.slots.total);
        let local_share = self.local_share(kind);
        let burst = (LOCAL_BURST * local_share).max(LOCAL_BURST_MIN);
        let room = (share - kind.used_elsewhere - running).min(burst - running);
        room.max(0.0).floor() as u32
    }

    /// The kind's part of this node's slots, or of an even part of all slots if that is more.
    fn local_share(&self, kind: &Kind) -> f64 {
        let even = self.slots.total / self.slots.members.max(1);
        self.share_of(kind, self.slots.held.max(even))
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
    /// Slots that the kind could use over all nodes.
    fn need_all(&self) -> f64 {
        self.need + self.need_elsewhere
    }

    fn new(spec: KindSpec) -> Self {
        Self {
            spec,
            queue: queue::Queue::default(),
            running: 0,
            need: 0.0,
            need_elsewhere: 0.0,
            used_elsewhere: 0.0,
            service_time: estimate::ServiceTime::default(),
        }
    }
}
