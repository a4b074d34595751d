//! Which pool each machine should be in: enough machines where work arrives, the rest off.

use std::collections::{BTreeMap, VecDeque};

use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Thousandths of a machine.
pub const MACHINE: u64 = 1_000;
/// Time over which the arrival of work is measured, in milliseconds; one move's length or so.
const WINDOW_MS: u64 = 1_000;
/// How far ahead demand is foreseen by its trend, in milliseconds: a move, and the time until it is noticed.
const AHEAD_MS: u64 = 2_500;
/// Room above foreseen demand, in thousandths, as tasks don't pack perfectly and arrive unevenly.
const HEADROOM_MILLI: u64 = 1_350;
/// A pool gives machines up only after it has had too many for this long, in milliseconds; a move there and back
/// costs as much as about two seconds in a pool.
const SURPLUS_MS: u64 = 2_000;
/// Machines that every pool in use keeps, for the first work of a rise.
const LEAST: u32 = 2;

/// The state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Up, or resting in the spare pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Away for its upkeep.
    Upkeep,
    /// Down.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The machine.
    pub vm: id::Vm,
    /// Its pool.
    pub pool: id::Service,
    /// Its state.
    pub state: State,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its rack.
    pub rack: Option<id::Rack>,
    /// Its kind.
    pub kind: String,
    /// Its size.
    pub size: Resources,
    /// The worker that it runs at the moment.
    pub worker: Option<id::Worker>,
}

/// What a service's queues ask of its pool, in thousandths of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Room that running tasks take.
    pub running: u64,
    /// Room that tasks want which could start now.
    pub waiting: u64,
    /// Machines that lasting tasks need to keep apart from each other.
    pub apart: u32,
    /// Room times milliseconds of all work that ever arrived.
    pub arrived: u64,
}

/// Foresees how many machines each pool needs.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    seen: BTreeMap<id::Service, VecDeque<(clock::Instant, u64)>>,
    enough_since: BTreeMap<id::Service, clock::Instant>,
}

impl Forecast {
    /// Machines that a pool needs now or soon, given what it has.
    pub fn wanted(
        &mut self,
        service: &id::Service,
        demand: &Demand,
        has: u32,
        now: clock::Instant,
    ) -> u32 {
        let rate = self.rate_ahead(service, demand.arrived, now);
        let present = demand.running + demand.waiting;
        let needed = present.max(rate) * HEADROOM_MILLI / 1_000;
        let machines = u32::try_from(needed.div_ceil(MACHINE)).unwrap_or(u32::MAX);
        let wanted = machines.max(demand.apart).max(LEAST);
        if wanted >= has {
            self.enough_since.remove(service);
            return wanted;
        }
        let since = *self.enough_since.entry(service.clone()).or_insert(now);
        if now.since_ms(since) >= SURPLUS_MS {
            wanted
        } else {
            has
        }
    }

    /// Room that arriving work will keep busy a little ahead, by the trend of the last two windows.
    fn rate_ahead(&mut self, service: &id::Service, arrived: u64, now: clock::Instant) -> u64 {
        let seen = self.seen.entry(service.clone()).or_default();
        seen.push_back((now, arrived));
        while seen
            .get(1)
            .is_some_and(|(at, _)| now.since_ms(*at) >= 2 * WINDOW_MS)
        {
            seen.pop_front();
        }
        let before = |ms: u64| {
            seen.iter()
                .rev()
                .find(|(at, _)| now.since_ms(*at) >= ms)
                .or(seen.front())
                .map_or((now, arrived), |(at, work)| (*at, *work))
        };
        let (middle_at, middle) = before(WINDOW_MS);
        let (first_at, first) = before(2 * WINDOW_MS);
        let recent = (arrived - middle) / now.since_ms(middle_at).max(1);
        let earlier = (middle - first) / middle_at.since_ms(first_at).max(1);
        let rise = recent.saturating_sub(earlier);
        recent + rise * AHEAD_MS / WINDOW_MS
    }
}

/// A machine in the eyes of the one who assigns it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The machine.
    pub machine: &'a Machine,
    /// Whether nothing runs there, or it is off.
    pub empty: bool,
    /// Room that tasks take there; the less, the sooner it is empty.
    pub used: u64,
    /// Whether it is being emptied already.
    pub vacating: bool,
}

/// What is to be done with machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Give it no new tasks.
    Vacate(id::Vm),
    /// Let it take tasks again.
    Keep(id::Vm),
    /// Move it; nothing runs there.
    Move {
        /// The machine.
        vm: id::Vm,
        /// Its new pool.
        to: id::Service,
    },
}

/// Decides which machines change their pool.
///
/// `coming` counts machines that are on their way to a pool, `reserved` says which machines a wave is about to take.
pub fn assign(
    candidates: &[Candidate<'_>],
    wanted: &BTreeMap<id::Service, u32>,
    coming: &BTreeMap<id::Service, u32>,
    reserved: &dyn Fn(&id::Vm) -> bool,
    spare: Option<&id::Service>,
) -> Vec<Step> {
    let mut steps = Vec::new();
    let usable = |candidate: &&Candidate<'_>| !reserved(&candidate.machine.vm);
    let mut missing: BTreeMap<&id::Service, u32> = BTreeMap::new();
    let mut free: Vec<&Candidate<'_>> = Vec::new();
    for (service, &want) in wanted {
        let mut here: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.machine.pool == *service)
            .filter(usable)
            .collect();
        // The emptiest go first; of those the ones that are being emptied already.
        here.sort_by_key(|candidate| (!candidate.empty, !candidate.vacating, candidate.used));
        let have = u32::try_from(here.len()).unwrap_or(u32::MAX)
            + coming.get(service).copied().unwrap_or(0);
        let surplus = have.saturating_sub(want).min(here.len() as u32) as usize;
        if want > have {
            missing.insert(service, want - have);
        }
        for (index, candidate) in here.iter().enumerate() {
            let gives = index < surplus;
            if gives && candidate.empty && candidate.vacating {
                free.push(candidate);
            } else if gives && !candidate.vacating {
                steps.push(Step::Vacate(candidate.machine.vm.clone()));
            } else if !gives && candidate.vacating {
                steps.push(Step::Keep(candidate.machine.vm.clone()));
            }
        }
    }
    let resting = candidates
        .iter()
        .filter(|candidate| Some(&candidate.machine.pool) == spare)
        .filter(usable);
    let mut sources: Vec<&Candidate<'_>> = free.clone();
    sources.extend(resting);
    let mut taken = Vec::new();
    for (service, count) in missing {
        for _ in 0..count {
            let Some(source) = sources.pop() else { break };
            taken.push(source.machine.vm.clone());
            steps.push(Step::Move {
                vm: source.machine.vm.clone(),
                to: service.clone(),
            });
        }
    }
    if let Some(spare) = spare {
        for candidate in free {
            if !taken.contains(&candidate.machine.vm) {
                steps.push(Step::Move {
                    vm: candidate.machine.vm.clone(),
                    to: spare.clone(),
                });
            }
        }
    }
    steps
}
