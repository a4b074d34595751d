//! Polls of workers and commands to them.

use wasabiloft::batch::scheduler::{IncarnationEnd, Output, Refusal, Start, StartOutcome};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::search::node::{Call, PollTask, StartChannel, Timer};
use crate::search::shell;
use crate::search::world::{Answer, Request, World};

/// Timeout of a command to a worker, in milliseconds.
const COMMAND_TIMEOUT_MS: u64 = 250;
/// Attempts to send a start before its outcome counts as unknown.
const START_ATTEMPTS_MAX: u32 = 3;
/// Timeout of a poll beyond its wait, in milliseconds.
const POLL_TIMEOUT_MARGIN_MS: u64 = 350;
/// Longest pause before a poll while ended runs aren't acknowledged yet, in milliseconds.
const UNCOMMITTED_PAUSE_MS: u64 = 60;
/// Maximum number of starts in progress to one worker.
const STARTS_IN_PROGRESS_MAX: usize = 3;

impl World {
    pub(super) fn execute(&mut self, node: usize, output: Output) {
        let turn = self.nodes[node].turns + 1;
        let may_act = self.may_act(node);
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        match output {
            Output::StartPolling(listing) => {
                let task = PollTask {
                    poller: shell::Poller::new(),
                    vm: usize::from(listing.address.port()) - 1,
                    channel: turn,
                    turn,
                    waits_for_commit: false,
                };
                let channel = StartChannel {
                    vm: task.vm,
                    ..StartChannel::default()
                };
                self.nodes[node].turns = turn;
                let worker = listing.worker.clone();
                if let Some(term) = &mut self.nodes[node].term {
                    term.channels.insert(turn, channel);
                    term.polls.insert(worker.clone(), task);
                }
                self.poll(node, &worker, turn);
            }
            Output::StopPolling(worker) => {
                term.polls.remove(&worker);
            }
            Output::Start(start) => match term.polls.get(&start.worker).map(|task| task.channel) {
                Some(channel) => {
                    if let Some(starts) = term.channels.get_mut(&channel) {
                        starts.waiting.push_back(start);
                    }
                    self.send_waiting(node, channel);
                }
                None => self.start_over(node, &start, StartOutcome::NotSent),
            },
            Output::Stop { .. } if !may_act => {}
            Output::Stop { worker, task, run } => {
                let Some(vm) = term.polls.get(&worker).map(|poll| poll.vm) else {
                    return;
                };
                let call = Call::Stop {
                    worker: worker.clone(),
                    task,
                    run,
                };
                let call = self.call(node, Some(vm), call, COMMAND_TIMEOUT_MS);
                self.send(node, call, &worker, vm, Request::Stop { task, run });
            }
            Output::Superseded => self.release_duty(node, "superseded"),
            Output::Log(line) => self.note(|| format!("  n{node}: {line}")),
            Output::Pace { .. } | Output::RequestTickets { .. } => {}
        }
    }

    /// Sends waiting starts as far as the worker's channel admits.
    fn send_waiting(&mut self, node: usize, channel: u64) {
        loop {
            let Some(term) = &mut self.nodes[node].term else {
                return;
            };
            let Some(starts) = term.channels.get_mut(&channel) else {
                return;
            };
            if starts.in_progress >= STARTS_IN_PROGRESS_MAX {
                return;
            }
            let Some(start) = starts.waiting.pop_front() else {
                return;
            };
            starts.in_progress += 1;
            self.send_start(node, channel, start, 1, false);
        }
    }

    fn send_start(
        &mut self,
        node: usize,
        channel: u64,
        start: Start,
        send: u32,
        may_have_run: bool,
    ) {
        let may_act = self.may_act(node);
        let Some(term) = &self.nodes[node].term else {
            return;
        };
        let Some(vm) = term.channels.get(&channel).map(|starts| starts.vm) else {
            return;
        };
        let is_due = term
            .scheduler
            .is_start_due(&start.worker, &start.task, start.run);
        if !may_act || !is_due {
            let outcome = if may_have_run {
                StartOutcome::NoAnswer
            } else {
                StartOutcome::NotSent
            };
            self.end_start(node, channel, &start, outcome);
            return;
        }
        let worker = start.worker.clone();
        let request = Request::Start(start.clone());
        let call = Call::Start {
            start,
            channel,
            send,
            may_have_run,
            sent_at: self.now(),
        };
        let call = self.call(node, Some(vm), call, COMMAND_TIMEOUT_MS);
        self.send(node, call, &worker, vm, request);
    }

