//! The attempts of one request: which may follow a failure, and what the caller is told in the end.
//!
//! A request that is not idempotent gets one attempt once a byte of it may have left. An idempotent one may be tried
//! again at another endpoint, and a second time beside a slow attempt (a hedge), as long as its deadline and the
//! [`budget`] allow.

pub mod budget;

use crate::clock;
use crate::verdict;

/// Attempts of one request at most, hedges and those that could not connect included.
pub const ATTEMPTS_MAX: u32 = 4;
/// Time before the deadline below which no further attempt is worth it, in milliseconds.
pub const LEFT_MIN_MS: u64 = 20;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No byte of the request can have left.
    NothingSent,
    /// A byte may have left.
    MaySent,
    /// The endpoint said that it did not run the request.
    Refused,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Failure {
    /// How far it had come.
    pub progress: Progress,
    /// Why it failed.
    pub reason: verdict::Reason,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Try again, at another endpoint.
    Retry,
    /// Another attempt is still under way; wait for it.
    Wait,
    /// Tell the caller.
    GiveUp(verdict::Verdict, verdict::Reason),
}

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spec {
    /// True if running it twice does no harm.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: clock::Instant,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    spec: Spec,
    started: u32,
    under_way: u32,
    may_have_run: bool,
}

impl Attempts {
    /// A request that has not been tried yet; it adds to the budget.
    pub fn new(spec: Spec, budget: &mut budget::Budget) -> Self {
        budget.earn();
        Self {
            spec,
            started: 0,
            under_way: 0,
            may_have_run: false,
        }
    }

    /// An attempt starts.
    pub fn start(&mut self) {
        self.started += 1;
        self.under_way += 1;
    }

    /// Attempts started so far.
    pub fn started(&self) -> u32 {
        self.started
    }

    /// Tells whether a second attempt may start beside the one that is under way, and pays for it.
    pub fn hedge(&mut self, now: clock::Instant, budget: &mut budget::Budget) -> bool {
        let allowed = self.spec.idempotent && self.under_way == 1 && self.has_room(now);
        allowed && budget.spend()
    }

    /// An attempt failed; tells what follows, and pays for a retry.
    pub fn fail(
        &mut self,
        now: clock::Instant,
        failure: Failure,
        budget: &mut budget::Budget,
    ) -> Step {
        self.under_way = self.under_way.saturating_sub(1);
        self.may_have_run |= failure.progress == Progress::MaySent;
        if self.under_way > 0 {
            return Step::Wait;
        }
        match self.check_retry(now, failure, budget) {
            Ok(()) => Step::Retry,
            Err(reason) => Step::GiveUp(self.verdict(), reason),
        }
    }

    /// An attempt was refused on this node, before an endpoint was picked for it; it is not tried again.
    pub fn refuse(&mut self, reason: verdict::Reason) -> Step {
        self.under_way = self.under_way.saturating_sub(1);
        if self.under_way > 0 {
            return Step::Wait;
        }
        Step::GiveUp(self.verdict(), reason)
    }

    /// What is known of the request while no attempt has been answered.
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
        if !self.has_room(now) {
            return Err(failure.reason);
        }
        match failure.progress {
            // No endpoint has had any work of it.
            Progress::NothingSent => Ok(()),
            Progress::MaySent | Progress::Refused if budget.spend() => Ok(()),
            Progress::MaySent | Progress::Refused => Err(verdict::Reason::RetryBudgetSpent),
        }
    }

    fn has_room(&self, now: clock::Instant) -> bool {
        self.started < ATTEMPTS_MAX && self.spec.deadline.since_ms(now) >= LEFT_MIN_MS
    }
}
