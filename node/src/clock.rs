//! The process's monotonic clock as the decisions' instants.

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
