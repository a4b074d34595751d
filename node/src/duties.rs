//! Runs a task for each duty while this node holds the duty's lease.
//!
//! A component implements [`Duty`]: the runner calls [`Duty::run`] when the node gets a lease and cancels the task when
//! the lease is lost. A task commits with [`Context::commit`], which adds the check on the duty's row, and checks
//! [`Context::may_act`] right before each effect outside the table.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::lease;
use wasabiloft::platform as messages;

use crate::control;
use crate::log;
use crate::node;
use crate::platform;
use crate::view;

/// The task of a duty.
pub type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A component that has duties.
pub trait Duty: Send + Sync {
    /// Returns the component's duties while these documents are in force; the same on all nodes.
    fn names(&self, view: &view::View) -> Vec<id::Duty>;

    /// Returns true if this component runs the duty.
    fn covers(&self, duty: &id::Duty) -> bool;

    /// Returns the duty's task, which runs until [`Context::lease_lost`] is cancelled.
    fn run(&self, context: Context) -> Task;
}

/// The lease of a duty's task and its access to the node.
#[derive(Clone, Debug)]
pub struct Context {
    /// The lease's grant; its epoch is sent with every effect.
    pub grant: lease::Grant,
    /// Submits transactions and checks the lease.
    pub control: control::Handle,
    /// Calls the platform for effects and reads.
    pub platform: platform::Client,
    /// Cancelled when the lease is lost or the node stops.
    pub lease_lost: CancellationToken,
}

impl Context {
    /// Returns true if an effect may start now; to be checked right before the effect.
    pub fn may_act(&self) -> bool {
        !self.lease_lost.is_cancelled() && self.control.may_act(&self.grant)
    }

    /// Returns the intent to be sent with an effect.
    pub fn intent(&self, operation: id::Operation) -> messages::Intent {
        messages::Intent {
            operation,
            duty: self.grant.duty.clone(),
            epoch: self.grant.epoch,
        }
    }

    /// Commits a transaction on condition that the lease's epoch has not changed; `None` if the transaction could not
    /// be queued or the node stops.
    pub async fn commit(&self, mut txn: messages::Txn) -> Option<journal::Settled> {
        txn.checks.insert(0, self.grant.check.clone());
        self.control.submit(txn).await
    }
}

/// The running tasks of a node's duties.
#[derive(Default)]
struct Running {
    leases: HashMap<id::Duty, (lease::Grant, CancellationToken)>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Cancels the tasks whose lease is no longer held.
    fn cancel_lost(&mut self, held: &[lease::Grant]) {
        self.leases.retain(|duty, (grant, lost)| {
            let is_held = held.contains(grant);
            if !is_held {
                log::info("lease", &format!("lost duty={duty} epoch={}", grant.epoch));
                lost.cancel();
            }
            is_held
        });
    }

    fn start(&mut self, component: &dyn Duty, context: Context) {
        let grant = &context.grant;
        log::info(
            "lease",
            &format!("holds duty={} epoch={}", grant.duty, grant.epoch),
        );
        let lease = (grant.clone(), context.lease_lost.clone());
        self.leases.insert(grant.duty.clone(), lease);
        self.tasks.spawn(component.run(context));
    }
}

/// Runs the duties whose leases this node holds, until `stop`.
pub async fn run(shared: Arc<node::Shared>, components: Vec<Arc<dyn Duty>>) {
    let control = &shared.control;
    let mut state = control.watch();
    let mut view = shared.view.subscribe();
    let mut names: Vec<id::Duty> = Vec::new();
    let mut running = Running::default();
    loop {
        let current = names_of(&components, &view.borrow_and_update());
        if current != names {
            control.set_duties(current.clone()).await;
            names = current;
        }
        let held: Vec<lease::Grant> = {
            let state = state.borrow_and_update();
            let grants = state.duties.iter().map(|(grant, _)| grant.clone());
            grants.collect()
        };
        running.cancel_lost(&held);
        for grant in held {
            let component = components
                .iter()
                .find(|component| component.covers(&grant.duty));
            let is_new = !running.leases.contains_key(&grant.duty);
            if let Some(component) = component.filter(|_| is_new) {
                let context = Context {
                    grant,
                    control: control.clone(),
                    platform: shared.platform.clone(),
                    lease_lost: shared.stop.child_token(),
                };
                running.start(component.as_ref(), context);
            }
        }
        tokio::select! {
            () = shared.stop.cancelled() => break,
            changed = state.changed() => if changed.is_err() { break },
            changed = view.changed() => if changed.is_err() { break },
            _ = running.tasks.join_next(), if !running.tasks.is_empty() => {}
        }
    }
    while running.tasks.join_next().await.is_some() {}
}

fn names_of(components: &[Arc<dyn Duty>], view: &view::View) -> Vec<id::Duty> {
    let mut names: Vec<id::Duty> = components
        .iter()
        .flat_map(|component| component.names(view))
        .collect();
    names.sort();
    names.dedup();
    names
}
