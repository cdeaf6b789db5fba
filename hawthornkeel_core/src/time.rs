//! Monotonic and wall clock time.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

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
