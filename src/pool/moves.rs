//! Which VMs change pools.
//!
//! A move costs a drain of a running VM, so it needs a lasting reason: a VM that stays down, a
//! document that asks for more, demand sustained for half an hour, or a wave that can't begin
//! otherwise. Surplus VMs go where they are needed first, and to the spare pool only when the surplus
//! lasts and the spare pool holds less than its reserve and one step of its wave.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::maintenance::{headroom, wave};
use crate::pool::{loan, member, spec, strength};
use crate::{clock, id};

/// A failed VM is replaced after this long.
pub const PATIENCE_MS: u64 = 15 * clock::MINUTE_MS;
/// A failed VM is replaced after this long where its pool could not bear another domain's loss.
pub const PATIENCE_SHORT_MS: u64 = clock::MINUTE_MS;
/// A surplus must last this long before a VM goes back to the spare pool.
pub const SURPLUS_MS: u64 = 30 * clock::MINUTE_MS;

/// Why a VM changes pools; each is a counter.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// In the place of VMs that failed.
    Repair,
    /// The document asks for more runners.
    Document,
    /// A wave could not begin without it.
    Wave,
    /// Demand has asked for it for long.
    Demand,
    /// The pool has had more VMs than it needs for long.
    GiveBack,
}

/// A pool as the decision sees it.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// The pool.
    pub pool: &'a id::Pool,
    /// What its documents ask.
    pub spec: &'a spec::Spec,
    /// What it must keep.
    pub headroom: headroom::Headroom<'a>,
    /// Its VMs.
    pub members: &'a [member::Member<'a>],
    /// VMs that are on their way to it.
    pub incoming: u32,
    /// VMs that a wave needs beyond the documents' runners.
    pub loan: wave::Loan,
    /// Runners that sustained demand asks for beyond the documents'.
    pub demand_extra: u32,
    /// How long the pool has had more VMs than it needs, in milliseconds.
    pub surplus_ms: u64,
    /// True if a transaction of the pool is not settled.
    pub busy: bool,
}

/// A VM that changes pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The VM.
    pub key: member::Key,
    /// Its pool now.
    pub from: id::Pool,
    /// The pool that it joins.
    pub to: id::Pool,
    /// Why.
    pub cause: Cause,
}

impl Situation<'_> {
    /// VMs that serve the pool now or will before long, those on their way included.
    pub fn expected(&self, as_of_ms: u64) -> u32 {
        let patience_ms = self.patience_ms();
        let members = self.members.iter();
        let serving = members.filter(|member| member.expected(as_of_ms, patience_ms));
        serving.count() as u32 + self.incoming
    }

    /// VMs that the pool needs, loans and sustained demand included.
    pub fn target(&self) -> u32 {
        self.spec.runners + self.loan.needed.max(self.demand_extra)
    }

    /// How long a failed VM is waited for, in milliseconds.
    fn patience_ms(&self) -> u64 {
        let left = strength::Strength::of(self.members).left(self.headroom.cover);
        let needs = self.spec.role == spec::Role::Service;
        match needs && left + self.incoming < self.spec.min_runners {
            true => PATIENCE_SHORT_MS,
            false => PATIENCE_MS,
        }
    }

    /// What the pool lacks, by cause.
    fn lacks(&self, as_of_ms: u64) -> impl Iterator<Item = (Cause, u32)> + use<> {
        let patience_ms = self.patience_ms();
        let expected = self.expected(as_of_ms);
        let gone = |member: &&member::Member<'_>| {
            member.moving_to().is_none() && !member.expected(as_of_ms, patience_ms)
        };
        let failed = self.members.iter().filter(gone).count() as u32;
        let short = self.spec.runners.saturating_sub(expected);
        let repair = short.min(failed);
        let wave = self.loan.needed > self.demand_extra;
        let beyond = self.target().saturating_sub(expected) - short;
        let cause = if wave { Cause::Wave } else { Cause::Demand };
        let lacks = [
            (Cause::Repair, repair),
            (Cause::Document, short - repair),
            (cause, beyond),
        ];
        lacks.into_iter().filter(|&(_, missing)| missing > 0)
    }
}

/// Working state of one planning pass.
struct Pass<'s, 'a> {
    pools: &'s [Situation<'a>],
    state: State<'a>,
    as_of_ms: u64,
    reserve: u32,
}

/// What the moves of a pass change.
#[derive(Clone)]
struct State<'a> {
    strengths: Vec<strength::Strength<'a>>,
    surplus: Vec<u32>,
    moves: Vec<Move>,
}

