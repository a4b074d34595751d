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

/// Returns the share of a machine that `need` takes, in thousandths: the larger of the processor and memory shares.
pub fn machine_share(need: &Resources, size: &Resources) -> u64 {
    let cpu = need.cpu_milli * pools::MACHINE_MILLI / size.cpu_milli.max(1);
    let memory = need.memory_mib * pools::MACHINE_MILLI / size.memory_mib.max(1);
    cpu.max(memory)
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
        let cpu = self.cpu_milli_ms * pools::MACHINE_MILLI / size.cpu_milli.max(1);
        let memory = self.memory_mib_ms * pools::MACHINE_MILLI / size.memory_mib.max(1);
        cpu.max(memory)
    }

    /// Adds the steps of a job that are not long-running.
    pub(super) fn add(&mut self, spec: &spec::Spec) {
        let occurrences = spec
            .schedule
            .map_or(1, |schedule| u64::from(schedule.occurrences));
        let finite_steps = spec.steps.iter().filter(|step| !step.long_running);
        for step in finite_steps {
            let need = plan::need(step);
            let time_ms = step.estimate_ms * u64::from(step.tasks) * occurrences;
            self.cpu_milli_ms += need.cpu_milli * time_ms;
            self.memory_mib_ms += need.memory_mib * time_ms;
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
                demand.running += machine_share(&used, size);
                if worker.listed {
                    demand.lost += machine_share(&worker.lost(), &worker.largest);
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
                        let active = step.tasks.iter().filter(|task| task.active.is_some());
                        let active = share * active.count() as u64;
                        demand.running = demand.running.saturating_sub(active);
                        demand.late += active;
                    }
                    if step.idle == 0 || !job.is_step_ready(occurrence, number) {
                        continue;
                    }
                    // Machines don't help tasks that a quota holds back.
                    let account = job.accepted.account.as_ref();
                    if account.is_some_and(|account| self.ledger.is_at_quota(account)) {
                        continue;
                    }
                    let waiting = step.tasks.iter().filter(|task| task.is_waiting(now));
                    let waiting = waiting.count() as u64;
                    demand.blocked += if spec.long_running { waiting } else { 0 };
                    let waiting = share * waiting;
                    if in_time {
                        demand.waiting += waiting;
                    } else {
                        demand.late += waiting;
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
