//! The state machine of one service on one entry VM.

use std::collections::HashMap;

use rand::Rng;

use crate::admission;
use crate::clock;
use crate::dispatch::{Arrival, Ending, Input, Kind, Output, Runner, Settings};
use crate::id;
use crate::roster;
use crate::routing;
use crate::slots;
use crate::verdict;

/// Time between two ticks, in milliseconds.
const TICK_MS: f64 = 10.0;
/// Weight of the newest reading in the smoothed use, at each tick.
const USED_GAIN: f64 = 0.1;
/// Shortest time over which a kind's need is smoothed, in milliseconds; half its service time if that is longer.
const NEED_TIME_MIN_MS: f64 = 330.0;
/// Longest time over which a kind's need is smoothed, in milliseconds.
const NEED_TIME_MAX_MS: f64 = 1_000.0;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
struct Queued {
    kind: admission::KindIndex,
    idempotent: bool,
    retry_after: Option<id::Vm>,
}

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    kind: Option<admission::KindIndex>,
    token: slots::Token,
    endpoint: routing::EndpointKey,
    started_at: clock::Instant,
}

/// A kind's smoothed demand, in slots.
#[derive(Clone, Copy, Debug, Default)]
struct Smoothed {
    arrived: u32,
    need: f64,
    used: f64,
}

/// What one call of [`Service::handle`] works with.
struct Turn<'a, R> {
    now: clock::Instant,
    rng: &'a mut R,
    outputs: &'a mut Vec<Output>,
}

/// One service on one entry VM.
#[derive(Debug)]
pub struct Service {
    controller: admission::Controller,
    ledger: slots::Allocator,
    router: routing::Router,
    queued: HashMap<admission::RequestId, Queued>,
    running: HashMap<admission::RequestId, Running>,
    demand: Vec<Smoothed>,
    told_waiting: u32,
    admitted: Vec<admission::Output>,
    sent: Vec<slots::Output>,
}

impl Service {
    /// Makes a service with these kinds that knows no runner yet.
    pub fn new(me: roster::NodeId, kinds: &[admission::KindSpec], settings: Settings) -> Self {
        let ledger_settings = slots::Settings {
            weights: kinds.iter().map(|kind| kind.share).collect(),
            longest_request_ms: settings.longest_request_ms,
            rebalancing: settings.passing,
        };
        Self {
            controller: admission::Controller::new(kinds, settings.headroom),
            ledger: slots::Allocator::new(me, ledger_settings),
            router: routing::Router::new(),
            queued: HashMap::new(),
            running: HashMap::new(),
            demand: vec![Smoothed::default(); kinds.len()],
            told_waiting: 0,
            admitted: Vec::new(),
            sent: Vec::new(),
        }
    }

    /// Takes an input and appends what should be done.
    pub fn handle<R>(
        &mut self,
        now: clock::Instant,
        input: Input,
        rng: &mut R,
        outputs: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        let mut turn = Turn { now, rng, outputs };
        let turn = &mut turn;
        match input {
            Input::Arrive(arrival) => self.arrive(arrival, turn),
            Input::Cancel(request) => self.cancel(request, turn),
            Input::Finish { request, ending } => self.finish(request, ending, turn),
            Input::Kinds(kinds) => self.change_kinds(&kinds, turn),
            Input::Runners(runners) => self.list(&runners, turn),
            Input::Roster(roster) => self.change_slots(slots::Input::Roster(roster), turn),
            Input::Lapsed(member) => self.change_slots(slots::Input::Lapsed(member), turn),
            Input::Serving { until } => self.change_slots(slots::Input::Serving { until }, turn),
            Input::Message { from, message } => {
                self.change_slots(slots::Input::Message { from, message }, turn);
            }
            Input::Leave => self.change_slots(slots::Input::Leave, turn),
            Input::Tick => self.tick(turn),
        }
        self.send(turn);
    }

    /// Admission, for reading its state.
    pub fn controller(&self) -> &admission::Controller {
        &self.controller
    }

    /// The slots, for reading their state.
    pub fn ledger(&self) -> &slots::Allocator {
        &self.ledger
    }

    /// Routing, for reading its state.
    pub fn router(&self) -> &routing::Router {
        &self.router
    }

    /// Requests in progress at a VM from this node.
    pub fn in_flight(&self, vm: &id::Vm) -> u32 {
        self.router.in_flight(vm)
    }

    fn arrive<R>(&mut self, arrival: Arrival, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        if self.controller.slots().total == 0 {
            turn.outputs.push(Output::Refuse {
                request: arrival.request,
                reason: verdict::Reason::NoEndpoint,
            });
            return;
        }
        self.demand[usize::from(arrival.kind)].arrived += 1;
        let input = admission::Input::Arrive(admission::Arrival {
            request: arrival.request,
            kind: arrival.kind,
            deadline: arrival.deadline,
            retry: arrival.retry_after.is_some(),
        });
        let queued = Queued {
            kind: arrival.kind,
            idempotent: arrival.idempotent,
            retry_after: arrival.retry_after,
        };
        self.queued.insert(arrival.request, queued);
        self.admit(input, turn);
    }

