//! Configuration: accepted versions of the documents and of the roster on every node, never back.
//!
//! One row `head` counts the changes; each change raises it in the transaction that writes the changed row. A node
//! applies only greater versions. A change is *accepted* once it has committed and a majority of the roster has
//! applied it. A node serves only while it has lately heard the table's head, or a majority of the roster, and has
//! applied all that they told; so no serving node misses an accepted change for longer than [`FRESH_MS`].

pub mod edit;
mod replica;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::roster;

pub use replica::{Replica, Standing, Wanted};

/// The key of the head's row.
pub const HEAD_KEY: &str = "head";
/// The prefix of the documents' rows.
pub const DOCUMENT_PREFIX: &str = "document/";
/// How long the word of the table or of a majority counts.
pub const FRESH_MS: u64 = 4_000;
/// Time between two reads of the head.
pub const HEAD_POLL_MS: u64 = 1_000;
/// Changed rows that the head's row names, so that few rows need to be read.
pub const RECENT_MAX: usize = 32;

/// The content of the head's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The number of the newest change.
    pub head: u64,
    /// The newest changes, the oldest first: number and changed row.
    pub recent: Vec<(u64, id::Key)>,
}

impl Head {
    /// The head after changes of these rows.
    pub fn raised(&self, keys: &[id::Key]) -> Self {
        let mut raised = self.clone();
        for key in keys {
            raised.head += 1;
            raised.recent.push((raised.head, key.clone()));
        }
        let surplus = raised.recent.len().saturating_sub(RECENT_MAX);
        raised.recent.drain(..surplus);
        raised
    }

    /// The rows that were changed after `head`; `None` if the row no longer names them all.
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
    /// The number of the change that made it; a document's entity tag.
    pub head: u64,
    /// The TOML text; `None` once the document is deleted.
    pub text: Option<String>,
}

/// All changes after one head, up to another; of a row changed twice only the newer version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deltas {
    /// The receiver needs all changes up to this head.
    pub after: u64,
    /// With these it has all changes up to this head.
    pub head: u64,
    /// Changed documents.
    pub documents: BTreeMap<id::Service, Version>,
    /// The roster, if it was changed.
    pub roster: Option<roster::Roster>,
}

/// The key of a document's row.
pub fn key(service: &id::Service) -> id::Key {
    id::Key::from(format!("{DOCUMENT_PREFIX}{service}"))
}
