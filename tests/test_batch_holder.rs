//! Single decisions of the scheduler.

use wasabiloft::batch::scheduler::{DrainState, Output, RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, predecessors, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{
    Faults, LEASE_MS, SERVICE, Simulation, accepted, config, listing, settings, step,
};

fn sim(workers: usize) -> Simulation {
    let mut sim = Simulation::new(workers, Faults::default(), 1);
    sim.run(300);
    sim
}

#[test]
fn a_job_runs_step_by_step_to_its_end() {
    let mut sim = sim(2);
    sim.submit(1, accepted(vec![step(3, &[]), step(2, &[0])], 4));
    assert_eq!(sim.state(1), Some(record::State::Queued));
    sim.run(100);
    assert_eq!(sim.state(1), Some(record::State::Running));
    sim.run(5_000);
    assert_eq!(sim.state(1), Some(record::State::Completed));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn work_of_a_crashed_worker_starts_again_after_its_lease() {
    let mut sim = sim(2);
    let long_running = || {
        let mut long_running = step(1, &[]);
        long_running.long_running = true;
        long_running
    };
    sim.submit(1, accepted(vec![long_running()], 2));
    sim.run(500);
    let (_, name) = sim.running()[0].clone();
    let worker = sim.workers.get_mut(&name).expect("the worker");
    worker.unreachable_until_ms = 60_000;
    sim.run(LEASE_MS / 2);
    assert!(sim.running().iter().all(|(_, at)| *at == name), "too early");
    sim.run(LEASE_MS);
    assert_eq!(sim.running().len(), 1);
    assert_ne!(sim.running()[0].1, name);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn a_long_running_task_on_a_silent_worker_counts_as_unavailable() {
    let mut sim = sim(4);
    let mut long_running = step(2, &[]);
    long_running.long_running = true;
    long_running.per_worker_max = 1;
    long_running.unavailable_max = Some(1);
    sim.submit(1, accepted(vec![long_running], 2));
    sim.run(500);
    let places = sim.running();
    let worker = sim.workers.get_mut(&places[0].1).expect("the worker");
    worker.unreachable_until_ms = 60_000;
    sim.run(1_200);
    let other = id::Worker::new(&places[1].1);
    sim.scheduler().set_draining(&other, true);
    sim.run(300);
    assert!(sim.running().contains(&places[1]), "both were unavailable");
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut sim = sim(1);
    let mut long_running = step(6, &[]);
    long_running.long_running = true;
    sim.submit(1, accepted(vec![long_running], 2));
    sim.run(300);
    assert_eq!(sim.running().len(), 4);
    sim.cancel(1);
    sim.run(500);
    assert!(sim.running().is_empty());
    assert_eq!(sim.state(1), Some(record::State::Cancelled));
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut sim = sim(2);
    for worker in sim.workers.values_mut() {
        worker.always_fails = true;
    }
    sim.submit(1, accepted(vec![step(1, &[])], 2));
    sim.run(30_000);
    assert_eq!(sim.state(1), Some(record::State::Failed));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// Guards against jobs that stay open for ever (soak seed 301): jobs that always fail had made all workers suspect,
/// and the last attempts waited for a healthy worker.
#[test]
fn the_last_attempt_is_made_when_all_workers_are_suspect() {
    let mut sim = sim(2);
    for worker in sim.workers.values_mut() {
        worker.always_fails = true;
    }
    for id in 1..=4 {
        sim.submit(id, accepted(vec![step(1, &[])], 3));
    }
    sim.run(40_000);
    for id in 1..=4 {
        assert_eq!(sim.state(id), Some(record::State::Failed), "job {id}");
    }
}

/// Guards against a job that stays running without a run (soak seed 7): all workers were suspect, each had a
/// long-running task, and a suspect worker took a task only while it had none.
#[test]
fn the_last_attempt_is_made_beside_long_running_tasks() {
    let mut sim = sim(2);
    let mut long_running = step(2, &[]);
    long_running.long_running = true;
    long_running.per_worker_max = 1;
    sim.submit(100, accepted(vec![long_running], 2));
    sim.run(1_000);
    assert_eq!(sim.running().len(), 2);
    for worker in sim.workers.values_mut() {
        worker.always_fails = true;
    }
    for id in 1..=4 {
        sim.submit(id, accepted(vec![step(1, &[])], 3));
    }
    sim.run(40_000);
    for id in 1..=4 {
        assert_eq!(sim.state(id), Some(record::State::Failed), "job {id}");
    }
}

#[test]
fn a_job_that_fails_everywhere_does_not_make_its_workers_suspect() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = Scheduler::new(settings(), 1, config(), RecoveredState::default(), now);
    let names = ["a", "b", "c"].map(id::Worker::new);
    for name in &names {
        scheduler.worker_listed(listing(name.as_str()), now);
    }
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    let report = |ends| worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended: ends,
    };
    for name in &names {
        scheduler.poll_answered(name, &report(Vec::new()), now, now, 0);
    }
    let mut at = now;
    // Two jobs that always fail, each once on all three workers.
    let mut numbers = [0_u64; 3];
    for job in [1, 2] {
        scheduler.job_accepted(JobId(job), accepted(vec![step(1, &[])], 9), at);
        for (name, number) in names.iter().zip(&mut numbers) {
            *number += 1;
            let end = worker_state::EndedRun {
                number: *number,
                task: TaskId {
                    job: JobId(job),
                    occurrence: 0,
                    step: 0,
                    index: 0,
                },
                run: u32::try_from(*number).expect("small"),
                outcome: worker_state::Outcome::Failed,
                checkpoint: None,
            };
            at = at.after_ms(100);
            scheduler.poll_answered(name, &report(vec![end]), at, at, 0);
        }
    }
    let suspects = names
        .iter()
        .filter(|name| scheduler.workers()[*name].is_suspect())
        .count();
    assert!(suspects <= 1, "{suspects} of 3 workers are suspect");
}

#[test]
fn jobs_complete_despite_a_worker_that_always_fails() {
    let mut sim = sim(3);
    sim.workers.get_mut("w0").expect("a worker").always_fails = true;
    for id in 0..20 {
        sim.submit(id, accepted(vec![step(2, &[])], 3));
        sim.run(100);
    }
    sim.run(8_000);
    for id in 0..20 {
        assert_eq!(sim.state(id), Some(record::State::Completed), "job {id}");
    }
}

#[test]
fn draining_empties_a_worker() {
    let mut sim = sim(2);
    sim.submit(1, accepted(vec![step(8, &[])], 3));
    sim.run(50);
    let id = id::Worker::new("w0");
    sim.scheduler().set_draining(&id, true);
    assert_eq!(sim.scheduler().drain_state(&id), DrainState::Busy);
    sim.run(1_000);
    assert_eq!(sim.scheduler().drain_state(&id), DrainState::Empty);
}

/// Guards against a double start: a partitioned leader started a job that its successor had just started on another
/// worker.
#[test]
fn nothing_starts_while_a_previous_leader_may_act_on_unresolved_workers() {
    let rows = RecoveredState {
        workers: vec![(
            id::Worker::new("unheard"),
            record::WorkerRow::new(id::Service::new(SERVICE)),
        )],
        earlier: predecessors::Earlier::Lapsing,
        ..RecoveredState::default()
    };
    let now = Instant::from_ms(1_000);
    let mut scheduler = Scheduler::new(settings(), 2, config(), rows, now);
    scheduler.worker_listed(listing("heard"), now);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    let report = worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    };
    let polled = id::Worker::new("heard");
    scheduler.poll_answered(&polled, &report, now, now.after_ms(5), 0);
    scheduler.job_accepted(JobId(7), accepted(vec![step(1, &[])], 3), now.after_ms(6));
    scheduler.plan(now.after_ms(7), 0);
    assert!(
        !starts(&mut scheduler),
        "started while the previous leader may act"
    );

    let later = now.after_ms(LEASE_MS * 2);
    scheduler.poll_answered(&polled, &report, later, later, 0);
    scheduler.tick(later, 0);
    scheduler.plan(later, 0);
    assert!(
        starts(&mut scheduler),
        "the leases of the previous leader have lapsed"
    );
}

fn starts(scheduler: &mut Scheduler) -> bool {
    let outputs = scheduler.take_outputs();
    outputs
        .iter()
        .any(|output| matches!(output, Output::Start(_)))
}

#[test]
fn nothing_is_acknowledged_after_a_worker_was_silent() {
    let mut sim = sim(1);
    sim.submit(1, accepted(vec![step(4, &[])], 3));
    sim.run(3_000);
    let id = id::Worker::new("w0");
    let now = sim.now();
    let poll = sim.scheduler().next_poll(&id, now).expect("a poll");
    assert!(poll.acknowledged > 0);
    let later = now.after_ms(worker_state::SILENT_MS + 1);
    let poll = sim.scheduler().next_poll(&id, later).expect("a poll");
    assert_eq!(poll.acknowledged, 0);
}

/// Guards against moving a machine in use: a new leader treated a worker that it had not polled yet as empty, although
/// it ran tasks of the previous leader.
#[test]
fn a_worker_that_has_not_answered_does_not_count_as_empty() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = Scheduler::new(settings(), 2, config(), RecoveredState::default(), now);
    scheduler.worker_listed(listing("unheard"), now);
    let id = id::Worker::new("unheard");
    assert_eq!(scheduler.drain_state(&id), DrainState::Unknown);
    let report = worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.poll_answered(&id, &report, now, now, 0);
    assert_eq!(scheduler.drain_state(&id), DrainState::Empty);
}

