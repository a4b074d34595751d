//! The next step of a pool's wave.
//!
//! VMs are taken from the failure domain whose absence leaves most: the domains are gone
//! through one after the other, so that the loss of another one meets a pool that is whole there.

use crate::clock;
use crate::maintenance::{headroom, reason};
use crate::pool::{member, row, spec, strength};

/// What a step is taken to last until one has been seen, in milliseconds.
pub const STEP_DEFAULT_MS: u64 = 10 * clock::MINUTE_MS;

/// A pool as the decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// What it must keep, and what the documents ask.
    pub headroom: headroom::Headroom<'a>,
    /// Its absence in the current period.
    pub account: &'a row::Account,
    /// Its VMs.
    pub members: &'a [member::Member<'a>],
    /// Platform's time of the newest list, in milliseconds.
    pub as_of_ms: u64,
    /// What a drain with its reboot lasts, in milliseconds.
    pub step_ms: u64,
}

/// VMs that a wave borrows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loan {
    /// Without these, no VM may be out.
    pub needed: u32,
    /// With these, as many VMs may be out as the document lets.
    pub wished: u32,
}

/// What a pool's wave does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Every VM has been maintained in this period.
    Done,
    /// These VMs leave service now.
    Begin(Vec<member::Key>),
    /// As many VMs are out as may be; the wave goes on when one is back.
    Running,
    /// Nothing is out, and nothing may go out.
    Paused(reason::Reason),
}

impl<'a> Situation<'a> {
    /// VMs that are due and not yet out.
    pub fn due(&self) -> impl Iterator<Item = &'a member::Member<'a>> + use<'a> {
        let period_start_ms = self.account.period_start_ms;
        self.members
            .iter()
            .filter(move |member| member.due(period_start_ms) && !member.in_maintenance())
    }

    /// Decides the next step.
    pub fn next(&self) -> Step {
        if self.due().next().is_none() {
            return self.finished();
        }
        match self.choose() {
            Ok(chosen) => Step::Begin(chosen),
            Err(_) if self.out() > 0 => Step::Running,
            Err(reason) => Step::Paused(reason),
        }
    }

    /// VMs that are lent to the pool.
    ///
    /// Worked out from documents and rows alone, so that a successor comes to the same number.
    pub fn loan(&self) -> Loan {
        let spec = self.headroom.spec;
        let held = |member: &member::Member<'_>| member.row.mark == Some(row::Mark::Hold);
        let under_way = self.out() > 0 || self.due().any(|member| !held(member));
        let spent = self.account.absent_ms >= spec.absence_budget_ms;
        if spec.role != spec::Role::Service || spec.paused || spent || !under_way {
            return Loan::default();
        }
        let dear = self.account.absent_ms + self.step_ms > spec.absence_budget_ms;
        match dear || !self.headroom.bears_step() {
            true => Loan {
                needed: 1,
                wished: spec.max_at_once.max(1),
            },
            false => Loan::default(),
        }
    }

    fn finished(&self) -> Step {
        match self.out() {
            0 => Step::Done,
            _ => Step::Running,
        }
    }

    fn out(&self) -> u32 {
        let out = self
            .members
            .iter()
            .filter(|member| member.in_maintenance() && !member.lost_in_reboot(self.as_of_ms));
        out.count() as u32
    }

    fn choose(&self) -> Result<Vec<member::Key>, reason::Reason> {
        if self.headroom.spec.paused || self.headroom.spec.max_at_once == 0 {
            return Err(reason::Reason::PausedByDocument);
        }
        let mut strength = strength::Strength::of(self.members);
        let mut waiting: Vec<_> = self.due().filter(|member| member.may_leave()).collect();
        let room = self.headroom.spec.max_at_once.saturating_sub(self.out());
        let mut chosen = Vec::new();
        let mut refused = reason::Reason::VmsNotReady;
        while (chosen.len() as u32) < room {
            let Some(index) = best(&waiting, &strength, self.headroom.cover) else {
                break;
            };
            let candidate = waiting.swap_remove(index);
            if let Err(reason) = self.allows(&strength, candidate) {
                refused = reason;
                break;
            }
            strength.remove(candidate);
            chosen.push(candidate.key);
        }
        match chosen.is_empty() {
            true => Err(refused),
            false => Ok(chosen),
        }
    }

    fn allows(
        &self,
        strength: &strength::Strength<'_>,
        candidate: &member::Member<'_>,
    ) -> Result<(), reason::Reason> {
        let spec = self.headroom.spec;
        if self.account.absent_ms >= spec.absence_budget_ms {
            return Err(reason::Reason::AbsenceBudget);
        }
        self.headroom.check(strength, candidate)?;
        let missing = (spec.runners + 1).saturating_sub(strength.in_service);
        let cost_ms = u64::from(missing) * self.step_ms;
        let spent_ms = self.account.absent_ms;
        if spent_ms.saturating_add(cost_ms) > spec.absence_budget_ms {
            return Err(reason::Reason::AbsenceBudget);
        }
        Ok(())
    }
}

/// The index of the VM whose absence leaves most; marked ones go first, then those of the largest domain.
///
/// Taking from the largest rack first keeps the racks even, so that most VMs may be out at once.
fn best(
    waiting: &[&member::Member<'_>],
    strength: &strength::Strength<'_>,
    cover: strength::Cover,
) -> Option<usize> {
    let order = |member: &member::Member<'_>| {
        let marked = member.row.mark == Some(row::Mark::First);
        let left = strength.left_without(member, cover);
        let rack = strength.in_rack(member.rack);
        let largest = std::cmp::Reverse((left, rack));
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
