//! Entering deals: telling what is held, and dealing out what nobody holds.

use crate::clock;
use crate::roster;
use crate::slots::book;
use crate::slots::deal;
use crate::slots::message;
use crate::slots::{Ledger, Output, Roster, RunnerSpec};

/// A census is repeated to members that lack it after so long, in milliseconds.
const CENSUS_REPEAT_MS: u64 = 200;
/// Reports older than this say nothing about missing tokens, in milliseconds.
const REPORT_FRESH_MS: u64 = 2 * clock::SECOND_MS;
/// Tokens that are missing for so long are dealt again, in milliseconds.
const MISSING_MS: u64 = 3 * clock::SECOND_MS;

/// The census of a node in no deal.
pub(super) fn empty() -> message::Census {
    message::Census {
        deal: deal::Deal::default(),
        held: Vec::new(),
        awaited: Vec::new(),
    }
}

impl Ledger {
    pub(super) fn enter_roster(
        &mut self,
        now: clock::Instant,
        roster: Roster,
        outputs: &mut Vec<Output>,
    ) {
        if roster.version <= self.deal.roster_version {
            return;
        }
        self.await_members();
        self.members = roster.members;
        self.awaited.extend(roster.departed);
        self.enter(now, deal::Deal::of_roster(roster.version), outputs);
    }

    /// Enters a deal: freezes what is held, tells it, and waits for the others.
    pub(super) fn enter(
        &mut self,
        now: clock::Instant,
        deal: deal::Deal,
        outputs: &mut Vec<Output>,
    ) {
        self.await_members();
        self.deal = deal;
        self.complete = false;
        self.short_since = None;
        self.settled.clear();
        self.asks.clear();
        self.owed.clear();
        self.book.prune();
        for runner in self.book.runners.values_mut() {
            runner.claimed = 0;
        }
        self.census = message::Census {
            deal,
            held: self.book.holdings(),
            awaited: self.awaited.iter().cloned().collect(),
        };
        self.listed.clear();
        let held = self.census.held.clone();
        self.list(&held);
        self.forget_peers();
        self.repeat_census(now, outputs);
        self.settle(now);
    }

    /// Counts another member's census in.
    pub(super) fn count_census(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        census: message::Census,
    ) {
        if self.complete {
            return;
        }
        self.list(&census.held);
        for member in census.awaited {
            if member != self.me && !self.settled.contains(&member) {
                self.awaited.insert(member);
            }
        }
        self.awaited.remove(&from);
        self.settled.insert(from);
        self.settle(now);
    }

    /// Notes that a departed member can start nothing any more; a member of the roster may still come back.
    pub(super) fn lapse(&mut self, now: clock::Instant, member: roster::NodeId) {
        if self.members.contains(&member) {
            return;
        }
        let ends_at = now.after_ms(self.settings.longest_request_ms);
        self.lapsed.entry(member).or_insert(ends_at);
        self.settle(now);
    }

    /// Stops waiting for departed members whose last requests have ended, and deals when nobody is left.
    pub(super) fn settle(&mut self, now: clock::Instant) {
        if self.complete || self.members.is_empty() || now >= self.serving_until {
            return;
        }
        let lapsed = &self.lapsed;
        let ended =
            |member: &roster::NodeId| lapsed.get(member).is_some_and(|ends_at| *ends_at <= now);
        let ended = self.awaited.extract_if(.., ended);
        self.settled.extend(ended);
        if self.awaited.is_empty() {
            self.complete = true;
            self.lapsed
                .retain(|member, _| !self.settled.contains(member));
            self.claim();
        }
    }

    pub(super) fn list_runners(&mut self, specs: &[RunnerSpec]) {
        self.book.list(specs);
        self.claim();
    }

    /// Takes the tokens that the deal gives to this node and that nobody held.
    fn claim(&mut self) {
        if !self.complete {
            return;
        }
        for runner in self.book.runners.values_mut() {
            let open = book::mask_of(runner.slots) & !runner.claimed;
            if open == 0 {
                continue;
            }
            let listed = self.listed.get(&runner.vm).copied().unwrap_or(0);
            let dealt = deal::dealt_mask(&self.members, &self.me, &runner.vm, runner.slots);
            let gained = dealt & open & !listed;
            runner.claimed |= open;
            runner.owned |= gained;
            self.counters.dealt += u64::from(gained.count_ones());
        }
    }

    /// Sends the census to members that may lack it.
    pub(super) fn repeat_census(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        for member in &self.members {
            if *member == self.me {
                continue;
            }
            let peer = self.peers.entry(member.clone()).or_default();
            let has_it = peer.deal == self.deal && peer.complete;
            let recent = peer
                .census_sent_at
                .is_some_and(|sent_at| now.since_ms(sent_at) < CENSUS_REPEAT_MS);
            if has_it || recent {
                continue;
            }
            peer.census_sent_at = Some(now);
            outputs.push(Output::Send {
                to: member.clone(),
                message: message::Message::Census(self.census.clone()),
            });
        }
    }

    /// Starts a round when tokens have been missing for long.
    pub(super) fn find_missing(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let Some(held) = self.held_by_all(now) else {
            self.short_since = None;
            return;
        };
        if held >= self.book.slots() {
            self.short_since = None;
            return;
        }
        let since = *self.short_since.get_or_insert(now);
        let first = self.members.iter().min() == Some(&self.me);
        let patience_ms = if first { MISSING_MS } else { 2 * MISSING_MS };
        if now.since_ms(since) >= patience_ms {
            self.counters.rounds += 1;
            self.enter(now, self.deal.next_round(), outputs);
        }
    }

    /// Tokens held by all members, if all have told lately and the deal is complete everywhere.
    fn held_by_all(&self, now: clock::Instant) -> Option<u32> {
        if !self.complete {
            return None;
        }
        let mut held = self.book.held();
        for member in self.members.iter().filter(|member| **member != self.me) {
            let peer = self.peers.get(member)?;
            let fresh = now.since_ms(peer.heard_at) < REPORT_FRESH_MS;
            if peer.deal != self.deal || !peer.complete || !fresh {
                return None;
            }
            held += peer.held;
        }
        Some(held)
    }

    /// Waits for every member of the deal that is being left.
    fn await_members(&mut self) {
        let others = self.members.iter().filter(|member| **member != self.me);
        self.awaited.extend(others.cloned());
    }

    fn list(&mut self, held: &[message::Tokens]) {
        for tokens in held {
            *self.listed.entry(tokens.vm.clone()).or_insert(0) |= tokens.mask;
        }
    }

    /// Drops what is known of nodes that are neither members nor awaited.
    fn forget_peers(&mut self) {
        let members = &self.members;
        let awaited = &self.awaited;
        self.peers
            .retain(|member, _| members.contains(member) || awaited.contains(member));
        for peer in self.peers.values_mut() {
            peer.complete = false;
            peer.census_sent_at = None;
        }
    }
}
