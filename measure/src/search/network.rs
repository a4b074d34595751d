//! The network between nodes and workers, and what workers do with commands.

use wasabiloft::batch::scheduler::{Poll, Start};
use wasabiloft::id;

use crate::search::history::{Cut, Message};
use crate::search::platform::ANY_VM;
use crate::search::runner::Carried;
use crate::search::world::{
    ActiveCut, Answer, Delivery, Event, Fate, HeldPoll, LATENCY_MS, Request, World,
};

impl World {
    pub(super) fn cut(
        &mut self,
        node: Option<usize>,
        vm: usize,
        how: Cut,
        for_ms: u64,
        from_store: bool,
    ) {
        self.cuts.push(ActiveCut {
            node,
            vm,
            how,
            until_ms: self.now_ms + for_ms,
            from_store,
        });
        if how == Cut::Refused {
            self.reset_calls(node, vm);
        }
    }

    /// Returns the time that a message between a node and a worker takes, in milliseconds.
    fn latency_ms(&self) -> u64 {
        self.history.setup.latency_ms
    }

    /// Returns the cut of a path, and when it ends.
    pub(super) fn path(&self, node: usize, vm: usize) -> Option<(Cut, u64)> {
        let active = self.cuts.iter().filter(|cut| {
            cut.vm == vm && cut.node.is_none_or(|from| from == node) && self.now_ms < cut.until_ms
        });
        active
            .map(|cut| (cut.how, cut.until_ms))
            .max_by_key(|(how, until_ms)| {
                let rank = match how {
                    Cut::OneWay => 0,
                    Cut::Silent => 1,
                    Cut::Refused => 2,
                };
                (rank, *until_ms)
            })
    }

    pub(super) fn reset_calls(&mut self, node: Option<usize>, vm: usize) {
        for number in 0..self.nodes.len() {
            if node.is_some_and(|node| node != number) {
                continue;
            }
            for is_poll in [false, true] {
                self.nodes[number].disconnect(vm, is_poll);
            }
            let calls = self.nodes[number].calls_to(vm);
            for call in calls {
                let answer = Answer::Failed { refused: false };
                let event = Event::ToNode {
                    node: number,
                    call,
                    answer,
                };
                self.push(self.now_ms + LATENCY_MS, event);
            }
        }
    }

    /// Returns when a message arrives that takes `latency_ms` by itself.
    pub(super) fn delivery(&mut self, message: Message, vm: usize, latency_ms: u64) -> Delivery {
        let fate = |fate: &Fate| fate.message == message && (fate.vm == vm || vm == ANY_VM);
        let Some(index) = self.fates.iter().position(fate) else {
            return Delivery::At(self.now_ms + latency_ms);
        };
        let fate = self.fates.remove(index);
        self.note(|| format!("{message:?} of vm{vm}: {:?}", fate.hold_up_ms));
        match fate.hold_up_ms {
            Some(for_ms) => Delivery::At(self.now_ms + for_ms),
            None => Delivery::Lost,
        }
    }

    /// Delivers a message that a fault of the history may hold up or lose.
    pub fn deliver(&mut self, message: Message, vm: usize, latency_ms: u64, event: Event) {
        if let Delivery::At(at_ms) = self.delivery(message, vm, latency_ms) {
            self.push(at_ms, event);
        }
    }

    /// Sends a command to a worker.
    ///
    /// A connection ends at one life of the worker. On a new one, a start is sent after a poll without effect, which tells
    /// which life that is, and a poll has no effect by itself.
    pub fn send(
        &mut self,
        node: usize,
        call: u64,
        worker: &id::Worker,
        vm: usize,
        request: Request,
    ) {
        let failed = |refused| Event::ToNode {
            node,
            call,
            answer: Answer::Failed { refused },
        };
        let failed_at_ms = self.now_ms + LATENCY_MS;
        let is_poll = matches!(request, Request::Poll(_));
        let connection = self.nodes[node].connection(vm, is_poll);
        let mut held_until_ms = None;
        match self.path(node, vm) {
            Some((Cut::Refused, _)) => {
                self.push(failed_at_ms, failed(true));
                return;
            }
            // Without a connection, nothing is on its way that could arrive later.
            Some((Cut::Silent, _)) if connection.is_none() => return,
            Some((Cut::Silent, until_ms)) => held_until_ms = Some(until_ms),
            Some((Cut::OneWay, _)) | None => {}
        }
        let current = self.vms[vm].life.as_ref();
        let current = current.map(|life| (life.number, life.started_unix_ms()));
        let Some((current, started_unix_ms)) = current else {
            if !self.vms[vm].is_silent {
                self.push(failed_at_ms, failed(true));
            }
            return;
        };
        let life = connection.unwrap_or(current);
        let is_current = life == current;
        if !is_current {
            self.nodes[node].disconnect(vm, is_poll);
        }
        let (request, round_trips) = match request {
            Request::Start(start) if is_current && start.started_unix_ms != started_unix_ms => {
                self.note(|| format!("n{node}: another life answers in place of {worker}"));
                self.nodes[node].connect(vm, is_poll, life);
                self.push(failed_at_ms + 2 * self.latency_ms(), failed(true));
                return;
            }
            Request::Start(start) if connection.is_none() => (Request::Start(start), 1),
            Request::Poll(poll)
                if connection.is_none()
                    || is_current && poll.started_unix_ms != started_unix_ms =>
            {
                let greeting = Poll {
                    until_ms: None,
                    acknowledged: 0,
                    wait_ms: 0,
                    ..poll
                };
                (Request::Poll(greeting), 0)
            }
            request => (request, 0),
        };
        if is_current {
            self.nodes[node].connect(vm, is_poll, life);
        }
        let event = Event::ToWorker {
            node,
            call,
            epoch: self.nodes[node].epoch(),
            vm,
            life,
            id: worker.clone(),
            request: request.clone(),
        };
        let latency_ms = (2 * round_trips + 1) * self.latency_ms();
        match held_until_ms {
            Some(until_ms) => self.push(until_ms + latency_ms, event),
            None => self.deliver(request.message(), vm, latency_ms, event),
        }
    }

