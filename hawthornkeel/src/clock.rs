//! Clocks of the process: the monotonic one that decisions take, and the wall clock.

use std::time::Duration;
use std::time::Instant as StdInstant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornkeel_core::time::Instant;
use hawthornkeel_core::time::WallTime;

/// Monotonic clock with its origin at the process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: StdInstant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { origin: StdInstant::now() }
    }
}

impl Clock {
    /// Returns the present point on the monotonic clock.
    pub fn now(&self) -> Instant {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Instant::from_micros(micros)
    }

    /// Returns the time until `point`, or zero where it has passed.
    pub fn until(&self, point: Instant) -> Duration {
        point.since(self.now())
    }
}

/// Returns the present point on the wall clock; a clock before the epoch reads as the epoch.
pub fn wall_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
