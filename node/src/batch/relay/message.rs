//! Messages between the leader and a relay.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabiloft::batch::TaskId;
use wasabiloft::batch::connections::Connection;
use wasabiloft::batch::scheduler::{Poll, Refusal};
use wasabiloft::batch::worker_state;
use wasabiloft::id;
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::{call, worker};

/// A command to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Start a run.
    Start {
        /// The task to start.
        task: TaskId,
        /// Number of this start of the task.
        run: u32,
        /// The job's text, which the worker gets as it was submitted; a relay knows it or reads it if it is absent.
        text: Option<Arc<str>>,
        /// Incarnation of the worker that the start is for, by its start in milliseconds since 1970; 0 if it doesn't report
        /// that.
        started_unix_ms: u64,
        /// End of the lease granted with the start, in milliseconds on that incarnation's clock.
        until_ms: u64,
        /// Checkpoint to continue from.
        checkpoint: Option<String>,
        /// Ticket for the worker, if the queue has a policy.
        ticket: Option<String>,
    },
    /// Stop a run.
    Stop {
        /// The task to stop.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Limit the speed of a run.
    Pace {
        /// The task to limit.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Share of the full speed, 0 to 100.
        percent: u32,
    },
    /// Renew the lease and report.
    Poll(Poll),
}

/// A worker's response to a command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The run exists on the worker, which didn't tell its clock.
    Started,
    /// The worker refused the start.
    StartRefused(Refusal),
    /// Whether the worker accepted a stop or a pace.
    Done(bool),
    /// The response to a poll.
    Report(worker_state::Report),
    /// The worker has received a newer epoch.
    Fenced,
    /// Another incarnation of the worker responds at the address.
    OtherIncarnation,
    /// The worker did not process the poll and responded with this status code.
    PollFailed(u16),
    /// The run exists on the worker, whose clock shows this time, in milliseconds.
    StartedAt(u64),
}

/// A command without a usable response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the command can have had an effect.
    pub verdict: Verdict,
    /// Whether the worker's connection could not be opened, or ended before the response.
    pub disconnected: bool,
    /// Description of the failure for logs.
    pub reason: String,
}

impl From<call::NoAnswer> for Failure {
    fn from(error: call::NoAnswer) -> Self {
        Self {
            verdict: error.verdict,
            disconnected: match error.cause {
                call::Cause::Refused | call::Cause::Disconnected => true,
                call::Cause::TimedOut | call::Cause::Unusable => false,
            },
            reason: error.reason,
        }
    }
}

/// The incarnation of a worker that a command is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Id of the worker.
    pub worker: id::Worker,
    /// Address at which the worker receives commands.
    pub address: SocketAddr,
}

/// A command that a relay sends once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request on its connection.
    pub number: u64,
    /// The worker.
    pub target: Target,
    /// Epoch of the leader.
    pub epoch: u64,
    /// Timeout of the response, in milliseconds.
    pub timeout_ms: u64,
    /// Connection for a command that is no poll.
    pub connection: Connection,
    /// The command.
    pub command: Command,
}

/// The outcome of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub number: u64,
    /// The worker's response, or why there is none.
    pub outcome: Result<Response, Failure>,
}

/// A frame from the leader to a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Requests {
    /// When the frame was sent, in milliseconds since the leader's boot.
    pub sent_ms: u64,
    /// The commands; none if the frame only asks for a sign of life.
    pub requests: Vec<Request>,
}

/// A frame from a relay to the leader.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Replies {
    /// Whether the relay stops and takes no further commands.
    pub stopping: bool,
    /// Outcomes; none if the frame is only a sign of life.
    pub replies: Vec<Reply>,
}

/// Sends a command to a worker once.
///
/// # Errors
///
/// Fails if no usable response arrives.
pub async fn execute(
    client: &worker::Worker,
    command: &Command,
    epoch: u64,
    timeout_ms: u64,
    connection: Connection,
) -> Result<Response, Failure> {
    let response = match command {
        Command::Start {
            task,
            run,
            text,
            started_unix_ms,
            until_ms,
            checkpoint,
            ticket,
        } => {
            let Some(text) = text else {
                return Err(Failure {
                    verdict: Verdict::NotRun,
                    disconnected: false,
                    reason: format!("no text of job {}", task.job),
                });
            };
            let start = worker::StartCommand {
                task: *task,
                run: *run,
                text,
                started_unix_ms: *started_unix_ms,
                until_ms: *until_ms,
                checkpoint: checkpoint.as_deref(),
                ticket: ticket.as_deref(),
            };
            match client.start(&start, epoch, timeout_ms, connection).await? {
                worker::StartReply::Accepted { clock_ms } => {
                    clock_ms.map_or(Response::Started, Response::StartedAt)
                }
                worker::StartReply::Refused(reason) => Response::StartRefused(reason),
            }
        }
        Command::Stop { task, run } => Response::Done(
            client
                .stop(*task, *run, epoch, timeout_ms, connection)
                .await?,
        ),
        Command::Pace { task, run, percent } => Response::Done(
            client
                .pace(*task, *run, *percent, epoch, timeout_ms, connection)
                .await?,
        ),
        Command::Poll(poll) => match client.poll(poll, epoch, timeout_ms).await? {
            worker::PollReply::Report(report) => Response::Report(report),
            worker::PollReply::Fenced => Response::Fenced,
            worker::PollReply::OtherIncarnation => Response::OtherIncarnation,
            worker::PollReply::Failed(status) => Response::PollFailed(status.as_u16()),
        },
    };
    Ok(response)
}
