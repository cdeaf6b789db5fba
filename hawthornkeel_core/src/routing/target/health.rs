//! Whether a target answers: its failures, refusals and signs of itself.

use std::time::Duration;

use crate::routing::refusals::Refusals;
use crate::routing::settings::RouterSettings;
use crate::routing::target::Target;
use crate::time::Instant;

/// Consecutive failures after which a target gets nothing but probes.
const DOWN_AFTER: u32 = 2;
/// Time for which a target that refused a call is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Time after a failure or a pause during which only first calls probe a target.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

impl Target {
    /// Tells whether no load report came for `age`.
    pub(super) fn is_silent(&self, now: Instant, age: Duration) -> bool {
        self.reported.is_none_or(|at| now.since(at) >= age)
    }

    /// Tells whether the target gives signs of itself: reports, or answers where it never reported.
    pub fn is_heard(&self, now: Instant, age: Duration) -> bool {
        match self.reported {
            Some(_) => !self.is_silent(now, age),
            None => !self.is_down(),
        }
    }

    /// Notes that the target is heard again after a silence: one that is down may be tried at once.
    ///
    /// One more failure brings it down again.
    pub(super) fn reached(&mut self, now: Instant) {
        if self.is_down() {
            self.failures = DOWN_AFTER - 1;
            self.down_until = now;
            self.retry_at = now;
        }
    }

    /// Tells whether the target fails and gets nothing but probes.
    pub fn is_down(&self) -> bool {
        self.failures >= DOWN_AFTER
    }

    /// Takes an answer.
    pub fn answered(&mut self, now: Instant) {
        self.heard = now;
        self.failures = 0;
        self.refusals = None;
        self.down_until = Instant::ZERO;
        self.retry_at = Instant::ZERO;
    }

    /// Takes a failure; once there are `DOWN_AFTER` in a row, the target is left alone a while.
    pub fn failed(&mut self, now: Instant, at_once: bool, set: &RouterSettings) {
        self.failures = self.failures.saturating_add(1);
        if at_once {
            self.failures = self.failures.max(DOWN_AFTER);
        }
        if self.is_down() {
            let doublings = (self.failures - DOWN_AFTER).min(16);
            let pause = set.probe_min.saturating_mul(1 << doublings).min(set.probe_max);
            self.down_until = now + pause;
        }
        self.retry_at = self.down_until.max(now) + RETRY_PAUSE;
    }

    /// Takes a refusal; returns whether it shows that the target bears less than it did.
    pub fn refused(&mut self, now: Instant, most: f64) -> bool {
        self.heard = now;
        self.limit.refused(now);
        self.down_until = self.down_until.max(now + REFUSED_PAUSE);
        let run = self.refusals.get_or_insert(Refusals::new(now));
        run.refused(now, most)
    }
}
