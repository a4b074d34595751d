//! Tests of the decision library, one module per component.

mod fake_pair;
mod fake_slots;
mod fake_submissions;
mod fake_table;
mod fake_workers;
#[path = "../measure/src/keys_world.rs"]
mod keys_world;
mod test_admission;
mod test_batch_accounts;
mod test_batch_acknowledged;
mod test_batch_admission_limit;
mod test_batch_arrivals;
mod test_batch_authority;
mod test_batch_begun;
mod test_batch_budget;
mod test_batch_capacity;
mod test_batch_connections;
mod test_batch_crashes;
mod test_batch_evidence;
mod test_batch_faults;
mod test_batch_holder;
mod test_batch_inherit;
mod test_batch_job_memory;
mod test_batch_live_workers;
mod test_batch_odd_entries;
mod test_batch_order;
mod test_batch_pools;
mod test_batch_predecessors;
mod test_batch_progress_rows;
mod test_batch_recovery;
mod test_batch_rejection;
mod test_batch_relays;
mod test_batch_release;
mod test_batch_restarts;
mod test_batch_room;
mod test_batch_schedules;
mod test_batch_slowness;
mod test_batch_submissions;
mod test_batch_succession;
mod test_batch_suspects;
mod test_batch_tombstones;
mod test_batch_trials;
mod test_batch_waves;
mod test_config;
mod test_connection;
mod test_document;
mod test_drain;
mod test_estimate;
mod test_fleet;
mod test_job;
mod test_journal;
mod test_lease;
mod test_maintenance;
mod test_once;
mod test_peers;
mod test_placement;
mod test_pool;
mod test_quarantine;
mod test_quota;
mod test_retry;
mod test_roster;
mod test_routing;
mod test_slots;

use proptest::test_runner::{Config, RngSeed};

/// Returns a proptest configuration that generates the same `cases` cases in each run.
fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    }
}
