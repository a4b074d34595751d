//! Bad workers and bad jobs: failures are ascribed to one or the other by who else fails where.
//!
//! Each failure raises the log-likelihood that its worker is bad by the logarithm of how unlikely the
//! failure would be on a good worker, judged by the job's record elsewhere; a success lowers it. Records of
//! jobs are read when a worker is judged, so that jobs that turn out to fail everywhere clear
//! the workers they failed on. A quarantined worker is tried again later with one task.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::clock;
use crate::id;

/// Outcomes that a worker's record holds.
const WORKER_RECORD_MAX: usize = 8;
/// Distinct workers that a job's record holds.
const JOB_RECORD_MAX: usize = 16;
/// Chance that a task fails on a bad worker.
const BAD_WORKER_FAILS: f64 = 0.95;
/// Chance that an unknown job fails on a good worker.
const JOB_FAILS: f64 = 0.05;
/// Runs that [`JOB_FAILS`] counts for.
const JOB_PRIOR_RUNS: f64 = 1.0;
/// Log-likelihood from which a worker is quarantined.
const WORKER_BAD: f64 = 4.6;
/// Log-likelihood from which a worker counts towards its rack.
const WORKER_SUSPECT: f64 = 2.5;
/// Suspect workers from which a rack is quarantined.
const RACK_SUSPECTS: usize = 3;
/// Distinct good workers on which a job must fail to be held bad.
const JOB_WORKERS: usize = 3;
/// Distinct racks on which a job must fail to be held bad, when the fleet has more than one.
const JOB_RACKS: usize = 2;
/// First length of a quarantine, in milliseconds; doubled each time.
const FIRST_MS: u64 = 5 * clock::MINUTE_MS;
/// Longest quarantine, in milliseconds.
const LONGEST_MS: u64 = 6 * clock::HOUR_MS;

/// Whether a worker may take tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Good,
    /// Tried again after a quarantine: one idempotent task at a time.
    Probation,
    /// None until the quarantine ends.
    Quarantined {
        /// Its end.
        until: clock::Instant,
    },
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    /// It finished.
    Succeeded,
    /// It failed.
    Failed,
}

/// What a task's end showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Workers that are newly quarantined.
    pub quarantined: Vec<id::Vm>,
    /// Workers that are cleared.
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

/// The records of workers and jobs.
#[derive(Clone, Debug, Default)]
pub struct Records {
    workers: HashMap<id::Vm, Worker>,
    jobs: HashMap<id::Job, Job>,
}

impl Records {
    /// Makes a worker known.
    pub fn add_worker(&mut self, vm: &id::Vm, rack: &id::Rack) {
        self.workers.entry(vm.clone()).or_insert_with(|| Worker {
            rack: rack.clone(),
            record: VecDeque::new(),
            standing: Standing::Good,
            quarantines: 0,
        });
    }

    /// Whether the worker may take tasks; a quarantine that has ended turns into probation.
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

    /// True if nothing on the worker's record speaks against it.
    pub fn is_trusted(&self, vm: &id::Vm) -> bool {
        self.workers.get(vm).is_none_or(|worker| {
            worker.standing == Standing::Good
                && worker
                    .record
                    .back()
                    .is_none_or(|(_, last)| *last == Result::Succeeded)
        })
    }

    /// The workers on which the job failed.
    pub fn failed_on(&self, job: &id::Job) -> impl Iterator<Item = &id::Vm> {
        self.jobs
            .get(job)
            .into_iter()
            .flat_map(|known| &known.failed_on)
    }

    /// Forgets a job that has ended and been removed.
    pub fn forget_job(&mut self, job: &id::Job) {
        self.jobs.remove(job);
    }

    /// Takes the end of a task on a worker.
    pub fn record(
        &mut self,
        now: clock::Instant,
        vm: &id::Vm,
        job: &id::Job,
        result: Result,
    ) -> Verdict {
        self.note(vm, job, result);
        let mut verdict = Verdict::default();
        match result {
            Result::Succeeded => self.release(vm, &mut verdict),
            Result::Failed => self.judge_failure(now, vm, job, &mut verdict),
        }
        verdict
    }

    fn note(&mut self, vm: &id::Vm, job: &id::Job, result: Result) {
        if let Some(worker) = self.workers.get_mut(vm) {
            if worker.record.len() == WORKER_RECORD_MAX {
                worker.record.pop_front();
            }
            worker.record.push_back((job.clone(), result));
        }
        let known = self.jobs.entry(job.clone()).or_default();
        let set = match result {
            Result::Succeeded => &mut known.succeeded_on,
            Result::Failed => &mut known.failed_on,
        };
        if set.len() < JOB_RECORD_MAX {
            set.insert(vm.clone());
        }
    }

    fn release(&mut self, vm: &id::Vm, verdict: &mut Verdict) {
        if let Some(worker) = self.workers.get_mut(vm)
            && worker.standing == Standing::Probation
        {
            worker.standing = Standing::Good;
            worker.quarantines = 0;
            verdict.released.push(vm.clone());
        }
    }

