//! Time of the replicated state, derived from the stamps of successive leaders.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::time::WallTime;

/// Longest time that passes between two commands, however far apart their stamps are.
///
/// A leader whose clock is years ahead would otherwise expire every claim at once and leave the
/// time there for good.
pub const MAX_STEP: Duration = Duration::from_secs(3600);

/// Clock that adds up the time between stamps and never goes back.
///
/// Only differences count: a leader whose clock is off by a constant adds the right time, and a
/// change of leader adds between zero and [`MAX_STEP`]. Idle time beyond [`MAX_STEP`] is not
/// counted, which keeps claims longer and never shorter.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Clock {
    now: WallTime,
    stamp: Option<WallTime>,
}

impl Clock {
    /// Takes the next command's stamp and returns the time at which the command takes effect.
    pub fn advance(&mut self, stamp: WallTime) -> WallTime {
        match self.stamp {
            Some(last) => self.now = saturating_add(self.now, stamp.since(last).min(MAX_STEP)),
            None => self.now = stamp,
        }
        self.stamp = Some(stamp);
        self.now
    }
}

/// Returns the point `duration` after `time`.
pub fn saturating_add(time: WallTime, duration: Duration) -> WallTime {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    WallTime::from_millis(time.as_millis().saturating_add(millis))
}
