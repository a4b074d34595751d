//! The list of machines: what it shows of waves, moves, commands and workers.

use std::collections::BTreeSet;
use std::sync::Arc;

use wasabiloft::batch::pools;
use wasabiloft::id;

use crate::batch::fleet::{Fleet, RETURN_MARGIN_MS};
use crate::clock;
use crate::log;

impl Fleet {
    pub(super) fn log_unreadable(&mut self, warnings: &[String]) {
        self.unreadable
            .retain(|known| warnings.iter().any(|warning| warning == known));
        for warning in warnings {
            let line = format!("machine unreadable {warning}");
            self.unreadable.found(warning, &line);
        }
    }

    pub(super) fn apply_list(
        &mut self,
        mut list: Vec<pools::Machine>,
        unreadable: &pools::Unreadable,
        requested_at: wasabiloft::clock::Instant,
    ) {
        unreadable.keep_from(&self.list, &mut list);
        let maintenance_ms = self.shared.settings().maintenance_ms + RETURN_MARGIN_MS;
        for wave in self.waves.values_mut() {
            for vm in wave.machines_listed(&list, unreadable, requested_at, maintenance_ms) {
                log::info(
                    "fleet",
                    &format!("machine removed vm={vm} wave={}", wave.request.number),
                );
            }
        }
        self.end_missing_incarnations(&list, requested_at, unreadable.is_empty());
        self.positions = list
            .iter()
            .enumerate()
            .map(|(position, machine)| (machine.vm.clone(), position))
            .collect();
        self.list = Arc::new(list);
        self.follow_arrivals(unreadable, requested_at);
        for vm in self.answered.machines_listed(&self.list, requested_at) {
            log::info("fleet", &format!("change was done before vm={vm}"));
            self.set_draining_vm(&vm, false);
        }
    }

    /// Applies the list to the machines that are about to join a pool.
    fn follow_arrivals(
        &mut self,
        unreadable: &pools::Unreadable,
        requested_at: wasabiloft::clock::Instant,
    ) {
        let now = clock::since_boot();
        let scheduler = self.leadership.scheduler();
        let has_joined = |worker: &id::Worker| scheduler.has_joined(worker, now);
        let lost =
            self.arrivals
                .machines_listed(&self.list, unreadable, requested_at, now, has_joined);
        drop(scheduler);
        for vm in lost {
            let machine = self.machine(&vm);
            log::info(
                "fleet",
                &format!(
                    "machine didn't arrive vm={vm} state={:?} pool={:?}",
                    machine.map(|machine| machine.state),
                    machine.map(|machine| &machine.pool)
                ),
            );
        }
    }

    /// Passes the workers that the list shows to the scheduler, which ends those whose machine no longer runs them: crashed,
    /// moved, in maintenance, or removed.
    ///
    /// A list with unreadable entries proves nothing about workers that no list has shown.
    fn end_missing_incarnations(
        &mut self,
        list: &[pools::Machine],
        requested_at: wasabiloft::clock::Instant,
        is_whole: bool,
    ) {
        let now = clock::since_boot();
        let current: BTreeSet<&id::Worker> = list
            .iter()
            .filter_map(|machine| machine.worker.as_ref())
            .collect();
        for before in self.list.iter() {
            if let Some(worker) = before.worker.as_ref().filter(|id| !current.contains(id)) {
                let shown = list.iter().find(|machine| machine.vm == before.vm);
                log::info(
                    "fleet",
                    &format!(
                        "worker missing worker={worker} vm={} state={:?} shown={:?} list_ms={}",
                        before.vm,
                        shown.map(|machine| machine.state),
                        shown.and_then(|machine| machine.worker.as_ref()),
                        now.since_ms(requested_at)
                    ),
                );
            }
        }
        self.leadership
            .scheduler()
            .machines_listed(&current, is_whole, requested_at, now);
        self.leadership.wake.notify_one();
    }
}
