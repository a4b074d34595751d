//! Answers for this node whether it has anything in flight at a VM that leaves.

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

/// Time between two looks at drains that are not over, in milliseconds.
const TICK_MS: u64 = 200;

/// A drain that this node was asked about.
struct Open {
    ask: drain::Ask,
    asker: roster::NodeId,
    marked_at: clock::Instant,
    reported: bool,
}

/// Takes messages of drains until the node stops.
pub async fn run(
    shared: Arc<node::Shared>,
    mut inbox: mpsc::Receiver<peers::Incoming<drain::Message>>,
) {
    let mut open: BTreeMap<id::Vm, Open> = BTreeMap::new();
    let mut timer = time::interval(Duration::from_millis(TICK_MS));
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = timer.tick() => {}
            incoming = inbox.recv() => match incoming {
                Some(incoming) => take(&shared, &mut open, incoming),
                None => return,
            }
        }
        report(&shared, &mut open);
        forget(&shared, &mut open);
    }
}

fn take(
    shared: &node::Shared,
    open: &mut BTreeMap<id::Vm, Open>,
    incoming: peers::Incoming<drain::Message>,
) {
    match incoming.message {
        drain::Message::Ask(ask) => {
            let drain = Open {
                asker: incoming.from,
                marked_at: shared.clock.now(),
                reported: false,
                ask,
            };
            open.insert(drain.ask.vm.clone(), drain);
        }
        drain::Message::Report(report) => {
            // Nobody listens while another node holds the duty.
            let _ = shared.fleet.reports.send((incoming.from, report));
        }
        drain::Message::Over(ask) => {
            lock(shared).end(&ask);
            open.retain(|_, drain| drain.ask != ask);
        }
    }
}

/// Acknowledges the drains at whose VMs nothing is in flight any more.
fn report(shared: &node::Shared, open: &mut BTreeMap<id::Vm, Open>) {
    for drain in open.values_mut().filter(|drain| !drain.reported) {
        let report = lock(shared).report(&drain.ask);
        if !report.is_drained() {
            continue;
        }
        drain.reported = true;
        let me = shared.links.me();
        if drain.asker == me.id {
            // Nobody listens if the duty has just been lost.
            let _ = shared.fleet.reports.send((me.id.clone(), report));
        } else {
            let message = peers::Message::Drain(drain::Message::Report(report));
            shared.links.send(&drain.asker.node, message);
        }
    }
}

/// Ends drains whose VM is back in service by a read of its row that began after the node was asked.
fn forget(shared: &node::Shared, open: &mut BTreeMap<id::Vm, Open>) {
    let rows = Arc::clone(&shared.fleet.rows.borrow());
    let back = |vm: &id::Vm| {
        let row = rows.by_vm.get(vm);
        row.is_none_or(|row| row.stage == row::Stage::InService)
    };
    open.retain(|vm, drain| {
        let over = rows.read_at > drain.marked_at && back(vm);
        if over {
            lock(shared).end(&drain.ask);
        }
        !over
    });
}

fn lock(shared: &node::Shared) -> std::sync::MutexGuard<'_, drain::Tracker> {
    shared.ledger.lock().unwrap_or_else(PoisonError::into_inner)
}
