//! Demand of the queues on the pools of machines.

use crate::batch::order;
use crate::batch::pools;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, plan};
use crate::batch::spec;
use crate::batch::waves;
use crate::clock;
use crate::id;
use crate::platform::Resources;
use std::collections::BTreeMap;

/// Maximum work of a step that counts, in thousandths of a core or MiB, times milliseconds: 1,000 cores for an hour. A sum of
/// such steps stays far below the largest number.
const STEP_WORK_MAX: u64 = 1_000 * 1_000 * 3_600_000;

/// Returns the share of a machine that `need` takes, in thousandths: the larger of the processor and memory shares.
pub fn machine_share(need: &Resources, size: &Resources) -> u64 {
    share(need.cpu_milli, size.cpu_milli).max(share(need.memory_mib, size.memory_mib))
}

fn share(need: u64, size: u64) -> u64 {
    need.saturating_mul(pools::MACHINE_MILLI) / size.max(1)
}

/// Total work submitted to a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SubmittedWork {
    /// Number of jobs that end by themselves.
    pub(super) jobs: u64,
    /// Processor time, in thousandths of a core times milliseconds.
    pub(super) cpu_milli_ms: u64,
    /// Memory use, in MiB times milliseconds.
    pub(super) memory_mib_ms: u64,
}

impl SubmittedWork {
    /// Returns the work as thousandths of a machine times milliseconds: the larger of the processor and memory shares.
    fn share(&self, size: &Resources) -> u64 {
        share(self.cpu_milli_ms, size.cpu_milli).max(share(self.memory_mib_ms, size.memory_mib))
    }

    /// Adds the steps of a job that are not long-running.
    pub(super) fn add(&mut self, spec: &spec::Spec) {
        let occurrences = spec
            .schedule
            .map_or(1, |schedule| u64::from(schedule.occurrences));
        let finite_steps = spec.steps.iter().filter(|step| !step.long_running);
        for step in finite_steps {
            let need = plan::need(step);
            let tasks = u64::from(step.tasks).saturating_mul(occurrences);
            let time_ms = step.estimate_ms.saturating_mul(tasks);
            let work = |need: u64| need.saturating_mul(time_ms).min(STEP_WORK_MAX);
            self.cpu_milli_ms = self.cpu_milli_ms.saturating_add(work(need.cpu_milli));
            self.memory_mib_ms = self.memory_mib_ms.saturating_add(work(need.memory_mib));
        }
        self.jobs += u64::from(!spec.is_long_running());
    }
}

impl Scheduler {
    /// Returns the jobs within their accounts' rates that arrived before this scheduler, in the last
    /// [`pools::HISTORY_MS`], with their work in thousandths of a machine of the given size.
    pub fn earlier_arrivals(
        &self,
        size: &Resources,
        unix_ms: u64,
    ) -> BTreeMap<id::Service, Vec<pools::Arrival>> {
        let mut arrivals: BTreeMap<id::Service, Vec<pools::Arrival>> = BTreeMap::new();
        for job in self.jobs.values() {
            let age_ms = unix_ms.saturating_sub(job.accepted.submitted_unix_ms);
            if !job.recovered || job.beyond_rate || age_ms >= pools::HISTORY_MS {
                continue;
            }
            let mut submitted = SubmittedWork::default();
            submitted.add(&job.accepted.spec);
            if submitted.jobs > 0 {
                let service = job.accepted.queue.service.clone();
                arrivals.entry(service).or_default().push(pools::Arrival {
                    age_ms,
                    arrived: submitted.share(size),
                });
            }
        }
        arrivals
    }

