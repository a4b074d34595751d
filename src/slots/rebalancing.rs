//! Transfers tokens between nodes as their demand changes.

use crate::admission::share;
use crate::clock;
use crate::roster;
use crate::slots::assignment;
use crate::slots::message;
use crate::slots::{Allocator, Demand, Output, Rebalancing};

/// Minimum time between two status reports, in milliseconds.
const STATUS_MIN_MS: u64 = 50;
/// Maximum time between two status reports, in milliseconds.
const STATUS_MAX_MS: u64 = 500;
/// Change of a kind's need or use that makes a status report due, in thousandths of a slot.
const STATUS_CHANGE_MILLI: u32 = 2_000;
/// Age from which status reports are ignored, in milliseconds.
const STATUS_STALE_MS: u64 = 3 * clock::SECOND_MS;
/// Time after which a token request is sent again if it brought no tokens, in milliseconds.
const REQUEST_RETRY_MS: u64 = 5;
/// How long a received token request stays queued, in milliseconds.
const REQUEST_KEEP_MS: u64 = 30;
/// Number of members that a first token request is sent to.
const REQUEST_FAN_OUT: usize = 2;
/// Number of members that a repeated token request is sent to.
const RETRY_FAN_OUT: usize = 3;
/// Maximum number of tokens in one token request.
const REQUEST_SLOTS_MAX: u32 = 4;
/// Number of tokens that every serving member keeps, so that its first request finds one.
const MEMBER_TOKENS_MIN: f64 = 1.0;

/// A received token request that is not fully served yet.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    from: roster::NodeId,
    slots: u32,
    expires_at: clock::Instant,
}

/// The number of tokens that a member holds, and the number that it should hold.
struct Allocation {
    member: roster::NodeId,
    held: f64,
    target: f64,
}

/// Returns the status report of a node that has sent none.
pub(super) fn empty_status() -> message::StatusReport {
    message::StatusReport {
        assignment: assignment::Assignment::default(),
        complete: false,
        held: 0,
        free: 0,
        need_milli: Vec::new(),
        used_milli: Vec::new(),
    }
}

impl Allocator {
    /// Returns the total demand of the other members by kind, from their recent status reports.
    pub fn peer_demand(&self, now: clock::Instant) -> Demand {
        let kinds = self.settings.weights.len();
        let mut sum = Demand {
            need_milli: vec![0; kinds],
            used_milli: vec![0; kinds],
        };
        for peer in self.peers.values() {
            if now.since_ms(peer.last_received_at) >= STATUS_STALE_MS {
                continue;
            }
            add_each(&mut sum.need_milli, &peer.need_milli);
            add_each(&mut sum.used_milli, &peer.used_milli);
        }
        sum
    }

    /// Sets the weights of the kinds' shares and resets the demand of this node.
    pub fn set_weights(&mut self, weights: Vec<u32>) {
        self.settings.weights = weights;
        self.demand = Demand::default();
    }

    /// Returns the number of members of the roster.
    pub fn members(&self) -> u32 {
        self.members.len() as u32
    }

    /// Returns the position of this node among the sorted members, from zero.
    pub fn rank(&self) -> u32 {
        let earlier = self.members.iter().filter(|member| **member < self.me);
        earlier.count() as u32
    }

    pub(super) fn record_status(&mut self, from: roster::NodeId, status: message::StatusReport) {
        let peer = self.peers.entry(from).or_default();
        peer.held = status.held;
        peer.free = status.free;
        peer.complete = status.complete;
        peer.need_milli = status.need_milli;
        peer.used_milli = status.used_milli;
    }

    /// Sends a status report to the other members when it is due.
    pub(super) fn report_status(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let status = message::StatusReport {
            assignment: self.assignment,
            complete: self.complete,
            held: self.holdings.held(),
            free: self.holdings.free(),
            need_milli: self.demand.need_milli.clone(),
            used_milli: self.demand.used_milli.clone(),
        };
        if !self.status_is_due(now, &status) {
            return;
        }
        for member in self.members.iter().filter(|member| **member != self.me) {
            outputs.push(Output::Send {
                to: member.clone(),
                message: message::Message::Status(status.clone()),
            });
        }
        self.last_status = status;
        self.status_sent_at = Some(now);
    }

