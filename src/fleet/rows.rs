//! Reads rows and writes transactions: versions, outcomes, and reloads after a refusal.

use std::collections::BTreeSet;

use crate::fleet::{Event, Output, Token, machine, planner};
use crate::pool::{member, row};
use crate::{clock, id, journal, platform};

/// A transaction that is not settled.
#[derive(Clone, Debug)]
pub struct Pending {
    /// When the transaction was emitted.
    pub sent_at: clock::Instant,
    /// VMs whose rows it writes, with the new rows; `None` deletes the row.
    pub vms: Vec<(member::Key, Option<row::Vm>)>,
    /// New rows of the pools that it writes.
    pub pools: Vec<row::Pool>,
}

impl planner::Planner {
    /// Applies the rows read from the table, and removes VMs without a row.
    pub(super) fn apply_rows(
        &mut self,
        pools: &[platform::Row],
        vms: &[platform::Row],
        out: &mut Vec<Output>,
    ) {
        for stored in pools {
            match row::read_pool(stored) {
                Ok(row) => self.apply_pool_row(row, stored.version),
                Err(_) => report_unreadable(stored, out),
            }
        }
        let known: Vec<member::Key> = self.machines.keys().collect();
        let mut seen = BTreeSet::new();
        for stored in vms {
            match row::read_vm(stored) {
                Ok(row) => {
                    seen.insert(self.apply_vm_row(row, stored.version));
                }
                Err(_) => report_unreadable(stored, out),
            }
        }
        for key in known {
            if !seen.contains(&key) && self.machines[key].pending.is_none() {
                self.remove_machine(key);
            }
        }
        self.match_list();
        self.loaded = true;
    }

    fn apply_pool_row(&mut self, row: row::Pool, version: u64) {
        let pool = self
            .pools
            .entry(row.pool.clone())
            .or_insert_with(|| machine::Pool::new(row.clone(), 0));
        if pool.pending.is_some() || version <= pool.version {
            return;
        }
        pool.version = version;
        pool.stored = row.account;
        pool.row = row;
    }

    fn apply_vm_row(&mut self, row: row::Vm, version: u64) -> member::Key {
        let Some(&key) = self.keys.get(&row.vm) else {
            let vm = row.vm.clone();
            let key = self.machines.insert(machine::Machine::new(row, version));
            self.keys.insert(vm, key);
            return key;
        };
        let machine = &mut self.machines[key];
        if machine.pending.is_none() && version > machine.version {
            machine.set_row(row, version);
        }
        key
    }

    pub(super) fn remove_machine(&mut self, key: member::Key) {
        if let Some(machine) = self.machines.remove(key) {
            self.keys.remove(&machine.row.vm);
        }
    }

    /// Emits a transaction that writes rows of VMs and pools, conditional on their known versions.
    pub(super) fn commit(
        &mut self,
        now: clock::Instant,
        vms: Vec<(member::Key, Option<row::Vm>)>,
        pools: Vec<row::Pool>,
        out: &mut Vec<Output>,
    ) {
        self.last_token += 1;
        let token = Token(self.last_token);
        let mut txn = platform::Txn::default();
        for row in &pools {
            let pool = self
                .pools
                .entry(row.pool.clone())
                .or_insert_with(|| machine::Pool::new(row.clone(), 0));
            pool.pending = Some(token);
            push_write(
                &mut txn,
                row::pool_key(&row.pool),
                pool.version,
                Some(row_json(row)),
            );
        }
        for (key, row) in &vms {
            let machine = &mut self.machines[*key];
            machine.pending = Some(token);
            let value = row.as_ref().map(row_json);
            push_write(
                &mut txn,
                row::vm_key(&machine.row.vm),
                machine.version,
                value,
            );
        }
        let sent_at = now;
        self.pending.insert(
            token,
            Pending {
                sent_at,
                vms,
                pools,
            },
        );
        out.push(Output::Commit { token, txn });
    }

    /// Handles the settled outcome of a transaction.
    pub(super) fn settle(
        &mut self,
        token: Token,
        settled: &journal::Settled,
        out: &mut Vec<Output>,
    ) {
        let pending = self.pending.remove(&token);
        match (pending, settled) {
            (Some(pending), journal::Settled::Committed(committed)) => {
                self.apply_committed(pending, &committed.versions, out);
            }
            (Some(_), journal::Settled::Refused(_)) => {
                out.push(Output::Event(Event::TxnRefused));
                self.reload(out);
            }
            // The new versions are unknown: the reply was lost, or a reload dropped the
            // transaction.
            (_, journal::Settled::CommittedUnseen) | (None, journal::Settled::Committed(_)) => {
                self.reload(out);
            }
            (None, journal::Settled::Refused(_)) => {}
        }
    }

    fn reload(&mut self, out: &mut Vec<Output>) {
        self.loaded = false;
        self.pending.clear();
        for machine in self.machines.values_mut() {
            machine.pending = None;
        }
        for pool in self.pools.values_mut() {
            pool.pending = None;
        }
        out.push(Output::Reload);
    }

    fn apply_committed(&mut self, pending: Pending, versions: &[u64], out: &mut Vec<Output>) {
        let mut versions = versions.iter().copied();
        for row in pending.pools {
            let version = versions.next().unwrap_or(0);
            if let Some(pool) = self.pools.get_mut(&row.pool) {
                pool.version = version;
                pool.pending = None;
                pool.stored = row.account;
                pool.row.service = row.service;
                pool.row.paused = row.paused;
            }
        }
        for (key, row) in pending.vms {
            let version = versions.next().unwrap_or(0);
            let Some(row) = row else {
                self.remove_machine(key);
                continue;
            };
            let Some(machine) = self.machines.get_mut(key) else {
                continue;
            };
            machine.pending = None;
            push_change_events(&machine.row, &row, out);
            machine.set_row(row, version);
            let listed = machine.listed.take();
            machine.apply_listing(listed.as_ref(), self.as_of_ms);
        }
    }
}

/// Emits the event of a committed change to a VM's row.
fn push_change_events(before: &row::Vm, after: &row::Vm, out: &mut Vec<Output>) {
    let vm = after.vm.clone();
    if after.maintained_ms > before.maintained_ms {
        out.push(Output::Event(Event::Maintained { vm }));
    } else if after.generation > before.generation {
        out.push(Output::Event(Event::Moved { vm }));
    }
}

fn report_unreadable(stored: &platform::Row, out: &mut Vec<Output>) {
    let key = stored.key.clone();
    out.push(Output::Event(Event::RowUnreadable { key }));
}

fn push_write(txn: &mut platform::Txn, key: id::Key, version: u64, value: Option<String>) {
    let check = platform::Check {
        key: key.clone(),
        version,
    };
    txn.checks.push(check);
    txn.writes.push(platform::Write { key, value });
}

fn row_json<T>(row: &T) -> String
where
    T: serde::Serialize,
{
    serde_json::to_string(row).expect("rows hold only strings and numbers")
}
