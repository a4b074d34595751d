//! One service's slots and its requests that wait for them.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use wasabiloft::admission;
use wasabiloft::clock;
use wasabiloft::config;
use wasabiloft::dispatch;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::peers;
use wasabiloft::roster;
use wasabiloft::slots;
use wasabiloft::verdict;

use crate::control;
use crate::view;

/// Sends a waiting request its endpoint, or the reason for its refusal.
pub(super) type Reply = oneshot::Sender<Result<view::Endpoint, verdict::Reason>>;

/// A service's dispatcher with its last inputs and its waiting requests.
#[derive(Debug)]
pub(super) struct Entry {
    service: dispatch::Service,
    kinds: Vec<(id::Kind, admission::KindSpec)>,
    runners: Vec<dispatch::Runner>,
    endpoints: Vec<view::Endpoint>,
    roster: slots::Roster,
    awaited_since: HashMap<roster::NodeId, clock::Instant>,
    waiting: HashMap<admission::RequestId, Reply>,
    has_held: bool,
}

impl Entry {
    pub(super) fn new(me: &roster::NodeId, document: &document::Document) -> Self {
        let kinds = kinds(document);
        let specs: Vec<_> = kinds.iter().map(|(_, spec)| *spec).collect();
        let deadlines = document.kinds.iter().map(|kind| kind.deadline_ms);
        let settings = dispatch::Settings {
            longest_request_ms: deadlines.max().unwrap_or_default(),
            ..dispatch::Settings::default()
        };
        Self {
            service: dispatch::Service::new(me.clone(), &specs, settings),
            kinds,
            runners: Vec::new(),
            endpoints: Vec::new(),
            roster: slots::Roster::default(),
            awaited_since: HashMap::new(),
            waiting: HashMap::new(),
            has_held: false,
        }
    }

    /// Returns the index of a kind.
    pub(super) fn kind(&self, name: &id::Kind) -> Option<admission::KindIndex> {
        let index = self.kinds.iter().position(|(kind, _)| kind == name);
        index.map(admission::KindIndex::from)
    }

