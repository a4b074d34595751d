//! Reports whether this node still has requests in flight at a VM that is being drained.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;
use wasabiloft::clock;
use wasabiloft::drain;
use wasabiloft::id;
use wasabiloft::pool::row;
use wasabiloft::roster;

use crate::node;
use crate::peers;

/// Interval between checks of open drains, in milliseconds.
const TICK_MS: u64 = 200;

/// A drain that this node has to report on.
struct OpenDrain {
    request: drain::Ask,
    requester: roster::NodeId,
    received_at: clock::Instant,
    reported: bool,
}

/// Handles drain messages until the node stops.
pub async fn run(
    shared: Arc<node::Shared>,
    mut inbox: mpsc::Receiver<peers::Incoming<drain::Message>>,
) {
    let mut open: BTreeMap<id::Vm, OpenDrain> = BTreeMap::new();
    let mut timer = time::interval(Duration::from_millis(TICK_MS));
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = timer.tick() => {}
            incoming = inbox.recv() => match incoming {
                Some(incoming) => handle(&shared, &mut open, incoming),
                None => return,
            }
        }
        report(&shared, &mut open);
        close_finished(&shared, &mut open);
    }
}

fn handle(
    shared: &node::Shared,
    open: &mut BTreeMap<id::Vm, OpenDrain>,
    incoming: peers::Incoming<drain::Message>,
) {
    match incoming.message {
        drain::Message::Ask(request) => {
            let drain = OpenDrain {
                requester: incoming.from,
                received_at: shared.clock.now(),
                reported: false,
                request,
            };
            open.insert(drain.request.vm.clone(), drain);
        }
        drain::Message::Report(report) => {
            // Fails if this node isn't the duty's leader and so has no receiver.
            let _ = shared.fleet.reports.send((incoming.from, report));
        }
        drain::Message::Over(request) => {
            lock(shared).end(&request);
            open.retain(|_, drain| drain.request != request);
        }
    }
}

/// Reports the drains whose VMs have no request of this node in flight any more.
fn report(shared: &node::Shared, open: &mut BTreeMap<id::Vm, OpenDrain>) {
    for drain in open.values_mut().filter(|drain| !drain.reported) {
        let report = lock(shared).report(&drain.request);
        if !report.is_drained() {
            continue;
        }
        drain.reported = true;
        let me = shared.links.me();
        if drain.requester == me.id {
            // Fails if this node has just lost the duty.
            let _ = shared.fleet.reports.send((me.id.clone(), report));
        } else {
            let message = peers::Message::Drain(drain::Message::Report(report));
            shared.links.send(&drain.requester.node, message);
        }
    }
}

/// Closes drains whose VM is in service again, according to a read of its row that began after the request
/// arrived.
fn close_finished(shared: &node::Shared, open: &mut BTreeMap<id::Vm, OpenDrain>) {
    let rows = Arc::clone(&shared.fleet.rows.borrow());
    let in_service = |vm: &id::Vm| {
        let row = rows.by_vm.get(vm);
        row.is_none_or(|row| row.stage == row::Stage::InService)
    };
    open.retain(|vm, drain| {
        let finished = rows.read_at > drain.received_at && in_service(vm);
        if finished {
            lock(shared).end(&drain.request);
        }
        !finished
    });
}

fn lock(shared: &node::Shared) -> std::sync::MutexGuard<'_, drain::Tracker> {
    shared
        .in_flight
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
