//! Passing tokens between nodes as demand moves.

use crate::admission::share;
use crate::clock;
use crate::roster;
use crate::slots::deal;
use crate::slots::message;
use crate::slots::{Demand, Ledger, Output, Passing};

/// The shortest time between two reports, in milliseconds.
const REPORT_MIN_MS: u64 = 50;
/// The longest time between two reports, in milliseconds.
const REPORT_MAX_MS: u64 = 500;
/// A report is due when a kind's need has changed by so many thousandths of a slot.
const REPORT_CHANGE_MILLI: u32 = 2_000;
/// Reports older than this are not counted on, in milliseconds.
const REPORT_STALE_MS: u64 = 3 * clock::SECOND_MS;
/// An ask that brought nothing is repeated after so long, in milliseconds.
const ASK_REPEAT_MS: u64 = 5;
/// An ask is remembered for so long, in milliseconds.
const ASK_KEEP_MS: u64 = 30;
/// Members that are asked at once.
const ASK_FAN_OUT: usize = 2;
/// Members that are asked at once when an ask has just brought nothing.
const ASK_AGAIN_FAN_OUT: usize = 3;
/// The most tokens that one ask is for.
const ASK_SLOTS_MAX: u32 = 4;
/// Tokens that every serving member keeps, so that a first request finds one.
const KEEP_MIN: f64 = 1.0;

/// An ask that has not been met.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    from: roster::NodeId,
    slots: u32,
    until: clock::Instant,
}

/// What a member holds and what it should hold.
struct Standing {
    member: roster::NodeId,
    held: f64,
    target: f64,
}

/// A report that was never sent.
pub(super) fn empty_report() -> message::Report {
    message::Report {
        deal: deal::Deal::default(),
        complete: false,
        held: 0,
        free: 0,
        need_milli: Vec::new(),
        used_milli: Vec::new(),
    }
}

impl Ledger {
    /// Slots that the other nodes use and could use, by kind, as they last told.
    pub fn elsewhere(&self, now: clock::Instant) -> Demand {
        let kinds = self.settings.weights.len();
        let mut sum = Demand {
            need_milli: vec![0; kinds],
            used_milli: vec![0; kinds],
        };
        for peer in self.peers.values() {
            if now.since_ms(peer.heard_at) >= REPORT_STALE_MS {
                continue;
            }
            add(&mut sum.need_milli, &peer.need_milli);
            add(&mut sum.used_milli, &peer.used_milli);
        }
        sum
    }

    /// Changes the weights of the kinds' shares.
    pub fn set_weights(&mut self, weights: Vec<u32>) {
        self.settings.weights = weights;
        self.demand = Demand::default();
    }

    /// The number of members.
    pub fn members(&self) -> u32 {
        self.members.len() as u32
    }

    /// This node's place among the members, from zero.
    pub fn rank(&self) -> u32 {
        let earlier = self.members.iter().filter(|member| **member < self.me);
        earlier.count() as u32
    }

    pub(super) fn note_report(&mut self, from: roster::NodeId, report: message::Report) {
        let peer = self.peers.entry(from).or_default();
        peer.held = report.held;
        peer.free = report.free;
        peer.complete = report.complete;
        peer.need_milli = report.need_milli;
        peer.used_milli = report.used_milli;
    }

    /// Tells the others about holdings and demand when it is due.
    pub(super) fn report(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let report = message::Report {
            deal: self.deal,
            complete: self.complete,
            held: self.book.held(),
            free: self.book.free(),
            need_milli: self.demand.need_milli.clone(),
            used_milli: self.demand.used_milli.clone(),
        };
        if !self.report_is_due(now, &report) {
            return;
        }
        for member in self.members.iter().filter(|member| **member != self.me) {
            outputs.push(Output::Send {
                to: member.clone(),
                message: message::Message::Report(report.clone()),
            });
        }
        self.reported = report;
        self.reported_at = Some(now);
    }

