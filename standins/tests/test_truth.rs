//! The soak's checks see what they are for.

use wasabiloft_standins::hosted::checker::{Checker, Submission};
use wasabiloft_standins::hosted::history::{Outcome, Run};

const JOB: &str = "00000000000000a1";
const TASK: &str = "00000000000000a1.0.0.0";
const LATER: &str = "00000000000000a1.0.1.0";
const SPEC: &str = "work_ms=10";
/// Fence of the commands.
const FENCE: u64 = 1;

/// Returns the first run of a task on a worker.
fn first_run<'a>(task: &'a str, incarnation: &'a str) -> Run<'a> {
    Run {
        task,
        run: 1,
        incarnation,
    }
}

fn truth() -> Checker {
    let truth = Checker::default();
    truth.submission_started(JOB, SPEC, &[1, 1]);
    truth
}

#[test]
fn a_job_that_runs_as_it_should_breaks_nothing() {
    let truth = truth();
    truth.submission_ended(JOB, Submission::Accepted);
    for task in [TASK, LATER] {
        truth.run_started(&first_run(task, "a/1"), SPEC, FENCE);
        truth.run_ended(&first_run(task, "a/1"), Outcome::Done);
        truth.end_acknowledged(&first_run(task, "a/1"), false);
    }
    truth.state_reported(JOB, "completed");
    assert!(truth.violations().is_empty(), "{:?}", truth.violations());
}

#[test]
fn two_runs_at_once_are_seen() {
    let truth = truth();
    truth.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    truth.run_started(&first_run(TASK, "b/1"), SPEC, FENCE);
    assert_eq!(truth.violations().len(), 1);
}

#[test]
fn a_run_lost_with_its_worker_may_start_again() {
    let truth = truth();
    truth.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    truth.run_ended(&first_run(TASK, "a/1"), Outcome::Done);
    truth.incarnation_ended("a/1");
    truth.run_started(&first_run(TASK, "b/1"), SPEC, FENCE);
    assert!(truth.violations().is_empty(), "{:?}", truth.violations());
}

#[test]
fn a_start_after_an_acknowledged_end_is_seen() {
    let truth = truth();
    truth.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    truth.run_ended(&first_run(TASK, "a/1"), Outcome::Done);
    truth.end_acknowledged(&first_run(TASK, "a/1"), false);
    truth.incarnation_ended("a/1");
    truth.run_started(&first_run(TASK, "b/1"), SPEC, FENCE);
    assert_eq!(truth.violations().len(), 1);
}

#[test]
fn a_step_before_its_turn_is_seen() {
    let truth = truth();
    truth.run_started(&first_run(LATER, "a/1"), SPEC, FENCE);
    assert_eq!(truth.violations().len(), 1);
}

#[test]
fn a_refused_job_that_runs_is_seen_in_either_order() {
    let before = truth();
    before.submission_ended(JOB, Submission::Refused);
    before.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    assert_eq!(before.violations().len(), 1);
    let after = truth();
    after.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    after.submission_ended(JOB, Submission::Refused);
    assert_eq!(after.violations().len(), 1);
}

#[test]
fn a_false_state_and_a_strange_task_are_seen() {
    let truth = truth();
    truth.state_reported(JOB, "completed");
    truth.run_started(&first_run("00000000000000ff.0.0.0", "a/1"), SPEC, FENCE);
    truth.run_started(&first_run(TASK, "a/1"), "another", FENCE);
    assert_eq!(truth.violations().len(), 3);
}

/// Guards against a soak that doesn't notice an account that runs more than its quota.
#[test]
fn start_beyond_the_quota_of_an_account_is_a_violation() {
    let truth = Checker::default();
    let spec = "work_ms=100 cpu=700";
    truth.set_quota("chains", 1_400);
    for job in ["00000000000000b1", "00000000000000b2"] {
        truth.submission_started(job, spec, &[2]);
        truth.set_account(job, "chains");
    }
    truth.run_started(&first_run("00000000000000b1.0.0.0", "a/1"), spec, FENCE);
    truth.run_started(&first_run("00000000000000b2.0.0.0", "b/1"), spec, FENCE);
    assert_eq!(truth.violations(), Vec::<String>::new());
    truth.run_ended(&first_run("00000000000000b1.0.0.0", "a/1"), Outcome::Done);
    truth.run_started(&first_run("00000000000000b1.0.0.1", "a/1"), spec, FENCE);
    assert_eq!(truth.violations(), Vec::<String>::new());
    truth.run_started(&first_run("00000000000000b2.0.0.1", "b/1"), spec, FENCE);
    let violations = truth.violations();
    assert!(violations[0].contains("2100 of 1400"), "{violations:?}");
}

/// Guards against missing that a task starts while its end as done is known but not acknowledged yet.
#[test]
fn a_start_before_the_acknowledgement_of_an_end_is_seen() {
    let truth = truth();
    truth.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    truth.run_ended(&first_run(TASK, "a/1"), Outcome::Done);
    truth.run_started(&first_run(TASK, "b/1"), SPEC, FENCE);
    assert!(truth.violations().is_empty(), "{:?}", truth.violations());
    truth.end_acknowledged(&first_run(TASK, "a/1"), false);
    assert_eq!(truth.violations().len(), 1, "{:?}", truth.violations());
}

/// Guards against counting an end whose worker's lease lapsed before the acknowledgement; the rule allows the start.
#[test]
fn an_end_that_is_acknowledged_after_a_lapse_does_not_count() {
    let truth = truth();
    truth.run_started(&first_run(TASK, "a/1"), SPEC, FENCE);
    truth.run_ended(&first_run(TASK, "a/1"), Outcome::Done);
    truth.end_acknowledged(&first_run(TASK, "a/1"), true);
    truth.run_started(&first_run(TASK, "b/1"), SPEC, FENCE);
    assert!(truth.violations().is_empty(), "{:?}", truth.violations());
}

/// Guards against missing the second overlap of a task that runs three times, and against confusing the two records that
/// an incident shows: a first run that is stopped and acknowledged, and one that is never heard of again.
#[test]
fn each_overlap_is_reported_with_how_the_first_run_went_on() {
    let truth = truth();
    truth.set_starter(FENCE, "node-2");
    for incarnation in ["a/1", "b/1", "c/1"] {
        truth.run_started(&first_run(TASK, incarnation), SPEC, FENCE);
    }
    let stopped = first_run(TASK, "a/1");
    truth.stop_received(&stopped);
    truth.run_ended(&stopped, Outcome::Stopped);
    truth.end_acknowledged(&stopped, false);
    truth.run_ended(&first_run(TASK, "b/1"), Outcome::Lapsed);
    let violations = truth.violations();
    let count = |text: &str| violations.iter().filter(|line| line.contains(text)).count();
    assert_eq!(violations.len(), 3, "{violations:?}");
    assert_eq!(count("signature=stopped-and-noted (same term)"), 2);
    assert_eq!(count("signature=neither-stopped-nor-noted"), 1);
    assert_eq!(count("worker=a/1 starter=node-2 fence=1"), 2);
}
