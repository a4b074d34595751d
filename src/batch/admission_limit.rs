//! Admission limits: which submissions of an account that exceeds its rate are still admitted.
//!
//! Answers the load in which one account submits several times its rate for seconds, through tens of nodes that each see
//! a small and uneven part of it. Each node reports what it was offered, the leader sums the reports and returns the
//! fraction that the nodes admit. Reports state totals of a window instead of differences, so that a lost or repeated
//! report, a new leader and a restarted node need no correction. All uncertainty admits: the leader's scheduling order
//! protects the other accounts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::batch::accounts;
use crate::batch::spec;
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Window over which rates are measured if the deployment states none, in milliseconds.
const WINDOW_DEFAULT_MS: u64 = 10_000;
/// Tolerated excess over a rate if the deployment states none, in thousandths.
const OVERAGE_DEFAULT_MILLI: u64 = 100;
/// Tolerated excess over a rate if the deployment states none, in jobs.
const SLACK_DEFAULT_JOBS: u64 = 5;
/// Length of a slot in which submissions are counted, in milliseconds.
const SLOT_MS: u64 = 250;
/// Time over which the present rate is measured, in milliseconds; nodes without a strong processor report at this
/// interval.
const RECENT_MS: u64 = 2_000;
/// A report states the present rate for this long, in milliseconds: the longest interval between reports, and the
/// timeout of one.
const REPORT_VALID_MS: u64 = 2_500;
/// A node follows the leader's newest reply for this long, in milliseconds.
const REPLY_VALID_MS: u64 = 2_000;
/// Interval at which the leader decides, in milliseconds.
const DECIDE_MS: u64 = 250;
/// No limit begins for this long after an outage or a change of the leader, in milliseconds: callers that were refused
/// return together then, which is no excess of their account.
const RECOVERY_MS: u64 = 10_000;
/// Interval of reports of a node that enforces a limit or is offered more than its share, in milliseconds, for each
/// reporting node: bounds the additional reports of all nodes to some 70 a second.
const REPORT_PER_NODE_MS: u64 = 15;
/// Range of that interval, in milliseconds. Above its end, the leader's reply would expire between two reports.
const REPORT_MS: (u64, u64) = (500, 1_500);
/// Maximum number of accounts in a report, those with the most submissions; bounds the size of a heartbeat.
const REPORTED_MAX: usize = 64;
/// Longest wait that a rejected caller is told, in seconds; most jobs have lost their value after more.
const WAIT_MAX_S: u64 = 4;

/// The limits of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Window over which an account's rate is measured, in milliseconds.
    pub window_ms: u64,
    /// Tolerated excess over the rate, in thousandths.
    pub overage_milli: u64,
    /// Tolerated excess over the rate in a window, in jobs.
    pub slack_jobs: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window_ms: WINDOW_DEFAULT_MS,
            overage_milli: OVERAGE_DEFAULT_MILLI,
            slack_jobs: SLACK_DEFAULT_JOBS,
        }
    }
}

impl Settings {
    /// Replaces the defaults by what a deployment states.
    pub fn new(
        window_ms: Option<u64>,
        overage_milli: Option<u64>,
        slack_jobs: Option<u64>,
    ) -> Self {
        let default = Self::default();
        Self {
            window_ms: window_ms.unwrap_or(default.window_ms).max(SLOT_MS),
            overage_milli: overage_milli.unwrap_or(default.overage_milli),
            slack_jobs: slack_jobs.unwrap_or(default.slack_jobs),
        }
    }

    /// Returns the tolerated rate of an account, in thousandths of a job a second.
    fn rate_milli(&self, account: &accounts::Account) -> u64 {
        account.weight_milli * (1_000 + self.overage_milli) / 1_000
    }

    /// Returns the tolerated number of jobs of an account in a window.
    fn jobs_max(&self, account: &accounts::Account) -> u64 {
        self.rate_milli(account) * self.window_ms / 1_000_000 + self.slack_jobs
    }
}

/// Submissions of one account that a node was offered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// The account.
    pub account: id::Account,
    /// Submissions within the window of the rate.
    pub in_window: u64,
    /// Submissions within the last two seconds.
    pub recent: u64,
}