    fn cancel<R>(&mut self, request: admission::RequestId, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        if let Some(queued) = self.queued.remove(&request) {
            self.admit(admission::Input::Cancel(request, queued.kind), turn);
        }
    }

    fn finish<R>(&mut self, request: admission::RequestId, ending: Ending, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        let busy_ms = turn.now.since_ms(running.started_at);
        let outcome = self.outcome(&running, busy_ms, ending);
        self.router.finish(turn.now, running.endpoint, outcome);
        self.ledger.release(running.token);
        if let Some(kind) = running.kind {
            let whole = ending == Ending::Answered;
            let input = admission::Input::Finish {
                kind,
                busy_ms,
                whole,
            };
            self.admit(input, turn);
        }
        let waiting = slots::Input::Waiting(self.waiting());
        self.change_slots(waiting, turn);
    }

    fn outcome(&self, running: &Running, busy_ms: u64, ending: Ending) -> routing::Outcome {
        let mean_ms = running.kind.map_or(0.0, |kind| {
            let service_time = self.controller.service_time(kind);
            service_time.mean_ms()
        });
        match ending {
            Ending::Answered if mean_ms > 0.0 => routing::Outcome::Answered {
                latency_ratio: busy_ms.max(1) as f64 / mean_ms.max(1.0),
            },
            Ending::Answered => routing::Outcome::Answered { latency_ratio: 1.0 },
            Ending::Failed => routing::Outcome::Failed,
            Ending::TimedOut => routing::Outcome::TimedOut,
            Ending::Refused => routing::Outcome::Refused,
            Ending::Abandoned => routing::Outcome::Abandoned,
        }
    }

    fn change_kinds<R>(&mut self, kinds: &[Kind], turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        let place = |old: admission::KindIndex| {
            let new = kinds.iter().position(|kind| kind.before == Some(old));
            new.map(admission::KindIndex::from)
        };
        for running in self.running.values_mut() {
            running.kind = running.kind.and_then(place);
        }
        let gone = self
            .queued
            .extract_if(|_, queued| place(queued.kind).is_none());
        for (request, _) in gone {
            let reason = verdict::Reason::UnknownService;
            turn.outputs.push(Output::Refuse { request, reason });
        }
        for queued in self.queued.values_mut() {
            queued.kind = place(queued.kind).unwrap_or(queued.kind);
        }
        let old = std::mem::take(&mut self.demand);
        let before = |kind: &Kind| kind.before.and_then(|index| old.get(usize::from(index)));
        self.demand = kinds
            .iter()
            .map(|kind| before(kind).copied().unwrap_or_default())
            .collect();
        let specs: Vec<_> = kinds.iter().map(|kind| (kind.spec, kind.before)).collect();
        self.controller.set_kinds(&specs);
        self.ledger
            .set_weights(kinds.iter().map(|kind| kind.spec.share).collect());
    }

    fn list<R>(&mut self, runners: &[Runner], turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        let endpoints: Vec<routing::EndpointSpec> = runners
            .iter()
            .map(|runner| routing::EndpointSpec {
                vm: runner.vm.clone(),
                leaving: runner.leaving,
            })
            .collect();
        self.router.set_endpoints(&endpoints);
        let specs = runners
            .iter()
            .map(|runner| slots::RunnerSpec {
                vm: runner.vm.clone(),
                slots: runner.slots,
            })
            .collect();
        self.change_slots(slots::Input::Runners(specs), turn);
    }

    fn tick<R>(&mut self, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        self.admit(admission::Input::Tick, turn);
        let demand = self.smooth_demand();
        let elsewhere = self.ledger.peer_demand(turn.now);
        let load = admission::Load {
            need_milli: demand.need_milli.clone(),
            need_elsewhere_milli: elsewhere.need_milli,
            used_elsewhere_milli: elsewhere.used_milli,
        };
        self.admit(admission::Input::Load(load), turn);
        self.change_slots(slots::Input::Demand(demand), turn);
        self.change_slots(slots::Input::Tick, turn);
    }

    /// Feeds the ledger, then tells admission which slots there are.
    fn change_slots<R>(&mut self, input: slots::Input, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        self.ledger.handle(turn.now, input, &mut self.sent);
        self.admit(admission::Input::Slots(self.slots()), turn);
    }

    /// Counts the slots of healthy endpoints.
    fn slots(&self) -> admission::Slots {
        let mut slots = admission::Slots::default();
        for key in self.ledger.runners() {
            let vm = self.ledger.vm(key);
            if !vm.is_some_and(|vm| self.router.is_healthy(vm)) {
                continue;
            }
            slots.free += self.ledger.free_of(key);
            slots.held += self.ledger.held_of(key);
            slots.total += self.ledger.slots_of(key);
        }
        slots.members = self.ledger.members();
        slots.rank = self.ledger.rank();
        slots
    }

