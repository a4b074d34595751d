//! Followers: when they claim the duty.

use wasabiloft::batch::record;
use wasabiloft::clock::Instant;

use crate::search::node::{CLOUD_TIMEOUT_MS, Call, HEARTBEAT_MS, Timer};
use crate::search::platform::Transaction;
use crate::search::shell;
use crate::search::world::{LATENCY_MS, World};

/// Timeout of a heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 400;
/// Pause before the row is checked again while the leader's state is uncertain, in milliseconds.
const RECHECK_MS: u64 = 100;
/// Time that a read of rows takes, in milliseconds.
const READ_MS: u64 = 5;
/// A leader whose newest commit is this old asks its followers to take over, in milliseconds.
const LEADER_STALE_MS: u64 = 900;

impl World {
    pub(super) fn follow(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let (_, holder, _) = self.nodes[node].known;
        let Some(holder) = holder.filter(|holder| *holder != node) else {
            let evidence = match holder {
                None => shell::Evidence::None,
                Some(_) => shell::Evidence::NotLeading,
            };
            self.read_row(node, evidence, 0);
            return;
        };
        let leader = &self.nodes[holder];
        let is_down = now_ms < leader.down_until_ms;
        let is_frozen = now_ms < leader.frozen_until_ms;
        let leads = leader.term.is_some() || leader.claims;
        let is_stale = leader
            .term
            .as_ref()
            .is_some_and(|term| now_ms.saturating_sub(term.committed_ms) >= LEADER_STALE_MS);
        let state = &mut self.nodes[node];
        if is_down {
            state.refusals += 1;
            let evidence = if state.refusals >= 2 {
                shell::Evidence::Refused
            } else {
                shell::Evidence::None
            };
            self.read_row(node, evidence, LATENCY_MS);
        } else if is_frozen {
            state.refusals = 0;
            let is_known = state
                .unresponsive_ms
                .is_some_and(|at_ms| now_ms - at_ms < HEARTBEAT_TIMEOUT_MS);
            let wait_ms = if is_known { 0 } else { HEARTBEAT_TIMEOUT_MS };
            if !is_known {
                state.unresponsive_ms = Some(now_ms + HEARTBEAT_TIMEOUT_MS);
            }
            self.read_row(node, shell::Evidence::None, wait_ms);
        } else if !leads {
            self.read_row(node, shell::Evidence::NotLeading, LATENCY_MS);
        } else if is_stale {
            self.heartbeat_arrives(node, holder);
            self.read_row(node, shell::Evidence::RequestsHandover, LATENCY_MS);
        } else {
            state.refusals = 0;
            state.unresponsive_ms = None;
            self.heartbeat_arrives(node, holder);
            let epoch = self.nodes[holder].epoch();
            self.nodes[node].confirms = Some((epoch, self.now()));
            self.push_timer(node, now_ms + HEARTBEAT_MS, Timer::Follow);
        }
    }

    /// Passes the leader a heartbeat, with the response that the follower confirms.
    fn heartbeat_arrives(&mut self, node: usize, holder: usize) {
        let now = self.now();
        let (confirms, incarnation) = (self.nodes[node].confirms, self.nodes[node].incarnation);
        if let Some(term) = &mut self.nodes[holder].term {
            let confirms = confirms.filter(|(epoch, _)| *epoch == term.epoch);
            let confirmed_at = confirms.map(|(_, sent_at)| sent_at);
            let name = node.to_string();
            term.authority.heard(&name, incarnation, confirmed_at, now);
        }
        self.limit_leases(holder);
    }

    pub(super) fn read_row(&mut self, node: usize, evidence: shell::Evidence, wait_ms: u64) {
        let sent_at_ms = self.now_ms + wait_ms;
        let timer = Timer::RowRead {
            evidence,
            sent_at_ms,
        };
        self.push_timer(node, sent_at_ms + READ_MS, timer);
    }

    pub(super) fn row_read(&mut self, node: usize, evidence: shell::Evidence, sent_at_ms: u64) {
        let now = self.now();
        let state = &mut self.nodes[node];
        if now.as_ms() < state.store_away_until_ms {
            state.follower = shell::Follower::default();
            self.push_timer(node, now.as_ms() + HEARTBEAT_MS, Timer::Follow);
            return;
        }
        let store = &self.store;
        let is_known = state.known.0 == store.version;
        state.known = (store.version, store.holder, store.epoch);
        let step = state.follower.check_row(
            store.version,
            evidence,
            is_known,
            Instant::from_ms(sent_at_ms),
            now,
        );
        match step {
            shell::Step::Recheck => {
                self.push_timer(node, now.as_ms() + RECHECK_MS, Timer::Follow);
            }
            shell::Step::Claim {
                previous_leader_may_act,
            } => self.claim(node, previous_leader_may_act),
        }
    }

    pub(super) fn claim(&mut self, node: usize, may_act: bool) {
        let state = &mut self.nodes[node];
        state.claims = true;
        let (version, _, epoch) = state.known;
        let epoch = epoch + 1;
        let transaction = Transaction {
            node,
            version,
            epoch,
            token: (epoch << 32) + (node as u64) + self.now_ms,
            batch: record::WriteBatch::default(),
        };
        let call = self.call(node, None, Call::Claim { may_act, epoch }, CLOUD_TIMEOUT_MS);
        self.transact(node, call, transaction);
    }
}
