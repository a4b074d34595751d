//! Scripted faults on a soak's environment: a test submits jobs and injects one fault after another.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use rustix::process::Signal;
use tokio::task::JoinHandle;
use tokio::time;

use crate::client::Client;
use crate::hosted::checker::Submission;
use crate::proxy::{Cut, Fault};
use crate::soak::world::{Path, QUEUES, World};
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

    /// Submits a job of one step to the first queue at a node, and returns whether the node accepts it.
    pub async fn submit_to(&self, node: usize, id: &str, tasks: u32, spec: &str) -> bool {
        let world = &self.world;
        world.checker.submission_started(id, spec, &[tasks]);
        let path = format!("{}{id}", QUEUES[0].0);
        let response = callers::send_request(
            world,
            &self.client,
            world.addresses[node],
            Method::POST,
            &path,
            callers::body(spec, &[tasks], false),
            None,
        );
        let is_accepted = matches!(response.await, Some((200, _)));
        if is_accepted {
            world.checker.submission_ended(id, Submission::Accepted);
        }
        is_accepted
    }

    /// Cancels a job of the first queue at the first node, and returns whether the node answers that it did.
    pub async fn cancel(&self, id: &str) -> bool {
        let world = &self.world;
        let path = format!("{}{id}", QUEUES[0].0);
        let response = callers::send_request(
            world,
            &self.client,
            world.addresses[0],
            Method::DELETE,
            &path,
            Vec::new(),
            None,
        );
        matches!(response.await, Some((200, _)))
    }

    /// Cuts paths until [`Scenario::join`].
    pub fn cut(&self, paths: &[Path], cut: Cut) {
        for path in paths {
            self.world.path(*path).set(cut.fault());
        }
    }

    /// Ends the cuts of paths; what was open during them stays silent.
    pub fn join(&self, paths: &[Path]) {
        for path in paths {
            let proxy = self.world.path(*path);
            proxy.set(Fault::default());
            proxy.silence_open();
        }
    }

    /// Stops a node with a signal, and waits until its process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't exit in time.
    pub async fn stop(&self, node: usize, signal: Signal) -> io::Result<()> {
        self.world.node(node).signal(signal);
        let has_exited = async || self.world.node(node).has_exited();
        self.until("the node exits", has_exited).await
    }

    /// Waits until a node leads the duty with a higher epoch than the given one, and returns its number and epoch.
    ///
    /// # Errors
    ///
    /// Returns an error if none does in time.
    pub async fn leader_after(&self, epoch: u64) -> io::Result<(usize, u64)> {
        let newest = || self.world.leader().filter(|(_, newest)| *newest > epoch);
        self.until("a node leads", async || newest().is_some())
            .await?;
        newest().ok_or_else(|| io::Error::other("no node leads"))
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
