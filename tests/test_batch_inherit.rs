//! Recovery by a new leader: runs and stops of the previous leader that it sees before it knows their reason.

use wasabiloft::batch::scheduler::{DrainState, IncarnationEnd, Output, RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{SERVICE, accepted, config, listing, settings, step};

const JOB: JobId = JobId(7);
/// Far longer than the time until an accepted job is known.
const JOB_KNOWN_MS: u64 = 20_000;

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn report(
    running: Vec<(TaskId, u32)>,
    ends: Vec<(u64, TaskId, u32, worker_state::Outcome)>,
) -> worker_state::Report {
    worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: running
            .into_iter()
            .map(|(task, run)| worker_state::Run {
                task,
                run,
                checkpoint: None,
                percent: 100,
                usage: 0,
            })
            .collect(),
        ended: ends
            .into_iter()
            .map(|(number, task, run, how)| worker_state::EndedRun {
                number,
                task,
                run,
                outcome: how,
                checkpoint: None,
            })
            .collect(),
    }
}

/// Returns the scheduler of a second epoch that has recorded some workers.
fn successor(workers: &[&str], now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(settings(), 2, config(), RecoveredState::default(), now);
    for worker in workers {
        scheduler.worker_listed(listing(worker), now);
    }
    commit(&mut scheduler);
    scheduler
}

fn commit(scheduler: &mut Scheduler) {
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
}

fn started(scheduler: &mut Scheduler) -> Vec<TaskId> {
    let outputs = scheduler.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            Output::Start(start) => Some(start.task),
            _ => None,
        })
        .collect()
}

fn stops(scheduler: &mut Scheduler) -> usize {
    let outputs = scheduler.take_outputs();
    let stops = outputs
        .iter()
        .filter(|output| matches!(output, Output::Stop { .. }));
    stops.count()
}

/// Guards against a double start: a new leader saw a run before it had read the run's job, and then started the task
/// on another worker.
#[test]
fn an_orphan_run_is_applied_once_its_job_is_known() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = successor(&["a", "b"], now);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    scheduler.poll_answered(&a, &report(vec![(task(0), 3)], vec![]), now, now, 0);
    scheduler.poll_answered(&b, &report(vec![], vec![]), now, now, 0);
    assert_eq!(scheduler.drain_state(&a), DrainState::Busy);
    assert_eq!(stops(&mut scheduler), 0, "its job can still be found");
    let soon = now.after_ms(40);
    scheduler.job_accepted(JOB, accepted(vec![step(2, &[])], 3), soon);
    scheduler.plan(soon, 0);
    assert_eq!(started(&mut scheduler), vec![task(1)]);
}

#[test]
fn an_orphan_end_counts_once_its_job_is_known() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = successor(&["a"], now);
    let a = id::Worker::new("a");
    let answer = report(vec![], vec![(1, task(0), 3, worker_state::Outcome::Done)]);
    scheduler.poll_answered(&a, &answer, now, now, 0);
    commit(&mut scheduler);
    let poll = scheduler.next_poll(&a, now.after_ms(10)).expect("a poll");
    assert_eq!(poll.acknowledged, 0, "not counted yet");
    let soon = now.after_ms(40);
    scheduler.job_accepted(JOB, accepted(vec![step(1, &[])], 3), soon);
    scheduler.plan(soon, 0);
    assert!(started(&mut scheduler).is_empty(), "it may be done");
    scheduler.poll_answered(&a, &answer, soon, soon.after_ms(1), 0);
    commit(&mut scheduler);
    assert_eq!(scheduler.job_state(JOB), Some(record::State::Completed));
    let poll = scheduler.next_poll(&a, soon.after_ms(10)).expect("a poll");
    assert_eq!(poll.acknowledged, 1);
}

#[test]
fn a_run_whose_job_is_never_found_is_stopped() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = successor(&["a"], now);
    let a = id::Worker::new("a");
    let answer = report(
        vec![(task(0), 3)],
        vec![(1, task(1), 3, worker_state::Outcome::Stopped)],
    );
    scheduler.poll_answered(&a, &answer, now, now, 0);
    let later = now.after_ms(JOB_KNOWN_MS);
    scheduler.poll_answered(&a, &answer, later, later, 0);
    assert_eq!(
        stops(&mut scheduler),
        0,
        "the job table was not read since then"
    );
    scheduler.jobs_read(later);
    scheduler.poll_answered(&a, &answer, later, later, 0);
    assert_eq!(stops(&mut scheduler), 1);
    commit(&mut scheduler);
    let poll = scheduler.next_poll(&a, later.after_ms(10)).expect("a poll");
    assert_eq!(poll.acknowledged, 1);
    scheduler.poll_answered(&a, &report(vec![], vec![]), later, later, 0);
    assert_eq!(scheduler.drain_state(&a), DrainState::Empty);
}

