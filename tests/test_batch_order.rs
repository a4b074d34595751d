//! Scheduling order under insufficient capacity, rates of accounts, and weighted fair shares.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::batch::account_rates::Rates;
use wasabiloft::batch::order::{Candidate, Class, Order, PoolUse, Work};
use wasabiloft::batch::scheduler::{Output, RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, accounts, queue, record};
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::fake_workers::{self, Faults, Simulation};

/// Workers of the simulated pool; they run about 410 tasks a second.
const WORKERS: usize = 40;
/// Attempts of a task: failed runs must not fail jobs in these tests.
const ATTEMPTS: u32 = 20;
/// Interval at which the states of jobs are read, in milliseconds.
const CHECK_MS: u64 = 50;

fn account(number: usize) -> id::Account {
    id::Account::new(&format!("a{number:02}"))
}

/// Returns the fake workers' configuration with accounts of the given weights.
fn config(weights_milli: &[u64]) -> Arc<queue::Config> {
    let accounts = weights_milli.iter().enumerate().map(|(number, weight)| {
        let settings = accounts::Account {
            weight_milli: *weight,
            ..accounts::Account::default()
        };
        (account(number), settings)
    });
    let (accounts, _) = accounts::Accounts::new(accounts.collect(), Vec::new());
    Arc::new(queue::Config {
        accounts: Some(accounts),
        ..(*fake_workers::config()).clone()
    })
}

/// Returns a job of a chain of steps with the given numbers of tasks.
fn job(steps: &[u32], account: Option<id::Account>, now_ms: u64) -> record::Accepted {
    let steps = (0_u32..).zip(steps).map(|(number, tasks)| {
        let after: Vec<u32> = number.checked_sub(1).into_iter().collect();
        let mut step = fake_workers::step(*tasks, &after);
        step.estimate_ms = 500;
        step
    });
    record::Accepted {
        account,
        submitted_unix_ms: now_ms,
        row_version: 0,
        ..fake_workers::accepted(steps.collect(), ATTEMPTS)
    }
}

/// A job of a replay, with its outcome.
#[derive(Clone, Debug)]
struct Outcome {
    account: usize,
    submitted_ms: u64,
    objective_ms: u64,
    tasks: u32,
    done_ms: Option<u64>,
}

impl Outcome {
    fn in_time(&self) -> bool {
        self.done_ms.is_some_and(|done| done <= self.objective_ms)
    }

    /// Returns the time until the job was done, as a multiple of its objective.
    fn lateness(&self, now_ms: u64) -> f64 {
        let took_ms = self.done_ms.unwrap_or(now_ms) - self.submitted_ms;
        took_ms as f64 / (self.objective_ms - self.submitted_ms) as f64
    }
}

/// Replays arrivals for `for_ms`, and then up to `drain_ms` without any. `rate` gives the jobs a second of an account at
/// a time, `steps` draws a job of an account.
fn replay(
    sim: &mut Simulation,
    accounts: usize,
    seed: u64,
    (for_ms, drain_ms): (u64, u64),
    rate: impl Fn(usize, u64) -> f64,
    steps: impl Fn(&mut SmallRng, usize) -> Vec<u32>,
) -> Vec<Outcome> {
    // A generator for each account: one account's flood doesn't change what the others submit.
    let mut rngs: Vec<SmallRng> = (0..accounts)
        .map(|number| SmallRng::seed_from_u64(seed * 1_000 + number as u64))
        .collect();
    let mut due_ms = vec![0.0; accounts];
    let mut outcomes: BTreeMap<u64, Outcome> = BTreeMap::new();
    let mut open: Vec<u64> = Vec::new();
    let began_ms = sim.now_ms;
    while sim.now_ms < began_ms + for_ms + drain_ms {
        let at_ms = sim.now_ms - began_ms;
        for (number, rng) in rngs.iter_mut().enumerate() {
            while at_ms < for_ms && due_ms[number] <= at_ms as f64 {
                let gap: f64 = rng.random_range(0.5..1.5);
                due_ms[number] += 1_000.0 / rate(number, at_ms) * gap;
                let steps = steps(rng, number);
                // Ids are independent of the order of submission.
                let id = rng.random();
                let accepted = job(&steps, Some(account(number)), sim.now_ms);
                let path_ms = 500 * steps.len() as u64;
                let outcome = Outcome {
                    account: number,
                    submitted_ms: sim.now_ms,
                    objective_ms: sim.now_ms + path_ms * 1_600 / 1_000 + 600,
                    tasks: steps.iter().sum(),
                    done_ms: None,
                };
                outcomes.insert(id, outcome);
                open.push(id);
                sim.submit(id, accepted);
            }
        }
        sim.run(10);
        if !sim.now_ms.is_multiple_of(CHECK_MS) {
            continue;
        }
        open.retain(|id| {
            let is_done = sim.state(*id) == Some(record::State::Completed);
            if is_done && let Some(outcome) = outcomes.get_mut(id) {
                outcome.done_ms = Some(sim.now_ms);
            }
            !is_done
        });
        if at_ms >= for_ms && open.is_empty() {
            break;
        }
    }
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    outcomes.into_values().collect()
}

