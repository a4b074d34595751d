//! Parses the documents in force for the request path, and writes operators' edits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use wasabiloft::config;
use wasabiloft::document;
use wasabiloft::id;

use crate::control;
use crate::log;
use crate::view;

/// Maximum time that an operator's request waits for the outcome of an edit, in milliseconds.
pub const EDIT_WAIT_MS: u64 = 10_000;

/// Documents in force, by service.
pub type Documents = HashMap<id::Service, Arc<view::Accepted>>;

/// The outcome of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// Accepted as this version: in force on every serving node within seconds.
    Accepted(u64),
    /// Committed as this version: it will come into force, but a majority of the nodes doesn't have it yet.
    Pending(u64),
    /// Nothing was written: another edit wrote this version in the meantime, or 0 if the document was deleted.
    Raced(u64),
    /// Nothing was written: the table does not answer.
    NotRun,
    /// The edit was sent but not answered: it can still come into force.
    MayHaveRun,
}

/// Parses the control component's documents; unchanged ones are shared with `old`.
pub fn in_force(versions: &BTreeMap<id::Service, config::Version>, old: &Documents) -> Documents {
    let mut documents = HashMap::new();
    for (service, version) in versions {
        let unchanged = old
            .get(service)
            .filter(|unchanged| unchanged.version == version.head);
        let accepted = match unchanged {
            Some(unchanged) => Some(Arc::clone(unchanged)),
            None => parse(service, version),
        };
        if let Some(accepted) = accepted {
            documents.insert(service.clone(), accepted);
        }
    }
    documents
}

fn parse(service: &id::Service, version: &config::Version) -> Option<Arc<view::Accepted>> {
    let text = version.text.clone()?;
    match document::parse(&text) {
        Ok(document) => Some(Arc::new(view::Accepted {
            version: version.head,
            text,
            document,
        })),
        Err(error) => {
            log::warn(
                "config",
                &format!("unreadable document service={service}: {error}"),
            );
            None
        }
    }
}

/// Writes a document if its version is still `read_version`; 0 stands for a new document.
pub async fn write(
    control: &control::Handle,
    service: &id::Service,
    read_version: u64,
    text: &str,
) -> EditOutcome {
    let edit = config::edit::Edit {
        service: service.clone(),
        text: Some(text.to_owned()),
        if_match: read_version,
    };
    let outcome = match control.edit(edit, EDIT_WAIT_MS).await {
        Some(config::edit::Status::Accepted(version)) => EditOutcome::Accepted(version),
        Some(config::edit::Status::Committed(version)) => EditOutcome::Pending(version),
        Some(config::edit::Status::Raced(version)) => EditOutcome::Raced(version),
        Some(config::edit::Status::Queued) => EditOutcome::NotRun,
        Some(config::edit::Status::Unsettled) | None => EditOutcome::MayHaveRun,
    };
    let label = match outcome {
        EditOutcome::Accepted(_) => "accepted",
        EditOutcome::Pending(_) => "pending",
        EditOutcome::Raced(_) => "raced",
        EditOutcome::NotRun => "not-run",
        EditOutcome::MayHaveRun => "may-have-run",
    };
    metrics::counter!("wasabiloft_edits_total", "outcome" => label).increment(1);
    outcome
}
