//! Teams' quotas: guaranteed shares of the workers, with lending and reclaiming of unused quota.
//!
//! A team's share is its dominant share: the largest ratio, over processor, memory and
//! accelerators, of its tasks' use to its quota. The team with the smallest share is served first,
//! so that unused quota is lent in proportion to quotas; a team below its quota can reclaim what
//! others have borrowed.

use std::collections::BTreeMap;

use crate::document;
use crate::id;
use crate::platform;

/// MiB in a GiB.
const MIB_PER_GIB: f64 = 1024.0;
/// Thousandths in a core.
const MILLI_PER_CORE: f64 = 1000.0;

/// Resource use that is charged to a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// Processor use, in thousandths of a core.
    pub cpu_milli: f64,
    /// Memory, in MiB.
    pub memory_mib: f64,
    /// Number of accelerators.
    pub accelerators: f64,
}

impl From<&platform::Resources> for Charge {
    fn from(amount: &platform::Resources) -> Self {
        Self {
            cpu_milli: amount.cpu_milli as f64,
            memory_mib: amount.memory_mib as f64,
            accelerators: f64::from(amount.accelerators),
        }
    }
}

/// A team's quota and use.
#[derive(Clone, Debug, Default)]
struct Account {
    quota: document::Quota,
    charged: Charge,
}

/// Part of a team's quota that a job lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// The team has no quota for processor or memory.
    Everything,
    /// The job needs accelerators, and the team's quota has none.
    Accelerators,
}

/// Index of a team's account in [`Accounts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountIndex(usize);

/// Quotas and use of all teams.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: Vec<Account>,
    by_team: BTreeMap<id::Team, AccountIndex>,
}

impl Accounts {
    /// Replaces all quotas by those of the documents; quotas of the same team add up.
    pub fn set_documents<'a, I>(&mut self, documents: I)
    where
        I: IntoIterator<Item = &'a document::Document>,
    {
        for account in &mut self.accounts {
            account.quota = document::Quota::default();
        }
        for document in documents {
            let quota = &mut self.account(&document.team).quota;
            quota.cores += document.quota.cores;
            quota.memory_gib += document.quota.memory_gib;
            quota.accelerators += document.quota.accelerators;
        }
    }

    /// Sets the quota of one team.
    pub fn set_quota(&mut self, team: &id::Team, quota: document::Quota) {
        self.account(team).quota = quota;
    }

    /// Returns the index of a team's account, which is created if necessary.
    pub fn account_index(&mut self, team: &id::Team) -> AccountIndex {
        if let Some(account_index) = self.by_team.get(team) {
            return *account_index;
        }
        let account_index = AccountIndex(self.accounts.len());
        self.accounts.push(Account::default());
        self.by_team.insert(team.clone(), account_index);
        account_index
    }

    fn account(&mut self, team: &id::Team) -> &mut Account {
        let account_index = self.account_index(team);
        &mut self.accounts[account_index.0]
    }

    /// Returns the part of the team's quota that a job of the declared size lacks, if any.
    pub fn missing(&self, team: &id::Team, declared: &platform::Resources) -> Option<Missing> {
        let Some(account_index) = self.by_team.get(team) else {
            return Some(Missing::Everything);
        };
        let quota = &self.accounts[account_index.0].quota;
        if quota.cores == 0 || quota.memory_gib == 0 {
            return Some(Missing::Everything);
        }
        if declared.accelerators > 0 && quota.accelerators == 0 {
            return Some(Missing::Accelerators);
        }
        None
    }

    /// Charges a task's use to the team.
    pub fn charge(&mut self, account_index: AccountIndex, added: &Charge) {
        let charged = &mut self.accounts[account_index.0].charged;
        charged.cpu_milli += added.cpu_milli;
        charged.memory_mib += added.memory_mib;
        charged.accelerators += added.accelerators;
    }

    /// Subtracts a task's use from the team's charge.
    pub fn refund(&mut self, account_index: AccountIndex, removed: &Charge) {
        let charged = &mut self.accounts[account_index.0].charged;
        charged.cpu_milli = (charged.cpu_milli - removed.cpu_milli).max(0.0);
        charged.memory_mib = (charged.memory_mib - removed.memory_mib).max(0.0);
        charged.accelerators = (charged.accelerators - removed.accelerators).max(0.0);
    }

    /// Returns the team's dominant share of its quota: 1 is the full quota, infinity is use without
    /// quota.
    pub fn share(&self, account_index: AccountIndex) -> f64 {
        share_of(&self.accounts[account_index.0], &Charge::default())
    }

    /// Returns the share that the team would have with one more task.
    pub fn share_with(&self, account_index: AccountIndex, added: &Charge) -> f64 {
        share_of(&self.accounts[account_index.0], added)
    }

    /// Returns the share that the team would have with one task less.
    pub fn share_without(&self, account_index: AccountIndex, removed: &Charge) -> f64 {
        let added = Charge {
            cpu_milli: -removed.cpu_milli,
            memory_mib: -removed.memory_mib,
            accelerators: -removed.accelerators,
        };
        self.share_with(account_index, &added)
    }

    /// Returns the share that each team would have if all use were distributed in proportion to
    /// quota over the teams that have any use, capped at the full quota.
    pub fn fair_share(&self) -> f64 {
        let mut total = Account::default();
        let has_use = |account: &&Account| share_of(account, &Charge::default()) > 0.0;
        for account in self.accounts.iter().filter(has_use) {
            total.quota.cores += account.quota.cores;
            total.quota.memory_gib += account.quota.memory_gib;
            total.quota.accelerators += account.quota.accelerators;
            total.charged.cpu_milli += account.charged.cpu_milli;
            total.charged.memory_mib += account.charged.memory_mib;
            total.charged.accelerators += account.charged.accelerators;
        }
        share_of(&total, &Charge::default()).min(1.0)
    }

    /// Returns the teams, with their charges and shares.
    pub fn teams(&self) -> impl Iterator<Item = (&id::Team, &Charge, f64)> {
        self.by_team.iter().map(|(team, account_index)| {
            let account = &self.accounts[account_index.0];
            (team, &account.charged, self.share(*account_index))
        })
    }
}

fn share_of(account: &Account, added: &Charge) -> f64 {
    let quota = &account.quota;
    let used = &account.charged;
    let used = Charge {
        cpu_milli: used.cpu_milli + added.cpu_milli,
        memory_mib: used.memory_mib + added.memory_mib,
        accelerators: used.accelerators + added.accelerators,
    };
    let total = Charge {
        cpu_milli: quota.cores as f64 * MILLI_PER_CORE,
        memory_mib: quota.memory_gib as f64 * MIB_PER_GIB,
        accelerators: f64::from(quota.accelerators),
    };
    dominant_share(&used, &total)
}

/// Returns the largest ratio of use to a total over all resources; infinity if a resource is used of which there is none.
pub fn dominant_share(used: &Charge, total: &Charge) -> f64 {
    let cpu = ratio(used.cpu_milli, total.cpu_milli);
    let memory = ratio(used.memory_mib, total.memory_mib);
    let accelerators = ratio(used.accelerators, total.accelerators);
    cpu.max(memory).max(accelerators)
}

fn ratio(used: f64, quota: f64) -> f64 {
    if used <= 0.0 {
        0.0
    } else if quota <= 0.0 {
        f64::INFINITY
    } else {
        used / quota
    }
}
