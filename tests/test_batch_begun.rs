//! Which jobs count as begun: a start that was refused, or not answered, isn't a run.

use wasabiloft::batch::progress_rows;
use wasabiloft::batch::record::{Crash, Progress, State, TaskRecord};
use wasabiloft::batch::scheduler::{RecoveredState, Refusal, Scheduler, StartOutcome};
use wasabiloft::batch::worker_state::{EndedRun, Outcome};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_pair::{self, JOB, TASK, running, starts};
use crate::fake_workers::{accepted, config, queue, settings, step};

fn assert_waits(scheduler: &Scheduler) {
    assert_eq!(scheduler.job_state(JOB), Some(State::Queued));
    assert_eq!(scheduler.waiting_jobs(&queue(3).name), 1);
}

fn assert_runs(scheduler: &Scheduler) {
    assert_eq!(scheduler.job_state(JOB), Some(State::Running));
    assert_eq!(scheduler.waiting_jobs(&queue(3).name), 0);
}

/// Guards against jobs that are left out of the count of waiting ones, as a worker refused their starts (review/15).
#[test]
fn a_job_whose_starts_are_refused_waits() {
    for reason in [Refusal::Unwell, Refusal::NoRoom, Refusal::Malformed] {
        let now = Instant::from_ms(1_000);
        let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
        assert_waits(&scheduler);
        let refused = StartOutcome::Refused { reason, sends: 1 };
        let later = now.after_ms(5);
        scheduler.start_answered(&worker, TASK, run, refused, later);
        assert_waits(&scheduler);
        let later = now.after_ms(1_200);
        for name in ["a", "b"] {
            scheduler.poll_answered(&id::Worker::new(name), &running(&[]), later, later, 0);
        }
        scheduler.plan(later, 0);
        let (worker, run) = starts(&mut scheduler).remove(0);
        assert_waits(&scheduler);
        let later = later.after_ms(5);
        scheduler.start_answered(&worker, TASK, run, StartOutcome::Started, later);
        assert_runs(&scheduler);
    }
}

/// Guards against the same for starts without an answer, until a report shows that one was carried out.
#[test]
fn a_job_whose_start_got_no_answer_waits_until_a_report_shows_its_run() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    let later = now.after_ms(750);
    scheduler.start_answered(&worker, TASK, run, StartOutcome::NoAnswer, later);
    assert_waits(&scheduler);
    let (sent, later) = (now.after_ms(760), now.after_ms(770));
    scheduler.poll_answered(&worker, &running(&[(TASK, run)]), sent, later, 0);
    assert_runs(&scheduler);
}

/// Returns the scheduler of a leader that reads a progress row.
fn successor(progress: Progress) -> Scheduler {
    let recovered = RecoveredState {
        accepted: vec![(JOB, accepted(vec![step(1, &[])], 3))],
        progress: vec![(progress_rows::Key::from(JOB), progress)],
        ..RecoveredState::default()
    };
    let now = Instant::from_ms(1_000);
    Scheduler::new(settings(), 2, config(), recovered, now)
}

fn crashed(confirmed: bool) -> Progress {
    let crash = Crash {
        worker: id::Worker::new("a"),
        worker_started_unix_ms: 1,
        survived_ms: 0,
        confirmed,
        explained: false,
    };
    Progress {
        tasks: vec![TaskRecord {
            occurrence: 0,
            step: 0,
            index: 0,
            failed_runs: Vec::new(),
            checkpoint: None,
            crashes: vec![crash],
        }],
        ..Progress::default()
    }
}

/// Guards against a successor that takes a job for begun, whose row holds no more than the crash of a worker that hadn't
/// confirmed the start.
#[test]
fn a_row_with_an_unconfirmed_start_is_no_run() {
    assert_waits(&successor(crashed(false)));
    assert_eq!(crashed(false).told_state(), State::Queued);
    assert_runs(&successor(crashed(true)));
    assert_eq!(crashed(true).told_state(), State::Running);
}

/// Guards against a successor that counts a job among the waiting ones, as the row holds no more of its runs.
#[test]
fn the_first_row_says_that_a_job_has_begun() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    scheduler.start_answered(&worker, TASK, run, StartOutcome::Started, now);
    let mut report = running(&[]);
    report.ended.push(EndedRun {
        number: 1,
        task: TASK,
        run,
        outcome: Outcome::Failed,
        checkpoint: None,
    });
    let later = now.after_ms(100);
    scheduler.poll_answered(&worker, &report, later, later, 0);
    let batch = scheduler.take_batch();
    let (_, row) = &batch.progress[0];
    assert_eq!(row.state, State::Running);
    assert_runs(&successor(Progress {
        state: State::Running,
        ..Progress::default()
    }));
}
