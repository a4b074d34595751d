//! A worker that executes commands to start and stop runs and answers polls. It enforces fences, leases and its
//! capacity, and can be unresponsive, switched off, resized, or restarted with a new incarnation. A worker that doesn't
//! enforce its capacity reports each start that exceeds it to the checker.

mod server;
mod spec;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use axum::Json;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde_json::{Value, json};
use tokio::time;
use tokio_util::sync::CancellationToken;

use self::server::{Accepted, Hold, Start, Stop};
pub use self::spec::Settings;
use self::spec::TaskSpec;
use super::checker::Checker;
use super::history::{Outcome, Run};
use super::{Listening, listen_with, lock};

/// Interval at which due runs are ended, in milliseconds.
const POLL_MS: u64 = 5;
/// A lower capacity counts this long after the change, in milliseconds: the platform's contact time and one heartbeat.
const SHRUNK_COUNTS_MS: u64 = 4_000;
/// Longest lease that a worker accepts, in milliseconds; the platform's value.
const LEASE_MAX_MS: u64 = 10_000;
/// Time that a long-running task needs to report full progress, in milliseconds.
const WARM_UP_MS: u64 = 200;

#[derive(Debug)]
struct Running {
    run: u32,
    task_spec: TaskSpec,
    started_at: time::Instant,
    /// When the stop that the run received takes effect.
    stops_at: Option<time::Instant>,
}

#[derive(Debug)]
struct Incarnation {
    id: Option<String>,
    born_unix_ms: u64,
    started_at: time::Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Running>,
    /// Highest run number of each task that this incarnation started or stopped.
    highest_runs: BTreeMap<String, u32>,
    /// Unacknowledged ends of runs: number, task, run, outcome.
    ends: Vec<End>,
    last_end_number: u64,
    /// When the lease was last seen to have lapsed.
    lapsed_at: Option<time::Instant>,
    /// Cancelled when the incarnation ends, with its connections.
    ended: CancellationToken,
}

/// The end of a run, until a node acknowledges it.
#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u32,
    outcome: Outcome,
    at: time::Instant,
}

impl Incarnation {
    fn new(id: Option<String>, born_unix_ms: u64) -> Self {
        Self {
            id,
            born_unix_ms,
            started_at: time::Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end_number: 0,
            lapsed_at: None,
            ended: CancellationToken::new(),
        }
    }

    fn name(&self) -> String {
        let id = self.id.as_deref().unwrap_or("worker");
        format!("{id}/{}", self.born_unix_ms)
    }
}

/// State of a worker.
#[derive(Debug)]
pub struct Worker {
    settings: Settings,
    checker: Arc<Checker>,
    incarnation: Mutex<Incarnation>,
    /// CPU capacities in thousandths of a core, with the time since which each holds, oldest first.
    capacities: Mutex<Vec<(time::Instant, u64)>>,
    /// If set, the worker executes commands but doesn't respond in time.
    pub unresponsive: AtomicBool,
    /// If set, the worker is switched off and answers every request with status 503.
    pub off: AtomicBool,
    /// Number of upcoming commands that are executed late and without a response.
    pub late_commands: AtomicU32,
    /// Delay of late commands, in milliseconds.
    pub late_ms: AtomicU64,
    /// Row that reports list beside the runs in progress, if set.
    odd_run: Mutex<Option<Value>>,
    lapsed: AtomicUsize,
}

