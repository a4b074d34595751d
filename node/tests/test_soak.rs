//! Short soak runs with fixed seeds and with seeds that failed before; `standin soak` does long runs.

use std::path::Path;

use wasabiloft_standins::soak::{self, Faults, Options};

/// Time for which faults are injected in the short runs, in milliseconds.
const SHORT_MS: u64 = 6_000;
/// The same for series of faults, whose effects show several seconds later.
const SERIES_MS: u64 = 15_000;

async fn run_soak(options: Options) {
    let report = soak::run(&options).await.expect("a soak");
    assert!(report.accepted > 0 && report.starts > 0, "{report:?}");
    assert!(report.violations.is_empty(), "{report:#?}");
}

fn options(seed: u64) -> Options {
    Options::new(
        Path::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned(),
        seed,
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_faults() {
    for seed in [7, 8] {
        run_soak(Options {
            run_ms: SHORT_MS,
            nodes: 3,
            machines: 4,
            callers: 3,
            ..options(seed)
        })
        .await;
    }
}

/// Guards against tasks that run twice, and against work that isn't finished, after overlapping faults of the machine API
/// and of workers that run on while they are unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_series_of_faults() {
    for seed in [3001, 3002] {
        run_soak(Options {
            run_ms: SERIES_MS,
            faults: Faults::Series,
            ..options(seed)
        })
        .await;
    }
}

/// Guards against calls that run with unknown or revoked keys, and accounts that run more than their quotas.
#[tokio::test(flavor = "multi_thread")]
async fn keys_and_quotas_hold_under_faults() {
    for seed in [11, 12] {
        let options = Options {
            run_ms: 2 * SHORT_MS,
            accounts: 3,
            ..options(seed)
        };
        let report = soak::run(&options).await.expect("a soak");
        assert!(report.denied > 0 && report.starts > 0, "{report:?}");
        assert!(report.violations.is_empty(), "{report:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_failed_before_pass() {
    for (seed, _cause) in soak::REGRESSIONS {
        run_soak(options(*seed)).await;
    }
}