/// The fraction of an account's submissions that the nodes admit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The account.
    pub account: id::Account,
    /// Fraction that is admitted, in thousandths.
    pub admitted_milli: u64,
    /// Time in which the account's rate takes what it submitted in excess, in milliseconds.
    pub room_ms: u64,
}

/// Why a job can never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExceedsQuota {
    /// The step whose tasks need more than the quota.
    pub step: usize,
    /// What its tasks need that run at the same time.
    pub need: Resources,
}

/// Returns the first step of a job that can never start within the limits, as a task, or all tasks of a gang, alone
/// exceed them.
pub fn exceeds_quota(limits: &accounts::Limits, spec: &spec::Spec) -> Option<ExceedsQuota> {
    spec.steps.iter().enumerate().find_map(|(number, step)| {
        let at_once = if step.gang { step.tasks.max(1) } else { 1 };
        let need = Resources {
            cpu_milli: step.need.cpu_milli.saturating_mul(u64::from(at_once)),
            memory_mib: step.need.memory_mib.saturating_mul(u64::from(at_once)),
            accelerators: step.need.accelerators.saturating_mul(at_once),
        };
        (!limits.admit(&need)).then_some(ExceedsQuota { step: number, need })
    })
}

/// Counts of submissions in slots of time, oldest first.
#[derive(Clone, Debug, Default)]
struct Slots {
    slots: VecDeque<(u64, u64)>,
    since_report: u64,
}

impl Slots {
    fn add(&mut self, now: clock::Instant) {
        let slot = now.as_ms() / SLOT_MS;
        match self.slots.back_mut() {
            Some((newest, count)) if *newest == slot => *count += 1,
            _ => self.slots.push_back((slot, 1)),
        }
        self.since_report += 1;
    }

    fn prune(&mut self, window_ms: u64, now: clock::Instant) {
        let first = now.as_ms().saturating_sub(window_ms) / SLOT_MS;
        while self.slots.front().is_some_and(|(slot, _)| *slot < first) {
            self.slots.pop_front();
        }
    }

    fn count(&self, window_ms: u64, now: clock::Instant) -> u64 {
        let first = now.as_ms().saturating_sub(window_ms) / SLOT_MS;
        let within = self.slots.iter().rev();
        // Without the slot that is only partly within the window, so that no rate is overstated.
        let within = within.take_while(|(slot, _)| *slot > first);
        within.map(|(_, count)| count).sum()
    }
}

/// Admission at one node: counts what is offered and applies the leader's newest reply.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    offered: BTreeMap<id::Account, Slots>,
    limits: BTreeMap<id::Account, Limit>,
    replied_at: Option<clock::Instant>,
    reported_at: clock::Instant,
    /// Number of nodes that report, from the leader's newest reply; 0 before the first.
    nodes: u64,
}

impl Gate {
    /// Counts a submission that was stored, or rejected because of a limit.
    ///
    /// Submissions that failed for another reason are not counted, so that repeats during an outage of the store don't
    /// look like an excess. Returns whether the node should report before its next regular heartbeat, since the account
    /// is offered here above its share among the nodes.
    pub fn offered(
        &mut self,
        settings: &Settings,
        name: &id::Account,
        account: &accounts::Account,
        now: clock::Instant,
    ) -> bool {
        let early_ms = self.early_ms();
        let elapsed_ms = now.since_ms(self.reported_at);
        let slots = self.offered.entry(name.clone()).or_default();
        slots.add(now);
        slots.prune(settings.window_ms.max(RECENT_MS), now);
        if self.nodes == 0 || elapsed_ms < early_ms {
            return false;
        }
        let share = settings.rate_milli(account) * elapsed_ms / 1_000_000 / self.nodes;
        // One more, because a whole job is above the share of most nodes.
        let reports = slots.since_report > share + 1;
        if reports {
            // Without a leader no report follows, and each submission would ask for one.
            self.reported_at = now;
        }
        reports
    }

    /// Returns the counts for the next heartbeat, and starts the time until the next one.
    pub fn report(&mut self, settings: &Settings, now: clock::Instant) -> Vec<Offered> {
        self.reported_at = now;
        let window_ms = settings.window_ms;
        self.offered.retain(|_, slots| {
            slots.prune(window_ms.max(RECENT_MS), now);
            slots.since_report = 0;
            !slots.slots.is_empty()
        });
        let counts = self.offered.iter().map(|(account, slots)| Offered {
            account: account.clone(),
            in_window: slots.count(window_ms, now),
            recent: slots.count(RECENT_MS, now),
        });
        let mut counts: Vec<Offered> = counts.collect();
        if counts.len() > REPORTED_MAX {
            counts.sort_unstable_by_key(|offered| std::cmp::Reverse(offered.in_window));
            counts.truncate(REPORTED_MAX);
        }
        counts
    }

