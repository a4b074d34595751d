//! Checks whether one more VM can leave service by a planned step.
//!
//! A step is allowed in two cases. Either the loss of the pool's largest failure domain still
//! leaves `min_runners`; or the pool has a VM beyond what its documents require, so that no runner
//! is absent, and the loss of a domain leaves no fewer VMs than it would leave of the complete
//! pool. The second case is for pools whose documents require less than the reserve: a lent VM
//! replaces the one that leaves.

use crate::maintenance::reason;
use crate::pool::{domain, member, spec};

/// Headroom that a pool must keep.
#[derive(Clone, Copy, Debug)]
pub struct Headroom<'a> {
    /// Requirements from the documents.
    pub spec: &'a spec::Spec,
    /// Failure domain whose loss is covered.
    pub cover: domain::Cover,
    /// VMs of the largest domain when every VM is in service.
    pub nominal_largest: u32,
}

impl Headroom<'_> {
    /// Checks that a VM can leave service.
    ///
    /// # Errors
    ///
    /// [`reason::Reason::MinRunners`] or [`reason::Reason::DomainReserve`], whichever limit
    /// prevents it.
    pub fn check(
        &self,
        counts: &domain::Counts<'_>,
        candidate: &member::Member<'_>,
    ) -> Result<(), reason::Reason> {
        let after = counts.in_service.saturating_sub(1);
        if after < self.spec.min_runners {
            return Err(reason::Reason::MinRunners);
        }
        let remaining = counts.remaining_after_loss_without(candidate, self.cover);
        let reserve_kept = remaining >= self.spec.min_runners;
        let nominal_remaining = self.spec.runners.saturating_sub(self.nominal_largest);
        let replaced = after >= self.spec.runners && remaining >= nominal_remaining;
        match reserve_kept || replaced {
            true => Ok(()),
            false => Err(reason::Reason::DomainReserve),
        }
    }

    /// Returns true if the complete pool of the documents keeps the reserve with one VM out.
    pub fn permits_step(&self) -> bool {
        self.spec.min_runners + self.nominal_largest < self.spec.runners
    }
}
