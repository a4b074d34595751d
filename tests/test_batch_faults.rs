//! Randomised runs of schedulers, workers and a table with faults. Checks that no task runs twice, that steps run in
//! order and that tasks stay within their attempts.

use proptest::prelude::*;
use wasabiloft::batch::record;

use crate::fake_workers::{Faults, Simulation, accepted, step};
use crate::fixed_seed;

const JOBS: u64 = 12;

fn simulate(faults: Faults, seed: u64) -> Simulation {
    let mut sim = Simulation::new(6, faults, seed);
    sim.run(300);
    for id in 0..JOBS {
        let steps = vec![step(3, &[]), step(2, &[0])];
        sim.submit(id, accepted(steps, 6));
        sim.run(200);
        if id % 5 == 4 {
            sim.cancel(id);
        }
    }
    sim.run(20_000);
    sim
}

/// Ends all faults, and returns the jobs without a final state some time later.
fn unfinished_jobs(mut sim: Simulation) -> Vec<u64> {
    sim.end_faults();
    sim.run(30_000);
    let is_final = |state: Option<record::State>| state.is_some_and(record::State::is_final);
    (0..JOBS).filter(|id| !is_final(sim.state(*id))).collect()
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    #[test]
    fn invariants_hold_with_all_faults(seed in any::<u64>()) {
        let faults = Faults { late: 60, lost: 60, partition: 6, crash: 4, takeover: 2, ..Faults::default() };
        let sim = simulate(faults, seed);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert!(sim.started > 0);
        prop_assert_eq!(unfinished_jobs(sim), Vec::<u64>::new());
    }

    #[test]
    fn invariants_hold_across_takeovers(seed in any::<u64>()) {
        let faults = Faults { takeover: 12, lost: 20, ..Faults::default() };
        let sim = simulate(faults, seed);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert_eq!(unfinished_jobs(sim), Vec::<u64>::new());
    }

    #[test]
    fn invariants_hold_with_delayed_starts(seed in any::<u64>()) {
        let faults = Faults { late: 250, ..Faults::default() };
        let sim = simulate(faults, seed);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert_eq!(unfinished_jobs(sim), Vec::<u64>::new());
    }
}
