//! Detects bad workers and bad jobs by comparing where jobs fail.
//!
//! Each failure raises the log-likelihood that its worker is bad by the logarithm of how unlikely
//! the failure is on a good worker, given the job's results on other workers; a success lowers it.
//! Job records are read when a worker is evaluated, so a job that turns out to fail everywhere
//! clears the workers on which it failed. After its quarantine, a worker is tried again with one
//! task.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::clock;
use crate::id;

/// Most results that a worker's record keeps.
const WORKER_RECORD_MAX: usize = 8;
/// Most distinct workers that a job's record keeps.
const JOB_RECORD_MAX: usize = 16;
/// Probability that a task fails on a bad worker.
const BAD_WORKER_FAILURE_RATE: f64 = 0.95;
/// Prior probability that a job fails on a good worker.
const JOB_FAILURE_RATE: f64 = 0.05;
/// Number of runs that the prior [`JOB_FAILURE_RATE`] counts for.
const JOB_PRIOR_RUNS: f64 = 1.0;
/// Log-likelihood from which a worker is quarantined.
const WORKER_BAD_THRESHOLD: f64 = 4.6;
/// Log-likelihood from which a worker counts as suspect for its rack.
const WORKER_SUSPECT_THRESHOLD: f64 = 2.5;
/// Number of suspect workers from which a rack is quarantined.
const RACK_SUSPECTS_MIN: usize = 3;
/// Distinct good workers on which a job must fail to count as bad.
const BAD_JOB_WORKERS_MIN: usize = 3;
/// Distinct racks on which a job must fail to count as bad, if the fleet has more than one.
const BAD_JOB_RACKS_MIN: usize = 2;
/// Length of the first quarantine, in milliseconds; doubled each time.
const QUARANTINE_FIRST_MS: u64 = 5 * clock::MINUTE_MS;
/// Maximum length of a quarantine, in milliseconds.
const QUARANTINE_MAX_MS: u64 = 6 * clock::HOUR_MS;

/// Whether a worker can take tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The worker takes any task.
    Good,
    /// Tried again after a quarantine: one idempotent task at a time.
    Probation,
    /// The worker takes no tasks until the quarantine ends.
    Quarantined {
        /// Time at which the quarantine ends.
        until: clock::Instant,
    },
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    /// The task finished.
    Succeeded,
    /// The task failed.
    Failed,
}

/// Consequences of a task's end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Workers that were newly quarantined.
    pub quarantined: Vec<id::Vm>,
    /// Workers that were released from quarantine or probation.
    pub released: Vec<id::Vm>,
    /// True if the job fails everywhere.
    pub job_is_bad: bool,
}

#[derive(Clone, Debug)]
struct Worker {
    rack: id::Rack,
    record: VecDeque<(id::Job, Result)>,
    standing: Standing,
    quarantines: u32,
}

#[derive(Clone, Debug, Default)]
struct Job {
    failed_on: BTreeSet<id::Vm>,
    succeeded_on: BTreeSet<id::Vm>,
}

/// Results of tasks by worker and by job.
#[derive(Clone, Debug, Default)]
pub struct Records {
    workers: HashMap<id::Vm, Worker>,
    jobs: HashMap<id::Job, Job>,
}

impl Records {
    /// Adds a worker; a known worker keeps its record.
    pub fn add_worker(&mut self, vm: &id::Vm, rack: &id::Rack) {
        self.workers.entry(vm.clone()).or_insert_with(|| Worker {
            rack: rack.clone(),
            record: VecDeque::new(),
            standing: Standing::Good,
            quarantines: 0,
        });
    }

    /// Returns whether the worker can take tasks; a quarantine that has ended becomes probation.
    pub fn standing(&mut self, now: clock::Instant, vm: &id::Vm) -> Standing {
        let Some(worker) = self.workers.get_mut(vm) else {
            return Standing::Good;
        };
        if let Standing::Quarantined { until } = worker.standing
            && now >= until
        {
            worker.standing = Standing::Probation;
            worker.record.clear();
        }
        worker.standing
    }

    /// Returns true if the worker is in good standing and its last task, if any, succeeded.
    pub fn is_trusted(&self, vm: &id::Vm) -> bool {
        self.workers.get(vm).is_none_or(|worker| {
            worker.standing == Standing::Good
                && worker
                    .record
                    .back()
                    .is_none_or(|(_, last)| *last == Result::Succeeded)
        })
    }

