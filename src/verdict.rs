//! Response headers that say whether a request may have run and why it was refused.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Response header that carries the [`Verdict`].
pub const VERDICT_HEADER: &str = "wasabiloft-verdict";
/// Response header that carries the [`Reason`] of a refusal or failure.
pub const REASON_HEADER: &str = "wasabiloft-reason";

/// Whether a request may have run at an endpoint.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum Verdict {
    /// The endpoint responded.
    Ran,
    /// No byte of the request reached an endpoint, or the endpoint reported that it did not run the request.
    NotRun,
    /// The request was sent, and no complete response came back.
    MayHaveRun,
}

/// Why a request was refused, retried or has an uncertain outcome; each reason has its own counter.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum Reason {
    /// No document names the service, or none of its kinds matches method and path.
    UnknownService,
    /// The body is larger than the document allows.
    BodyTooLarge,
    /// The request could not be read completely from the caller.
    CallerGone,
    /// The kind's queue is full.
    QueueFull,
    /// The request can't finish before its deadline.
    DeadlineTooShort,
    /// The deadline passed while the request was queued.
    QueueTimeout,
    /// No endpoint of the service can take work.
    NoEndpoint,
    /// No connection to an endpoint could be made.
    ConnectFailed,
    /// The endpoint reported that it did not run the request.
    EndpointRefused,
    /// The connection broke after a byte of the request may have left.
    ConnectionLost,
    /// The endpoint did not respond before the deadline.
    AnswerTimeout,
    /// The connection showed no sign of activity while the request was in progress.
    ConnectionSilent,
    /// The response was truncated.
    AnswerCut,
    /// The idempotency key is in progress elsewhere.
    KeyInProgress,
    /// An earlier attempt under the idempotency key may have run.
    KeyMayHaveRun,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// An earlier attempt under the idempotency key ran; its response is not stored.
    KeyAlreadyRan,
    /// The idempotency key could not be claimed, and nothing was sent.
    KeyUnclaimed,
    /// The node can't prove that its configuration is current.
    NodeIsolated,
    /// The node is stopping.
    NodeStopping,
    /// The node has not loaded its configuration yet.
    NodeStarting,
    /// The node's own processor, memory or connections are exhausted.
    NodeOverloaded,
    /// The retry budget is spent.
    RetryBudgetSpent,
}
