//! Decides which VMs change pools.
//!
//! A move costs a drain of a running VM, so it needs a persistent reason: a VM that stays down, a
//! document that requires more runners, demand sustained for half an hour, or a wave that cannot
//! begin otherwise. Surplus VMs go first to pools that need them. They go to the spare pool only if
//! the surplus persists and the spare pool has fewer VMs than its reserve and one step of its wave.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::maintenance::{headroom, wave};
use crate::pool::{domain, loan, member, spec};
use crate::{clock, id};

/// A failed VM is replaced after this long, in milliseconds.
pub const REPLACE_AFTER_MS: u64 = 15 * clock::MINUTE_MS;
/// A failed VM is replaced after this long if its pool could not survive the loss of another
/// domain, in milliseconds.
pub const REPLACE_AFTER_SHORT_MS: u64 = clock::MINUTE_MS;
/// A surplus must last this long before a VM returns to the spare pool, in milliseconds.
pub const SURPLUS_MS: u64 = 30 * clock::MINUTE_MS;

/// Why a VM changes pools; each cause has a counter.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// To replace a VM that has failed.
    Repair,
    /// The document requires more runners.
    Document,
    /// A wave cannot begin without it.
    Wave,
    /// Sustained demand requires it.
    Demand,
    /// The pool has had a surplus for [`SURPLUS_MS`].
    GiveBack,
}

/// View of a pool for planning moves.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// Name of the pool.
    pub pool: &'a id::Pool,
    /// Requirements from the pool's documents.
    pub spec: &'a spec::Spec,
    /// Headroom that the pool must keep.
    pub headroom: headroom::Headroom<'a>,
    /// VMs that the pool owns.
    pub members: &'a [member::Member<'a>],
    /// VMs that are moving to the pool.
    pub incoming: u32,
    /// VMs that a wave needs beyond the runners of the documents.
    pub loan: wave::Loan,
    /// Runners beyond the documents' that sustained demand requires.
    pub demand_extra: u32,
    /// How long the pool has had more VMs than it needs, in milliseconds.
    pub surplus_ms: u64,
    /// True while a transaction that writes the pool's row is not settled.
    pub write_pending: bool,
}

/// A VM that changes pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// VM to move.
    pub key: member::Key,
    /// Pool that owns the VM now.
    pub from: id::Pool,
    /// Pool that the VM joins.
    pub to: id::Pool,
    /// Why the VM is moved.
    pub cause: Cause,
}

impl PoolView<'_> {
    /// Returns the VMs that serve the pool now or soon will, including those moving to it.
    pub fn expected(&self, as_of_ms: u64) -> u32 {
        let replace_after_ms = self.replace_after_ms();
        let members = self.members.iter();
        let serving = members.filter(|member| member.is_expected(as_of_ms, replace_after_ms));
        serving.count() as u32 + self.incoming
    }

    /// Returns the VMs that the pool needs, including loans and sustained demand.
    pub fn target(&self) -> u32 {
        self.spec.runners + self.loan.needed.max(self.demand_extra)
    }

    /// Returns how long a failed VM is expected back before it is replaced, in milliseconds.
    fn replace_after_ms(&self) -> u64 {
        let remaining = domain::Counts::of(self.members).remaining_after_loss(self.headroom.cover);
        let is_service = self.spec.role == spec::Role::Service;
        match is_service && remaining + self.incoming < self.spec.min_runners {
            true => REPLACE_AFTER_SHORT_MS,
            false => REPLACE_AFTER_MS,
        }
    }

    /// Returns the VMs that the pool is short of, by cause.
    fn shortages_by_cause(&self, as_of_ms: u64) -> impl Iterator<Item = (Cause, u32)> + use<> {
        let replace_after_ms = self.replace_after_ms();
        let expected = self.expected(as_of_ms);
        let is_failed = |member: &&member::Member<'_>| {
            member.moving_to().is_none() && !member.is_expected(as_of_ms, replace_after_ms)
        };
        let failed = self.members.iter().filter(is_failed).count() as u32;
        let shortfall = self.spec.runners.saturating_sub(expected);
        let repair = shortfall.min(failed);
        let for_wave = self.loan.needed > self.demand_extra;
        let extra = self.target().saturating_sub(expected) - shortfall;
        let cause = if for_wave { Cause::Wave } else { Cause::Demand };
        let by_cause = [
            (Cause::Repair, repair),
            (Cause::Document, shortfall - repair),
            (cause, extra),
        ];
        by_cause.into_iter().filter(|&(_, missing)| missing > 0)
    }
}