    /// Plans transfers of this node's surplus to the members that are furthest below their targets.
    ///
    /// Tokens that are in use are transferred as they become free.
    pub(super) fn plan_transfers(&mut self, now: clock::Instant) {
        self.pending_transfers.clear();
        if self.settings.rebalancing == Rebalancing::Fixed {
            return;
        }
        let mut allocations = self.allocations(now);
        let own = allocations
            .iter()
            .find(|allocation| allocation.member == self.me);
        let target = own.map_or(0.0, |allocation| allocation.target);
        let target = if self.leaving { 0.0 } else { target };
        let surplus = (f64::from(self.holdings.held()) - target.ceil()).max(0.0) as u32;
        allocations.retain(|allocation| {
            allocation.member != self.me && self.can_receive(&allocation.member)
        });
        for _ in 0..surplus {
            let neediest = allocations
                .iter_mut()
                .max_by(|a, b| (a.target - a.held).total_cmp(&(b.target - b.held)));
            let is_below_target = |allocation: &&mut Allocation| {
                self.leaving || allocation.target - allocation.held >= 1.0
            };
            let Some(neediest) = neediest.filter(is_below_target) else {
                return;
            };
            neediest.held += 1.0;
            self.pending_transfers.push(neediest.member.clone());
        }
    }

    /// Sends the planned transfers as far as tokens are free.
    pub(super) fn send_pending_transfers(&mut self, outputs: &mut Vec<Output>) {
        while let Some(to) = self.pending_transfers.pop() {
            if !self.transfer(&to, outputs) {
                self.pending_transfers.push(to);
                return;
            }
        }
    }

    pub(super) fn set_waiting(
        &mut self,
        now: clock::Instant,
        waiting: u32,
        outputs: &mut Vec<Output>,
    ) {
        self.waiting = waiting;
        self.request_tokens(now, outputs);
    }

