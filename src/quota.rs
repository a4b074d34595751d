//! Teams' quotas: each team's guaranteed share of the workers, lending of what is unused, giving back.
//!
//! A team's share is its dominant one: the largest, over processor, memory and accelerators, of what its
//! tasks use over what its quota guarantees. The team with the least share is served first, so that
//! unused quota is lent in proportion to quotas; a team below its quota may take back what others
//! borrowed.

use std::collections::BTreeMap;

use crate::document;
use crate::id;
use crate::platform;

/// MiB in a GiB.
const MIB_PER_GIB: f64 = 1024.0;
/// Thousandths in a core.
const MILLI_PER_CORE: f64 = 1000.0;

/// The use that a team is charged with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// Thousandths of a core.
    pub cpu_milli: f64,
    /// Memory, in MiB.
    pub memory_mib: f64,
    /// Whole accelerators.
    pub accelerators: f64,
}

/// A team's quota and use.
#[derive(Clone, Debug, Default)]
struct Account {
    quota: document::Quota,
    charged: Charge,
}

/// The resource whose quota is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// The team has no quota at all.
    Everything,
    /// The job needs accelerators, and the team's quota has none.
    Accelerators,
}

/// A team's account in a [`Ledger`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner(usize);

/// All teams' quotas and use.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Vec<Account>,
    by_team: BTreeMap<id::Team, Owner>,
}

impl Ledger {
    /// Takes the quotas of all documents; those of one team add up.
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

    /// Sets one team's quota.
    pub fn set_quota(&mut self, team: &id::Team, quota: document::Quota) {
        self.account(team).quota = quota;
    }

    /// The account of a team, made when it is new.
    pub fn owner(&mut self, team: &id::Team) -> Owner {
        if let Some(owner) = self.by_team.get(team) {
            return *owner;
        }
        let owner = Owner(self.accounts.len());
        self.accounts.push(Account::default());
        self.by_team.insert(team.clone(), owner);
        owner
    }

    fn account(&mut self, team: &id::Team) -> &mut Account {
        let owner = self.owner(team);
        &mut self.accounts[owner.0]
    }

    /// What of the team's quota is missing for a job of the declared size.
    pub fn missing(&self, team: &id::Team, declared: &platform::Resources) -> Option<Missing> {
        let Some(owner) = self.by_team.get(team) else {
            return Some(Missing::Everything);
        };
        let quota = &self.accounts[owner.0].quota;
        if quota.cores == 0 || quota.memory_gib == 0 {
            return Some(Missing::Everything);
        }
        if declared.accelerators > 0 && quota.accelerators == 0 {
            return Some(Missing::Accelerators);
        }
        None
    }

    /// Charges the team with a task's use.
    pub fn charge(&mut self, owner: Owner, more: &Charge) {
        let charged = &mut self.accounts[owner.0].charged;
        charged.cpu_milli += more.cpu_milli;
        charged.memory_mib += more.memory_mib;
        charged.accelerators += more.accelerators;
    }

    /// Takes a task's use off the team's account.
    pub fn refund(&mut self, owner: Owner, less: &Charge) {
        let charged = &mut self.accounts[owner.0].charged;
        charged.cpu_milli = (charged.cpu_milli - less.cpu_milli).max(0.0);
        charged.memory_mib = (charged.memory_mib - less.memory_mib).max(0.0);
        charged.accelerators = (charged.accelerators - less.accelerators).max(0.0);
    }

    /// The team's dominant share of its quota: 1 is the whole quota, infinite if it has none.
    pub fn share(&self, owner: Owner) -> f64 {
        share_of(&self.accounts[owner.0], &Charge::default())
    }

    /// The share that the team would have with one more task.
    pub fn share_with(&self, owner: Owner, more: &Charge) -> f64 {
        share_of(&self.accounts[owner.0], more)
    }

    /// The share that the team would have with one task less.
    pub fn share_without(&self, owner: Owner, less: &Charge) -> f64 {
        let more = Charge {
            cpu_milli: -less.cpu_milli,
            memory_mib: -less.memory_mib,
            accelerators: -less.accelerators,
        };
        self.share_with(owner, &more)
    }

    /// The share that each team would have if all use were spread by quota over the teams that have any,
    /// at most the whole quota.
    pub fn level(&self) -> f64 {
        let mut all = Account::default();
        let busy = |account: &&Account| share_of(account, &Charge::default()) > 0.0;
        for account in self.accounts.iter().filter(busy) {
            all.quota.cores += account.quota.cores;
            all.quota.memory_gib += account.quota.memory_gib;
            all.quota.accelerators += account.quota.accelerators;
            all.charged.cpu_milli += account.charged.cpu_milli;
            all.charged.memory_mib += account.charged.memory_mib;
            all.charged.accelerators += account.charged.accelerators;
        }
        share_of(&all, &Charge::default()).min(1.0)
    }

    /// The teams, with their charges and shares.
    pub fn teams(&self) -> impl Iterator<Item = (&id::Team, &Charge, f64)> {
        self.by_team.iter().map(|(team, owner)| {
            let account = &self.accounts[owner.0];
            (team, &account.charged, self.share(*owner))
        })
    }
}

fn share_of(account: &Account, more: &Charge) -> f64 {
    let quota = &account.quota;
    let used = &account.charged;
    let cpu = ratio(
        used.cpu_milli + more.cpu_milli,
        quota.cores as f64 * MILLI_PER_CORE,
    );
    let memory = ratio(
        used.memory_mib + more.memory_mib,
        quota.memory_gib as f64 * MIB_PER_GIB,
    );
    let accelerators = ratio(
        used.accelerators + more.accelerators,
        f64::from(quota.accelerators),
    );
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
