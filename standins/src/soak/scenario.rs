//! Scripted faults on a soak's environment: a test submits jobs and injects one fault after another.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio::task::JoinHandle;
use tokio::time;

use crate::client::Client;
use crate::hosted::checker::Submission;
use crate::soak::world::{QUEUES, World};
use crate::soak::{Options, callers, faults};

/// Timeout of a condition, in milliseconds.
const TIMEOUT_MS: u64 = 20_000;
/// Interval between two checks of a condition, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

/// A soak's environment without random faults and callers.
pub struct Scenario {
    /// The processes and stand-ins.
    pub world: Arc<World>,
    client: Client,
    updates: JoinHandle<()>,
}

impl Drop for Scenario {
    fn drop(&mut self) {
        self.updates.abort();
    }
}

impl Scenario {
    /// Starts the environment.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or a stand-in can't be started.
    pub async fn start(options: &Options) -> io::Result<Self> {
        let world = Arc::new(World::start(options).await?);
        let updates = tokio::spawn(Arc::clone(&world).run_updates());
        Ok(Self {
            world,
            client: Client::default(),
            updates,
        })
    }

    /// Submits a job of one step to the first queue, until a node accepts it.
    ///
    /// # Errors
    ///
    /// Returns an error if no node accepts it in time.
    pub async fn submit(&self, id: &str, tasks: u32, spec: &str) -> io::Result<()> {
        let world = &self.world;
        world.checker.submission_started(id, spec, &[tasks]);
        let path = format!("{}{id}", QUEUES[0].0);
        let is_accepted = async || {
            let body = callers::body(spec, &[tasks], false);
            // The leader may be frozen, and any other node accepts the job as well.
            let leader = world.leader().map(|(leader, _)| world.addresses[leader]);
            let nodes = world.addresses.iter();
            for node in nodes.filter(|address| Some(**address) != leader) {
                let response = callers::send_request(
                    world,
                    &self.client,
                    *node,
                    Method::POST,
                    &path,
                    body.clone(),
                    None,
                );
                if matches!(response.await, Some((200, _))) {
                    return true;
                }
            }
            false
        };
        self.until("the job is accepted", is_accepted).await?;
        let checker = &world.checker;
        checker.submission_ended(id, Submission::Accepted);
        Ok(())
    }

    /// Freezes the leader, cuts workers off, wakes the leader with slow ways to all others, and ends the cut.
    pub async fn freeze_leader(&self, leader: usize, cut: &[usize], delay_ms: u64) {
        faults::freeze_leader(&self.world, leader, cut, delay_ms).await;
    }

    /// Returns a job's state in the first queue, from the first node that tells it.
    pub async fn state(&self, id: &str) -> Option<String> {
        let world = &self.world;
        let path = format!("{}{id}", QUEUES[0].0);
        for node in &world.addresses {
            let response = callers::send_request(
                world,
                &self.client,
                *node,
                Method::GET,
                &path,
                Vec::new(),
                None,
            );
            if let Some((200, body)) = response.await {
                let body: serde_json::Value = serde_json::from_str(&body).ok()?;
                return body["state"].as_str().map(str::to_owned);
            }
        }
        None
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't hold in time.
    pub async fn until<F>(&self, what: &str, mut condition: F) -> io::Result<()>
    where
        F: AsyncFnMut() -> bool,
    {
        let deadline = time::Instant::now() + Duration::from_millis(TIMEOUT_MS);
        while !condition().await {
            if time::Instant::now() >= deadline {
                let logs = self.world.keep_logs();
                let text = format!("not in time: {what}; logs in {}", logs.display());
                return Err(io::Error::other(text));
            }
            time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
        Ok(())
    }

    /// Waits for a time in milliseconds.
    pub async fn pause(&self, for_ms: u64) {
        time::sleep(Duration::from_millis(for_ms)).await;
    }

    /// Returns the worker with the most runs, and their number.
    pub fn busiest_worker(&self) -> (usize, usize) {
        let counts = self.world.workers.iter().enumerate();
        let counts = counts.map(|(number, proxied)| (proxied.worker.state.running_count(), number));
        let (running, number) = counts.max().unwrap_or_default();
        (number, running)
    }
}
