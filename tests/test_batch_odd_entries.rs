//! Workers whose registry entry, or a row of whose report, cannot be read.

use wasabiloft::batch::scheduler::{RecoveredState, Scheduler, StartOutcome};
use wasabiloft::batch::{JobId, TaskId, pools, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::fake_workers::{accepted, config, listing, settings, step};

/// Longer than every lease with its slack, in milliseconds.
const LAPSED_MS: u64 = 30_000;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn worker(name: &str) -> id::Worker {
    id::Worker::new(name)
}

fn report(now: Instant, running: &[(TaskId, u32)]) -> worker_state::Report {
    let running = running.iter().map(|&(task, run)| worker_state::Run {
        task,
        run,
        checkpoint: None,
        percent: 50,
        usage: 0,
    });
    worker_state::Report {
        clock_ms: now.as_ms(),
        started_unix_ms: Some(1),
        running: running.collect(),
        ended: Vec::new(),
        unreadable_runs: 0,
        unreadable_ends: 0,
    }
}

fn answer(scheduler: &mut Scheduler, name: &str, report: &worker_state::Report, now: Instant) {
    let sent_at = at(now.as_ms() - 1);
    scheduler.poll_answered(&worker(name), report, sent_at, now, now.as_ms());
}

fn commit(scheduler: &mut Scheduler) {
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
}

fn scheduler_with(workers: &[&str], now: Instant) -> Scheduler {
    let recovered = RecoveredState::default();
    let mut scheduler = Scheduler::new(settings(), 1, config(), recovered, now);
    for name in workers {
        scheduler.worker_listed(listing(name), now);
    }
    commit(&mut scheduler);
    for name in workers {
        answer(&mut scheduler, name, &report(now, &[]), now);
    }
    scheduler
}

fn start_all(scheduler: &mut Scheduler, now: Instant) -> Vec<(TaskId, u32)> {
    use wasabiloft::batch::scheduler::Output;

    scheduler.plan(now, now.as_ms());
    let mut started = Vec::new();
    for output in scheduler.take_outputs() {
        if let Output::Start(start) = output {
            let outcome = StartOutcome::Started;
            scheduler.start_answered(&start.worker, start.task, start.run, outcome, now);
            started.push((start.task, start.run));
        }
    }
    started
}

fn submit(scheduler: &mut Scheduler, id: u64, tasks: u32, now: Instant) {
    scheduler.job_accepted(JobId(id), accepted(vec![step(tasks, &[])], 3), now);
}

/// A worker whose entry cannot be read gets tasks, or is forgotten with its runs, or never gets tasks again.
#[test]
fn a_worker_with_an_unreadable_entry_keeps_its_runs_and_gets_no_new_ones() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, 1, now);
    let started = start_all(&mut scheduler, now);
    scheduler.worker_unreadable(&worker("a"));
    submit(&mut scheduler, 2, 1, now);
    assert_eq!(start_all(&mut scheduler, now), Vec::new());
    answer(&mut scheduler, "a", &report(now, &started), now);
    scheduler.tick(at(1_100), 1_100);
    assert_eq!(start_all(&mut scheduler, at(1_100)), Vec::new());
    let known = &scheduler.workers()[&worker("a")];
    assert!(known.listed && known.tasks.len() == 1);
    scheduler.worker_listed(listing("a"), at(1_200));
    assert_eq!(start_all(&mut scheduler, at(1_200)).len(), 1);
}

/// The entry of a leaving worker that cannot be read counts as missing, which would end the worker at refused connections.
#[test]
fn a_leaving_worker_with_an_unreadable_entry_is_still_listed() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    let leaving = worker_state::Listing {
        leaving: true,
        ..listing("a")
    };
    scheduler.worker_listed(leaving, now);
    scheduler.worker_unreadable(&worker("a"));
    let known = &scheduler.workers()[&worker("a")];
    assert!(known.listed && known.listing.leaving);
}

/// The tasks of a silent worker whose entry cannot be read stay there after its lease has lapsed.
#[test]
fn tasks_of_a_silent_worker_with_an_unreadable_entry_are_released_when_its_lease_has_lapsed() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, 1, now);
    assert_eq!(start_all(&mut scheduler, now).len(), 1);
    scheduler.worker_unreadable(&worker("a"));
    scheduler.poll_failed(&worker("a"));
    let lapsed = at(1_000 + LAPSED_MS);
    scheduler.tick(lapsed, lapsed.as_ms());
    assert!(scheduler.workers()[&worker("a")].tasks.is_empty());
    scheduler.worker_listed(listing("b"), lapsed);
    commit(&mut scheduler);
    answer(&mut scheduler, "b", &report(lapsed, &[]), lapsed);
    assert_eq!(start_all(&mut scheduler, lapsed).len(), 1);
}

