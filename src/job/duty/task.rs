//! The task of a job, as known to the leader, and capacity reserved for one.

use super::JobKey;
use crate::clock;
use crate::job::row;
use crate::placement::{TaskKey, WorkerKey};
use crate::quota;

/// Maximum wait for the reply to a start before a cancellation stops the task without it, in
/// milliseconds.
const START_WAIT_MS: u64 = 5 * clock::SECOND_MS;
/// A team can have one promoted task more than its number of tasks divided by this value.
const PROMOTED_DIVISOR: u32 = 8;

/// Numbers of a team's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) live: u32,
    pub(super) urgent: u32,
    pub(super) promoted: u32,
}

impl Counts {
    /// Returns true if one more job can go before the team's urgent work.
    ///
    /// A part of the team's tasks is reserved for its oldest jobs, so that they finish even under a
    /// steady flow of urgent work. The limit keeps a large number of old jobs from starving the
    /// urgent work.
    pub(super) fn may_promote(&self) -> bool {
        self.urgent > 0 && self.promoted <= self.live / PROMOTED_DIVISOR
    }
}

/// A task that may run on a worker.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) task: TaskKey,
    pub(super) worker: WorkerKey,
    pub(super) charge: quota::Charge,
    /// True if the task was placed before its team's urgent work.
    pub(super) promoted: bool,
    /// True if this leader committed the placement, false if it was recovered from the row.
    pub(super) own_placement: bool,
    /// Tasks to throttle when this one starts.
    pub(super) throttle: Vec<TaskKey>,
    /// Time at which this leader first sent the start.
    pub(super) start_sent_at: Option<clock::Instant>,
    /// Number of starts that this leader sent.
    pub(super) start_sends: u32,
    /// Time at which the last call that can extend the lease was sent.
    pub(super) lease_sent_at: clock::Instant,
    /// Longest lease that the worker may have been granted, in milliseconds.
    pub(super) lease_ms: u64,
    /// Time at which a lost call is sent again.
    pub(super) retry_at: Option<clock::Instant>,
    /// True if a reply or a usage reading showed that the task started.
    pub(super) confirmed: bool,
    /// Reason recorded for the job once it is proven that the task did not start and never will.
    pub(super) not_started: Option<row::Reason>,
    /// Time at which the worker first reported that the task no longer runs.
    pub(super) stopped_at: Option<clock::Instant>,
    /// True if the task ended soon after its start.
    pub(super) ended_early: bool,
    /// Time from which the expiry of the task's lease is awaited.
    pub(super) abandoned_at: Option<clock::Instant>,
    /// True if its settled usage was recorded for its class.
    pub(super) usage_recorded: bool,
    /// Progress of ruling out a start sent by a previous leader.
    pub(super) fence: Fence,
}

impl Live {
    /// Creates a task that is allocated and not yet started.
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
            own_placement: true,
            throttle: Vec::new(),
            start_sent_at: None,
            start_sends: 0,
            lease_sent_at: now,
            lease_ms: 0,
            retry_at: None,
            confirmed: false,
            not_started: None,
            stopped_at: None,
            ended_early: false,
            abandoned_at: None,
            usage_recorded: false,
            fence: Fence::None,
        }
    }

    /// Returns true while the reply to the start is awaited.
    pub(super) fn is_starting(&self, now: clock::Instant) -> bool {
        let sent = self.start_sent_at;
        !self.confirmed
            && self.not_started.is_none()
            && sent.is_some_and(|at| now.since_ms(at) < START_WAIT_MS)
    }

    /// Returns true if the worker cannot have received the start.
    pub(super) fn is_unsent(&self) -> bool {
        self.own_placement && self.start_sent_at.is_none()
    }
}

/// Progress of finding out whether a start sent by a previous leader took effect.
///
/// The first renewal shows whether the task runs. If it does not, a job that can run twice is
/// started again under the same operation. For any other job, it must be proven that no earlier
/// start can still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fence {
    /// Nothing to rule out: the result is known, or this leader sent the start itself.
    None,
    /// The worker has not received this leader's epoch yet.
    Open,
    /// The worker has received the epoch and does not run the task; the next usage reading gives
    /// this a platform time.
    Acknowledged,
    /// The worker refuses starts of older epochs since this platform time, in milliseconds.
    ClosedAt(u64),
}

/// Capacity reserved for a job until the displaced tasks have stopped.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) task: TaskKey,
    pub(super) worker: WorkerKey,
    pub(super) charge: quota::Charge,
    pub(super) victims: Vec<JobKey>,
    pub(super) until: clock::Instant,
}
