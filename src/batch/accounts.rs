//! Client accounts: their keys, and what each may have running.
//!
//! Answers the load in which keys are added and revoked every few milliseconds while thousands of calls a second are
//! authenticated on small nodes, and in which accounts ask for more than their quotas while tasks start and end all the
//! time. A key costs a digest and a binary search; the use of an account is counted as runs begin and end, so that a
//! start costs a comparison.

use std::collections::BTreeMap;
use std::fmt;

use ring::digest;
use subtle::ConstantTimeEq;

use crate::id;
use crate::platform::Resources;
use crate::quota;

/// Weight of an account without a stated one, in thousandths.
pub const WEIGHT_DEFAULT_MILLI: u64 = 1_000;

/// The SHA-256 digest of a key. The key itself is not kept, so that it can't appear in logs or memory dumps.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; digest::SHA256_OUTPUT_LEN]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn new(key: &str) -> Self {
        let mut bytes = [0; digest::SHA256_OUTPUT_LEN];
        bytes.copy_from_slice(digest::digest(&digest::SHA256, key.as_bytes()).as_ref());
        Self(bytes)
    }

    /// Returns the leading bytes by which keys are sorted; they say nothing about the key.
    fn prefix(&self) -> [u8; 4] {
        [self.0[0], self.0[1], self.0[2], self.0[3]]
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Upper limits of what may run at the same time; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Processor, in thousandths of a core.
    pub cpu_milli: Option<u64>,
    /// Memory, in MiB.
    pub memory_mib: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u32>,
}

impl Limits {
    /// Returns whether an amount is within all limits.
    pub fn admit(&self, amount: &Resources) -> bool {
        self.cpu_milli.is_none_or(|max| amount.cpu_milli <= max)
            && self.memory_mib.is_none_or(|max| amount.memory_mib <= max)
            && self
                .accelerators
                .is_none_or(|max| amount.accelerators <= max)
    }
}

/// The settings of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    /// Share of a full pool relative to other accounts, and the rate in jobs a second up to which jobs have their normal
    /// place in the order; in thousandths.
    pub weight_milli: u64,
    /// What the account may have running over all workers.
    pub limits: Limits,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            weight_milli: WEIGHT_DEFAULT_MILLI,
            limits: Limits::default(),
        }
    }
}

/// The accounts of a version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    by_name: BTreeMap<id::Account, Account>,
    /// Keys sorted by the prefix of their digests.
    keys: Vec<(KeyDigest, id::Account)>,
}

impl Accounts {
    /// Creates accounts from their settings and keys.
    ///
    /// A key that several accounts state belongs to the first of them by name; the others' names are returned.
    pub fn new(
        by_name: BTreeMap<id::Account, Account>,
        mut keys: Vec<(KeyDigest, id::Account)>,
    ) -> (Self, Vec<id::Account>) {
        keys.sort_unstable();
        keys.dedup();
        let mut shared = Vec::new();
        keys.dedup_by(|later, first| {
            let is_shared = later.0 == first.0;
            if is_shared {
                shared.push(later.1.clone());
            }
            is_shared
        });
        (Self { by_name, keys }, shared)
    }

    /// Returns the account that a key belongs to, or `None` if no account of this version has it.
    pub fn authenticate(&self, key: &str) -> Option<&id::Account> {
        let digest = KeyDigest::new(key);
        let first = self
            .keys
            .partition_point(|(known, _)| known.prefix() < digest.prefix());
        self.keys[first..]
            .iter()
            .take_while(|(known, _)| known.prefix() == digest.prefix())
            .find(|(known, _)| known.0.ct_eq(&digest.0).into())
            .map(|(_, account)| account)
    }

    /// Returns the settings of an account.
    pub fn get(&self, account: &id::Account) -> Option<&Account> {
        self.by_name.get(account)
    }

    /// Iterates over the accounts by name.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Account, &Account)> {
        self.by_name.iter()
    }

    /// Returns the number of accounts and of keys.
    pub fn counts(&self) -> (usize, usize) {
        (self.by_name.len(), self.keys.len())
    }
}

/// What one account has running.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    settings: Account,
    /// Use by service, of all runs that may exist.
    by_service: BTreeMap<id::Service, Resources>,
    total: Resources,
    /// Whether the last start was refused for the quota, so that only changes are logged.
    is_at_quota: bool,
}

impl Usage {
    /// Returns the settings of the account that were in force last.
    pub fn settings(&self) -> &Account {
        &self.settings
    }

    /// Returns the use over all services.
    pub fn total(&self) -> &Resources {
        &self.total
    }

    /// Returns the use in one service.
    pub fn in_service(&self, service: &id::Service) -> Resources {
        self.by_service.get(service).copied().unwrap_or_default()
    }

