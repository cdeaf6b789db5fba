//! Clock of the replicated state, driven by the timestamps of successive leaders.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::time::WallTime;

/// Maximum step of the clock between two commands, however far apart their timestamps are.
///
/// Without this bound a leader whose clock is years ahead would expire every claim at once, and the
/// clock would stay ahead permanently.
pub const MAX_STEP: Duration = Duration::from_secs(3600);

/// Monotonic clock that accumulates the differences between successive timestamps.
///
/// A leader whose clock is off by a constant thus advances it by the correct amount, and a change
/// of leader advances it by zero to [`MAX_STEP`]. Idle time beyond [`MAX_STEP`] is not counted,
/// which may extend the life of claims but never shortens it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Clock {
    now: WallTime,
    #[serde(rename = "stamp")]
    last_timestamp: Option<WallTime>,
}

impl Clock {
    /// Advances the clock by a command's timestamp and returns the time at which it takes effect.
    pub fn advance(&mut self, timestamp: WallTime) -> WallTime {
        match self.last_timestamp {
            Some(last) => self.now = saturating_add(self.now, timestamp.since(last).min(MAX_STEP)),
            None => self.now = timestamp,
        }
        self.last_timestamp = Some(timestamp);
        self.now
    }

    /// Returns the time that has elapsed since `earlier`, a time of this clock, at `wall` on a wall
    /// clock.
    ///
    /// The wall clock counts only from the last timestamp on: this clock may be behind wall clocks by
    /// idle time that it has not counted.
    pub fn elapsed_since(&self, earlier: WallTime, wall: WallTime) -> Duration {
        let idle = self.last_timestamp.map(|last| wall.since(last)).unwrap_or_default();
        self.now.since(earlier).saturating_add(idle)
    }
}

/// Returns the time `duration` after `time`, saturating at the numeric limit.
pub fn saturating_add(time: WallTime, duration: Duration) -> WallTime {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(time.as_millis().saturating_add(millis))
}
