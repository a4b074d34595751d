//! The end of a leader's term, and the release of the duty.

use wasabiloft::batch::record;

use crate::search::node::{Call, HEARTBEAT_MS, Timer};
use crate::search::platform::{Standing, Transaction};
use crate::search::shell;
use crate::search::world::{Answer, World};

/// Timeout of the transaction that releases the duty, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 1_000;
/// Timeout of the last commit before the duty is released, in milliseconds.
const LAST_COMMIT_TIMEOUT_MS: u64 = 1_200;

impl World {
    /// Ends a leader's term without a release: its row has changed.
    pub(super) fn end_term(&mut self, node: usize, reason: &str) {
        let epoch = self.nodes[node].epoch();
        self.note(|| format!("n{node} stops leading epoch={epoch}: {reason}"));
        let state = &mut self.nodes[node];
        state.term = None;
        state.claims = None;
        state.calls.clear();
        state.connected.clear();
        state.incarnation += 1;
        state.follower = shell::Follower::default();
        state.confirms = None;
        state.counted_on = None;
        self.push_timer(node, self.now_ms + HEARTBEAT_MS, Timer::Follow);
    }

    /// Ends a leader's term and releases the duty; without a term nothing happens.
    pub(super) fn release_duty(&mut self, node: usize, reason: &str) {
        let Some(term) = self.nodes[node].term.take() else {
            return;
        };
        self.note(|| format!("n{node} gives back epoch={}: {reason}", term.epoch));
        let state = &mut self.nodes[node];
        state.claims = Some(term.epoch);
        state.calls.clear();
        state.connected.clear();
        state.incarnation += 1;
        state.follower = shell::Follower::default();
        state.confirms = None;
        state.counted_on = None;
        let standing = term.standing;
        if let Some((transaction, _)) = term.in_flight {
            let call = Call::LastCommit {
                epoch: term.epoch,
                standing,
            };
            let call = self.call(node, None, call, LAST_COMMIT_TIMEOUT_MS);
            self.transact(node, call, transaction);
        } else {
            self.send_release(node, term.epoch, term.version, standing);
        }
    }

    fn send_release(&mut self, node: usize, epoch: u64, version: u64, standing: Standing) {
        let call = self.call(node, None, Call::Release, RELEASE_TIMEOUT_MS);
        let transaction = Transaction {
            node,
            version,
            epoch,
            token: (epoch << 32) + self.now_ms + 1,
            batch: record::WriteBatch::default(),
            cpu_milli: self.cpu_milli(node),
            releases: true,
            standing,
        };
        self.transact(node, call, transaction);
    }

    pub(super) fn last_commit_answered(
        &mut self,
        node: usize,
        epoch: u64,
        standing: Standing,
        answer: &Answer,
    ) {
        match answer {
            Answer::Committed(version) => self.send_release(node, epoch, *version, standing),
            _ => self.released(node),
        }
    }

    /// Goes on as a follower, whatever became of the release.
    pub(super) fn released(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.nodes[node];
        state.claims = None;
        match state.stops_until_ms.take() {
            Some(until_ms) => self.restart_node(node, until_ms.saturating_sub(now_ms)),
            None => self.push_timer(node, now_ms + HEARTBEAT_MS, Timer::Follow),
        }
    }

    /// Asks a node's process to stop; it starts again later.
    pub(super) fn stop_node(&mut self, node: usize, until_ms: u64) {
        if self.nodes[node].term.is_some() {
            self.nodes[node].stops_until_ms = Some(until_ms);
            self.release_duty(node, "stops");
        } else {
            self.restart_node(node, until_ms - self.now_ms);
        }
    }
}
