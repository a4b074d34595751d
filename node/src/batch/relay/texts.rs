//! The texts of jobs that a relay starts tasks of.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::OnceCell;
use wasabiloft::batch::{JobId, record};
use wasabiloft_platform::store;

use crate::batch::relay::TEXTS_MAX;
use crate::batch::{forward, shared};
use crate::clock;

/// Timeout of a read of a job's row, in milliseconds; below the timeout of a start.
const READ_TIMEOUT_MS: u64 = 200;

type Cell = Arc<OnceCell<Arc<str>>>;

/// Texts by job: from the leader, or read from the store once.
#[derive(Debug, Default)]
pub(super) struct Texts {
    cells: Mutex<HashMap<JobId, Cell>>,
}

impl Texts {
    fn cell(&self, job: JobId) -> Cell {
        let mut cells = self.cells.lock().unwrap_or_else(PoisonError::into_inner);
        if cells.len() >= TEXTS_MAX && !cells.contains_key(&job) {
            cells.clear();
        }
        Arc::clone(cells.entry(job).or_default())
    }

    /// Keeps a text that came with a command.
    pub(super) fn insert(&self, job: JobId, text: &Arc<str>) {
        // A text that is known already is the same.
        let _ = self.cell(job).set(Arc::clone(text));
    }

    /// Returns the text of a job; `None` if it can't be read now.
    pub(super) async fn get(&self, shared: &shared::Shared, job: JobId) -> Option<Arc<str>> {
        let cell = self.cell(job);
        let text = cell.get_or_try_init(|| read(shared, job)).await;
        text.ok().cloned()
    }
}

async fn read(shared: &shared::Shared, job: JobId) -> Result<Arc<str>, ()> {
    let name = store::Name::new(
        record::JOB_TABLE,
        &record::job_partition(job),
        &record::JobKey::Accepted(job).text(),
    );
    let deadline = clock::since_boot().after_ms(READ_TIMEOUT_MS);
    let row = match shared.store.row(&name, READ_TIMEOUT_MS).await {
        Ok(row) => row,
        Err(_) => forward::read(shared, &name, deadline).await?,
    };
    let value = row.and_then(|row| row.value).ok_or(())?;
    let accepted: record::Accepted = serde_json::from_slice(&value).map_err(|error| {
        crate::log::warn("relay", &format!("cannot decode job={job} reason={error}"));
    })?;
    Ok(Arc::from(accepted.spec.text))
}
