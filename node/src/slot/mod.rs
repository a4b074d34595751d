//! Slots of endpoints: drives [`wasabiloft::dispatch`] for each service with requests, messages and time.

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

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 10;
/// Ticks between two readings of the gauges.
const GAUGE_TICKS: u64 = 100;
/// The longest that a stopping node waits until its slots are passed on, in milliseconds.
const LEAVE_MAX_MS: u64 = 500;
/// Ticks between two looks at documents, endpoints and roster.
const FOLLOW_TICKS: u64 = 5;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Its service.
    pub service: &'a id::Service,
    /// Its kind.
    pub kind: &'a document::Kind,
    /// For a retry, the endpoint to keep away from if another has a slot.
    pub avoid: Option<SocketAddr>,
    /// The time that is left for its answer, in milliseconds.
    pub left_ms: u64,
}

/// The slots of all services; clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    inner: Arc<Inner>,
}

/// What the clones share.
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
    /// The endpoint.
    pub endpoint: view::Endpoint,
    ticket: Ticket,
}

impl Slot {
    /// Notes how the request ended; without it the caller counts as gone.
    pub fn end(&mut self, ending: dispatch::Ending) {
        self.ticket.ending = ending;
    }
}

/// A request that waits for a slot or holds one; dropping it gives both up.
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
    /// No services yet.
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

    /// Waits for a slot at an endpoint that is not leaving, at another than `avoid` if there is one.
    ///
    /// # Errors
    ///
    /// The reason for which the request was not sent.
    pub async fn acquire(&self, wanted: &Wanted<'_>) -> Result<Slot, verdict::Reason> {
        let (reply, granted) = oneshot::channel();
        let ticket = self.queue(wanted, reply)?;
        let endpoint = granted.await.unwrap_or(Err(verdict::Reason::NoEndpoint))?;
        Ok(Slot { endpoint, ticket })
    }

    fn queue(&self, wanted: &Wanted<'_>, reply: entry::Reply) -> Result<Ticket, verdict::Reason> {
        let mut state = self.lock();
        state.next_request += 1;
        let request = admission::RequestId::from(state.next_request);
        let entry = state.services.get_mut(wanted.service);
        let entry = entry.ok_or(verdict::Reason::NodeStarting)?;
        let kind = entry.kind(&wanted.kind.name);
        let kind = kind.ok_or(verdict::Reason::UnknownService)?;
        let arrival = dispatch::Arrival {
            request,
            kind,
            deadline: self.inner.clock.now().after_ms(wanted.left_ms),
            idempotent: wanted.kind.idempotent,
            retry_after: wanted.avoid.and_then(|address| entry.vm_at(address)),
        };
        entry.wait(request, reply);
        drop(state);
        self.input(wanted.service, dispatch::Input::Arrive(arrival));
        Ok(Ticket {
            slots: self.clone(),
            service: wanted.service.clone(),
            request,
            ending: dispatch::Ending::Abandoned,
        })
    }

    /// Feeds one service and carries out what it decides.
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

    /// True once this node has held a slot of each service that has endpoints.
    pub fn is_ready(&self, view: &view::View) -> bool {
        let state = self.lock();
        view.documents.values().all(|accepted| {
            let document = &accepted.document;
            let entry = state.services.get(&document.service);
            let is_dealt = entry.is_some_and(entry::Entry::is_dealt);
            is_dealt || view.endpoints_of(document).is_none()
        })
    }

    fn services(&self) -> Vec<id::Service> {
        self.lock().services.keys().cloned().collect()
    }

    /// Brings one service up to the document, the endpoints and the roster that are in force.
    fn follow(&self, shared: &node::Shared, accepted: &view::Accepted) {
        let document = &accepted.document;
        let endpoints = shared.view.borrow().endpoints_of(document).cloned();
        let endpoints = endpoints.unwrap_or_default();
        let control = shared.control.state();
        let mut state = self.lock();
        let entry = state.services.entry(document.service.clone());
        let entry = entry.or_insert_with(|| entry::Entry::new(&self.inner.me, document));
        let now = self.inner.clock.now();
        let inputs = entry.follow(now, document, &endpoints, &control);
        drop(state);
        for input in inputs {
            self.input(&document.service, input);
        }
    }

    fn held(&self) -> u32 {
        let state = self.lock();
        state.services.values().map(entry::Entry::held).sum()
    }

    fn gauge(&self) {
        let state = self.lock();
        for (service, entry) in &state.services {
            entry.gauge(service);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drives the slots of all services until `stop`, and then until they are passed on, for a limited time.
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
                stop_by = Some(time::Instant::now() + Duration::from_millis(LEAVE_MAX_MS));
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
                if ticks.is_multiple_of(FOLLOW_TICKS) {
                    follow(&shared);
                }
                ticks += 1;
                tick(&shared);
                if ticks.is_multiple_of(GAUGE_TICKS) {
                    shared.slots.gauge();
                }
            }
        }
    }
}

/// Brings all services up to the documents, endpoints and roster that are in force.
fn follow(shared: &node::Shared) {
    let view = Arc::clone(&shared.view.borrow());
    for accepted in view.documents.values() {
        shared.slots.follow(shared, accepted);
    }
}

fn tick(shared: &node::Shared) {
    let view = Arc::clone(&shared.view.borrow());
    for service in view.documents.keys() {
        shared.slots.input(service, dispatch::Input::Tick);
    }
}
