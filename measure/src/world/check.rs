//! Invariants, worked out apart from the decisions that they check.
//!
//! A breach is what the duty caused or could have avoided:
//!
//! 1. A commit that takes VMs out of service must leave, by the rows and by the list that the
//!    holder had, `min_runners` in service, and that many also after the loss of any one rack; or
//!    all runners that the document asks for, so that nobody is absent.
//! 2. While a pool lacks runners and VMs are out by decision, fewer than `min_runners` truly in service is a breach, unless VMs
//!    of more than one rack have failed since the list on which the last of them was taken out. A pool
//!    that can bear a data centre's loss with one VM out must bear it: there, data centres count.
//! 3. No VM changes pools or reboots while an entry VM or a job may still use it; a VM changes pools by a
//!    move from its drained state, its generation raised by one, or with its whole pool when that is renamed.
//! 4. No VM is rebooted twice in one period, unless it was the second time out of another pool's wave.

use std::collections::{BTreeMap, BTreeSet};

use wasabiloft::pool::row;
use wasabiloft::{id, platform};

use super::{START_MS, World, table};

/// What the checks remember.
#[derive(Default)]
pub struct Check {
    /// Per pool, the newest decision that took a VM out.
    decided: BTreeMap<id::Pool, Decision>,
    /// Rows as of the last commit.
    rows: BTreeMap<id::Vm, row::Vm>,
    reboots: BTreeMap<id::Vm, u64>,
}

struct Decision {
    /// Moment of the list on which it was decided, in milliseconds of the run.
    seen_ms: u64,
    /// `min_runners` at that moment.
    min_runners: u32,
    /// True if all runners that the document asks for were in service.
    full: bool,
    /// True if the pool could bear a data centre's loss with one VM out.
    bears_data_centre: bool,
}

impl World {
    /// Checks a commit.
    pub(super) fn check_commit(
        &mut self,
        sent: &table::Sent,
        before: &BTreeMap<id::Vm, row::Vm>,
        after: &BTreeMap<id::Vm, row::Vm>,
    ) {
        let mut taken = BTreeSet::new();
        for (vm, row) in after {
            self.check.rows.insert(vm.clone(), row.clone());
            let Some(old) = before.get(vm) else { continue };
            if old.pool != row.pool {
                self.totals.moves += 1;
                self.check_move(old, row);
            }
            let was = old.stage == row::Stage::InService;
            let is = row.stage == row::Stage::InService;
            if was && !is {
                taken.insert(old.pool.clone());
            }
            if is && !was {
                self.reopen(vm);
            }
        }
        for pool in taken {
            self.check_leaving(&pool, &sent.view);
        }
    }

    fn check_move(&mut self, old: &row::Vm, row: &row::Vm) {
        let vm = &row.vm;
        let planned = match &old.stage {
            row::Stage::Leaving {
                purpose: row::Purpose::Move { to },
                ..
            } => *to == row.pool,
            _ => false,
        };
        if !planned || row.generation != old.generation + 1 {
            self.violate(format!("{vm} changed pools without a drain"));
        }
        if self.in_use(vm) {
            self.violate(format!("{vm} changed pools while in use"));
        }
    }

    /// Checks that a reboot cuts nothing and is the only one of its period.
    pub(super) fn check_reboot(&mut self, vm: &id::Vm) {
        if self.in_use(vm) {
            let jobs = self.vms[vm].jobs;
            self.violate(format!("{vm} rebooted while in use, jobs {jobs}"));
        }
        let count = self.check.reboots.entry(vm.clone()).or_default();
        *count += 1;
        if *count > 1 {
            self.violate(format!("{vm} rebooted twice in one period"));
        }
    }

