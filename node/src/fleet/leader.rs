//! The leader of the fleet duty: feeds the planner with the node's state and performs its outputs.

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

/// Interval between ticks of the planner, in milliseconds.
const TICK_MS: u64 = 500;
/// Delay before a failed read of the rows is retried, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// The result of a spawned call.
enum Completion {
    Settled(fleet::Token, journal::Settled),
    Rows(rows::Rows),
    Effect(id::Vm, id::Operation),
    Vacated(id::Vm, id::Operation),
    Nothing,
}

struct Leader {
    shared: Arc<node::Shared>,
    context: duties::Context,
    planner: planner::Planner,
    calls: JoinSet<Completion>,
    /// The platform's time at which the tasks of a drained VM were first checked, by drain.
    drain_began_ms: BTreeMap<id::Operation, u64>,
}

/// Leads the duty until its lease is lost.
pub async fn run(shared: Arc<node::Shared>, context: duties::Context) {
    let mut reports = shared.fleet.reports.subscribe();
    let settings = super::settings(&shared.settings);
    let mut leader = Leader {
        planner: planner::Planner::new(settings, context.grant.epoch),
        shared,
        context,
        calls: JoinSet::new(),
        drain_began_ms: BTreeMap::new(),
    };
    let mut timer = time::interval(Duration::from_millis(TICK_MS));
    leader.read_rows(0);
    loop {
        tokio::select! {
            () = leader.context.lease_lost.cancelled() => break,
            _ = timer.tick() => leader.tick(),
            Some(completion) = leader.calls.join_next(), if !leader.calls.is_empty() => {
                leader.complete(completion.unwrap_or(Completion::Nothing));
            }
            report = reports.recv() => leader.report(report),
        }
    }
    leader.calls.shutdown().await;
}

impl Leader {
    fn feed(&mut self, input: Input<'_>) {
        let now = self.shared.clock.now();
        for output in self.planner.handle(now, input) {
            self.perform(output);
        }
    }

    fn tick(&mut self) {
        let state = self.shared.control.state();
        // Without the documents a pool would have no absence budget.
        if state.standing == config::ServingState::Starting {
            return;
        }
        let view = Arc::clone(&self.shared.view.borrow());
        let documents = documents::in_force(&state.documents, &view.documents);
        let documents = documents.values();
        let documents: Vec<_> = documents
            .map(|accepted| accepted.document.clone())
            .collect();
        self.feed(Input::Documents(&documents));
        let list = Arc::clone(&self.shared.fleet.list.borrow());
        if !list.vms.is_empty() {
            self.feed(Input::List(&list));
        }
        let members = &state.roster.members;
        let members: Vec<roster::NodeId> = members.iter().map(|member| member.id.clone()).collect();
        self.feed(Input::Roster(&members));
        let polled = Arc::clone(&self.shared.fleet.rows.borrow());
        if self.planner.is_loaded() && !polled.vms.is_empty() {
            let (pools, vms) = (&polled.pools, &polled.vms);
            self.feed(Input::Rows { pools, vms });
        }
        self.feed(Input::Tick);
    }

    fn report(
        &mut self,
        report: Result<(roster::NodeId, drain::Report), broadcast::error::RecvError>,
    ) {
        // Missed reports are requested again.
        let Ok((member, report)) = report else { return };
        let (vm, operation, member) = (&report.vm, &report.operation, &member);
        self.feed(Input::Acknowledged {
            vm,
            operation,
            member,
        });
    }

    fn complete(&mut self, completion: Completion) {
        match completion {
            Completion::Settled(token, settled) => self.feed(Input::Settled {
                token,
                settled: &settled,
            }),
            Completion::Rows(rows) => {
                let (pools, vms) = (&rows.pools, &rows.vms);
                self.feed(Input::Rows { pools, vms });
            }
            Completion::Effect(vm, operation) => {
                let (vm, operation) = (&vm, &operation);
                self.feed(Input::EffectDone { vm, operation });
            }
            Completion::Vacated(vm, operation) => {
                self.drain_began_ms.remove(&operation);
                let (vm, operation) = (&vm, &operation);
                self.feed(Input::Vacated { vm, operation });
            }
            Completion::Nothing => {}
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Commit { token, txn } => self.commit(token, txn),
            Output::Reload => self.read_rows(0),
            Output::Announce { vm, operation } => self.announce(&drain::Ask { vm, operation }),
            Output::Vacate { vm, operation } => self.check_tasks(vm, operation),
            Output::Effect { vm, effect, intent } => self.act(vm, effect, intent),
            Output::Event(event) => record(&event),
        }
    }