/// State of one planning pass.
struct Pass<'s, 'a> {
    pools: &'s [PoolView<'a>],
    state: State<'a>,
    as_of_ms: u64,
    reserve: u32,
}

/// State that the moves of a pass change.
#[derive(Clone)]
struct State<'a> {
    counts: Vec<domain::Counts<'a>>,
    surplus: Vec<u32>,
    moves: Vec<Move>,
}

/// Plans the moves that begin now; `reserve` spare VMs are kept for the loss of the largest failure
/// domain.
///
/// Returns the moves and, per pool, the number of VMs that no pool could provide.
pub fn plan(
    mut pools: Vec<PoolView<'_>>,
    as_of_ms: u64,
    reserve: u32,
) -> (Vec<Move>, BTreeMap<id::Pool, u32>) {
    let mut unmet = loan::grant(&mut pools, as_of_ms, reserve);
    let pools = pools.as_slice();
    let counts = pools
        .iter()
        .map(|pool| domain::Counts::of(pool.members))
        .collect();
    let surplus = pools.iter().map(|pool| surplus(pool, as_of_ms)).collect();
    let mut pass = Pass {
        pools,
        state: State {
            counts,
            surplus,
            moves: Vec::new(),
        },
        as_of_ms,
        reserve,
    };
    for (index, cause, missing) in shortages(pools, as_of_ms) {
        let found = pass.fill(index, cause, missing);
        if found < missing {
            *unmet.entry(pools[index].pool.clone()).or_default() += missing - found;
        }
    }
    pass.return_surplus();
    (pass.state.moves, unmet)
}

/// Returns the VMs that a pool can give up.
fn surplus(pool: &PoolView<'_>, as_of_ms: u64) -> u32 {
    match pool.spec.role {
        spec::Role::Spare => 0,
        spec::Role::Service | spec::Role::Orphan => {
            pool.expected(as_of_ms).saturating_sub(pool.target())
        }
    }
}

