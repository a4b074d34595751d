//! Callers of a soak: submit jobs, query their states and cancel some of them, and check the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::hosted::checker::Submission;
use crate::soak::accounts::{self, Expected};
use crate::soak::world::{HOST, QUEUES, World};
use crate::soak::{Faults, Options};

/// Request deadline that callers send, and their timeout for the response, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Number of attempts to submit or cancel a job.
const ATTEMPTS: usize = 4;
/// Time after which every node knows an accepted job, in milliseconds; the platform's value.
const VISIBLE_MS: u64 = 3_000;
/// Pause of a caller between requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 30..250;
/// Pause of a caller in a soak with series of faults, in milliseconds; leaves room for long tasks.
const LONG_PAUSE_MS: std::ops::Range<u64> = 60..800;
/// Share of jobs with long tasks in a soak with series of faults. Shorter tasks end before their worker's entry expires.
const LONG_SHARE: f64 = 0.2;
/// Duration of a long task, in milliseconds.
const LONG_MS: std::ops::Range<u64> = 2_000..5_500;

/// A job and its outcome as its caller knows them.
#[derive(Clone, Debug)]
pub struct Job {
    /// Job id, 16 hexadecimal digits.
    pub id: String,
    /// Outcome of the submission.
    pub submission: Submission,
    prefix: &'static str,
    /// Account of the caller; `None` if the soak has none.
    account: Option<usize>,
    tasks: u32,
    long_running: bool,
    fails: bool,
    cancelled: bool,
    accepted_at: time::Instant,
}

/// The running callers.
pub struct Callers {
    /// Stops the callers when cancelled.
    pub stop: CancellationToken,
    tasks: JoinSet<Vec<Job>>,
}

impl Callers {
    /// Waits for all callers to end, and returns their jobs.
    pub async fn join(mut self) -> Vec<Job> {
        let mut jobs = Vec::new();
        while let Some(done) = self.tasks.join_next().await {
            jobs.extend(done.unwrap_or_default());
        }
        jobs
    }
}

/// Starts the callers, each with a random generator seeded from the soak's seed.
pub fn start(world: &Arc<World>, options: &Options) -> Callers {
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        let caller = Caller {
            world: Arc::clone(world),
            // A client of its own keeps the caller's connections open between requests.
            client: Client::default(),
            rng: SmallRng::seed_from_u64(seed),
            account: (options.accounts > 0).then(|| number % options.accounts),
            faults: options.faults,
        };
        tasks.spawn(caller.run(number, stop.clone()));
    }
    Callers { stop, tasks }
}

struct Caller {
    world: Arc<World>,
    client: Client,
    rng: SmallRng,
    account: Option<usize>,
    faults: Faults,
}

/// Key that no account has.
const UNKNOWN_KEY: &str = "unknown";

pub(super) async fn send_request(
    world: &World,
    client: &Client,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    key: Option<&str>,
) -> Option<(u16, String)> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("host", HOST)
        .header("x-deadline-ms", DEADLINE_MS.to_string());
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let expected_before = key.map(|key| world.accounts.expected(key));
    let response = client.send(address, request);
    let response = time::timeout(Duration::from_millis(DEADLINE_MS), response).await;
    let response = response.ok()?.ok()?;
    let status = response.status().as_u16();
    if let Some((key, before)) = key.zip(expected_before) {
        let after = world.accounts.expected(key);
        match status {
            401 if after == Expected::Authenticated => {
                let text = format!("a valid key got 401 for {path} from {address}");
                world.checker.add_violation(text);
            }
            401 => {
                world.denied.fetch_add(1, Ordering::Relaxed);
            }
            503 => {}
            _ if before == Expected::Denied => {
                let text =
                    format!("a call with the key {key} got {status} for {path} from {address}");
                world.checker.add_violation(text);
            }
            _ => {}
        }
    }
    let body = String::from_utf8_lossy(response.body()).into_owned();
    Some((status, body))
}

impl Caller {
    async fn run(mut self, number: usize, stop: CancellationToken) -> Vec<Job> {
        let mut jobs = Vec::new();
        // The first two callers start with a long-running job, one for each queue.
        if number < QUEUES.len() {
            jobs.push(self.submit(number, true).await);
        }
        while !stop.is_cancelled() {
            let pause_ms = self.rng.random_range(match self.faults {
                Faults::Single | Faults::FrozenLeaders => PAUSE_MS,
                Faults::Series | Faults::Partitions => LONG_PAUSE_MS,
            });
            time::sleep(Duration::from_millis(pause_ms)).await;
            match self.rng.random_range(0..10) {
                0..5 => {
                    let queue = self.rng.random_range(0..QUEUES.len());
                    let mut job = self.submit(queue, false).await;
                    // Half of the jobs whose submission may still be written; without a draw, so that seeds stay the same.
                    if job.submission == Submission::Uncertain && job.id.ends_with(is_even) {
                        job.cancelled = true;
                        self.cancel(&job).await;
                    }
                    jobs.push(job);
                }
                5..9 if !jobs.is_empty() => {
                    let index = self.rng.random_range(0..jobs.len());
                    self.check_job(&jobs[index]).await;
                }
                9 if !jobs.is_empty() => {
                    let index = self.rng.random_range(0..jobs.len());
                    if !jobs[index].long_running && !jobs[index].cancelled {
                        jobs[index].cancelled = true;
                        self.cancel(&jobs[index]).await;
                    }
                }
                _ => {}
            }
            if self.account.is_some() && self.rng.random_bool(0.1) {
                self.submit_denied().await;
            }
        }
        jobs
    }

