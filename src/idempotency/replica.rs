//! Replicas of claims granted from memory, kept by a majority of the view until the claims are in the table.

use std::collections::BTreeMap;

use crate::clock;
use crate::idempotency::message;
use crate::idempotency::message::Output;
use crate::idempotency::view;
use crate::platform;
use crate::roster;

/// Maximum number of claims that one transaction writes.
const BATCH_MAX: usize = 45;

/// The replica of a claim and the number of the view in which it was granted.
#[derive(Clone, Debug)]
struct Replica {
    view: u64,
    claim: message::Claim,
    /// When this node writes the claim to the table; `None` while the owner is responsible for the write.
    write_at: Option<clock::Instant>,
}

/// A transaction in progress that writes replicated claims to the table.
#[derive(Clone, Debug)]
struct InFlight {
    token: u64,
    ids: Vec<message::ClaimId>,
}

/// The claims that this node replicates.
#[derive(Debug, Default)]
pub struct Store {
    replicas: BTreeMap<message::ClaimId, Replica>,
    in_flight: Option<InFlight>,
    retry_at: clock::Instant,
}

impl Store {
    /// Stores the replica of a claim that was granted in the given view.
    pub fn insert(&mut self, view: u64, claim: message::Claim) {
        let replica = Replica {
            view,
            claim,
            write_at: None,
        };
        self.replicas.insert(replica.claim.id.clone(), replica);
    }

    /// Removes the replica of a claim that is in the table or whose key is free again.
    pub fn remove(&mut self, id: &message::ClaimId) {
        self.replicas.remove(id);
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns true if there are no replicas and no write is in progress.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty() && self.in_flight.is_none()
    }

    /// Schedules writes of the claims that were granted in views before `before_view`.
    ///
    /// The nodes with a replica of a claim write it at staggered times, by their rank for the shard, so that they don't
    /// all write the same rows.
    pub fn schedule_writes(
        &mut self,
        now: clock::Instant,
        me: &roster::NodeId,
        view: &view::View,
        before_view: u64,
        stagger_ms: u64,
    ) {
        for replica in self.replicas.values_mut() {
            if replica.view < before_view && replica.write_at.is_none() {
                let rank = view.rank(replica.claim.key.shard(), me);
                replica.write_at = Some(now.after_ms(rank * stagger_ms));
            }
        }
    }

    /// Writes the claims that are due, unless a write is in progress.
    ///
    /// Returns true if it started a transaction under `token`.
    pub fn write_due(&mut self, now: clock::Instant, token: u64, out: &mut Vec<Output>) -> bool {
        if self.in_flight.is_some() || now < self.retry_at {
            return false;
        }
        let mut txn = platform::Txn::default();
        let mut ids = Vec::new();
        let due = self
            .replicas
            .values()
            .filter(|replica| replica.write_at.is_some_and(|at| at <= now));
        for replica in due.take(BATCH_MAX) {
            let key = replica.claim.key.row_key();
            if txn.checks.iter().any(|check| check.key == key) {
                continue;
            }
            txn.checks.push(platform::Check {
                key: key.clone(),
                version: 0,
            });
            txn.writes.push(platform::Write {
                key,
                value: Some(claimed_row_json(&replica.claim)),
            });
            ids.push(replica.claim.id.clone());
        }
        if ids.is_empty() {
            return false;
        }
        self.in_flight = Some(InFlight { token, ids });
        out.push(Output::Transact { token, txn });
        true
    }

    /// Handles the outcome of a transaction; returns the claims that are now in the table.
    ///
    /// Returns `None` if the transaction was not started by this store.
    pub fn handle_outcome(
        &mut self,
        now: clock::Instant,
        token: u64,
        outcome: &platform::Outcome,
        retry_ms: u64,
    ) -> Option<Vec<message::ClaimId>> {
        if self
            .in_flight
            .as_ref()
            .is_none_or(|in_flight| in_flight.token != token)
        {
            return None;
        }
        let in_flight = self.in_flight.take()?;
        match outcome {
            platform::Outcome::Committed(_) => {
                for id in &in_flight.ids {
                    self.replicas.remove(id);
                }
                return Some(in_flight.ids);
            }
            platform::Outcome::Refused(refused) => {
                // An existing row already records that the key may have run.
                self.replicas
                    .retain(|_, replica| replica.claim.key.row_key() != refused.key);
            }
            platform::Outcome::Unknown => self.retry_at = now.after_ms(retry_ms),
        }
        Some(Vec::new())
    }
}

/// Returns the row's content for a claim whose end is not known.
pub fn claimed_row_json(claim: &message::Claim) -> String {
    row_json(&message::RowValue {
        id: claim.id.clone(),
        fingerprint: claim.fingerprint,
        end: None,
    })
}

/// Serialises a row's content as JSON.
pub fn row_json(value: &message::RowValue) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