#[test]
fn a_queue_with_a_policy_starts_only_with_a_valid_ticket() {
    let now = Instant::from_ms(1_000);
    let mut scheduler = Scheduler::new(settings(), 1, config(), RecoveredState::default(), now);
    let names = ["allowed", "refused"].map(id::Worker::new);
    let report = worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    };
    for name in &names {
        scheduler.worker_listed(listing(name.as_str()), now);
    }
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    for name in &names {
        scheduler.poll_answered(name, &report, now, now, 0);
    }
    let mut job = accepted(vec![step(2, &[])], 3);
    job.queue.advice = Some(wasabiloft::batch::queue::Advice {
        base_ms: 5,
        per_worker_ms: 1,
        valid_ms: 3_000,
    });
    scheduler.job_accepted(JobId(1), job, now);
    scheduler.plan(now, 0);
    let request = scheduler
        .take_outputs()
        .into_iter()
        .find_map(|output| match output {
            Output::RequestTickets { task, workers } => Some((task, workers)),
            Output::Start(start) => panic!("started without a ticket: {start:?}"),
            _ => None,
        });
    let (task, workers) = request.expect("a ticket request");
    assert_eq!(workers.len(), 2);
    let ticket = vec![(names[0].clone(), "c81e".to_owned())];
    scheduler.tickets_received(&task, &workers, Some((ticket, 3_000)), now);
    scheduler.plan(now, 0);
    let started: Vec<_> = scheduler
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

