//! Scripted faults after which a task must not run twice at a time: each sequence has once made one leader start a task
//! while its first run went on.

use std::path::Path;

use rustix::process::Signal;
use wasabiloft_standins::hosted::machines;
use wasabiloft_standins::proxy;
use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::{FIRST_WAVE, HEARTBEAT_MS, Registration};

const JOB: &str = "00000000000000a1";
/// Spec of tasks that outlast the scripted faults but not their worker's lease.
const SPEC: &str = "work_ms=5000 cpu=700";
/// Time after which the effects of the faults show, in milliseconds.
const SETTLE_MS: u64 = 6_000;

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

/// Starts a job of four tasks, and returns the worker that runs the most of them.
async fn start_tasks(scenario: &Scenario) -> usize {
    scenario.submit(JOB, 4, SPEC).await.expect("a job");
    let checker = &scenario.world.checker;
    scenario
        .until("the tasks run", async || checker.running(JOB) == 4)
        .await
        .expect("running tasks");
    let (worker, _) = scenario.busiest_worker();
    worker
}

/// Resets the open connections to a worker, and refuses new ones.
fn refuse_connections(scenario: &Scenario, worker: usize) {
    let refuse = proxy::Fault {
        refuse: true,
        ..proxy::Fault::default()
    };
    scenario.world.workers[worker].proxy.set(refuse);
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
    let worker = start_tasks(&scenario).await;
    scenario.world.register(worker, Registration::Draining);
    scenario.pause(200).await;
    refuse_connections(&scenario, worker);
    scenario.pause(100).await;
    scenario.world.register(worker, Registration::Removed);
    scenario.pause(SETTLE_MS).await;
    assert_never_twice(&scenario);
}

/// Guards against the same when the worker is cut off from the store as well, just before it would write its entry: the
/// entry expires after three missed heartbeats, before the lease lapses.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_worker_whose_entry_expires_keeps_its_tasks_until_its_lease_lapses() {
    let scenario = start().await;
    let worker = start_tasks(&scenario).await;
    scenario.world.register(worker, Registration::Draining);
    scenario.pause(200).await;
    refuse_connections(&scenario, worker);
    scenario.world.cut_from_store(worker, HEARTBEAT_MS - 100);
    scenario.pause(SETTLE_MS).await;
    assert_never_twice(&scenario);
}

/// Guards against the same by a new leader, which knows the worker's tasks only as those of its predecessor's workers.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_waits_for_the_lease_of_a_draining_worker_whose_entry_expires() {
    let scenario = start().await;
    let worker = start_tasks(&scenario).await;
    scenario.world.register(worker, Registration::Draining);
    scenario.pause(200).await;
    refuse_connections(&scenario, worker);
    scenario.world.cut_from_store(worker, 100);
    let (leader, _) = scenario.world.leader().expect("a leader");
    scenario.world.node(leader).signal(Signal::KILL);
    scenario.pause(SETTLE_MS).await;
    let (successor, _) = scenario.world.leader().expect("a leader");
    assert_ne!(successor, leader);
    assert_never_twice(&scenario);
}

/// Guards against taking the worker that a machine has after maintenance for ended because the machine API answers a
/// repeated command only then.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_maintenance_command_does_not_end_the_worker_that_came_back() {
    let scenario = start().await;
    let world = &scenario.world;
    let machine = 0;
    let api = &world.machines.state;
    scenario
        .submit(JOB, 1, "work_ms=10 cpu=700")
        .await
        .expect("a job");
    scenario
        .until("the job's task is done", async || {
            workers_are_idle(&scenario)
        })
        .await
        .expect("an idle worker");
    api.set_fault(Some(machines::Fault::SilentFromCommand));
    world.request_wave(FIRST_WAVE, &[world.workers[machine].machine.clone()]);

    scenario
        .until("maintenance has begun", async || {
            api.wave_started(FIRST_WAVE)
        })
        .await
        .expect("maintenance");
    scenario
        .until("the machine is back", async || {
            world.workers[machine]
                .worker
                .state
                .incarnation()
                .0
                .is_some()
        })
        .await
        .expect("a machine that is back");
    // More tasks than all other machines can run, the spare one included.
    scenario
        .submit("00000000000000a2", 25, SPEC)
        .await
        .expect("a job");
    scenario
        .until("the machine has tasks", async || {
            world.workers[machine].worker.state.running_count() > 0
        })
        .await
        .expect("running tasks");
    api.set_fault(None);
    scenario.pause(SETTLE_MS).await;
    assert_never_twice(&scenario);
}

fn workers_are_idle(scenario: &Scenario) -> bool {
    let workers = &scenario.world.workers;
    workers
        .iter()
        .all(|proxied| proxied.worker.state.is_empty())
}
