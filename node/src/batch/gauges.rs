//! Gauges of a node's state, set when the metrics are asked for.

use std::collections::BTreeMap;

use metrics::gauge;

use crate::batch::{holding, shared};
use crate::clock;

/// Sets all gauges to the present state.
pub fn set(shared: &shared::Shared) {
    let configured = shared.configured();
    let version = configured
        .config
        .as_ref()
        .map_or(0, |config| config.version);
    gauge!("wasabiloft_config_version").set(version as f64);
    if let Some(at) = configured.confirmed_at {
        let age_ms = clock::since_boot().since_ms(at);
        gauge!("wasabiloft_config_age_ms").set(age_ms as f64);
    }
    gauge!("wasabiloft_store_silent_ms").set(shared.store_silent_ms() as f64);
    let epoch = shared.duty().duty.map_or(0, |duty| duty.epoch);
    gauge!("wasabiloft_duty_epoch").set(epoch as f64);
    let holding = shared.holding();
    gauge!("wasabiloft_holds_duty").set(f64::from(u8::from(holding.is_some())));
    match holding {
        Some(holding) => set_holder(&holding),
        None => set_workers(&BTreeMap::new()),
    }
}

fn set_holder(holding: &holding::Holding) {
    let holder = holding.holder();
    let now = clock::since_boot();
    let mut states: BTreeMap<&'static str, usize> = BTreeMap::new();
    for worker in holder.workers().values() {
        let state = if worker.listing.leaving || !worker.listed {
            "leaving"
        } else if worker.is_suspect() {
            "doubtful"
        } else if worker.is_usable(now) {
            "usable"
        } else {
            "unusable"
        };
        *states.entry(state).or_default() += 1;
    }
    set_workers(&states);
    for route in &holder.config().routes {
        let waiting = holder.waiting_jobs(&route.queue.name);
        gauge!("wasabiloft_jobs_waiting", "queue" => route.queue.name.clone()).set(waiting as f64);
    }
    gauge!("wasabiloft_commit_age_ms").set(holding.since_commit_ms() as f64);
}

fn set_workers(states: &BTreeMap<&'static str, usize>) {
    for state in ["usable", "unusable", "doubtful", "leaving"] {
        let count = states.get(state).copied().unwrap_or(0);
        gauge!("wasabiloft_workers", "state" => state).set(count as f64);
    }
}
