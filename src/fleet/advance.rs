//! Advances every VM that is out of service through its current stage.

use crate::fleet::{Effect, Event, Output, planner};
use crate::pool::{domain, member, row, spec};
use crate::{clock, id, platform};

/// Interval at which the outputs of a stage are sent again, in milliseconds.
pub const RESEND_INTERVAL_MS: u64 = 5 * clock::SECOND_MS;
/// A drain that the platform has not accepted is no longer waited for once the VM has been down
/// this long, in milliseconds.
pub const DOWN_WITHOUT_DRAIN_MS: u64 = clock::MINUTE_MS;

/// A VM that is in service by its row is resumed once it has been listed as drained this long, in
/// milliseconds.
pub const UNEXPECTED_DRAIN_MS: u64 = 2 * clock::MINUTE_MS;

impl planner::Planner {
    /// Emits the outputs of each stage, and commits the next stage of each VM whose current stage
    /// has ended.
    pub(super) fn advance(&mut self, now: clock::Instant, out: &mut Vec<Output>) {
        let keys: Vec<member::Key> = self.machines.keys().collect();
        for key in keys {
            let machine = &self.machines[key];
            if machine.pending.is_some() {
                continue;
            }
            self.emit_stage_outputs(now, key, out);
            if let Some(row) = self.row_after_stage(now, key, out) {
                self.commit(now, vec![(key, Some(row))], Vec::new(), out);
            }
        }
    }

    /// Returns true if a VM in service is still listed as drained, for example because an abandoned
    /// drain took effect late.
    fn has_unexpected_drain(&self, key: member::Key) -> bool {
        let machine = &self.machines[key];
        let state = machine.listed.as_ref().map(|vm| vm.state);
        let down_ms = machine.member(key, self.as_of_ms).down_ms;
        state == Some(platform::VmState::Leaving) && down_ms >= UNEXPECTED_DRAIN_MS
    }

    /// Returns the VM's next row, or `None` while its stage has not ended.
    fn row_after_stage(
        &mut self,
        now: clock::Instant,
        key: member::Key,
        out: &mut Vec<Output>,
    ) -> Option<row::Vm> {
        let stage = self.machines[key].row.stage.clone();
        match stage {
            row::Stage::InService => self.has_unexpected_drain(key).then(|| self.joining(key)),
            row::Stage::Leaving {
                purpose, since_ms, ..
            } => {
                if self.should_abandon(key, &purpose) {
                    let vm = self.machines[key].row.vm.clone();
                    out.push(Output::Event(Event::DrainAbandoned { vm }));
                    return Some(self.joining(key));
                }
                self.report_overdue_drain(key, since_ms, out);
                self.is_drained(now, key)
                    .then(|| self.after_drain(key, purpose, since_ms))?
            }
            row::Stage::Rebooting {
                boots, began_ms, ..
            } => {
                self.report_overdue_reboot(key, out);
                self.after_reboot(key, boots, began_ms)
            }
            row::Stage::Joining { .. } => self.after_joining(key),
            row::Stage::Out => {
                let marked = self.machines[key].row.mark == Some(row::Mark::Out);
                (!marked).then(|| self.joining(key))
            }
        }
    }

    /// Sends the outputs of a stage, and repeats them every [`RESEND_INTERVAL_MS`] until they take
    /// effect.
    fn emit_stage_outputs(&mut self, now: clock::Instant, key: member::Key, out: &mut Vec<Output>) {
        let intent = match self.machines[key].operation() {
            Some(operation) => platform::Intent {
                operation: operation.clone(),
                duty: self.settings.duty.clone(),
                epoch: self.epoch,
            },
            None => return,
        };
        let machine = &mut self.machines[key];
        let sent_at = machine.progress.sent_at;
        if sent_at.is_some_and(|sent_at| now.since_ms(sent_at) < RESEND_INTERVAL_MS) {
            return;
        }
        machine.progress.sent_at = Some(now);
        let vm = machine.row.vm.clone();
        let operation = intent.operation.clone();
        if matches!(machine.row.stage, row::Stage::Leaving { .. }) {
            let (vm, operation) = (vm.clone(), operation.clone());
            if !machine.progress.jobs_evicted {
                let (vm, operation) = (vm.clone(), operation.clone());
                out.push(Output::Vacate { vm, operation });
            }
            out.push(Output::Announce { vm, operation });
        }
        let done = machine.progress.done_as_of_ms.is_some();
        if let (false, Some(effect)) = (done, effect(&machine.row.stage)) {
            out.push(Output::Effect { vm, effect, intent });
        }
    }

    /// Returns true if a draining VM has no tasks and no requests left.
    fn is_drained(&self, now: clock::Instant, key: member::Key) -> bool {
        let machine = &self.machines[key];
        let member = machine.member(key, self.as_of_ms);
        let drain_accepted =
            machine.progress.done_as_of_ms.is_some() || member.down_ms >= DOWN_WITHOUT_DRAIN_MS;
        let acks = &machine.progress.acks;
        drain_accepted
            && machine.progress.jobs_evicted
            && self.senders.are_silent(now, acks, self.lapse_ms)
    }

