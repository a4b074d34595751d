//! Conversions of the system's clocks to [`wasabiloft::clock::Instant`].

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time;
use wasabiloft::clock;

/// A monotonic clock; its instants count the milliseconds since it was created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// Returns the current instant.
    pub fn now(&self) -> clock::Instant {
        let elapsed = self.start.elapsed().as_millis();
        clock::Instant::from_ms(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Converts an instant of this clock to one of the runtime's clock.
    pub fn at(&self, instant: clock::Instant) -> time::Instant {
        self.start + std::time::Duration::from_millis(instant.as_ms())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since boot, including time while the VM is suspended, so that leases expire in time.
pub fn since_boot() -> clock::Instant {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    clock::Instant::from_ms(seconds * clock::SECOND_MS + nanos / 1_000_000)
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 counts as 1970. Jobs of such a node sort first; nothing else depends on it.
    now.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}
