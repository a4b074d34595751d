//! Followers: when they claim the duty.

use wasabiloft::batch::{authority, predecessors, record, succession};
use wasabiloft::clock::Instant;

use crate::search::history::Cut;
use crate::search::node::{Call, Claim, TAKEOVER_READ_MS, Timer};
use crate::search::platform::{Standing, Transaction};
use crate::search::shell;
use crate::search::world::{Answer, LATENCY_MS, World};

/// Pause before the row is checked again while the leader's state is uncertain, in milliseconds.
const RECHECK_MS: u64 = 100;
/// Time that a read of rows takes, in milliseconds.
const READ_MS: u64 = 5;
/// Timeout of a call to the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Pause after a failed claim, in milliseconds.
const CLAIM_RETRY_MS: u64 = 400;
/// Delay between the claims of two nodes that find the duty vacant, in milliseconds.
const CLAIM_JITTER_MS: u64 = 10;
/// A leader without a commit or any other response of the store for this long asks its followers to take over, in
/// milliseconds.
const LEADER_STALE_MS: u64 = 900;
/// Maximum time since a follower's last response from the store for it to be asked, in milliseconds.
const FOLLOWER_FRESH_MS: u64 = 500;
/// CPU of a node, in thousandths of a core.
const CPU_MILLI: u64 = 2_000;
/// CPU of a weak node, in thousandths of a core.
const CPU_WEAK_MILLI: u64 = 1_000;

/// What becomes of a heartbeat.
enum Heartbeat {
    /// It is answered.
    Answered,
    /// No connection is opened.
    Refused,
    /// No response arrives in time; it may have arrived.
    Unanswered { arrives: bool },
}

impl World {
    /// Returns a node's CPU, in thousandths of a core.
    pub(super) fn cpu_milli(&self, node: usize) -> u64 {
        let setup = &self.history.setup;
        if (node as u64) + setup.weak_nodes >= setup.nodes as u64 {
            CPU_WEAK_MILLI
        } else {
            CPU_MILLI
        }
    }

    fn reaches_store(&self, node: usize) -> bool {
        self.now_ms >= self.nodes[node].store_away_until_ms
    }

    /// Returns the time since the store last answered a node, in milliseconds.
    fn store_silent_ms(&self, node: usize) -> u64 {
        if self.reaches_store(node) {
            0
        } else {
            self.now_ms - self.nodes[node].store_away_from_ms
        }
    }

    fn follow_later(&mut self, node: usize) {
        let interval_ms = succession::heartbeat_ms(
            self.cpu_milli(node),
            self.nodes[node].expected_cpu_milli,
            self.reaches_store(node),
        );
        self.push_timer(node, self.now_ms + interval_ms, Timer::Follow);
    }

    fn send_heartbeat(&self, node: usize, holder: usize) -> Heartbeat {
        let now_ms = self.now_ms;
        let leader = &self.nodes[holder];
        if now_ms < leader.down_until_ms {
            return Heartbeat::Refused;
        }
        for split in &self.splits {
            let is_sender = split.node == node && split.other == holder;
            let is_receiver = split.node == holder && split.other == node;
            if now_ms >= split.until_ms || !(is_sender || is_receiver) {
                continue;
            }
            return match split.how {
                Cut::Refused => Heartbeat::Refused,
                Cut::Silent => Heartbeat::Unanswered { arrives: false },
                Cut::OneWay => Heartbeat::Unanswered { arrives: is_sender },
            };
        }
        if now_ms < leader.frozen_until_ms {
            return Heartbeat::Unanswered { arrives: false };
        }
        Heartbeat::Answered
    }

