//! Scheduling order: which waiting job of a service is placed next.
//!
//! Answers two loads. In one, a queue's burst needs up to three times the capacity of its pool for 5 s: with the order by
//! objective alone, jobs wait until their objective has nearly elapsed, and many end late. In the other, one client
//! account submits five to seven times its usual load: its jobs must not delay those of the other accounts.
//!
//! A round sorts the candidates once. The next candidate is then found in a heap with one entry for each account and tier.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::fmt;

use crate::batch::JobId;
use crate::batch::accounts;
use crate::id;
use crate::platform::Resources;

/// Delay of a job with the mean work left, in thousandths of its objective's span: a larger delay completes more jobs in
/// the replays, but fewer of the largest tenth.
const WORK_DELAY_MILLI: u64 = 500;
/// Upper limit of the delay of a job in time, in thousandths of its objective's span. Bounds by how much smaller jobs
/// that come later can overtake it.
const WORK_DELAY_MAX_MILLI: u64 = 1_000;
/// Delay of a late job with the mean work left, in thousandths of its objective's span. Larger than that of jobs in
/// time: late jobs are worth less with each second, so that those that are nearly done come first.
const LATE_DELAY_MILLI: u64 = 2_000;
/// Upper limit of the delay of a late job, in thousandths of its objective's span.
const LATE_DELAY_MAX_MILLI: u64 = 8_000;
/// Tasks of a job that are placed before an account with a smaller share gets its turn. With 8, an account got 0.504 of a
/// full pool where 0.533 was due; with 1, an account's capacity is spread over jobs of which few end (178 jobs where 4
/// completed 190 and 8 completed 225).
const TURN_TASKS: u32 = 4;

/// Priority classes, in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Runs until it is cancelled, so every second without it is lost.
    LongRunning,
    /// Can still meet its objective.
    InTime,
    /// Can no longer meet its objective.
    Late,
}

impl Class {
    /// Returns the name of the class in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::LongRunning => "long-running",
            Self::InTime => "in-time",
            Self::Late => "late",
        }
    }
}

/// Work, as capacity times time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Processor, in thousandths of a core times milliseconds.
    pub cpu_milli_ms: u64,
    /// Memory, in MiB times milliseconds.
    pub memory_mib_ms: u64,
}

impl Work {
    /// Adds tasks with the same need and a total duration.
    pub fn add(&mut self, need: &Resources, time_ms: u64) {
        let cpu_milli_ms = need.cpu_milli.saturating_mul(time_ms);
        let memory_mib_ms = need.memory_mib.saturating_mul(time_ms);
        self.cpu_milli_ms = self.cpu_milli_ms.saturating_add(cpu_milli_ms);
        self.memory_mib_ms = self.memory_mib_ms.saturating_add(memory_mib_ms);
    }

    /// Returns how long the work takes the whole of a pool, in microseconds.
    fn pool_us(&self, capacity: &Resources) -> u64 {
        let cpu_us = self.cpu_milli_ms.saturating_mul(1_000) / capacity.cpu_milli.max(1);
        let memory_us = self.memory_mib_ms.saturating_mul(1_000) / capacity.memory_mib.max(1);
        cpu_us.max(memory_us)
    }
}

/// An occurrence of a job with waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Priority class at this moment.
    pub class: Class,
    /// Account of the job; `None` if it was submitted without a key.
    pub account: Option<id::Account>,
    /// Whether the job exceeds its account's rate.
    pub beyond_rate: bool,
    /// Rank of the job's queue; 0 is scheduled first.
    pub rank: u32,
    /// Time by which the occurrence has to be done to meet its objective, in milliseconds since 1970.
    pub objective_unix_ms: u64,
    /// Time from the occurrence's due time to its objective, in milliseconds.
    pub span_ms: u64,
    /// Estimated work of all tasks that have not been started.
    pub work_left: Work,
    /// Smallest need of a task of the job, for each resource by itself.
    pub need_min: Resources,
    /// The job.
    pub job: JobId,
    /// Number of the occurrence.
    pub occurrence: u32,
}

/// Groups of candidates that are scheduled one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    LongRunning,
    InTime,
    Late,
    InTimeBeyondRate,
    LateBeyondRate,
}

