//! The jobs duty before a world that fails in every way.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::clock;
use wasabiloft::document::Urgency;
use wasabiloft::id;
use wasabiloft::job::{Reason, Row, Spec, State, row};
use wasabiloft::platform;
use wasabiloft_standins::jobs::{
    Faults, Flow, Protection, Settings, Submission, Violation, Workload, World,
};

const MINUTE_MS: u64 = clock::MINUTE_MS;
const SECOND_MS: u64 = clock::SECOND_MS;

fn submission(key: &str) -> Submission {
    let size = platform::Resources {
        cpu_milli: 1_000,
        memory_mib: 1_024,
        accelerators: 0,
    };
    Submission {
        spec: Spec {
            team: Settings::team(0),
            key: key.to_owned(),
            class: "class".to_owned(),
            urgency: Urgency::Batch,
            idempotent: true,
            checkpointable: true,
            declared: size,
            declared_run_ms: MINUTE_MS,
            command: String::new(),
        },
        real: size,
        run_ms: MINUTE_MS,
        fails: false,
    }
}

fn flow(urgency: Urgency, until_ms: u64, per_s: f64, run_ms: u64) -> Flow {
    Flow {
        urgency,
        from_ms: SECOND_MS,
        until_ms,
        per_s,
        run_ms,
        displaceable: 0.6,
        team: None,
    }
}

fn faults(until_ms: u64) -> Faults {
    Faults {
        lost_reply: 0.05,
        crash_every_ms: 2 * MINUTE_MS,
        pause_every_ms: 3 * MINUTE_MS,
        reboot_every_ms: 2 * MINUTE_MS,
        worker_pause_every_ms: 2 * MINUTE_MS,
        bad_workers: 2,
        outage_ms: Some((4 * MINUTE_MS, 5 * MINUTE_MS)),
        until_ms,
    }
}

/// A loaded world with all faults on.
fn failing_world(seed: u64, protection: Protection) -> World {
    let until_ms = 8 * MINUTE_MS;
    let mut settings = Settings::new(seed, 16);
    settings.faults = faults(until_ms);
    settings.protection = protection;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut workload = Workload::new(&mut rng, &settings, 2, 10.0);
    let mut world = World::new(settings);
    let batch = flow(Urgency::Batch, until_ms, 2.0, 2 * MINUTE_MS);
    let urgent = flow(Urgency::Urgent, until_ms, 1.0, 20 * SECOND_MS);
    workload.submit(&mut rng, &mut world, &batch);
    workload.submit(&mut rng, &mut world, &urgent);
    world
}

fn row_of(world: &World, job: &str) -> Row {
    let job = id::Job::from(job);
    let found = world.job_rows().find(|(known, _)| *known == job);
    found.expect("the job has a row").1
}

#[test]
fn nothing_runs_twice_and_nothing_vanishes_whatever_fails() {
    for seed in 1..=6 {
        let mut world = failing_world(seed, Protection::default());
        let run = world.run_until(14 * MINUTE_MS);
        assert_eq!(run, Ok(()), "seed {seed}");
        assert!(
            world.report().finished > 100,
            "seed {seed}: {:?}",
            world.states()
        );
        for (job, row) in world.job_rows() {
            assert_eq!(row.history[0].reason, Reason::Submitted, "{job}");
        }
    }
}

/// The first violation over some seeds.
fn first_violation(protection: Protection) -> Option<Violation> {
    (1..=12).find_map(|seed| {
        let mut world = failing_world(seed, protection);
        world.run_until(9 * MINUTE_MS).err()
    })
}

#[test]
fn without_fences_two_holders_start_a_job_twice() {
    let violation = first_violation(Protection {
        epoch_fence: false,
        lease_check: false,
        row_versions: false,
        ..Protection::default()
    });
    assert!(violation.is_some());
}

#[test]
fn without_a_memory_of_operations_a_lost_reply_starts_a_job_twice() {
    let violation = first_violation(Protection {
        operation_memory: false,
        ..Protection::default()
    });
    assert!(violation.is_some());
}

