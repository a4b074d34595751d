//! Workers whose capacity shrinks and grows while they run, and the capacity of runs that are being stopped.

use proptest::prelude::*;
use wasabiloft::batch::scheduler::{Output, RecoveredState, Scheduler, StartOutcome};
use wasabiloft::batch::{JobId, TaskId, pools, record, spec, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::fake_workers::{Faults, Simulation, accepted, config, listing, settings, step};
use crate::fixed_seed;

/// Number of tasks of one core that fit on a worker of full size.
const FULL: usize = 4;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Returns a worker's registry entry with a capacity of some cores.
fn listing_of(worker: &str, cores: u64) -> worker_state::Listing {
    let mut entry = listing(worker);
    entry.size.cpu_milli = cores * 1_000;
    entry
}

fn commit(scheduler: &mut Scheduler) {
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
}

/// Returns a worker's report of runs with their numbers, and of ends.
fn report(
    now: Instant,
    running: &[(TaskId, u32)],
    ended: Vec<worker_state::EndedRun>,
) -> worker_state::Report {
    let running = running.iter().map(|&(task, run)| worker_state::Run {
        task,
        run,
        checkpoint: None,
        percent: 50,
        usage: 0,
    });
    worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: now.as_ms(),
        started_unix_ms: Some(1),
        running: running.collect(),
        ended,
    }
}

fn end(
    number: u64,
    task: TaskId,
    run: u32,
    outcome: worker_state::Outcome,
) -> worker_state::EndedRun {
    worker_state::EndedRun {
        number,
        task,
        run,
        outcome,
        checkpoint: None,
    }
}

fn answer(
    scheduler: &mut Scheduler,
    worker: &str,
    now: Instant,
    running: &[(TaskId, u32)],
    ended: Vec<worker_state::EndedRun>,
) {
    let report = report(now, running, ended);
    let sent_at = at(now.as_ms() - 1);
    scheduler.poll_answered(&id::Worker::new(worker), &report, sent_at, now, now.as_ms());
}

/// Returns a scheduler that has heard from some workers of full size.
fn scheduler_with(workers: &[&str], now: Instant) -> Scheduler {
    let recovered = RecoveredState::default();
    let mut scheduler = Scheduler::new(settings(), 1, config(), recovered, now);
    for worker in workers {
        scheduler.worker_listed(listing(worker), now);
    }
    commit(&mut scheduler);
    for worker in workers {
        answer(&mut scheduler, worker, now, &[], Vec::new());
    }
    scheduler
}

/// Plans, lets all starts succeed, and returns them with their workers.
fn start_all(scheduler: &mut Scheduler, now: Instant) -> Vec<(TaskId, u32, String)> {
    scheduler.plan(now, now.as_ms());
    let mut started = Vec::new();
    for output in scheduler.take_outputs() {
        if let Output::Start(start) = output {
            let outcome = StartOutcome::Started;
            scheduler.start_answered(&start.worker, start.task, start.run, outcome, now);
            let worker = start.worker.as_str().to_owned();
            started.push((start.task, start.run, worker));
        }
    }
    started
}

fn runs(started: &[(TaskId, u32, String)]) -> Vec<(TaskId, u32)> {
    started.iter().map(|(task, run, _)| (*task, *run)).collect()
}

fn submit(scheduler: &mut Scheduler, id: u64, steps: Vec<spec::Step>, now: Instant) {
    scheduler.job_accepted(JobId(id), accepted(steps, 3), now);
}

/// A worker that shrinks keeps its size of before in the scheduler and is started over its capacity.
#[test]
fn a_shrunk_worker_takes_only_what_its_new_size_holds() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    scheduler.worker_listed(listing_of("a", 1), now);
    submit(&mut scheduler, 1, vec![step(3, &[])], now);
    assert_eq!(start_all(&mut scheduler, now).len(), 1);
}

/// The use of a worker exceeds its size, and the difference counts as free.
#[test]
fn a_worker_below_its_use_takes_nothing_until_enough_has_ended() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, vec![step(8, &[])], now);
    let started = runs(&start_all(&mut scheduler, now));
    assert_eq!(started.len(), FULL);
    scheduler.worker_listed(listing_of("a", 2), now);
    for ends in 1..=2 {
        let ended = started[..ends].iter().zip(1..);
        let ended =
            ended.map(|(&(task, run), number)| end(number, task, run, worker_state::Outcome::Done));
        answer(&mut scheduler, "a", now, &started[ends..], ended.collect());
        assert_eq!(
            start_all(&mut scheduler, now),
            Vec::new(),
            "after {ends} ends"
        );
    }
    let ended = started[..3].iter().zip(1..);
    let ended =
        ended.map(|(&(task, run), number)| end(number, task, run, worker_state::Outcome::Done));
    answer(&mut scheduler, "a", now, &started[3..], ended.collect());
    assert_eq!(start_all(&mut scheduler, now).len(), 1, "after 3 ends");
}