/// A run that a report states unreadably is taken for missing, and its task is started again while it runs.
#[test]
fn a_run_is_not_missing_beside_one_that_cannot_be_read() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, 1, now);
    let started = start_all(&mut scheduler, now);
    answer(&mut scheduler, "a", &report(at(1_010), &started), at(1_010));
    for ms in [1_500, 2_000, 2_500] {
        let odd = worker_state::Report {
            unreadable_runs: 1,
            ..report(at(ms), &[])
        };
        answer(&mut scheduler, "a", &odd, at(ms));
        assert_eq!(start_all(&mut scheduler, at(ms)), Vec::new(), "at {ms} ms");
    }
    assert_eq!(scheduler.counts().unreadable_rows, 3);
    for ms in [3_000, 3_100] {
        answer(&mut scheduler, "a", &report(at(ms), &[]), at(ms));
    }
    assert_eq!(start_all(&mut scheduler, at(3_100)).len(), 1, "missing");
}

/// An end that cannot be read is acknowledged with a later one, so that the worker discards it.
#[test]
fn no_end_is_acknowledged_beside_one_that_cannot_be_read() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, 2, now);
    let started = start_all(&mut scheduler, now);
    let (task, run) = started[0];
    let odd = worker_state::Report {
        ended: vec![worker_state::EndedRun {
            number: 2,
            task,
            run,
            outcome: worker_state::Outcome::Done,
            checkpoint: None,
        }],
        unreadable_ends: 1,
        ..report(at(1_100), &[])
    };
    answer(&mut scheduler, "a", &odd, at(1_100));
    commit(&mut scheduler);
    let poll = scheduler.next_poll(&worker("a"), at(1_110));
    assert_eq!(poll.map(|poll| poll.acknowledged), Some(0));
    assert_eq!(start_all(&mut scheduler, at(1_110)), Vec::new());
    let whole = worker_state::Report {
        unreadable_ends: 0,
        ..odd
    };
    answer(&mut scheduler, "a", &whole, at(1_200));
    commit(&mut scheduler);
    let poll = scheduler.next_poll(&worker("a"), at(1_210));
    assert_eq!(poll.map(|poll| poll.acknowledged), Some(2));
    assert_eq!(scheduler.counts().done, 1, "the end was applied twice");
}

/// Machines that a list may show unreadably are taken for gone, or those that it lacks are kept.
#[test]
fn machines_are_kept_only_while_an_entry_that_cannot_be_read_may_be_theirs() {
    let machine = |name: &str| pools::Machine {
        vm: id::Vm::new(name),
        pool: id::Service::new("s"),
        state: pools::State::Up,
        data_centre: id::DataCentre::new("z"),
        rack: None,
        kind: String::new(),
        size: Resources::default(),
        worker: Some(worker(name)),
    };
    let before = [machine("a"), machine("b"), machine("c")];
    let kept = |unreadable: &pools::Unreadable| {
        let mut list = vec![machine("a")];
        unreadable.keep_from(&before, &mut list);
        let names = list.iter().map(|machine| machine.vm.to_string());
        names.collect::<Vec<_>>().join(" ")
    };
    let mut unreadable = pools::Unreadable::default();
    assert_eq!(kept(&unreadable), "a");
    unreadable.add(Some(id::Vm::new("b")));
    unreadable.add(Some(id::Vm::new("x")));
    assert_eq!(kept(&unreadable), "a b");
    unreadable.add(None);
    assert_eq!(kept(&unreadable), "a b c");
}

/// Tasks of the previous leader are started again although a worker whose row cannot be read may run them.
#[test]
fn recovered_tasks_wait_for_a_worker_whose_row_cannot_be_read() {
    let now = at(1_000);
    let recovered = RecoveredState {
        accepted: vec![(JobId(1), accepted(vec![step(1, &[])], 3))],
        workers: vec![(worker("odd"), record::WorkerRow::unreadable())],
        ..RecoveredState::default()
    };
    let mut scheduler = Scheduler::new(settings(), 1, config(), recovered, now);
    scheduler.worker_listed(listing("a"), now);
    commit(&mut scheduler);
    answer(&mut scheduler, "a", &report(now, &[]), now);
    assert_eq!(start_all(&mut scheduler, now), Vec::new());
    let unlapsed = at(5_000);
    answer(&mut scheduler, "a", &report(unlapsed, &[]), unlapsed);
    assert_eq!(start_all(&mut scheduler, unlapsed), Vec::new());
    let lapsed = at(6_000);
    scheduler.tick(lapsed, lapsed.as_ms());
    assert_eq!(start_all(&mut scheduler, lapsed).len(), 1);
}
