//! Group commit: which transactions can be joined, and how.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::{Attempt, Record, Token};
use crate::clock;
use crate::id;
use crate::platform;

/// The next step of the writer for its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Send the group's transaction.
    Send,
    /// Write only the journal row, so that delayed copies of the group's transaction are refused.
    Fence,
    /// Read the journal row to learn the outcome.
    Read,
}

/// A group of transactions in progress.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) number: u64,
    pub(super) members: Vec<Token>,
    pub(super) step: Step,
    /// Request that awaits its reply.
    pub(super) in_flight: Option<Attempt>,
    /// When the first copy of the group's transaction was sent.
    pub(super) first_sent_at: Option<clock::Instant>,
    /// Whether a copy of the transaction was sent and its outcome is unknown.
    pub(super) in_doubt: bool,
    /// Whether a copy of a fence transaction was sent and its outcome is unknown.
    pub(super) fence_in_doubt: bool,
    /// Refusal that becomes final once the fence transaction commits.
    pub(super) refusal: Option<platform::Refused>,
}

impl Group {
    pub(super) fn new(number: u64, members: Vec<Token>) -> Self {
        Self {
            number,
            members,
            step: Step::Send,
            in_flight: None,
            first_sent_at: None,
            in_doubt: false,
            fence_in_doubt: false,
            refusal: None,
        }
    }
}

/// Returns the number of rows that a transaction checks or writes.
pub(super) fn rows(txn: &platform::Txn) -> usize {
    keys(txn).len()
}

fn keys(txn: &platform::Txn) -> BTreeSet<&id::Key> {
    let checks = txn.checks.iter().map(|check| &check.key);
    let writes = txn.writes.iter().map(|write| &write.key);
    checks.chain(writes).collect()
}

/// Returns how many of the transactions, counted from the first, can be joined.
///
/// Two of them can check a row at the same version, but none can check or write a row that another writes.
pub(super) fn joinable_prefix<'a, I>(txns: I) -> usize
where
    I: Iterator<Item = &'a platform::Txn>,
{
    let mut checked: BTreeMap<&id::Key, u64> = BTreeMap::new();
    let mut written: BTreeSet<&id::Key> = BTreeSet::new();
    let mut count = 0;
    for txn in txns {
        let touches_written = keys(txn).iter().any(|key| written.contains(key));
        let writes_checked = txn
            .writes
            .iter()
            .any(|write| checked.contains_key(&write.key));
        let conflicts = txn.checks.iter().any(|check| {
            checked
                .get(&check.key)
                .is_some_and(|version| *version != check.version)
        });
        if touches_written || writes_checked || conflicts {
            break;
        }
        checked.extend(txn.checks.iter().map(|check| (&check.key, check.version)));
        written.extend(txn.writes.iter().map(|write| &write.key));
        let touched: BTreeSet<&&id::Key> = checked.keys().chain(written.iter()).collect();
        if touched.len() > super::ROWS_MAX {
            break;
        }
        count += 1;
    }
    count
}

/// Joins transactions into one that checks and writes the journal row first.
pub(super) fn join(
    key: &id::Key,
    version: u64,
    group: u64,
    members: &[&platform::Txn],
) -> platform::Txn {
    let mut checks = vec![platform::Check {
        key: key.clone(),
        version,
    }];
    let record = serde_json::json!(Record { group }).to_string();
    let mut writes = vec![platform::Write {
        key: key.clone(),
        value: Some(record),
    }];
    for member in members {
        for check in &member.checks {
            if !checks.contains(check) {
                checks.push(check.clone());
            }
        }
        writes.extend(member.writes.iter().cloned());
    }
    platform::Txn { checks, writes }
}

/// Returns whether a refusal of the group is caused by this member.
pub(super) fn is_refused_by(txn: &platform::Txn, refused: &platform::Refused) -> bool {
    let mut checks = txn.checks.iter();
    checks.any(|check| check.key == refused.key && check.version != refused.version)
}