    /// Returns the account's share of a pool with the given capacity, divided by its weight.
    pub fn weighted_share(&self, service: &id::Service, capacity: &Resources) -> f64 {
        let used = self.in_service(service);
        weighted_share(&used, capacity, self.settings.weight_milli)
    }
}

/// Returns the dominant share that a use takes of a capacity, divided by a weight in thousandths.
pub fn weighted_share(used: &Resources, capacity: &Resources, weight_milli: u64) -> f64 {
    let used = quota::Charge::from(used);
    quota::dominant_share(&used, &capacity.into()) / weight_milli.max(1) as f64
}

/// A change of whether an account's quota holds back its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaChange {
    /// The quota begins to hold back tasks.
    Reached,
    /// The quota holds back no task any more.
    Left,
}

/// What all accounts have running, by the runs that the scheduler has sent or heard of.
///
/// An account that leaves the configuration keeps its settings: its jobs were accepted under them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    usage: BTreeMap<id::Account, Usage>,
    /// Runs on each worker that the scheduler did not place and that have not ended.
    unexpected: BTreeMap<id::Worker, Vec<(id::Account, Resources)>>,
    /// What accounts may have running on workers that a new leader has not heard yet.
    unheard: BTreeMap<id::Account, Resources>,
}

impl Ledger {
    /// Applies the accounts of a new version of the configuration, and returns those that are new or have changed.
    pub fn configure(&mut self, accounts: &Accounts) -> Vec<(id::Account, Account)> {
        let mut changed = Vec::new();
        for (name, account) in accounts.iter() {
            let is_new = !self.usage.contains_key(name);
            let usage = self.usage.entry(name.clone()).or_default();
            if is_new || usage.settings != *account {
                usage.settings = *account;
                changed.push((name.clone(), *account));
            }
        }
        changed
    }

    /// Counts a run from before its start is sent, or when a worker first reports it.
    pub fn charge(&mut self, account: &id::Account, service: &id::Service, need: &Resources) {
        let usage = self.usage.entry(account.clone()).or_default();
        usage.total = usage.total.plus(need);
        let in_service = usage.by_service.entry(service.clone()).or_default();
        *in_service = in_service.plus(need);
    }

    /// Ends the count of a run whose end is proven.
    pub fn refund(&mut self, account: &id::Account, service: &id::Service, need: &Resources) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.total = usage.total.minus(need);
            if let Some(in_service) = usage.by_service.get_mut(service) {
                *in_service = in_service.minus(need);
            }
        }
    }

    /// Replaces the runs on a worker that the scheduler did not place and that have not ended.
    pub fn set_unexpected(&mut self, worker: &id::Worker, runs: Vec<(id::Account, Resources)>) {
        if runs.is_empty() {
            self.unexpected.remove(worker);
        } else {
            self.unexpected.insert(worker.clone(), runs);
        }
    }

    /// Replaces what accounts may have running on workers that have not been heard.
    pub fn set_unheard(&mut self, unheard: BTreeMap<id::Account, Resources>) {
        self.unheard = unheard;
    }

    /// Returns whether an account's quota has room for one more run.
    pub fn admits(&self, account: &id::Account, need: &Resources) -> bool {
        let Some(usage) = self.usage.get(account) else {
            return true;
        };
        let mut total = usage.total.plus(need);
        if let Some(unheard) = self.unheard.get(account) {
            total = total.plus(unheard);
        }
        for runs in self.unexpected.values() {
            for (_, used) in runs.iter().filter(|(name, _)| name == account) {
                total = total.plus(used);
            }
        }
        usage.settings.limits.admit(&total)
    }

    /// Records whether an account's quota held back a task, and returns the change, if any.
    pub fn record_quota(&mut self, account: &id::Account, admitted: bool) -> Option<QuotaChange> {
        let usage = self.usage.get_mut(account)?;
        let was_at_quota = std::mem::replace(&mut usage.is_at_quota, !admitted);
        match (was_at_quota, admitted) {
            (false, false) => Some(QuotaChange::Reached),
            (true, true) => Some(QuotaChange::Left),
            _ => None,
        }
    }

    /// Returns whether an account's quota held back the last task that was to start.
    pub fn is_at_quota(&self, account: &id::Account) -> bool {
        self.usage
            .get(account)
            .is_some_and(|usage| usage.is_at_quota)
    }

    /// Returns what an account has running; `None` if it has never been configured or charged.
    pub fn usage(&self, account: &id::Account) -> Option<&Usage> {
        self.usage.get(account)
    }

    /// Iterates over all accounts by name.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Account, &Usage)> {
        self.usage.iter()
    }
}
