//! What a team submits: a job, its declared size and how it may be treated.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::document;
use crate::id;
use crate::platform;

/// Prefix of the keys of job rows.
pub const ROW_PREFIX: &str = "job/";
/// The longest submission key, class or team name, in bytes.
const NAME_MAX: usize = 64;
/// The longest command, in bytes.
const COMMAND_MAX: usize = 8 * 1024;

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The team that owns the job and whose quota it is charged to.
    pub team: id::Team,
    /// The owner's key: a repeated submission with the same key is the same job.
    pub key: String,
    /// Jobs of a class use about the same resources; sizes are learned by class.
    pub class: String,
    /// Who goes first.
    #[serde(default)]
    pub urgency: document::Urgency,
    /// True if running it twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// True if its tasks can write a checkpoint and go on from it.
    #[serde(default)]
    pub checkpointable: bool,
    /// What the owner believes it needs.
    pub declared: platform::Resources,
    /// How long the owner believes it runs, in milliseconds.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// What to run; the platform's business.
    pub command: String,
}

/// A submission that is refused as malformed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A name is empty, too long or has a character that is not allowed.
    #[snafu(display(
        "{field} must have 1 to {NAME_MAX} of the characters a-z, A-Z, 0-9, '-', '_' and '.'"
    ))]
    Name {
        /// The field.
        field: &'static str,
    },
    /// The command is too long.
    #[snafu(display("command must not be longer than {COMMAND_MAX} bytes"))]
    Command,
    /// The declared size has no processor time or no memory.
    #[snafu(display("declared.cpu_milli and declared.memory_mib must be greater than zero"))]
    Declared,
}

impl Spec {
    /// The job's id: it follows from team and key, so that a repeat meets the same row.
    pub fn job(&self) -> id::Job {
        id::Job::from(format!("{}:{}", self.team, self.key))
    }

    /// True if its task may be stopped by a checkpoint and started again.
    ///
    /// A job that is not idempotent is never started twice, not even from a checkpoint.
    pub fn is_displaceable(&self) -> bool {
        self.idempotent && self.checkpointable
    }

    /// Checks a submission.
    ///
    /// # Errors
    ///
    /// The first field that is malformed.
    pub fn validate(&self) -> Result<(), Error> {
        check_name("team", self.team.as_str())?;
        check_name("key", &self.key)?;
        check_name("class", &self.class)?;
        snafu::ensure!(self.command.len() <= COMMAND_MAX, CommandSnafu);
        let sized = self.declared.cpu_milli > 0 && self.declared.memory_mib > 0;
        snafu::ensure!(sized, DeclaredSnafu);
        Ok(())
    }
}

/// The key of a job's row.
pub fn row_key(job: &id::Job) -> id::Key {
    id::Key::from(format!("{ROW_PREFIX}{job}"))
}

/// The job of a row's key.
pub fn job_of_key(key: &id::Key) -> Option<id::Job> {
    key.as_str().strip_prefix(ROW_PREFIX).map(id::Job::from)
}

fn check_name(field: &'static str, name: &str) -> Result<(), Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = !name.is_empty() && name.len() <= NAME_MAX;
    snafu::ensure!(fits && name.bytes().all(allowed), NameSnafu { field });
    Ok(())
}
