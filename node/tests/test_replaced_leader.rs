//! A leader that stood still, or lost the store, and was replaced: what it does when it runs again.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rustix::process::Signal;
use wasabiloft_standins::hosted::machines;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::FIRST_WAVE;
use wasabiloft_standins::soak::{self, Faults, Options};

/// Time after which a woken leader has noticed that it was replaced, in milliseconds.
const SETTLE_MS: u64 = 2_000;
/// Delay of lists of machines, in milliseconds; longer than the leader's pause between two lists.
const LATE_LIST_MS: u64 = 1_000;
/// Time for which leaders are frozen in a run, in milliseconds: two freezes.
const FREEZES_MS: u64 = 10_000;

fn options(seed: u64) -> Options {
    Options {
        nodes: 3,
        machines: 4,
        wave: false,
        ..Options::new(
            Path::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned(),
            seed,
        )
    }
}

/// Guards against a leader that wakes after its successor has completed a wave, and reports to operators that it runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_leader_does_not_take_back_what_its_successor_reported_of_a_wave() {
    let scenario = Scenario::start(&options(1)).await.expect("a scenario");
    let world = &scenario.world;
    scenario
        .until("a node leads", async || world.leader().is_some())
        .await
        .expect("a leader");
    let (frozen, epoch) = world.leader().expect("a leader");
    // The leader takes up the wave, and is frozen before it has the list after which it reports that the wave runs.
    world
        .machines
        .state
        .set_fault(Some(machines::Fault::LateList(LATE_LIST_MS)));
    world.request_wave(FIRST_WAVE, &[world.workers[0].machine.clone()]);
    scenario
        .until("the leader has the request", async || {
            let log = world.node(frozen).log().unwrap_or_default();
            log.contains("wave requested")
        })
        .await
        .expect("a request");
    scenario.pause(LATE_LIST_MS / 2).await;
    world.node(frozen).signal(Signal::STOP);
    world.machines.state.set_fault(None);
    scenario
        .until("the successor completes the wave", async || {
            world.unfinished_waves().is_empty()
        })
        .await
        .expect("a completed wave");
    assert!(world.leader().is_some_and(|(_, newest)| newest > epoch));
    world.node(frozen).signal(Signal::CONT);
    for _ in 0..SETTLE_MS / 10 {
        scenario.pause(10).await;
        let key = format!("wave/{FIRST_WAVE}");
        let status = world.store.state.get("status", "", &key);
        let status = status.and_then(|text| STANDARD.decode(text).ok());
        let status = String::from_utf8_lossy(&status.unwrap_or_default()).into_owned();
        assert!(status.contains("completed"), "{status}");
    }
}

/// Guards against starts and leases of a leader that woke, to workers that its successor takes for lapsed: the bytes arrive
/// when the network is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_leader_runs_no_task_twice_on_workers_that_were_cut_off() {
    for seed in [41, 42] {
        let options = Options {
            run_ms: FREEZES_MS,
            machines: 6,
            faults: Faults::FrozenLeaders,
            ..options(seed)
        };
        let report = soak::run(&options).await.expect("a soak");
        assert!(report.faults.len() >= 2 && report.starts > 0, "{report:?}");
        assert!(report.violations.is_empty(), "{report:#?}");
    }
}
