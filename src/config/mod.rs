//! Replicates accepted versions of the documents and of the roster to every node; versions never decrease.
//!
//! The row `head` counts the changes; each change increments it in the transaction that writes the changed row. A
//! node applies only greater versions. A change is *accepted* once it has committed and a majority of the roster has
//! applied it. A node serves only while it has recently read the table's head, or received heartbeats from a majority
//! of the roster, and has applied all changes up to the heads that they reported. So no serving node misses an
//! accepted change for longer than [`FRESH_MS`].

pub mod edit;
mod replica;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::roster;

pub use replica::{Replica, RequiredRows, ServingState};

/// The key of the head's row.
pub const HEAD_KEY: &str = "head";
/// The prefix of the documents' rows.
pub const DOCUMENT_PREFIX: &str = "document/";
/// How long a confirmation by the table or by a majority remains valid, in milliseconds.
pub const FRESH_MS: u64 = 4_000;
/// Interval between reads of the head, in milliseconds.
pub const HEAD_POLL_MS: u64 = 1_000;
/// Maximum number of changed rows listed in the head's row, so that a node needs to read only a few rows.
pub const RECENT_MAX: usize = 32;

/// The content of the head's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The number of the newest change.
    pub head: u64,
    /// The newest changes, oldest first: number and changed row.
    pub recent: Vec<(u64, id::Key)>,
}

impl Head {
    /// Returns the head after changes of these rows.
    pub fn with_changes(&self, keys: &[id::Key]) -> Self {
        let mut updated = self.clone();
        for key in keys {
            updated.head += 1;
            updated.recent.push((updated.head, key.clone()));
        }
        let surplus = updated.recent.len().saturating_sub(RECENT_MAX);
        updated.recent.drain(..surplus);
        updated
    }

    /// Returns the rows that were changed after `head`; `None` if the row no longer lists all of them.
    pub fn changed_after(&self, head: u64) -> Option<Vec<id::Key>> {
        let missing = usize::try_from(self.head.saturating_sub(head)).ok()?;
        let start = self.recent.len().checked_sub(missing)?;
        Some(
            self.recent[start..]
                .iter()
                .map(|(_, key)| key.clone())
                .collect(),
        )
    }
}

/// A version of a service's document, also the content of its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The number of the change that created this version; also the document's entity tag.
    pub head: u64,
    /// The TOML text; `None` once the document is deleted.
    pub text: Option<String>,
}

/// All changes after one head, up to another; a row that changed more than once has only its newest version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deltas {
    /// The head up to which the receiver must already have all changes.
    pub after: u64,
    /// The head up to which the receiver has all changes once it applies these.
    pub head: u64,
    /// Changed documents.
    pub documents: BTreeMap<id::Service, Version>,
    /// The roster, if it was changed.
    pub roster: Option<roster::Roster>,
}

/// Returns the key of a document's row.
pub fn key(service: &id::Service) -> id::Key {
    id::Key::from(format!("{DOCUMENT_PREFIX}{service}"))
}
