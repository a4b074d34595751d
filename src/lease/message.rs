//! Rows, grants and requested actions of leases.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::platform;
use crate::roster;

/// A duty's row in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Lease holder: the node that can act for the duty.
    pub holder: roster::NodeId,
    /// Fencing epoch, raised by one at each change of holder; effects with older epochs are refused.
    pub epoch: u64,
    /// Length of the lease, in milliseconds, counted from before the renewal was sent.
    pub lease_ms: u64,
}

/// The right to act for a duty, valid while [`super::Leases::still_holds`] confirms it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Duty that the node holds.
    pub duty: id::Duty,
    /// Fencing epoch, which every effect outside the table carries.
    pub epoch: u64,
    /// Check that every transaction of the duty carries.
    pub check: platform::Check,
}

/// An action that the caller of [`super::Leases::poll`] has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call [`crate::journal::Writer::request_renewal`].
    Renew,
    /// Read the range [`super::prefix`] and call [`super::Leases::on_rows`].
    ReadRows,
    /// Read the node's journal row and call [`super::Leases::on_journal`].
    ReadJournal(roster::NodeId),
    /// Submit the transaction to the journal and call [`super::Leases::on_settled`].
    Change {
        /// Duty whose holder changes.
        duty: id::Duty,
        /// Transaction that changes the duty's row.
        txn: platform::Txn,
    },
}
