//! The holder of the fleet duty: gives the planner what the node learns, and does what it says.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::broadcast;
use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::config;
use wasabiloft::drain;
use wasabiloft::fleet::{self, Event, Input, Output, planner};
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::platform as messages;
use wasabiloft::roster;

use crate::documents;
use crate::duties;
use crate::fleet::rows;
use crate::log;
use crate::node;
use crate::peers;

/// Time between two ticks of the planner, in milliseconds.
const TICK_MS: u64 = 500;
/// Time before rows are read again after a failure, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// What a call has given.
enum Done {
    Settled(fleet::Token, journal::Settled),
    Rows(rows::Rows),
    Effect(id::Vm, id::Operation),
    Vacated(id::Vm, id::Operation),
    Nothing,
}

struct Holder {
    shared: Arc<node::Shared>,
    context: duties::Context,
    planner: planner::Planner,
    calls: JoinSet<Done>,
    /// Platform's time at which jobs were first asked to leave, by drain.
    asked_ms: BTreeMap<id::Operation, u64>,
}

/// Holds the duty until its lease is lost.
pub async fn run(shared: Arc<node::Shared>, context: duties::Context) {
    let mut reports = shared.fleet.reports.subscribe();
    let settings = super::settings(&shared.settings);
    let mut holder = Holder {
        planner: planner::Planner::new(settings, context.grant.epoch),
        shared,
        context,
        calls: JoinSet::new(),
        asked_ms: BTreeMap::new(),
    };
    let mut timer = time::interval(Duration::from_millis(TICK_MS));
    holder.read_rows(0);
    loop {
        tokio::select! {
            () = holder.context.lost.cancelled() => break,
            _ = timer.tick() => holder.tick(),
            Some(done) = holder.calls.join_next(), if !holder.calls.is_empty() => {
                holder.done(done.unwrap_or(Done::Nothing));
            }
            report = reports.recv() => holder.report(report),
        }
    }
    holder.calls.shutdown().await;
}

impl Holder {
    fn give(&mut self, input: Input<'_>) {
        let now = self.shared.clock.now();
        for output in self.planner.handle(now, input) {
            self.carry(output);
        }
    }

    fn tick(&mut self) {
        let state = self.shared.control.state();
        // Without its documents a pool would have no budget.
        if state.standing == config::ServingState::Starting {
            return;
        }
        let view = Arc::clone(&self.shared.view.borrow());
        let documents = documents::in_force(&state.documents, &view.documents);
        let documents = documents.values();
        let documents: Vec<_> = documents
            .map(|accepted| accepted.document.clone())
            .collect();
        self.give(Input::Documents(&documents));
        let list = Arc::clone(&self.shared.fleet.list.borrow());
        if !list.vms.is_empty() {
            self.give(Input::List(&list));
        }
        let members = &state.roster.members;
        let members: Vec<roster::NodeId> = members.iter().map(|member| member.id.clone()).collect();
        self.give(Input::Roster(&members));
        let polled = Arc::clone(&self.shared.fleet.rows.borrow());
        if self.planner.is_loaded() && !polled.vms.is_empty() {
            let (pools, vms) = (&polled.pools, &polled.vms);
            self.give(Input::Rows { pools, vms });
        }
        self.give(Input::Tick);
    }

    fn report(
        &mut self,
        report: Result<(roster::NodeId, drain::Report), broadcast::error::RecvError>,
    ) {
        // Reports that were missed are asked for again.
        let Ok((member, report)) = report else { return };
        let (vm, operation, member) = (&report.vm, &report.operation, &member);
        self.give(Input::Acknowledged {
            vm,
            operation,
            member,
        });
    }

    fn done(&mut self, done: Done) {
        match done {
            Done::Settled(token, settled) => self.give(Input::Settled {
                token,
                settled: &settled,
            }),
            Done::Rows(rows) => {
                let (pools, vms) = (&rows.pools, &rows.vms);
                self.give(Input::Rows { pools, vms });
            }
            Done::Effect(vm, operation) => {
                let (vm, operation) = (&vm, &operation);
                self.give(Input::EffectDone { vm, operation });
            }
            Done::Vacated(vm, operation) => {
                self.asked_ms.remove(&operation);
                let (vm, operation) = (&vm, &operation);
                self.give(Input::Vacated { vm, operation });
            }
            Done::Nothing => {}
        }
    }

    fn carry(&mut self, output: Output) {
        match output {
            Output::Commit { token, txn } => self.commit(token, txn),
            Output::Reload => self.read_rows(0),
            Output::Announce { vm, operation } => self.announce(&drain::Ask { vm, operation }),
            Output::Vacate { vm, operation } => self.vacate(vm, operation),
            Output::Effect { vm, effect, intent } => self.act(vm, effect, intent),
            Output::Event(event) => count(&event),
        }
    }