    pub(super) fn start_over(&mut self, node: usize, start: &Start, outcome: StartOutcome) {
        let now = self.now();
        if let Some(term) = &mut self.nodes[node].term {
            term.scheduler
                .start_answered(&start.worker, start.task, start.run, outcome, now);
        }
        self.wake(node);
    }

    pub(super) fn poll(&mut self, node: usize, worker: &id::Worker, turn: u64) {
        let may_act = self.may_act(node);
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        let Some(task) = term.polls.get_mut(worker).filter(|task| task.turn == turn) else {
            return;
        };
        task.waits_for_commit = false;
        let vm = task.vm;
        let Some(mut poll) = term.scheduler.next_poll(worker, now) else {
            return;
        };
        if !may_act {
            poll.until_ms = None;
        }
        let call = Call::Poll {
            worker: worker.clone(),
            turn,
            sent_at: now,
        };
        let timeout_ms = poll.wait_ms + POLL_TIMEOUT_MARGIN_MS;
        let call = self.call(node, Some(vm), call, timeout_ms);
        self.send(node, call, worker, vm, Request::Poll(poll));
    }

    /// Polls a worker again after a pause.
    pub(super) fn poll_later(&mut self, node: usize, worker: &id::Worker, pause_ms: u64) {
        self.nodes[node].turns += 1;
        let turn = self.nodes[node].turns;
        let task = self.nodes[node]
            .term
            .as_mut()
            .and_then(|term| term.polls.get_mut(worker));
        if let Some(task) = task {
            task.turn = turn;
            let timer = Timer::Poll {
                worker: worker.clone(),
                turn,
            };
            self.push_timer(node, self.now_ms + pause_ms, timer);
        }
    }

    pub(super) fn poll_answered(
        &mut self,
        node: usize,
        worker: &id::Worker,
        turn: u64,
        sent_at: Instant,
        answer: Answer,
    ) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        let Some(task) = term.polls.get_mut(worker).filter(|task| task.turn == turn) else {
            return;
        };
        match answer {
            Answer::Report(report) => {
                task.poller.on_report();
                task.waits_for_commit = !report.ended.is_empty();
                let pause_ms = if report.ended.is_empty() {
                    0
                } else {
                    UNCOMMITTED_PAUSE_MS
                };
                term.scheduler
                    .poll_answered(worker, &report, sent_at, now, now.as_ms());
                self.wake(node);
                self.poll_later(node, worker, pause_ms);
            }
            Answer::Fenced => self.release_duty(node, "fenced"),
            Answer::OtherLife => {
                term.scheduler
                    .incarnation_ended(worker, IncarnationEnd::OtherLife, now);
                self.wake(node);
            }
            _ => {
                term.scheduler.poll_failed(worker);
                let pause_ms = task.poller.pause_ms();
                self.poll_later(node, worker, pause_ms);
            }
        }
    }

    pub(super) fn start_answered(
        &mut self,
        node: usize,
        channel: u64,
        start: Start,
        send: u32,
        may_have_run: bool,
        answer: &Answer,
    ) {
        let outcome = match answer {
            Answer::Started(_) => StartOutcome::Started,
            Answer::Refused(reason) => StartOutcome::Refused {
                reason: *reason,
                sends: if may_have_run { send } else { 1 },
            },
            Answer::OtherLife => StartOutcome::Refused {
                reason: Refusal::OtherLife,
                sends: if may_have_run { send } else { 1 },
            },
            Answer::Failed { refused: true } if !may_have_run => StartOutcome::NotSent,
            _ if send < START_ATTEMPTS_MAX => {
                let may_have_run =
                    may_have_run || !matches!(answer, Answer::Failed { refused: true });
                self.send_start(node, channel, start, send + 1, may_have_run);
                return;
            }
            _ => StartOutcome::NoAnswer,
        };
        self.end_start(node, channel, &start, outcome);
        self.send_waiting(node, channel);
    }

    fn end_start(&mut self, node: usize, channel: u64, start: &Start, outcome: StartOutcome) {
        let starts = self.nodes[node]
            .term
            .as_mut()
            .and_then(|term| term.channels.get_mut(&channel));
        if let Some(starts) = starts {
            starts.in_progress -= 1;
        }
        self.start_over(node, start, outcome);
    }
}
