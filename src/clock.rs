//! Monotonic time in milliseconds.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Milliseconds in a second.
pub const SECOND_MS: u64 = 1_000;
/// Milliseconds in a minute.
pub const MINUTE_MS: u64 = 60 * SECOND_MS;
/// Milliseconds in an hour.
pub const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Milliseconds in a day.
pub const DAY_MS: u64 = 24 * HOUR_MS;

/// A point in time on a process's monotonic clock, in milliseconds since an arbitrary start.
///
/// Instants of different processes can't be compared.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct Instant(u64);

impl Instant {
    /// The clock's arbitrary start.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from milliseconds since the clock's start.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the clock's start.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}