/// Tasks wait for ever for a worker that has grown back, as nothing else changes on it.
#[test]
fn a_worker_that_has_grown_again_takes_tasks_at_once() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    scheduler.worker_listed(listing_of("a", 0), now);
    submit(&mut scheduler, 1, vec![step(8, &[])], now);
    assert_eq!(start_all(&mut scheduler, now), Vec::new());
    scheduler.worker_listed(listing("a"), now);
    assert_eq!(start_all(&mut scheduler, now).len(), FULL);
}

/// A gang's placement computes with the free capacity of workers that use more than they have.
#[test]
fn a_gang_avoids_workers_below_their_use() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a", "b"], now);
    submit(&mut scheduler, 1, vec![step(3, &[])], now);
    let started = start_all(&mut scheduler, now);
    let full = started[0].2.clone();
    assert!(started.iter().all(|(_, _, worker)| *worker == full));
    scheduler.worker_listed(listing_of(&full, 2), now);
    let gang = spec::Step {
        gang: true,
        same_rack: true,
        ..step(2, &[])
    };
    submit(&mut scheduler, 2, vec![gang], now);
    let members = start_all(&mut scheduler, now);
    assert_eq!(members.len(), 2);
    assert!(
        members.iter().all(|(_, _, worker)| *worker != full),
        "{members:?}"
    );
}

/// Memory shrinks while processors stay.
#[test]
fn shrunk_memory_counts_too() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    let mut entry = listing("a");
    entry.size.memory_mib = 2_500;
    scheduler.worker_listed(entry, now);
    submit(&mut scheduler, 1, vec![step(4, &[])], now);
    assert_eq!(start_all(&mut scheduler, now).len(), 2);
}

/// A long-running task is evicted from a draining worker although the only other worker has shrunk.
#[test]
fn no_task_is_evicted_for_the_room_that_a_shrunk_worker_lost() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a", "b"], now);
    let lasting = spec::Step {
        long_running: true,
        ..step(1, &[])
    };
    submit(&mut scheduler, 1, vec![lasting], now);
    let started = start_all(&mut scheduler, now);
    let (from, to) = match started[0].2.as_str() {
        "a" => ("a", "b"),
        _ => ("b", "a"),
    };
    answer(&mut scheduler, from, now, &runs(&started), Vec::new());
    scheduler.worker_listed(listing_of(to, 0), now);
    scheduler.set_draining(&id::Worker::new(from), true);
    scheduler.evict_long_running(now);
    let is_stop = |output: &Output| matches!(output, Output::Stop { .. });
    assert!(!scheduler.take_outputs().iter().any(is_stop));
    scheduler.worker_listed(listing(to), now);
    scheduler.evict_long_running(now);
    assert!(scheduler.take_outputs().iter().any(is_stop));
}

/// The room of a run is given away when its stop is acknowledged, before its end is listed.
#[test]
fn a_run_that_is_being_stopped_keeps_its_room_until_its_end_is_listed() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, vec![step(4, &[])], now);
    let started = runs(&start_all(&mut scheduler, now));
    assert_eq!(started.len(), FULL);
    submit(&mut scheduler, 2, vec![step(4, &[])], now);
    scheduler.job_cancelled(JobId(1), now, now.as_ms());
    for &(task, run) in &started {
        scheduler.stop_answered(&id::Worker::new("a"), task, run, now);
    }
    let later = at(1_100);
    answer(&mut scheduler, "a", later, &started, Vec::new());
    assert_eq!(start_all(&mut scheduler, later), Vec::new());
    let ended = started.iter().zip(1..);
    let ended =
        ended.map(|(&(task, run), number)| end(number, task, run, worker_state::Outcome::Stopped));
    answer(&mut scheduler, "a", later, &[], ended.collect());
    assert_eq!(start_all(&mut scheduler, later).len(), FULL);
}

/// Returns a scheduler of the next epoch, which recovers job 1 as cancelled and job 2 as accepted, and knows worker `a`.
fn successor_after_cancel(now: Instant) -> Scheduler {
    let job = accepted(vec![step(4, &[])], 3);
    let row = record::WorkerRow::new(listing("a").service);
    let recovered = RecoveredState {
        accepted: vec![(JobId(1), job.clone()), (JobId(2), job)],
        cancelled: vec![JobId(1)],
        workers: vec![(id::Worker::new("a"), row)],
        ..RecoveredState::default()
    };
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    scheduler.worker_listed(listing("a"), now);
    commit(&mut scheduler);
    scheduler
}

