//! Workers: looks that renew leases and bring news, and orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time;
use wasabiloft::batch::TaskId;
use wasabiloft::batch::worker_state;
use wasabiloft::id;
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::tickets::Tickets;
use wasabiloft_platform::worker;

use crate::batch::holding;
use crate::clock;
use crate::log;
use wasabiloft::batch::scheduler::{Output, Refusal, Start, StartOutcome};

/// Longest wait for the answer to an order, in milliseconds; workers answer in a few.
const ORDER_TIMEOUT_MS: u64 = 250;
/// Longest wait for advice, in milliseconds; it grows with the workers that are named.
const ADVICE_TIMEOUT_MS: u64 = 2_000;
/// Sends of a start until its outcome counts as unknown; the same start twice is one run.
const START_SENDS: u32 = 3;
/// Time on top of a look's wait until it counts as unanswered, in milliseconds.
const LOOK_SLACK_MS: u64 = 350;
/// First and longest pause after a look without an answer, in milliseconds.
const LOOK_RETRY_MS: (u64, u64) = (40, 400);
/// Pause before a look whose ends aren't acknowledged yet, in milliseconds; a commit takes about ten.
const UNCOMMITTED_PAUSE_MS: u64 = 60;
/// Orders under way to one worker at a time; each needs a connection.
const ORDERS_AT_ONCE: usize = 3;
/// Refused connections in a row that show that a leaving worker is gone.
const REFUSALS_GONE: u32 = 3;

/// A worker that is looked at.
struct Watched {
    client: Arc<worker::Worker>,
    orders: Arc<Semaphore>,
    looks: AbortHandle,
}

/// All workers that are looked at, and the orders under way.
pub struct Workers {
    holding: Arc<holding::Holding>,
    tickets: Option<Arc<Tickets>>,
    turn: Arc<Semaphore>,
    watched: HashMap<id::Worker, Watched>,
    looks: JoinSet<()>,
    orders: JoinSet<()>,
}

impl Workers {
    /// No workers yet.
    pub fn new(holding: Arc<holding::Holding>, advice: Option<SocketAddr>) -> Self {
        Self {
            holding,
            tickets: advice.map(|address| Arc::new(Tickets::new(address))),
            turn: Arc::new(Semaphore::new(1)),
            watched: HashMap::new(),
            looks: JoinSet::new(),
            orders: JoinSet::new(),
        }
    }

    /// Carries out what the holder wants.
    pub fn carry_out(&mut self, output: Output) {
        while self.orders.try_join_next().is_some() {}
        while self.looks.try_join_next().is_some() {}
        match output {
            Output::StartPolling(listing) => self.watch(&listing),
            Output::StopPolling(worker) => {
                if let Some(watched) = self.watched.remove(&worker) {
                    watched.looks.abort();
                }
            }
            Output::Start(order) => self.start(order),
            Output::Stop { worker, task, run } => self.stop(worker, task, run),
            Output::RequestTickets { task, workers } => self.ask(task, workers),
            Output::Pace {
                worker,
                task,
                run,
                percent,
            } => self.pace(&worker, task, run, percent),
            Output::Superseded | Output::Log(_) => {}
        }
    }

    fn watch(&mut self, listing: &worker_state::Listing) {
        let client = Arc::new(worker::Worker::new(listing.worker.clone(), listing.address));
        let looks = self.looks.spawn(look(
            Arc::clone(&self.holding),
            listing.worker.clone(),
            Arc::clone(&client),
        ));
        let watched = Watched {
            client,
            orders: Arc::new(Semaphore::new(ORDERS_AT_ONCE)),
            looks,
        };
        if let Some(before) = self.watched.insert(listing.worker.clone(), watched) {
            before.looks.abort();
        }
    }

