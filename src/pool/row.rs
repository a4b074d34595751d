//! Rows `vm/VM` and `pool/POOL` of the platform's table.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::maintenance::reason;
use crate::{id, platform};

/// Prefix of the keys of VM rows.
pub const VM_PREFIX: &str = "vm/";
/// Prefix of the keys of pool rows.
pub const POOL_PREFIX: &str = "pool/";

/// Why a VM leaves service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// To be rebooted.
    Maintain,
    /// To join another pool.
    Move {
        /// The pool that it joins.
        to: id::Pool,
    },
    /// To stay out, as an operator marked it.
    TakeOut,
}

/// The stage of a VM; each but the first is an intent that a successor resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "stage")]
pub enum Stage {
    /// Takes work, if the platform says that it is live.
    InService,
    /// Drains: takes no new work and finishes what it has.
    Leaving {
        /// Id of the drain.
        operation: id::Operation,
        /// What follows the drain.
        purpose: Purpose,
        /// Platform's time of the decision, in milliseconds.
        since_ms: u64,
    },
    /// Proven drained, reboots.
    Rebooting {
        /// Id of the reboot.
        operation: id::Operation,
        /// Boots of the VM before the reboot.
        boots: u64,
        /// Platform's time at which the drain began, in milliseconds.
        began_ms: u64,
        /// Platform's time of the decision to reboot, in milliseconds.
        since_ms: u64,
    },
    /// Is told to take work again.
    Joining {
        /// Id of the resumption.
        operation: id::Operation,
        /// Platform's time of the decision, in milliseconds.
        since_ms: u64,
    },
    /// Drained and kept out by an operator's mark.
    Out,
}

/// An operator's mark on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mark {
    /// No maintenance and no move begins.
    Hold,
    /// Maintained next, also if it is not due.
    First,
    /// Drained and kept out until the mark is removed.
    Out,
}

/// Row `vm/VM`: the one pool that owns the VM, and what is being done to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub vm: id::Vm,
    /// Its pool.
    pub pool: id::Pool,
    /// Raised by one at each change of pool.
    pub generation: u64,
    /// Its stage.
    pub stage: Stage,
    /// Platform's time of the end of its last maintenance, in milliseconds; 0 if there was none.
    pub maintained_ms: u64,
    /// An operator's mark.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<Mark>,
}

impl Vm {
    /// The first row of a VM that the platform lists and the table does not know.
    pub fn first(listed: &platform::Vm) -> Self {
        Self {
            vm: listed.vm.clone(),
            pool: listed.home_pool.clone(),
            generation: 1,
            stage: Stage::InService,
            maintained_ms: 0,
            mark: None,
        }
    }
}

/// Absence that a pool has had in the current period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Platform's time at which the period began, in milliseconds.
    pub period_start_ms: u64,
    /// Runner-milliseconds of absence, of any cause.
    pub absent_ms: u64,
    /// Platform's time up to which absence is counted, in milliseconds.
    pub until_ms: u64,
}

impl Account {
    /// Counts the absence of `missing` runners up to `as_of_ms`, and starts a new period when the old one has passed.
    pub fn advance(&mut self, missing: u32, as_of_ms: u64, period_ms: u64) {
        if self.until_ms == 0 {
            self.period_start_ms = as_of_ms - as_of_ms % period_ms;
            self.until_ms = as_of_ms;
            return;
        }
        let end_ms = self.period_start_ms + period_ms;
        if as_of_ms >= end_ms {
            let periods = (as_of_ms - self.period_start_ms) / period_ms;
            self.period_start_ms += periods * period_ms;
            self.absent_ms = 0;
            self.until_ms = self.until_ms.max(self.period_start_ms);
        }
        let passed_ms = as_of_ms.saturating_sub(self.until_ms);
        self.absent_ms += u64::from(missing) * passed_ms;
        self.until_ms = self.until_ms.max(as_of_ms);
    }
}

/// Row `pool/POOL`: written by each transaction that takes a VM of the pool out of service.
///
/// Two holders that race can therefore not both spend the same headroom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool.
    pub pool: id::Pool,
    /// The service whose document names the pool, by which a renamed pool is recognised.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::Service>,
    /// Its absence in the current period.
    pub account: Account,
    /// Why its wave was paused when the row was written, for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub paused: Option<reason::Reason>,
}

impl Pool {
    /// The first row of a pool.
    pub fn first(pool: &id::Pool) -> Self {
        Self {
            pool: pool.clone(),
            service: None,
            account: Account::default(),
            paused: None,
        }
    }
}

/// A row that can't be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The content is not this shape.
    #[snafu(display("row {key} can't be read: {source}"))]
    Content {
        /// The row's key.
        key: id::Key,
        /// What the JSON reader says.
        source: serde_json::Error,
    },
}

/// The key of a VM's row.
pub fn vm_key(vm: &id::Vm) -> id::Key {
    id::Key::from(format!("{VM_PREFIX}{vm}"))
}

/// The key of a pool's row.
pub fn pool_key(pool: &id::Pool) -> id::Key {
    id::Key::from(format!("{POOL_PREFIX}{pool}"))
}

/// Reads a VM's row.
///
/// # Errors
///
/// [`Error::Content`] if the content is not a VM's row.
pub fn read_vm(row: &platform::Row) -> Result<Vm, Error> {
    serde_json::from_str(&row.value).context(ContentSnafu {
        key: row.key.clone(),
    })
}

/// Reads a pool's row.
///
/// # Errors
///
/// [`Error::Content`] if the content is not a pool's row.
pub fn read_pool(row: &platform::Row) -> Result<Pool, Error> {
    serde_json::from_str(&row.value).context(ContentSnafu {
        key: row.key.clone(),
    })
}
