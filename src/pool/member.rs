//! A VM of a pool as the decisions see it: its row joined with the platform's list.

use slotmap::new_key_type;

use crate::pool::row;
use crate::{clock, id};

new_key_type! {
    /// Handle of a VM in the fleet's state.
    pub struct Key;
}

/// A VM that has not come back from a reboot for this long is counted as lost.
pub const REBOOT_LIMIT_MS: u64 = 15 * clock::MINUTE_MS;

/// One VM.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Its handle.
    pub key: Key,
    /// Its row.
    pub row: &'a row::Vm,
    /// Its rack; `None` if the platform no longer lists it.
    pub rack: Option<&'a id::Rack>,
    /// Its data centre.
    pub data_centre: Option<&'a id::DataCentre>,
    /// True if the platform's newest list says that it is live.
    pub live: bool,
    /// How long the lists have said that it is not live, in milliseconds of the platform's time.
    pub down_ms: u64,
    /// True while a transaction that writes its row is not settled.
    pub busy: bool,
}

impl Member<'_> {
    /// Tells whether it takes work.
    pub fn in_service(&self) -> bool {
        self.live && !self.busy && self.row.stage == row::Stage::InService
    }

    /// Tells whether a planned step may begin on it.
    pub fn may_leave(&self) -> bool {
        self.in_service() && self.row.mark != Some(row::Mark::Hold)
    }

    /// Tells whether it is out for maintenance, or about to be.
    pub fn in_maintenance(&self) -> bool {
        match &self.row.stage {
            row::Stage::Leaving { purpose, .. } => *purpose == row::Purpose::Maintain,
            row::Stage::Rebooting { .. } => true,
            row::Stage::InService | row::Stage::Joining { .. } | row::Stage::Out => false,
        }
    }

    /// The pool that it is moving to.
    pub fn moving_to(&self) -> Option<&id::Pool> {
        match &self.row.stage {
            row::Stage::Leaving {
                purpose: row::Purpose::Move { to },
                ..
            } => Some(to),
            _ => None,
        }
    }

    /// Tells whether it has not come back from its reboot in time.
    pub fn lost_in_reboot(&self, as_of_ms: u64) -> bool {
        match self.row.stage {
            row::Stage::Rebooting { since_ms, .. } => {
                as_of_ms.saturating_sub(since_ms) > REBOOT_LIMIT_MS
            }
            _ => false,
        }
    }

    /// Tells whether it serves its pool now or will before long.
    ///
    /// `patience_ms` is how long a failed VM is waited for.
    pub fn expected(&self, as_of_ms: u64, patience_ms: u64) -> bool {
        match &self.row.stage {
            row::Stage::InService => self.down_ms <= patience_ms,
            row::Stage::Joining { since_ms, .. } => {
                as_of_ms.saturating_sub(*since_ms) <= patience_ms && self.down_ms <= patience_ms
            }
            row::Stage::Leaving { purpose, .. } => {
                *purpose == row::Purpose::Maintain && self.down_ms <= patience_ms
            }
            row::Stage::Rebooting { .. } => !self.lost_in_reboot(as_of_ms),
            row::Stage::Out => false,
        }
    }

    /// Tells whether it is due in the period that began at `period_start_ms`.
    pub fn due(&self, period_start_ms: u64) -> bool {
        self.row.mark == Some(row::Mark::First) || self.row.maintained_ms <= period_start_ms
    }
}
