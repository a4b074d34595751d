//! Follows the operators' table: the configuration and requests for maintenance waves.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft_platform::{configuration, store, upkeep};

use crate::batch::shared;
use crate::clock;
use crate::log;

/// Maximum wait of a long poll for changes, in milliseconds.
const POLL_WAIT_MAX_MS: u64 = 400;
/// Maximum wait of a long poll as a share of the time within which a version must be in force: each poll renews the
/// proof that the version is the newest, which is valid for three quarters of that time.
const POLL_WAIT_DIVISOR: u64 = 5;
/// Pause after a failed poll, in milliseconds.
const RETRY_MS: u64 = 100;
/// First and longest timeout of a read beyond its wait, in milliseconds. It doubles after each failure: a
/// configuration with thousands of routes takes a thin link seconds, and would never arrive within the first.
const TIMEOUT_MARGIN_MS: (u64, u64) = (700, 2_800);

/// Follows the operators' table until the node stops.
pub async fn follow(shared: Arc<shared::Shared>) {
    let mut after = None;
    let mut reachable = true;
    let mut margin_ms = TIMEOUT_MARGIN_MS.0;
    while !shared.stop.is_cancelled() {
        let outcome = match after {
            None => read_all(&shared, margin_ms).await,
            Some(version) => poll(&shared, version, margin_ms).await,
        };
        match outcome {
            Ok(version) => {
                shared.record_store_response();
                after = Some(version);
                margin_ms = TIMEOUT_MARGIN_MS.0;
                if !reachable {
                    reachable = true;
                    log::info("store", "regained");
                }
            }
            Err(error) => {
                if matches!(error, store::Error::HistoryUnavailable) {
                    after = None;
                    log::info("config", "history unavailable, reading all rows");
                    continue;
                }
                if reachable {
                    reachable = false;
                    log::warn("store", &format!("lost reason={error}"));
                }
                margin_ms = (margin_ms * 2).min(TIMEOUT_MARGIN_MS.1);
                time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Returns the wait of a long poll, in milliseconds.
fn poll_wait_ms(shared: &shared::Shared) -> u64 {
    (shared.settings().config_in_force_ms() / POLL_WAIT_DIVISOR).min(POLL_WAIT_MAX_MS)
}

async fn read_all(shared: &shared::Shared, margin_ms: u64) -> Result<u64, store::Error> {
    let sent_at = clock::since_boot();
    let page = shared
        .store
        .rows(configuration::TABLE, "", poll_wait_ms(shared) + margin_ms)
        .await?;
    for row in &page.rows {
        apply(shared, row);
    }
    shared.record_store_clock(page.now_ms);
    shared.confirm_config(sent_at);
    Ok(page.version)
}

async fn poll(shared: &shared::Shared, after: u64, margin_ms: u64) -> Result<u64, store::Error> {
    let sent_at = clock::since_boot();
    let wait_ms = poll_wait_ms(shared);
    let page = shared
        .store
        .changes_within(configuration::TABLE, after, wait_ms, wait_ms + margin_ms)
        .await?;
    shared.record_store_clock(page.now_ms);
    for row in &page.rows {
        apply(shared, row);
    }
    if page.rows.is_empty() {
        // The store had no newer version when the wait ended.
        let passed = clock::since_boot().since_ms(sent_at).min(wait_ms);
        shared.confirm_config(sent_at.after_ms(passed));
    } else {
        shared.confirm_config(sent_at);
    }
    Ok(page.version.max(after))
}

fn apply(shared: &shared::Shared, row: &store::Row) {
    if row.name.key == configuration::KEY {
        match configuration::decode(row) {
            Ok(decoded) => {
                let (version, routes) = (decoded.config.version, decoded.config.routes.len());
                let accounts = decoded.config.accounts.as_ref();
                let (accounts, keys) = accounts.map_or((0, 0), |accounts| accounts.counts());
                if shared.apply_config(decoded.config, row.value.clone().unwrap_or_default()) {
                    log::info(
                        "config",
                        &format!(
                            "in force version={version} routes={routes} accounts={accounts} keys={keys} source=store"
                        ),
                    );
                    for warning in &decoded.warnings {
                        log::warn("config", &format!("version={version}: {warning}"));
                    }
                    if let Some(leadership) = shared.leadership() {
                        leadership.configured(shared);
                    }
                }
            }
            Err(error) => log::warn("config", &format!("kept reason={error}")),
        }
    } else if upkeep::is_wave(row) {
        match upkeep::decode(row) {
            Ok(request) => {
                let line = format!(
                    "wave requested wave={} machines={} deadline_ms={} at_once_max={}",
                    request.number,
                    request.vms.len(),
                    request.deadline_ms,
                    request.at_once_max
                );
                if shared.record_wave_request(request) {
                    log::info("fleet", &line);
                }
            }
            Err(error) => log::warn("fleet", &format!("wave ignored reason={error}")),
        }
    }
}