    pub(super) fn follow(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let (_, holder, epoch) = self.nodes[node].known;
        let state = &mut self.nodes[node];
        state
            .left
            .row_read(epoch, state.counted_on.as_ref(), Instant::from_ms(now_ms));
        let Some(holder) = holder.filter(|holder| *holder != node) else {
            let evidence = match holder {
                None => shell::Evidence::None,
                Some(_) => shell::Evidence::NotLeading,
            };
            self.read_row(node, evidence, 0);
            return;
        };
        let is_unresponsive = self.nodes[node]
            .unresponsive_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < authority::HEARTBEAT_TIMEOUT_MS);
        if is_unresponsive {
            self.read_row(node, shell::Evidence::None, 0);
            return;
        }
        match self.send_heartbeat(node, holder) {
            Heartbeat::Answered => self.heartbeat_answered(node, holder),
            Heartbeat::Refused => {
                let state = &mut self.nodes[node];
                state.refusals += 1;
                let evidence = if state.refusals >= 2 {
                    shell::Evidence::Refused
                } else {
                    shell::Evidence::None
                };
                self.read_row(node, evidence, LATENCY_MS);
            }
            Heartbeat::Unanswered { arrives } => {
                if arrives {
                    self.heartbeat_arrives(node, holder);
                }
                let state = &mut self.nodes[node];
                state.refusals = 0;
                state.unresponsive_ms = Some(now_ms + authority::HEARTBEAT_TIMEOUT_MS);
                self.read_row(node, shell::Evidence::None, authority::HEARTBEAT_TIMEOUT_MS);
            }
        }
    }

    fn heartbeat_answered(&mut self, node: usize, holder: usize) {
        let now = self.now();
        self.heartbeat_arrives(node, holder);
        let leader = &self.nodes[holder];
        let epoch = leader.term.as_ref().map(|term| term.epoch);
        let Some(epoch) = epoch.or(leader.claims) else {
            self.read_row(node, shell::Evidence::NotLeading, LATENCY_MS);
            return;
        };
        let counts_on = leader.term.is_some();
        let commit_is_old = leader
            .term
            .as_ref()
            .is_none_or(|term| now.as_ms() - term.committed_ms > LEADER_STALE_MS);
        let hands_over = commit_is_old
            && self.store_silent_ms(holder) > LEADER_STALE_MS
            && self.store_silent_ms(node) < FOLLOWER_FRESH_MS;
        let state = &mut self.nodes[node];
        state.refusals = 0;
        state.unresponsive_ms = None;
        if hands_over {
            self.read_row(node, shell::Evidence::RequestsHandover, LATENCY_MS);
        } else if state.claimed.is_some() {
            self.follow_later(node);
        } else {
            state.confirms = Some((epoch, now));
            if counts_on {
                state.counted_on = Some(predecessors::CountedOn { epoch, at: now });
            }
            self.follow_later(node);
        }
    }

    /// Passes the leader a heartbeat, with the response that the follower confirms.
    fn heartbeat_arrives(&mut self, node: usize, holder: usize) {
        let now = self.now();
        let (confirms, incarnation) = (self.nodes[node].confirms, self.nodes[node].incarnation);
        let left: Vec<u64> = self.nodes[node].left.epochs().collect();
        if let Some(term) = &mut self.nodes[holder].term {
            let confirms = confirms.filter(|(epoch, _)| *epoch == term.epoch);
            let confirmed_at = confirms.map(|(_, sent_at)| sent_at);
            let name = node.to_string();
            term.authority.heard(&name, incarnation, confirmed_at, now);
            if term.wait.left(left, now) {
                term.scheduler.earlier_bounded(now);
            }
        }
        self.limit_leases(holder);
    }

    pub(super) fn read_row(&mut self, node: usize, evidence: shell::Evidence, wait_ms: u64) {
        let sent_at_ms = self.now_ms + wait_ms;
        let reaches_store = sent_at_ms >= self.nodes[node].store_away_until_ms;
        let took_ms = if reaches_store {
            READ_MS + self.store_delay_ms(node)
        } else {
            CALL_TIMEOUT_MS
        };
        let timer = Timer::RowRead {
            evidence,
            sent_at_ms,
            reaches_store,
        };
        self.push_timer(node, sent_at_ms + took_ms, timer);
    }

    pub(super) fn row_read(
        &mut self,
        node: usize,
        evidence: shell::Evidence,
        sent_at_ms: u64,
        reaches_store: bool,
    ) {
        let now = self.now();
        if !reaches_store || !self.reaches_store(node) {
            self.nodes[node].follower = shell::Follower::default();
            self.follow_later(node);
            return;
        }
        let is_known = self.nodes[node].known.0 == self.store.version;
        self.record_row(node);
        let step = self.nodes[node].follower.check_row(
            self.store.version,
            self.store.holder.is_none(),
            evidence,
            is_known,
            Instant::from_ms(sent_at_ms),
            now,
        );
        match step {
            shell::Step::Recheck => {
                self.push_timer(node, now.as_ms() + RECHECK_MS, Timer::Follow);
            }
            shell::Step::Claim { has_ended } => {
                let jitter_ms = if self.store.holder.is_none() {
                    node as u64 * CLAIM_JITTER_MS
                } else {
                    0
                };
                let expected_milli = self.nodes[node].expected_cpu_milli;
                let delay_ms = succession::claim_delay_ms(self.cpu_milli(node), expected_milli);
                let at_ms = now.as_ms() + jitter_ms + delay_ms;
                self.push_timer(node, at_ms, Timer::Claim { has_ended });
            }
        }
    }

    /// Takes note of the duty's row as it is now.
    fn record_row(&mut self, node: usize) {
        let store = &self.store;
        let state = &mut self.nodes[node];
        state.claimed = state.claimed.filter(|expected| *expected == store.version);
        state.known = (store.version, store.holder, store.epoch);
        state.known_standing = store.standing.clone();
        state.expected_cpu_milli = (store.version > 0).then_some(store.cpu_milli);
    }

    pub(super) fn claim(&mut self, node: usize, has_ended: bool) {
        let now = self.now();
        let state = &self.nodes[node];
        let (version, _, epoch) = state.known;
        let row = (version > 0).then(|| record::Duty {
            epoch,
            commits_only: state.known_standing.commits_only,
            earlier: state.known_standing.assumed.earlier,
            unconfirmed: state.known_standing.assumed.unconfirmed.clone(),
            ..record::Duty::default()
        });
        let counted_on = state.counted_on.as_ref();
        let row = row.as_ref();
        let assumed = predecessors::assume(row, has_ended, counted_on, &state.left, now);
        let epoch = epoch + 1;
        let claim = Claim { epoch };
        let state = &mut self.nodes[node];
        state.claims = Some(epoch);
        state.assumed.clone_from(&assumed);
        self.note(|| format!("n{node} claims epoch={epoch} assumed={assumed:?}"));
        let transaction = Transaction {
            node,
            version,
            epoch,
            token: (epoch << 32) + (node as u64) + self.now_ms,
            batch: record::WriteBatch::default(),
            cpu_milli: self.cpu_milli(node),
            releases: false,
            standing: Standing {
                commits_only: true,
                assumed,
            },
        };
        let call = Call::Claim {
            claim,
            sent_at: now,
        };
        let call = self.call(node, None, call, CALL_TIMEOUT_MS);
        self.transact(node, call, transaction);
    }

    pub(super) fn claim_answered(
        &mut self,
        node: usize,
        claim: Claim,
        sent_at: Instant,
        answer: &Answer,
    ) {
        let now_ms = self.now_ms;
        match answer {
            Answer::Committed(version) => {
                self.nodes[node].known = (*version, Some(node), claim.epoch);
                self.nodes[node].expected_cpu_milli = Some(self.cpu_milli(node));
                self.read_takeover(node, claim, sent_at);
            }
            Answer::Failed { refused: false } => {
                let took_ms = if self.reaches_store(node) {
                    READ_MS + self.store_delay_ms(node)
                } else {
                    CALL_TIMEOUT_MS
                };
                let timer = Timer::ResolveClaim {
                    claim,
                    sent_at: Instant::from_ms(now_ms),
                };
                self.push_timer(node, now_ms + took_ms, timer);
            }
            Answer::CheckFailed => {
                self.record_row(node);
                self.claim_failed(node);
            }
            _ => self.claim_failed(node),
        }
    }

    /// Reads the row to find out whether a claim without a response was committed.
    pub(super) fn resolve_claim(&mut self, node: usize, claim: Claim, sent_at: Instant) {
        self.nodes[node].claimed = Some(self.nodes[node].known.0);
        if !self.reaches_store(node) {
            self.claim_failed(node);
            return;
        }
        self.record_row(node);
        if self.store.holder == Some(node) && self.store.epoch == claim.epoch {
            let stored = &self.store.standing.assumed;
            let state = &mut self.nodes[node];
            if stored.earlier > state.assumed.earlier {
                state.assumed.clone_from(stored);
            }
            self.read_takeover(node, claim, sent_at);
        } else {
            self.claim_failed(node);
        }
    }

    fn claim_failed(&mut self, node: usize) {
        self.nodes[node].claims = None;
        self.push_timer(node, self.now_ms + CLAIM_RETRY_MS, Timer::Follow);
    }

    /// Reads the rows of a takeover; the node certainly led at `proven_at`, when the call that shows it was sent.
    fn read_takeover(&mut self, node: usize, claim: Claim, proven_at: Instant) {
        let now = self.now();
        let timer = Timer::Lead { claim, proven_at };
        let at_ms = now.as_ms() + TAKEOVER_READ_MS + self.store_delay_ms(node);
        self.push_timer(node, at_ms, timer);
    }
}