    /// Returns the VM whose runner listens at an address.
    pub(super) fn vm_at(&self, address: SocketAddr) -> Option<id::Vm> {
        let mut endpoints = self.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| endpoint.address == address);
        endpoint.map(|endpoint| endpoint.vm.clone())
    }

    /// Stores the reply channel of a request, before the request is handed to the dispatcher.
    pub(super) fn add_waiting(&mut self, request: admission::RequestId, reply: Reply) {
        self.waiting.insert(request, reply);
    }

    /// Hands an input to the dispatcher, answers the requests that it starts or refuses, and returns the messages
    /// to send.
    pub(super) fn input(
        &mut self,
        now: clock::Instant,
        input: dispatch::Input,
        rng: &mut SmallRng,
    ) -> Vec<(roster::NodeId, slots::Message)> {
        if let dispatch::Input::Cancel(request) = &input {
            self.waiting.remove(request);
        }
        let mut messages = Vec::new();
        let mut outputs = Vec::new();
        self.service.handle(now, input, rng, &mut outputs);
        self.has_held |= self.service.ledger().held() > 0;
        for output in outputs {
            match output {
                dispatch::Output::Start { request, vm } => self.start(request, &vm),
                dispatch::Output::Refuse { request, reason } => self.reply(request, Err(reason)),
                dispatch::Output::Send { to, message } => messages.push((to, message)),
            }
        }
        messages
    }

    /// Compares the configuration with that of the last call and returns the changes as inputs.
    pub(super) fn changes(
        &mut self,
        now: clock::Instant,
        document: &document::Document,
        endpoints: &[view::Endpoint],
        control: &control::State,
    ) -> Vec<dispatch::Input> {
        let mut inputs = Vec::new();
        if let config::ServingState::ServingUntil(until) = control.standing {
            inputs.push(dispatch::Input::Serving { until });
        }
        inputs.extend(self.changed_kinds(document));
        inputs.extend(self.changed_runners(document, endpoints));
        inputs.extend(self.changed_roster(&control.roster));
        inputs.extend(self.lapsed_nodes(now));
        inputs
    }

    /// Returns true once this node has held a slot.
    pub(super) fn has_held_slots(&self) -> bool {
        self.has_held
    }

    /// Returns the number of slots that this node holds.
    pub(super) fn held(&self) -> u32 {
        self.service.ledger().held()
    }

    /// Updates the gauges and counters of the service.
    pub(super) fn export_metrics(&self, service: &id::Service) {
        let service = service.to_string();
        let allocator = self.service.ledger();
        let gauge = |name: &'static str, value: u32| {
            metrics::gauge!(name, "service" => service.clone()).set(f64::from(value));
        };
        gauge("wasabiloft_slots_held", allocator.held());
        gauge("wasabiloft_slots_free", allocator.free());
        gauge("wasabiloft_slots_total", allocator.total());
        let count = |name: &'static str, value: u64| {
            metrics::counter!(name, "service" => service.clone()).absolute(value);
        };
        let counters = allocator.counters();
        count("wasabiloft_slots_given_total", counters.transferred);
        count("wasabiloft_slots_received_total", counters.received);
        count("wasabiloft_slots_dealt_total", counters.assigned);
        count("wasabiloft_slots_rounds_total", counters.rounds);
        count("wasabiloft_slots_lapses_total", counters.lapses);
        count("wasabiloft_slots_doubled_total", counters.duplicate_tokens);
        count("wasabiloft_slots_asks_total", counters.token_requests);
        let counters = self.service.router().counters();
        count("wasabiloft_endpoints_ejected_total", counters.ejected);
        count("wasabiloft_endpoints_kept_total", counters.kept);
        count("wasabiloft_endpoints_readmitted_total", counters.readmitted);
    }

    fn start(&mut self, request: admission::RequestId, vm: &id::Vm) {
        let endpoint = self.endpoints.iter().find(|endpoint| endpoint.vm == *vm);
        let endpoint = endpoint.cloned().ok_or(verdict::Reason::NoEndpoint);
        self.reply(request, endpoint);
    }

    /// Replies to a waiting request; if it has been dropped, its ticket releases the slot.
    fn reply(
        &mut self,
        request: admission::RequestId,
        granted: Result<view::Endpoint, verdict::Reason>,
    ) {
        if let Some(reply) = self.waiting.remove(&request) {
            let _ = reply.send(granted);
        }
    }

    fn changed_kinds(&mut self, document: &document::Document) -> Option<dispatch::Input> {
        let new_kinds = kinds(document);
        if new_kinds == self.kinds {
            return None;
        }
        let changed = new_kinds.iter().map(|(name, spec)| dispatch::Kind {
            spec: *spec,
            before: self.kind(name),
        });
        let input = dispatch::Input::Kinds(changed.collect());
        self.kinds = new_kinds;
        Some(input)
    }

    fn changed_runners(
        &mut self,
        document: &document::Document,
        endpoints: &[view::Endpoint],
    ) -> Option<dispatch::Input> {
        let runners: Vec<_> = endpoints
            .iter()
            .map(|endpoint| dispatch::Runner {
                vm: endpoint.vm.clone(),
                slots: document.capacity.slots_per_runner,
                leaving: endpoint.leaving,
            })
            .collect();
        self.endpoints = endpoints.to_vec();
        if runners == self.runners {
            return None;
        }
        self.runners.clone_from(&runners);
        Some(dispatch::Input::Runners(runners))
    }

    fn changed_roster(&mut self, roster: &roster::Roster) -> Option<dispatch::Input> {
        if roster.members.is_empty() || roster.head <= self.roster.version {
            return None;
        }
        let members: Vec<_> = roster
            .members
            .iter()
            .map(|member| member.id.clone())
            .collect();
        let old = std::mem::take(&mut self.roster.members);
        let departed = old.into_iter().filter(|node| !members.contains(node));
        let departed = departed.collect();
        self.roster = slots::Roster {
            version: roster.head,
            members,
            departed,
        };
        Some(dispatch::Input::Roster(self.roster.clone()))
    }

    /// Returns the members of earlier rosters that have been awaited for `peers::ENDED_AFTER_MS`, after which they
    /// must have noticed that they can't serve any more.
    fn lapsed_nodes(&mut self, now: clock::Instant) -> Vec<dispatch::Input> {
        let awaited: Vec<_> = self.service.ledger().awaited().cloned().collect();
        self.awaited_since.retain(|node, _| awaited.contains(node));
        let mut lapsed = Vec::new();
        for node in awaited {
            let since = *self.awaited_since.entry(node.clone()).or_insert(now);
            if now.since_ms(since) >= peers::ENDED_AFTER_MS {
                lapsed.push(dispatch::Input::Lapsed(node));
            }
        }
        lapsed
    }
}

fn kinds(document: &document::Document) -> Vec<(id::Kind, admission::KindSpec)> {
    let kinds = document.kinds.iter();
    kinds
        .map(|kind| {
            let spec = admission::KindSpec {
                urgency: kind.urgency,
                share: kind.share,
            };
            (kind.name.clone(), spec)
        })
        .collect()
}