    fn waiting(&self) -> u32 {
        self.controller.waiting_within_share()
    }

    /// Moves the smoothed demand on by one tick.
    ///
    /// What a kind could use is its rate of arrival times its service time, so that a queue that others cause does not
    /// look like demand. Before the first end of a request, what runs and waits stands for it.
    fn smooth_demand(&mut self) -> slots::Demand {
        let total = f64::from(self.ledger.total());
        let mut demand = slots::Demand::default();
        for (index, smoothed) in self.demand.iter_mut().enumerate() {
            let kind = admission::KindIndex::from(index);
            let mean_ms = self.controller.service_time(kind).mean_ms();
            let used = f64::from(self.controller.running(kind));
            let offered = match mean_ms > 0.0 {
                true => f64::from(smoothed.arrived) * mean_ms / TICK_MS,
                false => used + self.controller.queued(kind) as f64,
            };
            smoothed.arrived = 0;
            smoothed.used += USED_GAIN * (used - smoothed.used);
            let need_gain = TICK_MS / (mean_ms / 2.0).clamp(NEED_TIME_MIN_MS, NEED_TIME_MAX_MS);
            smoothed.need += need_gain * (offered - smoothed.need);
            smoothed.need = smoothed.need.min(total);
            demand.used_milli.push((smoothed.used * 1_000.0) as u32);
            demand.need_milli.push((smoothed.need * 1_000.0) as u32);
        }
        demand
    }

    /// Feeds admission, and carries out at once what it decides, so that no slot is counted twice.
    fn admit<R>(&mut self, input: admission::Input, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        let mut admitted = std::mem::take(&mut self.admitted);
        self.controller.handle(turn.now, input, &mut admitted);
        for output in admitted.drain(..) {
            match output {
                admission::Output::Start { request, .. } => self.start(request, turn),
                admission::Output::Refuse {
                    request, reason, ..
                } => {
                    self.queued.remove(&request);
                    turn.outputs.push(Output::Refuse { request, reason });
                }
            }
        }
        self.admitted = admitted;
    }

    /// Tells the ledger how many requests within their shares wait, and hands out its messages.
    fn send<R>(&mut self, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        let waiting = self.waiting();
        if waiting != self.told_waiting {
            self.told_waiting = waiting;
            self.change_slots(slots::Input::Waiting(waiting), turn);
        }
        for slots::Output::Send { to, message } in self.sent.drain(..) {
            turn.outputs.push(Output::Send { to, message });
        }
    }

    fn start<R>(&mut self, request: admission::RequestId, turn: &mut Turn<'_, R>)
    where
        R: Rng,
    {
        let Some(queued) = self.queued.remove(&request) else {
            return;
        };
        let kind = queued.kind;
        let Some((token, endpoint, vm)) = self.place(&queued, turn) else {
            self.controller.undo_start(kind);
            turn.outputs.push(Output::Refuse {
                request,
                reason: verdict::Reason::NoEndpoint,
            });
            return;
        };
        let started_at = turn.now;
        let running = Running {
            kind: Some(kind),
            token,
            endpoint,
            started_at,
        };
        self.running.insert(request, running);
        turn.outputs.push(Output::Start { request, vm });
    }

    /// Picks an endpoint and takes one of its tokens.
    fn place<R>(
        &mut self,
        queued: &Queued,
        turn: &mut Turn<'_, R>,
    ) -> Option<(slots::Token, routing::EndpointKey, id::Vm)>
    where
        R: Rng,
    {
        let now = turn.now;
        let probe = match queued.idempotent {
            true => routing::Probe::Allowed,
            false => routing::Probe::Forbidden,
        };
        let mut candidates = self.candidates();
        let others = |vm: &id::Vm| Some(vm) != queued.retry_after.as_ref();
        if candidates
            .iter()
            .any(|vm| others(vm) && self.router.is_healthy(vm))
        {
            candidates.retain(others);
        }
        let endpoint = self.router.choose(now, &candidates, probe, turn.rng)?;
        let vm = self.router.vm(endpoint)?.clone();
        let token = self
            .ledger
            .key(&vm)
            .and_then(|key| self.ledger.acquire(now, key));
        if token.is_none() {
            let outcome = routing::Outcome::Abandoned;
            self.router.finish(now, endpoint, outcome);
        }
        Some((token?, endpoint, vm))
    }

    /// VMs of which this node has a free token.
    fn candidates(&self) -> Vec<id::Vm> {
        let runners = self.ledger.runners();
        runners
            .filter(|key| self.ledger.free_of(*key) > 0)
            .filter_map(|key| self.ledger.vm(key).cloned())
            .collect()
    }
}
