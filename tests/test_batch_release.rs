//! Releases of tasks: what the log says about a second start, and about a run that goes on after it.

use wasabiloft::batch::scheduler::{IncarnationEnd, Output, Scheduler};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_pair::{self, TASK};
use crate::fake_workers::listing;

fn outputs(scheduler: &mut Scheduler) -> (Vec<(id::Worker, u32)>, Vec<String>) {
    let (mut starts, mut lines) = (Vec::new(), Vec::new());
    for output in scheduler.take_outputs() {
        match output {
            Output::Start(start) => starts.push((start.worker, start.run)),
            Output::Log(line) => lines.push(line),
            _ => {}
        }
    }
    (starts, lines)
}

/// Guards against a second start whose log doesn't say why the first run was taken for ended.
#[test]
fn a_run_that_outlives_its_release_is_logged_with_the_reason_and_counted() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = fake_pair::scheduler(now);
    let (starts, lines) = outputs(&mut scheduler);
    let (worker, run) = starts.into_iter().next().expect("a start");
    assert!(lines.iter().any(|line| line.contains("released=none")));

    let later = now.after_ms(700);
    scheduler.incarnation_ended(&worker, IncarnationEnd::MachineWithout, later);
    scheduler.plan(later, 0);
    let (starts, lines) = outputs(&mut scheduler);
    assert_eq!(starts.len(), 1, "{lines:?}");
    let released = format!("released=machine-without released_run={run} released_worker={worker}");
    let start = lines.iter().find(|line| line.starts_with("start "));
    assert!(
        start.is_some_and(|line| line.contains(&released)),
        "{lines:?}"
    );
    let gone = lines.iter().find(|line| line.starts_with("worker gone "));
    let lease_left = "silent_ms=700 unanswered=false listed=true leaving=false lease_left_ms=3614";
    assert!(
        gone.is_some_and(|line| line.contains(lease_left)),
        "{lines:?}"
    );

    let again = later.after_ms(300);
    scheduler.worker_listed(listing(worker.as_str()), again);
    scheduler.poll_answered(
        &worker,
        &fake_pair::running(&[(TASK, run)]),
        again,
        again,
        0,
    );
    let (_, lines) = outputs(&mut scheduler);
    let outlived = format!(
        "run outlived its release task={TASK} run={run} worker={worker} {released} released_ms=300"
    );
    assert!(
        lines.iter().any(|line| line.starts_with(&outlived)),
        "{lines:?}"
    );
    assert_eq!(scheduler.counts().outlived, 1);
}
