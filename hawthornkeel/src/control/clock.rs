//! Clock of the replicated log.

use hawthornkeel_core::time::Instant;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the present point on the clock that goes on while the machine is suspended.
pub fn boot_now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Instant::from_micros(seconds.saturating_mul(1_000_000).saturating_add(nanos / 1_000))
}
