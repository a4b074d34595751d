//! What a successor does with runs and stops of its predecessor that it learns of before their reason.

use wasabiloft::batch::scheduler::{Emptying, Holder, Inheritance, Output};
use wasabiloft::batch::{JobId, TaskId, book, record};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{SERVICE, accepted, config, listing, step, terms};

const JOB: JobId = JobId(7);
/// Far above the time within which an accepted job is heard of.
const LONG_MS: u64 = 20_000;

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn report(running: Vec<(TaskId, u32)>, ends: Vec<(u64, TaskId, u32, book::How)>) -> book::Report {
    book::Report {
        clock_ms: 5,
        born_unix_ms: Some(1),
        running: running
            .into_iter()
            .map(|(task, run)| book::Run {
                task,
                run,
                checkpoint: None,
                percent: 100,
                usage: 0,
            })
            .collect(),
        ends: ends
            .into_iter()
            .map(|(number, task, run, how)| book::End {
                number,
                task,
                run,
                how,
                checkpoint: None,
            })
            .collect(),
    }
}

/// A successor that has recorded some workers.
fn successor(workers: &[&str], now: Instant) -> Holder {
    let mut holder = Holder::new(terms(), 2, config(), Inheritance::default(), now);
    for worker in workers {
        holder.listed(listing(worker), now);
    }
    commit(&mut holder);
    holder
}

fn commit(holder: &mut Holder) {
    let batch = holder.take_batch();
    holder.committed(&batch);
}

fn started(holder: &mut Holder) -> Vec<TaskId> {
    let outputs = holder.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            Output::Start(start) => Some(start.task),
            _ => None,
        })
        .collect()
}

fn stops(holder: &mut Holder) -> usize {
    let outputs = holder.take_outputs();
    let stops = outputs
        .iter()
        .filter(|output| matches!(output, Output::Stop { .. }));
    stops.count()
}

/// Found by a hunt: the successor heard of the predecessor's run before it heard of its job, and started it elsewhere.
#[test]
fn a_run_whose_job_is_heard_of_later_is_taken_over() {
    let now = Instant::from_ms(1_000);
    let mut holder = successor(&["a", "b"], now);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    holder.reported(&a, &report(vec![(task(0), 3)], vec![]), now, now, 0);
    holder.reported(&b, &report(vec![], vec![]), now, now, 0);
    assert_eq!(holder.emptying(&a), Emptying::Busy);
    assert_eq!(stops(&mut holder), 0, "its job is about to be heard of");
    let soon = now.after_ms(40);
    holder.accepted(JOB, accepted(vec![step(2, &[])], 3), soon);
    holder.plan(soon, 0);
    assert_eq!(started(&mut holder), vec![task(1)]);
}

#[test]
fn an_end_whose_job_is_heard_of_later_counts() {
    let now = Instant::from_ms(1_000);
    let mut holder = successor(&["a"], now);
    let a = id::Worker::new("a");
    let seen = report(vec![], vec![(1, task(0), 3, book::How::Done)]);
    holder.reported(&a, &seen, now, now, 0);
    commit(&mut holder);
    let look = holder.look(&a, now.after_ms(10)).expect("a look");
    assert_eq!(look.acknowledged, 0, "nobody has counted it yet");
    let soon = now.after_ms(40);
    holder.accepted(JOB, accepted(vec![step(1, &[])], 3), soon);
    holder.plan(soon, 0);
    assert!(started(&mut holder).is_empty(), "it may be done");
    holder.reported(&a, &seen, soon, soon.after_ms(1), 0);
    commit(&mut holder);
    assert_eq!(holder.state(JOB), Some(record::State::Completed));
    let look = holder.look(&a, soon.after_ms(10)).expect("a look");
    assert_eq!(look.acknowledged, 1);
}

#[test]
fn a_run_whose_job_is_never_heard_of_is_stopped_at_last() {
    let now = Instant::from_ms(1_000);
    let mut holder = successor(&["a"], now);
    let a = id::Worker::new("a");
    let seen = report(
        vec![(task(0), 3)],
        vec![(1, task(1), 3, book::How::Stopped)],
    );
    holder.reported(&a, &seen, now, now, 0);
    let later = now.after_ms(LONG_MS);
    holder.reported(&a, &seen, later, later, 0);
    assert_eq!(stops(&mut holder), 0, "the job table wasn't read since");
    holder.jobs_heard(later);
    holder.reported(&a, &seen, later, later, 0);
    assert_eq!(stops(&mut holder), 1);
    commit(&mut holder);
    let look = holder.look(&a, later.after_ms(10)).expect("a look");
    assert_eq!(look.acknowledged, 1);
    holder.reported(&a, &report(vec![], vec![]), later, later, 0);
    assert_eq!(holder.emptying(&a), Emptying::Empty);
}

#[test]
fn a_run_of_a_worker_that_died_meanwhile_starts_elsewhere() {
    let now = Instant::from_ms(1_000);
    let mut holder = successor(&["a", "b"], now);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    holder.reported(&a, &report(vec![(task(0), 3)], vec![]), now, now, 0);
    holder.reported(&b, &report(vec![], vec![]), now, now, 0);
    holder.life_ended(&a, "machine-without");
    holder.accepted(JOB, accepted(vec![step(1, &[])], 3), now.after_ms(40));
    holder.plan(now.after_ms(40), 0);
    assert_eq!(started(&mut holder), vec![task(0)]);
}

/// Found by a hunt: tasks that the predecessor was stopping still showed as at work, and the successor moved others.
#[test]
fn no_lasting_task_is_moved_while_a_predecessor_s_stops_may_be_under_way() {
    let now = Instant::from_ms(1_000);
    let mut lasting = step(2, &[]);
    lasting.lasting = true;
    lasting.per_worker_max = 1;
    lasting.unavailable_max = Some(1);
    let row = record::WorkerRow {
        service: id::Service::new(SERVICE),
    };
    let rows = Inheritance {
        accepted: vec![(JOB, accepted(vec![lasting], 2))],
        workers: vec![(id::Worker::new("a"), row)],
        ..Inheritance::default()
    };
    let mut holder = Holder::new(terms(), 2, config(), rows, now);
    for worker in ["a", "b", "c"] {
        holder.listed(listing(worker), now);
    }
    commit(&mut holder);
    let names = ["a", "b", "c"].map(id::Worker::new);
    let look = |holder: &mut Holder, at: Instant| {
        holder.reported(&names[0], &report(vec![(task(0), 3)], vec![]), at, at, 0);
        holder.reported(&names[1], &report(vec![(task(1), 3)], vec![]), at, at, 0);
        holder.reported(&names[2], &report(vec![], vec![]), at, at, 0);
    };
    look(&mut holder, now);
    holder.vacate(&names[0], true);
    holder.move_lasting(now.after_ms(20));
    assert_eq!(stops(&mut holder), 0, "task 1 may be about to stop");
    let later = now.after_ms(3_000);
    look(&mut holder, later);
    holder.move_lasting(later.after_ms(20));
    assert_eq!(stops(&mut holder), 1);
}
