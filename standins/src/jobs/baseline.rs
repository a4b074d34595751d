//! The baseline: first fit by declared size, first in first out.
//!
//! It learns of ends at once and writes nothing, which favours it.

use std::collections::{HashMap, VecDeque};

use wasabiloft::id;
use wasabiloft::platform;

use super::truth::Truth;
use super::worker::{Ended, Worker};

/// Starts of one job after which it is given up.
const STARTS_MAX: u32 = 8;

/// The queue and what was promised.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstFit {
    queue: VecDeque<id::Job>,
    placed: HashMap<id::Job, (usize, platform::Resources)>,
    promised: Vec<platform::Resources>,
    starts: HashMap<id::Job, u32>,
}

impl FirstFit {
    pub(super) fn push(&mut self, job: id::Job) {
        self.queue.push_back(job);
    }

    /// Places jobs from the queue's head until one fits nowhere.
    pub(super) fn place(
        &mut self,
        workers: &[Worker],
        truth: &Truth,
        starts: &mut Vec<(usize, id::Job, id::Task)>,
    ) {
        self.promised
            .resize(workers.len(), platform::Resources::default());
        while let Some(job) = self.queue.pop_front() {
            let declared = truth.lives[&job].submission.spec.declared;
            if !workers
                .iter()
                .any(|worker| fits(worker, &platform::Resources::default(), &declared))
            {
                continue;
            }
            let found = workers
                .iter()
                .zip(&self.promised)
                .position(|(worker, promised)| is_up(worker) && fits(worker, promised, &declared));
            let Some(index) = found else {
                self.queue.push_front(job);
                return;
            };
            add(&mut self.promised[index], &declared);
            self.placed.insert(job.clone(), (index, declared));
            let count = self.starts.entry(job.clone()).or_insert(0);
            *count += 1;
            let task = id::Task::from(format!("{job}.{count}"));
            starts.push((index, job, task));
        }
    }

    pub(super) fn turned_away(&mut self, job: &id::Job) {
        self.free(job);
        self.queue.push_back(job.clone());
    }

    /// Puts a job whose task did not finish back to the queue's end.
    pub(super) fn ended(&mut self, end: &Ended, truth: &Truth) {
        self.free(&end.job);
        let idempotent = truth.lives[&end.job].submission.spec.idempotent;
        let again = idempotent && self.starts.get(&end.job).copied().unwrap_or(0) < STARTS_MAX;
        if end.state != platform::TaskState::Finished && again {
            self.queue.push_back(end.job.clone());
        }
    }

    fn free(&mut self, job: &id::Job) {
        if let Some((index, declared)) = self.placed.remove(job) {
            let promised = &mut self.promised[index];
            promised.cpu_milli -= declared.cpu_milli;
            promised.memory_mib -= declared.memory_mib;
            promised.accelerators -= declared.accelerators;
        }
    }
}

fn is_up(worker: &Worker) -> bool {
    worker.state == platform::VmState::Live && !worker.is_paused
}

fn fits(worker: &Worker, promised: &platform::Resources, declared: &platform::Resources) -> bool {
    promised.cpu_milli + declared.cpu_milli <= worker.limit.cpu_milli
        && promised.memory_mib + declared.memory_mib <= worker.limit.memory_mib
        && promised.accelerators + declared.accelerators <= worker.limit.accelerators
}

fn add(promised: &mut platform::Resources, declared: &platform::Resources) {
    promised.cpu_milli += declared.cpu_milli;
    promised.memory_mib += declared.memory_mib;
    promised.accelerators += declared.accelerators;
}
