//! When the work at a desk will be done, and whether more can be taken without any of it being late.

use std::time::Duration;

use crate::table::pool::Pieces;
use crate::time::Instant;

/// Lateness of work that was taken already up to which more is taken.
const TOLERANCE: Duration = Duration::from_millis(80);
/// Time for which a result is held after its call, about: until its request runs.
const HELD: Duration = Duration::from_millis(220);
/// Part of a target's room that is used, as sizes are known about and freeing takes time.
const ROOM_PART: f64 = 0.95;
/// Time by which work of one rank goes before that of the next with the same due.
const RANK_STEP: Duration = Duration::from_millis(350);
/// Ranks that are told apart.
const MAX_STEPS: u16 = 4;

/// Work that waits or is booked, in the order in which it goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Queued {
    /// Place in the order: what has a lower one goes first.
    pub(super) place: Instant,
    /// When it should be done.
    pub(super) due: Instant,
    /// Rank, zero the highest.
    pub(super) priority: u16,
    /// Pieces.
    pub(super) pieces: u32,
    /// Time of one target that it takes, in seconds.
    pub(super) cost: f64,
}

impl Queued {
    /// Creates work of a rank that should be done at `due`, with results of `bytes` each.
    pub(super) fn new(pool: &Pieces, due: Instant, priority: u16, pieces: u32, bytes: u64) -> Self {
        let cost = f64::from(pieces) * piece_cost(pool, bytes);
        Self { place: place(due, priority), due, priority, pieces, cost }
    }
}

/// Returns the time of one target that a piece takes in full calls, in seconds.
///
/// Where results are large, room for them and not time decides how many a target makes.
fn piece_cost(pool: &Pieces, bytes: u64) -> f64 {
    let full = call_time(pool, pool.batch);
    let time = full.as_secs_f64() / pool.batch.max(1) as f64;
    let room = (full + HELD).as_secs_f64() * bytes as f64 / room(pool).max(1) as f64;
    time.max(room)
}

/// Returns the bytes of results that one target may hold.
pub(super) fn room(pool: &Pieces) -> u64 {
    (pool.room as f64 * ROOM_PART) as u64
}

/// Returns the place of work in the order: by its due, with a start for higher ranks.
pub(super) fn place(due: Instant, priority: u16) -> Instant {
    due + RANK_STEP * u32::from(priority.min(MAX_STEPS))
}

/// What a desk's targets can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Capacity {
    /// Present point.
    pub(super) now: Instant,
    /// Targets that take calls, each weighted by its speed.
    pub(super) makers: f64,
    /// Time until the first of them is free.
    pub(super) until_free: Duration,
}

/// What a booking comes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Time until the work that goes first is done.
    pub drain: Duration,
    /// Time that the work itself takes after that.
    pub own: Duration,
    /// Time by which work that was taken already would be late because of it.
    pub harm: Duration,
}

impl Capacity {
    /// Estimates `new` work beside `queued`, which is in order.
    ///
    /// Returns `None` where no target takes calls.
    pub(super) fn estimate(
        &self,
        pool: &Pieces,
        queued: &[Queued],
        new: &Queued,
    ) -> Option<Estimate> {
        if self.makers <= 0.0 {
            return None;
        }
        let first = queued.partition_point(|q| q.place <= new.place);
        let (before, after) = queued.split_at_checked(first)?;
        let cost: f64 = before.iter().map(|q| q.cost).sum();
        let harm = self.harm(pool, after, cost, new);
        let own = own_time(pool, before.iter().map(|q| q.pieces).sum(), new.pieces);
        Some(Estimate { drain: self.drain(cost), own, harm })
    }

    /// Returns the time by which work in `after` of the same or a higher rank would be late.
    fn harm(&self, pool: &Pieces, after: &[Queued], ahead: f64, new: &Queued) -> Duration {
        let mut before = ahead;
        let mut harm = Duration::ZERO;
        for queued in after {
            let done = |cost| self.now + self.drain(cost) + own_time(pool, 0, queued.pieces);
            let (without, with) = (done(before), done(before + new.cost));
            let limit = queued.due + TOLERANCE;
            // What is late anyway is not harmed.
            if without <= limit && queued.priority <= new.priority {
                harm = harm.max(with.since(limit));
            }
            before += queued.cost;
        }
        harm
    }

    /// Returns the time until work that takes `cost` seconds of one target is done.
    fn drain(&self, cost: f64) -> Duration {
        let time = Duration::try_from_secs_f64(cost / self.makers);
        self.until_free + time.unwrap_or(Duration::MAX / 4)
    }
}

/// Returns the time of the call that does `pieces`, with some of the `ahead` that go along.
fn own_time(pool: &Pieces, ahead: u32, pieces: u32) -> Duration {
    let along = (ahead as usize).saturating_add(pieces as usize).min(pool.batch);
    call_time(pool, along.max(1))
}

/// Returns the time that a call of `pieces` takes at a maker of usual speed.
pub(super) fn call_time(pool: &Pieces, pieces: usize) -> Duration {
    pool.overhead + pool.item * u32::try_from(pieces).unwrap_or(u32::MAX)
}
