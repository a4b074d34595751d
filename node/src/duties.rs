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
use crate::platform;

/// The task of a duty.
pub type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The edge at which a slice's duties plug in.
pub trait Duty: Send + Sync {
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

/// Runs the duties whose leases this node holds, until `stop`.
pub async fn run(
    control: control::Handle,
    platform: platform::Client,
    slices: Vec<Arc<dyn Duty>>,
    stop: CancellationToken,
) {
    let mut state = control.watch();
    let mut running: HashMap<id::Duty, (lease::Grant, CancellationToken)> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let held: Vec<lease::Grant> = {
            let state = state.borrow_and_update();
            state
                .duties
                .iter()
                .map(|(grant, _)| grant.clone())
                .collect()
        };
        running.retain(|duty, (grant, lost)| {
            let kept = held.contains(grant);
            if !kept {
                log::info("lease", &format!("lost duty={duty} epoch={}", grant.epoch));
                lost.cancel();
            }
            kept
        });
        for grant in held {
            let slice = slices.iter().find(|slice| slice.covers(&grant.duty));
            let Some(slice) = slice.filter(|_| !running.contains_key(&grant.duty)) else {
                continue;
            };
            log::info(
                "lease",
                &format!("holds duty={} epoch={}", grant.duty, grant.epoch),
            );
            let lost = stop.child_token();
            running.insert(grant.duty.clone(), (grant.clone(), lost.clone()));
            tasks.spawn(slice.run(Context {
                grant,
                control: control.clone(),
                platform: platform.clone(),
                lost,
            }));
        }
        tokio::select! {
            () = stop.cancelled() => break,
            changed = state.changed() => if changed.is_err() { break },
            _ = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
    while tasks.join_next().await.is_some() {}
}
