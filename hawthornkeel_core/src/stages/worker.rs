//! Target that does pieces, as a desk sees it.

use std::time::Duration;

use crate::names::CentreName;
use crate::stages::scheduler::CallNumber;
use crate::time::Instant;

/// Share of a new measurement in the speed of a maker.
const SPEED_SHARE: f64 = 0.3;
/// Pause after a first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Pause after a refusal, which says that another caller holds the place.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// Pause after a target had no room for results.
const ROOM_PAUSE: Duration = Duration::from_millis(150);
/// Times longer than expected from which a maker counts as slow.
const SLOW: f64 = 2.0;
/// Times longer than expected from which other makers go first.
const LAGGING: f64 = 1.4;
/// Time after which a slow maker is tried again.
const SLOW_RETRY: Duration = Duration::from_secs(3);

/// Target that does pieces.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) centre: CentreName,
    /// Call in progress.
    pub(super) call: Option<CallNumber>,
    /// When that call is expected to end.
    pub(super) busy_until: Instant,
    /// Time of its calls against what the document says.
    pub(super) speed: f64,
    /// When its last call ended.
    pub(super) last_end: Instant,
    /// Failures in a row.
    failures: u32,
    /// No calls before this point.
    paused_until: Instant,
    /// Bytes of results that it holds.
    pub(super) held: u64,
}

impl Worker {
    pub(super) fn new(centre: CentreName) -> Self {
        Self {
            centre,
            call: None,
            busy_until: Instant::ZERO,
            speed: 1.0,
            last_end: Instant::ZERO,
            failures: 0,
            paused_until: Instant::ZERO,
            held: 0,
        }
    }

    /// Tells whether it may be called at `now`.
    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.call.is_none() && self.paused_until <= now
    }

    /// Tells whether it counts for the pool's capacity at `now`.
    pub(super) fn counts(&self, now: Instant) -> bool {
        self.failures == 0 || self.paused_until <= now
    }

    /// Tells whether it is one of those that do most of the pool's work.
    pub(super) fn is_sound(&self, now: Instant) -> bool {
        self.counts(now) && !self.is_slow(now)
    }

    /// Returns the time until it may be called.
    pub(super) fn until_free(&self, now: Instant) -> Duration {
        let busy = if self.call.is_some() { self.busy_until.since(now) } else { Duration::ZERO };
        busy.max(self.paused_until.since(now))
    }

    /// Tells whether its last calls took far longer than expected.
    ///
    /// It is tried again after a while, as slowness passes.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.speed > SLOW && now.since(self.last_end) < SLOW_RETRY
    }

    /// Tells whether its last call failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Tells whether its calls take notably longer than expected.
    pub(super) fn is_lagging(&self) -> bool {
        self.speed > LAGGING
    }

    /// Notes a call that was answered.
    pub(super) fn succeeded(&mut self, now: Instant, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        // A far slower call tells of a change of state, not of chance.
        let share = if ratio > SLOW { 1.0 } else { SPEED_SHARE };
        self.speed += (ratio - self.speed) * share;
        self.failures = 0;
        self.call = None;
        self.last_end = now;
    }

    /// Notes a call that failed.
    pub(super) fn failed(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.call = None;
        self.last_end = now;
    }

    /// Notes a call that was refused.
    pub(super) fn refused(&mut self, now: Instant) {
        self.paused_until = now + REFUSED_PAUSE;
        self.call = None;
    }

    /// Notes that it had no room for a result.
    pub(super) fn crowded(&mut self, now: Instant) {
        self.paused_until = self.paused_until.max(now + ROOM_PAUSE);
    }

    /// Returns when it may be called again where it is paused.
    pub(super) fn resumes(&self, now: Instant) -> Option<Instant> {
        (self.call.is_none() && self.paused_until > now).then_some(self.paused_until)
    }
}
