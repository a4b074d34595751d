//! Workers as the platform documents them: fences, leases on their own clock, runs, and ends until they are acknowledged.

use std::collections::BTreeMap;

use wasabiloft::batch::scheduler::{Poll, Refusal, Start};
use wasabiloft::batch::{TaskId, worker_state};
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::search::history::Setup;

/// Longest lease that a worker accepts, in milliseconds; a longer one is shortened.
pub(super) const LEASE_MAX_MS: u64 = 10_000;
/// Time that a stop takes, in milliseconds; at most 200 on the platform.
const STOP_MS: u64 = 150;
/// Rate of a slow clock, in thousandths.
const SLOW_MILLI: u64 = 980;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct Running {
    /// Number of the start.
    pub run: u32,
    began_ms: u64,
    ends_ms: u64,
    stopping: bool,
}

/// An end, with what decides whether it counts as taken note of.
#[derive(Clone, Debug)]
pub struct End {
    /// The end as it is reported.
    pub reported: worker_state::EndedRun,
    /// Whether the lease lapsed after this end.
    pub lapsed_since: bool,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Life {
    /// Number of the life among all workers.
    pub number: u64,
    /// Id in the registry.
    pub id: id::Worker,
    /// Start of this life, in milliseconds.
    pub born_ms: u64,
    clock_base_ms: u64,
    slow: bool,
    cores: u64,
    unfenced: bool,
    /// Highest fencing epoch received.
    pub fence: u64,
    lease_until_ms: u64,
    /// Runs in progress.
    pub running: BTreeMap<TaskId, Running>,
    /// Ends that are not acknowledged.
    pub ends: Vec<End>,
    last_number: u64,
    highest: BTreeMap<TaskId, u32>,
    /// Whether it has announced its stop.
    pub leaving: bool,
}

/// A run that a worker began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carried {
    /// A new run.
    Began,
    /// The run was there already.
    Known,
}

