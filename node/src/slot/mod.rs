//! Slots of endpoints: drives a [`wasabiloft::dispatch`] service with requests, messages and ticks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::admission;
use wasabiloft::dispatch;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::roster;
use wasabiloft::slots;
use wasabiloft::verdict;

use crate::clock;
use crate::node;
use crate::peers;
use crate::view;

mod entry;

/// Interval between ticks, in milliseconds.
const TICK_MS: u64 = 10;
/// Number of ticks between updates of the metrics.
const METRICS_TICKS: u64 = 100;
/// Maximum time that a stopping node waits until its slots are transferred to other nodes, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 500;
/// Number of ticks between checks for changed documents, endpoints or roster.
const UPDATE_TICKS: u64 = 5;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service that is called.
    pub service: &'a id::Service,
    /// The request's kind.
    pub kind: &'a document::Kind,
    /// For a retry, the endpoint to avoid if another has a slot.
    pub avoid: Option<SocketAddr>,
    /// The time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Holds the slots of all services; clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    me: roster::NodeId,
    clock: clock::Clock,
    links: Arc<peers::Links>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    services: HashMap<id::Service, entry::Entry>,
    rng: SmallRng,
    next_request: u64,
}

/// A slot at an endpoint, held while the endpoint may work on the request.
#[derive(Debug)]
pub struct Slot {
    /// The endpoint to which the request is sent.
    pub endpoint: view::Endpoint,
    ticket: Ticket,
}

impl Slot {
    /// Records how the request ended; without it the request counts as abandoned by its caller.
    pub fn end(&mut self, ending: dispatch::Ending) {
        self.ticket.ending = ending;
    }
}

/// A request that waits for a slot or holds one; dropping it cancels the request or releases the slot.
#[derive(Debug)]
struct Ticket {
    slots: Slots,
    service: id::Service,
    request: admission::RequestId,
    ending: dispatch::Ending,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let request = self.request;
        let ending = self.ending;
        let inputs = [
            dispatch::Input::Cancel(request),
            dispatch::Input::Finish { request, ending },
        ];
        for input in inputs {
            self.slots.input(&self.service, input);
        }
    }
}

