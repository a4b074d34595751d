//! Tests of the decision library, one module a slice.

mod fake_slots;
mod fake_table;
mod test_admission;
mod test_document;
mod test_journal;
mod test_lease;
mod test_routing;
mod test_slots;

use proptest::test_runner::{Config, RngSeed};

/// A configuration of `cases` cases that are the same in each run.
fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    }
}