    /// Requests tokens from other members when requests within their kinds' shares are waiting.
    pub(super) fn request_tokens(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        let fixed = self.settings.rebalancing == Rebalancing::Fixed;
        if fixed || self.waiting == 0 || self.holdings.free() > 0 {
            return;
        }
        if self
            .requested_at
            .is_some_and(|requested_at| now.since_ms(requested_at) < REQUEST_RETRY_MS)
        {
            return;
        }
        let is_retry = self
            .requested_at
            .is_some_and(|requested_at| now.since_ms(requested_at) < REQUEST_KEEP_MS);
        let fan_out = if is_retry {
            RETRY_FAN_OUT
        } else {
            REQUEST_FAN_OUT
        };
        self.requested_at = Some(now);
        let assignment = self.assignment;
        let slots = self.waiting.min(REQUEST_SLOTS_MAX);
        let mut candidates: Vec<_> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| peer.assignment == assignment)
            .collect();
        candidates.sort_by_key(|(_, peer)| (peer.free == 0, peer.requested_at));
        for (member, peer) in candidates.into_iter().take(fan_out) {
            peer.free = peer.free.saturating_sub(slots);
            peer.requested_at = now;
            self.counters.token_requests += 1;
            outputs.push(Output::Send {
                to: member.clone(),
                message: message::Message::Request(message::TokenRequest { assignment, slots }),
            });
        }
    }

    pub(super) fn queue_request(
        &mut self,
        now: clock::Instant,
        from: roster::NodeId,
        request: message::TokenRequest,
    ) {
        self.requests.retain(|request| request.from != from);
        self.requests.push(QueuedRequest {
            from,
            slots: request.slots,
            expires_at: now.after_ms(REQUEST_KEEP_MS),
        });
    }

    /// Serves token requests with free tokens, unless requests within their kinds' shares wait on this node too.
    pub(super) fn serve_requests(&mut self, now: clock::Instant, outputs: &mut Vec<Output>) {
        self.requests
            .retain(|request| request.expires_at > now && request.slots > 0);
        if self.settings.rebalancing == Rebalancing::Fixed || self.waiting > 0 {
            return;
        }
        for index in 0..self.requests.len() {
            let to = self.requests[index].from.clone();
            while self.requests[index].slots > 0 && self.transfer(&to, outputs) {
                self.requests[index].slots -= 1;
            }
        }
    }

    /// Transfers one free token: removes it, then sends it. Returns false if that is not possible.
    fn transfer(&mut self, to: &roster::NodeId, outputs: &mut Vec<Output>) -> bool {
        if !self.can_receive(to) {
            return false;
        }
        let runners = self.holdings.runners.values_mut();
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
        self.counters.transferred += 1;
        if let Some(peer) = self.peers.get_mut(to) {
            peer.held += 1;
        }
        outputs.push(Output::Send {
            to: to.clone(),
            message: message::Message::Transfer(message::Transfer {
                assignment: self.assignment,
                serial: self.serial,
                tokens: message::Tokens { vm, mask },
            }),
        });
        true
    }

    fn can_receive(&self, member: &roster::NodeId) -> bool {
        let peer = self.peers.get(member);
        peer.is_some_and(|peer| peer.assignment == self.assignment) && self.members.contains(member)
    }

    fn status_is_due(&self, now: clock::Instant, status: &message::StatusReport) -> bool {
        let Some(status_sent_at) = self.status_sent_at else {
            return true;
        };
        let age_ms = now.since_ms(status_sent_at);
        if age_ms >= STATUS_MAX_MS || status.assignment != self.last_status.assignment {
            return true;
        }
        if age_ms < STATUS_MIN_MS {
            return false;
        }
        let changed = |old: &[u32], new: &[u32]| {
            let pairs = old.iter().zip(new);
            let differs = pairs
                .into_iter()
                .any(|(a, b)| a.abs_diff(*b) >= STATUS_CHANGE_MILLI);
            differs || old.len() != new.len()
        };
        status.complete != self.last_status.complete
            || status.held.abs_diff(self.last_status.held) >= 2
            || (status.free == 0) != (self.last_status.free == 0)
            || changed(&self.last_status.need_milli, &status.need_milli)
            || changed(&self.last_status.used_milli, &status.used_milli)
    }

    /// Returns the held and target tokens of each member with a recent status status.
    ///
    /// The kinds share the tokens by weight, and each kind's share is split among the members by their demand. Tokens
    /// that no kind demands are split evenly.
    fn allocations(&self, now: clock::Instant) -> Vec<Allocation> {
        let mut allocations = Vec::with_capacity(self.members.len());
        let mut needs: Vec<Vec<u32>> = Vec::with_capacity(self.members.len());
        for member in &self.members {
            let (held, need, used) = match self.peers.get(member) {
                _ if *member == self.me => (
                    self.holdings.held(),
                    &self.demand.need_milli,
                    &self.demand.used_milli,
                ),
                Some(peer) if now.since_ms(peer.last_received_at) < STATUS_STALE_MS => {
                    (peer.held, &peer.need_milli, &peer.used_milli)
                }
                _ => continue,
            };
            allocations.push(Allocation {
                member: member.clone(),
                held: f64::from(held),
                target: MEMBER_TOKENS_MIN,
            });
            needs.push(
                need.iter()
                    .zip(used)
                    .map(|(need, used)| *need.max(used))
                    .collect(),
            );
        }
        let held: f64 = allocations.iter().map(|allocation| allocation.held).sum();
        let distributable = (held - MEMBER_TOKENS_MIN * allocations.len() as f64).max(0.0);
        self.add_shares(&mut allocations, &needs, distributable);
        allocations
    }

    /// Adds each member's share of the distributable tokens to its target.
    fn add_shares(&self, allocations: &mut [Allocation], needs: &[Vec<u32>], distributable: f64) {
        let need_of = |need: &[u32], kind: usize| f64::from(need.get(kind).copied().unwrap_or(0));
        let mut claims = Vec::with_capacity(self.settings.weights.len());
        for (kind, weight) in self.settings.weights.iter().enumerate() {
            let need_milli: f64 = needs.iter().map(|need| need_of(need, kind)).sum();
            claims.push(share::Claim {
                need: need_milli / 1_000.0,
                weight: *weight,
            });
        }
        let shares = share::max_min(distributable, &claims);
        let even_share =
            (distributable - shares.iter().sum::<f64>()) / allocations.len().max(1) as f64;
        for (allocation, need) in allocations.iter_mut().zip(needs) {
            allocation.target += even_share;
            for (kind, share) in shares.iter().enumerate() {
                if claims[kind].need > 0.0 {
                    allocation.target += share * need_of(need, kind) / 1_000.0 / claims[kind].need;
                }
            }
        }
    }
}

fn add_each(sums: &mut [u32], milli: &[u32]) {
    for (sum, milli) in sums.iter_mut().zip(milli) {
        *sum += milli;
    }
}