#[test]
fn an_orphan_run_of_a_dead_worker_starts_elsewhere() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = successor(&["a", "b"], now);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    scheduler.poll_answered(&a, &report(vec![(task(0), 3)], vec![]), now, now, 0);
    scheduler.poll_answered(&b, &report(vec![], vec![]), now, now, 0);
    scheduler.incarnation_ended(&a, IncarnationEnd::MachineWithout, now);
    scheduler.job_accepted(JOB, accepted(vec![step(1, &[])], 3), now.after_ms(40));
    scheduler.plan(now.after_ms(40), 0);
    assert_eq!(started(&mut scheduler), vec![task(0)]);
}

/// Guards against exceeding a step's tolerance: tasks that the previous leader was stopping still counted as
/// available, and the new leader moved others.
#[test]
fn no_long_running_task_is_evicted_while_stops_of_a_previous_leader_may_be_in_progress() {
    let now = Instant::from_ms(1_000);
    let mut long_running = step(2, &[]);
    long_running.long_running = true;
    long_running.per_worker_max = 1;
    long_running.unavailable_max = Some(1);
    let row = record::WorkerRow::new(id::Service::new(SERVICE));
    let rows = RecoveredState {
        accepted: vec![(JOB, accepted(vec![long_running], 2))],
        workers: vec![(id::Worker::new("a"), row)],
        ..RecoveredState::default()
    };
    let mut scheduler = Scheduler::new(settings(), 2, config(), rows, now);
    for worker in ["a", "b", "c"] {
        scheduler.worker_listed(listing(worker), now);
    }
    commit(&mut scheduler);
    let names = ["a", "b", "c"].map(id::Worker::new);
    let poll_all = |scheduler: &mut Scheduler, at: Instant| {
        scheduler.poll_answered(&names[0], &report(vec![(task(0), 3)], vec![]), at, at, 0);
        scheduler.poll_answered(&names[1], &report(vec![(task(1), 3)], vec![]), at, at, 0);
        scheduler.poll_answered(&names[2], &report(vec![], vec![]), at, at, 0);
    };
    poll_all(&mut scheduler, now);
    scheduler.set_draining(&names[0], true);
    scheduler.evict_long_running(now.after_ms(20));
    assert_eq!(stops(&mut scheduler), 0, "task 1 may be stopping");
    let later = now.after_ms(3_000);
    poll_all(&mut scheduler, later);
    scheduler.evict_long_running(later.after_ms(20));
    assert_eq!(stops(&mut scheduler), 1);
}

/// Guards against work that waits for a lease to lapse: a worker crashed before any list of machines had shown it, so none
/// showed its loss.
#[test]
fn work_of_a_worker_that_no_list_ever_showed_starts_elsewhere_soon() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = successor(&["a", "b"], now);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    scheduler.poll_answered(&a, &report(vec![(task(0), 3)], vec![]), now, now, 0);
    scheduler.job_accepted(JOB, accepted(vec![step(1, &[])], 3), now);
    assert_eq!(scheduler.drain_state(&a), DrainState::Busy);
    scheduler.poll_failed(&a);
    let listed = [&b].into();
    let mut started_at_ms = None;
    for after_ms in (100..3_000).step_by(200) {
        let at = now.after_ms(after_ms);
        scheduler.poll_answered(&b, &report(vec![], vec![]), at, at, 0);
        scheduler.machines_listed(&listed, true, at, at);
        scheduler.plan(at, 0);
        if !started(&mut scheduler).is_empty() {
            started_at_ms.get_or_insert(after_ms);
        }
    }
    let started_at_ms = started_at_ms.expect("started elsewhere");
    assert!(started_at_ms >= 1_000, "a new worker may not be listed yet");
    assert!(started_at_ms <= 2_000, "started after {started_at_ms} ms");
}
