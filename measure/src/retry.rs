//! `measure retry`: attempts per request while endpoints fail, and in a storm of repeats.

use std::ffi;

use lexopt::ValueExt;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use serde::Serialize;
use wasabiloft::clock;
use wasabiloft::retry;
use wasabiloft::retry::budget;
use wasabiloft::verdict;

const USAGE: &str = "\
Runs idempotent requests against endpoints that fail, with the retry budget and with naive retries.

Usage:
    measure retry [options]

Options:
    --seed <n>           Seed (default: 1)
    --requests <n>       First attempts of callers (default: 100000)
    --failing <percent>  Endpoints that fail every request (default: 30)
    --storm <n>          Times that a caller repeats a failed request at once (default: 0)
    -h, --help           Show this text";

/// Endpoints of the service.
const ENDPOINTS: usize = 10;
/// Time that an attempt takes, in milliseconds.
const ATTEMPT_MS: u64 = 20;
/// Deadline of a request, in milliseconds from its arrival.
const DEADLINE_MS: u64 = 1_000;

#[derive(Debug)]
struct Args {
    seed: u64,
    requests: u64,
    failing_percent: usize,
    storm: u32,
}

/// How failed attempts are followed up.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// By [`retry::Attempts`].
    Budgeted,
    /// Three more attempts at once, whatever failed.
    Naive,
}

/// What one policy showed.
#[derive(Debug, Default, Serialize)]
struct Outcome {
    requests: u64,
    attempts_per_request: f64,
    answered_part: f64,
    refused_for_budget_part: f64,
}

#[derive(Debug, Serialize)]
struct Summary {
    seed: u64,
    failing_percent: usize,
    storm: u32,
    budgeted: Outcome,
    naive: Outcome,
    attempts_budgeted_to_naive: f64,
}

/// Runs the command.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), lexopt::Error> {
    let Some(args) = parse(argv)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let budgeted = measure(&args, Policy::Budgeted);
    let naive = measure(&args, Policy::Naive);
    let summary = Summary {
        seed: args.seed,
        failing_percent: args.failing_percent,
        storm: args.storm,
        attempts_budgeted_to_naive: budgeted.attempts_per_request / naive.attempts_per_request,
        budgeted,
        naive,
    };
    let text = serde_json::to_string(&summary).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}

fn parse(argv: Vec<ffi::OsString>) -> Result<Option<Args>, lexopt::Error> {
    let mut args = Args {
        seed: 1,
        requests: 100_000,
        failing_percent: 30,
        storm: 0,
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("requests") => args.requests = parser.value()?.parse()?,
            lexopt::Arg::Long("failing") => args.failing_percent = parser.value()?.parse()?,
            lexopt::Arg::Long("storm") => args.storm = parser.value()?.parse()?,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(args))
}

fn measure(args: &Args, policy: Policy) -> Outcome {
    let mut rng = rngs::SmallRng::seed_from_u64(args.seed);
    let mut budget = budget::Budget::default();
    let failing = ENDPOINTS * args.failing_percent / 100;
    let mut requests = 0;
    let mut attempts = 0;
    let mut answered = 0;
    let mut refused_for_budget = 0;
    for _ in 0..args.requests {
        for _ in 0..=args.storm {
            requests += 1;
            let (tried, ended) = request(policy, failing, &mut budget, &mut rng);
            attempts += u64::from(tried);
            match ended {
                Ok(()) => {
                    answered += 1;
                    break;
                }
                Err(verdict::Reason::RetryBudgetSpent) => refused_for_budget += 1,
                Err(_) => {}
            }
        }
    }
    Outcome {
        requests,
        attempts_per_request: ratio(attempts, requests),
        answered_part: ratio(answered, requests),
        refused_for_budget_part: ratio(refused_for_budget, requests),
    }
}

/// One request; returns the attempts made and how it ended.
fn request<R>(
    policy: Policy,
    failing: usize,
    budget: &mut budget::Budget,
    rng: &mut R,
) -> (u32, Result<(), verdict::Reason>)
where
    R: Rng,
{
    let spec = retry::Spec {
        idempotent: true,
        deadline: clock::Instant::from_ms(DEADLINE_MS),
    };
    let mut attempts = retry::Attempts::new(spec, budget);
    let mut now = clock::Instant::ZERO;
    let mut avoid = None;
    loop {
        attempts.start();
        now = now.after_ms(ATTEMPT_MS);
        let endpoint = choose(avoid, rng);
        if endpoint >= failing {
            return (attempts.started(), Ok(()));
        }
        avoid = Some(endpoint);
        let failure = retry::Failure {
            progress: retry::Progress::MaybeSent,
            reason: verdict::Reason::ConnectionLost,
        };
        match policy {
            Policy::Budgeted => match attempts.fail(now, failure, budget) {
                retry::Step::Retry => {}
                retry::Step::Wait => return (attempts.started(), Err(failure.reason)),
                retry::Step::GiveUp(_, reason) => return (attempts.started(), Err(reason)),
            },
            Policy::Naive if attempts.started() < retry::ATTEMPTS_MAX => {}
            Policy::Naive => return (attempts.started(), Err(failure.reason)),
        }
    }
}

fn choose<R>(avoid: Option<usize>, rng: &mut R) -> usize
where
    R: Rng,
{
    loop {
        let endpoint = rng.random_range(0..ENDPOINTS);
        if Some(endpoint) != avoid {
            return endpoint;
        }
    }
}

fn ratio(count: u64, of: u64) -> f64 {
    count as f64 / of.max(1) as f64
}
