//! Claims granted from memory, held by a majority of the view until they are in the table.

use std::collections::BTreeMap;

use crate::clock;
use crate::once::message;
use crate::once::message::Output;
use crate::once::view;
use crate::platform;
use crate::roster;

/// Claims that one transaction writes down.
const BATCH_MAX: usize = 45;

/// A held claim and the view in which it was granted.
#[derive(Clone, Debug)]
struct Held {
    view: u64,
    claim: message::Claim,
    /// When this node writes it down; `None` while that is the owner's work.
    write_at: Option<clock::Instant>,
}

/// A transaction that writes held claims down.
#[derive(Clone, Debug)]
struct Flight {
    token: u64,
    ids: Vec<message::ClaimId>,
}

/// The claims that this node holds.
#[derive(Debug, Default)]
pub struct Holder {
    held: BTreeMap<message::ClaimId, Held>,
    flight: Option<Flight>,
    retry_at: clock::Instant,
}

impl Holder {
    /// Holds a claim of a view.
    pub fn hold(&mut self, view: u64, claim: message::Claim) {
        let held = Held {
            view,
            claim,
            write_at: None,
        };
        self.held.insert(held.claim.id.clone(), held);
    }

    /// Lets go of a claim that is in the table, or that is free again.
    pub fn release(&mut self, id: &message::ClaimId) {
        self.held.remove(id);
    }

    /// The number of claims held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// True if nothing is held and nothing is being written.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.flight.is_none()
    }

    /// Plans to write down the claims of views before `before_view`.
    ///
    /// The nodes that hold a claim take turns, so that they don't all write the same rows.
    pub fn plan(
        &mut self,
        now: clock::Instant,
        me: &roster::NodeId,
        view: &view::View,
        before_view: u64,
        step_ms: u64,
    ) {
        for held in self.held.values_mut() {
            if held.view < before_view && held.write_at.is_none() {
                let rank = view.rank(held.claim.key.shard(), me);
                held.write_at = Some(now.after_ms(rank * step_ms));
            }
        }
    }

    /// Starts to write down the claims that are due, if none are being written.
    ///
    /// `token` names the transaction; returns true if it was used.
    pub fn flush(&mut self, now: clock::Instant, token: u64, out: &mut Vec<Output>) -> bool {
        if self.flight.is_some() || now < self.retry_at {
            return false;
        }
        let mut txn = platform::Txn::default();
        let mut ids = Vec::new();
        let due = self
            .held
            .values()
            .filter(|held| held.write_at.is_some_and(|at| at <= now));
        for held in due.take(BATCH_MAX) {
            let key = held.claim.key.row_key();
            if txn.checks.iter().any(|check| check.key == key) {
                continue;
            }
            txn.checks.push(platform::Check {
                key: key.clone(),
                version: 0,
            });
            txn.writes.push(platform::Write {
                key,
                value: Some(claimed_value(&held.claim)),
            });
            ids.push(held.claim.id.clone());
        }
        if ids.is_empty() {
            return false;
        }
        self.flight = Some(Flight { token, ids });
        out.push(Output::Transact { token, txn });
        true
    }

    /// Takes the outcome of a transaction; returns the claims that are in the table now.
    ///
    /// `None` if it is not a transaction of this holder.
    pub fn outcome(
        &mut self,
        now: clock::Instant,
        token: u64,
        outcome: &platform::Outcome,
        retry_ms: u64,
    ) -> Option<Vec<message::ClaimId>> {
        if self
            .flight
            .as_ref()
            .is_none_or(|flight| flight.token != token)
        {
            return None;
        }
        let flight = self.flight.take()?;
        match outcome {
            platform::Outcome::Committed(_) => {
                for id in &flight.ids {
                    self.held.remove(id);
                }
                return Some(flight.ids);
            }
            platform::Outcome::Refused(refused) => {
                // A row that is there says already that the key may have run.
                self.held
                    .retain(|_, held| held.claim.key.row_key() != refused.key);
            }
            platform::Outcome::Unknown => self.retry_at = now.after_ms(retry_ms),
        }
        Some(Vec::new())
    }
}

/// The row's content for a claim whose end is not known.
pub fn claimed_value(claim: &message::Claim) -> String {
    row_text(&message::RowValue {
        id: claim.id.clone(),
        fingerprint: claim.fingerprint,
        end: None,
    })
}

/// Writes a row's content.
pub fn row_text(value: &message::RowValue) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
