//! When the work at a desk will be done, and whether more can be taken without any of it being late.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::stages::admission::LATE_PRIORITY;
use crate::table::access::ROUTE_PRIORITIES;
use crate::table::pool::StageWorkload;
use crate::time::Instant;

/// Lateness of work that was taken already up to which more is taken.
const TOLERANCE: Duration = Duration::from_millis(80);
/// Time by which work of one rank goes before that of the next with the same due.
const RANK_STEP: Duration = Duration::from_millis(700);
/// Time by which work that is in time goes before work that is late, with the same due.
///
/// Longer than callers wait: late work that caught up would make all work late.
const LATE_STEP: Duration = Duration::from_secs(60);
/// Share of a new call in the measured time of a piece.
const NEWEST: f64 = 0.05;
/// Bounds of the measured time of a piece against what the document says.
const SCALE: RangeInclusive<f64> = 0.2..=4.0;
/// Time over which the flow of work is averaged.
const FLOW_TIME: Duration = Duration::from_millis(1_500);
/// Part of the targets' capacity that late work is expected to get at least.
const MIN_LEFTOVER: f64 = 0.1;
/// Ranks of routes that are told apart.
const ROUTE_LEVELS: u16 = 3;
/// Ranks of workspaces that are told apart.
const WORKSPACE_LEVELS: u16 = 3;
/// Levels of the order.
const LEVELS: usize = (ROUTE_LEVELS * WORKSPACE_LEVELS) as usize;

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
}

impl Queued {
    /// Creates work of a rank that should be done at `due`.
    pub(super) fn new(due: Instant, priority: u16, pieces: u32) -> Self {
        Self { place: place(due, priority), due, priority, pieces }
    }
}

/// Returns the place of work in the order: by its due, with a start for higher ranks.
pub(super) fn place(due: Instant, priority: u16) -> Instant {
    let (late, rank) = match priority.checked_sub(LATE_PRIORITY) {
        Some(rank) => (LATE_STEP, rank),
        None => (Duration::ZERO, priority),
    };
    due + late + RANK_STEP * u32::from(level(rank))
}

/// Flow of pieces that are in time, as decaying means by rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Flow {
    /// Pieces a second of each rank as of `at`.
    rates: [f64; LEVELS],
    at: Instant,
}

impl Flow {
    /// Adds pieces of a rank that were offered.
    pub(super) fn add(&mut self, now: Instant, rank: u16, pieces: u32) {
        let decay = self.decay(now);
        self.rates.iter_mut().for_each(|r| *r *= decay);
        self.at = now;
        if let Some(rate) = self.rates.get_mut(usize::from(level(rank))) {
            *rate += f64::from(pieces) / FLOW_TIME.as_secs_f64();
        }
    }

    /// Returns the pieces a second that go before work of a rank, whenever they come.
    fn above(&self, now: Instant, rank: u16) -> f64 {
        let above = if rank >= LATE_PRIORITY { self.rates.len() } else { usize::from(level(rank)) };
        self.rates.iter().take(above).sum::<f64>() * self.decay(now)
    }

    fn decay(&self, now: Instant) -> f64 {
        (-now.since(self.at).as_secs_f64() / FLOW_TIME.as_secs_f64()).exp()
    }
}

/// Returns the level of a rank: that of its workspace first, then that of its route.
fn level(rank: u16) -> u16 {
    let workspace = (rank / ROUTE_PRIORITIES).min(WORKSPACE_LEVELS - 1);
    workspace * ROUTE_LEVELS + (rank % ROUTE_PRIORITIES).min(ROUTE_LEVELS - 1)
}

/// Time that a piece takes, as calls tell: stages differ, and inputs are fetched within it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PieceTime {
    /// Against what the document says.
    scale: f64,
}

impl Default for PieceTime {
    fn default() -> Self {
        Self { scale: 1.0 }
    }
}