impl Worker {
    /// Starts a worker with default settings, a checker of its own and no id.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(task_ms: u64) -> std::io::Result<Listening<Self>> {
        Self::start_as(Settings::new(task_ms), None, Arc::default()).await
    }

    /// Starts a worker that reports its runs to `checker`. A worker without an id accepts commands to any id.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start_as(
        settings: Settings,
        id: Option<String>,
        checker: Arc<Checker>,
    ) -> std::io::Result<Listening<Self>> {
        let state = Arc::new(Self {
            capacities: Mutex::new(vec![(time::Instant::now(), settings.cpu_milli)]),
            settings,
            checker,
            incarnation: Mutex::new(Incarnation::new(id, 1)),
            unresponsive: AtomicBool::new(false),
            off: AtomicBool::new(false),
            late_commands: AtomicU32::new(0),
            late_ms: AtomicU64::new(0),
            odd_run: Mutex::default(),
            lapsed: AtomicUsize::new(0),
        });
        tokio::spawn(end_due_runs_until_dropped(Arc::downgrade(&state)));
        listen_with(state, server::serve).await
    }

    /// Returns the number of starts of each task that the worker's checker recorded.
    pub fn start_counts(&self) -> BTreeMap<String, u32> {
        self.checker.start_counts()
    }

    /// Returns the violations that the worker's checker recorded.
    pub fn violations(&self) -> Vec<String> {
        self.checker.violations()
    }

    /// Ends the current incarnation and its runs, and starts another with the given id and a later birth time.
    pub fn start_incarnation(&self, id: Option<String>) {
        let mut incarnation = lock(&self.incarnation);
        self.checker.incarnation_ended(&incarnation.name());
        incarnation.ended.cancel();
        let born_unix_ms = incarnation.born_unix_ms + 1;
        *incarnation = Incarnation::new(id, born_unix_ms);
    }

    /// Returns the incarnation that accepts a connection now.
    fn accept(&self) -> Accepted {
        let incarnation = lock(&self.incarnation);
        Accepted {
            born_unix_ms: incarnation.born_unix_ms,
            ended: incarnation.ended.clone(),
        }
    }

    /// Returns the id and the birth time of the current incarnation.
    pub fn incarnation(&self) -> (Option<String>, u64) {
        let incarnation = lock(&self.incarnation);
        (incarnation.id.clone(), incarnation.born_unix_ms)
    }

    /// Sets the row that reports list beside the runs in progress.
    pub fn report_beside(&self, row: Option<Value>) {
        *lock(&self.odd_run) = row;
    }

    /// Returns the number of runs that ended because the lease lapsed.
    pub fn lapsed_count(&self) -> usize {
        self.lapsed.load(Ordering::Relaxed)
    }

    /// Returns the number of runs in progress.
    pub fn running_count(&self) -> usize {
        lock(&self.incarnation).running.len()
    }

    /// Returns whether no runs are in progress.
    pub fn is_empty(&self) -> bool {
        lock(&self.incarnation).running.is_empty()
    }

    /// Returns the CPU capacity, in thousandths of a core.
    pub fn cpu_milli(&self) -> u64 {
        lock(&self.capacities).last().map_or(0, |(_, cpu)| *cpu)
    }

    /// Changes the CPU capacity, in thousandths of a core; runs go on.
    pub fn resize(&self, cpu_milli: u64) {
        lock(&self.capacities).push((time::Instant::now(), cpu_milli));
    }

    /// Returns the highest CPU capacity that a start may still count on, in thousandths of a core.
    fn counting_cpu_milli(&self) -> u64 {
        let capacities = lock(&self.capacities);
        let is_past = |since: time::Instant| since.elapsed().as_millis() > SHRUNK_COUNTS_MS.into();
        let first = capacities.iter().rposition(|(since, _)| is_past(*since));
        let counting = capacities[first.unwrap_or(0)..].iter();
        counting.map(|(_, cpu)| *cpu).max().unwrap_or(0)
    }

    fn clock_ms(&self, incarnation: &Incarnation) -> u64 {
        let elapsed =
            u64::try_from(incarnation.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        elapsed * self.settings.clock_milli / 1_000
    }

    fn refuse(&self, incarnation: &Incarnation, reason: &str) -> Response {
        let body = json!({"clockMs": self.clock_ms(incarnation), "reason": reason});
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    /// Returns the status for a request that the worker rejects: it is off, the request is meant for another instance, or its
    /// connection ends as the incarnation that accepted it has ended.
    fn rejection_status(
        &self,
        accepted: &Accepted,
        headers: &HeaderMap,
        incarnation: &Incarnation,
    ) -> Option<StatusCode> {
        if self.off.load(Ordering::Relaxed) || accepted.born_unix_ms != incarnation.born_unix_ms {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        let expected = headers.get("x-expect-instance")?.to_str().ok()?;
        let is_other = incarnation.id.as_ref().is_some_and(|id| id != expected);
        is_other.then_some(StatusCode::MISDIRECTED_REQUEST)
    }

    /// Ends runs that have reached their duration, and all runs if the lease has lapsed.
    fn end_due_runs(&self) {
        let mut incarnation = lock(&self.incarnation);
        let lapsed = self.clock_ms(&incarnation) > incarnation.lease_until_ms;
        if lapsed {
            incarnation.lapsed_at = Some(time::Instant::now());
        }
        let ended: Vec<(String, Outcome)> = incarnation
            .running
            .iter()
            .filter_map(|(task, running)| {
                let elapsed = running.started_at.elapsed();
                if running
                    .stops_at
                    .is_some_and(|at| time::Instant::now() >= at)
                {
                    return Some((task.clone(), Outcome::Stopped));
                }
                let finished = !running.task_spec.long_running
                    && elapsed >= Duration::from_millis(running.task_spec.duration_ms);
                let outcome = match (finished, lapsed) {
                    (true, _) if running.task_spec.fails => Outcome::Failed,
                    (true, _) => Outcome::Done,
                    (false, true) => Outcome::Lapsed,
                    (false, false) => return None,
                };
                Some((task.clone(), outcome))
            })
            .collect();
        for (task, outcome) in ended {
            self.end(&mut incarnation, &task, outcome);
        }
    }

    fn end(&self, incarnation: &mut Incarnation, task: &str, outcome: Outcome) {
        let Some(running) = incarnation.running.remove(task) else {
            return;
        };
        if outcome == Outcome::Lapsed {
            self.lapsed.fetch_add(1, Ordering::Relaxed);
        }
        incarnation.last_end_number += 1;
        incarnation.ends.push(End {
            number: incarnation.last_end_number,
            task: task.to_owned(),
            run: running.run,
            outcome,
            at: time::Instant::now(),
        });
        let name = incarnation.name();
        self.checker.run_ended(
            &Run {
                task,
                run: running.run,
                incarnation: &name,
            },
            outcome,
        );
    }

    fn start_run(&self, accepted: &Accepted, headers: &HeaderMap, start: &Start) -> Response {
        self.end_due_runs();
        let mut incarnation = lock(&self.incarnation);
        if let Some(status) = self.rejection_status(accepted, headers, &incarnation) {
            return status.into_response();
        }
        if start.fence_token < incarnation.fence {
            return self.refuse(&incarnation, "fence");
        }
        incarnation.fence = start.fence_token;
        let current_run = incarnation
            .running
            .get(&start.task)
            .map(|running| running.run);
        if current_run == Some(start.run_id) {
            return Json(json!({"clockMs": self.clock_ms(&incarnation)})).into_response();
        }
        let now_ms = self.clock_ms(&incarnation);
        if start.until_ms <= now_ms {
            return self.refuse(&incarnation, "late");
        }
        let until_ms = start.until_ms.min(now_ms + LEASE_MAX_MS);
        incarnation.lease_until_ms = incarnation.lease_until_ms.max(until_ms);
        let highest_run = incarnation
            .highest_runs
            .get(&start.task)
            .copied()
            .unwrap_or(0);
        if current_run.is_some() || start.run_id <= highest_run {
            return self.refuse(&incarnation, "old");
        }
        let task_spec = TaskSpec::parse(&start.spec, self.settings.task_ms);
        let used: u64 = incarnation
            .running
            .values()
            .map(|running| running.task_spec.cpu_milli)
            .sum();
        let wanted = used + task_spec.cpu_milli;
        if self.settings.enforces_capacity && wanted > self.cpu_milli() {
            return self.refuse(&incarnation, "room");
        }
        let capacity = self.counting_cpu_milli();
        if wanted > capacity {
            self.checker
                .capacity_exceeded(&start.task, &incarnation.name(), wanted, capacity);
        }
        incarnation
            .highest_runs
            .insert(start.task.clone(), start.run_id);
        let name = incarnation.name();
        let run = Run {
            task: &start.task,
            run: start.run_id,
            incarnation: &name,
        };
        self.checker
            .run_started(&run, &start.spec, start.fence_token);
        let running = Running {
            run: start.run_id,
            task_spec,
            started_at: time::Instant::now(),
            stops_at: None,
        };
        incarnation.running.insert(start.task.clone(), running);
        Json(json!({"clockMs": now_ms})).into_response()
    }

    fn stop_run(&self, accepted: &Accepted, headers: &HeaderMap, stop: &Stop) -> Response {
        let mut incarnation = lock(&self.incarnation);
        if let Some(status) = self.rejection_status(accepted, headers, &incarnation) {
            return status.into_response();
        }
        if stop.fence_token < incarnation.fence {
            return self.refuse(&incarnation, "fence");
        }
        let highest_run = incarnation
            .highest_runs
            .entry(stop.task.clone())
            .or_default();
        *highest_run = stop.run_id.max(*highest_run);
        let name = incarnation.name();
        let running = incarnation.running.get_mut(&stop.task);
        if let Some(running) = running.filter(|running| running.run == stop.run_id) {
            let stop_ms = self.settings.stop_ms;
            let stops_at = time::Instant::now() + Duration::from_millis(stop_ms);
            running.stops_at.get_or_insert(stops_at);
            self.checker.stop_received(&Run {
                task: &stop.task,
                run: stop.run_id,
                incarnation: &name,
            });
            if stop_ms == 0 {
                self.end(&mut incarnation, &stop.task, Outcome::Stopped);
            }
        }
        Json(json!({"clockMs": self.clock_ms(&incarnation)})).into_response()
    }

    fn begin_poll(
        &self,
        accepted: &Accepted,
        headers: &HeaderMap,
        hold: &Hold,
    ) -> Option<Response> {
        self.end_due_runs();
        let mut incarnation = lock(&self.incarnation);
        if let Some(status) = self.rejection_status(accepted, headers, &incarnation) {
            return Some(status.into_response());
        }
        if hold.fence_token < incarnation.fence {
            return Some(self.refuse(&incarnation, "fence"));
        }
        incarnation.fence = hold.fence_token;
        let until_ms = hold
            .until_ms
            .min(self.clock_ms(&incarnation) + LEASE_MAX_MS);
        incarnation.lease_until_ms = incarnation.lease_until_ms.max(until_ms);
        let name = incarnation.name();
        let lapsed_at = incarnation.lapsed_at;
        let ends = std::mem::take(&mut incarnation.ends);
        for end in ends {
            if end.number > hold.ack_index {
                incarnation.ends.push(end);
                continue;
            }
            let run = Run {
                task: &end.task,
                run: end.run,
                incarnation: &name,
            };
            let lapsed_between = lapsed_at.is_some_and(|at| at > end.at);
            self.checker.end_acknowledged(&run, lapsed_between);
        }
        None
    }

    fn has_ends(&self) -> bool {
        !lock(&self.incarnation).ends.is_empty()
    }

    fn report(&self, accepted: &Accepted, headers: &HeaderMap) -> Response {
        let incarnation = lock(&self.incarnation);
        if let Some(status) = self.rejection_status(accepted, headers, &incarnation) {
            return status.into_response();
        }
        let percent = |running: &Running| {
            let elapsed =
                u64::try_from(running.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            let total_ms = if running.task_spec.long_running {
                WARM_UP_MS
            } else {
                running.task_spec.duration_ms
            };
            (elapsed * 100 / total_ms.max(1)).min(100)
        };
        let checkpoint = |running: &Running| {
            let saves = running.task_spec.saves;
            if saves {
                format!("saved-{:03}", percent(running))
            } else {
                String::new()
            }
        };
        let mut running: Vec<_> = incarnation
            .running
            .iter()
            .map(|(task, running)| {
                let checkpoint = checkpoint(running);
                json!([task, running.run, checkpoint, percent(running), 0])
            })
            .collect();
        running.extend(lock(&self.odd_run).clone());
        let ends: Vec<_> = incarnation
            .ends
            .iter()
            .map(|end| json!([end.number, end.task, end.run, end.outcome.label(), ""]))
            .collect();
        Json(json!({
            "clockMs": self.clock_ms(&incarnation),
            "born": incarnation.born_unix_ms,
            "running": running,
            "endedRuns": ends,
        }))
        .into_response()
    }
}

/// Ends due runs periodically, also while no requests arrive, until the worker is dropped.
async fn end_due_runs_until_dropped(worker: Weak<Worker>) {
    while let Some(worker) = worker.upgrade() {
        worker.end_due_runs();
        drop(worker);
        time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
