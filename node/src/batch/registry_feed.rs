//! Follows the registry of workers while leading.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wasabiloft::id;
use wasabiloft_platform::{registry, store};

use crate::batch::{leadership, shared, unreadable};
use crate::clock;
use crate::log;

/// Pause after a change of the registry was received, in milliseconds: every worker writes its entry every second or
/// two, and the pause batches the relevant changes.
const REGISTRY_PAUSE_MS: u64 = 120;
/// Timeout of a read of the registry, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;
/// Time after an outage of the store within which missing entries reappear, in milliseconds; the platform guarantees
/// it.
const ENTRIES_BACK_MS: u64 = 2_500;

/// Reads the registry from the last page in `partial` on, which holds what was read before a page was refused.
async fn read_registry(
    shared: &shared::Shared,
    partial: &mut Option<store::Page>,
) -> Result<store::Page, store::Error> {
    loop {
        let last = partial.as_ref().and_then(|all| all.rows.last());
        let from = last.map(|row| row.name.next_key());
        let page = shared
            .store
            .page(
                registry::TABLE,
                "",
                from.as_deref(),
                store::PAGE_ROWS_MAX,
                READ_TIMEOUT_MS,
            )
            .await?;
        let is_last = !page.more || page.rows.is_empty();
        match partial {
            None => *partial = Some(page),
            Some(all) => {
                all.rows.extend(page.rows);
                all.unnamed += page.unnamed;
            }
        }
        if let Some(all) = partial.take_if(|_| is_last) {
            return Ok(all);
        }
    }
}

/// Follows the registry of workers.
pub async fn follow(shared: Arc<shared::Shared>, leadership: Arc<leadership::Leadership>) {
    let mut after = None;
    let mut partial = None;
    let mut known: BTreeMap<id::Worker, u64> = BTreeMap::new();
    let mut unreadable = unreadable::Unreadable::new("registry", "holder");
    // Entries of services that the configuration doesn't name; a later version may.
    let mut unserved: BTreeMap<id::Worker, store::Row> = BTreeMap::new();
    let mut lost_at = None;
    let mut trusted_at = wasabiloft::clock::Instant::ZERO;
    while !leadership.ended.is_cancelled() {
        let outcome = match after {
            Some(version) => {
                shared
                    .store
                    .changes(registry::TABLE, version, leadership::POLL_WAIT_MS)
                    .await
            }
            None => read_registry(&shared, &mut partial).await,
        };
        let page = match outcome {
            Ok(page) => page,
            Err(store::Error::HistoryUnavailable) => {
                after = None;
                continue;
            }
            Err(error) => {
                if lost_at.is_none() {
                    log::info("holder", &format!("registry unread reason={error}"));
                }
                lost_at.get_or_insert(clock::since_boot());
                leadership::pause(&leadership, leadership::RETRY_MS).await;
                continue;
            }
        };
        let now = clock::since_boot();
        if lost_at.take().is_some() {
            // Entries that expired during the outage reappear; until then a missing entry proves nothing.
            trusted_at = now.after_ms(ENTRIES_BACK_MS);
        }
        if after.is_none() {
            let present: BTreeSet<id::Worker> = page
                .rows
                .iter()
                .map(|row| id::Worker::new(&row.name.key))
                .collect();
            let missing: Vec<id::Worker> = known
                .keys()
                .filter(|worker| !present.contains(worker))
                .cloned()
                .collect();
            for worker in missing {
                known.remove(&worker);
                leadership.scheduler().worker_unlisted(&worker);
            }
            unreadable.retain(|key| present.contains(&id::Worker::new(key)));
            unserved.clear();
        }
        if page.unnamed > 0 {
            let line = format!("entries without a readable key rows={}", page.unnamed);
            unreadable.found("", &line);
        }
        let mut rows = std::mem::take(&mut unserved);
        rows.extend(
            page.rows
                .into_iter()
                .map(|row| (id::Worker::new(&row.name.key), row)),
        );
        for (worker, row) in rows {
            let removals_trusted = now >= trusted_at;
            let is_served = apply_entry(
                &leadership,
                &row,
                &mut known,
                &mut unreadable,
                removals_trusted,
            );
            if !is_served {
                unserved.insert(worker, row);
            }
        }
        after = Some(page.version.max(after.unwrap_or(0)));
        leadership.wake.notify_one();
        leadership::pause(&leadership, REGISTRY_PAUSE_MS).await;
    }
}

/// Applies an entry; returns `false` if the configuration doesn't name its service.
fn apply_entry(
    leadership: &leadership::Leadership,
    row: &store::Row,
    known: &mut BTreeMap<id::Worker, u64>,
    unreadable: &mut unreadable::Unreadable,
    removals_trusted: bool,
) -> bool {
    let id = id::Worker::new(&row.name.key);
    let now = clock::since_boot();
    if row.removed {
        unreadable.resolved(&row.name.key);
        if removals_trusted {
            known.remove(&id);
            leadership.scheduler().worker_unlisted(&id);
        }
        return true;
    }
    match registry::decode(row) {
        Ok(listing) => {
            let mut scheduler = leadership.scheduler();
            if !scheduler.may_use(&listing) {
                drop(scheduler);
                let line = format!(
                    "entry {id} can't be used: no service={} in the configuration",
                    listing.service
                );
                unreadable.found(&row.name.key, &line);
                return false;
            }
            scheduler.worker_listed(listing, now);
            drop(scheduler);
            if unreadable.resolved(&row.name.key) {
                log::info("holder", &format!("entry can be used again worker={id}"));
            }
            known.insert(id, row.version);
        }
        Err(error) => {
            unreadable.found(&row.name.key, &error.to_string());
            // The entry doesn't prove that the worker has left, so what runs there is followed on.
            leadership.scheduler().worker_unreadable(&id);
        }
    }
    true
}