    /// Submits a job with a key that is unknown or revoked; its tasks must not start.
    async fn submit_denied(&mut self) {
        let id = format!("{:016x}", self.rng.random::<u64>());
        let revoked = self
            .account
            .filter(|_| self.rng.random_bool(0.5))
            .and_then(|account| self.world.accounts.revoked(account));
        let key = revoked.unwrap_or_else(|| UNKNOWN_KEY.to_owned());
        let is_denied = self.world.accounts.expected(&key) == Expected::Denied;
        let (spec, steps) = ("work_ms=100 cpu=700", [1]);
        self.world.checker.submission_started(&id, spec, &steps);
        let path = format!("{}{id}", QUEUES[0].0);
        let body = body(spec, &steps, false);
        let node = self.any_node();
        let response = send_request(
            &self.world,
            &self.client,
            node,
            Method::POST,
            &path,
            body,
            Some(&key),
        );
        let response = response.await;
        // Without a response, nothing can be said of a key that some nodes may still have accepted.
        let is_refused = is_denied || matches!(response, Some((401 | 503, _)));
        if is_refused {
            self.world
                .checker
                .submission_ended(&id, Submission::Refused);
        }
    }

    fn key(&self) -> Option<String> {
        key(&self.world, self.account)
    }

    fn any_node(&mut self) -> SocketAddr {
        let addresses = &self.world.addresses;
        addresses[self.rng.random_range(0..addresses.len())]
    }

    async fn submit(&mut self, queue: usize, long_running: bool) -> Job {
        let id = format!("{:016x}", self.rng.random::<u64>());
        let fails = !long_running && self.rng.random_bool(0.03);
        let (steps, spec): (Vec<u32>, String) = if long_running {
            (vec![2], "lasts cpu=800".into())
        } else {
            let count = self.rng.random_range(1..3);
            let mut steps: Vec<u32> = (0..count).map(|_| self.rng.random_range(1..5)).collect();
            let work_ms = self.work_ms(fails);
            if work_ms >= LONG_MS.start {
                // Long jobs have one step, so that all of them can complete in time after the faults.
                steps.truncate(1);
            }
            let fails = if fails { " fails" } else { "" };
            (steps, format!("work_ms={work_ms} cpu=700{fails}"))
        };
        self.world.checker.submission_started(&id, &spec, &steps);
        if let Some(account) = self.account {
            let account = accounts::name(account);
            self.world.checker.set_account(&id, &account);
        }
        let body = body(&spec, &steps, long_running);
        let prefix = QUEUES[queue].0;
        let submission = self
            .submit_with_retries(&format!("{prefix}{id}"), &body)
            .await;
        self.world.checker.submission_ended(&id, submission);
        Job {
            id,
            submission,
            prefix,
            account: self.account,
            tasks: steps.iter().sum(),
            long_running,
            fails,
            cancelled: false,
            accepted_at: time::Instant::now(),
        }
    }

    /// Draws the duration of a job's tasks, in milliseconds. Tasks that fail are short, as they run several times.
    fn work_ms(&mut self, fails: bool) -> u64 {
        let is_long = match self.faults {
            _ if fails => false,
            Faults::Single => false,
            Faults::Series | Faults::FrozenLeaders | Faults::Partitions => {
                self.rng.random_bool(LONG_SHARE)
            }
        };
        self.rng
            .random_range(if is_long { LONG_MS } else { 30..900 })
    }

