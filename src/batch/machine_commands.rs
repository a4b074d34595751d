//! Commands to machines: when one can be sent, and what its response proves.
//!
//! Two leaders never command one machine within a lease. A leader commits a row with the store's time before it sends a command. The next leader reads these rows and holds
//! off from recently commanded machines. It can command all others at once, because the previous leader can't commit
//! another command, whatever its state.
//!
//! A response says that the change is under way or was done before. It doesn't say whether a worker has ended: that shows
//! the next list of machines.

use std::collections::BTreeMap;

use crate::batch::pools;
use crate::clock;
use crate::id;

/// A command is sent within this time after its row was submitted, or not at all, in milliseconds; longer than a
/// commit takes while the store is slow.
const SEND_WITHIN_MS: u64 = 500;
/// Maximum lag of a node's estimate of the store's clock, in milliseconds: the one-way delay of a response.
const CLOCK_SLACK_MS: u64 = 400;
/// Maximum one-way delay of a command, in milliseconds.
const SEND_DELAY_MS: u64 = 300;

/// Returns whether a command whose row was written at `written_at` can still be sent.
pub fn may_send(written_at: clock::Instant, now: clock::Instant) -> bool {
    now.since_ms(written_at) <= SEND_WITHIN_MS
}

/// Returns how long a new leader holds off from a machine, in milliseconds after it read the machine's command row.
///
/// `commanded_ms` and `read_ms` are on the store's clock.
pub fn holdoff_ms(commanded_ms: u64, read_ms: u64, lease_ms: u64) -> u64 {
    let until_ms = commanded_ms + SEND_WITHIN_MS + CLOCK_SLACK_MS + SEND_DELAY_MS + lease_ms;
    until_ms.saturating_sub(read_ms)
}

/// Returns whether a command that got no response can be repeated.
///
/// `worker` is the incarnation that the command was meant for, `None` if the machine ran none. A machine that runs
/// another one by now has had the change, or has crashed; a repeat could end work that began since.
pub fn may_repeat(worker: Option<&id::Worker>, machine: &pools::Machine) -> bool {
    match machine.state {
        pools::State::Up => machine.worker.as_ref() == worker,
        pools::State::Upkeep => true,
        pools::State::Moving | pools::State::Down => false,
    }
}

/// Commands that were answered as done, until a list of machines shows whether the worker that they were meant for has
/// ended.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    workers: BTreeMap<id::Vm, (id::Worker, clock::Instant)>,
}

impl Answered {
    /// Records the response to a command that was meant for `worker`.
    pub fn insert(&mut self, vm: id::Vm, worker: id::Worker, now: clock::Instant) {
        self.workers.insert(vm, (worker, now));
    }

    /// Applies a list that was requested at `requested_at`; returns the machines on which the worker runs on, because the
    /// change was done before.
    pub fn machines_listed(
        &mut self,
        list: &[pools::Machine],
        requested_at: clock::Instant,
    ) -> Vec<id::Vm> {
        let mut unchanged = Vec::new();
        for machine in list {
            let Some((worker, answered_at)) = self.workers.get(&machine.vm) else {
                continue;
            };
            if requested_at <= *answered_at {
                continue;
            }
            if machine.state == pools::State::Up && machine.worker.as_ref() == Some(worker) {
                unchanged.push(machine.vm.clone());
            }
            self.workers.remove(&machine.vm);
        }
        unchanged
    }
}
