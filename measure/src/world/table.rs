//! The platform's table, with outages and lost replies.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use wasabiloft::pool::row;
use wasabiloft::{fleet, id, journal, platform};

use super::{Event, Without, World};

/// A transaction on its way.
pub struct Sent {
    /// The holder that sent it.
    pub holder: usize,
    /// The epoch that its lease's check names.
    pub epoch: u64,
    /// How its holder knows it.
    pub token: fleet::Token,
    /// The transaction.
    pub txn: platform::Txn,
    /// The list of VMs on which it was decided.
    pub view: Rc<platform::VmList>,
}

/// Rows by key.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<id::Key, platform::Row>,
    versions: BTreeMap<id::Key, u64>,
    /// The epoch of the duty's row.
    pub epoch: u64,
    /// The end of the newest outage.
    pub out_until_ms: u64,
}

impl Table {
    /// Rows with a prefix.
    pub fn range(&self, prefix: &str) -> Vec<platform::Row> {
        let rows = self.rows.values();
        let matching = rows.filter(|row| row.key.as_str().starts_with(prefix));
        matching.cloned().collect()
    }

    /// All rows of VMs.
    pub fn vms(&self) -> impl Iterator<Item = row::Vm> {
        let rows = self.range(row::VM_PREFIX).into_iter();
        rows.map(|row| row::read_vm(&row).expect("the duty writes readable rows"))
    }

    fn version(&self, key: &id::Key) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn failed(&self, sent: &Sent, without: Option<Without>) -> Option<platform::Refused> {
        if sent.epoch != self.epoch && !without.is_some_and(Without::fencing) {
            return Some(platform::Refused {
                key: id::Key::from("duty/fleet"),
                version: self.epoch,
            });
        }
        if without.is_some_and(Without::checks) {
            return None;
        }
        let mut checks = sent.txn.checks.iter();
        let failed = checks.find(|check| self.version(&check.key) != check.version)?;
        Some(platform::Refused {
            key: failed.key.clone(),
            version: self.version(&failed.key),
        })
    }

    fn write(&mut self, write: &platform::Write) -> u64 {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return 0;
        };
        let version = self.versions.entry(write.key.clone()).or_default();
        *version += 1;
        let row = platform::Row {
            key: write.key.clone(),
            version: *version,
            value: value.clone(),
        };
        self.rows.insert(write.key.clone(), row);
        *version
    }
}

impl World {
    pub(super) fn table_out(&self) -> bool {
        self.now_ms < self.table.out_until_ms
    }

    /// A transaction reaches the table, unless an outage swallows or delays it.
    pub(super) fn apply(&mut self, sent: Sent) {
        if self.table_out() {
            let wait_ms = self.table.out_until_ms - self.now_ms;
            if self.rng.random_bool(0.5) {
                self.at(wait_ms, Event::Apply(sent));
            } else {
                let refused = platform::Refused {
                    key: id::Key::from("journal"),
                    version: 0,
                };
                self.settle(&sent, journal::Settled::Refused(refused), wait_ms);
            }
            return;
        }
        if let Some(refused) = self.table.failed(&sent, self.options.without) {
            self.settle(&sent, journal::Settled::Refused(refused), 0);
            return;
        }
        let before: BTreeMap<id::Vm, row::Vm> = self.rows_of(&sent.txn);
        let writes = sent.txn.writes.iter();
        let versions = writes.map(|write| self.table.write(write)).collect();
        let after = self.rows_of(&sent.txn);
        self.check_commit(&sent, &before, &after);
        self.settle(
            &sent,
            journal::Settled::Committed(platform::Committed { versions }),
            0,
        );
    }

    fn settle(&mut self, sent: &Sent, settled: journal::Settled, wait_ms: u64) {
        let lost = self.options.faults && self.rng.random_bool(0.1);
        let reply_ms = match lost {
            true => self.rng.random_range(1_000..10_000),
            false => self.rng.random_range(2..20),
        };
        let settled = match settled {
            journal::Settled::Committed(_) if lost => journal::Settled::CommittedUnseen,
            known => known,
        };
        let event = Event::Settled {
            holder: sent.holder,
            token: sent.token,
            settled,
        };
        self.at(wait_ms + reply_ms, event);
    }

    fn rows_of(&self, txn: &platform::Txn) -> BTreeMap<id::Vm, row::Vm> {
        let keys = txn.writes.iter().map(|write| &write.key);
        let stored = keys.filter_map(|key| self.table.rows.get(key));
        let rows = stored.filter(|row| row.key.as_str().starts_with(row::VM_PREFIX));
        rows.map(|row| row::read_vm(row).expect("the duty writes readable rows"))
            .map(|row| (row.vm.clone(), row))
            .collect()
    }
}
