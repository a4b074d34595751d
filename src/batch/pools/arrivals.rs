//! Machines that are about to join a pool.
//!
//! A pool counts them, so that it doesn't ask for the same capacity twice. Each counts only as long as the lists of machines
//! allow that it joins, because the pool gives other machines away for it.

use std::collections::BTreeMap;

use super::{Machine, State, Unreadable};
use crate::clock;
use crate::id;

/// Time beyond the duration of a move within which a list shows that the move has ended, in milliseconds; several
/// intervals between lists.
const MOVE_MARGIN_MS: u64 = 2_000;
/// Time within which the worker of a machine that is up joins, in milliseconds: it registers after about a heartbeat, and
/// answers its first poll.
pub const JOIN_TIMEOUT_MS: u64 = 5_000;

/// How far a machine is on its way to a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Its move was answered; no list was requested since.
    Commanded,
    /// A list shows it moving.
    Moving,
    /// A list shows it up in the pool, and its worker hasn't joined.
    Joining(Option<id::Worker>),
}

#[derive(Clone, Debug)]
struct Arrival {
    pool: id::Service,
    stage: Stage,
    /// When the move was answered, or a list first showed the stage.
    since: clock::Instant,
}

/// The machines that are about to join a pool.
#[derive(Clone, Debug)]
pub struct Arrivals {
    move_ms: u64,
    machines: BTreeMap<id::Vm, Arrival>,
}

impl Arrivals {
    /// Creates an empty set; `move_ms` is the stated duration of a move.
    pub fn new(move_ms: u64) -> Self {
        Self {
            move_ms,
            machines: BTreeMap::new(),
        }
    }

    /// Records that the platform answered the command to move a machine to `pool` as done.
    pub fn move_answered(&mut self, vm: id::Vm, pool: id::Service, now: clock::Instant) {
        let arrival = Arrival {
            pool,
            stage: Stage::Commanded,
            since: now,
        };
        self.machines.insert(vm, arrival);
    }

    /// Applies a list that was requested at `requested_at`; `has_joined` returns whether a worker is at work. Returns the
    /// machines whose move has ended elsewhere: they were lost, or are up in another pool.
    pub fn machines_listed<F>(
        &mut self,
        list: &[Machine],
        unreadable: &Unreadable,
        requested_at: clock::Instant,
        now: clock::Instant,
        has_joined: F,
    ) -> Vec<id::Vm>
    where
        F: Fn(&id::Worker) -> bool,
    {
        let mut before = std::mem::take(&mut self.machines);
        let mut lost = Vec::new();
        for machine in list {
            let arrival = before.remove(&machine.vm);
            let is_older = |arrival: &Arrival| {
                arrival.stage == Stage::Commanded && requested_at <= arrival.since
            };
            let next = match arrival {
                Some(arrival) if is_older(&arrival) => Some(arrival),
                arrival => {
                    let next = follow(arrival.as_ref(), machine, now, &has_joined);
                    let to = arrival.filter(|arrival| arrival.is_moving());
                    if to.is_some_and(|to| has_ended_elsewhere(&to.pool, machine)) {
                        lost.push(machine.vm.clone());
                    }
                    next
                }
            };
            if let Some(next) = next {
                self.machines.insert(machine.vm.clone(), next);
            }
        }
        // The machines that the list lacks.
        for (vm, arrival) in before {
            let is_older = arrival.stage == Stage::Commanded && requested_at <= arrival.since;
            if is_older || unreadable.may_include(&vm) {
                self.machines.insert(vm, arrival);
            } else if arrival.is_moving() {
                lost.push(vm);
            }
        }
        lost
    }

    /// Returns whether a machine is being moved, as far as the lists show.
    pub fn is_moving(&self, vm: &id::Vm) -> bool {
        self.machines.get(vm).is_some_and(Arrival::is_moving)
    }

    /// Returns the number of machines that each pool is about to get.
    pub fn count(&self, now: clock::Instant) -> BTreeMap<id::Service, u32> {
        let mut count: BTreeMap<id::Service, u32> = BTreeMap::new();
        for arrival in self.machines.values() {
            if now.since_ms(arrival.since) < arrival.timeout_ms(self.move_ms) {
                *count.entry(arrival.pool.clone()).or_default() += 1;
            }
        }
        count
    }
}

impl Arrival {
    fn is_moving(&self) -> bool {
        match self.stage {
            Stage::Commanded | Stage::Moving => true,
            Stage::Joining(_) => false,
        }
    }

    /// Returns how long the stage takes at most, in milliseconds.
    fn timeout_ms(&self, move_ms: u64) -> u64 {
        match self.stage {
            Stage::Commanded | Stage::Moving => move_ms + MOVE_MARGIN_MS,
            Stage::Joining(_) => JOIN_TIMEOUT_MS,
        }
    }
}

/// Returns whether a list shows that the move of a machine to `pool` has ended without its arrival.
fn has_ended_elsewhere(pool: &id::Service, machine: &Machine) -> bool {
    match machine.state {
        State::Up => machine.pool != *pool,
        State::Down | State::Upkeep => true,
        State::Moving | State::Unreadable => false,
    }
}

/// Returns how a machine arrives by what a list shows of it; `None` if it doesn't.
fn follow<F>(
    before: Option<&Arrival>,
    machine: &Machine,
    now: clock::Instant,
    has_joined: F,
) -> Option<Arrival>
where
    F: Fn(&id::Worker) -> bool,
{
    let (stage, pool) = match machine.state {
        State::Unreadable => return before.cloned(),
        State::Down | State::Upkeep => return None,
        State::Moving => {
            let moving = before.filter(|arrival| arrival.is_moving());
            let pool = moving.map_or(&machine.pool, |arrival| &arrival.pool);
            (Stage::Moving, pool)
        }
        State::Up if machine.worker.as_ref().is_some_and(has_joined) => return None,
        State::Up => (Stage::Joining(machine.worker.clone()), &machine.pool),
    };
    let since = before
        .filter(|arrival| match (&arrival.stage, &stage) {
            (Stage::Commanded | Stage::Moving, Stage::Moving) => true,
            (before, stage) => before == stage && arrival.pool == *pool,
        })
        .map_or(now, |arrival| arrival.since);
    Some(Arrival {
        pool: pool.clone(),
        stage,
        since,
    })
}
