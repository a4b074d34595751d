//! Admission of submissions: counts them for each account, reports the counts to the leader and applies its limits.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use wasabiloft::batch::{JobId, accounts, admission_limit, queue, record, spec};
use wasabiloft::id;

use crate::batch::front::Outcome;
use crate::batch::{leadership, requests, shared};
use crate::clock;
use crate::log;

/// Wait that a caller is told whose job exceeds the account's quota, in seconds: within its attempts, the quota can
/// have been raised.
const QUOTA_RETRY_S: u64 = 4;

/// What a follower was offered, as it reports it with its heartbeats.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the node, under which its newest report counts.
    pub node: String,
    /// Submissions of each account.
    pub accounts: Vec<admission_limit::Offered>,
}

/// The leader's limits, as they are returned with heartbeats.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Reply {
    /// Number of nodes that report.
    pub nodes: u64,
    /// The accounts that are limited.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<admission_limit::Limit>,
}

/// The limiter of a leadership.
#[derive(Debug, Default)]
struct Leading {
    epoch: u64,
    limiter: admission_limit::Limiter,
}

/// Admission at this node, and of all nodes while it leads.
#[derive(Debug, Default)]
pub struct Admission {
    gate: Mutex<admission_limit::Gate>,
    leading: Mutex<Leading>,
    /// Notified when the next heartbeat should be sent at once.
    pub report_early: Notify,
}

impl Admission {
    fn gate(&self) -> MutexGuard<'_, admission_limit::Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limiter of an epoch; what is left of an earlier one is dropped.
    fn leading(&self, epoch: u64) -> MutexGuard<'_, Leading> {
        let mut leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        if leading.epoch != epoch {
            leading.epoch = epoch;
            leading.limiter.clear();
        }
        leading
    }

    /// Returns the interval until the next heartbeat, given the regular one, in milliseconds.
    pub fn heartbeat_ms(&self, regular_ms: u64) -> u64 {
        self.gate().heartbeat_ms(regular_ms, clock::since_boot())
    }
}

fn settings(shared: &shared::Shared) -> admission_limit::Settings {
    let stated = shared.settings().accounts;
    admission_limit::Settings::new(
        stated.rate_window_ms,
        stated.overage_milli,
        stated.slack_jobs,
    )
}

/// Returns the report for the next heartbeat; `None` if the configuration has no accounts.
pub fn report(shared: &shared::Shared, config: Option<&queue::Config>) -> Option<Report> {
    config?.accounts.as_ref()?;
    let now = clock::since_boot();
    Some(Report {
        node: shared.settings().node.clone(),
        accounts: shared.admission.gate().report(&settings(shared), now),
    })
}

/// Applies the leader's reply to a heartbeat that was sent at `sent_at`.
pub fn replied(shared: &shared::Shared, reply: Reply, sent_at: wasabiloft::clock::Instant) {
    shared
        .admission
        .gate()
        .replied(reply.limits, reply.nodes, sent_at);
}

/// Records a follower's report and returns the limits in force.
pub fn reported(
    shared: &shared::Shared,
    leadership: &leadership::Leadership,
    report: Report,
) -> Reply {
    let now = clock::since_boot();
    {
        let mut leading = shared.admission.leading(leadership.epoch);
        leading.limiter.report(&report.node, report.accounts, now);
    }
    decide(shared, leadership);
    let leading = shared.admission.leading(leadership.epoch);
    Reply {
        nodes: leading.limiter.nodes(now),
        limits: leading.limiter.limits(),
    }
}

