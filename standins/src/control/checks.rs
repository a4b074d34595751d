//! Checks the invariants of the simulated world, and records related measurements.

use std::collections::BTreeMap;

use snafu::Snafu;
use wasabiloft::clock;
use wasabiloft::config;
use wasabiloft::control;
use wasabiloft::id;
use wasabiloft::lease;

use super::NodeIndex;

/// Time after which an accepted change is in force on every serving node, in milliseconds.
pub const IN_FORCE_MS: u64 = 7_000;

/// Violation of an invariant.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Violation {
    /// A node's configuration reverted to an older head.
    #[snafu(display("entry-{node} reverted from head {from} to {to}"))]
    WentBack {
        /// Number of the node.
        node: usize,
        /// Head before.
        from: u64,
        /// Head now.
        to: u64,
    },
    /// A node serves with an outdated configuration.
    #[snafu(display(
        "entry-{node} serves at head {head}, but head {accepted} was accepted {age_ms} ms ago"
    ))]
    Outdated {
        /// Number of the node.
        node: usize,
        /// Head of the node.
        head: u64,
        /// A newer head that was accepted.
        accepted: u64,
        /// Time since its acceptance, in milliseconds.
        age_ms: u64,
    },
    /// Two nodes hold the lease of one duty at the same time.
    #[snafu(display("entry-{one} and entry-{other} hold {duty}"))]
    TwoHolders {
        /// Duty that both hold.
        duty: id::Duty,
        /// Number of one node.
        one: usize,
        /// Number of the other node.
        other: usize,
    },
}

/// An edit and its outcome.
#[derive(Clone, Debug)]
pub struct Edit {
    /// Process that received the edit.
    pub node: NodeIndex,
    /// Service whose document is edited.
    pub service: id::Service,
    /// Document version that the edit requires.
    pub if_match: u64,
    /// Last known status.
    pub status: config::edit::Status,
    /// Time of submission.
    pub made_at: clock::Instant,
    /// Time of acceptance; absent until then.
    pub accepted_at: Option<clock::Instant>,
    /// First time at which each process had the edit while it served.
    pub in_force_at: BTreeMap<NodeIndex, clock::Instant>,
    token: config::edit::Token,
}

/// State of the checks.
#[derive(Debug, Default)]
pub(super) struct Checks {
    edits: Vec<Edit>,
    /// Indexes of the edits without a final status, by process.
    open: BTreeMap<NodeIndex, Vec<usize>>,
    /// Accepted heads with the time of acceptance, in order.
    accepted: Vec<(clock::Instant, u64)>,
    last_held_at: BTreeMap<id::Duty, clock::Instant>,
    longest_vacancy_ms: u64,
    longest_outdated_ms: u64,
}

impl Checks {
    pub(super) fn track_edit(
        &mut self,
        now: clock::Instant,
        node: NodeIndex,
        token: config::edit::Token,
        service: &id::Service,
        if_match: u64,
    ) {
        self.open.entry(node).or_default().push(self.edits.len());
        self.edits.push(Edit {
            node,
            service: service.clone(),
            if_match,
            status: config::edit::Status::Queued,
            made_at: now,
            accepted_at: None,
            in_force_at: BTreeMap::new(),
            token,
        });
    }

    pub(super) fn edits(&self) -> &[Edit] {
        &self.edits
    }

    pub(super) fn take_longest_vacancy_ms(&mut self) -> u64 {
        std::mem::take(&mut self.longest_vacancy_ms)
    }

    pub(super) fn longest_outdated_ms(&self) -> u64 {
        self.longest_outdated_ms
    }

    /// Updates the status of the unfinished edits at a process.
    pub(super) fn on_progress(
        &mut self,
        now: clock::Instant,
        node: NodeIndex,
        control: &control::Control,
    ) {
        let Some(open) = self.open.get_mut(&node) else {
            return;
        };
        let edits = &mut self.edits;
        let accepted = &mut self.accepted;
        open.retain(|index| {
            let edit = &mut edits[*index];
            if let Some(status) = control.edit_status(edit.token) {
                edit.status = status;
            }
            match edit.status {
                config::edit::Status::Accepted(head) => {
                    edit.accepted_at = Some(now);
                    accepted.push((now, head));
                    false
                }
                config::edit::Status::Raced(_) => false,
                _ => true,
            }
        });
    }

    /// Checks that a serving process has the accepted edits, and records when it first had them.
    pub(super) fn check_in_force(
        &mut self,
        now: clock::Instant,
        node: NodeIndex,
        name: usize,
        head: u64,
        serves: bool,
    ) -> Result<(), Violation> {
        if !serves {
            return Ok(());
        }
        for edit in self.edits.iter_mut().rev().take(256) {
            let version = match edit.status {
                config::edit::Status::Committed(version)
                | config::edit::Status::Accepted(version) => version,
                _ => continue,
            };
            if version <= head {
                edit.in_force_at.entry(node).or_insert(now);
            }
        }
        for (accepted_at, accepted) in self.accepted.iter().rev() {
            let age_ms = now.since_ms(*accepted_at);
            if *accepted > head {
                self.longest_outdated_ms = self.longest_outdated_ms.max(age_ms);
            }
            if *accepted > head && age_ms > IN_FORCE_MS {
                return Err(Violation::Outdated {
                    node: name,
                    head,
                    accepted: *accepted,
                    age_ms,
                });
            }
            if age_ms > 10 * IN_FORCE_MS {
                break;
            }
        }
        Ok(())
    }

    pub(super) fn record_grants(&mut self, now: clock::Instant, held: &[lease::Grant]) {
        for grant in held {
            let since = self
                .last_held_at
                .insert(grant.duty.clone(), now)
                .unwrap_or(now);
            self.longest_vacancy_ms = self.longest_vacancy_ms.max(now.since_ms(since));
        }
    }
}
