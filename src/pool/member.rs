//! A VM of a pool for decisions: its row joined with the platform's list.

use slotmap::new_key_type;

use crate::pool::row;
use crate::{clock, id};

new_key_type! {
    /// Key of a VM in the fleet's state.
    pub struct Key;
}

/// A VM that has not come back from a reboot for this long counts as lost, in milliseconds.
pub const REBOOT_LIMIT_MS: u64 = 15 * clock::MINUTE_MS;

/// A VM with its row and its entry in the platform's list.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Key in the fleet's state.
    pub key: Key,
    /// Row of the VM.
    pub row: &'a row::Vm,
    /// Rack; `None` if the platform no longer lists the VM.
    pub rack: Option<&'a id::Rack>,
    /// Data centre; `None` if the platform no longer lists the VM.
    pub data_centre: Option<&'a id::DataCentre>,
    /// True if the platform's newest list shows the VM as live.
    pub live: bool,
    /// How long the lists have shown the VM as down, in milliseconds of platform time.
    pub down_ms: u64,
    /// True while a transaction that writes the VM's row is not settled.
    pub write_pending: bool,
}

impl Member<'_> {
    /// Returns true if the VM takes work.
    pub fn in_service(&self) -> bool {
        self.live && !self.write_pending && self.row.stage == row::Stage::InService
    }

    /// Returns true if a planned step can begin on the VM.
    pub fn can_leave_service(&self) -> bool {
        self.in_service() && self.row.mark != Some(row::Mark::Hold)
    }

    /// Returns true if the VM is out for maintenance, or draining for it.
    pub fn in_maintenance(&self) -> bool {
        match &self.row.stage {
            row::Stage::Leaving { purpose, .. } => *purpose == row::Purpose::Maintain,
            row::Stage::Rebooting { .. } => true,
            row::Stage::InService | row::Stage::Joining { .. } | row::Stage::Out => false,
        }
    }

    /// Returns the pool that the VM is moving to, if any.
    pub fn moving_to(&self) -> Option<&id::Pool> {
        match &self.row.stage {
            row::Stage::Leaving {
                purpose: row::Purpose::Move { to },
                ..
            } => Some(to),
            _ => None,
        }
    }

    /// Returns true if the VM has not come back from its reboot in time.
    pub fn is_reboot_overdue(&self, as_of_ms: u64) -> bool {
        match self.row.stage {
            row::Stage::Rebooting { since_ms, .. } => {
                as_of_ms.saturating_sub(since_ms) > REBOOT_LIMIT_MS
            }
            _ => false,
        }
    }

    /// Returns true if the VM serves its pool now or soon will.
    ///
    /// A failed VM is expected back for `replace_after_ms`.
    pub fn is_expected(&self, as_of_ms: u64, replace_after_ms: u64) -> bool {
        match &self.row.stage {
            row::Stage::InService => self.down_ms <= replace_after_ms,
            row::Stage::Joining { since_ms, .. } => {
                as_of_ms.saturating_sub(*since_ms) <= replace_after_ms
                    && self.down_ms <= replace_after_ms
            }
            row::Stage::Leaving { purpose, .. } => {
                *purpose == row::Purpose::Maintain && self.down_ms <= replace_after_ms
            }
            row::Stage::Rebooting { .. } => !self.is_reboot_overdue(as_of_ms),
            row::Stage::Out => false,
        }
    }

    /// Returns true if the VM is still to be maintained in the period that began at
    /// `period_start_ms`.
    pub fn is_due(&self, period_start_ms: u64) -> bool {
        self.row.mark == Some(row::Mark::First) || self.row.maintained_ms <= period_start_ms
    }
}
