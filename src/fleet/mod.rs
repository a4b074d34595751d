//! The fleet duty: one holder at a time that owns the rows of VMs and pools.
//!
//! A state machine around the decisions of [`crate::pool`] and [`crate::maintenance`]. The holder
//! of the duty's lease makes a [`planner::Planner`] with its epoch, feeds it [`Input`]s and carries out its
//! [`Output`]s. Nothing but rows is handed on: a successor reads them and resumes every intent.
//!
//! | stage of a VM | leaves it when |
//! |---|---|
//! | in service | a transaction that writes its row and its pool's row says so |
//! | leaving | all entry VMs acknowledged, its jobs are off, and the platform took the drain |
//! | rebooting | the platform lists it live with more boots than before |
//! | joining | the platform took the resumption and lists it live |
//! | out | the operator's mark is gone |

mod advance;
mod apply;
mod machine;
pub mod planner;
mod rename;
mod rows;
mod snapshot;
pub mod status;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::maintenance::reason;
use crate::pool::{moves, row};
use crate::{document, id, journal, platform, roster};

/// What the operators set for the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The duty's name, which intents carry.
    pub duty: id::Duty,
    /// The shared spare pool.
    pub spare_pool: id::Pool,
    /// Spare VMs that may be out for maintenance at once.
    pub spare_at_once: u32,
    /// How long an entry VM may go on without hearing table or peers, in milliseconds.
    pub isolation_ms: u64,
}

/// Identifies a transaction until its outcome is settled.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("txn-{_0}")]
pub struct Token(pub u64);

/// What the duty's shell has learnt.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// All rows of the duty, the pools' read before the VMs', both after the lease was won.
    Rows {
        /// Rows with the prefix [`row::POOL_PREFIX`].
        pools: &'a [platform::Row],
        /// Rows with the prefix [`row::VM_PREFIX`].
        vms: &'a [platform::Row],
    },
    /// The accepted documents, all of them.
    Documents(&'a [document::Document]),
    /// The platform's list.
    List(&'a platform::VmList),
    /// The newest roster.
    Roster(&'a [roster::NodeId]),
    /// An entry VM sends nothing new to a VM and has nothing in flight there.
    Acknowledged {
        /// The VM.
        vm: &'a id::Vm,
        /// The drain.
        operation: &'a id::Operation,
        /// The entry VM.
        member: &'a roster::NodeId,
    },
    /// The VM's jobs have been checkpointed and taken off.
    Vacated {
        /// The VM.
        vm: &'a id::Vm,
        /// The drain.
        operation: &'a id::Operation,
    },
    /// The platform has answered an effect with success.
    EffectDone {
        /// The VM.
        vm: &'a id::Vm,
        /// The effect's operation.
        operation: &'a id::Operation,
    },
    /// A transaction's outcome is settled.
    Settled {
        /// The transaction.
        token: Token,
        /// Its outcome.
        settled: &'a journal::Settled,
    },
    /// What a pool's service would use now.
    Demand {
        /// The pool.
        pool: &'a id::Pool,
        /// Thousandths of a runner.
        used_milli: u64,
    },
    /// An operator sets or clears a VM's mark.
    Mark {
        /// The VM.
        vm: &'a id::Vm,
        /// The new mark.
        mark: Option<row::Mark>,
    },
    /// Time has passed; given about once a second.
    Tick,
}

/// An effect on a VM at the platform.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Effect {
    /// Take no new work.
    Drain,
    /// Reboot.
    Reboot,
    /// Take work again.
    Resume,
}

/// What the duty's shell should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Commit a transaction under the duty's lease, and report its settled outcome.
    Commit {
        /// Identifies it.
        token: Token,
        /// The transaction, without the lease's check.
        txn: platform::Txn,
    },
    /// Read all rows again, pools first.
    Reload,
    /// Ask every entry VM to acknowledge that it has nothing in flight at a VM.
    Announce {
        /// The VM.
        vm: id::Vm,
        /// The drain.
        operation: id::Operation,
    },
    /// Have the VM's jobs checkpointed and taken off.
    Vacate {
        /// The VM.
        vm: id::Vm,
        /// The drain.
        operation: id::Operation,
    },
    /// Call the platform, if the lease still holds; a repeat does no harm.
    Effect {
        /// The VM.
        vm: id::Vm,
        /// What to do.
        effect: Effect,
        /// The decision behind it.
        intent: platform::Intent,
    },
    /// Something to count and to log.
    Event(Event),
}

/// Something that happened to the fleet, for counters and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A pool's wave was paused.
    Paused {
        /// The pool.
        pool: id::Pool,
        /// Why.
        reason: reason::Reason,
    },
    /// A pool's wave goes on, or is done.
    Resumed {
        /// The pool.
        pool: id::Pool,
    },
    /// A VM leaves service for maintenance.
    MaintenanceBegun {
        /// The VM.
        vm: id::Vm,
    },
    /// A VM is back from maintenance.
    Maintained {
        /// The VM.
        vm: id::Vm,
    },
    /// A VM leaves service to change pools.
    MoveBegun {
        /// The VM.
        vm: id::Vm,
        /// Why.
        cause: moves::Cause,
    },
    /// A VM has changed pools.
    Moved {
        /// The VM.
        vm: id::Vm,
    },
    /// A drain was given up, because the VM's pool had become short.
    DrainAbandoned {
        /// The VM.
        vm: id::Vm,
    },
    /// A drain takes longer than its document allows.
    DrainOverdue {
        /// The VM.
        vm: id::Vm,
    },
    /// A VM has not come back from its reboot in time.
    RebootOverdue {
        /// The VM.
        vm: id::Vm,
    },
    /// A transaction was refused, and the rows are read again.
    TxnRefused,
    /// A row could not be read and was passed over.
    RowUnreadable {
        /// The row's key.
        key: id::Key,
    },
}
