//! Moving averages of a target's call times: how long a call will take, and whether the target has
//! become slow.

use std::time::Duration;

use crate::time::Instant;

/// Weight of a new sample in the short-term average.
const SHORT_WEIGHT: f64 = 0.3;
/// Weight of a new sample in the long-term average.
const LONG_WEIGHT: f64 = 0.03;
/// Ratio of the short-term average to the long-term one, and to the pool's, that counts as a step.
const STEP_RATIO: f64 = 4.0;
/// Short-term average up to which a target doesn't count as slow: the time between two tokens of a
/// stream. Answers of short calls are also delayed by as much where a process waits for a core.
const MIN_SLOW: Duration = Duration::from_millis(30);
/// Time without calls in which the expected time moves halfway to that of the pool.
///
/// Without it, a target that was slow once would get no calls, and so no chance to show otherwise.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Call times of one target, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallTimes {
    /// Short-term average, zero before the first answer.
    short_average: f64,
    /// Long-term average, zero before the first answer.
    long_average: f64,
    /// Time of the last answer.
    measured: Instant,
}

impl CallTimes {
    /// Returns the expected time of a call. `pool_micros` is the pool's median.
    pub(crate) fn expected(&self, now: Instant, pool_micros: f64) -> f64 {
        if self.short_average == 0.0 {
            return pool_micros;
        }
        let age = now.since(self.measured).as_secs_f64() / HALF_LIFE.as_secs_f64();
        pool_micros + (self.short_average - pool_micros) * 0.5_f64.powf(age)
    }

    /// Records the time of an answered call. Returns whether the target has slowed down abruptly.
    ///
    /// `pool_average` is the average over the pool: a target that slows down with the whole pool
    /// doesn't count, nor does one up to [`MIN_SLOW`]. While it is `suspect`, its calls say nothing
    /// about its usual times.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        latency: Duration,
        pool_average: f64,
        suspect: bool,
    ) -> bool {
        let micros = latency.as_micros() as f64;
        self.short_average = self.expected(now, pool_average);
        self.measured = now;
        if self.long_average == 0.0 {
            self.short_average = micros;
            self.long_average = micros;
            return false;
        }
        self.short_average += (micros - self.short_average) * SHORT_WEIGHT;
        if !suspect {
            self.long_average += (micros - self.long_average) * LONG_WEIGHT;
        }
        self.short_average > MIN_SLOW.as_micros() as f64
            && self.short_average > self.long_average * STEP_RATIO
            && self.short_average > pool_average * STEP_RATIO
    }

    /// Returns whether a call took about as long as usual.
    pub(crate) fn is_usual(&self, latency: Duration) -> bool {
        latency.as_micros() as f64 <= self.long_average * STEP_RATIO
    }

    /// Forgets the recent slowness, after a call that took as long as usual.
    pub(crate) fn forget_slowness(&mut self) {
        self.short_average = self.long_average;
    }
}