    /// Returns the demand of each service that is not a spare pool, in thousandths of a machine of the given size.
    pub fn demands(
        &self,
        size: &Resources,
        now: clock::Instant,
        unix_ms: u64,
    ) -> BTreeMap<id::Service, pools::Demand> {
        let mut demands: BTreeMap<id::Service, pools::Demand> = BTreeMap::new();
        for (service, flags) in &self.config.services {
            if flags.spare {
                continue;
            }
            let submitted = self
                .submitted_work
                .get(service)
                .copied()
                .unwrap_or_default();
            let demand = pools::Demand {
                arrived: submitted.share(size),
                jobs: submitted.jobs,
                is_partial: self.unread_partitions() > 0,
                ..pools::Demand::default()
            };
            demands.insert(service.clone(), demand);
        }
        for worker in self.workers.values() {
            if let Some(demand) = demands.get_mut(&worker.listing.service) {
                let used = match worker.unreserved {
                    Some(_) => worker.used,
                    // The need of runs of unknown jobs is unknown.
                    None => worker.listing.size,
                };
                demand.running = demand.running.saturating_add(machine_share(&used, size));
                if worker.listed {
                    let lost = machine_share(&worker.lost(), &worker.largest);
                    demand.lost = demand.lost.saturating_add(lost);
                }
            }
        }
        for id in self.open_jobs.iter() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(demand) = demands.get_mut(&job.accepted.queue.service) else {
                continue;
            };
            for (&occurrence, occurrence_state) in &job.occurrences {
                // Long-running tasks keep their machines: an account's rate concerns work that ends.
                let in_time = match plan::class(job, occurrence, unix_ms) {
                    order::Class::LongRunning => true,
                    order::Class::InTime => !job.beyond_rate,
                    order::Class::Late => false,
                };
                for (number, step) in (0_u32..).zip(&occurrence_state.steps) {
                    let spec = &job.accepted.spec.steps[number as usize];
                    if spec.long_running && spec.per_worker_max > 0 {
                        let workers_needed = spec.tasks.div_ceil(spec.per_worker_max);
                        demand.separate_machines = demand.separate_machines.max(workers_needed);
                    }
                    let share = machine_share(&plan::need(spec), size);
                    if !in_time {
                        let active = share.saturating_mul(u64::from(step.active()));
                        demand.running = demand.running.saturating_sub(active);
                        demand.late = demand.late.saturating_add(active);
                    }
                    if step.idle() == 0 || !job.is_step_ready(occurrence, number) {
                        continue;
                    }
                    // Machines don't help tasks that a quota holds back.
                    let account = job.accepted.account.as_ref();
                    if account.is_some_and(|account| self.ledger.is_at_quota(account)) {
                        continue;
                    }
                    let waiting = u64::from(step.waiting_count(now));
                    demand.blocked += if spec.long_running { waiting } else { 0 };
                    let waiting = share.saturating_mul(waiting);
                    if in_time {
                        demand.waiting = demand.waiting.saturating_add(waiting);
                    } else {
                        demand.late = demand.late.saturating_add(waiting);
                    }
                }
            }
        }
        demands
    }

    /// Returns the share of a worker that its tasks take, in thousandths, and whether it is being drained; `None`
    /// until the worker has answered.
    pub fn usage(&self, worker: &id::Worker) -> Option<(u64, bool)> {
        let state = self.workers.get(worker).filter(|state| state.adopted)?;
        // Runs and ends of unknown jobs keep the worker from being emptied.
        let used = if self.orphans.has_runs_on(worker) {
            &state.listing.size
        } else {
            &state.used
        };
        Some((machine_share(used, &state.listing.size), state.draining))
    }

    /// Returns whether a worker has joined its pool: it has answered, and hasn't been silent for as long as joining takes.
    pub fn has_joined(&self, worker: &id::Worker, now: clock::Instant) -> bool {
        let state = self.workers.get(worker);
        state.is_some_and(|state| state.adopted && state.silent_ms(now) < pools::JOIN_TIMEOUT_MS)
    }

    /// Queues a row that records a machine command before it is sent, with the time on the store's clock in
    /// milliseconds.
    pub fn record_machine_command(&mut self, vm: id::Vm, at_ms: u64) {
        self.pending_rows
            .record_machine_command(vm, record::MachineRow { at_ms });
    }

    /// Returns the machines whose command was committed and can be sent now, and clears them.
    pub fn take_committed_commands(&mut self) -> Vec<id::Vm> {
        self.pending_rows.take_committed_commands()
    }

    /// Queues a row that lets a next leader continue a wave of maintenance.
    pub fn record_wave(&mut self, (key, record): (waves::Key, waves::Record)) {
        self.pending_rows.record_wave(key, record);
    }
}
