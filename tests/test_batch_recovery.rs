//! Takeovers while the store refuses some partitions, or most calls at random.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use wasabiloft::batch::recovery::{GRACE_MS, Part, Reads};
use wasabiloft::batch::scheduler::{Output, PartitionRows, RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, accounts, queue, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{Faults, Simulation, accepted, config, listing, settings, step};
use crate::fixed_seed;

/// Partitions that are unavailable, of 16, and for how long, in milliseconds.
const UNAVAILABLE: usize = 6;
const UNAVAILABLE_MS: u64 = 7_000;
/// Jobs of the other partitions must begin within this time, in milliseconds.
const BEGINS_MS: u64 = 2_000;
/// Duration of a call to the store, in milliseconds.
const CALL_MS: u64 = 8;

/// How a simulated recovery went.
struct Course {
    leads_ms: u64,
    complete_ms: u64,
    calls: u64,
    at_once: usize,
}

/// Runs a recovery against a store that refuses the calls for which `refuses` returns true.
fn recover<F>(seed: u64, at_once: usize, refuses: F) -> Course
where
    F: Fn(Part, u64, &mut SmallRng) -> bool,
{
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut reads = Reads::new(at_once, Instant::ZERO);
    let mut in_progress: BTreeMap<Part, u64> = BTreeMap::new();
    let mut course = Course {
        leads_ms: u64::MAX,
        complete_ms: 0,
        calls: 0,
        at_once: 0,
    };
    for now_ms in 0..200_000 {
        let now = Instant::from_ms(now_ms);
        let ended: Vec<Part> = in_progress
            .iter()
            .filter(|(_, sent_ms)| **sent_ms + CALL_MS <= now_ms)
            .map(|(part, _)| *part)
            .collect();
        for part in ended {
            in_progress.remove(&part);
            if refuses(part, now_ms, &mut rng) {
                reads.failed(part, rng.random_range(0..=1_000), now);
            } else {
                reads.completed(part, now);
            }
        }
        for part in reads.take_due(now) {
            in_progress.insert(part, now_ms);
            course.calls += 1;
        }
        course.at_once = course.at_once.max(in_progress.len());
        if reads.may_lead(now) {
            course.leads_ms = course.leads_ms.min(now_ms);
        }
        if reads.is_complete() {
            course.complete_ms = now_ms;
            return course;
        }
    }
    panic!("never complete");
}

/// Guards against a takeover that discards what was read when a read is refused: with 0.9 of the calls refused, all 18
/// parts are never read in one go. The bounds are derived in the module's header.
#[test]
fn a_takeover_completes_in_time_with_random_refusals() {
    for (refused, leads_max_ms, complete_max_ms) in
        [(0.3, 650, 1_400), (0.6, 1_050, 3_100), (0.9, 3_950, 14_600)]
    {
        let courses: Vec<Course> = (0..500)
            .map(|seed| recover(seed, 16, |_, _, rng| rng.random_bool(refused)))
            .collect();
        let late = |course: &&Course| {
            course.leads_ms > leads_max_ms || course.complete_ms > complete_max_ms
        };
        let late_count = courses.iter().filter(late).count();
        let worst = courses.iter().map(|course| course.leads_ms).max();
        let mean = courses.iter().map(|course| course.complete_ms).sum::<u64>() / 500;
        let calls = courses.iter().map(|course| course.calls).sum::<u64>() / 500;
        println!("refused {refused}: leads at most {worst:?}, complete {mean}, calls {calls}");
        assert!(late_count <= 5, "{late_count} of 500 late with {refused}");
        assert!(courses.iter().all(|course| course.at_once <= 16));
    }
}

/// Guards against waiting for unavailable partitions, and against repetitions without a limit meanwhile.
#[test]
fn unavailable_partitions_delay_the_lead_by_the_grace_time_only() {
    let mut calls = 0;
    for seed in 0..100 {
        let unavailable = partitions(seed);
        let course = recover(seed, 16, |part, now_ms, _| match part {
            Part::Jobs(partition) => unavailable.contains(&partition) && now_ms < UNAVAILABLE_MS,
            Part::Workers | Part::Progress => false,
        });
        assert!(
            course.leads_ms <= GRACE_MS + 2 * CALL_MS,
            "{}",
            course.leads_ms
        );
        // The longest pause is 225 ms.
        let returned_ms = course.complete_ms - UNAVAILABLE_MS;
        assert!(returned_ms <= 225 + 2 * CALL_MS, "{returned_ms}");
        // The shortest of the long pauses is 75 ms.
        let calls_max = 18 + UNAVAILABLE as u64 * (UNAVAILABLE_MS / (75 + CALL_MS) + 4);
        assert!(course.calls <= calls_max, "{} calls", course.calls);
        calls += course.calls;
    }
    println!("calls {}", calls / 100);
}

/// Guards against reads without a response that keep all others waiting where the link allows one at a time.
#[test]
fn reads_without_a_response_do_not_hold_up_others() {
    let mut reads = Reads::new(1, Instant::ZERO);
    let mut now_ms = 0;
    let mut read = 0;
    while read < 12 {
        now_ms += 10;
        let now = Instant::from_ms(now_ms);
        for part in reads.take_due(now) {
            // Six partitions don't answer.
            if !matches!(part, Part::Jobs(0..6)) {
                reads.completed(part, now);
                read += 1;
            }
        }
        assert!(now_ms < 4_000, "{read} read");
    }
}

fn partitions(seed: u64) -> BTreeSet<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = usize::try_from(record::JOB_PARTITIONS).expect("a small number");
    let chosen = index::sample(&mut rng, count, UNAVAILABLE);
    chosen.iter().map(|number| number as u64).collect()
}

