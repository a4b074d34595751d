//! Simple ways of admission to compare with.

use std::collections::VecDeque;

use wasabiloft::admission;
use wasabiloft::clock;
use wasabiloft::dispatch;
use wasabiloft::id;
use wasabiloft::verdict;

/// First in first out without limits: everything goes to the next runner at once and queues there.
#[derive(Debug)]
pub struct Fifo {
    vms: Vec<id::Vm>,
    next: usize,
}

impl Fifo {
    /// Sends to these VMs in turn, starting with the given one.
    pub fn new(vms: Vec<id::Vm>, next: usize) -> Self {
        Self { vms, next }
    }

    /// Starts the request.
    pub fn arrive(&mut self, request: admission::RequestId) -> dispatch::Output {
        self.next += 1;
        let vm = self.vms[self.next % self.vms.len()].clone();
        dispatch::Output::Start { request, vm }
    }
}

/// Fixed equal shares: each kind has its own slots on each node, and a bounded queue.
#[derive(Debug)]
pub struct Fixed {
    free: Vec<Vec<id::Vm>>,
    queues: Vec<VecDeque<(admission::RequestId, clock::Instant)>>,
}

/// The most requests that wait for a kind's slots.
const FIXED_QUEUE_MAX: usize = 16;

impl Fixed {
    /// Makes a node with these slots for each kind.
    pub fn new(free: Vec<Vec<id::Vm>>) -> Self {
        let queues = free.iter().map(|_| VecDeque::new()).collect();
        Self { free, queues }
    }

    /// Starts, queues or refuses the request.
    pub fn arrive(&mut self, arrival: &dispatch::Arrival) -> Option<dispatch::Output> {
        let kind = usize::from(arrival.kind);
        if let Some(vm) = self.free[kind].pop() {
            let request = arrival.request;
            return Some(dispatch::Output::Start { request, vm });
        }
        if self.queues[kind].len() >= FIXED_QUEUE_MAX {
            return Some(dispatch::Output::Refuse {
                request: arrival.request,
                reason: verdict::Reason::QueueFull,
            });
        }
        self.queues[kind].push_back((arrival.request, arrival.deadline));
        None
    }

    /// Gives a slot back, to the next request in the kind's queue if one can still be in time.
    pub fn finish(
        &mut self,
        now: clock::Instant,
        kind: admission::KindIndex,
        vm: &id::Vm,
        outputs: &mut Vec<dispatch::Output>,
    ) {
        let kind = usize::from(kind);
        while let Some((request, deadline)) = self.queues[kind].pop_front() {
            if deadline > now {
                let vm = vm.clone();
                outputs.push(dispatch::Output::Start { request, vm });
                return;
            }
            let reason = verdict::Reason::QueueTimeout;
            outputs.push(dispatch::Output::Refuse { request, reason });
        }
        self.free[kind].push(vm.clone());
    }
}
