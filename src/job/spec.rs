//! Specification of a submitted job: its owner, its declared size and how it can be scheduled.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::document;
use crate::id;
use crate::platform;

/// Prefix of the keys of job rows.
pub const ROW_PREFIX: &str = "job/";
/// Maximum length of a submission key, class or team name, in bytes.
const NAME_MAX: usize = 64;
/// Maximum length of a command, in bytes.
const COMMAND_MAX: usize = 8 * 1024;

/// Specification of a job, as submitted by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Team that owns the job and whose quota is charged for it.
    pub team: id::Team,
    /// Idempotency key chosen by the owner: a repeated submission with the same key refers to the
    /// same job.
    pub key: String,
    /// Name of the job's class; jobs of a class use about the same resources, and sizes are
    /// estimated per class.
    pub class: String,
    /// Scheduling priority; absent means [`document::Urgency::default`].
    #[serde(default)]
    pub urgency: document::Urgency,
    /// True if running the job twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// True if tasks of the job can write a checkpoint and resume from it.
    #[serde(default)]
    pub checkpointable: bool,
    /// Resources that the owner expects the job to need.
    pub declared: platform::Resources,
    /// Run time that the owner expects, in milliseconds; absent means 0.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// Command to run; it is passed to the platform uninterpreted.
    pub command: String,
}

/// Reason why a submission is malformed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A name is empty, too long or contains a character that is not allowed.
    #[snafu(display(
        "{field} must have 1 to {NAME_MAX} of the characters a-z, A-Z, 0-9, '-', '_' and '.'"
    ))]
    Name {
        /// Name of the malformed field.
        field: &'static str,
    },
    /// The command is longer than the limit.
    #[snafu(display("command must not be longer than {COMMAND_MAX} bytes"))]
    Command,
    /// The declared size has no processor time or no memory.
    #[snafu(display("declared.cpu_milli and declared.memory_mib must be greater than zero"))]
    Declared,
}

impl Spec {
    /// Returns the id of the job; it is derived from team and key, so that a repeated submission
    /// maps to the same row.
    pub fn job(&self) -> id::Job {
        id::Job::from(format!("{}:{}", self.team, self.key))
    }

    /// Returns true if a task of the job can be stopped with a checkpoint and started again.
    ///
    /// A job that is not idempotent is never started twice, not even from a checkpoint.
    pub fn is_displaceable(&self) -> bool {
        self.idempotent && self.checkpointable
    }

    /// Checks that the specification is well formed.
    ///
    /// # Errors
    ///
    /// Returns the error of the first malformed field.
    pub fn validate(&self) -> Result<(), Error> {
        check_name("team", self.team.as_str())?;
        check_name("key", &self.key)?;
        check_name("class", &self.class)?;
        snafu::ensure!(self.command.len() <= COMMAND_MAX, CommandSnafu);
        let has_size = self.declared.cpu_milli > 0 && self.declared.memory_mib > 0;
        snafu::ensure!(has_size, DeclaredSnafu);
        Ok(())
    }
}

/// Returns the key of a job's row.
pub fn row_key(job: &id::Job) -> id::Key {
    id::Key::from(format!("{ROW_PREFIX}{job}"))
}

/// Returns the job that a row key belongs to, or `None` if it is not the key of a job row.
pub fn job_of_key(key: &id::Key) -> Option<id::Job> {
    key.as_str().strip_prefix(ROW_PREFIX).map(id::Job::from)
}

fn check_name(field: &'static str, name: &str) -> Result<(), Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let valid_length = !name.is_empty() && name.len() <= NAME_MAX;
    snafu::ensure!(
        valid_length && name.bytes().all(allowed),
        NameSnafu { field }
    );
    Ok(())
}
