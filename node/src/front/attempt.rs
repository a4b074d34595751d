//! The attempts of one request: a slot and an endpoint for each, with retries and one hedged attempt.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use tokio::time;
use wasabiloft::dispatch;
use wasabiloft::id;
use wasabiloft::retry;
use wasabiloft::retry::budget;
use wasabiloft::verdict;

use super::Failure;
use super::call;
use crate::node;
use crate::slot;
use crate::upstream;

/// An idempotent request without answer for this long gets a second, concurrent attempt, in milliseconds.
const HEDGE_AFTER_MS: u64 = 1_000;

/// Holds the retry budget of each service.
#[derive(Debug, Default)]
pub struct Budgets {
    services: Mutex<HashMap<id::Service, budget::Budget>>,
}

impl Budgets {
    fn with<F, T>(&self, service: &id::Service, use_budget: F) -> T
    where
        F: FnOnce(&mut budget::Budget) -> T,
    {
        let mut services = lock(&self.services);
        use_budget(services.entry(service.clone()).or_default())
    }
}

/// A slot that counts as in flight at its VM, held while the endpoint may work on the request.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<node::Shared>,
    slot: slot::Slot,
}

impl Permit {
    /// Returns `None` if the VM is being drained and must get no new request.
    fn start(shared: &Arc<node::Shared>, slot: slot::Slot) -> Option<Self> {
        let started = lock(&shared.in_flight).start(&slot.endpoint.vm);
        started.then(|| Self {
            shared: Arc::clone(shared),
            slot,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.shared.in_flight).finish(&self.slot.endpoint.vm);
    }
}

/// An endpoint's answer with the permit of its attempt.
#[derive(Debug)]
pub struct Answered {
    /// The answer, complete or as a stream.
    pub answer: upstream::Answer,
    /// The permit, to be held until the answer has been forwarded.
    pub permit: Permit,
}

/// The outcome of one attempt.
enum Outcome {
    Answered(Box<Answered>),
    Refused(verdict::Reason),
    Failed(retry::Failure, SocketAddr),
}

/// Attempts a request until it is answered or the retry policy gives up.
pub async fn run(shared: &Arc<node::Shared>, call: &call::Call) -> Result<Answered, Failure> {
    let spec = retry::Spec {
        idempotent: call.kind().idempotent,
        deadline: shared.clock.now().after_ms(call.remaining_ms()),
    };
    let budgets = &shared.budgets;
    let service = call.service();
    let mut attempts = budgets.with(service, |budget| retry::Attempts::new(spec, budget));
    let latest = Mutex::new(None);
    let mut running = FuturesUnordered::new();
    running.push(run_once(shared, call, None, &latest));
    attempts.start();
    let hedge = time::sleep(Duration::from_millis(HEDGE_AFTER_MS));
    tokio::pin!(hedge);
    let mut may_hedge = spec.idempotent;
    loop {
        let outcome = tokio::select! {
            outcome = running.select_next_some() => outcome,
            () = &mut hedge, if may_hedge => {
                may_hedge = false;
                let now = shared.clock.now();
                if budgets.with(service, |budget| attempts.hedge(now, budget)) {
                    count_retry("hedge");
                    let avoid = *lock(&latest);
                    running.push(run_once(shared, call, avoid, &latest));
                    attempts.start();
                }
                continue;
            }
        };
        let (step, address) = match outcome {
            Outcome::Answered(answered) => return Ok(*answered),
            Outcome::Refused(reason) => (attempts.refuse(reason), None),
            Outcome::Failed(failure, address) => {
                let now = shared.clock.now();
                let step = budgets.with(service, |budget| attempts.fail(now, failure, budget));
                if step == retry::Step::Retry {
                    count_retry(&failure.reason.to_string());
                }
                (step, Some(address))
            }
        };
        match step {
            retry::Step::Wait => {}
            retry::Step::GiveUp(verdict, reason) => return Err(Failure { verdict, reason }),
            retry::Step::Retry => {
                running.push(run_once(shared, call, address, &latest));
                attempts.start();
            }
        }
    }
}

/// Runs one attempt and stores its endpoint in `latest`; avoids `avoid` if another endpoint has a slot.
async fn run_once(
    shared: &Arc<node::Shared>,
    call: &call::Call,
    avoid: Option<SocketAddr>,
    latest: &Mutex<Option<SocketAddr>>,
) -> Outcome {
    let slot_request = slot::Request {
        service: call.service(),
        kind: call.kind(),
        avoid,
        remaining_ms: call.remaining_ms(),
    };
    let slot = match shared.slots.acquire(&slot_request).await {
        Ok(slot) => slot,
        Err(reason) => return Outcome::Refused(reason),
    };
    let address = slot.endpoint.address;
    *lock(latest) = Some(address);
    let Some(mut permit) = Permit::start(shared, slot) else {
        let failure = retry::Failure {
            progress: retry::Progress::NothingSent,
            reason: verdict::Reason::NoEndpoint,
        };
        return Outcome::Failed(failure, address);
    };
    let request = call.upstream_request();
    let sent = shared
        .upstream
        .send(address, request, call.work(), call.deadline);
    let sent = sent.await;
    permit.slot.end(ending(&sent));
    match sent {
        Ok(answer) if is_refusal(&answer) => {
            let failure = retry::Failure {
                progress: retry::Progress::Refused,
                reason: verdict::Reason::EndpointRefused,
            };
            Outcome::Failed(failure, address)
        }
        Ok(answer) => Outcome::Answered(Box::new(Answered { answer, permit })),
        Err(failure) => Outcome::Failed(failure, address),
    }
}

/// Classifies the end of an attempt for the endpoint's health tracking.
fn ending(sent: &Result<upstream::Answer, retry::Failure>) -> dispatch::Ending {
    match sent {
        Ok(answer) if is_refusal(answer) => dispatch::Ending::Refused,
        Ok(answer) if status(answer).is_server_error() => dispatch::Ending::Failed,
        Ok(_) => dispatch::Ending::Answered,
        Err(failure) => match failure.reason {
            verdict::Reason::AnswerTimeout => dispatch::Ending::TimedOut,
            _ => dispatch::Ending::Failed,
        },
    }
}

fn status(answer: &upstream::Answer) -> StatusCode {
    match answer {
        upstream::Answer::Complete(response) => response.status(),
        upstream::Answer::Streamed(parts, _) => parts.status,
    }
}

/// Returns true if the endpoint itself reports that it did not run the request.
fn is_refusal(answer: &upstream::Answer) -> bool {
    let headers = match answer {
        upstream::Answer::Complete(response) => response.headers(),
        upstream::Answer::Streamed(parts, _) => &parts.headers,
    };
    let verdict = headers.get(verdict::VERDICT_HEADER);
    verdict.is_some_and(|verdict| verdict == "not-run")
}

fn count_retry(reason: &str) {
    let reason = reason.to_owned();
    metrics::counter!("wasabiloft_retries_total", "reason" => reason).increment(1);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