    /// Applies a reply of the leader.
    pub fn replied(&mut self, limits: Vec<Limit>, nodes: u64, now: clock::Instant) {
        self.limits = limits
            .into_iter()
            .map(|limit| (limit.account.clone(), limit))
            .collect();
        self.nodes = nodes;
        self.replied_at = Some(now);
    }

    fn is_limited(&self, now: clock::Instant) -> bool {
        !self.limits.is_empty()
            && self
                .replied_at
                .is_some_and(|at| now.since_ms(at) < REPLY_VALID_MS)
    }

    fn early_ms(&self) -> u64 {
        (self.nodes * REPORT_PER_NODE_MS).clamp(REPORT_MS.0, REPORT_MS.1)
    }

    /// Returns the interval until the next heartbeat, given the regular one, in milliseconds.
    pub fn heartbeat_ms(&self, regular_ms: u64, now: clock::Instant) -> u64 {
        if self.is_limited(now) {
            regular_ms.min(self.early_ms())
        } else {
            regular_ms
        }
    }

    /// Decides whether a submission is admitted; if not, returns after how many seconds its caller should come back.
    ///
    /// `random` draws the admitted submissions and spreads the returns of the others.
    pub fn admit(
        &self,
        account: &id::Account,
        random: u64,
        now: clock::Instant,
    ) -> Result<(), u64> {
        let Some(limit) = self
            .limits
            .get(account)
            .filter(|_| self.is_limited(now))
            .filter(|limit| random % 1_000 >= limit.admitted_milli)
        else {
            return Ok(());
        };
        let spread_s = limit.room_ms.div_ceil(1_000).clamp(1, WAIT_MAX_S);
        Err(1 + (random / 1_000) % spread_s)
    }
}

/// A change of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The account's submissions begin to be limited.
    Entered,
    /// All its submissions are admitted again.
    Left,
}

/// What the leader decided about an account, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The account.
    pub account: id::Account,
    /// Whether the limit begins or ends.
    pub change: Change,
    /// Submissions that all nodes were offered in the window.
    pub in_window: u64,
    /// The tolerated number of them.
    pub jobs_max: u64,
    /// The present rate, in thousandths of a submission a second.
    pub rate_milli: u64,
    /// The admitted fraction, in thousandths.
    pub admitted_milli: u64,
}

/// Sum of the reports about an account.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    in_window: u64,
    rate_milli: u64,
}

#[derive(Clone, Debug)]
struct Limited {
    admitted_milli: u64,
    room_ms: u64,
    /// When jobs of the account were last seen to wait too long.
    waited_at: clock::Instant,
}

/// The leader's view: the newest report of each node, and the limits in force.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    reports: BTreeMap<String, (clock::Instant, Vec<Offered>)>,
    limited: BTreeMap<id::Account, Limited>,
    decided_at: Option<clock::Instant>,
}

impl Limiter {
    /// Records a node's newest report.
    pub fn report(&mut self, node: &str, offered: Vec<Offered>, now: clock::Instant) {
        self.reports.insert(node.to_owned(), (now, offered));
    }

    /// Returns whether the limits should be decided anew.
    pub fn is_due(&self, now: clock::Instant) -> bool {
        self.decided_at
            .is_none_or(|at| now.since_ms(at) >= DECIDE_MS)
    }

    /// Returns the number of nodes whose reports are recent.
    pub fn nodes(&self, now: clock::Instant) -> u64 {
        let recent = self.reports.values();
        let recent = recent.filter(|(at, _)| now.since_ms(*at) <= REPORT_VALID_MS);
        recent.count() as u64
    }