    /// Returns the workers on which the job failed.
    pub fn failed_on(&self, job: &id::Job) -> impl Iterator<Item = &id::Vm> {
        self.jobs
            .get(job)
            .into_iter()
            .flat_map(|job_record| &job_record.failed_on)
    }

    /// Removes the record of a job that has ended.
    pub fn remove_job(&mut self, job: &id::Job) {
        self.jobs.remove(job);
    }

    /// Records the end of a task on a worker.
    pub fn record(
        &mut self,
        now: clock::Instant,
        vm: &id::Vm,
        job: &id::Job,
        result: Result,
    ) -> Outcome {
        self.append(vm, job, result);
        let mut outcome = Outcome::default();
        match result {
            Result::Succeeded => self.release(vm, &mut outcome),
            Result::Failed => self.evaluate_failure(now, vm, job, &mut outcome),
        }
        outcome
    }

    fn append(&mut self, vm: &id::Vm, job: &id::Job, result: Result) {
        if let Some(worker) = self.workers.get_mut(vm) {
            if worker.record.len() == WORKER_RECORD_MAX {
                worker.record.pop_front();
            }
            worker.record.push_back((job.clone(), result));
        }
        let job_record = self.jobs.entry(job.clone()).or_default();
        let set = match result {
            Result::Succeeded => &mut job_record.succeeded_on,
            Result::Failed => &mut job_record.failed_on,
        };
        if set.len() < JOB_RECORD_MAX {
            set.insert(vm.clone());
        }
    }

    fn release(&mut self, vm: &id::Vm, outcome: &mut Outcome) {
        if let Some(worker) = self.workers.get_mut(vm)
            && worker.standing == Standing::Probation
        {
            worker.standing = Standing::Good;
            worker.quarantines = 0;
            outcome.released.push(vm.clone());
        }
    }

    fn evaluate_failure(
        &mut self,
        now: clock::Instant,
        vm: &id::Vm,
        job: &id::Job,
        outcome: &mut Outcome,
    ) {
        self.evaluate_worker(now, vm, outcome);
        self.evaluate_rack(now, vm, outcome);
        outcome.job_is_bad = self.job_is_bad(job);
        if outcome.job_is_bad {
            self.lift_quarantines_of(job, outcome);
        }
    }