fn is_in(job: u64, partitions: &BTreeSet<u64>) -> bool {
    partitions.contains(&record::job_partition_number(JobId(job)))
}

/// Submits jobs, loses the leader while some partitions are unavailable, and submits more; returns the simulation and
/// the jobs that began late.
fn lose_leader(faults: Faults, seed: u64) -> (Simulation, Vec<u64>) {
    let unavailable = partitions(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sim = Simulation::new(8, faults, seed);
    sim.run(300);
    for id in 0..24 {
        sim.submit(id, accepted(vec![step(3, &[]), step(2, &[0])], 6));
        sim.run(20);
        if id % 6 == 5 {
            sim.cancel(id);
        }
    }
    sim.make_unavailable(unavailable.clone(), UNAVAILABLE_MS);
    sim.run(rng.random_range(0..200));
    sim.take_over(rng.random_bool(0.5));
    let mut late = Vec::new();
    let mut open: BTreeMap<u64, u64> = BTreeMap::new();
    let second_loss_ms = rng.random_range(1_500..5_000);
    for passed_ms in (0..UNAVAILABLE_MS).step_by(100) {
        if passed_ms / 100 == second_loss_ms / 100 {
            sim.take_over(rng.random_bool(0.5));
        }
        let id = 1_000 + passed_ms / 100;
        if !is_in(id, &unavailable) && passed_ms + BEGINS_MS < UNAVAILABLE_MS {
            sim.submit(id, accepted(vec![step(2, &[]), step(1, &[0])], 6));
            open.insert(id, sim.now_ms);
        }
        sim.run(100);
        for (job, since_ms) in open.clone() {
            if sim.state(job) != Some(record::State::Queued) {
                open.remove(&job);
            } else if sim.now_ms > since_ms + BEGINS_MS {
                late.push(job);
                open.remove(&job);
            }
        }
    }
    (sim, late)
}

fn unfinished(sim: &mut Simulation) -> Vec<u64> {
    let is_final = |state: Option<record::State>| state.is_some_and(record::State::is_final);
    let unfinished = (0..24).filter(|id| !is_final(sim.state(*id)));
    unfinished.collect()
}

proptest! {
    #![proptest_config(fixed_seed(150))]

    /// Guards against tasks that start twice, out of order, or after their cancellation, because the leader doesn't
    /// know the rows of their partition or their progress.
    #[test]
    fn invariants_hold_with_unavailable_partitions(seed in any::<u64>()) {
        let faults = Faults { late: 60, lost: 60, partition: 3, crash: 2, ..Faults::default() };
        let (mut sim, _) = lose_leader(faults, seed);
        sim.run(5_000);
        sim.end_faults();
        sim.run(25_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert_eq!(unfinished(&mut sim), Vec::<u64>::new());
    }

    /// Guards against jobs of available partitions that wait for the others.
    #[test]
    fn jobs_of_available_partitions_begin_in_time(seed in any::<u64>()) {
        let (mut sim, late) = lose_leader(Faults { lost: 20, ..Faults::default() }, seed);
        prop_assert_eq!(late, Vec::<u64>::new());
        sim.run(6_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert_eq!(unfinished(&mut sim), Vec::<u64>::new());
    }
}

/// Returns two jobs of which the first is in a partition and the second is not.
fn two_jobs() -> (JobId, JobId, u64) {
    let first = JobId(7);
    let partition = record::job_partition_number(first);
    let second = (8..).map(JobId);
    let mut second = second.filter(|job| record::job_partition_number(*job) != partition);
    (first, second.next().expect("a job"), partition)
}

fn task(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn report(
    running: Vec<(TaskId, u32)>,
    ends: Vec<(u64, TaskId, u32, worker_state::Outcome)>,
) -> worker_state::Report {
    let running = running.into_iter().map(|(task, run)| worker_state::Run {
        task,
        run,
        checkpoint: None,
        percent: 50,
        usage: 0,
    });
    let ended = ends
        .into_iter()
        .map(|(number, task, run, outcome)| worker_state::EndedRun {
            number,
            task,
            run,
            outcome,
            checkpoint: None,
        });
    worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: running.collect(),
        ended: ended.collect(),
    }
}

fn commit(scheduler: &mut Scheduler) -> record::WriteBatch {
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    batch
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

fn stopped(scheduler: &mut Scheduler) -> usize {
    let outputs = scheduler.take_outputs().into_iter();
    outputs
        .filter(|output| matches!(output, Output::Stop { .. }))
        .count()
}

fn successor(recovered: RecoveredState, workers: &[&str], now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    for worker in workers {
        scheduler.worker_listed(listing(worker), now);
    }
    commit(&mut scheduler);
    scheduler
}

/// Guards against ends that wait for another job's partition: a worker's ends were handled only up to the first of an
/// unknown job. Fails on the previous code.
#[test]
fn ends_behind_one_of_an_unread_job_are_handled_but_not_acknowledged() {
    let now = Instant::from_ms(1_000);
    let (unread, known, partition) = two_jobs();
    let recovered = RecoveredState {
        accepted: vec![(known, accepted(vec![step(1, &[])], 3))],
        unread: [partition].into(),
        ..RecoveredState::default()
    };
    let mut scheduler = successor(recovered, &["a"], now);
    let a = id::Worker::new("a");
    let done = worker_state::Outcome::Done;
    let answer = report(
        vec![],
        vec![(1, task(unread), 3, done), (2, task(known), 3, done)],
    );
    scheduler.poll_answered(&a, &answer, now, now, 0);
    commit(&mut scheduler);
    assert_eq!(scheduler.job_state(known), Some(record::State::Completed));
    let poll = scheduler.next_poll(&a, now.after_ms(10)).expect("a poll");
    assert_eq!(poll.acknowledged, 0, "would discard the first end");
    let later = now.after_ms(5_000);
    scheduler.jobs_read(later);
    scheduler.poll_answered(&a, &answer, later, later, 0);
    assert_eq!(stopped(&mut scheduler), 0, "its partition is unread");
    let rows = PartitionRows {
        partition,
        accepted: vec![(unread, accepted(vec![step(1, &[])], 3))],
        began_at: later,
        ..PartitionRows::default()
    };
    assert_eq!(scheduler.partition_read(rows, later, 0), 1);
    scheduler.plan(later, 0);
    assert!(started(&mut scheduler).is_empty(), "it is done");
    scheduler.poll_answered(&a, &answer, later, later.after_ms(1), 0);
    commit(&mut scheduler);
    assert_eq!(scheduler.job_state(unread), Some(record::State::Completed));
    let poll = scheduler.next_poll(&a, later.after_ms(10)).expect("a poll");
    assert_eq!(poll.acknowledged, 2);
}

/// Guards against a second run: an ended run on one worker was taken for the task's run when another worker had the
/// newer one. Fails on the previous code in half of the runs, by the order of a hash map.
#[test]
fn of_several_runs_of_an_unread_job_the_newest_counts() {
    for job in 0..20 {
        let now = Instant::from_ms(1_000);
        let job = JobId(job);
        let recovered = RecoveredState {
            unread: [record::job_partition_number(job)].into(),
            ..RecoveredState::default()
        };
        let mut scheduler = successor(recovered, &["a", "b"], now);
        let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
        let ended = report(
            vec![],
            vec![(1, task(job), 3, worker_state::Outcome::Failed)],
        );
        let running = report(vec![(task(job), 4)], vec![]);
        scheduler.poll_answered(&a, &ended, now, now, 0);
        scheduler.poll_answered(&b, &running, now, now, 0);
        let rows = PartitionRows {
            partition: record::job_partition_number(job),
            accepted: vec![(job, accepted(vec![step(1, &[])], 3))],
            began_at: now.after_ms(1),
            ..PartitionRows::default()
        };
        scheduler.partition_read(rows, now.after_ms(5), 0);
        let later = now.after_ms(50);
        scheduler.poll_answered(&a, &ended, later, later, 0);
        scheduler.plan(later.after_ms(50), 0);
        for output in scheduler.take_outputs() {
            assert!(
                !matches!(output, Output::Start(_) | Output::Stop { .. }),
                "{output:?}"
            );
        }
    }
}

/// Guards against a job that runs again: its progress was removed before its row, which stayed in an unavailable
/// partition. Fails on the previous code.
#[test]
fn progress_is_deleted_only_after_the_rows_of_the_job() {
    let now = Instant::from_ms(1_000);
    let job = JobId(7);
    let progress = record::Progress {
        state: record::State::Completed,
        ended_unix_ms: 1_000,
        ..record::Progress::default()
    };
    let recovered = || RecoveredState {
        accepted: vec![(job, accepted(vec![step(1, &[])], 3))],
        progress: vec![(job.into(), progress.clone())],
        ..RecoveredState::default()
    };
    let mut scheduler = successor(recovered(), &["a"], now);
    let long_after_ms = 1_000_000;
    scheduler.tick(now, long_after_ms);
    assert!(commit(&mut scheduler).progress_deleted.is_empty());
    assert_eq!(scheduler.take_expired_jobs(), [job]);
    scheduler.tick(now, long_after_ms);
    assert!(scheduler.take_expired_jobs().is_empty(), "once only");
    // A read in progress still returns its row.
    scheduler.job_accepted(job, accepted(vec![step(1, &[])], 3), now);
    assert_eq!(scheduler.job_state(job), Some(record::State::Completed));
    scheduler.job_rows_removed(&[job]);
    assert_eq!(commit(&mut scheduler).progress_deleted, [job.into()]);
    assert_eq!(scheduler.job_state(job), None);
    // The leader is lost before it deletes the progress.
    let mut without_row = recovered();
    without_row.accepted.clear();
    let mut scheduler = successor(without_row, &["a"], now);
    scheduler.tick(now, long_after_ms);
    let mut again = accepted(vec![step(1, &[])], 3);
    again.submitted_unix_ms = long_after_ms;
    scheduler.job_accepted(job, again.clone(), now);
    assert_eq!(scheduler.job_state(job), Some(record::State::Queued));
    assert!(
        commit(&mut scheduler).progress_deleted.is_empty(),
        "the id is in use"
    );
    let mut with_new_row = recovered();
    with_new_row.accepted = vec![(job, again)];
    let scheduler = successor(with_new_row, &["a"], now);
    assert_eq!(scheduler.job_state(job), Some(record::State::Queued));
}

/// Guards against tasks that start again because the progress of their job was dropped while its partition was unread.
#[test]
fn progress_of_an_unread_job_is_kept() {
    let now = Instant::from_ms(1_000);
    let (unread, ended, _) = two_jobs();
    let done = record::Done {
        occurrence: 0,
        step: 0,
        indexes: vec![0],
    };
    let progress = record::Progress {
        state: record::State::Running,
        done: vec![done],
        ..record::Progress::default()
    };
    let final_progress = record::Progress {
        state: record::State::Failed,
        ended_unix_ms: 1_000,
        ..record::Progress::default()
    };
    let recovered = RecoveredState {
        progress: vec![(unread.into(), progress), (ended.into(), final_progress)],
        unread: (0..record::JOB_PARTITIONS).collect(),
        ..RecoveredState::default()
    };
    let mut scheduler = successor(recovered, &["a"], now);
    let a = id::Worker::new("a");
    scheduler.poll_answered(&a, &report(vec![], vec![]), now, now, 0);
    assert_eq!(scheduler.job_state(ended), Some(record::State::Failed));
    assert_eq!(scheduler.job_state(unread), None, "it may be cancelled");
    let rows = |job| PartitionRows {
        partition: record::job_partition_number(job),
        accepted: vec![(job, accepted(vec![step(2, &[])], 3))],
        began_at: now.after_ms(1),
        ..PartitionRows::default()
    };
    scheduler.partition_read(rows(unread), now, 0);
    scheduler.partition_read(rows(ended), now, 0);
    scheduler.plan(now, 0);
    let second = TaskId {
        index: 1,
        ..task(unread)
    };
    assert_eq!(started(&mut scheduler), [second]);
    assert_eq!(scheduler.job_state(ended), Some(record::State::Failed));
}

/// Guards against a quota that is exceeded because runs of unread jobs don't count.
#[test]
fn runs_of_unread_jobs_count_towards_quotas() {
    let now = Instant::from_ms(1_000);
    let (unread, known, partition) = two_jobs();
    let account = id::Account::new("north");
    let limited = accounts::Account {
        weight_milli: 1_000,
        limits: accounts::Limits {
            cpu_milli: Some(1_000),
            ..accounts::Limits::default()
        },
    };
    let mut with_accounts: queue::Config = (*config()).clone();
    let by_name = BTreeMap::from([(account.clone(), limited)]);
    with_accounts.accounts = Some(accounts::Accounts::new(by_name, Vec::new()).0);
    let mut of_account = accepted(vec![step(1, &[])], 3);
    of_account.account = Some(account);
    let recovered = RecoveredState {
        accepted: vec![(known, of_account.clone())],
        unread: [partition].into(),
        ..RecoveredState::default()
    };
    let config = Arc::new(with_accounts);
    let mut scheduler = Scheduler::new(settings(), 2, config, recovered, now);
    for worker in ["a", "b"] {
        scheduler.worker_listed(listing(worker), now);
    }
    commit(&mut scheduler);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    let busy = report(vec![(task(unread), 3)], vec![]);
    scheduler.poll_answered(&a, &busy, now, now, 0);
    scheduler.poll_answered(&b, &report(vec![], vec![]), now, now, 0);
    scheduler.plan(now, 0);
    assert!(
        started(&mut scheduler).is_empty(),
        "the run may be of the account"
    );
    let rows = PartitionRows {
        partition,
        accepted: vec![(unread, accepted(vec![step(1, &[])], 3))],
        began_at: now.after_ms(1),
        ..PartitionRows::default()
    };
    scheduler.partition_read(rows, now.after_ms(2), 0);
    scheduler.poll_answered(&a, &busy, now.after_ms(3), now.after_ms(3), 0);
    scheduler.plan(now.after_ms(3), 0);
    assert_eq!(started(&mut scheduler), [task(known)]);
}
