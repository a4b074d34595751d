//! The command `path`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::Full;
use serde::Serialize;
use tokio::task::JoinSet;
use wasabiloft::id;
use wasabiloft::platform;
use wasabiloft::verdict;
use wasabiloft_standins::client;
use wasabiloft_standins::endpoint;
use wasabiloft_standins::tally;

use crate::util;

const USAGE: &str = "\
Measures what an entry node adds to a request: the same requests go straight to endpoints and through the node,
by turns, and then from several callers at once. Prints one JSON object.

Usage:
    standin path [OPTIONS] --platform IP:PORT --entry IP:PORT --pool POOL --path /SERVICE/REST

The path must be one of a kind with the method GET.

Options:
    --requests N     Requests of each way for the latency; 20000 if not given.
    --callers N      Callers at once for the throughput; 32 if not given.
    --run-s N        For how long each way's throughput is measured; 5 if not given.
    -h, --help       Show this text.
";

/// Requests that are sent before the measurement, each way.
const WARM_UP_REQUESTS: u64 = 500;
/// Latencies above this are counted as this, in nanoseconds.
const LATENCY_MAX_NS: u64 = 10_000_000_000;

struct Args {
    platform: String,
    entry: String,
    pool: String,
    path: String,
    requests: u64,
    callers: u64,
    run_s: u64,
}

/// The result of a run.
#[derive(Debug, Serialize)]
struct Outcome {
    direct_p50_us: f64,
    direct_p99_us: f64,
    node_p50_us: f64,
    node_p99_us: f64,
    added_p50_us: f64,
    added_p99_us: f64,
    p50_ratio: f64,
    p99_ratio: f64,
    direct_per_s: f64,
    node_per_s: f64,
    throughput_ratio: f64,
    failed_total: u64,
}

/// A way to send requests.
#[derive(Clone, Debug)]
struct Way {
    client: client::Client,
    targets: Vec<SocketAddr>,
    path: String,
    through_node: bool,
}

impl Way {
    async fn send(&self, number: u64) -> bool {
        let index = usize::try_from(number).unwrap_or(0) % self.targets.len();
        let target = self.targets[index];
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{target}{}", self.path))
            .header(tally::REQUEST_ID_HEADER, number)
            .header(endpoint::SERVICE_TIME_HEADER, 0)
            .body(Full::<Bytes>::default());
        let Ok(request) = request else {
            return false;
        };
        let Ok(answer) = self.client.send(target, request).await else {
            return false;
        };
        let said = answer.headers().get(verdict::VERDICT_HEADER);
        answer.status().is_success() && (!self.through_node || said.is_some_and(|v| v == "ran"))
    }
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, String> {
    let Some(args) = parse(argv).map_err(util::words)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    if [&args.platform, &args.entry, &args.pool, &args.path]
        .iter()
        .any(|text| text.is_empty())
    {
        return Err(USAGE.to_owned());
    }
    let outcome = util::block_on(measure(&args))?;
    println!("{}", serde_json::to_string(&outcome).map_err(util::words)?);
    match outcome.failed_total {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::FAILURE),
    }
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, lexopt::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        platform: String::new(),
        entry: String::new(),
        pool: String::new(),
        path: String::new(),
        requests: 20_000,
        callers: 32,
        run_s: 5,
    };
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("platform") => args.platform = parser.value()?.string()?,
            Long("entry") => args.entry = parser.value()?.string()?,
            Long("pool") => args.pool = parser.value()?.string()?,
            Long("path") => args.path = parser.value()?.string()?,
            Long("requests") => args.requests = parser.value()?.parse()?,
            Long("callers") => args.callers = parser.value()?.parse()?,
            Long("run-s") => args.run_s = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(args))
}

async fn measure(args: &Args) -> Result<Outcome, String> {
    let client = client::Client::default();
    let direct = Way {
        targets: endpoints(&client, args).await?,
        client: client.clone(),
        path: args.path.clone(),
        through_node: false,
    };
    let node = Way {
        targets: vec![util::address(&args.entry)?],
        through_node: true,
        ..direct.clone()
    };
    let mut failed_total = 0;
    let (direct_ns, node_ns) = latencies(&direct, &node, args.requests, &mut failed_total).await?;
    let direct_per_s = throughput(&direct, args, &mut failed_total).await;
    let node_per_s = throughput(&node, args, &mut failed_total).await;
    let us = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    };
    let (direct_p50_us, direct_p99_us) = (us(&direct_ns, 0.5), us(&direct_ns, 0.99));
    let (node_p50_us, node_p99_us) = (us(&node_ns, 0.5), us(&node_ns, 0.99));
    Ok(Outcome {
        direct_p50_us,
        direct_p99_us,
        node_p50_us,
        node_p99_us,
        added_p50_us: node_p50_us - direct_p50_us,
        added_p99_us: node_p99_us - direct_p99_us,
        p50_ratio: node_p50_us / direct_p50_us,
        p99_ratio: node_p99_us / direct_p99_us,
        direct_per_s,
        node_per_s,
        throughput_ratio: node_per_s / direct_per_s,
        failed_total,
    })
}

async fn endpoints(client: &client::Client, args: &Args) -> Result<Vec<SocketAddr>, String> {
    let platform = util::address(&args.platform)?;
    let call = client.json(platform, Method::GET, "/vms", None::<&()>);
    let list: platform::VmList = call.await.map_err(util::words)?;
    let pool = id::Pool::new(&args.pool);
    let in_pool = list.vms.iter().filter(|vm| vm.home_pool == pool);
    let endpoints: Vec<_> = in_pool.map(|vm| vm.endpoint).collect();
    match endpoints.is_empty() {
        true => Err(format!("standin: no VM in pool '{pool}'")),
        false => Ok(endpoints),
    }
}

async fn latencies(
    direct: &Way,
    node: &Way,
    requests: u64,
    failed_total: &mut u64,
) -> Result<(Histogram<u64>, Histogram<u64>), String> {
    let mut direct_ns = histogram()?;
    let mut node_ns = histogram()?;
    for number in 0..WARM_UP_REQUESTS + requests {
        for (way, histogram) in [(direct, &mut direct_ns), (node, &mut node_ns)] {
            let sent_at = Instant::now();
            let succeeded = way.send(number).await;
            let passed_ns = u64::try_from(sent_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
            *failed_total += u64::from(!succeeded);
            if number >= WARM_UP_REQUESTS {
                histogram.saturating_record(passed_ns);
            }
        }
    }
    Ok((direct_ns, node_ns))
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_max(LATENCY_MAX_NS, 3).map_err(util::words)
}

async fn throughput(way: &Way, args: &Args, failed_total: &mut u64) -> f64 {
    let started_at = Instant::now();
    let until = started_at + Duration::from_secs(args.run_s);
    let mut callers = JoinSet::new();
    for caller in 0..args.callers {
        let way = way.clone();
        callers.spawn(async move { call_until(&way, caller, until).await });
    }
    let mut answered = 0;
    while let Some(joined) = callers.join_next().await {
        let (succeeded, failed) = joined.unwrap_or((0, 1));
        answered += succeeded;
        *failed_total += failed;
    }
    answered as f64 / started_at.elapsed().as_secs_f64()
}

async fn call_until(way: &Way, caller: u64, until: Instant) -> (u64, u64) {
    let (mut succeeded, mut failed) = (0, 0);
    while Instant::now() < until {
        match way.send(caller).await {
            true => succeeded += 1,
            false => failed += 1,
        }
    }
    (succeeded, failed)
}
