//! Commits of a leader, and the lists of machines and commands that they allow.

use wasabiloft::batch::{record, waves};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::search::node::{CLOUD_TIMEOUT_MS, Call, RENEW_INTERVAL_MS, Timer};
use crate::search::platform::{Standing, Transaction};
use crate::search::term::LEASE_MS;
use crate::search::world::{Answer, World};

/// Minimum interval between two commits, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 12;
/// Timeout of a transaction, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_200;
/// Pause before a transaction that got no response is resent, in milliseconds.
const COMMIT_RETRY_MS: u64 = 80;

impl World {
    pub(super) fn commit(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let cpu_milli = self.cpu_milli(node);
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        if term.in_flight.is_some() {
            return;
        }
        if now_ms < term.next_commit_ms {
            let at_ms = term.next_commit_ms;
            self.push_timer(node, at_ms, Timer::Commit);
            return;
        }
        let batch = term.scheduler.take_batch();
        term.next_commit_ms = now_ms + COMMIT_INTERVAL_MS;
        let is_due =
            now_ms - term.committed_ms >= RENEW_INTERVAL_MS || term.scheduler.awaits_commit();
        let now = Instant::from_ms(now_ms);
        let has_unresolved = term.scheduler.has_unresolved_workers();
        term.standing = Standing {
            commits_only: term.authority.commits_only(now),
            assumed: term.wait.standing(has_unresolved, LEASE_MS, now),
        };
        if batch.rows() == 0 && !is_due {
            if !batch.is_empty() {
                self.batch_committed(node, &batch);
            }
            return;
        }
        let transaction = Transaction {
            node,
            version: term.version,
            epoch: term.epoch,
            token: (term.epoch << 32) + now_ms + 1,
            batch,
            cpu_milli,
            releases: false,
            standing: term.standing.clone(),
        };
        term.in_flight = Some((transaction, now_ms));
        self.send_commit(node);
    }

    pub(super) fn send_commit(&mut self, node: usize) {
        let Some(term) = &self.nodes[node].term else {
            return;
        };
        if let Some((transaction, _)) = term.in_flight.clone() {
            let call = self.call(node, None, Call::Commit, COMMIT_TIMEOUT_MS);
            self.transact(node, call, transaction);
        }
    }

    pub(super) fn commit_answered(&mut self, node: usize, answer: &Answer) {
        let now_ms = self.now_ms;
        self.may_act(node);
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        match answer {
            Answer::Committed(version) => {
                let Some((transaction, sent_at_ms)) = term.in_flight.take() else {
                    return;
                };
                term.version = *version;
                term.committed_ms = sent_at_ms;
                term.authority.committed(
                    Instant::from_ms(sent_at_ms),
                    transaction.standing.commits_only,
                );
                term.next_commit_ms = now_ms + COMMIT_INTERVAL_MS;
                self.limit_leases(node);
                self.batch_committed(node, &transaction.batch);
                self.push_timer(node, sent_at_ms + RENEW_INTERVAL_MS, Timer::Commit);
                self.push_timer(node, now_ms + COMMIT_INTERVAL_MS, Timer::Commit);
            }
            Answer::CheckFailed => self.end_term(node, "the duty's row has changed"),
            _ => self.push_timer(node, now_ms + COMMIT_RETRY_MS, Timer::ResendCommit),
        }
    }

    pub(super) fn batch_committed(&mut self, node: usize, batch: &record::WriteBatch) {
        let now = self.now();
        let may_act = self.may_act(node);
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        term.scheduler.batch_committed(batch);
        let since_commit_ms = now.as_ms().saturating_sub(term.committed_ms);
        let commands =
            term.fleet
                .take_committed(&mut term.scheduler, may_act, since_commit_ms, now);
        let waiting = term.polls.iter().filter(|(_, task)| task.waits_for_commit);
        let waiting: Vec<id::Worker> = waiting.map(|(worker, _)| worker.clone()).collect();
        for worker in waiting {
            self.poll_later(node, &worker, 0);
        }
        for (vm, sent) in commands {
            let Some(number) = self.vms.iter().position(|machine| machine.id == vm) else {
                continue;
            };
            let command = sent.command.clone();
            let call = Call::Command { vm, sent };
            let call = self.call(node, None, call, CLOUD_TIMEOUT_MS);
            self.call_cloud(node, call, Some((number, command)));
        }
        self.wake(node);
    }

    pub(super) fn request_list(&mut self, node: usize) {
        let now = self.now();
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        for request in &self.waves {
            let key = waves::Key {
                wave: request.number,
                part: 0,
            };
            let record = self.store.waves.get(&key);
            term.fleet.add_wave(request, record, now);
        }
        let call = Call::List { requested_at: now };
        let call = self.call(node, None, call, CLOUD_TIMEOUT_MS);
        self.call_cloud(node, call, None);
    }
}
