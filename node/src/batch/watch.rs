//! Polls the workers, which renews their leases and returns their reports, and sends them commands.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time;
use wasabiloft::batch::TaskId;
use wasabiloft::batch::connections::Connection;
use wasabiloft::batch::worker_state;
use wasabiloft::id;
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::tickets::Tickets;

use crate::batch::channels::{Channels, Recipient};
use crate::batch::leadership;
use crate::batch::relay::message::{Command, Failure, Response};
use crate::clock;
use crate::log;
use wasabiloft::batch::scheduler::{IncarnationEnd, Output, Refusal, Start, StartOutcome};

/// Timeout of a command, in milliseconds; workers respond within a few milliseconds.
const COMMAND_TIMEOUT_MS: u64 = 250;
/// Timeout of a request for tickets, in milliseconds; the response time grows with the number of workers.
const TICKETS_TIMEOUT_MS: u64 = 2_000;
/// Attempts to send a start before its outcome counts as unknown; a worker treats a repeated start as one run.
const START_ATTEMPTS_MAX: u32 = 3;
/// Timeout of a poll beyond its wait, in milliseconds.
const POLL_TIMEOUT_MARGIN_MS: u64 = 350;
/// First and longest pause after a poll without a response, in milliseconds.
const POLL_RETRY_MS: (u64, u64) = (40, 400);
/// Longest pause before a poll while ended runs aren't acknowledged yet, in milliseconds; a commit takes about 10 ms.
const UNCOMMITTED_PAUSE_MS: u64 = 60;
/// Maximum number of concurrent commands to one worker; each needs a connection.
const CONCURRENT_COMMANDS_MAX: usize = 3;

/// A worker that is polled.
struct PolledWorker {
    recipient: Recipient,
    commands: Arc<Semaphore>,
    poll_task: AbortHandle,
}

/// All polled workers and the commands in progress.
pub struct Workers {
    leadership: Arc<leadership::Leadership>,
    channels: Arc<Channels>,
    tickets: Option<Arc<Tickets>>,
    ticket_permit: Arc<Semaphore>,
    polled: HashMap<id::Worker, PolledWorker>,
    polls: JoinSet<()>,
    commands: JoinSet<()>,
}

impl Workers {
    /// Creates an empty set of workers; `ticket_service` is the address of the ticket service.
    pub fn new(
        leadership: Arc<leadership::Leadership>,
        ticket_service: Option<SocketAddr>,
    ) -> Self {
        Self {
            channels: Arc::new(Channels::new(Arc::clone(&leadership))),
            leadership,
            tickets: ticket_service.map(|address| Arc::new(Tickets::new(address))),
            ticket_permit: Arc::new(Semaphore::new(1)),
            polled: HashMap::new(),
            polls: JoinSet::new(),
            commands: JoinSet::new(),
        }
    }

    /// Executes an output of the scheduler.
    pub fn execute(&mut self, output: Output) {
        while self.commands.try_join_next().is_some() {}
        while self.polls.try_join_next().is_some() {}
        match output {
            Output::StartPolling(listing) => self.start_polling(&listing),
            Output::StopPolling(worker) => {
                if let Some(polled) = self.polled.remove(&worker) {
                    polled.poll_task.abort();
                }
                self.channels.forget(&worker);
            }
            Output::Start(command) => self.start(command),
            Output::Stop { worker, task, run } => self.stop(worker, task, run),
            Output::RequestTickets { task, workers } => self.request_tickets(task, workers),
            Output::Pace {
                worker,
                task,
                run,
                percent,
            } => self.pace(&worker, task, run, percent),
            Output::Superseded | Output::Log(_) => {}
        }
    }

    fn start_polling(&mut self, listing: &worker_state::Listing) {
        let recipient = Recipient::new(listing);
        let poll_task = self.polls.spawn(poll(
            Arc::clone(&self.leadership),
            Arc::clone(&self.channels),
            recipient.clone(),
        ));
        let polled = PolledWorker {
            recipient,
            commands: Arc::new(Semaphore::new(CONCURRENT_COMMANDS_MAX)),
            poll_task,
        };
        if let Some(before) = self.polled.insert(listing.worker.clone(), polled) {
            before.poll_task.abort();
        }
    }

