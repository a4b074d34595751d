//! Takes decisions on a snapshot of all pools and commits them.

use std::collections::BTreeMap;

use crate::fleet::{Event, Output, machine, planner, snapshot};
use crate::maintenance::{reason, wave};
use crate::pool::{domain, member, moves, row, spec};
use crate::{clock, id};

/// Most rows that one transaction of this duty writes; the lease and the journal need some of the
/// table's limit too.
const TXN_ROWS_MAX: usize = 40;
/// Interval at which an account that has counted more absence is stored, in milliseconds.
const ACCOUNT_STORE_INTERVAL_MS: u64 = 5 * clock::MINUTE_MS;
/// A new pause reason is stored this long after the account's last write, in milliseconds.
const REASON_STORE_INTERVAL_MS: u64 = 10 * clock::SECOND_MS;
/// The row of a VM that the platform no longer lists is deleted after this long, in milliseconds.
const UNLISTED_RETENTION_MS: u64 = clock::HOUR_MS;
/// Number of VMs that have recently not come back from a reboot at which all waves pause.
pub const REBOOTS_FAILING: usize = 3;
/// How long a VM that does not come back counts towards [`REBOOTS_FAILING`], in milliseconds.
const REBOOTS_FAILING_MS: u64 = clock::DAY_MS;

impl planner::Planner {
    /// Creates the state of every pool that owns VMs or is named by a document, and refreshes all
    /// specs.
    pub(super) fn refresh_pools(&mut self) {
        let owned = self.machines.values().map(|machine| &machine.row.pool);
        let documented = self.specs.keys();
        let spare = std::iter::once(&self.settings.spare_pool);
        let unknown: Vec<id::Pool> = owned
            .chain(documented)
            .chain(spare)
            .filter(|pool| !self.pools.contains_key(*pool))
            .cloned()
            .collect();
        for pool in unknown {
            let row = row::Pool::initial(&pool);
            self.pools.insert(pool, machine::Pool::new(row, 0));
        }
        let snapshot = snapshot::Snapshot::new(self);
        let reserve = snapshot.reserve(&self.settings.spare_pool);
        let spares = snapshot.members(&self.settings.spare_pool).len() as u32;
        let spare_min_runners = reserve.min(spares.saturating_sub(1));
        let spare = spec::Spec::without_documents(
            spec::Role::Spare,
            spare_min_runners,
            self.settings.spare_at_once,
        );
        for (pool, state) in &mut self.pools {
            state.spec = match self.specs.get(pool) {
                _ if *pool == self.settings.spare_pool => spare.clone(),
                Some(spec) => spec.clone(),
                None => spec::Spec::without_documents(spec::Role::Orphan, 0, 1),
            };
        }
    }

    /// Counts absence up to the newest list, and records since when each pool has had a surplus.
    pub(super) fn count_absence(&mut self) {
        let snapshot = snapshot::Snapshot::new(self);
        let as_of_ms = snapshot.as_of_ms;
        let views = snapshot.moves();
        let counts: Vec<(id::Pool, u32, bool)> = views
            .iter()
            .map(|pool| {
                let in_service = domain::Counts::of(pool.members).in_service;
                let missing = pool.spec.runners.saturating_sub(in_service);
                let surplus = pool.expected(as_of_ms) > pool.target();
                (pool.pool.clone(), missing, surplus)
            })
            .collect();
        for (pool, missing, surplus) in counts {
            let Some(pool) = self.pools.get_mut(&pool) else {
                continue;
            };
            let period_ms = pool.spec.period_ms;
            pool.row.account.advance(missing, as_of_ms, period_ms);
            pool.surplus_since_ms = match surplus {
                true => pool.surplus_since_ms.or(Some(as_of_ms)),
                false => None,
            };
        }
    }

