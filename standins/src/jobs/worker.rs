//! A worker: tasks that really use processor time and memory, under leases.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use wasabiloft::id;
use wasabiloft::platform;

use super::Settings;
use super::truth::Life;

/// Age at which a task's memory grows from half to all that it needs, in milliseconds.
const GROWTH_MS: u64 = 20_000;
/// Time after which a task that fails does so, in milliseconds.
const FAIL_MS: u64 = 1_500;
/// Part of its speed that a throttled task keeps.
const THROTTLED_SPEED: f64 = 0.25;
/// Time that ended tasks stay listed, in milliseconds.
const LISTED_MS: u64 = 180_000;
/// Part of the memory above which a start is turned away.
const FULL: f64 = 0.99;

/// A task on a worker.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) job: id::Job,
    pub(super) real: platform::Resources,
    pub(super) state: platform::TaskState,
    fails: bool,
    kept_ms: f64,
    done_ms: f64,
    run_ms: f64,
    started_ms: u64,
    ended_ms: u64,
    lease_until_ms: u64,
}

impl Task {
    pub(super) fn is_running(&self) -> bool {
        matches!(
            self.state,
            platform::TaskState::Running | platform::TaskState::Throttled
        )
    }

    fn memory_mib(&self, now_ms: u64) -> u64 {
        if now_ms < self.started_ms + GROWTH_MS {
            self.real.memory_mib / 2
        } else {
            self.real.memory_mib
        }
    }

    fn speed(&self) -> f64 {
        match self.state {
            platform::TaskState::Throttled => THROTTLED_SPEED,
            _ => 1.0,
        }
    }
}

/// The end of a task.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) job: id::Job,
    pub(super) state: platform::TaskState,
    /// All work up to its end, that of earlier tasks included, in milliseconds.
    pub(super) done_ms: f64,
    /// Work that no checkpoint holds, in milliseconds.
    pub(super) lost_ms: f64,
}

/// A worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) vm: id::Vm,
    pub(super) rack: id::Rack,
    data_centre: id::DataCentre,
    size: platform::Resources,
    /// What its runner leaves to tasks.
    pub(super) limit: platform::Resources,
    pub(super) boots: u64,
    pub(super) state: platform::VmState,
    pub(super) is_bad: bool,
    pub(super) is_paused: bool,
    pub(super) is_vacated: bool,
    pub(super) tasks: BTreeMap<id::Task, Task>,
    pub(super) operations: HashMap<id::Operation, platform::StartAnswer>,
    pub(super) newest_epoch: u64,
    pub(super) stamp: u64,
    updated_ms: u64,
    index: usize,
}

impl Worker {
    pub(super) fn new(index: usize, settings: &Settings) -> Self {
        let rack = index / settings.rack_size;
        let mut size = settings.size;
        if index.is_multiple_of(8) {
            size.accelerators = settings.accelerators;
        }
        let keep = 1000 - settings.runner_permille;
        Self {
            vm: id::Vm::from(format!("vm-{index}")),
            rack: id::Rack::from(format!("rack-{rack}")),
            data_centre: id::DataCentre::from(format!(
                "dc-{}",
                rack / settings.racks_per_data_centre
            )),
            size,
            limit: platform::Resources {
                cpu_milli: size.cpu_milli * keep / 1000,
                memory_mib: size.memory_mib * keep / 1000,
                accelerators: size.accelerators,
            },
            boots: 1,
            state: platform::VmState::Live,
            is_bad: index < settings.faults.bad_workers,
            is_paused: false,
            is_vacated: false,
            tasks: BTreeMap::new(),
            operations: HashMap::new(),
            newest_epoch: 0,
            stamp: 0,
            updated_ms: 0,
            index,
        }
    }

