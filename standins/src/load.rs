//! An open-loop load generator: requests start by a seeded schedule, whatever the answers do.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::document;
use wasabiloft::verdict;

use crate::client;
use crate::endpoint;
use crate::tally;

/// The longest that the generator waits for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 10_000;
/// Latencies above this are counted as this, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;

/// A stream of requests of one kind.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The service and kind, as `SERVICE/KIND`.
    pub name: String,
    /// The HTTP method.
    pub method: String,
    /// The whole path.
    pub path: String,
    /// True if running it twice does no harm.
    pub idempotent: bool,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long the endpoint works on one, on average, in microseconds; exponentially distributed.
    pub service_us: u64,
    /// The body's size, in bytes.
    pub body_bytes: usize,
    /// The rate is multiplied by these, one step after another, again and again.
    pub factors: Vec<f64>,
    /// The length of a step, in milliseconds.
    pub step_ms: u64,
}

impl Stream {
    /// The stream of a document's kind, at a rate.
    pub fn of(document: &document::Document, kind: &document::Kind, rate_per_s: f64) -> Self {
        let rest = kind.path.replace('*', "1");
        Self {
            name: format!("{}/{}", document.service, kind.name),
            method: kind.method.clone(),
            path: format!("/{}{rest}", document.service),
            idempotent: kind.idempotent,
            rate_per_s,
            service_us: 5_000,
            body_bytes: 64,
            factors: vec![1.0],
            step_ms: 1_000,
        }
    }
}

/// What the caller of one request was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// What the answer said; `MayHaveRun` if there was no whole answer.
    pub verdict: verdict::Verdict,
    /// True if running the request twice does no harm.
    pub idempotent: bool,
    /// True if the answer was that of another request.
    pub foreign: bool,
}

/// Counters and latencies of one stream.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that were sent.
    pub sent_total: u64,
    /// Requests that ran and were answered well.
    pub ran_total: u64,
    /// Requests that were refused as not run.
    pub not_run_total: u64,
    /// Requests that may have run.
    pub may_have_run_total: u64,
    /// Requests that got no answer at all.
    pub no_answer_total: u64,
    /// Refusals and failures by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Latency of answered requests that ran, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        Self {
            sent_total: 0,
            ran_total: 0,
            not_run_total: 0,
            may_have_run_total: 0,
            no_answer_total: 0,
            reasons: BTreeMap::new(),
            latency_us: Histogram::new_with_max(LATENCY_MAX_US, 3)
                .expect("three digits are within the histogram's bounds"),
        }
    }

    /// The latency at a quantile, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

/// All that callers were told.
#[derive(Debug, Default)]
pub struct Answers {
    /// By stream.
    pub streams: BTreeMap<String, Tally>,
    /// By request id.
    pub told: HashMap<String, Told>,
}

/// Where answers and executions disagree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Told not run, yet executed.
    pub ran_though_refused_total: u64,
    /// Not idempotent, yet executed more than once.
    pub executed_twice_total: u64,
    /// Told ran, yet never executed.
    pub never_ran_total: u64,
    /// Got the answer of another request.
    pub foreign_answers_total: u64,
}

impl Breaches {
    /// True if there are none.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

impl Answers {
    /// Compares what callers were told with what the endpoints executed.
    pub fn check(&self, executions: &HashMap<String, u32>) -> Breaches {
        let mut breaches = Breaches::default();
        for (request_id, told) in &self.told {
            let runs = executions.get(request_id).copied().unwrap_or(0);
            if told.verdict == verdict::Verdict::NotRun && runs > 0 {
                breaches.ran_though_refused_total += 1;
            }
            if told.verdict == verdict::Verdict::Ran && runs == 0 {
                breaches.never_ran_total += 1;
            }
            if !told.idempotent && runs > 1 {
                breaches.executed_twice_total += 1;
            }
            if told.foreign {
                breaches.foreign_answers_total += 1;
            }
        }
        breaches
    }

    /// Sums a counter over the streams.
    pub fn total<F>(&self, counter: F) -> u64
    where
        F: Fn(&Tally) -> u64,
    {
        self.streams.values().map(counter).sum()
    }
}

type SharedAnswers = Arc<Mutex<Answers>>;

/// Sends the streams' requests to the entry nodes until stopped, then waits for the answers.
pub async fn run(
    entries: Vec<SocketAddr>,
    streams: Vec<Stream>,
    seed: u64,
    stop: CancellationToken,
) -> Answers {
    let answers: SharedAnswers = Arc::default();
    let client = client::Client::default();
    let mut generators = JoinSet::new();
    for (index, stream) in streams.into_iter().enumerate() {
        let generator = Generator {
            entries: entries.clone(),
            stream: Arc::new(stream),
            index,
            client: client.clone(),
            rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
            answers: Arc::clone(&answers),
        };
        generators.spawn(generator.run(stop.clone()));
    }
    while generators.join_next().await.is_some() {}
    let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *answers)
}

