//! The holder's decisions, one at a time.

use wasabiloft::batch::scheduler::{Emptying, Holder, Inheritance, Output};
use wasabiloft::batch::{JobId, TaskId, book, record};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{
    Faults, LEASE_MS, SERVICE, World, accepted, config, listing, step, terms,
};

fn world(workers: usize) -> World {
    let mut world = World::new(workers, Faults::default(), 1);
    world.run(300);
    world
}

#[test]
fn a_job_runs_step_by_step_to_its_end() {
    let mut world = world(2);
    world.submit(1, accepted(vec![step(3, &[]), step(2, &[0])], 4));
    assert_eq!(world.state(1), Some(record::State::Queued));
    world.run(100);
    assert_eq!(world.state(1), Some(record::State::Running));
    world.run(5_000);
    assert_eq!(world.state(1), Some(record::State::Completed));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn work_of_a_crashed_worker_starts_again_after_its_lease() {
    let mut world = world(2);
    let lasting = || {
        let mut lasting = step(1, &[]);
        lasting.lasting = true;
        lasting
    };
    world.submit(1, accepted(vec![lasting()], 2));
    world.run(500);
    let (_, name) = world.running()[0].clone();
    let worker = world.workers.get_mut(&name).expect("the worker");
    worker.cut_until_ms = 60_000;
    world.run(LEASE_MS / 2);
    assert!(
        world.running().iter().all(|(_, at)| *at == name),
        "too early"
    );
    world.run(LEASE_MS);
    assert_eq!(world.running().len(), 1);
    assert_ne!(world.running()[0].1, name);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_lasting_task_on_a_silent_worker_counts_as_away() {
    let mut world = world(4);
    let mut lasting = step(2, &[]);
    lasting.lasting = true;
    lasting.per_worker_max = 1;
    lasting.unavailable_max = Some(1);
    world.submit(1, accepted(vec![lasting], 2));
    world.run(500);
    let places = world.running();
    let worker = world.workers.get_mut(&places[0].1).expect("the worker");
    worker.cut_until_ms = 60_000;
    world.run(1_200);
    let other = id::Worker::new(&places[1].1);
    world.holder().vacate(&other, true);
    world.run(300);
    assert!(world.running().contains(&places[1]), "both were away");
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut world = world(1);
    let mut lasting = step(6, &[]);
    lasting.lasting = true;
    world.submit(1, accepted(vec![lasting], 2));
    world.run(300);
    assert_eq!(world.running().len(), 4);
    world.cancel(1);
    world.run(500);
    assert!(world.running().is_empty());
    assert_eq!(world.state(1), Some(record::State::Cancelled));
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut world = world(2);
    for worker in world.workers.values_mut() {
        worker.fails_all = true;
    }
    world.submit(1, accepted(vec![step(1, &[])], 2));
    world.run(30_000);
    assert_eq!(world.state(1), Some(record::State::Failed));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// Found by the soak (seed 301): jobs that can't be done made all workers doubtful, and their last attempts waited for
/// a sound worker for ever.
#[test]
fn the_last_attempt_is_made_though_all_workers_are_doubtful() {
    let mut world = world(2);
    for worker in world.workers.values_mut() {
        worker.fails_all = true;
    }
    for id in 1..=4 {
        world.submit(id, accepted(vec![step(1, &[])], 3));
    }
    world.run(40_000);
    for id in 1..=4 {
        assert_eq!(world.state(id), Some(record::State::Failed), "job {id}");
    }
}

#[test]
fn a_job_that_fails_everywhere_casts_no_doubt_on_its_workers() {
    let now = Instant::from_ms(1_000);
    let mut holder = Holder::new(terms(), 1, config(), Inheritance::default(), now);
    let names = ["a", "b", "c"].map(id::Worker::new);
    for name in &names {
        holder.listed(listing(name.as_str()), now);
    }
    let batch = holder.take_batch();
    holder.committed(&batch);
    let report = |ends| book::Report {
        clock_ms: 5,
        born_unix_ms: Some(1),
        running: Vec::new(),
        ends,
    };
    for name in &names {
        holder.reported(name, &report(Vec::new()), now, now, 0);
    }
    let mut at = now;
    // Two hopeless jobs, of which each fails on all three workers.
    let mut numbers = [0_u64; 3];
    for job in [1, 2] {
        holder.accepted(JobId(job), accepted(vec![step(1, &[])], 9), at);
        for (name, number) in names.iter().zip(&mut numbers) {
            *number += 1;
            let end = book::End {
                number: *number,
                task: TaskId {
                    job: JobId(job),
                    occurrence: 0,
                    step: 0,
                    index: 0,
                },
                run: u32::try_from(*number).expect("small"),
                how: book::How::Failed,
                checkpoint: None,
            };
            at = at.after_ms(100);
            holder.reported(name, &report(vec![end]), at, at, 0);
        }
    }
    let doubtful = names
        .iter()
        .filter(|name| holder.workers()[*name].is_doubtful())
        .count();
    assert!(doubtful <= 1, "{doubtful} of 3 workers are doubtful");
}

#[test]
fn a_worker_that_fails_all_is_left_for_the_others() {
    let mut world = world(3);
    world.workers.get_mut("w0").expect("a worker").fails_all = true;
    for id in 0..20 {
        world.submit(id, accepted(vec![step(2, &[])], 3));
        world.run(100);
    }
    world.run(8_000);
    for id in 0..20 {
        assert_eq!(world.state(id), Some(record::State::Completed), "job {id}");
    }
}

#[test]
fn vacating_empties_a_worker() {
    let mut world = world(2);
    world.submit(1, accepted(vec![step(8, &[])], 3));
    world.run(50);
    let id = id::Worker::new("w0");
    world.holder().vacate(&id, true);
    assert_eq!(world.holder().emptying(&id), Emptying::Busy);
    world.run(1_000);
    assert_eq!(world.holder().emptying(&id), Emptying::Empty);
}

/// Found by a hunt: a cut-off holder started a job that its successor had just started on another worker.
#[test]
fn nothing_starts_beside_a_predecessor_on_workers_that_have_not_met_the_fence() {
    let rows = Inheritance {
        workers: vec![(
            id::Worker::new("unheard"),
            record::WorkerRow {
                service: id::Service::new(SERVICE),
            },
        )],
        predecessor_may_act: true,
        ..Inheritance::default()
    };
    let now = Instant::from_ms(1_000);
    let mut holder = Holder::new(terms(), 2, config(), rows, now);
    holder.listed(listing("heard"), now);
    let batch = holder.take_batch();
    holder.committed(&batch);
    let report = book::Report {
        clock_ms: 5,
        born_unix_ms: Some(1),
        running: Vec::new(),
        ends: Vec::new(),
    };
    let heard = id::Worker::new("heard");
    holder.reported(&heard, &report, now, now.after_ms(5), 0);
    holder.accepted(JobId(7), accepted(vec![step(1, &[])], 3), now.after_ms(6));
    holder.plan(now.after_ms(7), 0);
    assert!(!starts(&mut holder), "started beside a predecessor");

    let later = now.after_ms(LEASE_MS * 2);
    holder.reported(&heard, &report, later, later, 0);
    holder.tick(later, 0);
    holder.plan(later, 0);
    assert!(starts(&mut holder), "the predecessor's leases have lapsed");
}

fn starts(holder: &mut Holder) -> bool {
    let outputs = holder.take_outputs();
    outputs
        .iter()
        .any(|output| matches!(output, Output::Start(_)))
}

#[test]
fn a_restarted_worker_is_not_acknowledged_blindly() {
    let mut world = world(1);
    world.submit(1, accepted(vec![step(4, &[])], 3));
    world.run(3_000);
    let id = id::Worker::new("w0");
    let now = world.now();
    let look = world.holder().look(&id, now).expect("a look");
    assert!(look.acknowledged > 0);
    let later = now.after_ms(book::SILENT_MS + 1);
    let look = world.holder().look(&id, later).expect("a look");
    assert_eq!(look.acknowledged, 0);
}

/// Found by a score: a successor moved a machine whose worker it had not heard yet, with tasks of its predecessor.
#[test]
fn a_worker_that_was_not_heard_is_not_taken_for_empty() {
    let now = Instant::from_ms(1_000);
    let mut holder = Holder::new(terms(), 2, config(), Inheritance::default(), now);
    holder.listed(listing("unheard"), now);
    let id = id::Worker::new("unheard");
    assert_eq!(holder.emptying(&id), Emptying::Unknown);
    let report = book::Report {
        clock_ms: 5,
        born_unix_ms: Some(1),
        running: Vec::new(),
        ends: Vec::new(),
    };
    holder.reported(&id, &report, now, now, 0);
    assert_eq!(holder.emptying(&id), Emptying::Empty);
}

#[test]
fn a_queue_with_a_policy_starts_only_with_a_valid_ticket() {
    let now = Instant::from_ms(1_000);
    let mut holder = Holder::new(terms(), 1, config(), Inheritance::default(), now);
    let names = ["allowed", "refused"].map(id::Worker::new);
    let report = book::Report {
        clock_ms: 5,
        born_unix_ms: Some(1),
        running: Vec::new(),
        ends: Vec::new(),
    };
    for name in &names {
        holder.listed(listing(name.as_str()), now);
    }
    let batch = holder.take_batch();
    holder.committed(&batch);
    for name in &names {
        holder.reported(name, &report, now, now, 0);
    }
    let mut job = accepted(vec![step(2, &[])], 3);
    job.queue.advice = Some(wasabiloft::batch::queue::Advice {
        base_ms: 5,
        per_worker_ms: 1,
        valid_ms: 3_000,
    });
    holder.accepted(JobId(1), job, now);
    holder.plan(now, 0);
    let asked = holder
        .take_outputs()
        .into_iter()
        .find_map(|output| match output {
            Output::Ask { task, workers } => Some((task, workers)),
            Output::Start(start) => panic!("started without a ticket: {start:?}"),
            _ => None,
        });
    let (task, workers) = asked.expect("a question");
    assert_eq!(workers.len(), 2);
    let ticket = vec![(names[0].clone(), "c81e".to_owned())];
    holder.advised(&task, &workers, Some((ticket, 3_000)), now);
    holder.plan(now, 0);
    let started: Vec<_> = holder
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            Output::Start(start) => Some((start.worker, start.ticket)),
            _ => None,
        })
        .collect();
    let expected = (names[0].clone(), Some("c81e".to_owned()));
    assert_eq!(started, vec![expected.clone(), expected]);
}

/// Found by a hunt: workers that leave took two tasks of a step while a third was being moved.
#[test]
fn workers_that_leave_give_their_lasting_tasks_up_within_what_the_step_tolerates() {
    let mut world = world(5);
    let mut lasting = step(3, &[]);
    lasting.lasting = true;
    lasting.per_worker_max = 1;
    lasting.unavailable_max = Some(1);
    world.submit(1, accepted(vec![lasting], 2));
    world.run(500);
    let places = world.running();
    let now = world.now();
    for (_, name) in &places[..2] {
        let mut entry = listing(name);
        entry.leaving = true;
        world.holder().listed(entry, now);
    }
    world.holder().move_lasting(now);
    let stops = world
        .holder()
        .take_outputs()
        .into_iter()
        .filter(|output| matches!(output, Output::Stop { .. }))
        .count();
    assert_eq!(stops, 1);
}