impl Life {
    /// Begins a life; its clock shows `clock_base_ms`.
    pub fn new(
        number: u64,
        id: id::Worker,
        now_ms: u64,
        clock_base_ms: u64,
        setup: &Setup,
    ) -> Self {
        Self {
            cores: setup.cores,
            slow: setup.slow_clocks,
            unfenced: setup.unfenced,
            number,
            id,
            born_ms: now_ms,
            clock_base_ms,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
            highest: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Returns the registry entry.
    pub fn listing(&self, service: &id::Service, vm: usize) -> worker_state::Listing {
        worker_state::Listing {
            worker: self.id.clone(),
            service: service.clone(),
            address: ([10, 0, 0, 1], u16::try_from(vm).unwrap_or(0) + 1).into(),
            data_centre: id::DataCentre::new("z0"),
            size: Resources {
                cpu_milli: self.cores * 1_000,
                memory_mib: 16_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            rack: None,
            leaving: self.leaving,
            started_unix_ms: Some(self.started_unix_ms()),
        }
    }

    /// Returns the start that the life reports, in milliseconds since 1970.
    pub fn started_unix_ms(&self) -> u64 {
        self.born_ms + 1
    }

    /// Returns the worker's clock, in milliseconds.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        let rate_milli = if self.slow { SLOW_MILLI } else { 1_000 };
        self.clock_base_ms + (now_ms - self.born_ms) * rate_milli / 1_000
    }

    /// Returns when [`Life::advance`] has something to do next, in milliseconds.
    pub fn next_ms(&self, now_ms: u64) -> Option<u64> {
        if self.running.is_empty() {
            return None;
        }
        let left_ms = (self.lease_until_ms + 1).saturating_sub(self.clock_ms(now_ms));
        let lapse_ms = now_ms
            + if self.slow {
                left_ms * 1_000 / SLOW_MILLI + 1
            } else {
                left_ms
            };
        let ends_ms = self.running.values().map(|running| running.ends_ms).min();
        ends_ms.map(|ends_ms| ends_ms.min(lapse_ms).max(now_ms + 1))
    }

    /// Ends the runs that are over, or all if the lease has lapsed; returns them.
    pub fn advance(&mut self, now_ms: u64) -> Vec<(TaskId, u32, worker_state::Outcome)> {
        let has_lapsed = self.clock_ms(now_ms) > self.lease_until_ms;
        if has_lapsed {
            for end in &mut self.ends {
                end.lapsed_since = true;
            }
        }
        let ended: Vec<(TaskId, u32, worker_state::Outcome)> = self
            .running
            .iter()
            .filter_map(|(task, running)| {
                let outcome = if running.ends_ms > now_ms {
                    has_lapsed.then_some(worker_state::Outcome::Lapsed)?
                } else if running.stopping {
                    worker_state::Outcome::Stopped
                } else {
                    worker_state::Outcome::Done
                };
                Some((*task, running.run, outcome))
            })
            .collect();
        for (task, run, outcome) in &ended {
            self.running.remove(task);
            let highest = self.highest.entry(*task).or_default();
            *highest = (*highest).max(*run);
            self.last_number += 1;
            self.ends.push(End {
                reported: worker_state::EndedRun {
                    number: self.last_number,
                    task: *task,
                    run: *run,
                    outcome: *outcome,
                    checkpoint: None,
                },
                lapsed_since: false,
            });
        }
        ended
    }

    /// Raises the fence to an epoch, and returns whether its commands are carried out.
    fn admits(&mut self, epoch: u64) -> bool {
        let is_current = epoch >= self.fence || self.unfenced;
        self.fence = self.fence.max(epoch);
        is_current
    }

    fn extend_lease(&mut self, until_ms: u64, now_ms: u64) {
        let clock_ms = self.clock_ms(now_ms);
        if until_ms > clock_ms {
            let until_ms = until_ms.min(clock_ms + LEASE_MAX_MS);
            self.lease_until_ms = self.lease_until_ms.max(until_ms);
        }
    }

    /// Carries out a start.
    pub fn start(
        &mut self,
        epoch: u64,
        start: &Start,
        task_ms: u64,
        now_ms: u64,
    ) -> Result<Carried, Refusal> {
        if !self.admits(epoch) {
            return Err(Refusal::Fenced);
        }
        let known = self.running.get(&start.task).map(|running| running.run);
        if known == Some(start.run) {
            self.extend_lease(start.until_ms, now_ms);
            return Ok(Carried::Known);
        }
        if start.until_ms <= self.clock_ms(now_ms) {
            return Err(Refusal::Late);
        }
        self.extend_lease(start.until_ms, now_ms);
        let highest = self.highest.get(&start.task).copied().unwrap_or(0);
        if start.run <= highest || known.is_some() {
            return Err(Refusal::Superseded);
        }
        if self.running.len() as u64 >= self.cores {
            return Err(Refusal::NoRoom);
        }
        let running = Running {
            run: start.run,
            began_ms: now_ms,
            ends_ms: now_ms + task_ms,
            stopping: false,
        };
        self.running.insert(start.task, running);
        Ok(Carried::Began)
    }

    /// Carries out a stop; returns whether the fence admits it.
    pub fn stop(&mut self, epoch: u64, task: TaskId, run: u32, now_ms: u64) -> bool {
        if !self.admits(epoch) {
            return false;
        }
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        if let Some(running) = self.running.get_mut(&task)
            && running.run <= run
            && !running.stopping
        {
            running.stopping = true;
            running.ends_ms = running.ends_ms.min(now_ms + STOP_MS);
        }
        true
    }

    /// Carries out a poll; returns the ends that it acknowledges, or `None` if the fence refuses it.
    pub fn poll(&mut self, epoch: u64, poll: &Poll, now_ms: u64) -> Option<Vec<End>> {
        if !self.admits(epoch) {
            return None;
        }
        if let Some(until_ms) = poll.until_ms {
            self.extend_lease(until_ms, now_ms);
        }
        let (acknowledged, kept) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|end| end.reported.number <= poll.acknowledged);
        self.ends = kept;
        Some(acknowledged)
    }

    /// Returns the lists of runs and ends.
    pub fn report(&self, now_ms: u64) -> worker_state::Report {
        let running = self.running.iter().map(|(task, running)| {
            let length_ms = (running.ends_ms - running.began_ms).max(1);
            let percent = (now_ms - running.began_ms) * 100 / length_ms;
            worker_state::Run {
                task: *task,
                run: running.run,
                checkpoint: None,
                percent: u32::try_from(percent.min(99)).unwrap_or(99),
                usage: 1_000,
            }
        });
        worker_state::Report {
            clock_ms: self.clock_ms(now_ms),
            started_unix_ms: Some(self.started_unix_ms()),
            running: running.collect(),
            ended: self.ends.iter().map(|end| end.reported.clone()).collect(),
            unreadable_runs: 0,
            unreadable_ends: 0,
        }
    }
}