fn share_in_time<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let (mut count, mut in_time) = (0, 0);
    for outcome in outcomes {
        count += 1;
        in_time += u32::from(outcome.in_time());
    }
    f64::from(in_time) / f64::from(count.max(1))
}

/// Seeds of each replay.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time until the scheduler has polled all workers, in milliseconds.
const WARM_UP_MS: u64 = 300;
/// Accounts of the flood; the first one floods.
const ACCOUNTS: usize = 20;
/// The flood, as a multiple of the flooding account's usual rate.
const FLOOD: f64 = 6.6;
/// When the flood begins and ends, in milliseconds.
const FLOOD_MS: std::ops::Range<u64> = 3_000..9_000;

/// Returns the usual jobs a second of an account: four for the first, fewer for the others.
fn usual(number: usize) -> f64 {
    match number {
        0 => 4.0,
        number => 0.35 + 0.05 * number as f64,
    }
}

/// Replays 20 accounts, of which the first floods if `floods`.
fn flood(floods: bool, flood_steps: &'static [u32], seed: u64) -> Vec<Outcome> {
    let weights: Vec<u64> = (0..ACCOUNTS)
        .map(|number| (usual(number) * 1_200.0) as u64)
        .collect();
    let mut sim = Simulation::with_config(WORKERS, Faults::default(), seed, config(&weights));
    sim.run(WARM_UP_MS);
    let rate = |number, at_ms| {
        let factor = if floods && number == 0 && FLOOD_MS.contains(&at_ms) {
            FLOOD
        } else {
            1.0
        };
        usual(number) * factor
    };
    let steps = |rng: &mut SmallRng, number| {
        if number == 0 {
            return flood_steps.to_vec();
        }
        match rng.random_range(0..10) {
            0 => vec![14, 14, 14],
            1..=4 => vec![8, 8],
            _ => vec![8],
        }
    };
    replay(&mut sim, ACCOUNTS, seed, (12_000, 20_000), rate, steps)
}

/// Guards against an account that makes the jobs of all others late by submitting more than its due.
#[test]
fn a_flood_of_one_account_delays_only_its_own_jobs() {
    let play = |floods| -> Vec<Outcome> {
        let seeds = SEEDS.map(|seed| flood(floods, &[12, 12], seed));
        seeds.into_iter().flatten().collect()
    };
    let (calm, flooded) = (play(false), play(true));
    for number in 1..ACCOUNTS {
        let of_account = |outcome: &&Outcome| outcome.account == number;
        let usual = share_in_time(calm.iter().filter(of_account));
        let served = share_in_time(flooded.iter().filter(of_account));
        assert!(
            served >= 0.9 * usual,
            "account {number}: {served:.3} of its jobs in time, {usual:.3} without the flood"
        );
    }
}

/// Guards against large jobs that are passed over for the smaller ones of a flood, whose objectives are nearer.
#[test]
fn the_largest_jobs_are_served_at_least_half_as_often_as_all() {
    let outcomes: Vec<Outcome> = SEEDS
        .into_iter()
        .flat_map(|seed| flood(true, &[24], seed))
        .collect();
    let others = || {
        outcomes.iter().filter(|outcome| {
            outcome.account > 0 && FLOOD_MS.contains(&(outcome.submitted_ms - WARM_UP_MS))
        })
    };
    let all = share_in_time(others());
    let largest = share_in_time(others().filter(|outcome| outcome.tasks > 16));
    assert!(
        largest >= 0.5 * all,
        "largest {largest:.3}, all {all:.3} in time"
    );
}

