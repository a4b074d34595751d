//! Schedules with more due occurrences than can run at a time, and jobs with the largest numbers that their fields hold.

use proptest::prelude::*;
use wasabiloft::batch::ranges::Ranges;
use wasabiloft::batch::{record, spec};
use wasabiloft::platform::Resources;

use crate::fake_workers::{Faults, Simulation, accepted, step};
use crate::fixed_seed;

const JOB: u64 = 1;
const SMALL_JOB: u64 = 2;

/// Returns a job whose occurrences are all due at once.
fn backlog(occurrences: u32, steps: Vec<spec::Step>) -> record::Accepted {
    let mut job = accepted(steps, 6);
    job.spec.schedule = Some(spec::Schedule {
        occurrences,
        first_unix_ms: 0,
        interval_ms: 0,
    });
    job
}

proptest! {
    #![proptest_config(fixed_seed(30))]

    /// Guards against occurrences that are done twice or never after a takeover, as only those that are under way have a
    /// state of their own.
    #[test]
    fn each_occurrence_of_a_backlog_is_done_once(seed in any::<u64>()) {
        let faults = Faults { late: 40, lost: 40, partition: 3, crash: 2, takeover: 4, ..Faults::default() };
        let mut sim = Simulation::new(6, faults, seed);
        sim.run(300);
        sim.submit(JOB, backlog(300, vec![step(2, &[]), step(1, &[0])]));
        sim.run(10_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        sim.end_faults();
        sim.run(60_000);
        prop_assert_eq!(sim.state(JOB), Some(record::State::Completed));
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    }

    /// Guards against numbers that overflow: a job with them ends each leader that reads it.
    #[test]
    fn the_largest_numbers_of_a_job_do_no_harm(
        jobs in prop::collection::vec(extreme(), 1..12),
        seed in any::<u64>(),
    ) {
        let mut sim = Simulation::new(3, Faults::default(), seed);
        sim.run(300);
        for (id, job) in (10..).zip(jobs) {
            prop_assume!(job.spec.check().is_ok());
            sim.submit(id, job);
        }
        sim.run(300);
        sim.take_over(false);
        sim.run(300);
        let (now, unix_ms) = (sim.now(), sim.now_ms);
        let size = Resources { cpu_milli: 4_000, memory_mib: 16_000, accelerators: 0 };
        let scheduler = sim.scheduler();
        scheduler.demands(&size, now, unix_ms);
        scheduler.earlier_arrivals(&size, unix_ms);
        scheduler.waiting_jobs("quotes");
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    }
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(1_000),
        Just(u64::MAX / 2),
        Just(u64::MAX)
    ]
}

fn extreme() -> impl Strategy<Value = record::Accepted> {
    let small = prop_oneof![Just(0_u32), Just(1), Just(u32::MAX)];
    let tasks = prop_oneof![Just(1_u32), Just(100), Just(spec::TASKS_MAX)];
    let schedule = (small.clone(), number(), number());
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let step = (tasks, number(), number(), small, number(), flags);
    (step, prop::option::of(schedule), number(), number()).prop_map(
        |(step, schedule, stretch_milli, target_ms)| {
            let (tasks, cpu_milli, memory_mib, accelerators, estimate_ms, flags) = step;
            let (gang, long_running, best_effort) = flags;
            let step = spec::Step {
                tasks,
                need: Resources {
                    cpu_milli,
                    memory_mib,
                    accelerators,
                },
                estimate_ms,
                gang,
                long_running,
                best_effort,
                ..spec::Step::default()
            };
            let mut job = accepted(vec![step], 6);
            job.queue.stretch_milli = stretch_milli;
            job.queue.target_ms = target_ms;
            job.spec.schedule =
                schedule.map(|(occurrences, first_unix_ms, interval_ms)| spec::Schedule {
                    occurrences: occurrences.max(1),
                    first_unix_ms,
                    interval_ms,
                });
            job
        },
    )
}

/// Guards against rows that grow with each occurrence that is done, all of which the next leader reads.
#[test]
fn the_rows_of_finished_occurrences_are_deleted() {
    let mut sim = Simulation::new(8, Faults::default(), 1);
    sim.run(300);
    sim.submit(JOB, backlog(2_000, vec![step(1, &[])]));
    let mut rows_max = 0;
    for second in 0..60 {
        sim.run(1_000);
        rows_max = rows_max.max(sim.progress_rows());
        if second % 10 == 9 {
            sim.take_over(false);
        }
        if sim.state(JOB) == Some(record::State::Completed) {
            break;
        }
    }
    assert_eq!(sim.state(JOB), Some(record::State::Completed));
    // 2,000 tasks would take 30 rows.
    assert!(rows_max <= 10, "{rows_max} rows");
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a schedule of which all occurrences are open at once, beside which nothing else starts.
#[test]
fn a_small_job_starts_in_time_beside_the_longest_schedule() {
    let mut sim = Simulation::new(2, Faults::default(), 1);
    sim.run(300);
    sim.submit(JOB, backlog(u32::MAX, vec![step(1, &[])]));
    sim.run(2_000);
    let small = record::Accepted {
        submitted_unix_ms: sim.now_ms,
        ..accepted(vec![step(1, &[])], 6)
    };
    sim.submit(SMALL_JOB, small);
    sim.run(2_000);
    assert_eq!(sim.state(SMALL_JOB), Some(record::State::Completed));
    assert_eq!(sim.state(JOB), Some(record::State::Running));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    #[test]
    fn ranges_hold_what_was_inserted(
        below in 0_u32..20,
        numbers in prop::collection::vec(prop_oneof![0_u32..60, u32::MAX - 3..=u32::MAX], 0..80),
    ) {
        let mut ranges = Ranges::below(below);
        let mut expected: std::collections::BTreeSet<u32> = (0..below).collect();
        for number in numbers {
            prop_assert_eq!(ranges.insert(number), expected.insert(number));
        }
        prop_assert_eq!(ranges.count(), expected.len() as u64);
        let first_missing = (0..).find(|number| !expected.contains(number));
        prop_assert_eq!(Some(ranges.first_missing()), first_missing);
        for number in (0..64).chain(u32::MAX - 4..=u32::MAX) {
            prop_assert_eq!(ranges.contains(number), expected.contains(&number));
            let last = (number..=u32::MAX).take_while(|next| expected.contains(next)).last();
            prop_assert_eq!(ranges.last_of(number), last);
        }
    }
}
