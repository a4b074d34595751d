//! A pool that got another name in its service's document.
//!
//! Its VMs serve the same service as before, so they change their rows without a drain.

use crate::fleet::{Output, machine, planner};
use crate::pool::{member, row};
use crate::{clock, id};

/// VMs that one transaction renames at most.
const VMS_MAX: usize = 40;

impl planner::Planner {
    /// Gives the VMs of renamed pools their new pool.
    pub(super) fn rename(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let pools: Vec<(id::Pool, id::Service)> = self
            .specs
            .iter()
            .filter_map(|(pool, spec)| Some((pool.clone(), spec.service.clone()?)))
            .collect();
        for (to, service) in pools {
            if self.owned(&to).next().is_some() {
                continue;
            }
            if let Some(from) = self.former(&to, &service) {
                self.relabel(now, &from, &to, out);
            }
        }
    }

    /// The pool that served the service before and that no document names any longer.
    fn former(&self, to: &id::Pool, service: &id::Service) -> Option<id::Pool> {
        let free = |pool: &&machine::Pool| {
            let name = &pool.row.pool;
            pool.row.service.as_ref() == Some(service)
                && name != to
                && *name != self.settings.spare_pool
                && !self.specs.contains_key(name)
                && pool.pending.is_none()
        };
        let pool = self.pools.values().find(free)?;
        let idle = self
            .owned(&pool.row.pool)
            .all(|(_, machine)| machine.pending.is_none());
        let any = self.owned(&pool.row.pool).next().is_some();
        (idle && any).then(|| pool.row.pool.clone())
    }

    fn owned<'a>(
        &'a self,
        pool: &'a id::Pool,
    ) -> impl Iterator<Item = (member::Key, &'a machine::Machine)> {
        self.machines
            .iter()
            .filter(move |(_, machine)| machine.row.pool == *pool)
    }

    fn relabel(
        &mut self,
        now: clock::Instant,
        from: &id::Pool,
        to: &id::Pool,
        out: &mut Vec<Output>,
    ) {
        let relabelled = |(key, machine): (member::Key, &machine::Machine)| {
            let mut row = machine.row.clone();
            row.pool = to.clone();
            row.generation += 1;
            (key, Some(row))
        };
        let vms: Vec<(member::Key, Option<row::Vm>)> =
            self.owned(from).take(VMS_MAX).map(relabelled).collect();
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