    fn start(&mut self, command: Start) {
        let leadership = Arc::clone(&self.leadership);
        let channels = Arc::clone(&self.channels);
        let polled = self.polled.get(&command.worker);
        let polled = polled.map(|polled| (polled.recipient.clone(), Arc::clone(&polled.commands)));
        let begun_at = clock::since_boot();
        self.commands.spawn(async move {
            leadership
                .meter
                .record_unsent(clock::since_boot().since_ms(begun_at));
            let outcome = match polled {
                Some((recipient, commands)) => {
                    // The semaphore is never closed, so a permit is always granted.
                    let _permit = commands.acquire().await;
                    start(&leadership, &channels, &recipient, &command).await
                }
                None => StartOutcome::NotSent,
            };
            metrics::counter!("wasabiloft_starts_total", "outcome" => start_label(outcome))
                .increment(1);
            metrics::histogram!("wasabiloft_start_ms")
                .record(clock::since_boot().since_ms(begun_at) as f64);
            leadership.scheduler().start_answered(
                &command.worker,
                command.task,
                command.run,
                outcome,
                clock::since_boot(),
            );
            leadership.wake.notify_one();
        });
    }

    fn recipient(&self, worker: &id::Worker) -> Option<Recipient> {
        self.polled
            .get(worker)
            .map(|polled| polled.recipient.clone())
    }

    fn stop(&mut self, worker: id::Worker, task: TaskId, run: u32) {
        let leadership = Arc::clone(&self.leadership);
        let channels = Arc::clone(&self.channels);
        let Some(recipient) = self.recipient(&worker) else {
            return;
        };
        self.commands.spawn(async move {
            let command = Command::Stop { task, run };
            match channels.call(&recipient, command, COMMAND_TIMEOUT_MS).await {
                Ok(Response::Done(true)) => {
                    let now = clock::since_boot();
                    leadership
                        .scheduler()
                        .stop_answered(&worker, task, run, now);
                }
                Ok(_) => log::info(
                    "order",
                    &format!("stop refused task={task} worker={worker}"),
                ),
                Err(error) => log::info(
                    "order",
                    &format!(
                        "stop got no response task={task} worker={worker} reason={}",
                        error.reason
                    ),
                ),
            }
        });
    }

    fn request_tickets(&mut self, task: TaskId, workers: Vec<id::Worker>) {
        let leadership = Arc::clone(&self.leadership);
        let (tickets, ticket_permit) = (self.tickets.clone(), Arc::clone(&self.ticket_permit));
        self.commands.spawn(async move {
            // The service accepts one request of a node at a time. The semaphore is never closed.
            let _permit = ticket_permit.acquire().await;
            let answer = match &tickets {
                Some(tickets) => request_tickets(tickets, &task, &workers).await,
                None => {
                    log::warn("order", &format!("no ticket service task={task}"));
                    None
                }
            };
            let now = clock::since_boot();
            leadership
                .scheduler()
                .tickets_received(&task, &workers, answer, now);
            leadership.wake.notify_one();
        });
    }

    fn pace(&mut self, worker: &id::Worker, task: TaskId, run: u32, percent: u32) {
        let channels = Arc::clone(&self.channels);
        let Some(recipient) = self.recipient(worker) else {
            return;
        };
        let worker = worker.clone();
        self.commands.spawn(async move {
            let command = Command::Pace { task, run, percent };
            let paced = channels.call(&recipient, command, COMMAND_TIMEOUT_MS).await;
            if !matches!(paced, Ok(Response::Done(true))) {
                log::info(
                    "order",
                    &format!("pace refused task={task} worker={worker} outcome={paced:?}"),
                );
            }
        });
    }

    /// Stops all polls and waits briefly for the commands in progress: a command that got its response cannot conflict
    /// with one of the next leader.
    pub async fn end(&mut self) {
        let commands = &mut self.commands;
        let ended = time::timeout(Duration::from_millis(COMMAND_TIMEOUT_MS), async {
            while commands.join_next().await.is_some() {}
        })
        .await;
        if ended.is_err() {
            log::info(
                "order",
                &format!("commands without response orders={}", commands.len()),
            );
        }
        commands.shutdown().await;
        self.polls.shutdown().await;
        self.channels.end().await;
    }
}

/// Returns the metric label of a start's outcome.
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

async fn request_tickets(
    tickets: &Tickets,
    task: &TaskId,
    workers: &[id::Worker],
) -> Option<(Vec<(id::Worker, String)>, u64)> {
    match tickets.request(task, workers, TICKETS_TIMEOUT_MS).await {
        Ok(Some(permission)) => {
            log::info(
                "order",
                &format!(
                    "tickets task={task} asked={} allowed={} valid_ms={}",
                    workers.len(),
                    permission.allowed.len(),
                    permission.valid_ms
                ),
            );
            Some((permission.allowed, permission.valid_ms))
        }
        Ok(None) => {
            log::info("order", &format!("tickets refused task={task}"));
            None
        }
        Err(error) => {
            log::info(
                "order",
                &format!("ticket request got no response task={task} reason={error}"),
            );
            None
        }
    }
}