    fn start(&mut self, order: Start) {
        let holding = Arc::clone(&self.holding);
        let watched = self.watched.get(&order.worker);
        let watched =
            watched.map(|watched| (Arc::clone(&watched.client), Arc::clone(&watched.orders)));
        let begun_at = clock::since_boot();
        self.orders.spawn(async move {
            let outcome = match watched {
                Some((client, orders)) => {
                    // The semaphore is never closed, so a permit always comes.
                    let _permit = orders.acquire().await;
                    start(&client, &order, holding.epoch).await
                }
                None => StartOutcome::NotSent,
            };
            metrics::counter!("wasabiloft_starts_total", "outcome" => start_label(outcome))
                .increment(1);
            metrics::histogram!("wasabiloft_start_ms")
                .record(clock::since_boot().since_ms(begun_at) as f64);
            holding.holder().start_answered(
                &order.worker,
                order.task,
                order.run,
                outcome,
                clock::since_boot(),
            );
            holding.wake.notify_one();
        });
    }

    fn stop(&mut self, worker: id::Worker, task: TaskId, run: u32) {
        let holding = Arc::clone(&self.holding);
        let Some(client) = self
            .watched
            .get(&worker)
            .map(|watched| Arc::clone(&watched.client))
        else {
            return;
        };
        self.orders.spawn(async move {
            match client
                .stop(task, run, holding.epoch, ORDER_TIMEOUT_MS)
                .await
            {
                Ok(true) => {
                    let now = clock::since_boot();
                    holding.holder().stop_answered(&worker, task, run, now);
                }
                Ok(false) => log::info(
                    "order",
                    &format!("stop refused task={task} worker={worker}"),
                ),
                Err(error) => log::info(
                    "order",
                    &format!("stop unanswered task={task} worker={worker} reason={error}"),
                ),
            }
        });
    }

    fn ask(&mut self, task: TaskId, workers: Vec<id::Worker>) {
        let holding = Arc::clone(&self.holding);
        let (tickets, turn) = (self.tickets.clone(), Arc::clone(&self.turn));
        self.orders.spawn(async move {
            // The service takes one question of a node at a time. The semaphore is never closed.
            let _permit = turn.acquire().await;
            let answer = match &tickets {
                Some(tickets) => ask(tickets, &task, &workers).await,
                None => {
                    log::warn("order", &format!("no advice service task={task}"));
                    None
                }
            };
            let now = clock::since_boot();
            holding
                .holder()
                .tickets_received(&task, &workers, answer, now);
            holding.wake.notify_one();
        });
    }

    fn pace(&mut self, worker: &id::Worker, task: TaskId, run: u32, percent: u32) {
        let epoch = self.holding.epoch;
        let Some(client) = self
            .watched
            .get(worker)
            .map(|watched| Arc::clone(&watched.client))
        else {
            return;
        };
        let worker = worker.clone();
        self.orders.spawn(async move {
            let paced = client
                .pace(task, run, percent, epoch, ORDER_TIMEOUT_MS)
                .await;
            if !matches!(paced, Ok(true)) {
                log::info(
                    "order",
                    &format!("pace not taken task={task} worker={worker} outcome={paced:?}"),
                );
            }
        });
    }

    /// Ends all looks, and waits a little for the orders under way: one that is answered can't meet a successor's.
    pub async fn end(&mut self) {
        let orders = &mut self.orders;
        let ended = time::timeout(Duration::from_millis(ORDER_TIMEOUT_MS), async {
            while orders.join_next().await.is_some() {}
        })
        .await;
        if ended.is_err() {
            log::info("order", &format!("left unanswered orders={}", orders.len()));
        }
        orders.shutdown().await;
        self.looks.shutdown().await;
    }
}

/// A start's outcome as a metric's label.
fn start_label(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started => "started",
        StartOutcome::NoAnswer => "no-answer",
        StartOutcome::NotSent => "not-sent",
        StartOutcome::Refused { reason, .. } => match reason {
            Refusal::Fenced => "fenced",
            Refusal::Superseded => "superseded",
            Refusal::Late => "late",
            Refusal::NoRoom => "no-room",
            Refusal::Ticket => "ticket",
            Refusal::Unwell => "unwell",
            Refusal::Malformed => "malformed",
            Refusal::OtherLife => "other-life",
        },
    }
}

