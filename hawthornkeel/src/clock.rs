//! Clocks of the process: the boot-time clock and the wall clock.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornkeel_core::time::Instant;
use hawthornkeel_core::time::WallTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Clock for decisions. It runs while the machine is suspended, so leases expire meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        boot_now()
    }

    /// Returns the time until `point`, or zero if it has passed.
    pub fn time_until(&self, point: Instant) -> Duration {
        point.since(self.now())
    }
}

/// Returns the current time of the clock that runs while the machine is suspended.
pub fn boot_now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Instant::from_micros(seconds.saturating_mul(1_000_000).saturating_add(nanos / 1_000))
}

/// Returns the current wall clock time; a time before the Unix epoch is returned as the epoch.
pub fn wall_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the whole milliseconds of a duration, as log lines and messages tell them.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
