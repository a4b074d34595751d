//! Groups of transactions: which can be joined, and how.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::{Attempt, Record, Token};
use crate::clock;
use crate::id;
use crate::platform;

/// What the writer does next with its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Send the group's transaction.
    Send,
    /// Move only the journal row, to shut out copies of the group's transaction.
    Fence,
    /// Read the journal row.
    Read,
}

/// A group of transactions on its way.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) number: u64,
    pub(super) members: Vec<Token>,
    pub(super) step: Step,
    /// The request that waits for its reply.
    pub(super) in_flight: Option<Attempt>,
    /// When the first copy was sent.
    pub(super) first_sent_at: Option<clock::Instant>,
    /// True if a copy of the transaction was sent and its outcome is unknown.
    pub(super) in_doubt: bool,
    /// True if a copy of a fence was sent and its outcome is unknown.
    pub(super) fence_in_doubt: bool,
    /// The refusal that a fence has to make final.
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

/// The rows that a transaction touches.
pub(super) fn rows(txn: &platform::Txn) -> usize {
    keys(txn).len()
}

fn keys(txn: &platform::Txn) -> BTreeSet<&id::Key> {
    let checks = txn.checks.iter().map(|check| &check.key);
    let writes = txn.writes.iter().map(|write| &write.key);
    checks.chain(writes).collect()
}

/// Tells how many of the transactions, from the first on, can be joined.
///
/// Two of them may check a row at the same version, but none may touch a row that another writes.
pub(super) fn prefix<'a, I>(txns: I) -> usize
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
        let contradicts = txn.checks.iter().any(|check| {
            checked
                .get(&check.key)
                .is_some_and(|version| *version != check.version)
        });
        if touches_written || writes_checked || contradicts {
            break;
        }
        checked.extend(txn.checks.iter().map(|check| (&check.key, check.version)));
        written.extend(txn.writes.iter().map(|write| &write.key));
        let all: BTreeSet<&&id::Key> = checked.keys().chain(written.iter()).collect();
        if all.len() > super::ROWS_MAX {
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

/// Tells whether a refusal of the group is a refusal of this member.
pub(super) fn is_refused(txn: &platform::Txn, refused: &platform::Refused) -> bool {
    let mut checks = txn.checks.iter();
    checks.any(|check| check.key == refused.key && check.version != refused.version)
}