async fn ask(
    tickets: &Tickets,
    task: &TaskId,
    workers: &[id::Worker],
) -> Option<(Vec<(id::Worker, String)>, u64)> {
    match tickets.request(task, workers, ADVICE_TIMEOUT_MS).await {
        Ok(Some(advice)) => {
            log::info(
                "order",
                &format!(
                    "advice task={task} asked={} allowed={} valid_ms={}",
                    workers.len(),
                    advice.allowed.len(),
                    advice.valid_ms
                ),
            );
            Some((advice.allowed, advice.valid_ms))
        }
        Ok(None) => {
            log::info("order", &format!("advice refused task={task}"));
            None
        }
        Err(error) => {
            log::info(
                "order",
                &format!("advice unanswered task={task} reason={error}"),
            );
            None
        }
    }
}

async fn start(client: &worker::Worker, order: &Start, epoch: u64) -> StartOutcome {
    let mut may_have_run = false;
    for send in 1..=START_SENDS {
        match client.start(order, epoch, ORDER_TIMEOUT_MS).await {
            Ok(worker::StartReply::Accepted) => return StartOutcome::Started,
            Ok(worker::StartReply::Refused(reason)) => {
                let sends = if may_have_run { send } else { 1 };
                return StartOutcome::Refused { reason, sends };
            }
            Err(error) => {
                log::info(
                    "order",
                    &format!(
                        "start unanswered task={} run={} worker={} send={send} reason={error}",
                        order.task, order.run, order.worker
                    ),
                );
                if error.verdict != Verdict::NotRun {
                    may_have_run = true;
                } else if !may_have_run {
                    return StartOutcome::NotSent;
                }
            }
        }
    }
    StartOutcome::NoAnswer
}

/// Looks at a worker until it is forgotten.
async fn look(holding: Arc<holding::Holding>, id: id::Worker, client: Arc<worker::Worker>) {
    let mut retry_ms = LOOK_RETRY_MS.0;
    let mut refusals = 0;
    loop {
        let sent_at = clock::since_boot();
        let Some(look) = holding.holder().next_poll(&id, sent_at) else {
            return;
        };
        let timeout_ms = look.wait_ms + LOOK_SLACK_MS;
        match client.poll(&look, holding.epoch, timeout_ms).await {
            Ok(worker::PollReply::Report(report)) => {
                retry_ms = LOOK_RETRY_MS.0;
                refusals = 0;
                take_in(&holding, &id, &report, sent_at).await;
                continue;
            }
            Ok(worker::PollReply::Fenced) => {
                log::info("duty", &format!("fenced worker={id}"));
                holding.over.cancel();
                return;
            }
            Ok(worker::PollReply::OtherIncarnation) => {
                holding.holder().incarnation_ended(&id, "other-life");
                holding.wake.notify_one();
                return;
            }
            Ok(worker::PollReply::Failed(status)) => {
                log::info(
                    "holder",
                    &format!("look refused worker={id} status={status}"),
                );
            }
            Err(error) => {
                metrics::counter!("wasabiloft_looks_unanswered_total").increment(1);
                holding.holder().poll_failed(&id);
                refusals = if error.refused { refusals + 1 } else { 0 };
                if retry_ms == LOOK_RETRY_MS.0 {
                    log::info(
                        "holder",
                        &format!("worker silent worker={id} reason={error}"),
                    );
                }
                if refusals >= REFUSALS_GONE && has_left(&holding, &id) {
                    holding.holder().incarnation_ended(&id, "left");
                    holding.wake.notify_one();
                    return;
                }
            }
        }
        time::sleep(Duration::from_millis(retry_ms)).await;
        retry_ms = (retry_ms * 2).min(LOOK_RETRY_MS.1);
    }
}

fn has_left(holding: &holding::Holding, id: &id::Worker) -> bool {
    let holder = holding.holder();
    let worker = holder.workers().get(id);
    worker.is_some_and(|worker| worker.listing.leaving && !worker.listed)
}

async fn take_in(
    holding: &holding::Holding,
    id: &id::Worker,
    report: &worker_state::Report,
    sent_at: wasabiloft::clock::Instant,
) {
    let now = clock::since_boot();
    let committed = holding.committed.notified();
    holding
        .holder()
        .poll_answered(id, report, sent_at, now, clock::unix_ms());
    holding.wake.notify_one();
    if report.ended.is_empty() {
        return;
    }
    // Until its ends are acknowledged, the worker answers each look at once.
    let _ = time::timeout(Duration::from_millis(UNCOMMITTED_PAUSE_MS), committed).await;
}
