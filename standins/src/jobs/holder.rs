//! Holders of the jobs duty, their calls to workers and what goes wrong on the way.

use rand::Rng;
use wasabiloft::id;
use wasabiloft::job::{duty, inbox, spec};
use wasabiloft::platform;

use super::{Event, World};

/// Rows in a page.
const PAGE_ROWS: usize = 500;
/// Time for which a paused holder still takes inputs whose calls get stuck, in milliseconds.
const STUCK_MS: u64 = 1_000;
/// What keeps holders and workers from doing a thing twice; tests switch them off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protection {
    /// Workers refuse calls of older epochs.
    pub epoch_fence: bool,
    /// The table refuses transactions of a holder whose lease was taken over.
    pub lease_check: bool,
    /// The table checks the versions of job rows.
    pub row_versions: bool,
    /// Workers remember the operations of starts.
    pub operation_memory: bool,
}

impl Default for Protection {
    fn default() -> Self {
        Self {
            epoch_fence: true,
            lease_check: true,
            row_versions: true,
            operation_memory: true,
        }
    }
}

/// A holder.
pub(super) struct Holder {
    duty: duty::Duty,
    epoch: u64,
    alive: bool,
    paused_ms: Option<(u64, u64)>,
}

impl World {
    /// The holder whose epoch is the newest, if it is up.
    pub(super) fn current_holder(&self) -> Option<usize> {
        let epoch = self.epoch;
        self.holders
            .iter()
            .position(|holder| holder.alive && holder.epoch == epoch)
    }

    /// The duty of the present holder.
    pub fn duty(&self) -> Option<&duty::Duty> {
        self.current_holder().map(|index| &self.holders[index].duty)
    }

    pub(super) fn tick_holders(&mut self) {
        for holder in 0..self.holders.len() {
            self.input(holder, duty::Input::Tick);
        }
    }

    pub(super) fn take_over(&mut self) {
        if self.settings.policy == super::Policy::FirstFit {
            return;
        }
        self.epoch += 1;
        let settings = duty::Settings {
            duty: id::Duty::from("jobs"),
            epoch: self.epoch,
            runner_reserve_permille: self.settings.runner_permille,
        };
        let (duty, outputs) = duty::Duty::new(settings, self.now());
        let holder = self.holders.len();
        self.holders.push(Holder {
            duty,
            epoch: self.epoch,
            alive: true,
            paused_ms: None,
        });
        self.outputs(holder, outputs);
        let documents = std::mem::take(&mut self.documents);
        self.input(holder, duty::Input::Documents(&documents));
        self.documents = documents;
        self.deliver_to(holder);
        for worker in 0..self.workers.len() {
            if self.workers[worker].is_vacated {
                let vm = self.workers[worker].vm.clone();
                self.input(holder, duty::Input::Drain(&vm));
            }
        }
    }

    pub(super) fn crash(&mut self) {
        if let Some(holder) = self.current_holder() {
            self.holders[holder].alive = false;
            self.schedule(self.settings.takeover_ms, Event::TakeOver);
        }
    }

    pub(super) fn pause_holder(&mut self, length_ms: u64) {
        if let Some(holder) = self.current_holder() {
            self.holders[holder].paused_ms = Some((self.now_ms, self.now_ms + length_ms));
            self.schedule(self.settings.takeover_ms, Event::TakeOver);
        }
    }

    /// Gives a holder an input, unless it is down or paused.
    pub(super) fn input(&mut self, holder: usize, input: duty::Input<'_>) {
        let now = self.now();
        let one = &mut self.holders[holder];
        let paused = one
            .paused_ms
            .is_some_and(|(from_ms, to_ms)| (from_ms + STUCK_MS..to_ms).contains(&now.at.as_ms()));
        if !one.alive || paused {
            return;
        }
        let outputs = one.duty.handle(now, input);
        self.outputs(holder, outputs);
    }