#[test]
fn what_can_never_run_is_parked_at_once_with_what_would_fit() {
    let mut settings = Settings::new(1, 8);
    settings.accelerators = 2;
    let mut world = World::new(settings);
    let mut large = submission("large");
    large.spec.declared.memory_mib = 1_000_000;
    let mut accelerated = submission("accelerated");
    accelerated.spec.declared.accelerators = 3;
    let mut stranger = submission("stranger");
    stranger.spec.team = id::Team::from("nobody");
    for one in [large, accelerated, stranger] {
        world.submit_at(SECOND_MS, one);
    }
    world
        .run_until(10 * SECOND_MS)
        .expect("the invariants hold");
    let large = row_of(&world, "team-0:large");
    assert_eq!(large.reason(), Reason::NoWorkerLargeEnough);
    let State::Parked { fits: Some(fits) } = large.state else {
        panic!("{:?}", large.state);
    };
    assert!(fits.memory_mib > 100_000);
    assert_eq!(
        row_of(&world, "team-0:accelerated").reason(),
        Reason::NoAccelerator
    );
    assert_eq!(row_of(&world, "nobody:stranger").reason(), Reason::NoQuota);
}

#[test]
fn a_job_that_fails_everywhere_is_parked_and_no_worker_is_blamed_for_good() {
    let mut world = World::new(Settings::new(1, 16));
    let mut bad = submission("bad");
    bad.fails = true;
    world.submit_at(SECOND_MS, bad);
    for number in 0..40 {
        world.submit_at(2 * SECOND_MS, submission(&format!("good-{number}")));
    }
    world.run_until(6 * MINUTE_MS).expect("the invariants hold");
    assert_eq!(
        row_of(&world, "team-0:bad").reason(),
        Reason::FailsEverywhere
    );
    assert_eq!(world.report().finished, 40);
    assert_eq!(world.report().events.get("quarantined"), None);
}

#[test]
fn bad_workers_cost_few_tasks() {
    let mut settings = Settings::new(1, 16);
    settings.faults.bad_workers = 4;
    let mut world = World::new(settings);
    for number in 0..400 {
        let at_ms = SECOND_MS * (1 + number);
        world.submit_at(at_ms, submission(&format!("job-{number}")));
    }
    world
        .run_until(12 * MINUTE_MS)
        .expect("the invariants hold");
    let report = world.report();
    assert_eq!(report.finished, 400);
    assert!(
        report.failed_on_bad_workers <= 40,
        "{}",
        report.failed_on_bad_workers
    );
}

#[test]
fn a_wave_of_cancellations_ends_queued_starting_and_running_jobs() {
    let mut world = World::new(Settings::new(3, 16));
    let jobs: Vec<String> = (0..3_000).map(|number| format!("job-{number}")).collect();
    for (number, key) in jobs.iter().enumerate() {
        let mut one = submission(key);
        one.run_ms = 20 * MINUTE_MS;
        one.spec.idempotent = number % 2 == 0;
        world.submit_at(SECOND_MS + number as u64, one);
        let job = id::Job::from(format!("team-0:{key}"));
        world.cancel_at(4_500, &job);
    }
    world.run_until(4 * MINUTE_MS).expect("the invariants hold");
    let accepted = world.report().batch.jobs;
    assert!(accepted > 1_000);
    let cancelled = world
        .job_rows()
        .filter(|(_, row)| row.state == State::Ended(row::End::Cancelled))
        .count() as u64;
    assert_eq!(cancelled, accepted, "{:?}", world.states());
}

#[test]
fn an_ended_job_stays_until_its_owner_removes_it() {
    let mut world = World::new(Settings::new(1, 8));
    let mut one = submission("job");
    one.run_ms = 5 * SECOND_MS;
    world.submit_at(SECOND_MS, one.clone());
    world.run_until(2 * MINUTE_MS).expect("the invariants hold");
    assert_eq!(row_of(&world, "team-0:job").reason(), Reason::Finished);
    world.submit_at(2 * MINUTE_MS, one);
    world.run_until(3 * MINUTE_MS).expect("the invariants hold");
    assert_eq!(world.report().starts, 1);
    world.cancel_at(3 * MINUTE_MS, &id::Job::from("team-0:job"));
    world.run_until(4 * MINUTE_MS).expect("the invariants hold");
    assert_eq!(world.job_rows().count(), 0);
}

