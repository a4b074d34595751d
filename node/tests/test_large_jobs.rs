//! Jobs whose progress is larger than a row of the store: everything else goes on, and nothing is lost with a leader.

use std::path::Path;

use rustix::process::Signal;
use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;

const LARGE: &str = "00000000000000b1";
const SMALL: &str = "00000000000000b2";
/// Number of tasks whose checkpoints don't fit in one row.
const TASKS: u32 = 1_000;

async fn start() -> Scenario {
    let daemon = Path::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned();
    let options = Options {
        nodes: 3,
        machines: 6,
        wave: false,
        ..Options::new(daemon, 1)
    };
    let scenario = Scenario::start(&options).await.expect("a scenario");
    let checker = &scenario.world.checker;
    scenario
        .submit(LARGE, TASKS, "work_ms=6000 cpu=3 saves")
        .await
        .expect("a job");
    scenario
        .until("its tasks run", async || {
            checker.running(LARGE) == TASKS as usize
        })
        .await
        .expect("running tasks");
    scenario
}

async fn until_completed(scenario: &Scenario, job: &str) {
    scenario
        .until("the job is completed", async || {
            scenario.state(job).await.as_deref() == Some("completed")
        })
        .await
        .expect("a completed job");
}

/// Guards against a leader that commits nothing any more, for any job, once the progress of one outgrows a row.
#[tokio::test(flavor = "multi_thread")]
async fn other_jobs_are_completed_beside_a_large_one() {
    let scenario = start().await;
    let checker = &scenario.world.checker;
    scenario
        .until("a first task has ended", async || {
            checker.running(LARGE) < TASKS as usize
        })
        .await
        .expect("an end");
    let small = scenario.submit(SMALL, 2, "work_ms=50 cpu=3").await;
    small.expect("a job");
    until_completed(&scenario, SMALL).await;
    until_completed(&scenario, LARGE).await;
    let violations = scenario.world.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against tasks of a large job that run again, or are lost, because a new leader reads only a part of its progress.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_job_goes_on_under_the_next_leader() {
    let scenario = start().await;
    let world = &scenario.world;
    scenario
        .until("half of the tasks have ended", async || {
            world.checker.running(LARGE) < TASKS as usize / 2
        })
        .await
        .expect("ends");
    let (leader, _) = world.leader().expect("a leader");
    world.node(leader).signal(Signal::KILL);
    until_completed(&scenario, LARGE).await;
    let violations = world.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}
