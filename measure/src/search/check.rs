//! The checks of a run, as the platform words its rules.

use std::collections::{BTreeMap, BTreeSet};

use wasabiloft::batch::{TaskId, worker_state};

use crate::search::runner;

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was seen, in milliseconds.
    pub at_ms: u64,
    /// Name of the rule.
    pub rule: &'static str,
    /// What was seen.
    pub text: String,
}

/// A run that ended `done`.
#[derive(Clone, Debug)]
struct Done {
    life: u64,
    number: u64,
    started_again: bool,
}

/// What the checks remember.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    done: BTreeMap<TaskId, Vec<Done>>,
    acknowledged: BTreeSet<TaskId>,
    /// Newest fence of each machine, with its holder.
    fences: BTreeMap<usize, (u64, usize)>,
    /// All violations.
    pub violations: Vec<Violation>,
}

impl Checks {
    fn violate(&mut self, at_ms: u64, rule: &'static str, text: String) {
        self.violations.push(Violation { at_ms, rule, text });
    }

    /// Records a start that a worker carried out; `others` are the workers that are up and run the task.
    pub fn started(&mut self, task: TaskId, worker: &str, others: &[String], now_ms: u64) {
        for other in others {
            let text = format!("{task} starts on {worker} and runs on {other}");
            self.violate(now_ms, "TWICE", text);
        }
        if self.acknowledged.contains(&task) {
            let text = format!("{task} starts on {worker} after its end was acknowledged");
            self.violate(now_ms, "TWICE", text);
        }
        for done in self.done.get_mut(&task).into_iter().flatten() {
            done.started_again = true;
        }
    }

    /// Records an end.
    pub fn ended(&mut self, task: TaskId, outcome: worker_state::Outcome, life: u64, number: u64) {
        if outcome == worker_state::Outcome::Done {
            self.done.entry(task).or_default().push(Done {
                life,
                number,
                started_again: false,
            });
        }
    }

    /// Records ends that a worker discards.
    pub fn acknowledged(&mut self, life: u64, ends: &[runner::End], now_ms: u64) {
        for end in ends {
            let reported = &end.reported;
            if reported.outcome != worker_state::Outcome::Done || end.lapsed_since {
                continue;
            }
            self.acknowledged.insert(reported.task);
            let done = self.done.get(&reported.task).into_iter().flatten();
            let started_again = done
                .filter(|done| done.life == life && done.number == reported.number)
                .any(|done| done.started_again);
            if started_again {
                let text = format!("{} started again after an end", reported.task);
                self.violate(now_ms, "TWICE", text);
            }
        }
    }

    /// Records a command that arrives at the machine interface.
    pub fn commanded(&mut self, vm: usize, epoch: u64, node: usize, now_ms: u64) {
        let (newest, holder) = *self.fences.entry(vm).or_insert((epoch, node));
        if epoch < newest {
            let text = format!("vm{vm} gets a command of epoch {epoch} after one of {newest}");
            self.violate(now_ms, "ONE", text);
        } else if epoch == newest && holder != node {
            let text = format!("vm{vm} gets commands of two nodes with epoch {epoch}");
            self.violate(now_ms, "ONE", text);
        } else {
            self.fences.insert(vm, (epoch, node));
        }
    }
}
