//! Tests of the retry policy: every combination of failures, deadline and budget, hedges, and the budget rate.

use wasabiloft::clock;
use wasabiloft::retry;
use wasabiloft::retry::Progress;
use wasabiloft::retry::Step;
use wasabiloft::retry::budget;
use wasabiloft::verdict;

const REASON: verdict::Reason = verdict::Reason::ConnectionLost;

fn failure(progress: Progress) -> retry::Failure {
    retry::Failure {
        progress,
        reason: REASON,
    }
}

fn full_budget() -> budget::Budget {
    let mut budget = budget::Budget::default();
    for _ in 0..200 {
        budget.credit();
    }
    budget
}

fn empty_budget() -> budget::Budget {
    let mut budget = budget::Budget::default();
    while budget.spend() {}
    budget
}

/// Returns the expected step, computed independently of the code: checks whether the request may have run and the
/// deadline first, then the budget.
fn expected(idempotent: bool, seen: &[Progress], in_time: bool, has_budget: bool) -> Step {
    let may_have_run = seen.contains(&Progress::MaybeSent);
    let verdict = match may_have_run {
        true => verdict::Verdict::MayHaveRun,
        false => verdict::Verdict::NotRun,
    };
    let last = seen.last().copied();
    if !in_time || (may_have_run && !idempotent) {
        return Step::GiveUp(verdict, REASON);
    }
    if !has_budget && last != Some(Progress::NothingSent) {
        return Step::GiveUp(verdict, verdict::Reason::RetryBudgetSpent);
    }
    Step::Retry
}

#[test]
fn every_combination_matches_the_expected_step() {
    let all = [
        Progress::NothingSent,
        Progress::MaybeSent,
        Progress::Refused,
    ];
    let mut cases = 0;
    for idempotent in [false, true] {
        for first in all {
            for second in all {
                for in_time in [false, true] {
                    for has_budget in [false, true] {
                        check_case(idempotent, [first, second], in_time, has_budget);
                        cases += 1;
                    }
                }
            }
        }
    }
    assert_eq!(cases, 72);
}

fn check_case(idempotent: bool, failures: [Progress; 2], in_time: bool, has_budget: bool) {
    let deadline = clock::Instant::from_ms(1_000);
    let now = clock::Instant::from_ms(if in_time { 500 } else { 990 });
    let mut unused_budget = budget::Budget::default();
    let spec = retry::Spec {
        idempotent,
        deadline,
    };
    let mut attempts = retry::Attempts::new(spec, &mut unused_budget);
    let mut budget = if has_budget {
        full_budget()
    } else {
        empty_budget()
    };
    for seen in 1..=failures.len() {
        attempts.start();
        let step = attempts.fail(now, failure(failures[seen - 1]), &mut budget);
        let expected_step = expected(idempotent, &failures[..seen], in_time, has_budget);
        assert_eq!(
            step, expected_step,
            "{idempotent} {failures:?} {in_time} {has_budget}"
        );
        if step != Step::Retry {
            return;
        }
    }
}

#[test]
fn attempts_are_limited() {
    let mut budget = full_budget();
    let spec = retry::Spec {
        idempotent: true,
        deadline: clock::Instant::from_ms(1_000),
    };
    let mut attempts = retry::Attempts::new(spec, &mut budget);
    let mut steps = Vec::new();
    for _ in 0..retry::ATTEMPTS_MAX {
        attempts.start();
        steps.push(attempts.fail(
            clock::Instant::ZERO,
            failure(Progress::NothingSent),
            &mut budget,
        ));
    }
    let last = steps.pop();
    assert!(steps.iter().all(|step| *step == Step::Retry));
    assert_eq!(last, Some(Step::GiveUp(verdict::Verdict::NotRun, REASON)));
}

#[test]
fn hedge_waits_for_the_other_attempt_and_keeps_may_have_run() {
    let mut budget = full_budget();
    let spec = retry::Spec {
        idempotent: true,
        deadline: clock::Instant::from_ms(1_000),
    };
    let now = clock::Instant::ZERO;
    let mut attempts = retry::Attempts::new(spec, &mut budget);
    attempts.start();
    assert!(attempts.hedge(now, &mut budget));
    attempts.start();
    assert!(!attempts.hedge(now, &mut budget));
    let first = attempts.fail(now, failure(Progress::MaybeSent), &mut budget);
    assert_eq!(first, Step::Wait);
    let second = attempts.fail(
        clock::Instant::from_ms(999),
        failure(Progress::NothingSent),
        &mut budget,
    );
    assert_eq!(second, Step::GiveUp(verdict::Verdict::MayHaveRun, REASON));
}

#[test]
fn non_idempotent_requests_are_never_hedged() {
    let mut budget = full_budget();
    let spec = retry::Spec {
        idempotent: false,
        deadline: clock::Instant::from_ms(1_000),
    };
    let mut attempts = retry::Attempts::new(spec, &mut budget);
    attempts.start();
    assert!(!attempts.hedge(clock::Instant::ZERO, &mut budget));
}

#[test]
fn budget_is_a_tenth_of_the_requests() {
    let mut budget = empty_budget();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.credit();
        while budget.spend() {
            retries += 1;
        }
    }
    assert_eq!(retries, 1_000);
}