    fn after_drain(
        &mut self,
        key: member::Key,
        purpose: row::Purpose,
        began_ms: u64,
    ) -> Option<row::Vm> {
        let mut row = self.machines[key].row.clone();
        match purpose {
            row::Purpose::Maintain => {
                let boots = self.machines[key].listed.as_ref()?.boots;
                row.stage = row::Stage::Rebooting {
                    operation: self.next_operation(),
                    boots,
                    began_ms,
                    since_ms: self.as_of_ms,
                };
            }
            row::Purpose::Move { to } => {
                row = self.joining(key);
                row.pool = to;
                row.generation += 1;
            }
            row::Purpose::TakeOut => row.stage = row::Stage::Out,
        }
        Some(row)
    }

    fn after_reboot(&mut self, key: member::Key, boots: u64, began_ms: u64) -> Option<row::Vm> {
        let machine = &self.machines[key];
        // A crash alone also raises the boot count, while the reboot is still pending.
        let done_as_of_ms = machine.progress.done_as_of_ms?;
        let listed = machine.listed.as_ref()?;
        if listed.boots <= boots || self.as_of_ms <= done_as_of_ms {
            return None;
        }
        let mut row = match listed.state {
            platform::VmState::Live => {
                let mut row = machine.row.clone();
                row.stage = row::Stage::InService;
                row
            }
            platform::VmState::Leaving => self.joining(key),
            platform::VmState::Rebooting | platform::VmState::Failed => return None,
        };
        row.maintained_ms = self.as_of_ms;
        if row.mark == Some(row::Mark::First) {
            row.mark = None;
        }
        self.record_step_duration(self.as_of_ms.saturating_sub(began_ms));
        Some(row)
    }

    /// Updates the moving average of a step's duration.
    fn record_step_duration(&mut self, duration_ms: u64) {
        let bounded_ms = duration_ms.min(member::REBOOT_LIMIT_MS);
        self.step_ms = (7 * self.step_ms + bounded_ms) / 8;
    }

    fn after_joining(&self, key: member::Key) -> Option<row::Vm> {
        let machine = &self.machines[key];
        let done_as_of_ms = machine.progress.done_as_of_ms?;
        let mut row = machine.row.clone();
        row.stage = row::Stage::InService;
        (machine.is_live() && self.as_of_ms > done_as_of_ms).then_some(row)
    }

    /// Returns the VM's row with a stage that resumes it.
    fn joining(&mut self, key: member::Key) -> row::Vm {
        let operation = self.next_operation();
        let mut row = self.machines[key].row.clone();
        row.stage = row::Stage::Joining {
            operation,
            since_ms: self.as_of_ms,
        };
        row
    }

    /// Returns true if a drain is to be abandoned: the pool is short of runners, and the VM can
    /// still serve.
    fn should_abandon(&self, key: member::Key, purpose: &row::Purpose) -> bool {
        let machine = &self.machines[key];
        let listed = machine.listed.as_ref().map(|vm| vm.state);
        let can_serve = matches!(
            listed,
            Some(platform::VmState::Live | platform::VmState::Leaving)
        );
        let Some(pool) = self.pools.get(&machine.row.pool) else {
            return false;
        };
        if !can_serve || *purpose == row::Purpose::TakeOut || pool.spec.role != spec::Role::Service
        {
            return false;
        }
        let members = self.machines.iter();
        let members: Vec<_> = members
            .filter(|(_, other)| other.row.pool == machine.row.pool)
            .map(|(key, other)| other.member(key, self.as_of_ms))
            .collect();
        let counts = domain::Counts::of(&members);
        let resuming = members.iter().filter(|member| {
            matches!(member.row.stage, row::Stage::Joining { .. }) && member.down_ms == 0
        });
        counts.in_service + (resuming.count() as u32) < pool.spec.min_runners
    }

    fn report_overdue_drain(&mut self, key: member::Key, since_ms: u64, out: &mut Vec<Output>) {
        let machine = &mut self.machines[key];
        let pool = self.pools.get(&machine.row.pool);
        let limit_ms = pool.map_or(u64::MAX, |pool| pool.spec.drain_limit_ms);
        if !machine.progress.overdue_reported && self.as_of_ms.saturating_sub(since_ms) > limit_ms {
            machine.progress.overdue_reported = true;
            let vm = machine.row.vm.clone();
            out.push(Output::Event(Event::DrainOverdue { vm }));
        }
    }

    fn report_overdue_reboot(&mut self, key: member::Key, out: &mut Vec<Output>) {
        let machine = &mut self.machines[key];
        let overdue = machine
            .member(key, self.as_of_ms)
            .is_reboot_overdue(self.as_of_ms);
        if overdue && !machine.progress.overdue_reported {
            machine.progress.overdue_reported = true;
            let vm = machine.row.vm.clone();
            out.push(Output::Event(Event::RebootOverdue { vm }));
        }
    }

    /// Returns the entry VMs that have not acknowledged the drain of a VM.
    pub fn unacknowledged(&self, vm: &id::Vm) -> Vec<id::Node> {
        let machine = self.keys.get(vm).map(|&key| &self.machines[key]);
        let Some(machine) = machine else {
            return Vec::new();
        };
        let missing = self.senders.missing(&machine.progress.acks);
        missing.map(|member| member.node.clone()).collect()
    }
}

/// Returns the effect that a stage requires of the platform.
fn effect(stage: &row::Stage) -> Option<Effect> {
    match stage {
        row::Stage::InService | row::Stage::Out => None,
        row::Stage::Leaving { .. } => Some(Effect::Drain),
        row::Stage::Rebooting { .. } => Some(Effect::Reboot),
        row::Stage::Joining { .. } => Some(Effect::Resume),
    }
}
