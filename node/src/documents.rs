//! Documents in the table: reading them all, writing one.

use std::collections::HashMap;
use std::sync::Arc;

use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::platform as messages;

use crate::platform;
use crate::view;

/// Prefix of the rows of documents.
pub const PREFIX: &str = "document/";

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Written as this version.
    Written(u64),
    /// Somebody else has written this version since; 0 if the document is gone.
    Raced(u64),
    /// The platform gave no answer.
    Unknown,
}

/// Reads all documents.
///
/// # Errors
///
/// If the table gives no answer.
pub async fn read_all(
    client: &platform::Client,
) -> Result<HashMap<id::Service, Arc<view::Accepted>>, platform::Error> {
    let rows = client.range(PREFIX).await?;
    Ok(rows.into_iter().filter_map(accepted).collect())
}

fn accepted(row: messages::Row) -> Option<(id::Service, Arc<view::Accepted>)> {
    let document = document::parse(&row.value).ok()?;
    let service = document.service.clone();
    let accepted = view::Accepted {
        version: row.version,
        text: row.value,
        document,
    };
    Some((service, Arc::new(accepted)))
}

/// Writes a document if its version is still the one that the editor read; 0 stands for a new one.
pub async fn write(
    client: &platform::Client,
    service: &id::Service,
    read_version: u64,
    text: &str,
) -> Edit {
    let key = id::Key::from(format!("{PREFIX}{service}"));
    let txn = messages::Txn {
        checks: vec![messages::Check {
            key: key.clone(),
            version: read_version,
        }],
        writes: vec![messages::Write {
            key,
            value: Some(text.to_owned()),
        }],
    };
    match client.transact(&txn).await {
        messages::Outcome::Committed(committed) => Edit::Written(committed.versions[0]),
        messages::Outcome::Refused(refused) => Edit::Raced(refused.version),
        messages::Outcome::Unknown => Edit::Unknown,
    }
}