#[test]
fn maintenance_takes_jobs_off_by_checkpoint_and_loses_no_work() {
    let mut world = World::new(Settings::new(1, 8));
    for number in 0..60 {
        let mut one = submission(&format!("job-{number}"));
        one.run_ms = 6 * MINUTE_MS;
        world.submit_at(SECOND_MS, one);
    }
    for worker in 0..8 {
        world.maintain_at((2 + 2 * worker as u64) * MINUTE_MS, worker);
    }
    world
        .run_until(30 * MINUTE_MS)
        .expect("the invariants hold");
    let report = world.report();
    assert_eq!(report.vacated, 8);
    assert_eq!(report.finished, 60);
    assert!(report.lost_s < 1.0, "{}", report.lost_s);
}

#[test]
fn a_job_that_must_not_run_twice_is_waited_for() {
    let mut world = World::new(Settings::new(1, 4));
    for number in 0..8 {
        let mut one = submission(&format!("job-{number}"));
        one.spec.idempotent = false;
        one.run_ms = 8 * MINUTE_MS;
        world.submit_at(SECOND_MS, one);
    }
    for worker in 0..4 {
        world.maintain_at(MINUTE_MS, worker);
    }
    world.run_until(7 * MINUTE_MS).expect("the invariants hold");
    assert!(world.report().vacated < 4);
    world
        .run_until(12 * MINUTE_MS)
        .expect("the invariants hold");
    assert_eq!((world.report().vacated, world.report().finished), (4, 8));
}

#[test]
fn long_rebuilds_finish_under_a_steady_flow_of_urgent_work() {
    let settings = Settings::new(2, 8);
    let mut rng = SmallRng::seed_from_u64(2);
    let mut workload = Workload::new(&mut rng, &settings, 2, 3.0);
    let mut world = World::new(settings);
    for number in 0..6 {
        let mut one = submission(&format!("rebuild-{number}"));
        one.run_ms = 10 * MINUTE_MS;
        one.real.memory_mib = 8 * 1_024;
        world.submit_at(SECOND_MS, one);
    }
    let urgent = Flow {
        displaceable: 1.0,
        ..flow(Urgency::Urgent, 60 * MINUTE_MS, 8.0, 20 * SECOND_MS)
    };
    workload.submit(&mut rng, &mut world, &urgent);
    world
        .run_until(60 * MINUTE_MS)
        .expect("the invariants hold");
    for number in 0..6 {
        let row = row_of(&world, &format!("team-0:rebuild-{number}"));
        assert_eq!(row.reason(), Reason::Finished, "{number}: {row:?}");
    }
}

#[test]
fn urgent_work_starts_at_once_behind_a_flood_of_batch_work() {
    let settings = Settings::new(4, 16);
    let mut rng = SmallRng::seed_from_u64(4);
    let mut workload = Workload::new(&mut rng, &settings, 2, 10.0);
    let mut world = World::new(settings);
    let flood = Flow {
        displaceable: 1.0,
        ..flow(Urgency::Batch, 30 * SECOND_MS, 40.0, 10 * MINUTE_MS)
    };
    workload.submit(&mut rng, &mut world, &flood);
    let urgent = Flow {
        from_ms: 3 * MINUTE_MS,
        displaceable: 1.0,
        ..flow(Urgency::Urgent, 5 * MINUTE_MS, 1.0, 20 * SECOND_MS)
    };
    let count = workload.submit(&mut rng, &mut world, &urgent);
    world.run_until(6 * MINUTE_MS).expect("the invariants hold");
    let waits = world.report().urgent;
    assert_eq!((waits.jobs, waits.not_started), (count, 0));
    assert!(waits.max_ms < Some(5_800), "{waits:?}");
}
