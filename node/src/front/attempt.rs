//! The attempts of one request: a slot and an endpoint for each, retries and a hedge.

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

/// An idempotent request without answer for this long gets a second attempt beside the first, in milliseconds.
const HEDGE_AFTER_MS: u64 = 1_000;

/// The retry budgets of the services.
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

/// A slot and its place in the ledger of drains, held while the endpoint may work on the request.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<node::Shared>,
    slot: slot::Slot,
}

impl Permit {
    /// `None` if the endpoint must get nothing new.
    fn start(shared: &Arc<node::Shared>, slot: slot::Slot) -> Option<Self> {
        let started = lock(&shared.ledger).start(&slot.endpoint.vm);
        started.then(|| Self {
            shared: Arc::clone(shared),
            slot,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.shared.ledger).finish(&self.slot.endpoint.vm);
    }
}

/// An endpoint's answer, with the permit that it was given under.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub answer: upstream::Answer,
    /// The permit, to be kept until the answer has been passed on.
    pub permit: Permit,
}

/// How one attempt ended.
enum Ended {
    Answered(Box<Answered>),
    Refused(verdict::Reason),
    Failed(retry::Failure, SocketAddr),
}

/// Runs a request until it is answered, or until nothing more may be tried.
pub async fn run(shared: &Arc<node::Shared>, call: &call::Call) -> Result<Answered, Failure> {
    let spec = retry::Spec {
        idempotent: call.kind().idempotent,
        deadline: shared.clock.now().after_ms(call.left_ms()),
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
        let ended = tokio::select! {
            ended = running.select_next_some() => ended,
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
        let (step, address) = match ended {
            Ended::Answered(answered) => return Ok(*answered),
            Ended::Refused(reason) => (attempts.refuse(reason), None),
            Ended::Failed(failure, address) => {
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

/// Runs one attempt, away from `avoid` if another endpoint has a slot, and notes its endpoint in `latest`.
async fn run_once(
    shared: &Arc<node::Shared>,
    call: &call::Call,
    avoid: Option<SocketAddr>,
    latest: &Mutex<Option<SocketAddr>>,
) -> Ended {
    let wanted = slot::Wanted {
        service: call.service(),
        kind: call.kind(),
        avoid,
        left_ms: call.left_ms(),
    };
    let slot = match shared.slots.acquire(&wanted).await {
        Ok(slot) => slot,
        Err(reason) => return Ended::Refused(reason),
    };
    let address = slot.endpoint.address;
    *lock(latest) = Some(address);
    let Some(mut permit) = Permit::start(shared, slot) else {
        let failure = retry::Failure {
            progress: retry::Progress::NothingSent,
            reason: verdict::Reason::NoEndpoint,
        };
        return Ended::Failed(failure, address);
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
            Ended::Failed(failure, address)
        }
        Ok(answer) => Ended::Answered(Box::new(Answered { answer, permit })),
        Err(failure) => Ended::Failed(failure, address),
    }
}

/// What the end of an attempt says of its endpoint.
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
        upstream::Answer::Whole(response) => response.status(),
        upstream::Answer::Streamed(parts, _) => parts.status,
    }
}

/// Tells whether the endpoint itself says that it did not run the request.
fn is_refusal(answer: &upstream::Answer) -> bool {
    let headers = match answer {
        upstream::Answer::Whole(response) => response.headers(),
        upstream::Answer::Streamed(parts, _) => &parts.headers,
    };
    let said = headers.get(verdict::VERDICT_HEADER);
    said.is_some_and(|said| said == "not-run")
}

fn count_retry(reason: &str) {
    let reason = reason.to_owned();
    metrics::counter!("wasabiloft_retries_total", "reason" => reason).increment(1);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
