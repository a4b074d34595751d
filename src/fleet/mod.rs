//! The fleet duty: one leader at a time owns the rows of VMs and pools.
//!
//! This is a state machine around the decisions of [`crate::pool`] and [`crate::maintenance`]. The
//! node that holds the duty's lease creates a [`planner::Planner`] with the lease's epoch, passes
//! it [`Input`]s and carries out its [`Output`]s. All state that outlives a leader is in the rows:
//! the next leader reads them and resumes every intent.
//!
//! | stage of a VM | ends when |
//! |---|---|
//! | in service | a transaction that writes its row and its pool's row ends it |
//! | leaving | all entry VMs have acknowledged, its jobs are evicted, and the platform has accepted the drain |
//! | rebooting | the platform lists it as live with more boots than before |
//! | joining | the platform has accepted the resumption and lists it as live |
//! | out | the operator's mark is removed |

mod advance;
mod decide;
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

/// Operators' settings for the fleet duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the duty, which intents carry.
    pub duty: id::Duty,
    /// Pool of spare VMs that all services share.
    pub spare_pool: id::Pool,
    /// Most spare VMs that can be out for maintenance at once.
    pub spare_at_once: u32,
    /// Longest time that an entry VM serves without contact to the table or its peers, in
    /// milliseconds.
    pub isolation_ms: u64,
}

/// Identifies a transaction until its outcome is settled.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("txn-{_0}")]
pub struct Token(pub u64);

/// Event that the caller passes to the planner.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// All rows of the duty; the pools' rows are read before the VMs', and both after the lease was
    /// acquired.
    Rows {
        /// Rows with the prefix [`row::POOL_PREFIX`].
        pools: &'a [platform::Row],
        /// Rows with the prefix [`row::VM_PREFIX`].
        vms: &'a [platform::Row],
    },
    /// All accepted documents.
    Documents(&'a [document::Document]),
    /// A list of VMs from the platform.
    List(&'a platform::VmList),
    /// The members of the newest roster.
    Roster(&'a [roster::NodeId]),
    /// An entry VM sends no new requests to a VM and has none in flight there.
    Acknowledged {
        /// VM that is being drained.
        vm: &'a id::Vm,
        /// Id of the drain.
        operation: &'a id::Operation,
        /// Entry VM that acknowledges.
        member: &'a roster::NodeId,
    },
    /// The VM's jobs have been checkpointed and evicted.
    Vacated {
        /// VM that is being drained.
        vm: &'a id::Vm,
        /// Id of the drain.
        operation: &'a id::Operation,
    },
    /// The platform has accepted an effect.
    EffectDone {
        /// VM that the effect applies to.
        vm: &'a id::Vm,
        /// Operation of the effect.
        operation: &'a id::Operation,
    },
    /// The outcome of a transaction is settled.
    Settled {
        /// Token of the transaction's [`Output::Commit`].
        token: Token,
        /// Outcome of the transaction.
        settled: &'a journal::Settled,
    },
    /// Current demand of a pool's service.
    Demand {
        /// Pool that serves the demand.
        pool: &'a id::Pool,
        /// Demand, in thousandths of a runner.
        used_milli: u64,
    },
    /// An operator sets or clears a VM's mark.
    Mark {
        /// VM to mark.
        vm: &'a id::Vm,
        /// New mark; `None` clears it.
        mark: Option<row::Mark>,
    },
    /// Time has passed; sent about once a second.
    Tick,
}

/// Call to the platform that changes a VM.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Effect {
    /// Stop sending new work to the VM.
    Drain,
    /// Reboot the VM.
    Reboot,
    /// Send work to the VM again.
    Resume,
}

/// Action that the caller carries out for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Commit a transaction under the duty's lease, and report its settled outcome.
    Commit {
        /// Identifies the transaction in [`Input::Settled`].
        token: Token,
        /// The transaction, without the check of the lease.
        txn: platform::Txn,
    },
    /// Read all rows again, pools first.
    Reload,
    /// Ask every entry VM to acknowledge that it has nothing in flight at a VM.
    Announce {
        /// VM that is being drained.
        vm: id::Vm,
        /// Id of the drain.
        operation: id::Operation,
    },
    /// Checkpoint and evict the VM's jobs.
    Vacate {
        /// VM that is being drained.
        vm: id::Vm,
        /// Id of the drain.
        operation: id::Operation,
    },
    /// Call the platform if the lease is still held; a repeated call has no further effect.
    Effect {
        /// VM to change.
        vm: id::Vm,
        /// Change to make.
        effect: Effect,
        /// Operation, duty and epoch of the decision behind the call.
        intent: platform::Intent,
    },
    /// Event to count and log.
    Event(Event),
}

/// Event of the fleet, for counters and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A pool's wave has paused.
    Paused {
        /// Pool of the wave.
        pool: id::Pool,
        /// Why the wave has paused.
        reason: reason::Reason,
    },
    /// A pool's wave continues or is done.
    Resumed {
        /// Pool of the wave.
        pool: id::Pool,
    },
    /// A VM begins to drain for maintenance.
    MaintenanceBegun {
        /// VM to maintain.
        vm: id::Vm,
    },
    /// A VM is back from maintenance.
    Maintained {
        /// VM that was maintained.
        vm: id::Vm,
    },
    /// A VM begins to drain to change pools.
    MoveBegun {
        /// VM to move.
        vm: id::Vm,
        /// Why the VM is moved.
        cause: moves::Cause,
    },
    /// A VM has changed pools.
    Moved {
        /// VM that was moved.
        vm: id::Vm,
    },
    /// A drain was abandoned because the VM's pool had become short of runners.
    DrainAbandoned {
        /// VM whose drain was abandoned.
        vm: id::Vm,
    },
    /// A drain takes longer than the pool's documents allow.
    DrainOverdue {
        /// VM that is being drained.
        vm: id::Vm,
    },
    /// A VM has not come back from its reboot in time.
    RebootOverdue {
        /// VM that was rebooted.
        vm: id::Vm,
    },
    /// A transaction was refused, so all rows are read again.
    TxnRefused,
    /// A row could not be parsed and was skipped.
    RowUnreadable {
        /// Key of the row.
        key: id::Key,
    },
}
