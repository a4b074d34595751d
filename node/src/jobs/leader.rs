//! The task of the jobs duty's leader: drives [`wasabiloft::job::duty`] with reads, commits and calls to workers.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job::duty::{self, Input, Output, Reply, Token};
use wasabiloft::job::{inbox, spec};
use wasabiloft::journal;
use wasabiloft::platform as messages;

use super::calls;
use crate::duties;
use crate::log;
use crate::node;
use crate::platform;

/// Rows in a page when the jobs are loaded.
const PAGE_ROWS: usize = 500;
/// Interval between reads of the workers' resource usage, in milliseconds.
const USAGE_INTERVAL_MS: u64 = 2_000;
/// Interval between reads of the list of VMs, in milliseconds.
const VMS_INTERVAL_MS: u64 = 2_000;
/// Delay before a failed read is retried, in milliseconds.
const READ_RETRY_MS: u64 = 500;
/// Delay before a leader whose state no longer matches the rows restarts with new state, in milliseconds.
///
/// None of its earlier calls is in flight after this time.
const RESTART_DELAY_MS: u64 = duty::CALL_TIMEOUT_MS + duty::LEASE_MARGIN_MS;

/// The result of a spawned read, commit or call.
enum Completion {
    Loaded(Vec<messages::Row>, bool),
    Estimates(Option<messages::Row>),
    Inbox(Vec<messages::Row>),
    Read(Vec<messages::Row>, Vec<id::Job>),
    Settled(Token, messages::Outcome),
    Vms(messages::VmList),
    Usage(messages::UsageList),
    Replied(Reply),
    Nothing,
}

/// Leads the duty until its lease is lost.
pub async fn run(shared: Arc<node::Shared>, context: duties::Context) {
    while !context.lease_lost.is_cancelled() {
        lead(&shared, &context).await;
        tokio::select! {
            () = context.lease_lost.cancelled() => {}
            () = time::sleep(Duration::from_millis(RESTART_DELAY_MS)) => {}
        }
    }
}

/// Leads the duty with one state machine until the lease is lost or the state machine steps down.
async fn lead(shared: &Arc<node::Shared>, context: &duties::Context) {
    let settings = duty::Settings {
        duty: context.grant.duty.clone(),
        epoch: context.grant.epoch,
        runner_reserve_permille: super::RUNNER_RESERVE_PERMILLE,
    };
    let (duty, outputs) = duty::Duty::new(settings, now(shared));
    let mut leader = Leader {
        shared: Arc::clone(shared),
        context: context.clone(),
        duty,
        pending: JoinSet::new(),
        stepped_down: false,
    };
    leader.perform(outputs);
    leader.poll_vms(0);
    leader.poll_usage(0);
    leader.run().await;
    leader.pending.shutdown().await;
}

struct Leader {
    shared: Arc<node::Shared>,
    context: duties::Context,
    duty: duty::Duty,
    pending: JoinSet<Completion>,
    stepped_down: bool,
}

