//! Loans of spare VMs to pools that are too small to begin a wave.

use std::collections::BTreeMap;

use crate::id;
use crate::maintenance::wave;
use crate::pool::{domain, moves, spec};

/// Grants loans for waves, each in full or not at all, and drops those that cannot be granted.
///
/// Pools that have borrowed most come first, so that no two pools each hold a part of what both
/// need. The remaining spare VMs are granted up to the desired numbers. Returns the number of
/// missing VMs per pool.
pub fn grant(
    pools: &mut [moves::PoolView<'_>],
    as_of_ms: u64,
    reserve: u32,
) -> BTreeMap<id::Pool, u32> {
    let borrowed = |pool: &moves::PoolView<'_>| {
        let own = pool.spec.runners + pool.demand_extra;
        pool.expected(as_of_ms).saturating_sub(own)
    };
    let spares = pools
        .iter()
        .filter(|pool| pool.spec.role == spec::Role::Spare);
    let spares = spares.map(|pool| domain::Counts::of(pool.members).in_service);
    let spares: u32 = spares.sum();
    let lent: u32 = pools
        .iter()
        .filter(|pool| pool.spec.role != spec::Role::Spare)
        .map(borrowed)
        .sum();
    let mut lendable = spares.saturating_sub(reserve) + lent;
    let mut order: Vec<usize> = (0..pools.len())
        .filter(|&index| pools[index].loan.needed > 0)
        .collect();
    order.sort_by_key(|&index| (std::cmp::Reverse(borrowed(&pools[index])), index));
    let mut unmet = BTreeMap::new();
    for &index in &order {
        let pool = &mut pools[index];
        if pool.loan.needed <= lendable {
            lendable -= pool.loan.needed;
        } else {
            unmet.insert(pool.pool.clone(), pool.loan.needed);
            pool.loan = wave::Loan::default();
        }
    }
    for &index in &order {
        let loan = &mut pools[index].loan;
        let granted = loan.desired.saturating_sub(loan.needed).min(lendable);
        loan.needed += granted;
        lendable -= granted;
    }
    unmet
}
