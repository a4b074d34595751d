//! What the queues ask of the pools.

use std::collections::BTreeMap;

use crate::batch::pools;
use crate::batch::record;
use crate::batch::scheduler::{Holder, plan};
use crate::batch::spec;
use crate::batch::waves;
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// The larger share of a machine's processors or memory that a need takes, in thousandths.
pub fn share(need: &Resources, size: &Resources) -> u64 {
    let cpu = need.cpu_milli * pools::MACHINE / size.cpu_milli.max(1);
    let memory = need.memory_mib * pools::MACHINE / size.memory_mib.max(1);
    cpu.max(memory)
}

/// Work that has arrived for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrived {
    /// Jobs that end.
    pub(super) jobs: u64,
    /// Thousandths of a core, times milliseconds.
    pub(super) cpu_milli_ms: u64,
    /// Memory in MiB, times milliseconds.
    pub(super) memory_mib_ms: u64,
}

impl Arrived {
    /// Adds a job's steps that end.
    pub(super) fn add(&mut self, spec: &spec::Spec) {
        let occurrences = spec
            .schedule
            .map_or(1, |schedule| u64::from(schedule.occurrences));
        let ending = spec.steps.iter().filter(|step| !step.lasting);
        for step in ending {
            let need = plan::need(step);
            let time_ms = step.estimate_ms * u64::from(step.tasks) * occurrences;
            self.cpu_milli_ms += need.cpu_milli * time_ms;
            self.memory_mib_ms += need.memory_mib * time_ms;
        }
        self.jobs += u64::from(!spec.is_lasting());
    }
}

impl Holder {
    /// What each service's queues ask of its pool, counted in machines of a size.
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
            let arrived = self.arrived.get(service).copied().unwrap_or_default();
            let cpu = arrived.cpu_milli_ms * pools::MACHINE / size.cpu_milli.max(1);
            let memory = arrived.memory_mib_ms * pools::MACHINE / size.memory_mib.max(1);
            let demand = pools::Demand {
                arrived: cpu.max(memory),
                jobs: arrived.jobs,
                ..pools::Demand::default()
            };
            demands.insert(service.clone(), demand);
        }
        for worker in self.workers.values() {
            if let Some(demand) = demands.get_mut(&worker.listing.service) {
                demand.running += share(&worker.used, size);
            }
        }
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(demand) = demands.get_mut(&job.accepted.queue.service) else {
                continue;
            };
            for (&occurrence, open) in &job.occurrences {
                let in_time = plan::class(job, occurrence, unix_ms) != plan::Class::Late;
                for (number, step) in (0_u32..).zip(&open.steps) {
                    let spec = &job.accepted.spec.steps[number as usize];
                    if spec.lasting && spec.per_worker_max > 0 {
                        let apart = spec.tasks.div_ceil(spec.per_worker_max);
                        demand.apart = demand.apart.max(apart);
                    }
                    if !in_time || !job.step_is_ready(occurrence, number) {
                        continue;
                    }
                    let waiting = step.tasks.iter().filter(|task| task.is_waiting(now));
                    demand.waiting += share(&plan::need(spec), size) * waiting.count() as u64;
                }
            }
        }
        demands
    }

    /// Room that tasks take on a worker, in thousandths of it, and whether it is being emptied; `None` until the
    /// worker has answered.
    pub fn usage(&self, worker: &id::Worker) -> Option<(u64, bool)> {
        let book = self.workers.get(worker).filter(|book| book.adopted)?;
        Some((share(&book.used, &book.listing.size), book.vacating))
    }

    /// Keeps that a machine is about to be ordered, at a moment of the store's clock.
    pub fn record_order(&mut self, vm: id::Vm, at_ms: u64) {
        self.rows.record_order(vm, record::Ordered { at_ms });
    }

    /// Machines whose order is committed, so that it may be sent.
    pub fn take_cleared(&mut self) -> Vec<id::Vm> {
        self.rows.take_cleared()
    }

    /// Keeps what a successor has to know of a wave.
    pub fn record_wave(&mut self, number: u64, record: waves::Record) {
        self.rows.record_wave(number, record);
    }
}
