//! What must always hold, and what is measured beside it.

use std::collections::BTreeMap;

use snafu::Snafu;
use wasabiloft::clock;
use wasabiloft::config;
use wasabiloft::control;
use wasabiloft::id;
use wasabiloft::lease;

use super::NodeIndex;

/// An accepted change is in force on every serving node after this time.
pub const IN_FORCE_MS: u64 = 7_000;

/// Something that must never happen.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Breach {
    /// A node's configuration went back.
    #[snafu(display("entry-{node} went back from {from} to {to}"))]
    WentBack {
        /// The node's number.
        node: usize,
        /// The head that it had.
        from: u64,
        /// The head that it has.
        to: u64,
    },
    /// A node serves on a configuration that is too old.
    #[snafu(display(
        "entry-{node} serves at head {head}, {accepted} was accepted {age_ms} ms ago"
    ))]
    Outdated {
        /// The node's number.
        node: usize,
        /// Its head.
        head: u64,
        /// The accepted head.
        accepted: u64,
        /// The time since then.
        age_ms: u64,
    },
    /// Two nodes may act for a duty.
    #[snafu(display("entry-{one} and entry-{other} hold {duty}"))]
    TwoHolders {
        /// The duty.
        duty: id::Duty,
        /// A node's number.
        one: usize,
        /// The other's.
        other: usize,
    },
}

/// An edit and what became of it.
#[derive(Clone, Debug)]
pub struct Edit {
    /// Where it was made.
    pub node: NodeIndex,
    /// The service.
    pub service: id::Service,
    /// The version that it was made for.
    pub if_match: u64,
    /// Its status.
    pub status: config::edit::Status,
    /// When it was made.
    pub made_at: clock::Instant,
    /// When it was accepted.
    pub accepted_at: Option<clock::Instant>,
    /// When each process had it, if it served then.
    pub in_force_at: BTreeMap<NodeIndex, clock::Instant>,
    token: config::edit::Token,
}

/// The checks' state.
#[derive(Debug, Default)]
pub(super) struct Checks {
    edits: Vec<Edit>,
    /// Edits that are open at a process.
    open: BTreeMap<NodeIndex, Vec<usize>>,
    /// Accepted heads by their moment.
    accepted: Vec<(clock::Instant, u64)>,
    held_at: BTreeMap<id::Duty, clock::Instant>,
    longest_vacancy_ms: u64,
    longest_outdated_ms: u64,
}

impl Checks {
    pub(super) fn follow(
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

    /// Follows the edits that are open at a process.
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
        open.retain(|place| {
            let edit = &mut edits[*place];
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

    /// Checks that a serving process has what was accepted, and notes when it got it.
    pub(super) fn check_force(
        &mut self,
        now: clock::Instant,
        node: NodeIndex,
        name: usize,
        head: u64,
        serves: bool,
    ) -> Result<(), Breach> {
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
                return Err(Breach::Outdated {
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

    pub(super) fn note_holder(&mut self, now: clock::Instant, held: &[lease::Grant]) {
        for grant in held {
            let since = self.held_at.insert(grant.duty.clone(), now).unwrap_or(now);
            self.longest_vacancy_ms = self.longest_vacancy_ms.max(now.since_ms(since));
        }
    }
}