    /// Sends a worker's answer.
    pub(super) fn reply(&mut self, node: usize, call: u64, vm: usize, answer: Answer) {
        let event = Event::ToNode { node, call, answer };
        match self.path(node, vm) {
            Some((Cut::Refused, _)) => {}
            Some((Cut::Silent | Cut::OneWay, until_ms)) => {
                self.push(until_ms + self.latency_ms(), event)
            }
            None => self.deliver(Message::Answer, vm, self.latency_ms(), event),
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn at_worker(
        &mut self,
        node: usize,
        call: u64,
        epoch: u64,
        vm: usize,
        life: u64,
        id: &id::Worker,
        request: Request,
    ) {
        self.advance_life(vm);
        let now_ms = self.now_ms;
        let task_ms = self.history.setup.task_ms;
        let Some(current) = &mut self.vms[vm].life else {
            return;
        };
        if current.number != life {
            // The connection was to the process before.
            let answer = Answer::Failed { refused: false };
            self.push(now_ms + LATENCY_MS, Event::ToNode { node, call, answer });
            return;
        }
        if current.id != *id {
            self.reply(node, call, vm, Answer::OtherLife);
            return;
        }
        let number = current.number;
        match request {
            Request::Start(start) => {
                let outcome = current.start(epoch, &start, task_ms, now_ms);
                let clock_ms = current.clock_ms(now_ms);
                if outcome == Ok(Carried::Began) {
                    self.began(vm, epoch, &start);
                }
                let answer = match outcome {
                    Ok(_) => Answer::Started(clock_ms),
                    Err(reason) => Answer::Refused(reason),
                };
                self.reply(node, call, vm, answer);
            }
            Request::Stop { task, run } => {
                let answer = if current.stop(epoch, task, run, now_ms) {
                    Answer::Stopped
                } else {
                    Answer::Fenced
                };
                self.note(|| format!("stop {task} run={run} reaches vm{vm}"));
                self.reply(node, call, vm, answer);
            }
            Request::Poll(poll) => match current.poll(epoch, &poll, now_ms) {
                None => self.reply(node, call, vm, Answer::Fenced),
                Some(acknowledged) => {
                    self.checks.acknowledged(number, &acknowledged, now_ms);
                    self.vms[vm].held.push(HeldPoll {
                        node,
                        call,
                        until_ms: now_ms + poll.wait_ms,
                    });
                    self.push(now_ms + poll.wait_ms, Event::Life { vm });
                }
            },
        }
        self.advance_life(vm);
    }

    pub(super) fn began(&mut self, vm: usize, epoch: u64, start: &Start) {
        let task = start.task;
        let others: Vec<String> = self
            .vms
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != vm)
            .filter_map(|(_, other)| other.life.as_ref())
            .filter(|life| life.running.contains_key(&task))
            .map(|life| life.id.to_string())
            .collect();
        let worker = start.worker.to_string();
        self.note(|| {
            format!(
                "run={} of {task} begins on {worker} epoch={epoch}",
                start.run
            )
        });
        let now_ms = self.now_ms;
        self.checks.started(task, &worker, &others, now_ms);
    }

    /// Ends runs that are over, and answers polls that have waited long enough or see an end.
    pub(super) fn advance_life(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let Some(life) = &mut self.vms[vm].life else {
            return;
        };
        let ended = life.advance(now_ms);
        let (number, id) = (life.number, life.id.clone());
        let first = life.ends.len() - ended.len();
        let numbers: Vec<u64> = life.ends[first..]
            .iter()
            .map(|end| end.reported.number)
            .collect();
        for ((task, run, outcome), end) in ended.into_iter().zip(numbers) {
            self.note(|| format!("run={run} of {task} ends on {id}: {outcome:?}"));
            self.checks.ended(task, outcome, number, end);
        }
        let Some(life) = &self.vms[vm].life else {
            return;
        };
        if let Some(next_ms) = life.next_ms(now_ms) {
            self.push(next_ms, Event::Life { vm });
        }
        let Some(life) = &self.vms[vm].life else {
            return;
        };
        let has_ends = !life.ends.is_empty();
        let report = life.report(now_ms);
        let (answered, held) = std::mem::take(&mut self.vms[vm].held)
            .into_iter()
            .partition(|poll| has_ends || poll.until_ms <= now_ms);
        self.vms[vm].held = held;
        let answered: Vec<HeldPoll> = answered;
        for poll in answered {
            self.reply(poll.node, poll.call, vm, Answer::Report(report.clone()));
        }
    }
}
