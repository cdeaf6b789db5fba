//! Monotonic and wall clock time.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time by which two instances may place the same event differently, as messages tell its age.
const CLOCK_SLACK: Duration = Duration::from_millis(250);

/// Time on a process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Values of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// Origin of the clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// Creates the time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Creates the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self { micros: millis.saturating_mul(1000) }
    }

    /// Returns the number of microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }

    /// Returns the whole milliseconds elapsed since `earlier`, as messages between instances tell
    /// ages; the largest value stands for more.
    pub fn millis_since(self, earlier: Self) -> u32 {
        u32::try_from(self.since(earlier).as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the instant `millis` milliseconds before this one: the time of an event whose age a
    /// message tells.
    pub fn before_millis(self, millis: u32) -> Self {
        self.before(Duration::from_millis(millis.into()))
    }

    /// Returns whether this is later than `other` by more than two instances may differ about the
    /// time of one event.
    pub fn is_clearly_after(self, other: Self) -> bool {
        self > other + CLOCK_SLACK
    }

    /// Returns the instant `span` before this one, saturating at zero.
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self { micros: self.micros.saturating_sub(micros) }
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self { micros: self.micros.saturating_add(micros) }
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.micros / 1_000_000, self.micros % 1_000_000)
    }
}

/// Time on the wall clock, in milliseconds since the Unix epoch.
///
/// Used only where more than one process must agree on a time, such as the expiry of a claim. The
/// leader writes its clock's time into the log, so that all replicas read the same value.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime {
    millis: u64,
}

impl WallTime {
    /// Creates the time `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Returns the number of milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.millis
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.millis.saturating_sub(earlier.millis))
    }
}
