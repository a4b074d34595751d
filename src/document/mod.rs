//! A team's document: what one service needs, its availability budget and the maintenance it tolerates.

pub mod changes;
mod check;
mod reader;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id;

pub use check::{Problem, check, check_together};

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
    /// How much absence the service bears.
    pub availability: Availability,
    /// How its VMs may be maintained.
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
    /// Runners that the pool should have.
    pub runners: u32,
    /// Requests that one runner works on at once.
    pub slots_per_runner: u32,
    /// Connections that one runner accepts, over all entry VMs.
    pub connections_per_runner: u32,
}

/// The availability budget of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Availability {
    /// Runners that must be in service at any moment, planned and unplanned absence together.
    pub min_runners: u32,
    /// Runner-minutes of absence that the service bears in one maintenance period, of any cause.
    pub absence_budget_min: u64,
}

/// What maintenance a service tolerates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Maintenance {
    /// VMs of the pool that may be out for maintenance at once.
    pub max_at_once: u32,
    /// Each VM is maintained once in so many days.
    pub period_days: u32,
    /// The longest that a drain may take before the operators are told, in seconds.
    pub drain_limit_s: u64,
    /// True to let no new maintenance begin.
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

/// Who goes first among the kinds within their shares.
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
    /// Can wait.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Somebody is waiting in the cold.
    Urgent,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The kind's name.
    pub name: id::Kind,
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path below `/SERVICE`; a trailing `*` matches any rest.
    pub path: String,
    /// Its urgency.
    #[serde(default)]
    pub urgency: Urgency,
    /// True if running it twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// The deadline of a request that names none, in milliseconds from its arrival.
    pub deadline_ms: u64,
    /// Its weight in the service's fair shares.
    pub share: u32,
    /// The largest body, in KiB.
    pub body_max_kib: u64,
}

impl Kind {
    /// Tells whether the kind covers a request, by method and by path below the service's prefix.
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

/// A document that can't be accepted.
#[derive(Debug, Snafu)]
#[snafu(display("{}", listed(problems)))]
pub struct Error {
    /// All that is wrong with it, by line.
    pub problems: Vec<Problem>,
}

fn listed(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

/// Reads a document from its TOML text.
///
/// # Errors
///
/// All problems that [`check()`] finds.
pub fn parse(text: &str) -> Result<Document, Error> {
    check(text).map_err(|problems| Error { problems })
}
