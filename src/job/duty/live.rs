//! A job's task as the holder knows it, and room that is kept for one.

use super::JobKey;
use crate::clock;
use crate::job::row;
use crate::placement::{TaskKey, WorkerKey};
use crate::quota;

/// Wait for a start's reply before the task is stopped without it, in milliseconds.
const START_WAIT_MS: u64 = 5 * clock::SECOND_MS;
/// Divisor of a team's tasks that gives how many of them may be promoted ones.
const PROMOTED_DIVISOR: u32 = 8;

/// Counts of a team's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Crew {
    pub(super) live: u32,
    pub(super) urgent: u32,
    pub(super) promoted: u32,
}

impl Crew {
    /// True if one more job may go before the team's urgent work.
    ///
    /// A part of the team's tasks is kept for its oldest jobs, so that they finish under any flow of
    /// urgent work; the bound keeps a flood of old jobs from starving that.
    pub(super) fn may_promote(&self) -> bool {
        self.urgent > 0 && self.promoted <= self.live / PROMOTED_DIVISOR
    }
}

/// A task that may run.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) task: TaskKey,
    pub(super) worker: WorkerKey,
    pub(super) charge: quota::Charge,
    /// True if it went before its team's urgent work.
    pub(super) promoted: bool,
    /// True if this holder committed the placement, false if it found it in the row.
    pub(super) own: bool,
    /// Tasks that are throttled when this one starts.
    pub(super) throttle: Vec<TaskKey>,
    /// When this holder first sent the start.
    pub(super) start_sent_at: Option<clock::Instant>,
    /// Starts that this holder sent.
    pub(super) start_sends: u32,
    /// When a call that may extend the lease was last sent.
    pub(super) lease_sent_at: clock::Instant,
    /// The longest lease that the worker may have been given, in milliseconds.
    pub(super) lease_ms: u64,
    /// When a lost call is sent again.
    pub(super) retry_at: Option<clock::Instant>,
    /// The worker said, or a reading showed, that it started.
    pub(super) confirmed: bool,
    /// It is proven that it did not start and never will.
    pub(super) refused: Option<row::Reason>,
    /// When the worker said that it runs no more.
    pub(super) gone_at: Option<clock::Instant>,
    /// It was gone soon after its start.
    pub(super) ended_early: bool,
    /// When its lease began to be waited out.
    pub(super) abandoned_at: Option<clock::Instant>,
    /// Its settled use was recorded for its class.
    pub(super) learnt: bool,
    /// How far a predecessor's start is ruled out.
    pub(super) fence: Fence,
}

impl Live {
    /// A task that is booked and not yet started.
    pub(super) fn new(
        task: TaskKey,
        worker: WorkerKey,
        charge: quota::Charge,
        now: clock::Instant,
    ) -> Self {
        Self {
            task,
            worker,
            charge,
            promoted: false,
            own: true,
            throttle: Vec::new(),
            start_sent_at: None,
            start_sends: 0,
            lease_sent_at: now,
            lease_ms: 0,
            retry_at: None,
            confirmed: false,
            refused: None,
            gone_at: None,
            ended_early: false,
            abandoned_at: None,
            learnt: false,
            fence: Fence::None,
        }
    }

    /// True while the start's reply is awaited.
    pub(super) fn is_starting(&self, now: clock::Instant) -> bool {
        let sent = self.start_sent_at;
        !self.confirmed
            && self.refused.is_none()
            && sent.is_some_and(|at| now.since_ms(at) < START_WAIT_MS)
    }

    /// True if the worker can't have heard of it.
    pub(super) fn is_unsent(&self) -> bool {
        self.own && self.start_sent_at.is_none()
    }
}

/// How far it is known whether a predecessor's start took effect.
///
/// The first renewal tells whether the task runs. If it does not, a job that may run twice is started
/// under the same operation; for any other it must be proven that no start can arrive any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fence {
    /// Known, or the start is this holder's own.
    None,
    /// The worker has not heard this epoch yet.
    Open,
    /// The worker heard it and does not run the task; the next reading dates that.
    Heard,
    /// Older starts are refused since this platform time, in milliseconds.
    ClosedAt(u64),
}

/// Room that is kept for a job until others have stopped.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) task: TaskKey,
    pub(super) worker: WorkerKey,
    pub(super) charge: quota::Charge,
    pub(super) victims: Vec<JobKey>,
    pub(super) until: clock::Instant,
}