struct Generator {
    entries: Vec<SocketAddr>,
    stream: Arc<Stream>,
    index: usize,
    client: client::Client,
    rng: SmallRng,
    answers: SharedAnswers,
}

impl Generator {
    async fn run(mut self, stop: CancellationToken) {
        let started_at = Instant::now();
        let mut due = Duration::ZERO;
        let mut requests = JoinSet::new();
        let mut number = 0u64;
        loop {
            due += self.gap(due);
            let until = time::Instant::from_std(started_at + due);
            tokio::select! {
                () = stop.cancelled() => break,
                () = time::sleep_until(until) => {}
            }
            number += 1;
            requests.spawn(self.one(number));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    fn gap(&mut self, at: Duration) -> Duration {
        let step_ms = u128::from(self.stream.step_ms.max(1));
        let step = usize::try_from(at.as_millis() / step_ms).unwrap_or(0);
        let factor = self.stream.factors[step % self.stream.factors.len()];
        let rate_per_s = (self.stream.rate_per_s * factor).max(0.001);
        Duration::from_secs_f64(self.exponential() / rate_per_s)
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn one(&mut self, number: u64) -> impl Future<Output = ()> + Send + 'static {
        let service_us = self.exponential() * self.stream.service_us as f64;
        let entry = self.entries[self.rng.random_range(0..self.entries.len())];
        let request_id = format!("{}-{number}", self.index);
        let request = request(&self.stream, entry, &request_id, service_us as u64);
        let client = self.client.clone();
        let stream = Arc::clone(&self.stream);
        let answers = Arc::clone(&self.answers);
        async move {
            let sent_at = Instant::now();
            let answer = match request {
                Ok(request) => {
                    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
                    let sent = time::timeout(timeout, client.send(entry, request)).await;
                    sent.ok().and_then(Result::ok)
                }
                Err(_) => None,
            };
            let latency_us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
            note(
                &mut answers,
                &stream,
                request_id,
                answer.as_ref(),
                latency_us,
            );
        }
    }
}

fn request(
    stream: &Stream,
    entry: SocketAddr,
    request_id: &str,
    service_us: u64,
) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(stream.method.as_str())
        .uri(format!("http://{entry}{}", stream.path))
        .header(tally::REQUEST_ID_HEADER, request_id)
        .header(endpoint::SERVICE_TIME_HEADER, service_us)
        .body(Full::from(vec![b'x'; stream.body_bytes]))
}

fn note(
    answers: &mut Answers,
    stream: &Stream,
    request_id: String,
    answer: Option<&Response<Bytes>>,
    latency_us: u64,
) {
    let told = Told {
        verdict: answer.map_or(verdict::Verdict::MayHaveRun, verdict_of),
        idempotent: stream.idempotent,
        foreign: answer.is_some_and(|answer| is_foreign(answer, &request_id)),
    };
    let tally = answers
        .streams
        .entry(stream.name.clone())
        .or_insert_with(Tally::new);
    tally.sent_total += 1;
    match (answer, told.verdict) {
        (None, _) => tally.no_answer_total += 1,
        (Some(_), verdict::Verdict::Ran) => {
            tally.ran_total += 1;
            tally.latency_us.saturating_record(latency_us);
        }
        (Some(_), verdict::Verdict::NotRun) => tally.not_run_total += 1,
        (Some(_), verdict::Verdict::MayHaveRun) => tally.may_have_run_total += 1,
    }
    if let Some(reason) = answer.and_then(|answer| header(answer, verdict::REASON_HEADER)) {
        *tally.reasons.entry(reason).or_default() += 1;
    }
    answers.told.insert(request_id, told);
}

fn header(answer: &Response<Bytes>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn verdict_of(answer: &Response<Bytes>) -> verdict::Verdict {
    let text = header(answer, verdict::VERDICT_HEADER);
    text.and_then(|text| text.parse().ok())
        .unwrap_or(verdict::Verdict::MayHaveRun)
}

fn is_foreign(answer: &Response<Bytes>, request_id: &str) -> bool {
    if !answer.status().is_success() {
        return false;
    }
    let body: Option<serde_json::Value> = serde_json::from_slice(answer.body()).ok();
    body.is_none_or(|body| body["request_id"] != request_id)
}
