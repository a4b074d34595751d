//! A borrowed view of all pools, on which one planning pass decides.

use std::collections::BTreeMap;

use crate::fleet::{machine, planner};
use crate::id;
use crate::maintenance::{headroom, wave};
use crate::pool::{domain, member, moves, row, spec};

/// All pools with their VMs.
pub struct Snapshot<'a> {
    /// Platform time of the newest list, in milliseconds.
    pub as_of_ms: u64,
    /// Expected duration of a drain with its reboot, in milliseconds.
    pub step_ms: u64,
    pools: &'a BTreeMap<id::Pool, machine::Pool>,
    members: BTreeMap<&'a id::Pool, Vec<member::Member<'a>>>,
    incoming: BTreeMap<&'a id::Pool, u32>,
}

impl<'a> Snapshot<'a> {
    /// Creates a snapshot of the planner's state.
    pub fn new(planner: &'a planner::Planner) -> Self {
        let mut members: BTreeMap<&id::Pool, Vec<member::Member<'_>>> = BTreeMap::new();
        let mut incoming: BTreeMap<&id::Pool, u32> = BTreeMap::new();
        for (key, machine) in &planner.machines {
            let member = machine.member(key, planner.as_of_ms);
            members.entry(&machine.row.pool).or_default().push(member);
            if let row::Stage::Leaving {
                purpose: row::Purpose::Move { to },
                ..
            } = &machine.row.stage
            {
                *incoming.entry(to).or_default() += 1;
            }
        }
        Self {
            as_of_ms: planner.as_of_ms,
            step_ms: planner.step_ms,
            pools: &planner.pools,
            members,
            incoming,
        }
    }

    /// Returns the VMs of a pool.
    pub fn members(&self, pool: &id::Pool) -> &[member::Member<'a>] {
        self.members.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the headroom that a pool must keep.
    fn headroom<'s>(&self, pool: &id::Pool, spec: &'s spec::Spec) -> headroom::Headroom<'s> {
        let members = self.members(pool);
        let nominal = domain::Counts::nominal(members, self.as_of_ms, moves::REPLACE_AFTER_MS);
        let cover = domain::cover(spec, &nominal);
        headroom::Headroom {
            spec,
            cover,
            nominal_largest: nominal.largest_domain(cover),
        }
    }

    /// Returns the number of VMs of service pools in the largest rack: the reserve that the spare
    /// pool keeps.
    pub fn reserve(&self, spare: &id::Pool) -> u32 {
        let mut racks: BTreeMap<&id::Rack, u32> = BTreeMap::new();
        for (pool, members) in &self.members {
            if *pool == spare {
                continue;
            }
            for rack in members.iter().filter_map(|member| member.rack) {
                *racks.entry(rack).or_default() += 1;
            }
        }
        racks.into_values().max().unwrap_or(0)
    }

    /// Returns the view of a pool for its wave.
    pub fn wave<'s>(&'s self, pool: &'a id::Pool, state: &'s machine::Pool) -> wave::PoolView<'s> {
        wave::PoolView {
            headroom: self.headroom(pool, &state.spec),
            account: &state.row.account,
            members: self.members(pool),
            as_of_ms: self.as_of_ms,
            step_ms: self.step_ms,
        }
    }

    /// Returns the views of all pools for planning moves.
    pub fn moves(&self) -> Vec<moves::PoolView<'_>> {
        let views = self.pools.iter().map(|(pool, state)| {
            let wave = self.wave(pool, state);
            let since = state.surplus_since_ms;
            moves::PoolView {
                pool,
                spec: &state.spec,
                headroom: wave.headroom,
                members: wave.members,
                incoming: self.incoming.get(pool).copied().unwrap_or(0),
                loan: wave.loan(),
                demand_extra: state.demand.extra(),
                surplus_ms: since.map_or(0, |since| self.as_of_ms.saturating_sub(since)),
                write_pending: state.pending.is_some(),
            }
        });
        views.collect()
    }
}
