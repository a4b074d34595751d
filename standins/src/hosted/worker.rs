//! A worker: starts, stops and looks, with fences and leases; it can be mute.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::{Json, Router, routing};
use serde::Deserialize;
use serde_json::json;
use tokio::time;

use super::{Listening, listen, lock};

/// A step of a long poll, in milliseconds.
const POLL_MS: u64 = 5;

#[derive(Debug)]
struct Running {
    run: u32,
    ends_at: time::Instant,
}

#[derive(Debug, Default)]
struct Inner {
    fence: u64,
    running: BTreeMap<String, Running>,
    ends: Vec<(u64, String, u32, &'static str)>,
    numbers: u64,
    /// Starts that were carried out, by task.
    started: BTreeMap<String, u32>,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    inner: Mutex<Inner>,
    task_ms: u64,
    began: time::Instant,
    /// Whether it takes orders and answers none.
    pub mute: AtomicBool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Start {
    task: String,
    run_id: u32,
    until_ms: u64,
    fence_token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Stop {
    task: String,
    run_id: u32,
    fence_token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Hold {
    fence_token: u64,
    #[serde(default)]
    ack_index: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Worker {
    /// Starts a worker whose tasks take a time.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn start(task_ms: u64) -> std::io::Result<Listening<Self>> {
        let state = Arc::new(Self {
            inner: Mutex::default(),
            task_ms,
            began: time::Instant::now(),
            mute: AtomicBool::new(false),
        });
        let router = Router::new()
            .route("/run-start", routing::post(run_start))
            .route("/run-stop", routing::post(run_stop))
            .route("/hold", routing::post(hold))
            .with_state(Arc::clone(&state));
        listen(state, router).await
    }

    /// How often each task was started.
    pub fn started(&self) -> BTreeMap<String, u32> {
        lock(&self.inner).started.clone()
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn refuse(&self, reason: &str) -> Response {
        let body = json!({"clockMs": self.clock_ms(), "reason": reason});
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    /// Ends runs whose time has come.
    fn work(&self) {
        let mut inner = lock(&self.inner);
        let now = time::Instant::now();
        let over: Vec<String> = inner
            .running
            .iter()
            .filter(|(_, running)| running.ends_at <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in over {
            inner.end(task, "done");
        }
    }

    async fn answer(&self, response: Response) -> Response {
        if self.mute.load(Ordering::Relaxed) {
            // Longer than any caller waits.
            time::sleep(Duration::from_secs(60)).await;
        }
        response
    }
}

impl Inner {
    fn end(&mut self, task: String, how: &'static str) {
        if let Some(running) = self.running.remove(&task) {
            self.numbers += 1;
            self.ends.push((self.numbers, task, running.run, how));
        }
    }
}

async fn run_start(State(worker): State<Arc<Worker>>, Json(start): Json<Start>) -> Response {
    let response = worker.carry_out(start);
    worker.answer(response).await
}

impl Worker {
    fn carry_out(&self, start: Start) -> Response {
        let mut inner = lock(&self.inner);
        if start.fence_token < inner.fence {
            return self.refuse("fence");
        }
        inner.fence = start.fence_token;
        if start.until_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        let known = inner.running.get(&start.task).map(|running| running.run);
        if known != Some(start.run_id) {
            let running = Running {
                run: start.run_id,
                ends_at: time::Instant::now() + Duration::from_millis(self.task_ms),
            };
            *inner.started.entry(start.task.clone()).or_default() += 1;
            inner.running.insert(start.task, running);
        }
        Json(json!({"clockMs": self.clock_ms()})).into_response()
    }
}

async fn run_stop(State(worker): State<Arc<Worker>>, Json(stop): Json<Stop>) -> Response {
    let mut inner = lock(&worker.inner);
    if stop.fence_token < inner.fence {
        return worker.refuse("fence");
    }
    let there = inner.running.get(&stop.task).map(|running| running.run);
    if there == Some(stop.run_id) {
        inner.end(stop.task, "stopped");
    }
    Json(json!({"clockMs": worker.clock_ms()})).into_response()
}

async fn hold(State(worker): State<Arc<Worker>>, Json(hold): Json<Hold>) -> Response {
    let until = time::Instant::now() + Duration::from_millis(hold.wait_ms);
    {
        let mut inner = lock(&worker.inner);
        if hold.fence_token < inner.fence {
            return worker.refuse("fence");
        }
        inner.fence = hold.fence_token;
        inner.ends.retain(|(number, ..)| *number > hold.ack_index);
    }
    loop {
        worker.work();
        let over = time::Instant::now() >= until;
        if over || !lock(&worker.inner).ends.is_empty() {
            let response = worker.report();
            return worker.answer(response).await;
        }
        time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

impl Worker {
    fn report(&self) -> Response {
        let inner = lock(&self.inner);
        let running: Vec<_> = inner
            .running
            .iter()
            .map(|(task, running)| json!([task, running.run, "", 50, 0]))
            .collect();
        let ends: Vec<_> = inner
            .ends
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        Json(json!({
            "clockMs": self.clock_ms(),
            "born": 1,
            "running": running,
            "endedRuns": ends,
        }))
        .into_response()
    }
}
