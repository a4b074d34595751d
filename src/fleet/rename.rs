//! Renames a pool whose name has changed in its service's document.
//!
//! Its VMs serve the same service as before, so their rows change without a drain.

use crate::fleet::{Output, machine, planner};
use crate::pool::{member, row};
use crate::{clock, id};

/// Most VMs that one transaction renames.
const TXN_VMS_MAX: usize = 40;

impl planner::Planner {
    /// Assigns the VMs of each renamed pool to the new name.
    pub(super) fn rename_pools(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let pools: Vec<(id::Pool, id::Service)> = self
            .specs
            .iter()
            .filter_map(|(pool, spec)| Some((pool.clone(), spec.service.clone()?)))
            .collect();
        for (to, service) in pools {
            if self.machines_of(&to).next().is_some() {
                continue;
            }
            if let Some(from) = self.previous_pool(&to, &service) {
                self.reassign(now, &from, &to, out);
            }
        }
    }

    /// Returns the pool that served the service before and that no document names any longer.
    fn previous_pool(&self, to: &id::Pool, service: &id::Service) -> Option<id::Pool> {
        let is_previous = |pool: &&machine::Pool| {
            let name = &pool.row.pool;
            pool.row.service.as_ref() == Some(service)
                && name != to
                && *name != self.settings.spare_pool
                && !self.specs.contains_key(name)
                && pool.pending.is_none()
        };
        let pool = self.pools.values().find(is_previous)?;
        let idle = self
            .machines_of(&pool.row.pool)
            .all(|(_, machine)| machine.pending.is_none());
        let has_machines = self.machines_of(&pool.row.pool).next().is_some();
        (idle && has_machines).then(|| pool.row.pool.clone())
    }

    fn machines_of<'a>(
        &'a self,
        pool: &'a id::Pool,
    ) -> impl Iterator<Item = (member::Key, &'a machine::Machine)> {
        self.machines
            .iter()
            .filter(move |(_, machine)| machine.row.pool == *pool)
    }

    fn reassign(
        &mut self,
        now: clock::Instant,
        from: &id::Pool,
        to: &id::Pool,
        out: &mut Vec<Output>,
    ) {
        let reassigned = |(key, machine): (member::Key, &machine::Machine)| {
            let mut row = machine.row.clone();
            row.pool = to.clone();
            row.generation += 1;
            (key, Some(row))
        };
        let vms: Vec<(member::Key, Option<row::Vm>)> = self
            .machines_of(from)
            .take(TXN_VMS_MAX)
            .map(reassigned)
            .collect();
        let mut old = self.pools[from].row.clone();
        let mut new = old.clone();
        old.service = None;
        new.pool = to.clone();
        if let Some(pool) = self.pools.get_mut(to) {
            pool.row.account = new.account;
        }
        self.commit(now, vms, vec![old, new], out);
    }
}