/// Guards against exceeding a step's tolerance: leaving workers stopped two tasks of a step while a third was being
/// moved.
#[test]
fn evictions_from_leaving_workers_stay_within_the_tolerance_of_the_step() {
    let mut sim = sim(5);
    let mut long_running = step(3, &[]);
    long_running.long_running = true;
    long_running.per_worker_max = 1;
    long_running.unavailable_max = Some(1);
    sim.submit(1, accepted(vec![long_running], 2));
    sim.run(500);
    let places = sim.running();
    let now = sim.now();
    for (_, name) in &places[..2] {
        let mut entry = listing(name);
        entry.leaving = true;
        sim.scheduler().worker_listed(entry, now);
    }
    sim.scheduler().evict_long_running(now);
    let stops = sim
        .scheduler()
        .take_outputs()
        .into_iter()
        .filter(|output| matches!(output, Output::Stop { .. }))
        .count();
    assert_eq!(stops, 1);
}

/// Ends arrive for seconds faster than they can be written: each batch is followed by more changes than it holds.
#[test]
fn ends_are_acknowledged_while_more_arrive_than_a_batch_holds() {
    const JOBS_PER_ROUND: u64 = 120;
    const ROUNDS: u64 = 20;
    let now = Instant::from_ms(1_000);
    let mut scheduler = Scheduler::new(settings(), 1, config(), RecoveredState::default(), now);
    let name = id::Worker::new("a");
    scheduler.worker_listed(listing("a"), now);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    let mut report = worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.poll_answered(&name, &report, now, now, 0);
    let mut acknowledged = Vec::new();
    for round in 0..ROUNDS {
        report.ended.clear();
        for job in round * JOBS_PER_ROUND..(round + 1) * JOBS_PER_ROUND {
            scheduler.job_accepted(JobId(job), accepted(vec![step(1, &[])], 9), now);
            let task = TaskId {
                job: JobId(job),
                occurrence: 0,
                step: 0,
                index: 0,
            };
            report.ended.push(worker_state::EndedRun {
                number: job + 1,
                task,
                run: 1,
                outcome: worker_state::Outcome::Done,
                checkpoint: None,
            });
        }
        scheduler.poll_answered(&name, &report, now, now, 0);
        let batch = scheduler.take_batch();
        scheduler.batch_committed(&batch);
        let poll = scheduler.next_poll(&name, now).expect("a poll");
        let written: u64 = acknowledged.iter().map(|(_, rows)| rows).sum();
        acknowledged.push((poll.acknowledged, batch.progress.len() as u64));
        assert!(
            poll.acknowledged >= written,
            "round {round}: {} acknowledged of {written} written",
            poll.acknowledged
        );
    }
    let (last, _) = acknowledged.last().expect("rounds");
    assert!(*last > JOBS_PER_ROUND * ROUNDS / 2, "{last} acknowledged");
}
