//! Duties of control: runs a task for each duty while this node holds its lease.
//!
//! A slice plugs in by [`Duty`]: the runner calls [`Duty::run`] when the node gets a lease and cancels the task when
//! the lease is lost. A task commits by [`Context::commit`], which adds the check on the duty's row, and asks
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

/// The edge at which a slice's duties plug in.
pub trait Duty: Send + Sync {
    /// The duties that this slice has while these documents are in force; the same on all nodes.
    fn names(&self, view: &view::View) -> Vec<id::Duty>;

    /// True if this slice runs the duty.
    fn covers(&self, duty: &id::Duty) -> bool;

    /// The duty's work, until [`Context::lost`] is cancelled.
    fn run(&self, context: Context) -> Task;
}

/// What a duty's task works with.
#[derive(Clone, Debug)]
pub struct Context {
    /// The right to act; its epoch goes with every effect.
    pub grant: lease::Grant,
    /// The control part.
    pub control: control::Handle,
    /// The platform's client.
    pub platform: platform::Client,
    /// Cancelled when the lease is lost or the node stops.
    pub lost: CancellationToken,
}

impl Context {
    /// Whether an effect may start now; to be asked right before it.
    pub fn may_act(&self) -> bool {
        !self.lost.is_cancelled() && self.control.may_act(&self.grant)
    }

    /// The intent that goes with an effect.
    pub fn intent(&self, operation: id::Operation) -> messages::Intent {
        messages::Intent {
            operation,
            duty: self.grant.duty.clone(),
            epoch: self.grant.epoch,
        }
    }

    /// Commits a transaction on condition that the lease is still this one; `None` if the node stops.
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
    /// Cancels the tasks whose lease is not held any more.
    fn cancel_lost(&mut self, held: &[lease::Grant]) {
        self.leases.retain(|duty, (grant, lost)| {
            let kept = held.contains(grant);
            if !kept {
                log::info("lease", &format!("lost duty={duty} epoch={}", grant.epoch));
                lost.cancel();
            }
            kept
        });
    }

    fn start(&mut self, slice: &dyn Duty, context: Context) {
        let grant = &context.grant;
        log::info(
            "lease",
            &format!("holds duty={} epoch={}", grant.duty, grant.epoch),
        );
        let lease = (grant.clone(), context.lost.clone());
        self.leases.insert(grant.duty.clone(), lease);
        self.tasks.spawn(slice.run(context));
    }
}

/// Runs the duties whose leases this node holds, until `stop`.
pub async fn run(shared: Arc<node::Shared>, slices: Vec<Arc<dyn Duty>>) {
    let control = &shared.control;
    let mut state = control.watch();
    let mut view = shared.view.subscribe();
    let mut names: Vec<id::Duty> = Vec::new();
    let mut running = Running::default();
    loop {
        let wanted = names_of(&slices, &view.borrow_and_update());
        if wanted != names {
            control.set_duties(wanted.clone()).await;
            names = wanted;
        }
        let held: Vec<lease::Grant> = {
            let state = state.borrow_and_update();
            let grants = state.duties.iter().map(|(grant, _)| grant.clone());
            grants.collect()
        };
        running.cancel_lost(&held);
        for grant in held {
            let slice = slices.iter().find(|slice| slice.covers(&grant.duty));
            let is_new = !running.leases.contains_key(&grant.duty);
            if let Some(slice) = slice.filter(|_| is_new) {
                let context = Context {
                    grant,
                    control: control.clone(),
                    platform: shared.platform.clone(),
                    lost: shared.stop.child_token(),
                };
                running.start(slice.as_ref(), context);
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

fn names_of(slices: &[Arc<dyn Duty>], view: &view::View) -> Vec<id::Duty> {
    let mut names: Vec<id::Duty> = slices.iter().flat_map(|slice| slice.names(view)).collect();
    names.sort();
    names.dedup();
    names
}
