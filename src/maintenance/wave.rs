//! Decides the next step of a pool's wave.
//!
//! VMs are taken from the failure domain whose absence leaves most VMs in service. The wave thus
//! completes one domain after the other, so that the loss of another domain hits a pool that is
//! complete outside the current one.

use crate::clock;
use crate::maintenance::{headroom, reason};
use crate::pool::{domain, member, row, spec};

/// Assumed duration of a step until one has been measured, in milliseconds.
pub const STEP_DEFAULT_MS: u64 = 10 * clock::MINUTE_MS;

/// View of a pool for the decision on its wave.
#[derive(Clone, Copy, Debug)]
pub struct PoolView<'a> {
    /// Headroom that the pool must keep, with the requirements from the documents.
    pub headroom: headroom::Headroom<'a>,
    /// Absence in the current period.
    pub account: &'a row::Account,
    /// VMs that the pool owns.
    pub members: &'a [member::Member<'a>],
    /// Platform time of the newest list, in milliseconds.
    pub as_of_ms: u64,
    /// Expected duration of a drain with its reboot, in milliseconds.
    pub step_ms: u64,
}

/// VMs that a wave borrows from the spare pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loan {
    /// VMs without which no VM can be out.
    pub needed: u32,
    /// VMs with which as many VMs can be out as the document allows.
    pub desired: u32,
}

/// Next step of a pool's wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Every VM has been maintained in this period.
    Done,
    /// These VMs leave service now.
    Begin(Vec<member::Key>),
    /// The allowed number of VMs is out; the wave continues when one is back.
    Running,
    /// No VM is out, and none can leave service.
    Paused(reason::Reason),
}

impl<'a> PoolView<'a> {
    /// Returns the VMs that are due and not yet out.
    pub fn due(&self) -> impl Iterator<Item = &'a member::Member<'a>> + use<'a> {
        let period_start_ms = self.account.period_start_ms;
        self.members
            .iter()
            .filter(move |member| member.is_due(period_start_ms) && !member.in_maintenance())
    }

    /// Returns the next step.
    pub fn next_step(&self) -> Step {
        if self.due().next().is_none() {
            return self.step_without_due();
        }
        match self.choose_vms() {
            Ok(chosen) => Step::Begin(chosen),
            Err(_) if self.out_count() > 0 => Step::Running,
            Err(reason) => Step::Paused(reason),
        }
    }

    /// Returns the VMs that the wave borrows.
    ///
    /// This is computed from documents and rows alone, so that the next leader gets the same
    /// number.
    pub fn loan(&self) -> Loan {
        let spec = self.headroom.spec;
        let is_held = |member: &member::Member<'_>| member.row.mark == Some(row::Mark::Hold);
        let is_active = self.out_count() > 0 || self.due().any(|member| !is_held(member));
        let budget_spent = self.account.absent_ms >= spec.absence_budget_ms;
        if spec.role != spec::Role::Service || spec.paused || budget_spent || !is_active {
            return Loan::default();
        }
        let exceeds_budget = self.account.absent_ms + self.step_ms > spec.absence_budget_ms;
        match exceeds_budget || !self.headroom.permits_step() {
            true => Loan {
                needed: 1,
                desired: spec.max_at_once.max(1),
            },
            false => Loan::default(),
        }
    }

    fn step_without_due(&self) -> Step {
        match self.out_count() {
            0 => Step::Done,
            _ => Step::Running,
        }
    }

    fn out_count(&self) -> u32 {
        let out = self
            .members
            .iter()
            .filter(|member| member.in_maintenance() && !member.is_reboot_overdue(self.as_of_ms));
        out.count() as u32
    }

    fn choose_vms(&self) -> Result<Vec<member::Key>, reason::Reason> {
        if self.headroom.spec.paused || self.headroom.spec.max_at_once == 0 {
            return Err(reason::Reason::PausedByDocument);
        }
        let mut counts = domain::Counts::of(self.members);
        let mut waiting: Vec<_> = self
            .due()
            .filter(|member| member.can_leave_service())
            .collect();
        let allowed = self
            .headroom
            .spec
            .max_at_once
            .saturating_sub(self.out_count());
        let mut chosen = Vec::new();
        let mut refused = reason::Reason::VmsNotReady;
        while (chosen.len() as u32) < allowed {
            let Some(index) = best_candidate(&waiting, &counts, self.headroom.cover) else {
                break;
            };
            let candidate = waiting.swap_remove(index);
            if let Err(reason) = self.check_step(&counts, candidate) {
                refused = reason;
                break;
            }
            counts.remove(candidate);
            chosen.push(candidate.key);
        }
        match chosen.is_empty() {
            true => Err(refused),
            false => Ok(chosen),
        }
    }

    fn check_step(
        &self,
        counts: &domain::Counts<'_>,
        candidate: &member::Member<'_>,
    ) -> Result<(), reason::Reason> {
        let spec = self.headroom.spec;
        if self.account.absent_ms >= spec.absence_budget_ms {
            return Err(reason::Reason::AbsenceBudget);
        }
        self.headroom.check(counts, candidate)?;
        let missing = (spec.runners + 1).saturating_sub(counts.in_service);
        let cost_ms = u64::from(missing) * self.step_ms;
        let spent_ms = self.account.absent_ms;
        if spent_ms.saturating_add(cost_ms) > spec.absence_budget_ms {
            return Err(reason::Reason::AbsenceBudget);
        }
        Ok(())
    }
}

/// Returns the index of the VM whose absence leaves most VMs; marked VMs go first, then those of
/// the largest domain.
///
/// Taking VMs from the largest rack first keeps the racks even, so that most VMs can be out at
/// once.
fn best_candidate(
    waiting: &[&member::Member<'_>],
    counts: &domain::Counts<'_>,
    cover: domain::Cover,
) -> Option<usize> {
    let order = |member: &member::Member<'_>| {
        let marked = member.row.mark == Some(row::Mark::First);
        let remaining = counts.remaining_after_loss_without(member, cover);
        let rack = counts.in_rack(member.rack);
        let largest = std::cmp::Reverse((remaining, rack));
        (!marked, largest, member.row.maintained_ms)
    };
    let indices = 0..waiting.len();
    indices.min_by(|&a, &b| {
        let (a, b) = (waiting[a], waiting[b]);
        order(a)
            .cmp(&order(b))
            .then_with(|| a.row.vm.cmp(&b.row.vm))
    })
}
