//! How long work would wait at a desk.

use std::time::Duration;

use crate::table::pool::Pieces;
use crate::time::Instant;

/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Rate of arriving pieces, by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    /// Pieces of each rank in the current and the last window.
    ranks: Vec<[f64; 2]>,
    since: Instant,
}

impl Arrivals {
    /// Counts pieces of a rank.
    pub(super) fn count(&mut self, now: Instant, priority: u16, pieces: u32) {
        self.turn(now);
        let at = usize::from(priority);
        if self.ranks.len() <= at {
            self.ranks.resize(at + 1, [0.0; 2]);
        }
        if let Some([current, _]) = self.ranks.get_mut(at) {
            *current += f64::from(pieces);
        }
    }

    /// Returns the pieces a second of the ranks above `priority`.
    pub(super) fn above(&mut self, now: Instant, priority: u16) -> f64 {
        self.turn(now);
        let part = now.since(self.since).as_secs_f64() / WINDOW.as_secs_f64();
        let rate = |[current, last]: &[f64; 2]| (current + last) / (1.0 + part);
        self.ranks.iter().take(usize::from(priority)).map(rate).sum::<f64>() / WINDOW.as_secs_f64()
    }

    fn turn(&mut self, now: Instant) {
        let age = now.since(self.since);
        if age < WINDOW {
            return;
        }
        for rank in &mut self.ranks {
            let [current, last] = rank;
            *last = if age < WINDOW * 2 { *current } else { 0.0 };
            *current = 0.0;
        }
        self.since = now;
    }
}

/// What a desk's wait rests on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// Makers that take calls, each weighted by its speed.
    pub(super) makers: f64,
    /// Time until the first of them is free.
    pub(super) until_free: Duration,
    /// Pieces that wait and go first.
    pub(super) ahead: f64,
    /// Pieces a second that will come and go first.
    pub(super) above: f64,
}

impl Load {
    /// Returns the time until a job of `pieces` is done, `None` where it never would be.
    pub(super) fn time(&self, pool: &Pieces, pieces: u32) -> Option<Duration> {
        let own = call_time(pool, (pieces as usize).min(pool.batch));
        if self.makers <= 0.0 {
            return None;
        }
        let full = call_time(pool, pool.batch).as_secs_f64();
        let capacity = self.makers * pool.batch as f64 / full;
        let left = capacity - self.above;
        if left <= 0.0 {
            return None;
        }
        let queued = self.ahead / left;
        let time = self.until_free + Duration::try_from_secs_f64(queued).ok()? + own;
        Some(time)
    }
}

/// Returns the time that a call of `pieces` takes at a maker of usual speed.
pub(super) fn call_time(pool: &Pieces, pieces: usize) -> Duration {
    pool.overhead + pool.item * u32::try_from(pieces).unwrap_or(u32::MAX)
}
