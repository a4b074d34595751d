//! Clocks of a process as the decisions' instants.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time;
use wasabiloft::clock;

/// The clock of a process; the decisions' instants count from its making.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// The present.
    pub fn now(&self) -> clock::Instant {
        let passed = self.start.elapsed().as_millis();
        clock::Instant::from_ms(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// A decisions' instant on the runtime's clock.
    pub fn at(&self, instant: clock::Instant) -> time::Instant {
        self.start + std::time::Duration::from_millis(instant.as_ms())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The present on the clock that also counts while the VM is suspended, so that leases end in time.
pub fn since_boot() -> clock::Instant {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    clock::Instant::from_ms(seconds * clock::SECOND_MS + nanos / 1_000_000)
}

/// The time of day, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 counts as 1970; such a node's jobs sort first, nothing else depends on it.
    now.map_or(0, |passed| u64::try_from(passed.as_millis()).unwrap_or(0))
}
