//! Spare VMs that are lent to pools too tight for a wave.

use std::collections::BTreeMap;

use crate::id;
use crate::maintenance::wave;
use crate::pool::{moves, spec, strength};

/// Grants loans for waves, each whole or not at all, and forgets those that can't be granted.
///
/// Pools that hold most go first, so that no two pools hold parts of what either needs. What is
/// then left serves their wishes. Returns what is lacking per pool.
pub fn grant(
    pools: &mut [moves::Situation<'_>],
    as_of_ms: u64,
    reserve: u32,
) -> BTreeMap<id::Pool, u32> {
    let held = |pool: &moves::Situation<'_>| {
        let own = pool.spec.runners + pool.demand_extra;
        pool.expected(as_of_ms).saturating_sub(own)
    };
    let spares = pools
        .iter()
        .filter(|pool| pool.spec.role == spec::Role::Spare);
    let spares = spares.map(|pool| strength::Strength::of(pool.members).in_service);
    let spares: u32 = spares.sum();
    let lent: u32 = pools
        .iter()
        .filter(|pool| pool.spec.role != spec::Role::Spare)
        .map(held)
        .sum();
    let mut lendable = spares.saturating_sub(reserve) + lent;
    let mut order: Vec<usize> = (0..pools.len())
        .filter(|&at| pools[at].loan.needed > 0)
        .collect();
    order.sort_by_key(|&at| (std::cmp::Reverse(held(&pools[at])), at));
    let mut unmet = BTreeMap::new();
    for &at in &order {
        let pool = &mut pools[at];
        if pool.loan.needed <= lendable {
            lendable -= pool.loan.needed;
        } else {
            unmet.insert(pool.pool.clone(), pool.loan.needed);
            pool.loan = wave::Loan::default();
        }
    }
    for &at in &order {
        let loan = &mut pools[at].loan;
        let more = loan.wished.saturating_sub(loan.needed).min(lendable);
        loan.needed += more;
        lendable -= more;
    }
    unmet
}
