//! The soak's checks see what they are for.

use wasabiloft_standins::hosted::checker::{Checker, Submission};

const JOB: &str = "00000000000000a1";
const TASK: &str = "00000000000000a1.0.0.0";
const LATER: &str = "00000000000000a1.0.1.0";
const SPEC: &str = "work_ms=10";

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
        truth.run_started(task, SPEC, "a/1");
        truth.run_ended(task, "a/1", true);
        truth.end_acknowledged(task, true);
    }
    truth.state_reported(JOB, "completed");
    assert!(truth.violations().is_empty(), "{:?}", truth.violations());
}

#[test]
fn two_runs_at_once_are_seen() {
    let truth = truth();
    truth.run_started(TASK, SPEC, "a/1");
    truth.run_started(TASK, SPEC, "b/1");
    assert_eq!(truth.violations().len(), 1);
}

#[test]
fn a_run_lost_with_its_worker_may_start_again() {
    let truth = truth();
    truth.run_started(TASK, SPEC, "a/1");
    truth.run_ended(TASK, "a/1", true);
    truth.incarnation_ended("a/1");
    truth.run_started(TASK, SPEC, "b/1");
    assert!(truth.violations().is_empty(), "{:?}", truth.violations());
}

#[test]
fn a_start_after_an_acknowledged_end_is_seen() {
    let truth = truth();
    truth.run_started(TASK, SPEC, "a/1");
    truth.run_ended(TASK, "a/1", true);
    truth.end_acknowledged(TASK, true);
    truth.incarnation_ended("a/1");
    truth.run_started(TASK, SPEC, "b/1");
    assert_eq!(truth.violations().len(), 1);
}

#[test]
fn a_step_before_its_turn_is_seen() {
    let truth = truth();
    truth.run_started(LATER, SPEC, "a/1");
    assert_eq!(truth.violations().len(), 1);
}

#[test]
fn a_refused_job_that_runs_is_seen_in_either_order() {
    let before = truth();
    before.submission_ended(JOB, Submission::Refused);
    before.run_started(TASK, SPEC, "a/1");
    assert_eq!(before.violations().len(), 1);
    let after = truth();
    after.run_started(TASK, SPEC, "a/1");
    after.submission_ended(JOB, Submission::Refused);
    assert_eq!(after.violations().len(), 1);
}

#[test]
fn a_false_state_and_a_strange_task_are_seen() {
    let truth = truth();
    truth.state_reported(JOB, "completed");
    truth.run_started("00000000000000ff.0.0.0", SPEC, "a/1");
    truth.run_started(TASK, "another", "a/1");
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
    truth.run_started("00000000000000b1.0.0.0", spec, "a/1");
    truth.run_started("00000000000000b2.0.0.0", spec, "b/1");
    assert_eq!(truth.violations(), Vec::<String>::new());
    truth.run_ended("00000000000000b1.0.0.0", "a/1", true);
    truth.run_started("00000000000000b1.0.0.1", spec, "a/1");
    assert_eq!(truth.violations(), Vec::<String>::new());
    truth.run_started("00000000000000b2.0.0.1", spec, "b/1");
    let violations = truth.violations();
    assert!(violations[0].contains("2100 of 1400"), "{violations:?}");
}
