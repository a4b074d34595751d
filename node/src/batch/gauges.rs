//! Metrics of a node: gauges of its state, updated when the metrics are requested, and counters of ended runs.

use std::collections::BTreeMap;

use metrics::{counter, gauge};
use wasabiloft::batch::scheduler::{Counts, Scheduler};
use wasabiloft::id;

use crate::batch::{admission, leadership, shared};
use crate::clock;

/// Maximum number of label values for accounts; bounds the memory and the size of the metrics.
const ACCOUNTS_MAX: usize = 64;
/// Maximum number of accounts with counters of their own; with the labels `none` and `other` 64 values.
const ACCOUNTS_NAMED_MAX: usize = ACCOUNTS_MAX - 2;

/// Updates all gauges to the current state.
pub fn set(shared: &shared::Shared) {
    let current_config = shared.current_config();
    let version = current_config
        .config
        .as_ref()
        .map_or(0, |config| config.version);
    gauge!("wasabiloft_config_version").set(version as f64);
    if let Some(at) = current_config.confirmed_at {
        let age_ms = clock::since_boot().since_ms(at);
        gauge!("wasabiloft_config_age_ms").set(age_ms as f64);
    }
    gauge!("wasabiloft_store_silent_ms").set(shared.store_silent_ms() as f64);
    let epoch = shared.duty().duty.map_or(0, |duty| duty.epoch);
    gauge!("wasabiloft_duty_epoch").set(epoch as f64);
    let leadership = shared.leadership();
    gauge!("wasabiloft_holds_duty").set(f64::from(u8::from(leadership.is_some())));
    match leadership {
        Some(leadership) => {
            set_leader(&leadership);
            set_limits(shared, &leadership);
        }
        None => set_workers(&BTreeMap::new()),
    }
}

fn set_leader(leadership: &leadership::Leadership) {
    let scheduler = leadership.scheduler();
    let now = clock::since_boot();
    let mut states: BTreeMap<&'static str, usize> = BTreeMap::new();
    for worker in scheduler.workers().values() {
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
    for route in &scheduler.config().routes {
        let waiting = scheduler.waiting_jobs(&route.queue.name);
        gauge!("wasabiloft_jobs_waiting", "queue" => route.queue.name.clone()).set(waiting as f64);
    }
    for service in scheduler.config().services.keys() {
        let waiting = scheduler.long_running_waiting(service);
        gauge!("wasabiloft_long_running_tasks_waiting", "service" => service.to_string())
            .set(waiting as f64);
    }
    set_accounts(&scheduler);
    gauge!("wasabiloft_open_job_bytes").set(scheduler.open_job_bytes() as f64);
    gauge!("wasabiloft_unread_partitions").set(scheduler.unread_partitions() as f64);
    let (direct, relayed) = leadership.relays().counts();
    gauge!("wasabiloft_workers_routed", "route" => "direct").set(direct as f64);
    gauge!("wasabiloft_workers_routed", "route" => "relay").set(relayed as f64);
    gauge!("wasabiloft_commit_age_ms").set(leadership.since_commit_ms() as f64);
}

/// Counts a request for its account; does nothing if the configuration has no accounts.
pub fn count_request(
    shared: &shared::Shared,
    account: Option<&id::Account>,
    outcome: &'static str,
) {
    let Some(config) = shared.current_config().config else {
        return;
    };
    let Some(accounts) = &config.accounts else {
        return;
    };
    // The names beyond the first are not told apart, and calls without a valid key have no account.
    let label = account.map_or("none", |account| {
        let mut named = accounts.iter().take(ACCOUNTS_NAMED_MAX);
        if named.any(|(name, _)| name == account) {
            account.as_str()
        } else {
            "other"
        }
    });
    counter!("wasabiloft_account_requests_total", "account" => label.to_owned(), "outcome" => outcome)
        .increment(1);
}

/// Sets the fraction of each account's submissions that the nodes admit.
fn set_limits(shared: &shared::Shared, leadership: &leadership::Leadership) {
    let Some(config) = shared.current_config().config else {
        return;
    };
    let Some(accounts) = &config.accounts else {
        return;
    };
    let limits = admission::limits(shared, leadership);
    for (account, _) in accounts.iter().take(ACCOUNTS_NAMED_MAX) {
        let limit = limits.iter().find(|limit| limit.account == *account);
        let admitted_milli = limit.map_or(1_000, |limit| limit.admitted_milli);
        gauge!("wasabiloft_account_admitted_milli", "account" => account.to_string())
            .set(admitted_milli as f64);
    }
}

fn set_workers(states: &BTreeMap<&'static str, usize>) {
    for state in ["usable", "unusable", "doubtful", "leaving"] {
        let count = states.get(state).copied().unwrap_or(0);
        gauge!("wasabiloft_workers", "state" => state).set(count as f64);
    }
}

/// Sets the gauges of the accounts; those beyond [`ACCOUNTS_NAMED_MAX`] are added up.
fn set_accounts(scheduler: &Scheduler) {
    let mut running: BTreeMap<&str, (u64, u64, u32)> = BTreeMap::new();
    for (position, (account, usage)) in scheduler.ledger().iter().enumerate() {
        let label = if position < ACCOUNTS_NAMED_MAX {
            account.as_str()
        } else {
            "other"
        };
        let total = usage.total();
        let entry = running.entry(label).or_default();
        entry.0 += total.cpu_milli;
        entry.1 += total.memory_mib;
        entry.2 += total.accelerators;
    }
    for (account, (cpu_milli, memory_mib, accelerators)) in running {
        gauge!("wasabiloft_account_running_cpu_milli", "account" => account.to_owned())
            .set(cpu_milli as f64);
        gauge!("wasabiloft_account_running_memory_mib", "account" => account.to_owned())
            .set(memory_mib as f64);
        gauge!("wasabiloft_account_running_accelerators", "account" => account.to_owned())
            .set(f64::from(accelerators));
    }
}

/// Adds the runs that ended since the previous call to the counters.
pub fn count_ends(before: &Counts, now: &Counts) {
    let ends = [
        ("done", before.done, now.done),
        ("failed", before.failed, now.failed),
        ("broken-off", before.broken_off, now.broken_off),
        ("lost", before.lost, now.lost),
    ];
    for (how, before, now) in ends {
        counter!("wasabiloft_runs_ended_total", "how" => how).increment(now - before);
    }
    counter!("wasabiloft_workers_crashed_total")
        .increment(now.workers_crashed - before.workers_crashed);
    counter!("wasabiloft_jobs_given_up_total").increment(now.given_up - before.given_up);
    counter!("wasabiloft_runs_outlived_total").increment(now.outlived - before.outlived);
    counter!("wasabiloft_entries_unreadable_total", "what" => "report")
        .increment(now.unreadable_rows - before.unreadable_rows);
}
