//! Callers and the entry nodes that they reach.

use rand::Rng;
use wasabiloft::id;
use wasabiloft::job::{duty, spec, submission};
use wasabiloft::platform;

use super::{Event, Policy, Submission, World};

impl World {
    pub(super) fn submit(&mut self, submission: Submission) {
        let caller = self.next_caller;
        self.next_caller += 1;
        let job = submission.spec.job();
        self.truth.submitted(&job, &submission, self.now_ms);
        if self.settings.policy == Policy::FirstFit {
            self.truth.accept(&job, self.now_ms);
            self.baseline.push(job);
            return;
        }
        let node = self.rng.random_range(0..self.intakes.len());
        let now = self.now();
        let spec = submission.spec.clone();
        self.callers.insert(caller, submission);
        let outputs =
            self.intakes[node].submit(now.at, now.unix_ms, submission::Caller(caller), spec);
        self.intake_outputs(node, outputs);
    }

    pub(super) fn cancel(&mut self, job: &id::Job) {
        let Some(stored) = self.table.get(&spec::row_key(job)) else {
            return;
        };
        let Ok(row) = serde_json::from_str::<wasabiloft::job::Row>(&stored.value) else {
            return;
        };
        let Ok(entry) = submission::owner_request(&row, &row.spec.team) else {
            return;
        };
        if matches!(entry, wasabiloft::job::inbox::Entry::Remove(_)) {
            self.truth.removed(job);
        }
        let caller = submission::Caller(u64::MAX);
        let node = self.rng.random_range(0..self.intakes.len());
        let at = self.now().at;
        let outputs = self.intakes[node].cancel_or_remove(at, caller, entry);
        self.intake_outputs(node, outputs);
    }

    pub(super) fn tick_intakes(&mut self) {
        let at = self.now().at;
        for node in 0..self.intakes.len() {
            let outputs = self.intakes[node].tick(at);
            self.intake_outputs(node, outputs);
        }
        self.schedule(duty::TICK_MS, Event::TickIntake);
    }

    pub(super) fn intake_outputs(&mut self, node: usize, outputs: Vec<submission::Output>) {
        for output in outputs {
            match output {
                submission::Output::Commit { token, txn } => {
                    let delay_ms = self.store_delay_ms();
                    self.schedule(delay_ms, Event::IntakeArrives(node, token, txn));
                }
                submission::Output::Answer { caller, answer } => self.answer(caller, answer),
                // The holder finds new rows by itself; it is told only where it runs on the same node.
                submission::Output::NotifyLeader => {
                    if let Some(holder) = self.current_holder().filter(|_| node == 0) {
                        self.input(holder, duty::Input::InboxChanged);
                    }
                }
            }
        }
    }

    pub(super) fn answer(&mut self, caller: submission::Caller, answer: submission::Answer) {
        let Some(submission) = self.callers.remove(&caller.0) else {
            return;
        };
        let job = submission.spec.job();
        match answer {
            submission::Answer::Accepted | submission::Answer::Exists => {
                self.truth.accept(&job, self.now_ms)
            }
            submission::Answer::Refused(_) => {
                self.report.refused += 1;
                self.truth.refuse(&job);
            }
            submission::Answer::Unknown => self.report.unknown += 1,
        }
    }

    pub(super) fn intake_arrives(
        &mut self,
        node: usize,
        token: submission::Token,
        txn: &platform::Txn,
    ) {
        let outcome = self.transact(txn);
        self.report.intake_txns += 1;
        let delay_ms = self.settle_delay_ms();
        self.schedule(delay_ms, Event::IntakeSettled(node, token, outcome));
    }
}