    /// Settles what this node owes the members that are furthest below their targets.
    ///
    /// What is not free now is passed on as it becomes free.
    pub(super) fn plan_surplus(&mut self, now: clock::Instant) {
        self.owed.clear();
        if self.settings.passing == Passing::Fixed {
            return;
        }
        let mut standings = self.standings(now);
        let mine = standings.iter().find(|entry| entry.member == self.me);
        let target = mine.map_or(0.0, |entry| entry.target);
        let target = if self.leaving { 0.0 } else { target };
        let surplus = (f64::from(self.book.held()) - target.ceil()).max(0.0) as u32;
        standings.retain(|entry| entry.member != self.me && self.can_receive(&entry.member));
        for _ in 0..surplus {
            let neediest = standings
                .iter_mut()
                .max_by(|a, b| (a.target - a.held).total_cmp(&(b.target - b.held)));
            let needs = |entry: &&mut Standing| self.leaving || entry.target - entry.held >= 1.0;
            let Some(neediest) = neediest.filter(needs) else {
                return;
            };
            neediest.held += 1.0;
            self.owed.push(neediest.member.clone());
        }
    }

    /// Passes on what is owed, as far as tokens are free.
    pub(super) fn pay(&mut self, outputs: &mut Vec<Output>) {
        while let Some(to) = self.owed.pop() {
            if !self.give(&to, outputs) {
                self.owed.push(to);
                return;
            }
        }
    }

    pub(super) fn wait(&mut self, now: clock::Instant, waiting: u32, outputs: &mut Vec<Output>) {
        self.waiting = waiting;
        self.ask(now, outputs);
    }

