//! A node on the users' platform: accepts jobs from callers and leads the batch duty when elected.

mod admission;
mod channels;
mod claim;
mod commit;
mod configuration;
mod duty;
mod fleet;
mod forward;
mod front;
mod gauges;
mod job_feed;
mod job_room;
mod lateness;
mod leadership;
mod peers;
mod recovery;
mod registry_feed;
mod relay;
mod removal;
mod requests;
mod server;
mod shared;
mod standby;
mod standing;
mod submissions;
mod tombstones;
mod unreadable;
mod watch;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix;
use tokio::task::JoinSet;
use tokio::time;
use wasabiloft_platform::settings;

use crate::clock;
use crate::log;

/// Time reserved between the end of the last responses and the platform's kill, in milliseconds.
const STOP_MARGIN_MS: u64 = 1_000;
/// Time for which a stopping node still accepts requests, in milliseconds; the platform's load balancer needs two
/// seconds to notice that the node isn't ready.
const DRAIN_PERIOD_MS: u64 = 2_200;
/// Interval at which the settings file is read again, in milliseconds; it can change without a signal.
const SETTINGS_CHECK_MS: u64 = 2_000;

/// Runs a node until it receives a termination signal.
///
/// # Errors
///
/// Fails if the settings cannot be read or an address cannot be bound.
pub async fn run(path: &Path, metrics: PrometheusHandle) -> Result<(), String> {
    let settings = settings::read(path).map_err(|error| error.to_string())?;
    let signal = |kind| unix::signal(kind).map_err(|error| error.to_string());
    let mut terminate = signal(unix::SignalKind::terminate())?;
    let mut interrupt = signal(unix::SignalKind::interrupt())?;
    let mut reload = signal(unix::SignalKind::hangup())?;
    let grace_ms = settings.grace_ms;
    log::info(
        "node",
        &format!(
            "start node={} data_centre={} callers={} store={}",
            settings.node, settings.data_centre, settings.callers, settings.store
        ),
    );
    let shared = Arc::new(shared::Shared::new(settings, metrics));
    let mut tasks = JoinSet::new();
    server::start(&shared, &mut tasks).await?;
    tasks.spawn(configuration::follow(Arc::clone(&shared)));
    tasks.spawn(duty::run(Arc::clone(&shared)));
    let writer = tokio::spawn(submissions::run(Arc::clone(&shared)));
    tasks.spawn(lateness::run(Arc::clone(&shared)));
    let mut check = time::interval(Duration::from_millis(SETTINGS_CHECK_MS));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reread(path, &shared, "signal"),
            _ = check.tick() => reread(path, &shared, "changed"),
        }
    }
    log::info("node", "stop requested");
    let stopping_at = clock::since_boot();
    shared.stop.cancel();
    let remaining_ms = grace_ms.saturating_sub(STOP_MARGIN_MS);
    let ended = time::timeout(Duration::from_millis(remaining_ms), async {
        while tasks.join_next().await.is_some() {}
    })
    .await;
    if ended.is_err() {
        log::warn(
            "node",
            "stop: some connections were still open at the end of the grace period",
        );
        tasks.shutdown().await;
    }
    // Requests in progress need the writer until the last connection is closed.
    shared.submissions.closed.cancel();
    if let Err(error) = writer.await {
        log::warn(
            "node",
            &format!("writer of submissions failed reason={error}"),
        );
    }
    log::info(
        "node",
        &format!(
            "stopped after_ms={}",
            clock::since_boot().since_ms(stopping_at)
        ),
    );
    spdlog::default_logger().flush();
    Ok(())
}

/// Reads the settings again; the listeners and the store's client keep their addresses.
fn reread(path: &Path, shared: &shared::Shared, why: &str) {
    match settings::read(path) {
        Ok(settings) => {
            if shared.replace_settings(settings) || why == "signal" {
                log::info("node", &format!("settings read reason={why}"));
            }
        }
        Err(error) => log::warn("node", &format!("settings kept reason={error}")),
    }
}