    /// Creates rows for listed VMs that the table does not have, and deletes rows of VMs that have
    /// long been unlisted.
    pub(super) fn reconcile_rows(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let listed = self.list.vms.iter();
        let new: Vec<row::Vm> = listed
            .filter(|vm| !self.keys.contains_key(&vm.vm))
            .map(row::Vm::initial)
            .collect();
        for rows in new.chunks(TXN_ROWS_MAX) {
            let vms = rows
                .iter()
                .map(|row| (self.insert_machine(row), Some(row.clone())));
            let vms = vms.collect();
            self.commit(now, vms, Vec::new(), out);
        }
        let expired = |machine: &machine::Machine| {
            let since = machine.down_since_ms;
            let down_ms = since.map_or(0, |since| self.as_of_ms.saturating_sub(since));
            machine.listed.is_none()
                && machine.pending.is_none()
                && down_ms >= UNLISTED_RETENTION_MS
        };
        let machines = self.machines.iter();
        let expired: Vec<member::Key> = machines
            .filter(|(_, machine)| expired(machine))
            .map(|(key, _)| key)
            .take(TXN_ROWS_MAX)
            .collect();
        if !expired.is_empty() {
            let vms = expired.into_iter().map(|key| (key, None)).collect();
            self.commit(now, vms, Vec::new(), out);
        }
    }

    fn insert_machine(&mut self, row: &row::Vm) -> member::Key {
        let key = self.machines.insert(machine::Machine::new(row.clone(), 0));
        self.keys.insert(row.vm.clone(), key);
        key
    }

    /// Returns the reason why no step can begin in any pool, or `None`.
    pub(super) fn pause_reason(&self, now: clock::Instant) -> Option<reason::Reason> {
        let stale = |at: clock::Instant| now.since_ms(at) > planner::LIST_STALE_MS;
        if self.list_received_at.is_none_or(stale) {
            return Some(reason::Reason::ListStale);
        }
        if !self.senders.is_known() {
            return Some(reason::Reason::RosterUnknown);
        }
        let mut pending = self.pending.values();
        let slow = pending.any(|pending| now.since_ms(pending.sent_at) > planner::TXN_SLOW_MS);
        slow.then_some(reason::Reason::TableOut)
    }

    /// Returns true if so many reboots fail that waves pause.
    fn reboots_failing(&self) -> bool {
        let recent = self.machines.iter().filter(|(key, machine)| {
            let member = machine.member(*key, self.as_of_ms);
            let row::Stage::Rebooting { since_ms, .. } = machine.row.stage else {
                return false;
            };
            let age_ms = self.as_of_ms.saturating_sub(since_ms);
            member.is_reboot_overdue(self.as_of_ms) && age_ms < REBOOTS_FAILING_MS
        });
        recent.count() >= REBOOTS_FAILING
    }

    /// Begins the planned moves, with one transaction for each pool.
    pub(super) fn begin_moves(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let snapshot = snapshot::Snapshot::new(self);
        let reserve = snapshot.reserve(&self.settings.spare_pool);
        let views = snapshot.moves();
        let (moves, unmet) = moves::plan(views, self.as_of_ms, reserve);
        self.unmet = unmet;
        let mut by_pool: BTreeMap<id::Pool, Vec<moves::Move>> = BTreeMap::new();
        for planned in moves {
            let from = planned.from.clone();
            by_pool.entry(from).or_default().push(planned);
        }
        for (pool, planned) in by_pool {
            self.begin_moves_of(now, &pool, &planned, out);
        }
    }

    fn begin_moves_of(
        &mut self,
        now: clock::Instant,
        pool: &id::Pool,
        planned: &[moves::Move],
        out: &mut Vec<Output>,
    ) {
        let mut drains = Vec::new();
        for planned in planned.iter().take(TXN_ROWS_MAX) {
            let purpose = row::Purpose::Move {
                to: planned.to.clone(),
            };
            drains.push((planned.key, purpose));
            let vm = self.machines[planned.key].row.vm.clone();
            let cause = planned.cause;
            out.push(Output::Event(Event::MoveBegun { vm, cause }));
        }
        self.begin_drains(now, pool, drains, out);
    }

    /// Begins the steps of waves, and drains VMs that an operator has marked as out.
    pub(super) fn begin_waves(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let failing = self.reboots_failing();
        let snapshot = snapshot::Snapshot::new(self);
        let pools = self
            .pools
            .iter()
            .filter(|(_, state)| state.pending.is_none());
        let steps: Vec<(id::Pool, wave::Step, Vec<member::Key>)> = pools
            .map(|(pool, state)| {
                let view = snapshot.wave(pool, state);
                let step = match view.next_step() {
                    wave::Step::Begin(_) if failing => {
                        wave::Step::Paused(reason::Reason::RebootsFailing)
                    }
                    step => step,
                };
                (pool.clone(), step, marked_out(&view))
            })
            .collect();
        for (pool, step, marked) in steps {
            if marked.is_empty() {
                self.begin_step(now, &pool, step, out);
            } else {
                let drains = marked.into_iter().map(|key| (key, row::Purpose::TakeOut));
                self.begin_drains(now, &pool, drains.collect(), out);
            }
        }
    }