    /// Asks another node for tokens when requests within their kinds' shares wait.
    pub(super) fn ask(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let fixed = self.settings.passing == Passing::Fixed;
        if fixed || self.waiting == 0 || self.book.free() > 0 {
            return;
        }
        if self
            .asked_at
            .is_some_and(|asked_at| now.since_ms(asked_at) < ASK_REPEAT_MS)
        {
            return;
        }
        let repeated = self
            .asked_at
            .is_some_and(|asked_at| now.since_ms(asked_at) < ASK_KEEP_MS);
        let fan_out = if repeated {
            ASK_AGAIN_FAN_OUT
        } else {
            ASK_FAN_OUT
        };
        self.asked_at = Some(now);
        let deal = self.deal;
        let slots = self.waiting.min(ASK_SLOTS_MAX);
        let mut candidates: Vec<_> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| peer.deal == deal)
            .collect();
        candidates.sort_by_key(|(_, peer)| (peer.free == 0, peer.asked_at));
        for (member, peer) in candidates.into_iter().take(fan_out) {
            peer.free = peer.free.saturating_sub(slots);
            peer.asked_at = now;
            self.counters.asks += 1;
            outputs.push(Output::Send {
                to: member.clone(),
                message: message::Message::Ask(message::Ask { deal, slots }),
            });
        }
    }

    pub(super) fn queue_ask(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        ask: message::Ask,
    ) {
        self.asks.retain(|pending| pending.from != from);
        self.asks.push(Pending {
            from,
            slots: ask.slots,
            until: now.after_ms(ASK_KEEP_MS),
        });
    }

    /// Meets asks with free tokens, unless requests within their shares wait here too.
    pub(super) fn answer_asks(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        self.asks
            .retain(|pending| pending.until > now && pending.slots > 0);
        if self.settings.passing == Passing::Fixed || self.waiting > 0 {
            return;
        }
        for index in 0..self.asks.len() {
            let to = self.asks[index].from.clone();
            while self.asks[index].slots > 0 && self.give(&to, outputs) {
                self.asks[index].slots -= 1;
            }
        }
    }

    /// Gives one free token away: forgets it, then sends it.
    fn give(&mut self, to: &roster::NodeId, outputs: &mut Vec<Output>) -> bool {
        if !self.can_receive(to) {
            return false;
        }
        let runners = self.book.runners.values_mut();
        let Some(runner) = runners.max_by_key(|runner| runner.free().count_ones()) else {
            return false;
        };
        let free = runner.free();
        if free == 0 {
            return false;
        }
        let mask = 1 << free.trailing_zeros();
        runner.owned &= !mask;
        let vm = runner.vm.clone();
        self.serial += 1;
        self.counters.given += 1;
        if let Some(peer) = self.peers.get_mut(to) {
            peer.held += 1;
        }
        outputs.push(Output::Send {
            to: to.clone(),
            message: message::Message::Give(message::Give {
                deal: self.deal,
                serial: self.serial,
                tokens: message::Tokens { vm, mask },
            }),
        });
        true
    }

    fn can_receive(&self, member: &roster::NodeId) -> bool {
        let peer = self.peers.get(member);
        peer.is_some_and(|peer| peer.deal == self.deal) && self.members.contains(member)
    }

    fn report_is_due(&self, now: clock::Instant, report: &message::Report) -> bool {
        let Some(reported_at) = self.reported_at else {
            return true;
        };
        let age_ms = now.since_ms(reported_at);
        if age_ms >= REPORT_MAX_MS || report.deal != self.reported.deal {
            return true;
        }
        if age_ms < REPORT_MIN_MS {
            return false;
        }
        let changed = |old: &[u32], new: &[u32]| {
            let pairs = old.iter().zip(new);
            let differs = pairs
                .into_iter()
                .any(|(a, b)| a.abs_diff(*b) >= REPORT_CHANGE_MILLI);
            differs || old.len() != new.len()
        };
        report.complete != self.reported.complete
            || report.held.abs_diff(self.reported.held) >= 2
            || (report.free == 0) != (self.reported.free == 0)
            || changed(&self.reported.need_milli, &report.need_milli)
            || changed(&self.reported.used_milli, &report.used_milli)
    }

    /// What each member holds and should hold: the kinds share the tokens by weight, and each kind's part follows its
    /// demand to the nodes; what no kind asks for is spread evenly.
    fn standings(&self, now: clock::Instant) -> Vec<Standing> {
        let mut standings = Vec::with_capacity(self.members.len());
        let mut needs: Vec<Vec<u32>> = Vec::with_capacity(self.members.len());
        for member in &self.members {
            let (held, need, used) = match self.peers.get(member) {
                _ if *member == self.me => (
                    self.book.held(),
                    &self.demand.need_milli,
                    &self.demand.used_milli,
                ),
                Some(peer) if now.since_ms(peer.heard_at) < REPORT_STALE_MS => {
                    (peer.held, &peer.need_milli, &peer.used_milli)
                }
                _ => continue,
            };
            standings.push(Standing {
                member: member.clone(),
                held: f64::from(held),
                target: KEEP_MIN,
            });
            needs.push(
                need.iter()
                    .zip(used)
                    .map(|(need, used)| *need.max(used))
                    .collect(),
            );
        }
        let held: f64 = standings.iter().map(|entry| entry.held).sum();
        let open = (held - KEEP_MIN * standings.len() as f64).max(0.0);
        self.spread(&mut standings, &needs, open);
        standings
    }

    /// Adds each member's part of the open tokens to its target.
    fn spread(&self, standings: &mut [Standing], needs: &[Vec<u32>], open: f64) {
        let need_of = |need: &[u32], kind: usize| f64::from(need.get(kind).copied().unwrap_or(0));
        let mut claims = Vec::with_capacity(self.settings.weights.len());
        for (kind, weight) in self.settings.weights.iter().enumerate() {
            let need_milli: f64 = needs.iter().map(|need| need_of(need, kind)).sum();
            claims.push(share::Claim {
                need: need_milli / 1_000.0,
                weight: *weight,
            });
        }
        let parts = share::max_min(open, &claims);
        let spare = (open - parts.iter().sum::<f64>()) / standings.len().max(1) as f64;
        for (entry, need) in standings.iter_mut().zip(needs) {
            entry.target += spare;
            for (kind, part) in parts.iter().enumerate() {
                if claims[kind].need > 0.0 {
                    entry.target += part * need_of(need, kind) / 1_000.0 / claims[kind].need;
                }
            }
        }
    }
}

fn add(sums: &mut [u32], milli: &[u32]) {
    for (sum, milli) in sums.iter_mut().zip(milli) {
        *sum += milli;
    }
}
