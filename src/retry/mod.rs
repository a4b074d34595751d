//! Retry policy of one request: whether a failed attempt is retried, and which verdict the caller gets in the end.
//!
//! A request that is not idempotent is not retried once a byte of it may have been sent. An idempotent one can be
//! retried at another endpoint, and can be sent a second time in parallel with a slow attempt (a hedge), as long as its
//! deadline and the [`budget`] allow.

pub mod budget;

use crate::clock;
use crate::verdict;

/// Maximum number of attempts of one request, including hedges and attempts that could not connect.
pub const ATTEMPTS_MAX: u32 = 4;
/// Minimum time left before the deadline for another attempt to start, in milliseconds.
///
/// With less time left, another attempt is unlikely to complete.
pub const REMAINING_MIN_MS: u64 = 20;

/// How much of the request an attempt had sent when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No byte of the request can have been sent.
    NothingSent,
    /// A byte may have been sent.
    MaybeSent,
    /// The endpoint replied that it did not run the request.
    Refused,
}

/// Describes a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Failure {
    /// How much of the request had been sent.
    pub progress: Progress,
    /// Cause of the failure.
    pub reason: verdict::Reason,
}

/// The action that follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Retry at another endpoint.
    Retry,
    /// Wait for another attempt that is still in flight.
    Wait,
    /// Return this verdict and reason to the caller.
    GiveUp(verdict::Verdict, verdict::Reason),
}

/// Properties of a request that limit its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spec {
    /// True if the request can safely run more than once.
    pub idempotent: bool,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: clock::Instant,
}

/// Tracks the attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    spec: Spec,
    started: u32,
    in_flight: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a request without attempts, and credits the request to the budget.
    pub fn new(spec: Spec, budget: &mut budget::Budget) -> Self {
        budget.credit();
        Self {
            spec,
            started: 0,
            in_flight: 0,
            may_have_run: false,
        }
    }

    /// Records the start of an attempt.
    pub fn start(&mut self) {
        self.started += 1;
        self.in_flight += 1;
    }

    /// Returns the number of attempts started so far.
    pub fn started(&self) -> u32 {
        self.started
    }

    /// Returns true if a hedge can start in parallel with the only attempt in flight, and charges it to the budget.
    pub fn hedge(&mut self, now: clock::Instant, budget: &mut budget::Budget) -> bool {
        let is_allowed = self.spec.idempotent && self.in_flight == 1 && self.can_start_attempt(now);
        is_allowed && budget.spend()
    }

    /// Records the failure of an attempt, returns what follows, and charges a retry to the budget.
    ///
    /// A retry after [`Progress::NothingSent`] is free.
    pub fn fail(
        &mut self,
        now: clock::Instant,
        failure: Failure,
        budget: &mut budget::Budget,
    ) -> Step {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= failure.progress == Progress::MaybeSent;
        if self.in_flight > 0 {
            return Step::Wait;
        }
        match self.check_retry(now, failure, budget) {
            Ok(()) => Step::Retry,
            Err(reason) => Step::GiveUp(self.verdict(), reason),
        }
    }

    /// Records that this node refused an attempt before an endpoint was selected; the attempt is not retried.
    pub fn refuse(&mut self, reason: verdict::Reason) -> Step {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight > 0 {
            return Step::Wait;
        }
        Step::GiveUp(self.verdict(), reason)
    }

    /// Returns the verdict on the request as long as no attempt has been answered.
    pub fn verdict(&self) -> verdict::Verdict {
        if self.may_have_run {
            verdict::Verdict::MayHaveRun
        } else {
            verdict::Verdict::NotRun
        }
    }

    fn check_retry(
        &self,
        now: clock::Instant,
        failure: Failure,
        budget: &mut budget::Budget,
    ) -> Result<(), verdict::Reason> {
        if self.may_have_run && !self.spec.idempotent {
            return Err(failure.reason);
        }
        if !self.can_start_attempt(now) {
            return Err(failure.reason);
        }
        match failure.progress {
            // Free of charge: the attempt put no load on an endpoint.
            Progress::NothingSent => Ok(()),
            Progress::MaybeSent | Progress::Refused if budget.spend() => Ok(()),
            Progress::MaybeSent | Progress::Refused => Err(verdict::Reason::RetryBudgetSpent),
        }
    }

    fn can_start_attempt(&self, now: clock::Instant) -> bool {
        self.started < ATTEMPTS_MAX && self.spec.deadline.since_ms(now) >= REMAINING_MIN_MS
    }
}