/// Returns the pools that are short of VMs, the most urgent cause first, with the number of missing
/// VMs.
fn shortages(pools: &[PoolView<'_>], as_of_ms: u64) -> Vec<(usize, Cause, u32)> {
    let mut shortages = Vec::new();
    for (index, pool) in pools.iter().enumerate() {
        if pool.spec.role != spec::Role::Service {
            continue;
        }
        let by_cause = pool.shortages_by_cause(as_of_ms);
        shortages.extend(by_cause.map(|(cause, missing)| (index, cause, missing)));
    }
    shortages.sort_by_key(|&(index, cause, missing)| (cause, missing, index));
    shortages
}

impl<'a> Pass<'_, 'a> {
    /// Finds VMs for a pool; a loan for a wave is granted in full or not at all.
    fn fill(&mut self, to: usize, cause: Cause, missing: u32) -> u32 {
        let before = self.state.clone();
        for found in 0..missing {
            let Some((from, candidate)) = self.candidate(to, cause) else {
                if cause == Cause::Wave {
                    self.state = before;
                    return 0;
                }
                return found;
            };
            self.record_move(from, to, &candidate, cause);
        }
        missing
    }

    fn record_move(&mut self, from: usize, to: usize, member: &member::Member<'a>, cause: Cause) {
        self.state.counts[from].remove(member);
        self.state.counts[to].add(member);
        self.state.surplus[from] = self.state.surplus[from].saturating_sub(1);
        self.state.moves.push(Move {
            key: member.key,
            from: self.pools[from].pool.clone(),
            to: self.pools[to].pool.clone(),
            cause,
        });
    }

    fn is_planned(&self, key: member::Key) -> bool {
        let mut moves = self.state.moves.iter();
        moves.any(|planned| planned.key == key)
    }

    /// Returns the VM that goes to a pool: from a pool with a surplus if there is one, otherwise
    /// from the spare pool.
    fn candidate(&self, to: usize, cause: Cause) -> Option<(usize, member::Member<'a>)> {
        let surplus = (0..self.pools.len())
            .filter(|&from| from != to && self.state.surplus[from] > 0)
            .find_map(|from| self.pick(from, Some(to)).map(|member| (from, member)));
        if surplus.is_some() {
            return surplus;
        }
        let spare = self
            .pools
            .iter()
            .position(|pool| pool.spec.role == spec::Role::Spare)?;
        let spare_min = match cause {
            Cause::Repair => 0,
            Cause::Document | Cause::Wave | Cause::Demand | Cause::GiveBack => self.reserve,
        };
        if self.state.counts[spare].in_service <= spare_min {
            return None;
        }
        self.pick(spare, Some(to)).map(|member| (spare, member))
    }

    /// Returns the VM of a pool that best fits another: from the rack and data centre where the
    /// other has fewest VMs.
    fn pick(&self, from: usize, to: Option<usize>) -> Option<member::Member<'a>> {
        let pool = &self.pools[from];
        if pool.write_pending {
            return None;
        }
        let counts = &self.state.counts[from];
        let keeps_headroom = pool.spec.role == spec::Role::Service;
        let available = |member: &&member::Member<'a>| {
            member.can_leave_service()
                && !self.is_planned(member.key)
                && (!keeps_headroom || pool.headroom.check(counts, member).is_ok())
        };
        let preference = |member: &&member::Member<'a>| {
            let target = to.map(|to| &self.state.counts[to]);
            let racks = target.map_or(0, |target| target.in_rack(member.rack));
            let centres = target.map_or(0, |target| target.in_data_centre(member.data_centre));
            let remaining = counts.remaining_after_loss_without(member, pool.headroom.cover);
            (racks, centres, std::cmp::Reverse(remaining), member.key)
        };
        pool.members
            .iter()
            .filter(available)
            .min_by_key(preference)
            .copied()
    }

    /// Returns the spare VMs that serve now or soon will, after the moves of this pass.
    fn expected_spares(&self, spare: usize) -> u32 {
        let name = self.pools[spare].pool;
        let moves = || self.state.moves.iter();
        let added = moves().filter(|planned| planned.to == *name).count() as u32;
        let taken = moves().filter(|planned| planned.from == *name).count() as u32;
        let expected = self.pools[spare].expected(self.as_of_ms);
        (expected + added).saturating_sub(taken)
    }

    /// Refills the spare pool from persistent surpluses, the oldest first.
    ///
    /// A surplus that the spare pool does not need stays in its pool, available for the next
    /// failure.
    fn return_surplus(&mut self) {
        let role = |pool: &PoolView<'_>| pool.spec.role;
        let spare = self
            .pools
            .iter()
            .position(|pool| role(pool) == spec::Role::Spare);
        let Some(spare) = spare else { return };
        let wanted = self.reserve + self.pools[spare].spec.max_at_once;
        let mut order: Vec<usize> = (0..self.pools.len())
            .filter(|&from| from != spare && self.pools[from].surplus_ms >= SURPLUS_MS)
            .collect();
        order.sort_by_key(|&from| std::cmp::Reverse(self.pools[from].surplus_ms));
        for from in order {
            let orphan = role(&self.pools[from]) == spec::Role::Orphan;
            while self.state.surplus[from] > 0 {
                if self.expected_spares(spare) >= wanted && !orphan {
                    break;
                }
                let Some(member) = self.pick(from, Some(spare)) else {
                    break;
                };
                self.record_move(from, spare, &member, Cause::GiveBack);
            }
        }
    }
}
