//! Ordinary weeks: failures, restarts, a lost rack, a lost data centre, edited documents and swinging demand.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use wasabiloft::{clock, fleet, id, platform};

use super::{Event, World, fleet as fleets};

/// VMs that fail on an ordinary day, of each 1,200.
const FAIL_A_DAY: f64 = 6.0;
/// VMs that are restarted on an ordinary day, of each 1,200.
const RESTART_A_DAY: f64 = 420.0;
/// VMs for which those numbers hold.
const TARGET_VMS: f64 = 1_200.0;
/// Documents whose capacity is edited in a run.
const EDITS: usize = 6;
/// Every so often demand is told, in milliseconds.
const DEMAND_MS: u64 = 10_000;
/// The mean demand of a pool, in thousandths of its runners.
const MEAN_MILLI: u64 = 600;

/// What happens in a run, known beforehand.
#[derive(Clone, Debug, Default)]
pub struct Life {
    /// Failures, by their starts.
    pub failures: Vec<Failure>,
    /// Edits, by their moments.
    pub edits: Vec<Edit>,
}

/// A VM is down for a while.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The VM.
    pub vm: id::Vm,
    /// Its start, in milliseconds of the run.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
}

/// An operator changes the runners of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Edit {
    /// Its moment, in milliseconds of the run.
    pub at_ms: u64,
    /// The pool's document.
    pub document: usize,
    /// The new number of runners.
    pub runners: u32,
}

/// Draws a run of `days`.
pub fn draw(rng: &mut SmallRng, built: &fleets::Built, days: u64) -> Life {
    let mut life = Life::default();
    for day in 0..days {
        for vm in &built.vms {
            let mut strike = |a_day: f64, lasts_ms: std::ops::Range<u64>| {
                if rng.random_bool(a_day / TARGET_VMS) {
                    let from_ms = day * clock::DAY_MS + rng.random_range(0..clock::DAY_MS);
                    let lasts_ms = rng.random_range(lasts_ms);
                    let vm = vm.vm.clone();
                    life.failures.push(Failure {
                        vm,
                        from_ms,
                        lasts_ms,
                    });
                }
            };
            strike(FAIL_A_DAY, clock::HOUR_MS..clock::DAY_MS);
            strike(RESTART_A_DAY, 2 * clock::MINUTE_MS..8 * clock::MINUTE_MS);
        }
    }
    lose(rng, built, days, &mut life, |vm| vm.rack.to_string());
    lose(rng, built, days, &mut life, |vm| vm.data_centre.to_string());
    life.failures.sort_by_key(|failure| failure.from_ms);
    life.edits = edits(rng, built, days);
    life
}

/// One failure domain is lost for some hours.
fn lose<F>(rng: &mut SmallRng, built: &fleets::Built, days: u64, life: &mut Life, domain: F)
where
    F: Fn(&platform::Vm) -> String,
{
    let drawn = built.vms.choose(rng).expect("a fleet has VMs");
    let from_ms = rng.random_range(0..days * clock::DAY_MS);
    let lasts_ms = rng.random_range(clock::HOUR_MS..6 * clock::HOUR_MS);
    for vm in built.vms.iter().filter(|vm| domain(vm) == domain(drawn)) {
        life.failures.push(Failure {
            vm: vm.vm.clone(),
            from_ms,
            lasts_ms,
        });
    }
}

/// Each edit raises a pool by one runner or takes an earlier raise back.
fn edits(rng: &mut SmallRng, built: &fleets::Built, days: u64) -> Vec<Edit> {
    let mut moments: Vec<u64> = (0..EDITS)
        .map(|_| rng.random_range(0..days * clock::DAY_MS))
        .collect();
    moments.sort_unstable();
    let mut raised = vec![false; built.documents.len()];
    let edits = moments.into_iter().map(|at_ms| {
        let document = rng.random_range(0..raised.len());
        raised[document] = !raised[document];
        let runners = built.documents[document].capacity.runners;
        Edit {
            at_ms,
            document,
            runners: runners + u32::from(raised[document]),
        }
    });
    edits.collect()
}

impl World {
    /// Schedules what happens in the run.
    pub(super) fn plan_life(&mut self) {
        let Some(life) = self.options.life.clone() else {
            return;
        };
        for failure in life.failures {
            self.at(failure.from_ms, Event::Fails(failure.vm, failure.lasts_ms));
        }
        for edit in life.edits {
            self.at(edit.at_ms, Event::Edited(edit.document, edit.runners));
        }
        self.at(DEMAND_MS, Event::Demand);
    }

    pub(super) fn edited(&mut self, document: usize, runners: u32) {
        self.documents[document].capacity.runners = runners;
        self.give_documents();
    }

    /// One pool after the other asks for five times its mean for some seconds, the others for a twentieth.
    pub(super) fn tell_demand(&mut self) {
        let turn = (self.now_ms / DEMAND_MS) as usize % self.documents.len();
        for index in 0..self.documents.len() {
            let capacity = &self.documents[index].capacity;
            let pool = capacity.pool.clone();
            let mean_milli = u64::from(capacity.runners) * MEAN_MILLI;
            let used_milli = match index == turn {
                true => mean_milli * 5,
                false => mean_milli / 20,
            };
            let pool = &pool;
            let newest = self.holders.len() - 1;
            self.give(newest, fleet::Input::Demand { pool, used_milli });
        }
        self.at(DEMAND_MS, Event::Demand);
    }

    /// Adds up the spare buffer and the shortage of the time since the last tick.
    pub(super) fn add_up(&mut self) {
        let tick_ms = self.options.tick_ms;
        let status = self.status();
        for pool in &status.pools {
            let in_service = u64::from(pool.in_service);
            let runners = u64::from(pool.runners);
            if pool.pool.as_str() == fleets::SPARE {
                self.totals.spare_vm_ms += in_service * tick_ms;
            } else {
                self.totals.surplus_vm_ms += in_service.saturating_sub(runners) * tick_ms;
                self.totals.missing_vm_ms += runners.saturating_sub(in_service) * tick_ms;
            }
        }
    }
}
