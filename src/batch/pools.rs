//! Assignment of machines to pools: enough machines where work arrives, the rest powered off.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock;
use crate::id;
use crate::platform::Resources;

/// One machine in the unit of demand, thousandths of a machine.
pub const MACHINE_MILLI: u64 = 1_000;
/// Time over which the arrival rate is measured, in milliseconds: about the duration of one move, including its
/// command and the next list of machines.
const WINDOW_MS: u64 = 1_500;
/// Time before a new leader from which it needs arrivals, in milliseconds: the two windows that are compared.
pub const HISTORY_MS: u64 = 2 * WINDOW_MS;
/// How far ahead demand is forecast from its trend, in milliseconds: the duration of a move and of noticing it.
const AHEAD_MS: u64 = 2_000;
/// Arrivals count as a rise if they exceed the earlier window by more than this many standard deviations of random
/// arrivals.
const RISE_DEVIATIONS: f64 = 1.0;
/// Limit of a forecast rise, as a multiple of the capacity in use and of the arrival rate.
const RISE_MAX: u64 = 4;
/// Capacity provided per unit of demand, in thousandths; above 1,000 because tasks don't pack perfectly and arrive
/// unevenly.
const HEADROOM_MILLI: u64 = 1_250;
/// A pool keeps the machines that it needed at any time within this span, in milliseconds; a move there and back
/// costs about as much as keeping the machine for this long.
const RETAIN_MS: u64 = 2_000;
/// A new leader has no history and releases no machine for this long, in milliseconds.
const NEW_LEADER_MS: u64 = 10_000;
/// Before the first work arrives the demand is unknown, and no machine is released for this long, in milliseconds;
/// deployments see their first work sooner.
const NO_WORK_MS: u64 = 60_000;
/// No machine is released for this long after the first work either, in milliseconds: two windows of arrivals.
const FIRST_WORK_MS: u64 = 2 * WINDOW_MS;
/// Long-running tasks that wait for this long don't fit on the machines that their pool keeps, in milliseconds.
const BLOCKED_MS: u64 = 1_000;
/// Minimum number of machines of every pool in use, which take the first work of a rise.
const MACHINES_MIN: u32 = 2;

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

/// The total arrivals up to a point in time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: clock::Instant,
    arrived: u64,
    jobs: u64,
}

/// Work that arrived before a new leader began, from the row of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the job was submitted, in milliseconds.
    pub age_ms: u64,
    /// Work of the job, as capacity times milliseconds.
    pub arrived: u64,
}

/// Forecasts how many machines each pool needs.
#[derive(Clone, Debug)]
pub struct Forecast {
    began_at: clock::Instant,
    /// When the first work arrived.
    first_work_at: Option<clock::Instant>,
    samples: BTreeMap<id::Service, VecDeque<Sample>>,
    needs: BTreeMap<id::Service, VecDeque<(clock::Instant, u32)>>,
    /// Since when long-running tasks of a service wait.
    blocked_since: BTreeMap<id::Service, clock::Instant>,
    /// Total work and number of jobs that arrived before this leader, by service; absent until they were stated.
    earlier: Option<BTreeMap<id::Service, (u64, u64)>>,
}

