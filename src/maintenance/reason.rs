//! Reasons why no step of a wave begins; each has a counter.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a pool's wave is paused. The wave continues without intervention once the reason no longer
/// applies.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// The document pauses maintenance, or allows no VM out.
    PausedByDocument,
    /// The number of VMs in service is at or below `min_runners`.
    MinRunners,
    /// A step would use the reserve for the largest failure domain.
    DomainReserve,
    /// Absence from all causes has used up the period's budget.
    AbsenceBudget,
    /// All VMs that are due are down, held or changing pools.
    VmsNotReady,
    /// The pool is too small, and no spare VM can be lent to it now.
    SpareExhausted,
    /// Several VMs have recently not come back from their reboots.
    RebootsFailing,
    /// The platform's list of VMs has stopped advancing.
    ListStale,
    /// The table does not respond.
    TableOut,
    /// The roster is unknown, so no drain can be proven complete.
    RosterUnknown,
}
