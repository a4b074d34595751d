//! Why no step of a wave begins; each is a counter.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a pool's wave is paused. It goes on by itself when the reason has passed.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// The document pauses maintenance, or lets no VM out.
    PausedByDocument,
    /// Fewer VMs are in service than `min_runners`, or just as many.
    MinRunners,
    /// A step would spend the reserve for the largest failure domain.
    DomainReserve,
    /// Absence of any cause has spent the period's budget.
    AbsenceBudget,
    /// Only VMs that are down, held or changing pools are due.
    VmsNotReady,
    /// The pool is too tight, and no spare VM can be lent to it now.
    SpareExhausted,
    /// Several VMs have lately not come back from their reboots.
    RebootsFailing,
    /// The platform's list of VMs has stopped advancing.
    ListStale,
    /// The table does not answer.
    TableOut,
    /// The roster is not known, so that no drain could be proven.
    RosterUnknown,
}
