//! Whether one more VM may leave service by decision.
//!
//! Two ways are open. Either the loss of the pool's largest failure domain still leaves `min_runners`; or
//! the pool has a VM beyond what its documents ask, so that nothing is absent, and the loss of a
//! domain leaves no less than it would leave of the whole pool. The second way serves pools whose documents ask
//! for less than the reserve: a lent VM stands in for the one that leaves.

use crate::maintenance::reason;
use crate::pool::{member, spec, strength};

/// What a pool must keep.
#[derive(Clone, Copy, Debug)]
pub struct Headroom<'a> {
    /// What the documents ask.
    pub spec: &'a spec::Spec,
    /// The failure domain that is covered.
    pub cover: strength::Cover,
    /// VMs of the largest domain when every VM is in service.
    pub nominal_worst: u32,
}

impl Headroom<'_> {
    /// Checks that a VM may leave service.
    ///
    /// # Errors
    ///
    /// [`reason::Reason::MinRunners`] or [`reason::Reason::DomainReserve`], which say what is lacking.
    pub fn check(
        &self,
        strength: &strength::Strength<'_>,
        candidate: &member::Member<'_>,
    ) -> Result<(), reason::Reason> {
        let after = strength.in_service.saturating_sub(1);
        if after < self.spec.min_runners {
            return Err(reason::Reason::MinRunners);
        }
        let left = strength.left_without(candidate, self.cover);
        let reserve_kept = left >= self.spec.min_runners;
        let whole_left = self.spec.runners.saturating_sub(self.nominal_worst);
        let replaced = after >= self.spec.runners && left >= whole_left;
        match reserve_kept || replaced {
            true => Ok(()),
            false => Err(reason::Reason::DomainReserve),
        }
    }

    /// Tells whether the whole pool of the documents keeps the reserve with one VM out.
    pub fn bears_step(&self) -> bool {
        self.spec.min_runners + self.nominal_worst < self.spec.runners
    }
}
