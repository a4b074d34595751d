//! Assignment of machines to pools: enough machines where work arrives, the rest powered off.

mod arrivals;
mod forecast;
mod unreadable;

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::platform::Resources;

pub use arrivals::{Arrivals, JOIN_TIMEOUT_MS};
pub use forecast::{Arrival, Forecast, HISTORY_MS};
pub use unreadable::Unreadable;

/// One machine in the unit of demand, thousandths of a machine.
pub const MACHINE_MILLI: u64 = 1_000;

/// The state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Up, or powered off in the spare pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// Unavailable for its maintenance.
    Upkeep,
    /// Down and not in maintenance.
    Down,
    /// Not known, as the machine's entry cannot be read; the other fields are those of an earlier list.
    Unreadable,
}

/// A machine's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Id of the VM.
    pub vm: id::Vm,
    /// Service whose pool the machine is in.
    pub pool: id::Service,
    /// State at the time of the list.
    pub state: State,
    /// Data centre of the VM.
    pub data_centre: id::DataCentre,
    /// Rack of the VM, if known.
    pub rack: Option<id::Rack>,
    /// Kind of the VM, which labels its worker.
    pub kind: String,
    /// Total capacity for tasks.
    pub size: Resources,
    /// Worker that the VM runs, if any.
    pub worker: Option<id::Worker>,
}

/// Returns the size of a machine that demand is measured in: the median of each resource, so that a machine that has
/// shrunk doesn't change the demand on all pools. `None` without machines.
pub fn reference_size(machines: &[Machine]) -> Option<Resources> {
    machines.first()?;
    Some(Resources {
        cpu_milli: median(machines.iter().map(|machine| machine.size.cpu_milli)),
        memory_mib: median(machines.iter().map(|machine| machine.size.memory_mib)),
        accelerators: median(machines.iter().map(|machine| machine.size.accelerators)),
    })
}

/// Returns the upper median of at least one value.
fn median<T: Ord + Copy>(values: impl Iterator<Item = T>) -> T {
    let mut values: Vec<T> = values.collect();
    let middle = values.len() / 2;
    *values.select_nth_unstable(middle).1
}

/// The demand of a service's queues on its pool; capacity is in thousandths of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Capacity used by running tasks, except those of late jobs and of jobs beyond their account's rate.
    pub running: u64,
    /// Capacity needed by tasks that could start now and whose job can still meet its objective and is within its
    /// account's rate.
    pub waiting: u64,
    /// Capacity that tasks of jobs use, or need now, that can no longer meet their objective or exceed their account's
    /// rate.
    pub late: u64,
    /// Capacity by which the pool's machines have shrunk.
    pub lost: u64,
    /// Number of long-running tasks that wait for a worker.
    pub blocked: u64,
    /// Machines that long-running tasks need so that they run on separate ones.
    pub separate_machines: u32,
    /// Total of all work that ever arrived within the accounts' rates, as capacity times milliseconds.
    pub arrived: u64,
    /// Total number of jobs that ever arrived within the accounts' rates.
    pub jobs: u64,
    /// Whether there may be jobs that are not known yet.
    pub is_partial: bool,
}

/// The number of machines that a pool should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Machines for all present and forecast work.
    pub need: u32,
    /// Machines that the pool gets before any other pool grows.
    pub min: u32,
    /// Machines below which the pool doesn't shrink only to power machines off.
    pub retain: u32,
    /// Machines for late work, beyond `need`; the pool gets them if no other pool needs them for work in time.
    pub late: u32,
}

/// A machine with the state that `assign` considers.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Newest list entry of the machine.
    pub machine: &'a Machine,
    /// Whether nothing runs on the machine, or it is off.
    pub empty: bool,
    /// Capacity used by tasks; the less, the sooner the machine is drained.
    pub used: u64,
    /// Whether the machine is already being drained.
    pub draining: bool,
}

/// An action on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Drain the machine: give it no new tasks.
    Drain(id::Vm),
    /// End the drain: let the machine take tasks again.
    Undrain(id::Vm),
    /// Move the machine to another pool; nothing runs on it.
    Move {
        /// Machine to move.
        vm: id::Vm,
        /// Service of the machine's new pool.
        to: id::Service,
    },
}

/// The input of [`assign`] besides the machines.
pub struct Input<'a> {
    /// Target of each pool.
    pub targets: &'a BTreeMap<id::Service, Target>,
    /// Number of machines that are about to join each pool.
    pub incoming: &'a BTreeMap<id::Service, u32>,
    /// Pool of powered-off machines, if there is one.
    pub spare: Option<&'a id::Service>,
}