impl PieceTime {
    /// Notes a call of `pieces` that took as long as its target usually takes.
    pub(super) fn note(&mut self, pool: &StageWorkload, pieces: usize, took: Duration) {
        let said = pool.piece_time.as_secs_f64() * pieces as f64;
        let measured = took.saturating_sub(pool.call_overhead).as_secs_f64();
        if said > 0.0 {
            let scale = (measured / said).clamp(*SCALE.start(), *SCALE.end());
            // A call of few pieces tells little.
            let share = NEWEST * (2.0 * pieces as f64 / pool.batch_size.max(1) as f64).min(1.0);
            self.scale += (scale - self.scale) * share;
        }
    }

    /// Returns a pool with the measured time.
    pub(super) fn measured(&self, pool: &StageWorkload) -> StageWorkload {
        StageWorkload { piece_time: pool.piece_time.mul_f64(self.scale), ..*pool }
    }
}

/// What a desk's targets can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Capacity {
    /// Present point.
    pub(super) now: Instant,
    /// Targets that take calls, each weighted by its speed.
    pub(super) workers: f64,
    /// Time until the first of them is free.
    pub(super) until_free: Duration,
    /// Time until a target is free for work that comes later, about.
    pub(super) turn: Duration,
    /// Pieces that come and are in time.
    pub(super) flow: Flow,
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
    /// Time until a target is free for work that comes later, about.
    pub turn: Duration,
}

impl Capacity {
    /// Estimates `new` work beside `queued`, which is in order.
    ///
    /// Returns `None` where no target takes calls.
    pub(super) fn estimate(
        &self,
        pool: &StageWorkload,
        queued: &[Queued],
        new: &Queued,
    ) -> Option<Estimate> {
        if self.workers <= 0.0 {
            return None;
        }
        let first = queued.partition_point(|q| q.place <= new.place);
        let (before, after) = queued.split_at_checked(first)?;
        let ahead: u32 = before.iter().map(|q| q.pieces).sum();
        let harm = self.harm(pool, after, ahead, new);
        let own = own_time(pool, ahead, new.pieces);
        let drain = self.drain(pool, ahead).div_f64(self.leftover(pool, new.priority));
        Some(Estimate { drain, own, harm, turn: self.turn })
    }

    /// Returns the part of the capacity that is left for work of a rank.
    fn leftover(&self, pool: &StageWorkload, rank: u16) -> f64 {
        let most =
            pool.batch_size as f64 / call_time(pool, pool.batch_size).as_secs_f64() * self.workers;
        (1.0 - self.flow.above(self.now, rank) / most).clamp(MIN_LEFTOVER, 1.0)
    }

    /// Returns the time by which work in `after` of the same or a higher rank would be late.
    fn harm(&self, pool: &StageWorkload, after: &[Queued], ahead: u32, new: &Queued) -> Duration {
        let mut before = ahead;
        let mut harm = Duration::ZERO;
        for queued in after {
            let done = |ahead: u32| {
                self.now + self.drain(pool, ahead) + own_time(pool, ahead, queued.pieces)
            };
            let (without, with) = (done(before), done(before + new.pieces));
            let limit = queued.due + TOLERANCE;
            // What is late anyway is not harmed.
            if without <= limit && queued.priority <= new.priority {
                harm = harm.max(with.since(limit));
            }
            before += queued.pieces;
        }
        harm
    }

    /// Returns the time until `pieces` are done, in full calls.
    fn drain(&self, pool: &StageWorkload, pieces: u32) -> Duration {
        let each = call_time(pool, pool.batch_size).as_secs_f64() / pool.batch_size.max(1) as f64;
        let time = f64::from(pieces) * each / self.workers;
        self.until_free + Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX / 4)
    }
}

/// Returns the time of the call that does `pieces`, with some of the `ahead` that go along.
fn own_time(pool: &StageWorkload, ahead: u32, pieces: u32) -> Duration {
    let along = (ahead as usize).saturating_add(pieces as usize).min(pool.batch_size);
    call_time(pool, along.max(1))
}

/// Returns the time that a call of `pieces` takes at a maker of usual speed.
pub(super) fn call_time(pool: &StageWorkload, pieces: usize) -> Duration {
    pool.call_overhead + pool.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
}
