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
    /// To be rebooted for maintenance.
    Maintain,
    /// To join another pool.
    Move {
        /// Pool that the VM joins.
        to: id::Pool,
    },
    /// To stay out of service because an operator marked it.
    TakeOut,
}

/// Stage of a VM; each stage but the first is an intent that the next leader resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "stage")]
pub enum Stage {
    /// Takes work if the platform lists it as live.
    InService,
    /// Draining: takes no new work and finishes what is in flight.
    Leaving {
        /// Id of the drain.
        operation: id::Operation,
        /// What follows the drain.
        purpose: Purpose,
        /// Platform time of the decision, in milliseconds.
        since_ms: u64,
    },
    /// Rebooting, after the drain has been proven complete.
    Rebooting {
        /// Id of the reboot.
        operation: id::Operation,
        /// Boot count before the reboot.
        boots: u64,
        /// Platform time at which the drain began, in milliseconds.
        began_ms: u64,
        /// Platform time of the decision to reboot, in milliseconds.
        since_ms: u64,
    },
    /// Being resumed to take work again.
    Joining {
        /// Id of the resumption.
        operation: id::Operation,
        /// Platform time of the decision, in milliseconds.
        since_ms: u64,
    },
    /// Drained and kept out of service by an operator's mark.
    Out,
}

/// An operator's mark on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mark {
    /// No maintenance and no move begins.
    Hold,
    /// Maintained next, even if it is not due.
    First,
    /// Drained and kept out of service until the mark is removed.
    Out,
}

/// Row `vm/VM`: the one pool that owns the VM, and the VM's stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Pool that owns the VM.
    pub pool: id::Pool,
    /// Number of the VM's current pool assignment; raised by one when the VM changes pools.
    pub generation: u64,
    /// Current stage.
    pub stage: Stage,
    /// Platform time at which the last maintenance ended, in milliseconds; 0 if there was none.
    pub maintained_ms: u64,
    /// Operator's mark; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<Mark>,
}

impl Vm {
    /// Returns the first row of a VM that the platform lists and the table does not have.
    pub fn initial(listed: &platform::Vm) -> Self {
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

/// Absence that a pool has accumulated in the current period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Platform time at which the period began, in milliseconds.
    pub period_start_ms: u64,
    /// Absence from any cause, in runner-milliseconds.
    pub absent_ms: u64,
    /// Platform time up to which absence is counted, in milliseconds.
    pub until_ms: u64,
}

impl Account {
    /// Counts the absence of `missing` runners up to `as_of_ms`, and starts a new period once the
    /// current one has passed.
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
        let elapsed_ms = as_of_ms.saturating_sub(self.until_ms);
        self.absent_ms += u64::from(missing) * elapsed_ms;
        self.until_ms = self.until_ms.max(as_of_ms);
    }
}

/// Row `pool/POOL`: written by each transaction that takes a VM of the pool out of service.
///
/// Two concurrent leaders can therefore not both use the same headroom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub pool: id::Pool,
    /// Service whose document names the pool; identifies a renamed pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::Service>,
    /// Absence in the current period.
    pub account: Account,
    /// Why the wave was paused when the row was written, for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub paused: Option<reason::Reason>,
}

impl Pool {
    /// Returns the first row of a pool.
    pub fn initial(pool: &id::Pool) -> Self {
        Self {
            pool: pool.clone(),
            service: None,
            account: Account::default(),
            paused: None,
        }
    }
}

/// Error of a row that cannot be parsed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The value is not a valid row.
    #[snafu(display("row {key} can't be read: {source}"))]
    Content {
        /// Key of the row.
        key: id::Key,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Returns the key of a VM's row.
pub fn vm_key(vm: &id::Vm) -> id::Key {
    id::Key::from(format!("{VM_PREFIX}{vm}"))
}

/// Returns the key of a pool's row.
pub fn pool_key(pool: &id::Pool) -> id::Key {
    id::Key::from(format!("{POOL_PREFIX}{pool}"))
}

/// Parses a VM's row.
///
/// # Errors
///
/// [`Error::Content`] if the value is not a VM's row.
pub fn read_vm(row: &platform::Row) -> Result<Vm, Error> {
    serde_json::from_str(&row.value).context(ContentSnafu {
        key: row.key.clone(),
    })
}

/// Parses a pool's row.
///
/// # Errors
///
/// [`Error::Content`] if the value is not a pool's row.
pub fn read_pool(row: &platform::Row) -> Result<Pool, Error> {
    serde_json::from_str(&row.value).context(ContentSnafu {
        key: row.key.clone(),
    })
}
