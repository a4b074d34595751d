//! A team's document: the capacity that one service needs, its availability budget and the maintenance it tolerates.

pub mod changes;
mod check;
mod reader;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id;

pub use check::{Problem, check, check_conflicts};

/// One service's document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The service's name, also the first segment of its callers' paths.
    pub service: id::Service,
    /// The team that owns the document.
    pub team: id::Team,
    /// Runners, their slots and connections.
    pub capacity: Capacity,
    /// How much runner absence the service tolerates.
    pub availability: Availability,
    /// How its VMs can be maintained.
    #[serde(default)]
    pub maintenance: Maintenance,
    /// The team's share of the workers' resources for jobs.
    #[serde(default)]
    pub quota: Quota,
    /// The kinds of work that callers send.
    #[serde(default, rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// The capacity of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The pool whose VMs host the service's runners, one each.
    pub pool: id::Pool,
    /// Target number of runners in the pool.
    pub runners: u32,
    /// Maximum number of concurrent requests per runner.
    pub slots_per_runner: u32,
    /// Maximum number of connections per runner, over all entry VMs.
    pub connections_per_runner: u32,
}

/// The availability budget of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Availability {
    /// Minimum number of runners in service at any time, counting planned and unplanned absence.
    pub min_runners: u32,
    /// Runner-minutes of absence, of any cause, that the service tolerates in one maintenance period.
    pub absence_budget_min: u64,
}

/// The maintenance that a service tolerates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Maintenance {
    /// Maximum number of the pool's VMs out for maintenance at once.
    pub max_at_once: u32,
    /// Length of the period in which each VM is maintained once, in days.
    pub period_days: u32,
    /// Time limit of a drain before the operators are notified, in seconds.
    pub drain_limit_s: u64,
    /// True to prevent new maintenance from starting.
    pub paused: bool,
}

impl Default for Maintenance {
    fn default() -> Self {
        Self {
            max_at_once: 1,
            period_days: 28,
            drain_limit_s: 600,
            paused: false,
        }
    }
}

/// A team's guaranteed share of the workers for its jobs; unused shares are lent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Whole cores.
    pub cores: u64,
    /// Memory, in GiB.
    pub memory_gib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// The priority of a kind relative to the other kinds within their shares.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Urgency {
    /// Work that can be delayed.
    Batch,
    /// Work of default priority.
    #[default]
    Normal,
    /// Work that a person is waiting for.
    Urgent,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The kind's name.
    pub name: id::Kind,
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path below `/SERVICE`; a trailing `*` matches any suffix.
    pub path: String,
    /// The kind's urgency; normal if absent.
    #[serde(default)]
    pub urgency: Urgency,
    /// True if a request can safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Default deadline of a request that specifies none, in milliseconds from its arrival.
    pub deadline_ms: u64,
    /// Its weight in the service's fair shares.
    pub share: u32,
    /// Maximum size of a request's body, in KiB.
    pub body_max_kib: u64,
}

impl Kind {
    /// Returns whether the kind matches a request's method and its path below the service's prefix.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if self.method != method {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }
}

/// The error for a document that is invalid.
#[derive(Debug, Snafu)]
#[snafu(display("{}", join_lines(problems)))]
pub struct Error {
    /// All problems, sorted by line.
    pub problems: Vec<Problem>,
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

/// Parses a document from its TOML text.
///
/// # Errors
///
/// Returns all problems that [`check()`] finds.
pub fn parse(text: &str) -> Result<Document, Error> {
    check(text).map_err(|problems| Error { problems })
}
