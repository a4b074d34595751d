//! Workers that take no further connections, as those of lost leaders are still open.

use std::path::Path as FilePath;

use wasabiloft_standins::proxy::Fault;
use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::Path;

const JOB: &str = "00000000000000e1";
const SECOND_JOB: &str = "00000000000000e2";
/// Spec of tasks that run until they are stopped.
const SPEC: &str = "work_ms=60000 cpu=700";
const TASKS: u32 = 4;
/// Time within which a cancelled job's tasks have ended, in milliseconds: the platform's time for cancels and stops.
const CANCELLED_MS: u64 = 3_200;
/// Time within which the leader's polls have connections again after all were cut, in milliseconds.
const RECONNECTED_MS: u64 = 1_500;
const NODE: usize = 0;

/// Starts one node and four machines. Each worker then takes one connection of the node, which is the one of its polls.
async fn start(job: &str, spec: &str) -> Scenario {
    let daemon = FilePath::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned();
    let options = Options {
        nodes: 1,
        machines: 4,
        wave: false,
        ..Options::new(daemon, 1)
    };
    let scenario = Scenario::start(&options).await.expect("a scenario");
    scenario.submit(job, TASKS, spec).await.expect("a job");
    let running = async || scenario.world.checker.running(job) == TASKS as usize;
    let running = scenario.until("the tasks run", running).await;
    running.expect("running tasks");
    let workers: Vec<Path> = (0..scenario.world.workers.len())
        .map(|worker| Path::Worker(NODE, worker))
        .collect();
    let limit = Fault {
        connections_max: Some(1),
        ..Fault::default()
    };
    for path in &workers {
        scenario.world.path(*path).set(Fault { cut: true, ..limit });
    }
    scenario.pause(50).await;
    for path in &workers {
        scenario.world.path(*path).set(limit);
    }
    scenario.pause(RECONNECTED_MS).await;
    scenario
}

/// Guards against a cancelled task that runs on: its stop finds no connection, and polls renew its lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_task_ends_on_a_worker_that_takes_one_connection() {
    let scenario = start(JOB, SPEC).await;
    let checker = &scenario.world.checker;
    assert_eq!(checker.running(JOB), TASKS as usize);
    assert!(scenario.cancel(JOB).await, "the cancel is answered 200");
    scenario.pause(CANCELLED_MS).await;
    let (running, violations) = (checker.running(JOB), scenario.world.violations());
    let logs = scenario.world.keep_logs();
    assert_eq!(running, 0, "logs in {}", logs.display());
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a start that finds no connection, and holds its task back as the worker may have carried it out.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_start_on_workers_that_take_one_connection() {
    let scenario = start(JOB, SPEC).await;
    let spec = "work_ms=200";
    assert!(scenario.submit_to(NODE, SECOND_JOB, TASKS, spec).await);
    let completed = scenario
        .until("the second job is completed", async || {
            scenario.state(SECOND_JOB).await.as_deref() == Some("completed")
        })
        .await;
    completed.expect("a completed job");
    assert_eq!(scenario.world.violations(), Vec::<String>::new());
}