impl Tier {
    fn new(candidate: &Candidate) -> Self {
        match (candidate.class, candidate.beyond_rate) {
            (Class::LongRunning, _) => Self::LongRunning,
            (Class::InTime, false) => Self::InTime,
            (Class::Late, false) => Self::Late,
            (Class::InTime, true) => Self::InTimeBeyondRate,
            (Class::Late, true) => Self::LateBeyondRate,
        }
    }
}

/// What one account uses of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolUse {
    /// The account; `None` for all jobs that were submitted without a key.
    pub account: Option<id::Account>,
    /// Capacity that the account's tasks use in the pool.
    pub used: Resources,
    /// Weight of the account, in thousandths.
    pub weight_milli: u64,
}

impl PoolUse {
    fn share(&self, capacity: &Resources) -> Share {
        Share(accounts::weighted_share(
            &self.used,
            capacity,
            self.weight_milli,
        ))
    }
}

/// A share of a pool, ordered by size.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share(f64);

impl Eq for Share {}

impl PartialOrd for Share {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Share {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A candidate with its position among those of its tier and account. The derived order is the scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    tier: Tier,
    /// Index of the account's use.
    user: usize,
    rank: u32,
    key_ms: u64,
    job: JobId,
    occurrence: u32,
    class: Class,
}

/// The first candidate of an account in a tier. The derived order is the scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    tier: Tier,
    share: Share,
    rank: u32,
    key_ms: u64,
    job: JobId,
    occurrence: u32,
    /// Index of the candidate's entry.
    entry: usize,
}

/// The candidate that is placed next, with the reasons for which it is. Displayed as fields of a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Priority class of the occurrence.
    pub class: Class,
    /// Whether the job exceeds its account's rate.
    pub beyond_rate: bool,
    /// What the job's account uses of the pool before the turn; `None` without accounts.
    pub account: Option<PoolUse>,
    /// The account's dominant share of the pool before the turn, divided by its weight in thousandths.
    pub weighted_share: f64,
}

impl fmt::Display for Turn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class={}", self.class.name())?;
        let Some(PoolUse {
            account,
            weight_milli,
            ..
        }) = &self.account
        else {
            return Ok(());
        };
        let account = account.as_ref().map_or("-", id::Account::as_str);
        let share_milli = (self.weighted_share * *weight_milli as f64 * 1_000.0) as u64;
        let rate = if self.beyond_rate { "beyond" } else { "within" };
        write!(
            f,
            " account={account} share_milli={share_milli} weight_milli={weight_milli} rate={rate}"
        )
    }
}

/// The order of the candidates of one service in one planning round.
#[derive(Debug)]
pub struct Order {
    capacity: Resources,
    users: Vec<PoolUse>,
    /// Weighted shares of the users.
    shares: Vec<Share>,
    entries: Vec<Entry>,
    heads: BinaryHeap<Reverse<Head>>,
    /// Index of the entry whose turn it is.
    current: Option<usize>,
    /// Tasks that were placed in the current turn.
    placed: u32,
    /// Whether the current entry gets another turn.
    repeats: bool,
}

impl Order {
    /// Creates the order of the candidates in a pool with the given capacity for tasks.
    ///
    /// `users` holds the use of each account; it is empty if the configuration has no accounts, and all candidates are
    /// treated alike.
    pub fn new(candidates: &[Candidate], capacity: Resources, users: Vec<PoolUse>) -> Self {
        let finite = candidates
            .iter()
            .filter(|candidate| candidate.class != Class::LongRunning);
        let (count, work) = finite.fold((0, 0), |(count, work), candidate| {
            (
                count + 1,
                u64::saturating_add(work, candidate.work_left.pool_us(&capacity)),
            )
        });
        let mean_work_us = (work / u64::max(count, 1)).max(1);
        let users_by_account = users.iter().map(|user| user.account.as_ref()).zip(0..);
        let indexes: HashMap<Option<&id::Account>, usize> = users_by_account.collect();
        // An account that nothing is known of is treated like jobs without an account.
        let user = |candidate: &Candidate| {
            let index = indexes.get(&candidate.account.as_ref());
            index.copied().unwrap_or(0)
        };
        let entry = |candidate: &Candidate| Entry {
            tier: Tier::new(candidate),
            user: if users.is_empty() { 0 } else { user(candidate) },
            rank: candidate.rank,
            key_ms: key_ms(candidate, &capacity, mean_work_us),
            job: candidate.job,
            occurrence: candidate.occurrence,
            class: candidate.class,
        };
        let mut entries: Vec<Entry> = candidates.iter().map(entry).collect();
        entries.sort_unstable();
        let mut order = Self {
            capacity,
            shares: users.iter().map(|user| user.share(&capacity)).collect(),
            users,
            entries,
            heads: BinaryHeap::new(),
            current: None,
            placed: 0,
            repeats: false,
        };
        for index in 0..order.entries.len() {
            let is_head = index == 0 || !order.is_same_group(index - 1, index);
            if is_head {
                order.heads.push(Reverse(order.head(index)));
            }
        }
        order
    }