/// Guards against jobs that wait as long as another account's flood lasts, and against jobs beyond a rate that never get
/// their turn.
#[test]
fn nobody_is_starved_by_a_flood() {
    let outcomes: Vec<Outcome> = SEEDS
        .into_iter()
        .flat_map(|seed| flood(true, &[12, 12], seed))
        .collect();
    let longest = |is_flood: bool| {
        outcomes
            .iter()
            .filter(|outcome| (outcome.account == 0) == is_flood)
            .map(|outcome| outcome.lateness(u64::MAX / 2))
            .fold(0.0, f64::max)
    };
    // A job that is done later than three times its objective is worth nothing.
    assert!(longest(false) <= 3.0, "others: {:.2}", longest(false));
    assert!(longest(true) < 20.0, "flood: {:.2}", longest(true));
}

/// Guards against shares that follow the number of submissions where they should follow the weights.
#[test]
fn accounts_beyond_their_rates_share_a_full_pool_by_weight() {
    let weights = [1_000, 2_000, 4_000, 8_000];
    let mut sim = Simulation::with_config(WORKERS, Faults::default(), 1, config(&weights));
    sim.run(300);
    for id in 0..1_600_u64 {
        let number = usize::try_from(id % 4).unwrap_or(0);
        sim.submit(id, job(&[8], Some(account(number)), sim.now_ms));
    }
    // The jobs within the rates come first.
    sim.run(3_000);
    let mut used = [0; 4];
    for _ in 0..100 {
        sim.run(50);
        let ledger = sim.scheduler().ledger();
        for (number, used) in used.iter_mut().enumerate() {
            let usage = ledger.usage(&account(number));
            *used += usage.map_or(0, |usage| usage.total().cpu_milli);
        }
    }
    let total: u64 = used.iter().sum();
    for (weight, used) in weights.iter().zip(used) {
        let due = *weight as f64 / 15_000.0;
        let got = used as f64 / total as f64;
        // The tasks of half a job.
        let quantum = 4.0 / (WORKERS * 4) as f64;
        assert!(
            (got - due).abs() < quantum,
            "weight {weight} got {got:.3} of the pool, due {due:.3}"
        );
    }
}

/// Guards against a new leader for which all recovered jobs are within their rate, or whose marks differ.
#[test]
fn a_takeover_keeps_the_marks_of_recovered_jobs() {
    let mut sim = Simulation::with_config(4, Faults::default(), 1, config(&[2_000, 5_000]));
    sim.run(300);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut ids: Vec<u64> = Vec::new();
    for _ in 0..120 {
        sim.run(50);
        for number in 0..2 {
            let id = rng.random();
            sim.submit(id, job(&[1], Some(account(number)), sim.now_ms));
            ids.push(id);
        }
    }
    sim.run(2_000);
    let marks = |sim: &mut Simulation| -> Vec<Option<bool>> {
        let scheduler = sim.scheduler();
        ids.iter()
            .map(|id| scheduler.is_beyond_rate(JobId(*id)))
            .collect()
    };
    let before = marks(&mut sim);
    let beyond = before.iter().filter(|mark| **mark == Some(true)).count();
    // The buckets hold 10 and 25 jobs and get 11.9 and 29.75 more in the 5.95 s between the first and the last job.
    assert_eq!(beyond, 240 - 21 - 54);
    sim.take_over(false);
    sim.run(1_000);
    assert_eq!(marks(&mut sim), before);
}

/// Guards against machines that are taken from other pools, or powered on, for work beyond a rate.
#[test]
fn demand_beyond_a_rate_counts_as_late() {
    let config = config(&[1_000]);
    let mut scheduler = Scheduler::new(
        fake_workers::settings(),
        1,
        config,
        RecoveredState::default(),
        wasabiloft::clock::Instant::ZERO,
    );
    // The lines on the configured accounts.
    scheduler.take_outputs();
    let now = wasabiloft::clock::Instant::from_ms(10);
    for id in 0..8 {
        scheduler.job_accepted(JobId(id), job(&[4], Some(account(0)), 10), now);
    }
    scheduler.plan(now, 10);
    let size = fake_workers::listing("w").size;
    let demands = scheduler.demands(&size, now, 10);
    let demand = demands[&id::Service::new(fake_workers::SERVICE)];
    assert_eq!(
        (demand.waiting, demand.late, demand.jobs),
        (5_000, 3_000, 5)
    );
    let logs: Vec<String> = scheduler
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            Output::Log(line) if line.starts_with("account ") => Some(line),
            _ => None,
        })
        .collect();
    assert_eq!(
        logs,
        ["account beyond rate account=a00 weight_milli=1000 window_ms=5000 jobs_beyond=3"]
    );
}