/// Decides the limits if that is due, and applies them to this node.
fn decide(shared: &shared::Shared, leadership: &leadership::Leadership) {
    let config = shared.current_config().config;
    let Some(accounts) = config.as_ref().and_then(|config| config.accounts.as_ref()) else {
        return;
    };
    let now = clock::since_boot();
    let settings = settings(shared);
    if !shared
        .admission
        .leading(leadership.epoch)
        .limiter
        .is_due(now)
    {
        return;
    }
    let own = shared.admission.gate().report(&settings, now);
    let needs_waits = {
        let mut leading = shared.admission.leading(leadership.epoch);
        leading.limiter.report(&shared.settings().node, own, now);
        leading.limiter.needs_waits(&settings, accounts, now)
    };
    let late = if needs_waits {
        leadership.scheduler().late_accounts(clock::unix_ms())
    } else {
        BTreeSet::new()
    };
    let steady_ms = now
        .since_ms(leadership.began_at)
        .min(shared.store_steady_ms());
    let mut leading = shared.admission.leading(leadership.epoch);
    let limiter = &mut leading.limiter;
    for decision in limiter.decide(&settings, accounts, &late, steady_ms, now) {
        let what = match decision.change {
            admission_limit::Change::Entered => "limit begins",
            admission_limit::Change::Left => "limit ends",
        };
        log::info(
            "admission",
            &format!(
                "{what} account={} offered={} tolerated={} rate_milli={} admitted_milli={}",
                decision.account,
                decision.in_window,
                decision.jobs_max,
                decision.rate_milli,
                decision.admitted_milli
            ),
        );
    }
    let (limits, nodes) = (limiter.limits(), limiter.nodes(now));
    drop(leading);
    shared.admission.gate().replied(limits, nodes, now);
}

/// Returns the limits that this node has decided as the leader.
pub fn limits(
    shared: &shared::Shared,
    leadership: &leadership::Leadership,
) -> Vec<admission_limit::Limit> {
    shared.admission.leading(leadership.epoch).limiter.limits()
}

/// Submits a job of an account unless the account's quota or rate excludes it.
pub async fn submit(
    shared: &Arc<shared::Shared>,
    accounts: &accounts::Accounts,
    name: &id::Account,
    job: JobId,
    accepted: record::Accepted,
    deadline: wasabiloft::clock::Instant,
) -> Outcome {
    if let Some(leadership) = shared.leadership() {
        decide(shared, &leadership);
    }
    let Some(account) = accounts.get(name) else {
        return requests::submit(shared, job, accepted, deadline).await;
    };
    let rejection = reject(shared, name, account, &accepted.spec);
    if let Some(rejection) = &rejection {
        // The caller may repeat a job that was accepted before, which a rejection would deny.
        match requests::is_stored(shared, job, deadline, requests::STORED_READ_MS).await {
            Some(false) => {
                if matches!(rejection, Outcome::RateExceeded { .. }) {
                    count(shared, name, account);
                }
                return rejection.clone();
            }
            Some(true) => {
                return Outcome::Done(wasabiloft_platform::submission::state_body(
                    record::State::Queued,
                ));
            }
            // Nothing proves that the job is not stored; the conditional write settles it.
            None if matches!(rejection, Outcome::QuotaExceeded { .. }) => {
                return Outcome::NotRun("store-refused");
            }
            None => {}
        }
    }
    let outcome = requests::submit(shared, job, accepted, deadline).await;
    if matches!(outcome, Outcome::Done(_)) {
        count(shared, name, account);
    }
    outcome
}

fn count(shared: &shared::Shared, name: &id::Account, account: &accounts::Account) {
    let settings = settings(shared);
    let now = clock::since_boot();
    let reports_early = shared
        .admission
        .gate()
        .offered(&settings, name, account, now);
    if reports_early && shared.leadership().is_none() {
        shared.admission.report_early.notify_one();
    }
}

fn reject(
    shared: &shared::Shared,
    name: &id::Account,
    account: &accounts::Account,
    spec: &spec::Spec,
) -> Option<Outcome> {
    if let Some(exceeds) = admission_limit::exceeds_quota(&account.limits, spec) {
        let message = format!(
            "step {} needs {} thousandths of a core, {} MiB and {} accelerators at once, which exceeds the quota of the account",
            exceeds.step,
            exceeds.need.cpu_milli,
            exceeds.need.memory_mib,
            exceeds.need.accelerators
        );
        return Some(Outcome::QuotaExceeded {
            message,
            wait_s: QUOTA_RETRY_S,
        });
    }
    let gate = shared.admission.gate();
    let admitted = gate.admit(name, rand::random(), clock::since_boot());
    admitted
        .err()
        .map(|wait_s| Outcome::RateExceeded { wait_s })
}
