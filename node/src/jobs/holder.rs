//! The task of the jobs duty's holder: reads, writes and calls around [`wasabiloft::job::duty`].

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

/// Rows in a page of jobs.
const PAGE_ROWS: usize = 500;
/// Time between two reads of the workers' use, in milliseconds.
const USAGE_MS: u64 = 2_000;
/// Time between two reads of the VMs, in milliseconds.
const VMS_MS: u64 = 2_000;
/// Wait before a read that failed is tried again, in milliseconds.
const READ_RETRY_MS: u64 = 500;
/// Wait before a holder that lost track of the rows starts anew, so that none of its calls is still on its
/// way, in milliseconds.
const RESTART_MS: u64 = duty::CALL_TIMEOUT_MS + duty::LEASE_MARGIN_MS;

/// Something that was asked for has come.
enum Done {
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

/// Holds the duty until its lease is lost.
pub async fn run(shared: Arc<node::Shared>, context: duties::Context) {
    while !context.lost.is_cancelled() {
        hold(&shared, &context).await;
        tokio::select! {
            () = context.lost.cancelled() => {}
            () = time::sleep(Duration::from_millis(RESTART_MS)) => {}
        }
    }
}

/// Holds the duty with one state until the lease is lost or the state gives up.
async fn hold(shared: &Arc<node::Shared>, context: &duties::Context) {
    let settings = duty::Settings {
        duty: context.grant.duty.clone(),
        epoch: context.grant.epoch,
        runner_reserve_permille: super::RUNNER_RESERVE_PERMILLE,
    };
    let (duty, outputs) = duty::Duty::new(settings, now(shared));
    let mut holder = Holder {
        shared: Arc::clone(shared),
        context: context.clone(),
        duty,
        pending: JoinSet::new(),
        gave_up: false,
    };
    holder.act(outputs);
    holder.poll_vms(0);
    holder.poll_usage(0);
    holder.run().await;
    holder.pending.shutdown().await;
}

struct Holder {
    shared: Arc<node::Shared>,
    context: duties::Context,
    duty: duty::Duty,
    pending: JoinSet<Done>,
    gave_up: bool,
}

impl Holder {
    async fn run(&mut self) {
        let lost = self.context.lost.clone();
        let mut view = self.shared.view.subscribe();
        view.mark_changed();
        let mut tick = time::interval(Duration::from_millis(duty::TICK_MS));
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !self.gave_up {
            tokio::select! {
                () = lost.cancelled() => return,
                _ = tick.tick() => self.give(Input::Tick),
                () = self.shared.jobs.nudged() => self.give(Input::InboxChanged),
                Some(done) = self.pending.join_next() => self.take(done.unwrap_or(Done::Nothing)),
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let documents = documents(&view.borrow_and_update());
                    self.give(Input::Documents(&documents));
                }
            }
        }
    }

    fn give(&mut self, input: Input<'_>) {
        let outputs = self.duty.handle(now(&self.shared), input);
        self.act(outputs);
    }

    fn take(&mut self, done: Done) {
        match done {
            Done::Loaded(rows, last) => self.give(Input::Loaded { rows: &rows, last }),
            Done::Estimates(row) => self.give(Input::Estimates(row.as_ref())),
            Done::Inbox(rows) => self.give(Input::Inbox(&rows)),
            Done::Read(rows, absent) => {
                let (rows, absent) = (&rows, &absent);
                self.give(Input::Read { rows, absent });
            }
            Done::Settled(token, outcome) => {
                let outcome = &outcome;
                self.give(Input::Settled { token, outcome });
            }
            Done::Vms(list) => {
                self.give(Input::Vms(&list));
                self.poll_vms(VMS_MS);
            }
            Done::Usage(list) => {
                self.give(Input::Usage(&list));
                self.poll_usage(USAGE_MS);
            }
            Done::Replied(reply) => self.give(Input::Replied(&reply)),
            Done::Nothing => {}
        }
    }

    fn act(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Load { after } => self.load(after),
                Output::ReadEstimates => self.read_estimates(),
                Output::ReadInbox => self.read_inbox(),
                Output::ReadJobs(jobs) => self.read_jobs(jobs),
                Output::Commit { token, txn } => self.commit(token, txn),
                Output::Call(call) => self.call(call),
                Output::Drained(vm) => log::info("jobs", &format!("vacated vm={vm}")),
                Output::StepDown => {
                    log::warn("jobs", "holder starts anew");
                    self.gave_up = true;
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
            Done::Loaded(rows, last)
        });
    }

    fn read_estimates(&mut self) {
        let platform = self.context.platform.clone();
        let key = id::Key::from(duty::ESTIMATES_KEY);
        self.pending
            .spawn(async move { Done::Estimates(retry(|| platform.row(&key)).await) });
    }

    fn read_inbox(&mut self) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            let rows = platform.range(inbox::PREFIX).await;
            rows.map_or(Done::Nothing, Done::Inbox)
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
            Done::Read(rows, absent)
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
            Done::Settled(token, outcome)
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
            Done::Replied(Reply { call, result })
        });
    }

    fn poll_vms(&mut self, after_ms: u64) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            time::sleep(Duration::from_millis(after_ms)).await;
            Done::Vms(retry(|| platform.vms()).await)
        });
    }

    fn poll_usage(&mut self, after_ms: u64) {
        let platform = self.context.platform.clone();
        self.pending.spawn(async move {
            time::sleep(Duration::from_millis(after_ms)).await;
            Done::Usage(retry(|| platform.usage()).await)
        });
    }
}

/// Reads until there is an answer; the holder's end cancels it.
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
                log::warn("jobs", &format!("could not read: {error}"));
                time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            }
        }
    }
}

/// The versions of rows that were written by a transaction whose reply was lost.
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