impl Slots {
    /// Creates the slots of a node, without services.
    pub fn new(me: roster::NodeId, clock: clock::Clock, links: Arc<peers::Links>) -> Self {
        let state = State {
            services: HashMap::new(),
            rng: SmallRng::from_os_rng(),
            next_request: 0,
        };
        let inner = Inner {
            me,
            clock,
            links,
            state: Mutex::new(state),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Waits for a slot at an endpoint that is not leaving, other than `avoid` if possible.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request was refused.
    pub async fn acquire(&self, slot_request: &Request<'_>) -> Result<Slot, verdict::Reason> {
        let (reply, granted) = oneshot::channel();
        let ticket = self.queue(slot_request, reply)?;
        let endpoint = granted.await.unwrap_or(Err(verdict::Reason::NoEndpoint))?;
        Ok(Slot { endpoint, ticket })
    }

    fn queue(
        &self,
        slot_request: &Request<'_>,
        reply: entry::Reply,
    ) -> Result<Ticket, verdict::Reason> {
        let mut state = self.lock();
        state.next_request += 1;
        let request = admission::RequestId::from(state.next_request);
        let entry = state.services.get_mut(slot_request.service);
        let entry = entry.ok_or(verdict::Reason::NodeStarting)?;
        let kind = entry.kind(&slot_request.kind.name);
        let kind = kind.ok_or(verdict::Reason::UnknownService)?;
        let arrival = dispatch::Arrival {
            request,
            kind,
            deadline: self.inner.clock.now().after_ms(slot_request.remaining_ms),
            idempotent: slot_request.kind.idempotent,
            retry_after: slot_request.avoid.and_then(|address| entry.vm_at(address)),
        };
        entry.add_waiting(request, reply);
        drop(state);
        self.input(slot_request.service, dispatch::Input::Arrive(arrival));
        Ok(Ticket {
            slots: self.clone(),
            service: slot_request.service.clone(),
            request,
            ending: dispatch::Ending::Abandoned,
        })
    }

    /// Hands an input to one service and sends the resulting messages.
    fn input(&self, service: &id::Service, input: dispatch::Input) {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        let State { services, rng, .. } = &mut *state;
        let Some(entry) = services.get_mut(service) else {
            return;
        };
        let messages = entry.input(now, input, rng);
        drop(state);
        for (to, message) in messages {
            let message = peers::Message::Slots(service.clone(), message);
            self.inner.links.send(&to.node, message);
        }
    }

    /// Returns true once this node has held a slot of each service that has endpoints.
    pub fn is_ready(&self, view: &view::View) -> bool {
        let state = self.lock();
        view.documents.values().all(|accepted| {
            let document = &accepted.document;
            let entry = state.services.get(&document.service);
            let has_held = entry.is_some_and(entry::Entry::has_held_slots);
            has_held || view.endpoints_of(document).is_none()
        })
    }

    fn services(&self) -> Vec<id::Service> {
        self.lock().services.keys().cloned().collect()
    }

    /// Applies the document, endpoints and roster in force to one service.
    fn update(&self, shared: &node::Shared, accepted: &view::Accepted) {
        let document = &accepted.document;
        let endpoints = shared.view.borrow().endpoints_of(document).cloned();
        let endpoints = endpoints.unwrap_or_default();
        let control = shared.control.state();
        let mut state = self.lock();
        let entry = state.services.entry(document.service.clone());
        let entry = entry.or_insert_with(|| entry::Entry::new(&self.inner.me, document));
        let now = self.inner.clock.now();
        let inputs = entry.changes(now, document, &endpoints, &control);
        drop(state);
        for input in inputs {
            self.input(&document.service, input);
        }
    }

    fn held(&self) -> u32 {
        let state = self.lock();
        state.services.values().map(entry::Entry::held).sum()
    }

    fn export_metrics(&self) {
        let state = self.lock();
        for (service, entry) in &state.services {
            entry.export_metrics(service);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drives the slots of all services until `stop`, then until this node holds none or a time limit is reached.
pub async fn run(
    shared: Arc<node::Shared>,
    mut inbox: mpsc::Receiver<peers::Incoming<(id::Service, slots::Message)>>,
    stop: CancellationToken,
) {
    let mut timer = time::interval(Duration::from_millis(TICK_MS));
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut stop_by: Option<time::Instant> = None;
    let mut ticks: u64 = 0;
    loop {
        let ended = stop_by.is_some_and(|by| time::Instant::now() >= by);
        if ended || (stop_by.is_some() && shared.slots.held() == 0) {
            return;
        }
        tokio::select! {
            () = stop.cancelled(), if stop_by.is_none() => {
                stop_by = Some(time::Instant::now() + Duration::from_millis(LEAVE_TIMEOUT_MS));
                for service in shared.slots.services() {
                    shared.slots.input(&service, dispatch::Input::Leave);
                }
            }
            Some(incoming) = inbox.recv() => {
                let (service, message) = incoming.message;
                let from = incoming.from;
                shared.slots.input(&service, dispatch::Input::Message { from, message });
            }
            _ = timer.tick() => {
                if ticks.is_multiple_of(UPDATE_TICKS) {
                    update(&shared);
                }
                ticks += 1;
                tick(&shared);
                if ticks.is_multiple_of(METRICS_TICKS) {
                    shared.slots.export_metrics();
                }
            }
        }
    }
}

/// Applies the documents, endpoints and roster in force to all services.
fn update(shared: &node::Shared) {
    let view = Arc::clone(&shared.view.borrow());
    for accepted in view.documents.values() {
        shared.slots.update(shared, accepted);
    }
}

fn tick(shared: &node::Shared) {
    let view = Arc::clone(&shared.view.borrow());
    for service in view.documents.keys() {
        shared.slots.input(service, dispatch::Input::Tick);
    }
}
