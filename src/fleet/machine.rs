//! State of a VM and of a pool in the memory of the duty's leader.

use std::collections::BTreeSet;

use crate::fleet;
use crate::maintenance::reason;
use crate::pool::{demand, member, row, spec};
use crate::{clock, id, platform, roster};

/// A VM: its row, what the platform lists, and the progress of its stage.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Row as last read or written.
    pub row: row::Vm,
    /// Version of the row; 0 while it has none.
    pub version: u64,
    /// Entry of the newest list; `None` if the platform does not list the VM.
    pub listed: Option<platform::Vm>,
    /// Platform time of the first list that showed the VM as down, in milliseconds.
    pub down_since_ms: Option<u64>,
    /// Unsettled transaction that writes the row.
    pub pending: Option<fleet::Token>,
    /// Progress of the current stage.
    pub progress: Progress,
}

/// Progress of a stage as this leader has observed it; a new leader starts with none.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// When the stage's outputs were last sent.
    pub sent_at: Option<clock::Instant>,
    /// Platform time of the newest list when the platform accepted the effect, in milliseconds.
    pub done_as_of_ms: Option<u64>,
    /// Entry VMs that have acknowledged that they have nothing in flight.
    pub acks: BTreeSet<roster::NodeId>,
    /// True once the VM's jobs have been checkpointed and evicted.
    pub jobs_evicted: bool,
    /// True once operators have been notified that the stage is overdue.
    pub overdue_reported: bool,
}

impl Machine {
    /// Creates a VM from its row.
    pub fn new(row: row::Vm, version: u64) -> Self {
        Self {
            row,
            version,
            listed: None,
            down_since_ms: None,
            pending: None,
            progress: Progress::default(),
        }
    }

    /// Replaces the row, and resets the progress if the stage differs.
    pub fn set_row(&mut self, row: row::Vm, version: u64) {
        if row.stage != self.row.stage {
            self.progress = Progress::default();
        }
        self.row = row;
        self.version = version;
    }

    /// Records what the list of `as_of_ms` says about the VM; `None` if it is not listed.
    pub fn apply_listing(&mut self, listed: Option<&platform::Vm>, as_of_ms: u64) {
        self.listed = listed.cloned();
        let state = listed.map(|vm| vm.state);
        let down = match &self.row.stage {
            row::Stage::InService => state != Some(platform::VmState::Live),
            _ => matches!(state, None | Some(platform::VmState::Failed)),
        };
        self.down_since_ms = match (down, self.down_since_ms) {
            (false, _) => None,
            (true, None) => Some(as_of_ms),
            (true, since) => since,
        };
    }

    /// Returns true if the newest list shows the VM as live.
    pub fn is_live(&self) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|vm| vm.state == platform::VmState::Live)
    }

    /// Returns the view of the VM that decisions are based on.
    pub fn member(&self, key: member::Key, as_of_ms: u64) -> member::Member<'_> {
        let listed = self.listed.as_ref();
        let since = self.down_since_ms;
        member::Member {
            key,
            row: &self.row,
            rack: listed.map(|vm| &vm.rack),
            data_centre: listed.map(|vm| &vm.data_centre),
            live: self.is_live(),
            down_ms: since.map_or(0, |since| as_of_ms.saturating_sub(since)),
            write_pending: self.pending.is_some(),
        }
    }

    /// Returns the operation of the current stage, if it has one.
    pub fn operation(&self) -> Option<&id::Operation> {
        match &self.row.stage {
            row::Stage::Leaving { operation, .. }
            | row::Stage::Rebooting { operation, .. }
            | row::Stage::Joining { operation, .. } => Some(operation),
            row::Stage::InService | row::Stage::Out => None,
        }
    }
}

/// A pool: its row, its spec and what the leader tracks for it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Row, with the account as counted in memory.
    pub row: row::Pool,
    /// Version of the row; 0 while it has none.
    pub version: u64,
    /// Account in the stored row: absence in runner-milliseconds, and the time up to which it is
    /// counted.
    pub stored: row::Account,
    /// Requirements from the documents.
    pub spec: spec::Spec,
    /// Sustained demand of the pool's service.
    pub demand: demand::Demand,
    /// Unsettled transaction that writes the row.
    pub pending: Option<fleet::Token>,
    /// Why the pool's wave is paused; `None` if it is not.
    pub reason: Option<reason::Reason>,
    /// Platform time since which the pool has had more VMs than it needs, in milliseconds.
    pub surplus_since_ms: Option<u64>,
}

impl Pool {
    /// Creates a pool from its row, with the spec of a pool that no document names.
    pub fn new(row: row::Pool, version: u64) -> Self {
        Self {
            stored: row.account,
            row,
            version,
            spec: spec::Spec::without_documents(spec::Role::Orphan, 0, 1),
            demand: demand::Demand::default(),
            pending: None,
            reason: None,
            surplus_since_ms: None,
        }
    }

    /// Returns the row to be written next.
    pub fn next_row(&self) -> row::Pool {
        let mut row = self.row.clone();
        row.service = self.spec.service.clone().or(row.service);
        row.paused = self.reason;
        row
    }
}