    fn commit(&mut self, token: fleet::Token, txn: messages::Txn) {
        let context = self.context.clone();
        self.calls.spawn(async move {
            match context.commit(txn).await {
                Some(settled) => Completion::Settled(token, settled),
                None => Completion::Nothing,
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
                    Ok(rows) => return Completion::Rows(rows),
                    Err(_) => time::sleep(Duration::from_millis(RETRY_MS)).await,
                }
            }
        });
    }

    /// Sends the drain to every member of the roster, this node included.
    fn announce(&self, request: &drain::Ask) {
        let me = self.shared.links.me();
        let message = drain::Message::Ask(request.clone());
        for member in &self.shared.control.state().roster.members {
            if member.id == me.id {
                let from = me.id.clone();
                let message = message.clone();
                // A full inbox drops the message; the planner repeats it.
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

    /// Checks by a usage report from after the drain began whether the VM's worker has no running task.
    fn check_tasks(&mut self, vm: id::Vm, operation: id::Operation) {
        let as_of_ms = self.shared.fleet.list.borrow().as_of_ms;
        let drain_began_ms = *self
            .drain_began_ms
            .entry(operation.clone())
            .or_insert(as_of_ms);
        let platform = self.context.platform.clone();
        self.calls.spawn(async move {
            match platform.usage().await {
                Ok(usage) if has_no_tasks(&usage, &vm, drain_began_ms) => {
                    Completion::Vacated(vm, operation)
                }
                _ => Completion::Nothing,
            }
        });
    }

    fn act(&mut self, vm: id::Vm, effect: fleet::Effect, intent: messages::Intent) {
        let context = self.context.clone();
        self.calls.spawn(async move {
            if !context.may_act() {
                return Completion::Nothing;
            }
            match context.platform.vm_effect(&vm, effect, &intent).await {
                Ok(()) => Completion::Effect(vm, intent.operation),
                Err(error) => {
                    log::warn("fleet", &format!("call failed: {effect} vm={vm}: {error}"));
                    Completion::Nothing
                }
            }
        });
    }
}

/// Returns true if a usage report newer than `since_ms` shows no running task on a VM.
fn has_no_tasks(usage: &messages::UsageList, vm: &id::Vm, since_ms: u64) -> bool {
    let Some(worker) = usage.workers.iter().find(|worker| worker.vm == *vm) else {
        return usage.as_of_ms > since_ms;
    };
    let is_running = |task: &messages::TaskUsage| {
        matches!(
            task.state,
            messages::TaskState::Running | messages::TaskState::Throttled
        )
    };
    worker.as_of_ms > since_ms && !worker.tasks.iter().any(is_running)
}

/// Counts an event and logs it.
fn record(event: &Event) {
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
            ("move-begun", format!("moving vm={vm} cause={cause}"))
        }
        Event::Resumed { pool } => ("resumed", format!("resumed pool={pool}")),
        Event::MaintenanceBegun { vm } => ("maintenance-begun", format!("draining vm={vm}")),
        Event::Maintained { vm } => ("maintained", format!("maintained vm={vm}")),
        Event::Moved { vm } => ("moved", format!("moved vm={vm}")),
        Event::DrainAbandoned { vm } => ("drain-abandoned", format!("drain abandoned vm={vm}")),
        Event::DrainOverdue { vm } => ("drain-overdue", format!("drain overdue vm={vm}")),
        Event::RebootOverdue { vm } => ("reboot-overdue", format!("reboot overdue vm={vm}")),
        Event::TxnRefused => (
            "txn-refused",
            "transaction refused, rows are read again".to_owned(),
        ),
        Event::RowUnreadable { key } => ("row-unreadable", format!("unreadable row={key}")),
    };
    metrics::counter!("wasabiloft_fleet_events_total", "event" => name).increment(1);
    log::info("fleet", &text);
}