    /// Adds up the reports.
    ///
    /// The total of a window decays from the moment of its report, as if the node was offered nothing since. So the
    /// callers of a lost node, which are offered to other nodes, aren't counted twice.
    fn sums(&self, settings: &Settings, now: clock::Instant) -> BTreeMap<&id::Account, Sum> {
        let mut sums: BTreeMap<&id::Account, Sum> = BTreeMap::new();
        for (at, offered) in self.reports.values() {
            let age_ms = now.since_ms(*at);
            for offered in offered {
                let sum = sums.entry(&offered.account).or_default();
                let left_ms = settings.window_ms.saturating_sub(age_ms);
                sum.in_window += offered.in_window * left_ms / settings.window_ms;
                if age_ms <= REPORT_VALID_MS {
                    sum.rate_milli += offered.recent * 1_000_000 / RECENT_MS;
                }
            }
        }
        sums
    }

    /// Returns whether any account is beyond its rate, or limited, so that the waiting jobs matter.
    pub fn needs_waits(
        &self,
        settings: &Settings,
        accounts: &accounts::Accounts,
        now: clock::Instant,
    ) -> bool {
        !self.limited.is_empty()
            || self.sums(settings, now).iter().any(|(name, sum)| {
                accounts
                    .get(name)
                    .is_some_and(|account| sum.in_window > settings.jobs_max(account))
            })
    }

    /// Decides the limits of all accounts.
    ///
    /// `late` holds the accounts whose jobs wait so long that they can't be in time; `steady_ms` is the time since the
    /// last outage of the store or change of the leader.
    pub fn decide(
        &mut self,
        settings: &Settings,
        accounts: &accounts::Accounts,
        late: &BTreeSet<id::Account>,
        steady_ms: u64,
        now: clock::Instant,
    ) -> Vec<Decision> {
        self.decided_at = Some(now);
        let expiry_ms = settings.window_ms.max(REPORT_VALID_MS);
        self.reports
            .retain(|_, (at, _)| now.since_ms(*at) <= expiry_ms);
        let sums: BTreeMap<id::Account, Sum> = self
            .sums(settings, now)
            .into_iter()
            .map(|(name, sum)| (name.clone(), sum))
            .collect();
        let mut decisions = Vec::new();
        for (name, account) in accounts.iter() {
            let sum = sums.get(name).copied().unwrap_or_default();
            let (jobs_max, rate_max) = (settings.jobs_max(account), settings.rate_milli(account));
            let exceeds = sum.in_window > jobs_max && sum.rate_milli > rate_max;
            let is_late = late.contains(name);
            let limited = self.limited.get(name);
            let keeps = match limited {
                None => is_late && steady_ms >= RECOVERY_MS,
                // Once the limit works, the admitted jobs wait no more; it stays for a window to not alternate.
                Some(limited) => is_late || now.since_ms(limited.waited_at) < settings.window_ms,
            };
            let decision = |change, admitted_milli| Decision {
                account: name.clone(),
                change,
                in_window: sum.in_window,
                jobs_max,
                rate_milli: sum.rate_milli,
                admitted_milli,
            };
            if !(exceeds && keeps) {
                if self.limited.remove(name).is_some() {
                    decisions.push(decision(Change::Left, 1_000));
                }
                continue;
            }
            // Without the tolerated excess, as nodes without a recent reply admit all.
            let fitting_milli = account.weight_milli * 1_000 / sum.rate_milli;
            // The mean of the old and the new value, because counts of few submissions vary by chance.
            let admitted_milli = limited.map_or(fitting_milli, |limited| {
                (limited.admitted_milli + fitting_milli) / 2
            });
            let excess = sum.in_window - jobs_max;
            if limited.is_none() {
                decisions.push(decision(Change::Entered, admitted_milli));
            }
            let waited_at = match limited {
                Some(limited) if !is_late => limited.waited_at,
                _ => now,
            };
            let limited = Limited {
                admitted_milli,
                room_ms: excess * 1_000_000 / rate_max.max(1),
                waited_at,
            };
            self.limited.insert(name.clone(), limited);
        }
        self.limited.retain(|name, _| accounts.get(name).is_some());
        decisions
    }

    /// Ends all limits without a decision, because this node doesn't lead any more.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the limits in force, for the replies to heartbeats.
    pub fn limits(&self) -> Vec<Limit> {
        let limits = self.limited.iter().map(|(account, limited)| Limit {
            account: account.clone(),
            admitted_milli: limited.admitted_milli,
            room_ms: limited.room_ms,
        });
        limits.collect()
    }
}