    fn check_leaving(&mut self, pool: &id::Pool, view: &platform::VmList) {
        let Some((min_runners, runners)) = self.asked(pool) else {
            return;
        };
        let listed = view.vms.iter();
        let live = listed.filter(|vm| vm.state == platform::VmState::Live);
        let serving: Vec<&id::Vm> = live
            .map(|vm| &vm.vm)
            .filter(|vm| self.serves(vm, pool))
            .collect();
        let racks = counts(serving.iter().map(|vm| &self.vms[*vm].listed.rack));
        let worst = racks.into_values().max().unwrap_or(0);
        let in_service = serving.len() as u32;
        let full = in_service >= runners && in_service >= min_runners;
        if in_service < min_runners + worst && !full {
            self.violate(format!(
                "{pool} left with {in_service} of {min_runners}, largest rack {worst}"
            ));
        }
        let decision = Decision {
            seen_ms: view.as_of_ms - START_MS,
            min_runners,
            full,
            bears_data_centre: self.bears_data_centre(pool, min_runners, runners),
        };
        self.check.decided.insert(pool.clone(), decision);
    }

    fn bears_data_centre(&self, pool: &id::Pool, min_runners: u32, runners: u32) -> bool {
        let owned = self.check.rows.values().filter(|row| row.pool == *pool);
        let homes = owned.map(|row| &self.vms[&row.vm].listed.data_centre);
        let worst = counts(homes).into_values().max().unwrap_or(0);
        min_runners + worst < runners
    }

    /// Checks every pool as it truly is.
    pub(super) fn check_pools(&mut self) {
        let mut found = Vec::new();
        for (pool, decision) in &self.check.decided {
            let Some((asked, _)) = self.asked(pool) else {
                continue;
            };
            if decision.full {
                continue;
            }
            let rows = self.check.rows.values();
            let owned = rows.filter(|row| row.pool == *pool);
            let (mut planned, mut in_service) = (0, 0);
            for row in owned {
                planned += u32::from(self.planned_out(row));
                let serves = row.stage == row::Stage::InService;
                in_service += u32::from(serves && self.vms[&row.vm].live());
            }
            let min_runners = asked.min(decision.min_runners);
            if planned > 0 && in_service < min_runners && self.bearable(pool) {
                found.push(format!(
                    "{pool} has {in_service} of {min_runners} with {planned} out by decision"
                ));
            }
        }
        for text in found {
            self.violate(text);
        }
    }

    fn planned_out(&self, row: &row::Vm) -> bool {
        let failed = self.vms[&row.vm].failed_ms.is_some();
        row.stage != row::Stage::InService && !failed
    }

    /// Tells whether failures since the last decision lie in one failure domain.
    fn bearable(&self, pool: &id::Pool) -> bool {
        let decision = &self.check.decided[pool];
        let failed: Vec<&platform::Vm> = self
            .vms
            .values()
            .filter(|vm| vm.failed_ms.is_some_and(|at_ms| at_ms >= decision.seen_ms))
            .filter(|vm| self.serves(&vm.listed.vm, pool))
            .map(|vm| &vm.listed)
            .collect();
        let racks: BTreeSet<&id::Rack> = failed.iter().map(|vm| &vm.rack).collect();
        let centres: BTreeSet<&id::DataCentre> = failed.iter().map(|vm| &vm.data_centre).collect();
        racks.len() <= 1 || (decision.bears_data_centre && centres.len() <= 1)
    }

    /// Tells whether a VM's row says that it serves a pool.
    fn serves(&self, vm: &id::Vm, pool: &id::Pool) -> bool {
        let row = self.check.rows.get(vm);
        row.is_some_and(|row| row.pool == *pool && row.stage == row::Stage::InService)
    }

    /// `min_runners` and `runners` of a pool's document.
    fn asked(&self, pool: &id::Pool) -> Option<(u32, u32)> {
        let mut documents = self.documents.iter();
        let document = documents.find(|document| document.capacity.pool == *pool)?;
        Some((document.availability.min_runners, document.capacity.runners))
    }

    /// VMs that are live and still to be maintained.
    pub(super) fn unfinished(&self) -> u64 {
        let period_start_ms = START_MS - START_MS % (28 * wasabiloft::clock::DAY_MS);
        let open = self.vms.values().filter(|vm| {
            let row = self.check.rows.get(&vm.listed.vm);
            let done = row.is_some_and(|row| {
                row.maintained_ms > period_start_ms && row.stage == row::Stage::InService
            });
            vm.failed_ms.is_none() && !done
        });
        open.count() as u64
    }
}

fn counts<T, I>(items: I) -> BTreeMap<T, u32>
where
    T: Ord,
    I: Iterator<Item = T>,
{
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    counts
}