/// A new leader stops the runs of a job that is over, and starts other tasks over the worker's capacity meanwhile.
#[test]
fn runs_that_a_new_leader_stops_keep_their_room_until_their_end_is_listed() {
    let now = at(1_000);
    let mut scheduler = successor_after_cancel(now);
    let left: Vec<(TaskId, u32)> = (0..4)
        .map(|index| {
            let task = TaskId {
                job: JobId(1),
                occurrence: 0,
                step: 0,
                index,
            };
            (task, 1)
        })
        .collect();
    answer(&mut scheduler, "a", now, &left, Vec::new());
    assert_eq!(start_all(&mut scheduler, now), Vec::new());
    let later = at(1_200);
    let ended = vec![end(1, left[0].0, 1, worker_state::Outcome::Stopped)];
    answer(&mut scheduler, "a", later, &left[1..], ended);
    assert_eq!(start_all(&mut scheduler, later).len(), 1);
}

/// A new leader starts tasks beside runs whose job it does not know yet, and whose needs it therefore does not know.
#[test]
fn a_worker_with_runs_of_unknown_jobs_takes_no_tasks() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 2, vec![step(4, &[])], now);
    let unknown = TaskId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    answer(&mut scheduler, "a", now, &[(unknown, 1)], Vec::new());
    assert_eq!(start_all(&mut scheduler, now), Vec::new());
    submit(&mut scheduler, 1, vec![step(1, &[])], now);
    answer(&mut scheduler, "a", now, &[(unknown, 1)], Vec::new());
    assert_eq!(start_all(&mut scheduler, now).len(), FULL - 1);
}

/// Returns the fleet's machines, of which the first has some cores and all others 16.
fn fleet(first_cores: u64) -> Vec<pools::Machine> {
    let machine = |number: u64| pools::Machine {
        vm: id::Vm::new(&format!("m{number}")),
        pool: listing("a").service,
        state: pools::State::Up,
        data_centre: id::DataCentre::new("andes"),
        rack: None,
        kind: "a".into(),
        size: Resources {
            cpu_milli: if number == 0 { first_cores } else { 16 } * 1_000,
            memory_mib: 32_000,
            accelerators: 0,
        },
        worker: None,
    };
    (0..5).map(machine).collect()
}

/// One machine shrinks to a fraction of a core, and every pool asks for hundreds of machines.
#[test]
fn a_shrunk_machine_leaves_the_demand_on_the_pools_as_it_is() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a"], now);
    submit(&mut scheduler, 1, vec![step(8, &[])], now);
    let demands = |cores: u64| {
        let size = pools::reference_size(&fleet(cores)).expect("machines");
        scheduler.demands(&size, now, now.as_ms())
    };
    assert_eq!(demands(0), demands(16));
    assert_eq!(pools::reference_size(&[]), None);
}

/// The machines of a pool shrink to nothing, and its tasks wait although other machines are off: the shrunk machines
/// count as whole ones.
#[test]
fn a_pool_whose_machines_have_shrunk_asks_for_more() {
    let now = at(1_000);
    let mut scheduler = scheduler_with(&["a", "b"], now);
    submit(&mut scheduler, 1, vec![step(2, &[])], now);
    let service = listing("a").service;
    let need = |scheduler: &Scheduler| {
        let demand = scheduler.demands(&listing("a").size, now, 0)[&service];
        let mut forecast = pools::Forecast::new(now);
        forecast.target(&service, &demand, 2, now).need
    };
    assert_eq!(need(&scheduler), 2);
    scheduler.worker_listed(listing_of("a", 0), now);
    assert_eq!(need(&scheduler), 3, "one of two machines has shrunk");
    scheduler.worker_listed(listing_of("b", 0), now);
    assert_eq!(need(&scheduler), 4, "both machines have shrunk");
    scheduler.worker_listed(listing("a"), now);
    scheduler.worker_listed(listing("b"), now);
    assert_eq!(need(&scheduler), 2, "both have grown again");
}

/// Number of jobs in a randomised run.
const JOBS: u64 = 16;

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Workers that don't guard their capacity are started over it while they shrink, stops take their time, and nodes
    /// take over.
    #[test]
    fn unguarded_capacity_is_never_exceeded(seed in any::<u64>()) {
        let faults = Faults {
            late: 40,
            lost: 40,
            partition: 4,
            crash: 3,
            takeover: 4,
            resize: 30,
            stop_ms: 200,
        };
        let mut sim = Simulation::new(4, faults, seed);
        sim.run(300);
        for id in 0..JOBS {
            sim.submit(id, accepted(vec![step(8, &[]), step(4, &[0])], 6));
            sim.run(300);
            if id % 2 == 1 {
                sim.cancel(id - 1);
            }
        }
        sim.run(10_000);
        sim.end_faults();
        sim.run(30_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert!(sim.started > 0);
        let open: Vec<u64> = (0..JOBS)
            .filter(|id| !sim.state(*id).is_some_and(record::State::is_final))
            .collect();
        prop_assert_eq!(open, Vec::<u64>::new());
    }
}
