//! Enters assignments: reports the held tokens and assigns the tokens that no member holds.

use crate::clock;
use crate::roster;
use crate::slots::assignment;
use crate::slots::holdings;
use crate::slots::message;
use crate::slots::{Allocator, Output, Roster, RunnerSpec};

/// Interval at which the ownership report is resent to members that may lack it, in milliseconds.
const OWNERSHIP_RESEND_MS: u64 = 200;
/// Maximum age of the status reports that are used to detect missing tokens, in milliseconds.
const STATUS_FRESH_MS: u64 = 2 * clock::SECOND_MS;
/// Time after which missing tokens are assigned again, in milliseconds.
const MISSING_TIMEOUT_MS: u64 = 3 * clock::SECOND_MS;

/// Returns the ownership report of a node that has entered no assignment.
pub(super) fn empty() -> message::OwnershipReport {
    message::OwnershipReport {
        assignment: assignment::Assignment::default(),
        held: Vec::new(),
        awaited: Vec::new(),
    }
}

impl Allocator {
    pub(super) fn apply_roster(
        &mut self,
        now: clock::Instant,
        roster: Roster,
        outputs: &mut Vec<Output>,
    ) {
        if roster.version <= self.assignment.roster_version {
            return;
        }
        self.await_members();
        self.members = roster.members;
        self.awaited.extend(roster.departed);
        self.enter_assignment(now, assignment::Assignment::first(roster.version), outputs);
    }

    /// Enters an assignment: reports the tokens held now and waits for the reports of the other members.
    pub(super) fn enter_assignment(
        &mut self,
        now: clock::Instant,
        assignment: assignment::Assignment,
        outputs: &mut Vec<Output>,
    ) {
        self.await_members();
        self.assignment = assignment;
        self.complete = false;
        self.missing_since = None;
        self.accounted.clear();
        self.requests.clear();
        self.pending_transfers.clear();
        self.holdings.prune();
        for runner in self.holdings.runners.values_mut() {
            runner.applied = 0;
        }
        self.ownership = message::OwnershipReport {
            assignment,
            held: self.holdings.tokens(),
            awaited: self.awaited.iter().cloned().collect(),
        };
        self.reported_held.clear();
        let held = self.ownership.held.clone();
        self.add_reported(&held);
        self.prune_peers();
        self.resend_ownership(now, outputs);
        self.try_complete(now);
    }

    /// Records the ownership report of another member.
    pub(super) fn record_ownership(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        ownership: message::OwnershipReport,
    ) {
        if self.complete {
            return;
        }
        self.add_reported(&ownership.held);
        for member in ownership.awaited {
            if member != self.me && !self.accounted.contains(&member) {
                self.awaited.insert(member);
            }
        }
        self.awaited.remove(&from);
        self.accounted.insert(from);
        self.try_complete(now);
    }

    /// Records that a departed member can start no more requests; ignored for members of the roster, which can recover.
    pub(super) fn record_lapse(&mut self, now: clock::Instant, member: roster::NodeId) {
        if self.members.contains(&member) {
            return;
        }
        let ends_at = now.after_ms(self.settings.longest_request_ms);
        self.lapsed.entry(member).or_insert(ends_at);
        self.try_complete(now);
    }

    /// Stops waiting for departed members whose last requests have ended.
    ///
    /// Completes the assignment when no member is awaited any more.
    pub(super) fn try_complete(&mut self, now: clock::Instant) {
        if self.complete || self.members.is_empty() || now >= self.serving_until {
            return;
        }
        let lapsed = &self.lapsed;
        let ended =
            |member: &roster::NodeId| lapsed.get(member).is_some_and(|ends_at| *ends_at <= now);
        let ended = self.awaited.extract_if(.., ended);
        self.accounted.extend(ended);
        if self.awaited.is_empty() {
            self.complete = true;
            self.lapsed
                .retain(|member, _| !self.accounted.contains(member));
            self.claim_assigned();
        }
    }

    pub(super) fn set_runners(&mut self, specs: &[RunnerSpec]) {
        self.holdings.set_runners(specs);
        self.claim_assigned();
    }

    /// Takes the tokens that are assigned to this node and that no member reported.
    fn claim_assigned(&mut self) {
        if !self.complete {
            return;
        }
        for runner in self.holdings.runners.values_mut() {
            let unapplied = holdings::slot_mask(runner.slots) & !runner.applied;
            if unapplied == 0 {
                continue;
            }
            let reported_held = self.reported_held.get(&runner.vm).copied().unwrap_or(0);
            let assigned =
                assignment::assigned_mask(&self.members, &self.me, &runner.vm, runner.slots);
            let gained = assigned & unapplied & !reported_held;
            runner.applied |= unapplied;
            runner.owned |= gained;
            self.counters.assigned += u64::from(gained.count_ones());
        }
    }

    /// Sends the ownership report to members that may lack it.
    pub(super) fn resend_ownership(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        for member in &self.members {
            if *member == self.me {
                continue;
            }
            let peer = self.peers.entry(member.clone()).or_default();
            let has_report = peer.assignment == self.assignment && peer.complete;
            let recently_sent = peer
                .ownership_sent_at
                .is_some_and(|sent_at| now.since_ms(sent_at) < OWNERSHIP_RESEND_MS);
            if has_report || recently_sent {
                continue;
            }
            peer.ownership_sent_at = Some(now);
            outputs.push(Output::Send {
                to: member.clone(),
                message: message::Message::Ownership(self.ownership.clone()),
            });
        }
    }

    /// Starts a new assignment round when tokens have been missing for too long.
    ///
    /// The first member waits [`MISSING_TIMEOUT_MS`] and the others twice as long, so that usually only one member
    /// starts a round.
    pub(super) fn detect_missing(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let Some(held) = self.held_by_members(now) else {
            self.missing_since = None;
            return;
        };
        if held >= self.holdings.slots() {
            self.missing_since = None;
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let first = self.members.iter().min() == Some(&self.me);
        let timeout_ms = if first {
            MISSING_TIMEOUT_MS
        } else {
            2 * MISSING_TIMEOUT_MS
        };
        if now.since_ms(since) >= timeout_ms {
            self.counters.rounds += 1;
            self.enter_assignment(now, self.assignment.next_round(), outputs);
        }
    }

    /// Returns the number of tokens held by all members; `None` unless all have sent a recent status report and have
    /// completed the assignment.
    fn held_by_members(&self, now: clock::Instant) -> Option<u32> {
        if !self.complete {
            return None;
        }
        let mut held = self.holdings.held();
        for member in self.members.iter().filter(|member| **member != self.me) {
            let peer = self.peers.get(member)?;
            let fresh = now.since_ms(peer.last_received_at) < STATUS_FRESH_MS;
            if peer.assignment != self.assignment || !peer.complete || !fresh {
                return None;
            }
            held += peer.held;
        }
        Some(held)
    }

    /// Adds every other member of the current assignment to the awaited members.
    fn await_members(&mut self) {
        let others = self.members.iter().filter(|member| **member != self.me);
        self.awaited.extend(others.cloned());
    }

    fn add_reported(&mut self, held: &[message::Tokens]) {
        for tokens in held {
            *self.reported_held.entry(tokens.vm.clone()).or_insert(0) |= tokens.mask;
        }
    }

    /// Removes the state of nodes that are neither members nor awaited.
    fn prune_peers(&mut self) {
        let members = &self.members;
        let awaited = &self.awaited;
        self.peers
            .retain(|member, _| members.contains(member) || awaited.contains(member));
        for peer in self.peers.values_mut() {
            peer.complete = false;
            peer.ownership_sent_at = None;
        }
    }
}