fn candidate(job: u64, class: Class, objective_unix_ms: u64, tasks: u64) -> Candidate {
    Candidate {
        class,
        account: None,
        beyond_rate: false,
        rank: 0,
        objective_unix_ms,
        span_ms: 1_000,
        work_left: Work {
            cpu_milli_ms: tasks * 1_000 * 1_000,
            memory_mib_ms: 0,
        },
        need_min: Resources::default(),
        job: JobId(job),
        occurrence: 0,
    }
}

const CAPACITY: Resources = Resources {
    cpu_milli: 100_000,
    memory_mib: 1_000_000,
    accelerators: 0,
};

fn turns(candidates: &[Candidate], users: Vec<PoolUse>) -> Vec<u64> {
    let mut order = Order::new(candidates, CAPACITY, users);
    std::iter::from_fn(|| order.next_turn().map(|turn| turn.job.0)).collect()
}

/// Guards against a late job that smaller and newer ones overtake for ever.
#[test]
fn smaller_jobs_overtake_a_late_job_only_for_a_limited_time() {
    let mut candidates: Vec<Candidate> = (1..=20)
        .map(|job| candidate(job, Class::Late, 10_000, 1))
        .collect();
    candidates.push(candidate(0, Class::Late, 10_000, 1_000));
    assert_eq!(turns(&candidates, Vec::new()).last(), Some(&0));
    for newer in &mut candidates[..20] {
        newer.objective_unix_ms += 8_001;
    }
    assert_eq!(turns(&candidates, Vec::new()).first(), Some(&0));
}

/// Guards against jobs beyond a rate that go before jobs within one, and against shares that are not updated while a
/// round places tasks.
#[test]
fn the_account_with_the_smallest_share_is_next() {
    let users = |used: [u64; 2]| {
        let pool_use = |(number, used): (usize, &u64)| PoolUse {
            account: Some(account(number)),
            used: Resources {
                cpu_milli: *used,
                ..Resources::default()
            },
            weight_milli: 1_000,
        };
        used.iter().enumerate().map(pool_use).collect::<Vec<_>>()
    };
    let of = |number: usize, job, class, beyond_rate| Candidate {
        account: Some(account(number)),
        beyond_rate,
        ..candidate(job, class, 1_000 + job, 16)
    };
    let candidates = [
        of(0, 1, Class::InTime, true),
        of(0, 2, Class::InTime, false),
        of(0, 3, Class::InTime, false),
        of(1, 4, Class::InTime, false),
        of(1, 5, Class::Late, false),
    ];
    assert_eq!(turns(&candidates, users([0, 50])), [2, 3, 4, 5, 1]);
    assert_eq!(turns(&candidates, users([50, 0])), [4, 2, 3, 5, 1]);
    let mut order = Order::new(&candidates, CAPACITY, users([0, 3_500]));
    let need = Resources {
        cpu_milli: 1_000,
        ..Resources::default()
    };
    assert_eq!(order.next_turn().map(|turn| turn.job.0), Some(2));
    let placed = (0..16).take_while(|_| !order.placed(&need)).count();
    assert_eq!(placed, 3);
    let turn = order.next_turn().expect("another candidate");
    assert_eq!(
        turn.to_string(),
        "class=in-time account=a01 share_milli=35 weight_milli=1000 rate=within"
    );
    // The first job's turn was broken off, so it comes again.
    assert_eq!(order.next_turn().map(|turn| turn.job.0), Some(2));
}

/// Guards against buckets that a clock that is ahead, or a late arrival, fills or empties for a long time.
#[test]
fn rates_count_jobs_by_their_submission() {
    let mut rates = Rates::new(5_000);
    let name = account(0);
    let mut mark = |at_ms| rates.is_beyond(&name, 2_000, at_ms);
    let marks: Vec<bool> = (0..12).map(|_| mark(1_000)).collect();
    assert_eq!(marks.iter().filter(|beyond| **beyond).count(), 2);
    assert!(!mark(1_500) && mark(1_500));
    // An earlier submission refills nothing.
    assert!(mark(1_200) && !mark(2_000));
    assert_eq!(rates.changes(2_000).len(), 1);
    assert!(rates.changes(6_499).is_empty());
    let left = rates.changes(6_500);
    assert!(!left[0].beyond && left[0].jobs_beyond == 4, "{left:?}");
}