async fn start(
    leadership: &leadership::Leadership,
    channels: &Channels,
    recipient: &Recipient,
    command: &Start,
) -> StartOutcome {
    let mut may_have_run = false;
    let text: Arc<str> = Arc::from(command.accepted.spec.text.as_str());
    for send in 1..=START_ATTEMPTS_MAX {
        let (worker, task, run) = (&command.worker, &command.task, command.run);
        if !leadership.scheduler().is_start_due(worker, task, run) {
            log::info(
                "order",
                &format!("start given up task={task} run={run} worker={worker} send={send}"),
            );
            return if may_have_run {
                StartOutcome::NoAnswer
            } else {
                StartOutcome::NotSent
            };
        }
        let start = Command::Start {
            task: command.task,
            run: command.run,
            text: Some(Arc::clone(&text)),
            started_unix_ms: command.started_unix_ms,
            until_ms: command.until_ms,
            checkpoint: command.checkpoint.clone(),
            ticket: command.ticket.clone(),
        };
        let sent_at = clock::since_boot();
        let error = match channels.call(recipient, start, COMMAND_TIMEOUT_MS).await {
            Ok(Response::Started) => return StartOutcome::Started,
            Ok(Response::StartedAt(clock_ms)) => {
                let now = clock::since_boot();
                leadership
                    .scheduler()
                    .clock_answered(worker, clock_ms, sent_at, now);
                return StartOutcome::Started;
            }
            Ok(Response::StartRefused(reason)) => {
                let sends = if may_have_run { send } else { 1 };
                return StartOutcome::Refused { reason, sends };
            }
            Ok(response) => unexpected(&response),
            Err(error) => error,
        };
        log::info(
            "order",
            &format!(
                "start unanswered task={} run={} worker={} send={send} reason={}",
                command.task, command.run, command.worker, error.reason
            ),
        );
        if error.verdict != Verdict::NotRun {
            may_have_run = true;
        } else if !may_have_run {
            return StartOutcome::NotSent;
        }
    }
    StartOutcome::NoAnswer
}

/// The failure of a command that got the response to another kind of command.
fn unexpected(response: &Response) -> Failure {
    Failure {
        verdict: Verdict::MayHaveRun,
        disconnected: false,
        reason: format!("unexpected response {response:?}"),
    }
}

/// Polls a worker until the scheduler forgets it.
async fn poll(
    leadership: Arc<leadership::Leadership>,
    channels: Arc<Channels>,
    recipient: Recipient,
) {
    let id = &recipient.target.worker;
    let mut retry_ms = POLL_RETRY_MS.0;
    loop {
        let sent_at = clock::since_boot();
        let Some(poll) = leadership.scheduler().next_poll(id, sent_at) else {
            return;
        };
        let timeout_ms = poll.wait_ms + POLL_TIMEOUT_MARGIN_MS;
        let tries_connection = poll.connection == Connection::Commands;
        let outcome = channels.call(&recipient, Command::Poll(poll), timeout_ms);
        let error = match outcome.await {
            Ok(Response::Report(report)) => {
                retry_ms = POLL_RETRY_MS.0;
                apply_report(&leadership, id, &report, sent_at).await;
                continue;
            }
            Ok(Response::Fenced) => {
                log::info("duty", &format!("fenced worker={id}"));
                leadership.ended.cancel();
                return;
            }
            Ok(Response::OtherIncarnation) => {
                leadership.scheduler().incarnation_ended(
                    id,
                    IncarnationEnd::OtherLife,
                    clock::since_boot(),
                );
                leadership.wake.notify_one();
                return;
            }
            Ok(Response::PollFailed(status)) => {
                log::info(
                    "holder",
                    &format!("poll refused worker={id} status={status}"),
                );
                None
            }
            Ok(response) => Some(unexpected(&response)),
            Err(_) if tries_connection => continue,
            Err(error) => Some(error),
        };
        if let Some(error) = error {
            metrics::counter!("wasabiloft_looks_unanswered_total").increment(1);
            leadership.scheduler().poll_failed(id);
            if retry_ms == POLL_RETRY_MS.0 {
                log::info(
                    "holder",
                    &format!("worker silent worker={id} reason={}", error.reason),
                );
            }
        }
        time::sleep(Duration::from_millis(retry_ms)).await;
        retry_ms = (retry_ms * 2).min(POLL_RETRY_MS.1);
    }
}

async fn apply_report(
    leadership: &leadership::Leadership,
    id: &id::Worker,
    report: &worker_state::Report,
    sent_at: wasabiloft::clock::Instant,
) {
    let now = clock::since_boot();
    let committed = leadership.committed.notified();
    leadership
        .scheduler()
        .poll_answered(id, report, sent_at, now, clock::unix_ms());
    leadership.wake.notify_one();
    if report.ended.is_empty() {
        return;
    }
    // Until its ended runs are acknowledged, the worker responds to each poll immediately.
    let _ = time::timeout(Duration::from_millis(UNCOMMITTED_PAUSE_MS), committed).await;
}
