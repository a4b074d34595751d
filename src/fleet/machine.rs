//! A VM and a pool as the holder keeps them in memory.

use std::collections::BTreeSet;

use crate::fleet;
use crate::maintenance::reason;
use crate::pool::{demand, member, row, spec};
use crate::{clock, id, platform, roster};

/// A VM.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its row.
    pub row: row::Vm,
    /// Its row's version; 0 while it has none.
    pub version: u64,
    /// What the newest list says.
    pub listed: Option<platform::Vm>,
    /// Platform's time of the first list that said that it is down.
    pub down_since_ms: Option<u64>,
    /// The transaction that writes its row.
    pub pending: Option<fleet::Token>,
    /// Progress of its stage.
    pub progress: Progress,
}

/// What this holder has seen of a stage; a successor starts anew.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// When its outputs were last given.
    pub sent_at: Option<clock::Instant>,
    /// Platform's time of the newest list when the platform took the effect.
    pub done_as_of_ms: Option<u64>,
    /// Entry VMs that have nothing in flight.
    pub acks: BTreeSet<roster::NodeId>,
    /// True if its jobs are off.
    pub vacated: bool,
    /// True if operators were told that it takes long.
    pub told: bool,
}

impl Machine {
    /// Makes a VM from its row.
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

    /// Replaces its row.
    pub fn set_row(&mut self, row: row::Vm, version: u64) {
        if row.stage != self.row.stage {
            self.progress = Progress::default();
        }
        self.row = row;
        self.version = version;
    }

    /// Takes in what a list of `as_of_ms` says.
    pub fn observe(&mut self, listed: Option<&platform::Vm>, as_of_ms: u64) {
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

    /// Tells whether the newest list says that it is live.
    pub fn live(&self) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|vm| vm.state == platform::VmState::Live)
    }

    /// The VM as the decisions see it.
    pub fn member(&self, key: member::Key, as_of_ms: u64) -> member::Member<'_> {
        let listed = self.listed.as_ref();
        let since = self.down_since_ms;
        member::Member {
            key,
            row: &self.row,
            rack: listed.map(|vm| &vm.rack),
            data_centre: listed.map(|vm| &vm.data_centre),
            live: self.live(),
            down_ms: since.map_or(0, |since| as_of_ms.saturating_sub(since)),
            busy: self.pending.is_some(),
        }
    }

    /// The operation of its stage.
    pub fn operation(&self) -> Option<&id::Operation> {
        match &self.row.stage {
            row::Stage::Leaving { operation, .. }
            | row::Stage::Rebooting { operation, .. }
            | row::Stage::Joining { operation, .. } => Some(operation),
            row::Stage::InService | row::Stage::Out => None,
        }
    }
}

/// A pool.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its row, with the account as counted in memory.
    pub row: row::Pool,
    /// Its row's version; 0 while it has none.
    pub version: u64,
    /// Absence that the stored row has, in runner-milliseconds, and its end of counting.
    pub stored: row::Account,
    /// What documents ask of it.
    pub spec: spec::Spec,
    /// Its sustained demand.
    pub demand: demand::Demand,
    /// The transaction that writes its row.
    pub pending: Option<fleet::Token>,
    /// Why its wave is paused.
    pub reason: Option<reason::Reason>,
    /// Platform's time since which it has had more VMs than it needs.
    pub surplus_since_ms: Option<u64>,
}

impl Pool {
    /// Makes a pool from its row.
    pub fn new(row: row::Pool, version: u64) -> Self {
        Self {
            stored: row.account,
            row,
            version,
            spec: spec::Spec::unnamed(spec::Role::Orphan, 0, 1),
            demand: demand::Demand::default(),
            pending: None,
            reason: None,
            surplus_since_ms: None,
        }
    }

    /// Its row as it is to be written next.
    pub fn next_row(&self) -> row::Pool {
        let mut row = self.row.clone();
        row.service = self.spec.service.clone().or(row.service);
        row.paused = self.reason;
        row
    }
}
