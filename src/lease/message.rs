//! Rows, grants and actions of leases.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::platform;
use crate::roster;

/// A duty's row in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The node that may act.
    pub holder: roster::NodeId,
    /// Raised by one at each change of holder; older epochs are refused.
    pub epoch: u64,
    /// Length of the lease, in milliseconds from before the renewal was sent.
    pub lease_ms: u64,
}

/// The right to act for a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The duty.
    pub duty: id::Duty,
    /// Its epoch, which every effect outside the table carries.
    pub epoch: u64,
    /// The check that every transaction of the duty carries.
    pub check: platform::Check,
}

/// What the shell has to do for the leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call [`crate::journal::Writer::want_renewal`].
    Renew,
    /// Read the range [`super::prefix`] and call [`super::Leases::on_rows`].
    ReadRows,
    /// Read the node's journal row and call [`super::Leases::on_journal`].
    ReadJournal(roster::NodeId),
    /// Submit the transaction to the journal and call [`super::Leases::on_settled`].
    Change {
        /// The duty whose holder changes.
        duty: id::Duty,
        /// The transaction.
        txn: platform::Txn,
    },
}
