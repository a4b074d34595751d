//! Machines that are lost for good while they move or in their maintenance, and machines that are added to a wave.

use std::path::Path;

use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::{FIRST_WAVE, QUEUES, WAVE_MAX_CONCURRENT};

/// Jobs of a burst, and the tasks of each: more than the machines of the pool can run at once.
const BURST: std::ops::Range<u32> = 0x10..0x14;
const BURST_TASKS: u32 = 12;
const BURST_SPEC: &str = "work_ms=2000";
/// Time after which a pool without work gives machines away, also under a new leader, in milliseconds.
const IDLE_MS: u64 = 14_000;

/// Starts two nodes and machines for two pools and the spare pool.
async fn start(machines: usize) -> Scenario {
    let daemon = Path::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned();
    let options = Options {
        nodes: 2,
        machines,
        wave: false,
        ..Options::new(daemon, 1)
    };
    Scenario::start(&options).await.expect("a scenario")
}

async fn submit(scenario: &Scenario, id: u32, tasks: u32, spec: &str) -> String {
    let id = format!("{id:016x}");
    let submitted = scenario.submit(&id, tasks, spec).await;
    submitted.expect("an accepted job");
    id
}

async fn until_completed(scenario: &Scenario, id: &str) {
    let is_completed = async || scenario.state(id).await.as_deref() == Some("completed");
    let completed = scenario.until("the job is completed", is_completed);
    completed.await.expect("a completed job");
}

/// Guards against machines that count as arriving for ever: the pool gives all its others away, and its jobs never start.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_run_after_machines_are_lost_on_their_way_to_the_pool() {
    let scenario = start(6).await;
    let first = submit(&scenario, 1, 2, "work_ms=200").await;
    until_completed(&scenario, &first).await;

    let mut burst = Vec::new();
    for id in BURST {
        burst.push(submit(&scenario, id, BURST_TASKS, BURST_SPEC).await);
    }
    let machines = &scenario.world.machines.state;
    let lost = scenario
        .until("machines move", async || {
            machines.lose(QUEUES[0].1, "moving") > 0
        })
        .await;
    lost.expect("lost machines");
    for id in &burst {
        until_completed(&scenario, id).await;
    }

    scenario.pause(IDLE_MS).await;
    let last = submit(&scenario, 0x20, 2, "work_ms=200").await;
    until_completed(&scenario, &last).await;
}

/// Guards against a wave that never goes on: machines that are lost in their maintenance keep their places in it.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_goes_on_after_machines_are_lost_in_their_maintenance() {
    let scenario = start(6).await;
    let machines = &scenario.world.machines.state;
    let names: Vec<String> = (0..6).map(|number| format!("m{number}")).collect();
    scenario.world.request_wave(FIRST_WAVE, &names);
    let mut lost = 0;
    let lost_all = scenario
        .until("machines are in maintenance", async || {
            for (_, pool) in QUEUES {
                lost += machines.lose(pool, "upkeep");
            }
            lost >= WAVE_MAX_CONCURRENT
        })
        .await;
    lost_all.expect("lost machines");
    let completed = scenario
        .until("the wave goes on", async || {
            scenario.world.unfinished_waves().is_empty()
        })
        .await;
    completed.expect("a completed wave");
}

/// Guards against a wave that is said to be completed without a machine that operators added to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_machine_that_is_added_to_a_wave_under_way_has_its_maintenance() {
    let scenario = start(6).await;
    let world = &scenario.world;
    let names: Vec<String> = (0..4).map(|number| format!("m{number}")).collect();
    world.request_wave(FIRST_WAVE, &names[..3]);
    let begins = scenario.until("maintenance begins", async || {
        let machines = world.machines.state.refresh();
        machines.len() < 6
    });
    begins.await.expect("maintenance");
    world.request_wave(FIRST_WAVE, &names);
    let completed = scenario
        .until("the wave is completed", async || {
            world.unfinished_waves().is_empty()
        })
        .await;
    completed.expect("a completed wave");
    assert_eq!(world.violations(), Vec::<String>::new());
}