impl Forecast {
    /// Creates a forecast without history.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            began_at: now,
            first_work_at: None,
            samples: BTreeMap::new(),
            needs: BTreeMap::new(),
            blocked_since: BTreeMap::new(),
            earlier: None,
        }
    }

    /// Returns whether the arrivals before this leader were stated.
    pub fn knows_earlier(&self) -> bool {
        self.earlier.is_some()
    }

    /// Starts with what arrived in the last [`HISTORY_MS`] before this leader.
    ///
    /// Without it, a leader that takes over during a rise forecasts none until it has seen two windows of arrivals.
    pub fn set_earlier(
        &mut self,
        arrivals: BTreeMap<id::Service, Vec<Arrival>>,
        now: clock::Instant,
    ) {
        let mut earlier = BTreeMap::new();
        for (service, mut arrivals) in arrivals {
            arrivals.sort_by_key(|arrival| std::cmp::Reverse(arrival.age_ms));
            let mut total = Sample {
                at: clock::Instant::from_ms(now.as_ms().saturating_sub(HISTORY_MS)),
                arrived: 0,
                jobs: 0,
            };
            let samples = self.samples.entry(service.clone()).or_default();
            samples.push_back(total);
            for arrival in arrivals {
                total.at = clock::Instant::from_ms(now.as_ms().saturating_sub(arrival.age_ms));
                total.arrived += arrival.arrived;
                total.jobs += 1;
                samples.push_back(total);
            }
            earlier.insert(service, (total.arrived, total.jobs));
        }
        self.earlier = Some(earlier);
    }

    /// Returns the target of a pool that has `has` machines, and records the demand.
    pub fn target(
        &mut self,
        service: &id::Service,
        demand: &Demand,
        has: u32,
        now: clock::Instant,
    ) -> Target {
        let lost_machines = u32::try_from(demand.lost / MACHINE_MILLI).unwrap_or(u32::MAX);
        let min = demand.separate_machines.max(MACHINES_MIN);
        let min = min.saturating_add(lost_machines);
        let rate = self.rate_ahead(service, demand, now);
        let present = demand.running + demand.waiting;
        let rate = rate.min(present * RISE_MAX + u64::from(MACHINES_MIN) * MACHINE_MILLI);
        let needed = present.max(rate) * HEADROOM_MILLI / 1_000 + demand.lost;
        let machines = u32::try_from(needed.div_ceil(MACHINE_MILLI)).unwrap_or(u32::MAX);
        let is_blocked = self.is_blocked(service, demand, now);
        // The machines that the pool would keep have no room for the tasks that wait.
        let blocked_need = if is_blocked { has.saturating_add(1) } else { 0 };
        let need = machines.max(min).max(blocked_need);
        let needs = self.needs.entry(service.clone()).or_default();
        // Keeps only needs that no later one exceeds, so the front is the maximum of the span.
        while needs.back().is_some_and(|(_, earlier)| *earlier <= need) {
            needs.pop_back();
        }
        needs.push_back((now, need));
        while needs
            .front()
            .is_some_and(|(at, _)| now.since_ms(*at) > RETAIN_MS)
        {
            needs.pop_front();
        }
        let recent_max = needs.front().map_or(need, |(_, need)| *need);
        if demand.jobs > 0 {
            self.first_work_at.get_or_insert(now);
        }
        let uncertain = match self.first_work_at {
            None => now.since_ms(self.began_at) < NO_WORK_MS,
            Some(at) => now.since_ms(at) < FIRST_WORK_MS,
        };
        let late = u32::try_from(demand.late.div_ceil(MACHINE_MILLI)).unwrap_or(u32::MAX);
        let settling = uncertain
            || demand.is_partial
            || demand.blocked > 0
            || now.since_ms(self.began_at) < NEW_LEADER_MS;
        let retain = if settling {
            recent_max.max(has)
        } else {
            recent_max.max(need.saturating_add(late).min(has))
        };
        Target {
            need,
            min,
            retain,
            late,
        }
    }

    /// Returns whether long-running tasks have been waiting for [`BLOCKED_MS`].
    fn is_blocked(&mut self, service: &id::Service, demand: &Demand, now: clock::Instant) -> bool {
        if demand.blocked == 0 {
            self.blocked_since.remove(service);
            return false;
        }
        let since = self.blocked_since.entry(service.clone()).or_insert(now);
        now.since_ms(*since) >= BLOCKED_MS
    }

    /// Returns the capacity that arriving work will use [`AHEAD_MS`] from now, by the trend of the last two windows.
    fn rate_ahead(&mut self, service: &id::Service, demand: &Demand, now: clock::Instant) -> u64 {
        let earlier = self.earlier.as_ref();
        let (arrived, jobs) = earlier
            .and_then(|earlier| earlier.get(service))
            .copied()
            .unwrap_or_default();
        let present = Sample {
            at: now,
            arrived: arrived + demand.arrived,
            jobs: jobs + demand.jobs,
        };
        let samples = self.samples.entry(service.clone()).or_default();
        samples.push_back(present);
        while samples
            .get(1)
            .is_some_and(|next| now.since_ms(next.at) >= 2 * WINDOW_MS)
        {
            samples.pop_front();
        }
        let before = |ms: u64| {
            samples
                .iter()
                .rev()
                .find(|sample| now.since_ms(sample.at) >= ms)
                .or(samples.front())
                .copied()
                .unwrap_or(present)
        };
        let (middle, first) = (before(WINDOW_MS), before(2 * WINDOW_MS));
        // Averages over both windows because jobs differ widely in size.
        let recent = (present.arrived - first.arrived) / now.since_ms(first.at).max(2 * WINDOW_MS);
        let (new, old) = (present.jobs - middle.jobs, middle.jobs - first.jobs);
        let noise = RISE_DEVIATIONS * ((new + old) as f64).sqrt();
        let rise = (new.saturating_sub(old) as f64 - noise).max(0.0);
        // Extrapolates the rise from the middle of the two windows to the forecast time.
        let growth = rise / ((new + old).max(1) as f64) * 2.0;
        let growth = growth * ((AHEAD_MS + WINDOW_MS) as f64 / WINDOW_MS as f64);
        let ahead = recent as f64 * (1.0 + growth);
        (ahead as u64).min(recent * RISE_MAX)
    }
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
    /// Number of machines that are moving to each pool.
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
            unused: have.saturating_sub(target.retain).min(count(&members)) as usize,
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