    fn commit(&mut self, token: fleet::Token, txn: messages::Txn) {
        let context = self.context.clone();
        self.calls.spawn(async move {
            match context.commit(txn).await {
                Some(settled) => Done::Settled(token, settled),
                None => Done::Nothing,
            }
        });
    }

    fn read_rows(&mut self, wait_ms: u64) {
        let platform = self.context.platform.clone();
        let clock = self.shared.clock;
        self.calls.spawn(async move {
            time::sleep(Duration::from_millis(wait_ms)).await;
            loop {
                match rows::read(&platform, clock.now()).await {
                    Ok(rows) => return Done::Rows(rows),
                    Err(_) => time::sleep(Duration::from_millis(RETRY_MS)).await,
                }
            }
        });
    }

    /// Asks every member of the roster, this node included.
    fn announce(&self, ask: &drain::Ask) {
        let me = self.shared.links.me();
        let message = drain::Message::Ask(ask.clone());
        for member in &self.shared.control.state().roster.members {
            if member.id == me.id {
                let from = me.id.clone();
                let message = message.clone();
                // A full inbox loses the message; it is repeated.
                let _ = self
                    .shared
                    .fleet
                    .drains
                    .try_send(peers::Incoming { from, message });
            } else {
                let message = peers::Message::Drain(message.clone());
                self.shared.links.send(&member.id.node, message);
            }
        }
    }

    /// Looks whether the VM's worker runs no task any more, by a reading from after the drain began.
    fn vacate(&mut self, vm: id::Vm, operation: id::Operation) {
        let as_of_ms = self.shared.fleet.list.borrow().as_of_ms;
        let asked_ms = *self.asked_ms.entry(operation.clone()).or_insert(as_of_ms);
        let platform = self.context.platform.clone();
        self.calls.spawn(async move {
            match platform.usage().await {
                Ok(usage) if is_vacated(&usage, &vm, asked_ms) => Done::Vacated(vm, operation),
                _ => Done::Nothing,
            }
        });
    }

    fn act(&mut self, vm: id::Vm, effect: fleet::Effect, intent: messages::Intent) {
        let context = self.context.clone();
        self.calls.spawn(async move {
            if !context.may_act() {
                return Done::Nothing;
            }
            match context.platform.vm_effect(&vm, effect, &intent).await {
                Ok(()) => Done::Effect(vm, intent.operation),
                Err(error) => {
                    log::warn("fleet", &format!("could not {effect} vm={vm}: {error}"));
                    Done::Nothing
                }
            }
        });
    }
}

/// Tells whether no task runs on a VM by readings that are newer than `asked_ms`.
fn is_vacated(usage: &messages::UsageList, vm: &id::Vm, asked_ms: u64) -> bool {
    let Some(worker) = usage.workers.iter().find(|worker| worker.vm == *vm) else {
        return usage.as_of_ms > asked_ms;
    };
    let runs = |task: &messages::TaskUsage| {
        matches!(
            task.state,
            messages::TaskState::Running | messages::TaskState::Throttled
        )
    };
    worker.as_of_ms > asked_ms && !worker.tasks.iter().any(runs)
}

/// Counts an event and writes it to the log.
fn count(event: &Event) {
    let (name, text) = match event {
        Event::Paused { pool, reason } => {
            let reason = reason.to_string();
            metrics::counter!("wasabiloft_fleet_pauses_total", "reason" => reason.clone())
                .increment(1);
            ("paused", format!("paused pool={pool} reason={reason}"))
        }
        Event::MoveBegun { vm, cause } => {
            metrics::counter!("wasabiloft_fleet_moves_total", "cause" => cause.to_string())
                .increment(1);
            ("move-begun", format!("moves vm={vm} cause={cause}"))
        }
        Event::Resumed { pool } => ("resumed", format!("resumed pool={pool}")),
        Event::MaintenanceBegun { vm } => ("maintenance-begun", format!("drains vm={vm}")),
        Event::Maintained { vm } => ("maintained", format!("maintained vm={vm}")),
        Event::Moved { vm } => ("moved", format!("moved vm={vm}")),
        Event::DrainAbandoned { vm } => ("drain-abandoned", format!("gave up drain vm={vm}")),
        Event::DrainOverdue { vm } => ("drain-overdue", format!("drain takes long vm={vm}")),
        Event::RebootOverdue { vm } => ("reboot-overdue", format!("not back from reboot vm={vm}")),
        Event::TxnRefused => ("txn-refused", "transaction refused, reads rows".to_owned()),
        Event::RowUnreadable { key } => ("row-unreadable", format!("can't read row={key}")),
    };
    metrics::counter!("wasabiloft_fleet_events_total", "event" => name).increment(1);
    log::info("fleet", &text);
}