    async fn submit_with_retries(&mut self, path: &str, body: &[u8]) -> Submission {
        let mut uncertain = false;
        for _ in 0..ATTEMPTS {
            let node = self.any_node();
            let key = self.key();
            let response = send_request(
                &self.world,
                &self.client,
                node,
                Method::POST,
                path,
                body.to_vec(),
                key.as_deref(),
            );
            match response.await {
                Some((200, _)) => return Submission::Accepted,
                Some((429 | 503, _)) => {}
                // The key was revoked meanwhile; the next attempt carries its successor.
                Some((401, _)) if key.is_some() => {}
                Some((504, _)) | None => uncertain = true,
                Some((status, text)) => {
                    let violation = format!("submission to {path} got status {status}: {text}");
                    self.world.checker.add_violation(violation);
                }
            }
            let pause_ms = self.rng.random_range(PAUSE_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
        if uncertain {
            Submission::Uncertain
        } else {
            Submission::Refused
        }
    }

    async fn check_job(&mut self, job: &Job) {
        let node = self.any_node();
        check_state(&self.world, &self.client, node, job).await;
    }

    async fn cancel(&mut self, job: &Job) {
        let path = format!("{}{}", job.prefix, job.id);
        for _ in 0..ATTEMPTS {
            let node = self.any_node();
            let key = self.key();
            let response = send_request(
                &self.world,
                &self.client,
                node,
                Method::DELETE,
                &path,
                Vec::new(),
                key.as_deref(),
            );
            match response.await {
                Some((200, _)) => return,
                // No such job is stored, and none will be.
                Some((410, _)) => {
                    let checker = &self.world.checker;
                    checker.submission_ended(&job.id, Submission::Refused);
                    return;
                }
                _ => {}
            }
        }
    }
}

/// Returns whether a hexadecimal digit is even.
fn is_even(digit: char) -> bool {
    digit.to_digit(16).is_some_and(|digit| digit % 2 == 0)
}

/// Returns the key that a caller of an account uses now.
fn key(world: &World, account: Option<usize>) -> Option<String> {
    account.map(|account| world.accounts.current(account))
}

pub(super) fn body(spec: &str, steps: &[u32], long_running: bool) -> Vec<u8> {
    let words = spec.split(' ');
    let cpu = words.filter_map(|word| word.strip_prefix("cpu=")).next();
    let cpu_milli: u64 = cpu.and_then(|text| text.parse().ok()).unwrap_or(700);
    let steps: Vec<_> = (0_u32..)
        .zip(steps)
        .map(|(number, count)| {
            let mut step = json!({
                "count": count, "cpu": cpu_milli, "memMb": (cpu_milli / 7).max(1), "estimateMs": 400,
                "savesProgress": spec.contains("saves"),
            });
            if number > 0 {
                step["after"] = json!([number - 1]);
            }
            if long_running {
                step["cpu"] = json!(800);
                step["longRunning"] = json!(true);
                step["antiAffinity"] = json!(1);
                step["maxUnavailable"] = json!(1);
            }
            step
        })
        .collect();
    json!({"spec": spec, "steps": steps})
        .to_string()
        .into_bytes()
}

/// Queries a job's state at a node and checks the response. Returns the state if the response holds one.
async fn check_state(
    world: &World,
    client: &Client,
    node: SocketAddr,
    job: &Job,
) -> Option<String> {
    let path = format!("{}{}", job.prefix, job.id);
    let key = key(world, job.account);
    let response = send_request(
        world,
        client,
        node,
        Method::GET,
        &path,
        Vec::new(),
        key.as_deref(),
    );
    let (status, text) = response.await?;
    let must_be_known = job.submission == Submission::Accepted
        && job.accepted_at.elapsed() >= Duration::from_millis(VISIBLE_MS);
    if status == 410 && must_be_known {
        let text = format!(
            "query of accepted job {} got status 410 from {node}",
            job.id
        );
        world.checker.add_violation(text);
    }
    if status != 200 {
        return None;
    }
    let state: serde_json::Value = serde_json::from_str(&text).ok()?;
    let state = state.get("state")?.as_str()?.to_owned();
    world.checker.state_reported(&job.id, &state);
    let unexplained = (state == "cancelled" && !job.cancelled) || (state == "failed" && !job.fails);
    if unexplained {
        let text = format!(
            "job {} was reported as {state}, but its caller caused no such end",
            job.id
        );
        world.checker.add_violation(text);
    }
    Some(state)
}

/// Returns descriptions of all jobs, and of the maintenance wave, that aren't finished.
pub async fn unfinished(world: &Arc<World>, jobs: &[Job]) -> Vec<String> {
    let client = Client::default();
    let mut unfinished_work = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        let running = world.checker.running(&job.id);
        if job.long_running {
            if job.submission == Submission::Accepted && running != job.tasks as usize {
                unfinished_work.push(format!(
                    "{running} of {} long-running tasks of {} are running",
                    job.tasks, job.id
                ));
            }
            continue;
        }
        if job.submission != Submission::Accepted {
            continue;
        }
        let node = world.addresses[number % world.addresses.len()];
        let state = check_state(world, &client, node, job).await;
        let finished = match state.as_deref() {
            Some("completed") => true,
            Some("failed") => job.fails,
            Some("cancelled") => job.cancelled && running == 0,
            _ => false,
        };
        if !finished {
            unfinished_work.push(format!(
                "job {} is {state:?}, {running} tasks are running",
                job.id
            ));
        }
    }
    unfinished_work.extend(world.unfinished_waves());
    unfinished_work
}