    /// Returns whether two candidates have the same account and tier.
    fn is_same_group(&self, first: usize, second: usize) -> bool {
        let (first, second) = (&self.entries[first], &self.entries[second]);
        first.tier == second.tier && first.user == second.user
    }

    fn head(&self, index: usize) -> Head {
        let entry = &self.entries[index];
        Head {
            tier: entry.tier,
            share: self.share(entry.user),
            rank: entry.rank,
            key_ms: entry.key_ms,
            job: entry.job,
            occurrence: entry.occurrence,
            entry: index,
        }
    }

    fn share(&self, user: usize) -> Share {
        self.shares.get(user).copied().unwrap_or(Share(0.0))
    }

    /// Returns the candidate that is placed next, or `None` if all have had their turn.
    pub fn next_turn(&mut self) -> Option<Turn> {
        let following = self.following();
        (self.placed, self.repeats) = (0, false);
        let mut next = match (following, self.heads.peek()) {
            // Saves the heap's moves while an account's candidates follow each other, as in a full pool.
            (Some(following), Some(Reverse(first))) if following > *first => {
                self.heads.push(Reverse(following));
                self.heads.pop()?.0
            }
            (Some(following), _) => following,
            (None, _) => self.heads.pop()?.0,
        };
        // The account may have got capacity in another tier since.
        while next.share < self.share(self.entries[next.entry].user) {
            self.heads.push(Reverse(self.head(next.entry)));
            next = self.heads.pop()?.0;
        }
        self.current = Some(next.entry);
        let entry = &self.entries[next.entry];
        Some(Turn {
            job: entry.job,
            occurrence: entry.occurrence,
            class: entry.class,
            beyond_rate: matches!(entry.tier, Tier::InTimeBeyondRate | Tier::LateBeyondRate),
            account: self.users.get(entry.user).cloned(),
            weighted_share: next.share.0,
        })
    }

    /// Returns the candidate that follows the current one among those of its account and tier, or the current one if it
    /// gets another turn.
    fn following(&mut self) -> Option<Head> {
        let current = self.current.take()?;
        let following = if self.repeats { current } else { current + 1 };
        let exists = following < self.entries.len() && self.is_same_group(current, following);
        exists.then(|| self.head(following))
    }

    /// Records that a task of the current candidate was placed. Returns whether its turn is over, because an account
    /// with a smaller share waits; the candidate then gets another turn later.
    pub fn placed(&mut self, need: &Resources) -> bool {
        let Some(current) = self.current else {
            return false;
        };
        let Entry { tier, user, .. } = self.entries[current];
        let Some(pool_use) = self.users.get_mut(user) else {
            return false;
        };
        pool_use.used = pool_use.used.plus(need);
        let share = pool_use.share(&self.capacity);
        self.shares[user] = share;
        self.placed += 1;
        if self.placed < TURN_TASKS {
            return false;
        }
        let first = self.heads.peek();
        self.repeats = first.is_some_and(|Reverse(head)| head.tier == tier && head.share < share);
        self.repeats
    }
}

/// Returns the position of a candidate among those of its tier, account and rank: its objective, delayed by its work
/// left in relation to the mean.
///
/// Relations are robust to estimates that are all too small or too large.
fn key_ms(candidate: &Candidate, capacity: &Resources, mean_work_us: u64) -> u64 {
    let (delay_milli, max_milli) = match candidate.class {
        Class::LongRunning => return candidate.objective_unix_ms,
        Class::InTime => (WORK_DELAY_MILLI, WORK_DELAY_MAX_MILLI),
        Class::Late => (LATE_DELAY_MILLI, LATE_DELAY_MAX_MILLI),
    };
    let work_us = candidate.work_left.pool_us(capacity);
    let delay_milli = (work_us.saturating_mul(delay_milli) / mean_work_us).min(max_milli);
    candidate
        .objective_unix_ms
        .saturating_add(candidate.span_ms.saturating_mul(delay_milli) / 1_000)
}