/// Decides which machines change their pool.
///
/// Answers the load in which one queue's jobs are late, or exceed their account's rate, while the next queue asks for more than its pool holds: late work
/// keeps only the machines that no work in time needs, so that one queue's peak doesn't make the following ones late.
///
/// A pool gives machines that it doesn't need now to pools with a shortage. It gives machines to the spare pool only
/// if it hasn't needed them for a while.
pub fn assign(candidates: &[Candidate<'_>], input: &Input<'_>) -> Vec<Action> {
    let mut shortages = BTreeMap::new();
    let mut late_shortages = BTreeMap::new();
    let mut kept_for_late: BTreeSet<&id::Vm> = BTreeSet::new();
    let mut pools = BTreeMap::new();
    for (service, target) in input.targets {
        let mut members: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.machine.pool == *service)
            .collect();
        // Empty machines come first, then those that are already draining, then the least used.
        members.sort_by_key(|candidate| (!candidate.empty, !candidate.draining, candidate.used));
        let have = count(&members) + input.incoming.get(service).copied().unwrap_or(0);
        if target.need > have {
            let min = target.min.saturating_sub(have);
            let beyond_min = target.need - have - min;
            shortages.insert(service, Shortage { min, beyond_min });
        }
        let late = target.need.saturating_add(target.late);
        if late > have.max(target.need) {
            let shortage = Shortage {
                min: 0,
                beyond_min: late - have.max(target.need),
            };
            late_shortages.insert(service, shortage);
        }
        let surplus = have.saturating_sub(target.need).min(count(&members)) as usize;
        // A pool's own late work comes before that of other pools.
        let beyond_late = have.saturating_sub(late).min(count(&members)) as usize;
        let kept = members[beyond_late..surplus].iter();
        kept_for_late.extend(kept.map(|candidate| &candidate.machine.vm));
        let pool = Pool {
            surplus,
            // No machine is powered off because others are about to come.
            unused: count(&members).saturating_sub(target.retain) as usize,
            members,
        };
        pools.insert(service, pool);
    }
    let powered_off = candidates
        .iter()
        .filter(|candidate| Some(&candidate.machine.pool) == input.spare);
    let surplus = pools
        .values()
        .flat_map(|pool| &pool.members[..pool.surplus]);
    // Machines that are up come first: this saves moving them to the spare pool later.
    let mut sources: Vec<&Candidate<'_>> = surplus
        .filter(|candidate| candidate.empty)
        .copied()
        .collect();
    sources.extend(powered_off);
    let mut actions = Vec::new();
    let mut taken: BTreeSet<&id::Vm> = BTreeSet::new();
    let receivers = allocation_order(shortages);
    let mut sources = sources.into_iter();
    let mut unmet = 0;
    for service in receivers {
        match sources.next() {
            Some(source) => {
                taken.insert(&source.machine.vm);
                actions.push(Action::Move {
                    vm: source.machine.vm.clone(),
                    to: service.clone(),
                });
            }
            None => unmet += 1,
        }
    }
    // Late work gets what is left; no machine is drained for it.
    let late_receivers = allocation_order(late_shortages).into_iter();
    let late_sources = sources.filter(|source| !kept_for_late.contains(&source.machine.vm));
    for (service, source) in late_receivers.zip(late_sources) {
        taken.insert(&source.machine.vm);
        actions.push(Action::Move {
            vm: source.machine.vm.clone(),
            to: service.clone(),
        });
    }
    for pool in pools.values() {
        actions.extend(pool.actions(&taken, &mut unmet, input.spare));
    }
    actions
}

fn count(candidates: &[&Candidate<'_>]) -> u32 {
    u32::try_from(candidates.len()).unwrap_or(u32::MAX)
}

/// A pool's machines, in the order in which they leave it.
struct Pool<'a> {
    members: Vec<&'a Candidate<'a>>,
    /// Number of machines that the pool doesn't need now.
    surplus: usize,
    /// Number of machines that the pool hasn't needed for a while.
    unused: usize,
}

impl Pool<'_> {
    /// Returns the actions for the machines that no other pool has taken.
    ///
    /// `unmet` counts the machines that other pools still lack; it is reduced for each machine drained for them.
    fn actions(
        &self,
        taken: &BTreeSet<&id::Vm>,
        unmet: &mut usize,
        spare: Option<&id::Service>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, candidate) in self.members.iter().enumerate() {
            let vm = &candidate.machine.vm;
            if taken.contains(vm) {
                continue;
            }
            let is_unused = index < self.unused && spare.is_some();
            let drains_for_others = index < self.surplus && !candidate.empty && *unmet > 0;
            if drains_for_others {
                *unmet -= 1;
            }
            match (is_unused, candidate.empty, spare) {
                (true, true, Some(spare)) => actions.push(Action::Move {
                    vm: vm.clone(),
                    to: spare.clone(),
                }),
                _ if (is_unused || drains_for_others) && !candidate.draining => {
                    actions.push(Action::Drain(vm.clone()));
                }
                _ if !is_unused && !drains_for_others && candidate.draining => {
                    actions.push(Action::Undrain(vm.clone()));
                }
                _ => {}
            }
        }
        actions
    }
}

/// The number of machines that a pool lacks.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// Machines lacking up to the pool's minimum.
    min: u32,
    /// Machines lacking beyond the minimum.
    beyond_min: u32,
}

/// Returns the pools in the order in which they get machines, one entry per machine.
///
/// Pools below their minimum come first, then those with the largest shortage.
fn allocation_order(mut shortages: BTreeMap<&id::Service, Shortage>) -> Vec<&id::Service> {
    let mut order = Vec::new();
    loop {
        let next = shortages
            .iter_mut()
            .max_by_key(|(_, shortage)| (shortage.min, shortage.beyond_min));
        let Some((service, shortage)) = next else {
            return order;
        };
        if shortage.min > 0 {
            shortage.min -= 1;
        } else if shortage.beyond_min > 0 {
            shortage.beyond_min -= 1;
        } else {
            return order;
        }
        order.push(*service);
    }
}