/// Plans the moves that begin now; `reserve` is how many spare VMs are kept for the largest failure domain.
///
/// Returns the moves and, per pool, the VMs that could not be found.
pub fn plan(
    mut pools: Vec<Situation<'_>>,
    as_of_ms: u64,
    reserve: u32,
) -> (Vec<Move>, BTreeMap<id::Pool, u32>) {
    let mut unmet = loan::grant(&mut pools, as_of_ms, reserve);
    let pools = pools.as_slice();
    let strengths = pools
        .iter()
        .map(|pool| strength::Strength::of(pool.members))
        .collect();
    let surplus = pools.iter().map(|pool| surplus(pool, as_of_ms)).collect();
    let mut pass = Pass {
        pools,
        state: State {
            strengths,
            surplus,
            moves: Vec::new(),
        },
        as_of_ms,
        reserve,
    };
    for (index, cause, missing) in wishes(pools, as_of_ms) {
        let found = pass.fill(index, cause, missing);
        if found < missing {
            *unmet.entry(pools[index].pool.clone()).or_default() += missing - found;
        }
    }
    pass.give_back();
    (pass.state.moves, unmet)
}

/// VMs that a pool could give away.
fn surplus(pool: &Situation<'_>, as_of_ms: u64) -> u32 {
    match pool.spec.role {
        spec::Role::Spare => 0,
        spec::Role::Service | spec::Role::Orphan => {
            pool.expected(as_of_ms).saturating_sub(pool.target())
        }
    }
}

/// Pools that lack VMs, the most pressing cause first, with how many they lack.
fn wishes(pools: &[Situation<'_>], as_of_ms: u64) -> Vec<(usize, Cause, u32)> {
    let mut wishes = Vec::new();
    for (index, pool) in pools.iter().enumerate() {
        if pool.spec.role != spec::Role::Service {
            continue;
        }
        let lacks = pool.lacks(as_of_ms);
        wishes.extend(lacks.map(|(cause, missing)| (index, cause, missing)));
    }
    wishes.sort_by_key(|&(index, cause, missing)| (cause, missing, index));
    wishes
}

impl<'a> Pass<'_, 'a> {
    /// Finds VMs for a pool; a loan for a wave is given whole or not at all.
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
            self.take(from, to, &candidate, cause);
        }
        missing
    }

    fn take(&mut self, from: usize, to: usize, member: &member::Member<'a>, cause: Cause) {
        self.state.strengths[from].remove(member);
        self.state.strengths[to].add(member);
        self.state.surplus[from] = self.state.surplus[from].saturating_sub(1);
        self.state.moves.push(Move {
            key: member.key,
            from: self.pools[from].pool.clone(),
            to: self.pools[to].pool.clone(),
            cause,
        });
    }

    fn taken(&self, key: member::Key) -> bool {
        let mut moves = self.state.moves.iter();
        moves.any(|planned| planned.key == key)
    }

    /// The VM that goes to a pool: from a surplus if there is one, else from the spare pool.
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
        let floor = match cause {
            Cause::Repair => 0,
            Cause::Document | Cause::Wave | Cause::Demand | Cause::GiveBack => self.reserve,
        };
        if self.state.strengths[spare].in_service <= floor {
            return None;
        }
        self.pick(spare, Some(to)).map(|member| (spare, member))
    }

    /// The VM of a pool that fits best into another: from the rack and data centre with fewest of its VMs.
    fn pick(&self, from: usize, to: Option<usize>) -> Option<member::Member<'a>> {
        let pool = &self.pools[from];
        if pool.busy {
            return None;
        }
        let strength = &self.state.strengths[from];
        let bound = pool.spec.role == spec::Role::Service;
        let free = |member: &&member::Member<'a>| {
            member.may_leave()
                && !self.taken(member.key)
                && (!bound || pool.headroom.check(strength, member).is_ok())
        };
        let fit = |member: &&member::Member<'a>| {
            let target = to.map(|to| &self.state.strengths[to]);
            let racks = target.map_or(0, |target| target.in_rack(member.rack));
            let centres = target.map_or(0, |target| target.in_data_centre(member.data_centre));
            let left = strength.left_without(member, pool.headroom.cover);
            (racks, centres, std::cmp::Reverse(left), member.key)
        };
        pool.members.iter().filter(free).min_by_key(fit).copied()
    }

    /// Spare VMs that serve now or will before long, after the moves of this pass.
    fn spares_expected(&self, spare: usize) -> u32 {
        let name = self.pools[spare].pool;
        let moves = || self.state.moves.iter();
        let added = moves().filter(|planned| planned.to == *name).count() as u32;
        let taken = moves().filter(|planned| planned.from == *name).count() as u32;
        let expected = self.pools[spare].expected(self.as_of_ms);
        (expected + added).saturating_sub(taken)
    }

    /// Fills the spare pool up from lasting surpluses, the oldest first.
    ///
    /// A surplus that the spare pool does not need stays where it is, at hand for the next failure.
    fn give_back(&mut self) {
        let role = |pool: &Situation<'_>| pool.spec.role;
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
                if self.spares_expected(spare) >= wanted && !orphan {
                    break;
                }
                let Some(member) = self.pick(from, Some(spare)) else {
                    break;
                };
                self.take(from, spare, &member, Cause::GiveBack);
            }
        }
    }
}
