//! Rates of client accounts: which jobs are within their account's rate.
//!
//! Answers the load in which one account submits five to seven times its usual load: its jobs beyond the rate are
//! scheduled after those of all accounts that are within it.

use std::collections::BTreeMap;

use crate::id;

/// Cost of a job in a token bucket, in millionths of a job.
const JOB_MICRO: u64 = 1_000_000;

/// A token bucket that marks the jobs of one account.
#[derive(Clone, Debug)]
struct Bucket {
    /// Tokens at `filled_unix_ms`, in millionths of a job.
    tokens_micro: u64,
    filled_unix_ms: u64,
    /// When the last job beyond the rate was submitted, in milliseconds since 1970; `None` if there was none, or the
    /// account has been within its rate for a window since.
    beyond_unix_ms: Option<u64>,
    /// Jobs beyond the rate since the account was last within it.
    jobs_beyond: u64,
    /// Whether the last reported change was to be beyond the rate.
    is_reported_beyond: bool,
}

/// An account that begins or ceases to be beyond its rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// The account.
    pub account: id::Account,
    /// Whether jobs of the account exceed its rate now.
    pub beyond: bool,
    /// Jobs beyond the rate since the account was last within it.
    pub jobs_beyond: u64,
}

/// The rates of all accounts, which mark each job once as within or beyond its account's rate.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    window_ms: u64,
    buckets: BTreeMap<id::Account, Bucket>,
}

impl Rates {
    /// Creates rates whose buckets hold the jobs of one window.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns whether a job is beyond the rate of its account, `weight_milli` thousandths of a job a second. Jobs are
    /// passed in the order of their submission; one that is passed later takes a token of the present.
    pub fn is_beyond(
        &mut self,
        account: &id::Account,
        weight_milli: u64,
        submitted_unix_ms: u64,
    ) -> bool {
        let capacity = weight_milli.saturating_mul(self.window_ms).max(JOB_MICRO);
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| Bucket {
                tokens_micro: capacity,
                filled_unix_ms: submitted_unix_ms,
                beyond_unix_ms: None,
                jobs_beyond: 0,
                is_reported_beyond: false,
            });
        let elapsed_ms = submitted_unix_ms.saturating_sub(bucket.filled_unix_ms);
        let refill = weight_milli.saturating_mul(elapsed_ms);
        bucket.tokens_micro = bucket.tokens_micro.saturating_add(refill).min(capacity);
        bucket.filled_unix_ms = bucket.filled_unix_ms.max(submitted_unix_ms);
        if let Some(tokens_micro) = bucket.tokens_micro.checked_sub(JOB_MICRO) {
            bucket.tokens_micro = tokens_micro;
            return false;
        }
        bucket.beyond_unix_ms = Some(bucket.filled_unix_ms);
        bucket.jobs_beyond += 1;
        true
    }

    /// Returns the accounts that began or ceased to be beyond their rate since the last call. An account ceases to be
    /// beyond its rate when no job exceeded it for a window.
    pub fn changes(&mut self, unix_ms: u64) -> Vec<RateChange> {
        let mut changes = Vec::new();
        for (account, bucket) in &mut self.buckets {
            let Some(beyond_unix_ms) = bucket.beyond_unix_ms else {
                continue;
            };
            let beyond = unix_ms.saturating_sub(beyond_unix_ms) < self.window_ms;
            if beyond != bucket.is_reported_beyond {
                changes.push(RateChange {
                    account: account.clone(),
                    beyond,
                    jobs_beyond: bucket.jobs_beyond,
                });
                bucket.is_reported_beyond = beyond;
            }
            if !beyond {
                (bucket.beyond_unix_ms, bucket.jobs_beyond) = (None, 0);
            }
        }
        changes
    }
}
