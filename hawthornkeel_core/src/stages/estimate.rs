//! Estimates of when queued work finishes, and of how late new work would make it.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::stages::admission::LATE_PRIORITY;
use crate::table::access::ROUTE_PRIORITIES;
use crate::table::pool::StageWorkload;
use crate::time::Instant;

/// Lateness of accepted work that is tolerated when new work is estimated.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(80);
/// Head start of work over that of the next lower priority with the same due time.
const PRIORITY_STEP: Duration = Duration::from_millis(700);
/// Head start of timely work over late work with the same due time.
///
/// Longer than callers wait: if late work ever caught up, it would make all work late.
const LATE_OFFSET: Duration = Duration::from_secs(60);
/// Weight of a new call in the moving average of the time of a piece.
const PIECE_TIME_WEIGHT: f64 = 0.05;
/// Bounds of the ratio between the measured time of a piece and that in the document.
const SCALE_BOUNDS: RangeInclusive<f64> = 0.2..=4.0;
/// Time constant of the moving averages of arrival rates.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_500);
/// Share of the capacity up to which timely arrivals fit into the next calls, in whatever order.
const CALM_SHARE: f64 = 0.6;
/// Share of the capacity from which on work goes by priority alone.
const CROWDED_SHARE: f64 = 0.9;
/// Minimum share of the capacity that lower priorities are assumed to get.
const MIN_RESIDUAL_SHARE: f64 = 0.1;
/// Number of route priorities that are distinguished.
const ROUTE_LEVELS: u16 = 3;
/// Number of workspace priorities that are distinguished.
const WORKSPACE_LEVELS: u16 = 3;
/// Number of combined priority levels.
const LEVELS: usize = (ROUTE_LEVELS * WORKSPACE_LEVELS) as usize;

/// Work that waits or is reserved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Queued {
    /// Sort key of the queue; the lowest goes first.
    pub(super) virtual_deadline: Instant,
    /// Time by which it should be done.
    pub(super) due: Instant,
    /// Priority; zero is the highest.
    pub(super) priority: u16,
    /// Number of pieces.
    pub(super) pieces: u32,
}

impl Queued {
    pub(super) fn new(due: Instant, priority: u16, pieces: u32) -> Self {
        Self { virtual_deadline: virtual_deadline(due, priority), due, priority, pieces }
    }
}

/// Returns the time by which the queue is sorted: the due time, delayed for lower priorities.
pub(super) fn virtual_deadline(due: Instant, priority: u16) -> Instant {
    let (late_offset, base) = match priority.checked_sub(LATE_PRIORITY) {
        Some(base) => (LATE_OFFSET, base),
        None => (Duration::ZERO, priority),
    };
    due + late_offset + PRIORITY_STEP * u32::from(level(base))
}

/// Arrival rates of timely pieces per priority level, as exponential moving averages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ArrivalRates {
    /// Pieces per second of each level, as of `updated`.
    rates: [f64; LEVELS],
    updated: Instant,
}

impl ArrivalRates {
    /// Adds pieces that were submitted.
    pub(super) fn add(&mut self, now: Instant, priority: u16, pieces: u32) {
        let decay = self.decay(now);
        self.rates.iter_mut().for_each(|r| *r *= decay);
        self.updated = now;
        if let Some(rate) = self.rates.get_mut(usize::from(level(priority))) {
            *rate += f64::from(pieces) / ARRIVAL_WINDOW.as_secs_f64();
        }
    }

    /// Returns the pieces per second that go before work of a priority whenever they arrive.
    fn above(&self, now: Instant, priority: u16) -> f64 {
        let levels =
            if priority >= LATE_PRIORITY { self.rates.len() } else { usize::from(level(priority)) };
        self.rates.iter().take(levels).sum::<f64>() * self.decay(now)
    }

    /// Returns the pieces per second of all timely work.
    fn total(&self, now: Instant) -> f64 {
        self.rates.iter().sum::<f64>() * self.decay(now)
    }

    fn decay(&self, now: Instant) -> f64 {
        (-now.since(self.updated).as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }
}

/// Returns the level of a priority: by the workspace's first, then by the route's.
fn level(priority: u16) -> u16 {
    let workspace = (priority / ROUTE_PRIORITIES).min(WORKSPACE_LEVELS - 1);
    workspace * ROUTE_LEVELS + (priority % ROUTE_PRIORITIES).min(ROUTE_LEVELS - 1)
}

/// Measured time of a piece, which differs between stages and includes fetching its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PieceTime {
    /// Ratio to the time in the document.
    scale: f64,
}

impl Default for PieceTime {
    fn default() -> Self {
        Self { scale: 1.0 }
    }
}

impl PieceTime {
    /// Records the duration of a call of `pieces` at a target that is not slow.
    pub(super) fn record(&mut self, pool: &StageWorkload, pieces: usize, took: Duration) {
        let documented = pool.piece_time.as_secs_f64() * pieces as f64;
        let measured = took.saturating_sub(pool.call_overhead).as_secs_f64();
        if documented > 0.0 {
            let scale = (measured / documented).clamp(*SCALE_BOUNDS.start(), *SCALE_BOUNDS.end());
            // Calls of few pieces say little about the time of one.
            let weight =
                PIECE_TIME_WEIGHT * (2.0 * pieces as f64 / pool.batch_size.max(1) as f64).min(1.0);
            self.scale += (scale - self.scale) * weight;
        }
    }

    /// Returns the workload with the measured time of a piece.
    pub(super) fn measured(&self, pool: &StageWorkload) -> StageWorkload {
        StageWorkload { piece_time: pool.piece_time.mul_f64(self.scale), ..*pool }
    }
}

