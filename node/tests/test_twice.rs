//! Scripted faults after which a task must not run twice at a time: each sequence has once made one leader start a task
//! while its first run went on.

use std::path::Path;

use wasabiloft_standins::proxy;
use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::Registration;

const JOB: &str = "00000000000000a1";
/// Spec of tasks that outlast the scripted faults but not their worker's lease.
const SPEC: &str = "work_ms=5000 cpu=700";
/// Time after which the effects of the faults show, in milliseconds.
const SETTLE_MS: u64 = 4_000;

/// Starts three nodes and four machines, two of them in the first queue's pool.
async fn start() -> Scenario {
    let daemon = Path::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned();
    let options = Options {
        nodes: 3,
        machines: 4,
        wave: false,
        ..Options::new(daemon, 1)
    };
    Scenario::start(&options).await.expect("a scenario")
}

/// Asserts that no task ran twice; keeps the daemons' logs otherwise.
fn assert_never_twice(scenario: &Scenario) {
    let violations = scenario.world.violations();
    assert!(
        violations.is_empty(),
        "logs in {}: {violations:#?}",
        scenario.world.keep_logs().display()
    );
}

/// Guards against taking a draining worker for ended because its entry expired and its network refuses connections,
/// while its runs go on under their lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_worker_that_refuses_connections_keeps_its_tasks_until_its_lease_lapses() {
    let scenario = start().await;
    scenario.submit(JOB, 4, SPEC).await.expect("a job");
    let checker = &scenario.world.checker;
    let started = scenario
        .until("the tasks run", async || checker.running(JOB) == 4)
        .await;
    started.expect("running tasks");
    let (worker, running) = scenario.busiest_worker();
    assert!(running > 0);
    scenario.world.register(worker, Registration::Draining);
    scenario.pause(200).await;
    scenario.world.workers[worker].proxy.set(proxy::Fault {
        refuse: true,
        ..proxy::Fault::default()
    });
    scenario.pause(100).await;
    scenario.world.register(worker, Registration::Removed);
    scenario.pause(SETTLE_MS).await;
    assert_never_twice(&scenario);
}