    /// The worker in the platform's list.
    pub(super) fn listed(&self) -> platform::Vm {
        let port = 10_000 + self.index as u16;
        platform::Vm {
            vm: self.vm.clone(),
            rack: self.rack.clone(),
            data_centre: self.data_centre.clone(),
            region: id::Region::from("region-0"),
            home_pool: id::Pool::from("pool-0"),
            state: self.state,
            boots: self.boots,
            size: self.size,
            endpoint: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        }
    }

    /// What it reports; nothing while it is paused or down.
    pub(super) fn reading(&mut self, now_ms: u64) -> Option<platform::Usage> {
        if self.is_paused || self.state != platform::VmState::Live {
            return None;
        }
        self.progress(now_ms);
        self.tasks
            .retain(|_, task| task.is_running() || task.ended_ms + LISTED_MS > now_ms);
        let ratio = self.cpu_ratio();
        let tasks = self
            .tasks
            .iter()
            .map(|(name, task)| platform::TaskUsage {
                task: name.clone(),
                job: task.job.clone(),
                state: task.state.clone(),
                used: platform::Resources {
                    cpu_milli: (task.real.cpu_milli as f64 * task.speed() * ratio) as u64,
                    memory_mib: task.memory_mib(now_ms),
                    accelerators: task.real.accelerators,
                },
                age_ms: now_ms - task.started_ms,
            })
            .collect();
        Some(platform::Usage {
            vm: self.vm.clone(),
            as_of_ms: now_ms,
            tasks,
        })
    }