    fn evaluate_worker(&mut self, now: clock::Instant, vm: &id::Vm, outcome: &mut Outcome) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let on_probation = worker.standing == Standing::Probation;
        if on_probation || self.bad_log_likelihood(vm) >= WORKER_BAD_THRESHOLD {
            self.quarantine(now, vm, outcome);
        }
    }

    /// Quarantines the whole rack if several of its workers are suspect.
    fn evaluate_rack(&mut self, now: clock::Instant, vm: &id::Vm, outcome: &mut Outcome) {
        let Some(rack) = self.workers.get(vm).map(|worker| worker.rack.clone()) else {
            return;
        };
        let members = self.workers_of(&rack);
        let suspects = members
            .iter()
            .filter(|member| self.is_suspect(member))
            .count();
        if suspects < RACK_SUSPECTS_MIN.min(members.len()) || members.len() < 2 {
            return;
        }
        for member in &members {
            self.quarantine(now, member, outcome);
        }
    }

    fn workers_of(&self, rack: &id::Rack) -> Vec<id::Vm> {
        let mut members: Vec<id::Vm> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.rack == *rack)
            .map(|(vm, _)| vm.clone())
            .collect();
        members.sort();
        members
    }

    fn is_suspect(&self, vm: &id::Vm) -> bool {
        let quarantined = matches!(self.workers[vm].standing, Standing::Quarantined { .. });
        quarantined || self.bad_log_likelihood(vm) >= WORKER_SUSPECT_THRESHOLD
    }

    fn quarantine(&mut self, now: clock::Instant, vm: &id::Vm, outcome: &mut Outcome) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        if matches!(worker.standing, Standing::Quarantined { .. }) {
            return;
        }
        let length_ms = QUARANTINE_FIRST_MS
            .saturating_mul(1 << worker.quarantines.min(16))
            .min(QUARANTINE_MAX_MS);
        worker.quarantines += 1;
        worker.standing = Standing::Quarantined {
            until: now.after_ms(length_ms),
        };
        outcome.quarantined.push(vm.clone());
    }

    /// Returns the log-likelihood that the worker is bad, from its record.
    fn bad_log_likelihood(&self, vm: &id::Vm) -> f64 {
        let mut jobs = BTreeSet::new();
        let mut sum: f64 = 0.0;
        for (job, result) in &self.workers[vm].record {
            let failure_rate = self.failure_rate_elsewhere(job, vm);
            match result {
                Result::Succeeded => {
                    sum += ((1.0 - BAD_WORKER_FAILURE_RATE) / (1.0 - failure_rate)).ln()
                }
                Result::Failed if jobs.insert(job) => {
                    sum += (BAD_WORKER_FAILURE_RATE / failure_rate).ln()
                }
                Result::Failed => {}
            }
            sum = sum.max(0.0);
        }
        sum
    }

    /// Returns the probability that the job fails on a good worker, from its results on other
    /// workers that are not bad themselves.
    fn failure_rate_elsewhere(&self, job: &id::Job, vm: &id::Vm) -> f64 {
        let Some(job_record) = self.jobs.get(job) else {
            return JOB_FAILURE_RATE;
        };
        let count = |set: &BTreeSet<id::Vm>| {
            set.iter()
                .filter(|other| *other != vm && self.is_presumed_good(other, job))
                .count() as f64
        };
        let failed = count(&job_record.failed_on);
        let runs = failed + count(&job_record.succeeded_on);
        let chance = (JOB_FAILURE_RATE * JOB_PRIOR_RUNS + failed) / (JOB_PRIOR_RUNS + runs);
        chance.clamp(0.01, 0.99)
    }

    /// Returns true unless the worker is quarantined or on probation for failures of other jobs
    /// that nothing else explains.
    fn is_presumed_good(&self, vm: &id::Vm, job: &id::Job) -> bool {
        let Some(worker) = self.workers.get(vm) else {
            return true;
        };
        if worker.standing == Standing::Good {
            return true;
        }
        let mut failed = worker
            .record
            .iter()
            .filter(|(other, result)| *result == Result::Failed && other != job);
        !failed.any(|(other, _)| self.fails_only_on(other, vm))
    }

    /// Returns true if the job failed on no other worker, or finished on any.
    fn fails_only_on(&self, job: &id::Job, vm: &id::Vm) -> bool {
        self.jobs.get(job).is_none_or(|job_record| {
            !job_record.succeeded_on.is_empty()
                || job_record.failed_on.iter().all(|other| other == vm)
        })
    }

    /// Returns true if the job failed on enough good workers of different racks, and finished on
    /// none.
    fn job_is_bad(&self, job: &id::Job) -> bool {
        let Some(job_record) = self.jobs.get(job) else {
            return false;
        };
        let good: Vec<&Worker> = job_record
            .failed_on
            .iter()
            .filter(|vm| self.is_presumed_good(vm, job))
            .filter_map(|vm| self.workers.get(vm))
            .collect();
        let racks: BTreeSet<&id::Rack> = good.iter().map(|worker| &worker.rack).collect();
        let all_racks: BTreeSet<&id::Rack> =
            self.workers.values().map(|worker| &worker.rack).collect();
        job_record.succeeded_on.is_empty()
            && good.len() >= BAD_JOB_WORKERS_MIN.min(self.workers.len())
            && racks.len() >= BAD_JOB_RACKS_MIN.min(all_racks.len())
    }

    /// Lifts quarantines that are based on a job that is now known to fail everywhere.
    fn lift_quarantines_of(&mut self, job: &id::Job, outcome: &mut Outcome) {
        let failed_on = self.jobs[job].failed_on.clone();
        for vm in failed_on {
            let Some(worker) = self.workers.get(&vm) else {
                continue;
            };
            let quarantined = matches!(worker.standing, Standing::Quarantined { .. });
            if quarantined && self.bad_log_likelihood(&vm) < WORKER_SUSPECT_THRESHOLD {
                self.lift_quarantine(&vm, outcome);
            }
        }
    }

    fn lift_quarantine(&mut self, vm: &id::Vm, outcome: &mut Outcome) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.standing = Standing::Good;
            worker.quarantines = 0;
            outcome.released.push(vm.clone());
        }
    }
}
