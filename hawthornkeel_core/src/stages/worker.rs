//! Target that runs pieces, as a scheduler sees it.

use std::time::Duration;

use crate::names::CentreName;
use crate::placement::load::TargetLoad;
use crate::placement::notice::TargetNotice;
use crate::stages::scheduler::CallNumber;
use crate::time::Instant;

/// Weight of a new measurement in the moving average of a worker's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Pause after a first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Pause after a refusal, which means that another caller occupies the target.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// Pause after the target had no memory for results.
const OUT_OF_MEMORY_PAUSE: Duration = Duration::from_millis(150);
/// Ratio of measured to expected call time above which a worker is slow.
const SLOW_RATIO: f64 = 2.0;
/// Ratio of measured to expected call time above which other workers are preferred.
const LAGGING_RATIO: f64 = 1.4;
/// Time after which a slow worker is tried again.
const SLOW_RETRY: Duration = Duration::from_secs(3);

/// Target that runs pieces.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) centre: CentreName,
    /// What it has said about itself, shared with the balancer.
    pub(super) notice: TargetNotice,
    /// Its load and speed, shared with the balancer.
    pub(super) load: TargetLoad,
    /// Call in progress.
    pub(super) call: Option<CallNumber>,
    /// Time at which that call is expected to end.
    pub(super) busy_until: Instant,
    /// Moving average of the ratio of measured to expected call time.
    pub(super) slowdown: f64,
    /// Time at which the last call ended.
    pub(super) last_end: Instant,
    /// Consecutive failures.
    failures: u32,
    /// Time before which no call is started.
    paused_until: Instant,
    /// Size of the results that it holds, in bytes.
    pub(super) held_bytes: u64,
}

impl Worker {
    pub(super) fn new(centre: CentreName, notice: TargetNotice) -> Self {
        Self {
            centre,
            notice,
            load: TargetLoad::default(),
            call: None,
            busy_until: Instant::ZERO,
            slowdown: 1.0,
            last_end: Instant::ZERO,
            failures: 0,
            paused_until: Instant::ZERO,
            held_bytes: 0,
        }
    }

    /// Returns whether a call may be started at `now`.
    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.call.is_none() && self.paused_until <= now && self.is_open(now)
    }

    /// Returns whether it counts towards the pool's capacity at `now`.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.is_available_later(now) && self.is_open(now)
    }

    /// Returns whether it counts towards the pool's capacity, at the latest after a pause that it
    /// has asked for.
    pub(super) fn is_available_later(&self, now: Instant) -> bool {
        !self.notice.is_leaving() && (self.failures == 0 || self.paused_until <= now)
    }

    /// Returns whether it neither leaves nor has asked for a pause.
    fn is_open(&self, now: Instant) -> bool {
        !self.notice.is_leaving() && self.notice.opens_at(now).is_none()
    }

    /// Returns whether it is available and not slow.
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        self.is_available(now) && !self.is_slow(now)
    }

    /// Returns the time until a call may be started.
    pub(super) fn until_free(&self, now: Instant) -> Duration {
        let busy = if self.call.is_some() { self.busy_until.since(now) } else { Duration::ZERO };
        busy.max(self.open_time(now).since(now))
    }

    /// Returns whether its recent calls took far longer than expected.
    ///
    /// The result expires, because slowness is usually temporary.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.slowdown > SLOW_RATIO && now.since(self.last_end) < SLOW_RETRY
    }

    /// Returns whether its last call failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether its calls take notably longer than expected, or work does by what it states.
    pub(super) fn is_lagging(&self, now: Instant) -> bool {
        self.slowdown > LAGGING_RATIO || self.load.work_time(now) > LAGGING_RATIO
    }

    /// Records a call that was answered.
    pub(super) fn succeeded(&mut self, now: Instant, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        // A call that is slower by this much signals a change of state rather than noise.
        let weight = if ratio > SLOW_RATIO { 1.0 } else { SLOWDOWN_WEIGHT };
        self.slowdown += (ratio - self.slowdown) * weight;
        self.failures = 0;
        self.call = None;
        self.last_end = now;
    }

    /// Records a call that failed.
    pub(super) fn failed(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.call = None;
        self.last_end = now;
    }

    /// Records a call that was refused.
    pub(super) fn refused(&mut self, now: Instant) {
        self.paused_until = now + REFUSED_PAUSE;
        self.call = None;
    }

    /// Records that it had no memory for a result.
    pub(super) fn out_of_memory(&mut self, now: Instant) {
        self.paused_until = self.paused_until.max(now + OUT_OF_MEMORY_PAUSE);
    }

    /// Returns the end of its pause, if it is paused and idle.
    pub(super) fn resumes_at(&self, now: Instant) -> Option<Instant> {
        let open_time = self.open_time(now);
        (self.call.is_none() && open_time > now).then_some(open_time)
    }

    /// Returns the end of its pause, whether after a failure or one that it has asked for.
    fn open_time(&self, now: Instant) -> Instant {
        self.paused_until.max(self.notice.opens_at(now).unwrap_or(Instant::ZERO))
    }
}