    /// Tasks that run now.
    pub(super) fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.is_running())
    }

    /// Memory in use, in MiB.
    pub(super) fn memory_mib(&self, now_ms: u64) -> u64 {
        self.running().map(|task| task.memory_mib(now_ms)).sum()
    }

    /// Processor time in use, in thousandths of a core.
    pub(super) fn cpu_milli(&self) -> f64 {
        self.wanted_cpu_milli().min(self.limit.cpu_milli as f64)
    }

    fn wanted_cpu_milli(&self) -> f64 {
        self.running()
            .map(|task| task.real.cpu_milli as f64 * task.speed())
            .sum()
    }

    fn cpu_ratio(&self) -> f64 {
        let wanted = self.wanted_cpu_milli();
        (self.limit.cpu_milli as f64 / wanted.max(1.0)).min(1.0)
    }

    /// Starts a task, if there is room.
    pub(super) fn start(
        &mut self,
        now_ms: u64,
        name: &id::Task,
        job: &id::Job,
        life: &Life,
        lease_ms: u64,
    ) -> platform::StartAnswer {
        let real = life.submission.real;
        let used_mib = self.memory_mib(now_ms);
        let accelerators: u32 = self.running().map(|task| task.real.accelerators).sum();
        let full = used_mib as f64 > FULL * self.limit.memory_mib as f64;
        if full || accelerators + real.accelerators > self.limit.accelerators {
            return platform::StartAnswer::NoRoom;
        }
        self.progress(now_ms);
        let task = Task {
            job: job.clone(),
            real,
            state: platform::TaskState::Running,
            fails: life.submission.fails || self.is_bad,
            kept_ms: life.kept_ms,
            done_ms: life.kept_ms,
            run_ms: life.submission.run_ms as f64,
            started_ms: now_ms,
            ended_ms: 0,
            lease_until_ms: now_ms + lease_ms,
        };
        self.tasks.insert(name.clone(), task);
        platform::StartAnswer::Started
    }

    /// Renews a lease; false if the task does not run.
    pub(super) fn renew(&mut self, now_ms: u64, name: &id::Task, lease_ms: u64) -> bool {
        let Some(task) = self.tasks.get_mut(name).filter(|task| task.is_running()) else {
            return false;
        };
        task.lease_until_ms = task.lease_until_ms.max(now_ms + lease_ms);
        true
    }

    /// Ends a running task.
    pub(super) fn end(
        &mut self,
        now_ms: u64,
        name: &id::Task,
        state: platform::TaskState,
    ) -> Option<Ended> {
        self.progress(now_ms);
        let task = self.tasks.get_mut(name).filter(|task| task.is_running())?;
        let kept = matches!(
            state,
            platform::TaskState::Checkpointed(_) | platform::TaskState::Finished
        );
        task.state = state.clone();
        task.ended_ms = now_ms;
        let lost_ms = if kept {
            0.0
        } else {
            task.done_ms - task.kept_ms
        };
        Some(Ended {
            job: task.job.clone(),
            state,
            done_ms: task.done_ms,
            lost_ms,
        })
    }

    /// Throttles a running task; false if it does not run.
    pub(super) fn throttle(&mut self, now_ms: u64, name: &id::Task) -> bool {
        self.progress(now_ms);
        let Some(task) = self.tasks.get_mut(name).filter(|task| task.is_running()) else {
            return false;
        };
        task.state = platform::TaskState::Throttled;
        true
    }

    /// Drops all tasks, as a reboot does.
    pub(super) fn clear(&mut self, now_ms: u64) -> Vec<Ended> {
        let names: Vec<id::Task> = self.tasks.keys().cloned().collect();
        let ended = names
            .iter()
            .filter_map(|name| self.end(now_ms, name, platform::TaskState::Stopped))
            .collect();
        self.tasks.clear();
        self.operations.clear();
        ended
    }

    /// Skips the time of a pause.
    pub(super) fn resume(&mut self, now_ms: u64) {
        self.updated_ms = now_ms;
        self.is_paused = false;
    }

    fn progress(&mut self, now_ms: u64) {
        let ratio = self.cpu_ratio();
        let passed_ms = (now_ms - self.updated_ms) as f64;
        self.updated_ms = now_ms;
        for task in self.tasks.values_mut().filter(|task| task.is_running()) {
            task.done_ms += passed_ms * ratio * task.speed();
        }
    }

    /// Ends what is over, by lease, by work, by failure or for memory.
    pub(super) fn end_due(&mut self, now_ms: u64) -> Vec<Ended> {
        self.progress(now_ms);
        let mut over: Vec<(id::Task, platform::TaskState)> = Vec::new();
        for (name, task) in self.tasks.iter().filter(|(_, task)| task.is_running()) {
            if now_ms >= task.lease_until_ms {
                over.push((name.clone(), platform::TaskState::LeaseLapsed));
            } else if task.fails && now_ms >= task.started_ms + FAIL_MS {
                over.push((
                    name.clone(),
                    platform::TaskState::Failed("exit 1".to_owned()),
                ));
            } else if task.done_ms + 0.5 >= task.run_ms {
                over.push((name.clone(), platform::TaskState::Finished));
            }
        }
        let mut ended: Vec<Ended> = over
            .into_iter()
            .filter_map(|(name, state)| self.end(now_ms, &name, state))
            .collect();
        while self.memory_mib(now_ms) > self.limit.memory_mib {
            let largest = self
                .tasks
                .iter()
                .filter(|(_, task)| task.is_running())
                .max_by_key(|(_, task)| task.memory_mib(now_ms))
                .map(|(name, _)| name.clone());
            let Some(name) = largest else {
                break;
            };
            ended.extend(self.end(now_ms, &name, platform::TaskState::OutOfMemory));
        }
        ended
    }

    /// When something on the worker next comes to its end, in milliseconds.
    pub(super) fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        let ratio = self.cpu_ratio();
        self.running()
            .map(|task| {
                let left_ms = (task.run_ms - task.done_ms) / (ratio * task.speed());
                let mut due_ms = now_ms + left_ms.max(0.0).ceil() as u64;
                due_ms = due_ms.min(task.lease_until_ms);
                if task.fails {
                    due_ms = due_ms.min(task.started_ms + FAIL_MS);
                }
                if now_ms < task.started_ms + GROWTH_MS {
                    due_ms = due_ms.min(task.started_ms + GROWTH_MS);
                }
                due_ms.max(now_ms + 1)
            })
            .min()
    }
}