    fn begin_step(
        &mut self,
        now: clock::Instant,
        pool: &id::Pool,
        step: wave::Step,
        out: &mut Vec<Output>,
    ) {
        let reason = match step {
            wave::Step::Done | wave::Step::Running => None,
            wave::Step::Paused(reason) => Some(self.refine_reason(pool, reason)),
            wave::Step::Begin(keys) => {
                let begun = |key: &member::Key| {
                    let vm = self.machines[*key].row.vm.clone();
                    Output::Event(Event::MaintenanceBegun { vm })
                };
                out.extend(keys.iter().take(TXN_ROWS_MAX).map(begun));
                let drains = keys.into_iter().map(|key| (key, row::Purpose::Maintain));
                self.begin_drains(now, pool, drains.take(TXN_ROWS_MAX).collect(), out);
                None
            }
        };
        self.set_reason(pool, reason, out);
    }

    /// Commits the drains of VMs of one pool.
    fn begin_drains(
        &mut self,
        now: clock::Instant,
        pool: &id::Pool,
        drains: Vec<(member::Key, row::Purpose)>,
        out: &mut Vec<Output>,
    ) {
        let mut vms = Vec::new();
        for (key, purpose) in drains {
            let mut row = self.machines[key].row.clone();
            row.stage = row::Stage::Leaving {
                operation: self.next_operation(),
                purpose,
                since_ms: self.as_of_ms,
            };
            vms.push((key, Some(row)));
        }
        let row = self.pools[pool].next_row();
        self.commit(now, vms, vec![row], out);
    }

    /// Replaces a pause reason by [`reason::Reason::SpareExhausted`] where a spare VM would let the
    /// wave continue.
    fn refine_reason(&self, pool: &id::Pool, reason: reason::Reason) -> reason::Reason {
        match reason {
            reason::Reason::MinRunners | reason::Reason::DomainReserve
                if self.unmet.contains_key(pool) =>
            {
                reason::Reason::SpareExhausted
            }
            other => other,
        }
    }

    pub(super) fn pause_all(&mut self, reason: reason::Reason, out: &mut Vec<Output>) {
        let pools: Vec<id::Pool> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.set_reason(&pool, Some(reason), out);
        }
    }

    fn set_reason(
        &mut self,
        pool: &id::Pool,
        reason: Option<reason::Reason>,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        if state.reason == reason {
            return;
        }
        state.reason = reason;
        let pool = pool.clone();
        out.push(Output::Event(match reason {
            Some(reason) => Event::Paused { pool, reason },
            None => Event::Resumed { pool },
        }));
    }

    /// Stores accounts that have counted absence, changed pause reasons, and the service that a
    /// pool serves.
    pub(super) fn store_accounts(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let mut rows = Vec::new();
        for pool in self.pools.values() {
            let account = &pool.row.account;
            let counted = account.absent_ms != pool.stored.absent_ms
                || account.period_start_ms != pool.stored.period_start_ms;
            let age_ms = account.until_ms.saturating_sub(pool.stored.until_ms);
            let reason_current =
                pool.reason == pool.row.paused || age_ms < REASON_STORE_INTERVAL_MS;
            let renamed = pool.spec.service.is_some() && pool.spec.service != pool.row.service;
            let store_due =
                renamed || !reason_current || (counted && age_ms >= ACCOUNT_STORE_INTERVAL_MS);
            if pool.pending.is_none() && store_due {
                rows.push(pool.next_row());
            }
        }
        for rows in rows.chunks(TXN_ROWS_MAX) {
            self.commit(now, Vec::new(), rows.to_vec(), out);
        }
    }
}

/// Returns a VM that an operator marked as out and that its pool can spare.
fn marked_out(view: &wave::PoolView<'_>) -> Vec<member::Key> {
    let counts = domain::Counts::of(view.members);
    let marked = view.members.iter().find(|member| {
        member.can_leave_service()
            && member.row.mark == Some(row::Mark::Out)
            && view.headroom.check(&counts, member).is_ok()
    });
    marked.map(|member| member.key).into_iter().collect()
}