impl Leader {
    async fn run(&mut self) {
        let lost = self.context.lease_lost.clone();
        let mut view = self.shared.view.subscribe();
        view.mark_changed();
        let mut tick = time::interval(Duration::from_millis(duty::TICK_MS));
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !self.stepped_down {
            tokio::select! {
                () = lost.cancelled() => return,
                _ = tick.tick() => self.feed(Input::Tick),
                () = self.shared.jobs.inbox_changed() => self.feed(Input::InboxChanged),
                Some(completion) = self.pending.join_next() => {
                    self.complete(completion.unwrap_or(Completion::Nothing))
                },
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let documents = documents(&view.borrow_and_update());
                    self.feed(Input::Documents(&documents));
                }
            }
        }
    }

    fn feed(&mut self, input: Input<'_>) {
        let outputs = self.duty.handle(now(&self.shared), input);
        self.perform(outputs);
    }

    fn complete(&mut self, completion: Completion) {
        match completion {
            Completion::Loaded(rows, last) => self.feed(Input::Loaded { rows: &rows, last }),
            Completion::Estimates(row) => self.feed(Input::Estimates(row.as_ref())),
            Completion::Inbox(rows) => self.feed(Input::Inbox(&rows)),
            Completion::Read(rows, absent) => {
                let (rows, absent) = (&rows, &absent);
                self.feed(Input::Read { rows, absent });
            }
            Completion::Settled(token, outcome) => {
                let outcome = &outcome;
                self.feed(Input::Settled { token, outcome });
            }
            Completion::Vms(list) => {
                self.feed(Input::Vms(&list));
                self.poll_vms(VMS_INTERVAL_MS);
            }
            Completion::Usage(list) => {
                self.feed(Input::Usage(&list));
                self.poll_usage(USAGE_INTERVAL_MS);
            }
            Completion::Replied(reply) => self.feed(Input::Replied(&reply)),
            Completion::Nothing => {}
        }
    }

    fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Load { after } => self.load(after),
                Output::ReadEstimates => self.read_estimates(),
                Output::ReadInbox => self.read_inbox(),
                Output::ReadJobs(jobs) => self.read_jobs(jobs),
                Output::Commit { token, txn } => self.commit(token, txn),
                Output::Call(call) => self.call(call),
                Output::Drained(vm) => log::info("jobs", &format!("drained vm={vm}")),
                Output::StepDown => {
                    log::warn("jobs", "leader restarts with new state");
                    self.stepped_down = true;
                }
                Output::Count(event) => {
                    let event = event.to_string();
                    metrics::counter!("wasabiloft_jobs_total", "event" => event).increment(1);
                }
            }
        }
    }

    fn load(&mut self, after: Option<id::Key>) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            let after = after.as_ref().map_or("", id::Key::as_str);
            let rows = retry(|| platform.page(spec::ROW_PREFIX, after, PAGE_ROWS)).await;
            let last = rows.is_empty();
            Completion::Loaded(rows, last)
        });
    }

    fn read_estimates(&mut self) {
        let platform = self.context.platform.clone();
        let key = id::Key::from(duty::ESTIMATES_KEY);
        self.pending
            .spawn(async move { Completion::Estimates(retry(|| platform.row(&key)).await) });
    }

    fn read_inbox(&mut self) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            let rows = platform.range(inbox::PREFIX).await;
            rows.map_or(Completion::Nothing, Completion::Inbox)
        });
    }

    fn read_jobs(&mut self, jobs: Vec<id::Job>) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            let keys: Vec<id::Key> = jobs.iter().map(spec::row_key).collect();
            let mut reads: FuturesUnordered<_> = jobs
                .into_iter()
                .zip(&keys)
                .map(|(job, key)| async { (job, retry(|| platform.row(key)).await) })
                .collect();
            let mut rows = Vec::new();
            let mut absent = Vec::new();
            while let Some((job, row)) = reads.next().await {
                match row {
                    Some(row) => rows.push(row),
                    None => absent.push(job),
                }
            }
            Completion::Read(rows, absent)
        });
    }

    fn commit(&mut self, token: Token, txn: messages::Txn) {
        let context = self.context.clone();
        self.pending.spawn(async move {
            let keys: Vec<id::Key> = txn.writes.iter().map(|write| write.key.clone()).collect();
            let outcome = match context.commit(txn).await {
                Some(journal::Settled::Committed(committed)) => {
                    messages::Outcome::Committed(committed)
                }
                Some(journal::Settled::CommittedUnseen) => {
                    messages::Outcome::Committed(versions_of(&context.platform, &keys).await)
                }
                Some(journal::Settled::Refused(refused)) => messages::Outcome::Refused(refused),
                None => messages::Outcome::Unknown,
            };
            Completion::Settled(token, outcome)
        });
    }

    fn call(&mut self, call: duty::Call) {
        let context = self.context.clone();
        self.pending.spawn(async move {
            let result = if context.may_act() {
                calls::perform(&context.platform, &call).await
            } else {
                duty::CallResult::Lost
            };
            Completion::Replied(Reply { call, result })
        });
    }

    fn poll_vms(&mut self, delay_ms: u64) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            Completion::Vms(retry(|| platform.vms()).await)
        });
    }

    fn poll_usage(&mut self, delay_ms: u64) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            Completion::Usage(retry(|| platform.usage()).await)
        });
    }
}

/// Retries a read until it succeeds; cancelled when the leader ends.
async fn retry<T, F, R>(read: F) -> T
where
    F: Fn() -> R,
    R: Future<Output = Result<T, platform::Error>>,
{
    loop {
        match read().await {
            Ok(value) => return value,
            Err(error) => {
                metrics::counter!("wasabiloft_jobs_total", "event" => "read-retry").increment(1);
                log::warn("jobs", &format!("read failed, will be retried: {error}"));
                time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            }
        }
    }
}

/// Reads the versions of rows written by a transaction whose reply was lost.
async fn versions_of(platform: &platform::Client, keys: &[id::Key]) -> messages::Committed {
    let mut versions = Vec::with_capacity(keys.len());
    for key in keys {
        let row = retry(|| platform.row(key)).await;
        versions.push(row.map_or(0, |row| row.version));
    }
    messages::Committed { versions }
}

fn documents(view: &crate::view::View) -> Vec<document::Document> {
    let accepted = view.documents.values();
    accepted.map(|accepted| accepted.document.clone()).collect()
}

fn now(shared: &node::Shared) -> duty::Now {
    duty::Now {
        at: shared.clock.now(),
        unix_ms: super::unix_ms(),
    }
}
