//! A leader that stood still, or lost the store, and was replaced: what it does when it runs again.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rustix::process::Signal;
use wasabiloft_standins::hosted::machines;
use wasabiloft_standins::proxy;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::FIRST_WAVE;
use wasabiloft_standins::soak::{self, Faults, Options};

/// Time after which a woken leader has noticed that it was replaced, in milliseconds.
const SETTLE_MS: u64 = 2_000;
/// Delay of lists of machines, in milliseconds; longer than the leader's pause between two lists.
const LATE_LIST_MS: u64 = 1_000;
/// Time for which leaders are frozen in a run, in milliseconds: two freezes.
const FREEZES_MS: u64 = 10_000;

/// Delay of what a woken leader sends and receives, in milliseconds.
const WAKE_DELAY_MS: u64 = 150;

const FIRST: &str = "00000000000000c1";
const SECOND: &str = "00000000000000c2";

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

/// Guards against starts of a leader that woke, which arrive at a worker that was cut off when its successor has taken the
/// worker for lapsed and started the tasks elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_leader_starts_nothing_on_a_worker_that_was_cut_off() {
    let options = Options {
        machines: 6,
        ..options(1)
    };
    let scenario = Scenario::start(&options).await.expect("a scenario");
    let world = &scenario.world;
    // Tasks go where the least capacity is left, which is beside this one.
    let spec = "work_ms=20000 cpu=700";
    scenario.submit(FIRST, 1, spec).await.expect("a job");
    scenario
        .until("the task runs", async || world.checker.running(FIRST) == 1)
        .await
        .expect("a running task");
    let (worker, _) = scenario.busiest_worker();
    scenario
        .until("a node leads", async || world.leader().is_some())
        .await
        .expect("a leader");
    let (leader, epoch) = world.leader().expect("a leader");
    // No answer of the worker waits for the leader when it wakes, which would tell it how old its knowledge is.
    let one_way = proxy::Fault {
        one_way: true,
        ..proxy::Fault::default()
    };
    world.workers[worker].proxy.set(one_way);
    scenario.pause(100).await;
    let second = async {
        // The leader gets the job by its feed while it is frozen.
        scenario.pause(1_300).await;
        let spec = "work_ms=3000 cpu=700";
        scenario.submit(SECOND, 2, spec).await.expect("a job");
    };
    let cut = [worker];
    tokio::join!(scenario.freeze_leader(leader, &cut, WAKE_DELAY_MS), second);
    assert!(world.leader().is_some_and(|(_, newest)| newest > epoch));
    scenario.pause(SETTLE_MS * 2).await;

    let violations = world.violations();
    assert!(
        violations.is_empty(),
        "logs in {}: {violations:#?}",
        world.keep_logs().display()
    );
}

/// Guards against the same in other orders, by the soak's random work and workers.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_after_a_leader_was_frozen_while_workers_were_cut_off() {
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
