//! A short soak with fixed seeds, and the seeds that failed once; long runs are `standin soak`.

use std::path::Path;

use wasabiloft_standins::soak::{self, Options};

/// How long faults come in the short runs, in milliseconds.
const SHORT_MS: u64 = 6_000;

async fn play(options: Options) {
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
async fn promises_are_kept_under_faults() {
    for seed in [7, 8] {
        play(Options {
            run_ms: SHORT_MS,
            nodes: 3,
            machines: 4,
            callers: 3,
            ..options(seed)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_failed_once_are_kept() {
    for (seed, _cause) in soak::REGRESSIONS {
        play(options(*seed)).await;
    }
}
