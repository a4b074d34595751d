//! Detection of bad workers and bad jobs.

use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::quarantine::{Records, Result, Standing};

const NOW: clock::Instant = clock::Instant::ZERO;

fn vm(index: usize) -> id::Vm {
    id::Vm::from(format!("vm-{index}"))
}

fn job(index: usize) -> id::Job {
    id::Job::from(format!("team:job-{index}"))
}

/// Returns records of twelve workers, four to a rack.
fn records() -> Records {
    let mut records = Records::default();
    for index in 0..12 {
        let rack = id::Rack::from(format!("rack-{}", index / 4));
        records.add_worker(&vm(index), &rack);
    }
    records
}

#[test]
fn a_worker_that_fails_all_tasks_is_quarantined_after_two_failures() {
    let mut records = records();
    for index in 0..6 {
        records.record(NOW, &vm(5), &job(index), Result::Succeeded);
    }
    let first = records.record(NOW, &vm(0), &job(10), Result::Failed);
    assert!(first.quarantined.is_empty());
    let second = records.record(NOW, &vm(0), &job(11), Result::Failed);
    assert_eq!(second.quarantined, [vm(0)]);
    assert!(matches!(
        records.standing(NOW, &vm(0)),
        Standing::Quarantined { .. }
    ));
    assert_eq!(records.standing(NOW, &vm(1)), Standing::Good);
}

#[test]
fn a_job_that_fails_everywhere_is_bad_and_no_worker_is() {
    let mut records = records();
    for worker in [0, 4] {
        let outcome = records.record(NOW, &vm(worker), &job(1), Result::Failed);
        assert!(!outcome.job_is_bad);
    }
    let outcome = records.record(NOW, &vm(8), &job(1), Result::Failed);
    assert!(outcome.job_is_bad);
    for worker in [0, 4, 8] {
        assert_eq!(records.standing(NOW, &vm(worker)), Standing::Good);
    }
}

#[test]
fn a_wrongly_quarantined_worker_is_cleared_when_its_jobs_fail_elsewhere() {
    let mut records = records();
    records.record(NOW, &vm(0), &job(1), Result::Failed);
    let outcome = records.record(NOW, &vm(0), &job(2), Result::Failed);
    assert_eq!(outcome.quarantined, [vm(0)]);
    let mut released = Vec::new();
    for worker in [4, 8, 5, 9] {
        for number in [1, 2] {
            let outcome = records.record(NOW, &vm(worker), &job(number), Result::Failed);
            released.extend(outcome.released);
        }
    }
    assert!(released.contains(&vm(0)), "{released:?}");
}

#[test]
fn a_whole_rack_is_quarantined_at_once() {
    let mut records = records();
    let mut quarantined = Vec::new();
    for worker in 0..3 {
        let outcome = records.record(NOW, &vm(worker), &job(worker), Result::Failed);
        quarantined.extend(outcome.quarantined);
    }
    quarantined.sort();
    assert_eq!(quarantined, [vm(0), vm(1), vm(2), vm(3)]);
    assert_eq!(records.standing(NOW, &vm(4)), Standing::Good);
}

#[test]
fn a_quarantined_worker_is_tried_again_and_kept_out_longer_each_time() {
    let mut records = records();
    let mut now = NOW;
    let mut lengths_ms = Vec::new();
    records.record(now, &vm(0), &job(0), Result::Failed);
    for number in 1..4 {
        records.record(now, &vm(0), &job(number), Result::Failed);
        let Standing::Quarantined { until } = records.standing(now, &vm(0)) else {
            panic!("not quarantined");
        };
        lengths_ms.push(until.since_ms(now));
        now = until;
        assert_eq!(records.standing(now, &vm(0)), Standing::Probation);
    }
    assert!(lengths_ms.windows(2).all(|pair| pair[1] == 2 * pair[0]));
    let outcome = records.record(now, &vm(0), &job(9), Result::Succeeded);
    assert_eq!(outcome.released, [vm(0)]);
    assert_eq!(records.standing(now, &vm(0)), Standing::Good);
}
