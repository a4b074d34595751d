//! The state machine of the duty's leader.

use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::fleet::{Input, Output, Settings, Token, machine, rows};
use crate::maintenance::{proof, wave};
use crate::pool::{member, row, spec};
use crate::{clock, document, id, platform};

/// The list of VMs is stale if it has not advanced for this long, in milliseconds.
pub const LIST_STALE_MS: u64 = clock::MINUTE_MS;
/// The table counts as unavailable if a transaction has not been settled for this long, in
/// milliseconds.
pub const TXN_SLOW_MS: u64 = 5 * clock::SECOND_MS;

/// State of the duty's leader.
pub struct Planner {
    pub(super) settings: Settings,
    pub(super) epoch: u64,
    pub(super) machines: SlotMap<member::Key, machine::Machine>,
    pub(super) keys: BTreeMap<id::Vm, member::Key>,
    pub(super) pools: BTreeMap<id::Pool, machine::Pool>,
    pub(super) specs: BTreeMap<id::Pool, spec::Spec>,
    pub(super) list: platform::VmList,
    pub(super) list_received_at: Option<clock::Instant>,
    pub(super) as_of_ms: u64,
    pub(super) senders: proof::Senders,
    pub(super) lapse_ms: u64,
    pub(super) step_ms: u64,
    pub(super) loaded: bool,
    pub(super) documents_known: bool,
    pub(super) pending: BTreeMap<Token, rows::Pending>,
    pub(super) unmet: BTreeMap<id::Pool, u32>,
    pub(super) last_token: u64,
    pub(super) last_operation: u64,
}

impl Planner {
    /// Creates the state of a leader that has just acquired the duty under `epoch`, without any
    /// rows, documents or lists.
    pub fn new(settings: Settings, epoch: u64) -> Self {
        Self {
            lapse_ms: settings.isolation_ms,
            settings,
            epoch,
            machines: SlotMap::with_key(),
            keys: BTreeMap::new(),
            pools: BTreeMap::new(),
            specs: BTreeMap::new(),
            list: platform::VmList::default(),
            list_received_at: None,
            as_of_ms: 0,
            senders: proof::Senders::default(),
            step_ms: wave::STEP_DEFAULT_MS,
            loaded: false,
            documents_known: false,
            pending: BTreeMap::new(),
            unmet: BTreeMap::new(),
            last_token: 0,
            last_operation: 0,
        }
    }

    /// Applies an input and returns the resulting actions.
    pub fn handle(&mut self, now: clock::Instant, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Rows { pools, vms } => self.apply_rows(pools, vms, &mut out),
            Input::Documents(documents) => self.apply_documents(documents),
            Input::List(list) => self.apply_list(now, list),
            Input::Roster(roster) => self.senders.update(now, roster),
            Input::Acknowledged {
                vm,
                operation,
                member,
            } => {
                if let Some(progress) = self.progress(vm, operation) {
                    progress.acks.insert(member.clone());
                }
            }
            Input::Vacated { vm, operation } => {
                if let Some(progress) = self.progress(vm, operation) {
                    progress.jobs_evicted = true;
                }
            }
            Input::EffectDone { vm, operation } => {
                let as_of_ms = self.as_of_ms;
                if let Some(progress) = self.progress(vm, operation) {
                    progress.done_as_of_ms.get_or_insert(as_of_ms);
                }
            }
            Input::Settled { token, settled } => self.settle(token, settled, &mut out),
            Input::Demand { pool, used_milli } => self.record_demand(now, pool, used_milli),
            Input::Mark { vm, mark } => self.apply_mark(now, vm, mark, &mut out),
            Input::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Returns true if the rows have been read since the start or the last refused transaction.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns true if rows, documents and a list are known, which every decision needs.
    fn is_ready(&self) -> bool {
        self.loaded && self.documents_known && self.list_received_at.is_some()
    }

    fn tick(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        if !self.is_ready() {
            return;
        }
        self.refresh_pools();
        self.count_absence();
        self.reconcile_rows(now, out);
        self.advance(now, out);
        match self.pause_reason(now) {
            Some(reason) => self.pause_all(reason, out),
            None => {
                self.rename_pools(now, out);
                self.begin_moves(now, out);
                self.begin_waves(now, out);
            }
        }
        self.store_accounts(now, out);
    }

    fn progress(
        &mut self,
        vm: &id::Vm,
        operation: &id::Operation,
    ) -> Option<&mut machine::Progress> {
        let key = *self.keys.get(vm)?;
        let machine = &mut self.machines[key];
        match machine.operation() == Some(operation) {
            true => Some(&mut machine.progress),
            false => None,
        }
    }

    fn apply_documents(&mut self, documents: &[document::Document]) {
        self.documents_known = true;
        self.specs.clear();
        let mut longest_ms = 0;
        for document in documents {
            let document_spec = spec::Spec::of(document);
            self.specs
                .entry(document.capacity.pool.clone())
                .and_modify(|spec| spec.tighten(&document_spec))
                .or_insert(document_spec);
            let deadlines = document.kinds.iter().map(|kind| kind.deadline_ms);
            longest_ms = deadlines.fold(longest_ms, u64::max);
        }
        self.lapse_ms = self.settings.isolation_ms.saturating_add(longest_ms);
    }

    fn apply_list(&mut self, now: clock::Instant, list: &platform::VmList) {
        let newer = self.list_received_at.is_none() || list.as_of_ms > self.as_of_ms;
        if !newer {
            return;
        }
        self.list = list.clone();
        self.list_received_at = Some(now);
        self.as_of_ms = list.as_of_ms;
        self.match_list();
    }

    /// Matches the VMs against the newest list.
    pub(super) fn match_list(&mut self) {
        let vms = self.list.vms.iter();
        let listed: BTreeMap<&id::Vm, &platform::Vm> = vms.map(|vm| (&vm.vm, vm)).collect();
        for machine in self.machines.values_mut() {
            let listed = listed.get(&machine.row.vm).copied();
            machine.apply_listing(listed, self.as_of_ms);
        }
    }

    fn record_demand(&mut self, now: clock::Instant, pool: &id::Pool, used_milli: u64) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.demand.observe(now, used_milli, pool.spec.runners);
        }
    }

    fn apply_mark(
        &mut self,
        now: clock::Instant,
        vm: &id::Vm,
        mark: Option<row::Mark>,
        out: &mut Vec<Output>,
    ) {
        let Some(&key) = self.keys.get(vm) else {
            return;
        };
        let machine = &self.machines[key];
        if machine.pending.is_some() || machine.row.mark == mark {
            return;
        }
        let mut row = machine.row.clone();
        row.mark = mark;
        self.commit(now, vec![(key, Some(row))], Vec::new(), out);
    }

    /// Returns the id of a new operation, unique by epoch and counter.
    pub(super) fn next_operation(&mut self) -> id::Operation {
        self.last_operation += 1;
        let (duty, epoch, count) = (&self.settings.duty, self.epoch, self.last_operation);
        id::Operation::from(format!("{duty}/{epoch}/{count}"))
    }
}