    fn judge_failure(
        &mut self,
        now: clock::Instant,
        vm: &id::Vm,
        job: &id::Job,
        verdict: &mut Verdict,
    ) {
        self.judge_worker(now, vm, verdict);
        self.judge_rack(now, vm, verdict);
        verdict.job_is_bad = self.job_is_bad(job);
        if verdict.job_is_bad {
            self.clear_workers_of(job, verdict);
        }
    }

    fn judge_worker(&mut self, now: clock::Instant, vm: &id::Vm, verdict: &mut Verdict) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let again = worker.standing == Standing::Probation;
        if again || self.suspicion(vm) >= WORKER_BAD {
            self.quarantine(now, vm, verdict);
        }
    }

    /// Quarantines the whole rack when several of its workers are suspect.
    fn judge_rack(&mut self, now: clock::Instant, vm: &id::Vm, verdict: &mut Verdict) {
        let Some(rack) = self.workers.get(vm).map(|worker| worker.rack.clone()) else {
            return;
        };
        let members = self.members(&rack);
        let suspects = members
            .iter()
            .filter(|member| self.is_suspect(member))
            .count();
        if suspects < RACK_SUSPECTS.min(members.len()) || members.len() < 2 {
            return;
        }
        for member in &members {
            self.quarantine(now, member, verdict);
        }
    }

    fn members(&self, rack: &id::Rack) -> Vec<id::Vm> {
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
        quarantined || self.suspicion(vm) >= WORKER_SUSPECT
    }

    fn quarantine(&mut self, now: clock::Instant, vm: &id::Vm, verdict: &mut Verdict) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        if matches!(worker.standing, Standing::Quarantined { .. }) {
            return;
        }
        let length_ms = FIRST_MS
            .saturating_mul(1 << worker.quarantines.min(16))
            .min(LONGEST_MS);
        worker.quarantines += 1;
        worker.standing = Standing::Quarantined {
            until: now.after_ms(length_ms),
        };
        verdict.quarantined.push(vm.clone());
    }

    /// Log-likelihood that the worker is bad, over its record.
    fn suspicion(&self, vm: &id::Vm) -> f64 {
        let mut jobs = BTreeSet::new();
        let mut sum: f64 = 0.0;
        for (job, result) in &self.workers[vm].record {
            let fails = self.fails_elsewhere(job, vm);
            match result {
                Result::Succeeded => sum += ((1.0 - BAD_WORKER_FAILS) / (1.0 - fails)).ln(),
                Result::Failed if jobs.insert(job) => sum += (BAD_WORKER_FAILS / fails).ln(),
                Result::Failed => {}
            }
            sum = sum.max(0.0);
        }
        sum
    }

    /// Chance that the job fails on a good worker, from its record on others that are not bad themselves.
    fn fails_elsewhere(&self, job: &id::Job, vm: &id::Vm) -> f64 {
        let Some(known) = self.jobs.get(job) else {
            return JOB_FAILS;
        };
        let count = |set: &BTreeSet<id::Vm>| {
            set.iter()
                .filter(|other| *other != vm && self.is_good(other, job))
                .count() as f64
        };
        let failed = count(&known.failed_on);
        let runs = failed + count(&known.succeeded_on);
        let chance = (JOB_FAILS * JOB_PRIOR_RUNS + failed) / (JOB_PRIOR_RUNS + runs);
        chance.clamp(0.01, 0.99)
    }

    /// True unless the worker is quarantined for failures of other jobs that nothing else explains.
    fn is_good(&self, vm: &id::Vm, job: &id::Job) -> bool {
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

    /// True if the job failed on no other worker, or finished somewhere.
    fn fails_only_on(&self, job: &id::Job, vm: &id::Vm) -> bool {
        self.jobs.get(job).is_none_or(|known| {
            !known.succeeded_on.is_empty() || known.failed_on.iter().all(|other| other == vm)
        })
    }

    /// True if the job failed on enough good workers of different racks, and finished on none.
    fn job_is_bad(&self, job: &id::Job) -> bool {
        let Some(known) = self.jobs.get(job) else {
            return false;
        };
        let good: Vec<&Worker> = known
            .failed_on
            .iter()
            .filter(|vm| self.is_good(vm, job))
            .filter_map(|vm| self.workers.get(vm))
            .collect();
        let racks: BTreeSet<&id::Rack> = good.iter().map(|worker| &worker.rack).collect();
        let all_racks: BTreeSet<&id::Rack> =
            self.workers.values().map(|worker| &worker.rack).collect();
        known.succeeded_on.is_empty()
            && good.len() >= JOB_WORKERS.min(self.workers.len())
            && racks.len() >= JOB_RACKS.min(all_racks.len())
    }

    /// Lifts quarantines that rest on a job that is now known to fail everywhere.
    fn clear_workers_of(&mut self, job: &id::Job, verdict: &mut Verdict) {
        let failed_on = self.jobs[job].failed_on.clone();
        for vm in failed_on {
            let Some(worker) = self.workers.get(&vm) else {
                continue;
            };
            let quarantined = matches!(worker.standing, Standing::Quarantined { .. });
            if quarantined && self.suspicion(&vm) < WORKER_SUSPECT {
                self.clear(&vm, verdict);
            }
        }
    }

    fn clear(&mut self, vm: &id::Vm, verdict: &mut Verdict) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.standing = Standing::Good;
            worker.quarantines = 0;
            verdict.released.push(vm.clone());
        }
    }
}