    fn outputs(&mut self, holder: usize, outputs: Vec<duty::Output>) {
        for output in outputs {
            match output {
                duty::Output::Commit { token, txn } => {
                    let delay_ms = self.store_delay_ms();
                    self.schedule(delay_ms, Event::TxnArrives(holder, token, txn));
                }
                duty::Output::Call(call) => self.send_call(holder, call),
                duty::Output::Drained(vm) => self.vacated(&vm),
                duty::Output::StepDown => self.step_down(holder),
                duty::Output::Count(event) => self.report.count(event),
                output => {
                    let delay_ms = self.store_delay_ms();
                    self.schedule(delay_ms, Event::ReadArrives(holder, Box::new(output)));
                }
            }
        }
    }

    fn step_down(&mut self, holder: usize) {
        let was_current = self.current_holder() == Some(holder);
        self.holders[holder].alive = false;
        if was_current {
            self.schedule(self.settings.takeover_ms, Event::TakeOver);
        }
    }

    /// A call leaves at once, or is stuck until the end of its holder's pause.
    fn send_call(&mut self, holder: usize, call: duty::Call) {
        let stuck_ms = match self.holders[holder].paused_ms {
            Some((_, to_ms)) if self.now_ms < to_ms => to_ms - self.now_ms,
            _ => 0,
        };
        let delay_ms = stuck_ms + self.rng.random_range(1..4);
        self.report.calls += 1;
        self.schedule(delay_ms, Event::CallArrives(holder, call));
    }

    pub(super) fn read_arrives(&mut self, holder: usize, output: &duty::Output) {
        match output {
            duty::Output::Load { after } => {
                let (rows, last) = self.page(after.as_ref());
                let rows = &rows;
                self.input(holder, duty::Input::Loaded { rows, last });
            }
            duty::Output::ReadInbox => {
                let rows: Vec<platform::Row> = self
                    .table
                    .range(id::Key::from(inbox::PREFIX)..)
                    .take_while(|(key, _)| key.as_str().starts_with(inbox::PREFIX))
                    .map(|(_, row)| row.clone())
                    .collect();
                self.input(holder, duty::Input::Inbox(&rows));
            }
            duty::Output::ReadEstimates => {
                let row = self.table.get(&id::Key::from(duty::ESTIMATES_KEY)).cloned();
                self.input(holder, duty::Input::Estimates(row.as_ref()));
            }
            duty::Output::ReadJobs(jobs) => self.read_rows(holder, jobs),
            _ => {}
        }
    }

    fn read_rows(&mut self, holder: usize, jobs: &[id::Job]) {
        let mut rows = Vec::new();
        let mut absent = Vec::new();
        for job in jobs {
            match self.table.get(&spec::row_key(job)) {
                Some(row) => rows.push(row.clone()),
                None => absent.push(job.clone()),
            }
        }
        let (rows, absent) = (&rows, &absent);
        self.input(holder, duty::Input::Read { rows, absent });
    }

    fn page(&self, after: Option<&id::Key>) -> (Vec<platform::Row>, bool) {
        let prefix = id::Key::from(spec::ROW_PREFIX);
        let from = after.unwrap_or(&prefix);
        let rows: Vec<platform::Row> = self
            .table
            .range(from.clone()..)
            .filter(|(key, _)| Some(*key) != after)
            .take_while(|(key, _)| key.as_str().starts_with(spec::ROW_PREFIX))
            .take(PAGE_ROWS)
            .map(|(_, row)| row.clone())
            .collect();
        let last = rows.len() < PAGE_ROWS;
        (rows, last)
    }

    pub(super) fn txn_arrives(&mut self, holder: usize, token: duty::Token, txn: &platform::Txn) {
        let current = self.holders[holder].epoch == self.epoch;
        let outcome = if current || !self.settings.protection.lease_check {
            self.report.duty_txns += 1;
            self.transact(txn)
        } else {
            platform::Outcome::Refused(platform::Refused {
                key: id::Key::from("duty/jobs"),
                version: self.epoch,
            })
        };
        let delay_ms = self.settle_delay_ms();
        self.schedule(delay_ms, Event::TxnSettled(holder, token, outcome));
    }
}