/// Capacity of a scheduler's targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Capacity {
    /// Current time.
    pub(super) now: Instant,
    /// Number of available targets, each weighted by its speed.
    pub(super) workers: f64,
    /// Time until the first of them is free.
    pub(super) until_free: Duration,
    /// Expected wait for a free target of work that is submitted later.
    pub(super) slot_wait: Duration,
    /// Arrival rates of timely work.
    pub(super) arrivals: ArrivalRates,
    /// Whether more work waits than the next calls have room for.
    pub(super) backlogged: bool,
}

/// Expected times of new work and its effect on other work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Time until all work that goes first is done.
    pub drain: Duration,
    /// Time that the work itself takes after that.
    pub run: Duration,
    /// Largest lateness that it would cause to work accepted before it.
    pub harm: Duration,
    /// Expected wait for a free target of work that is submitted later.
    pub slot_wait: Duration,
}

impl Capacity {
    /// Estimates `new` work in addition to `queued`, which is sorted.
    ///
    /// Returns `None` if no target is available.
    pub(super) fn estimate(
        &self,
        pool: &StageWorkload,
        queued: &[Queued],
        new: &Queued,
    ) -> Option<Estimate> {
        if self.workers <= 0.0 {
            return None;
        }
        let first = queued.partition_point(|q| q.virtual_deadline <= new.virtual_deadline);
        let (before, after) = queued.split_at_checked(first)?;
        let urgent: u32 = before.iter().map(|q| q.pieces).sum();
        let ahead = self.ahead(pool, queued, new, urgent);
        let harm = self.harm(pool, after, ahead, new);
        let run = run_time(pool, ahead, new.pieces);
        let drain = self.drain(pool, ahead).div_f64(self.residual_share(pool, new.priority));
        Some(Estimate { drain, run, harm, slot_wait: self.slot_wait })
    }

    /// Returns the number of pieces that go before `new` work, of which `urgent` would do so by
    /// priority.
    ///
    /// While the next calls have room for all that waits, timely work goes in order of arrival, and
    /// only what is due earlier is likely to be there before it.
    fn ahead(&self, pool: &StageWorkload, queued: &[Queued], new: &Queued, urgent: u32) -> u32 {
        if new.priority >= LATE_PRIORITY {
            return urgent;
        }
        let is_earlier = |q: &&Queued| q.priority < LATE_PRIORITY && q.due <= new.due;
        let earlier: u32 = queued.iter().filter(is_earlier).map(|q| q.pieces).sum();
        let crowding = self.crowding(pool);
        (f64::from(earlier) * (1.0 - crowding) + f64::from(urgent) * crowding) as u32
    }

    /// Returns how far work goes by priority in place of arrival, from 0 to 1.
    fn crowding(&self, pool: &StageWorkload) -> f64 {
        if self.backlogged {
            return 1.0;
        }
        let load = self.arrivals.total(self.now) / full_rate(pool, self.workers);
        ((load - CALM_SHARE) / (CROWDED_SHARE - CALM_SHARE)).clamp(0.0, 1.0)
    }

    /// Returns the share of the capacity that higher priorities leave to work of a priority.
    fn residual_share(&self, pool: &StageWorkload, priority: u16) -> f64 {
        let taken = self.arrivals.above(self.now, priority) / full_rate(pool, self.workers);
        // Late work goes behind all other work, however little that is.
        let crowding = if priority >= LATE_PRIORITY { 1.0 } else { self.crowding(pool) };
        (1.0 - taken * crowding).clamp(MIN_RESIDUAL_SHARE, 1.0)
    }

    /// Returns the largest lateness of work in `after` of the same or a higher priority.
    fn harm(&self, pool: &StageWorkload, after: &[Queued], ahead: u32, new: &Queued) -> Duration {
        let mut before = ahead;
        let mut harm = Duration::ZERO;
        for queued in after {
            let done = |ahead: u32| {
                self.now + self.drain(pool, ahead) + run_time(pool, ahead, queued.pieces)
            };
            let (without, with) = (done(before), done(before + new.pieces));
            let limit = queued.due + LATENESS_TOLERANCE;
            // Work that is late in any case does not count.
            if without <= limit && queued.priority <= new.priority {
                harm = harm.max(with.since(limit));
            }
            before += queued.pieces;
        }
        harm
    }

    /// Returns the time until `pieces` are done in full calls.
    fn drain(&self, pool: &StageWorkload, pieces: u32) -> Duration {
        let each = call_time(pool, pool.batch_size).as_secs_f64() / pool.batch_size.max(1) as f64;
        let time = f64::from(pieces) * each / self.workers;
        self.until_free + Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX / 4)
    }
}

/// Returns the time of the call that runs `pieces` together with some of those `ahead`.
fn run_time(pool: &StageWorkload, ahead: u32, pieces: u32) -> Duration {
    let batch = (ahead as usize).saturating_add(pieces as usize).min(pool.batch_size);
    call_time(pool, batch.max(1))
}

/// Returns what a number of targets do in full calls, in pieces per second.
pub(super) fn full_rate(pool: &StageWorkload, workers: f64) -> f64 {
    let call = call_time(pool, pool.batch_size).as_secs_f64();
    pool.batch_size as f64 / call.max(f64::EPSILON) * workers
}

/// Returns the time of a call of `pieces` at a target of normal speed.
pub(super) fn call_time(pool: &StageWorkload, pieces: usize) -> Duration {
    pool.call_overhead + pool.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
}
