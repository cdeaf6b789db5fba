//! Health of a target: failures, refusals and responsiveness.

use std::time::Duration;

use crate::routing::refusals::RefusalRun;
use crate::routing::settings::RouterSettings;
use crate::routing::target::Target;
use crate::time::Instant;

/// Number of consecutive failures after which a target gets only probes.
const DOWN_FAILURES: u32 = 2;
/// Time without new calls to a target after a refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);
/// Time after a failure or a backoff in which only first attempts are sent to a target.
const RETRY_HOLDOFF: Duration = Duration::from_millis(500);

impl Target {
    /// Returns whether no load report arrived for `age`.
    pub(super) fn lacks_reports(&self, now: Instant, age: Duration) -> bool {
        self.last_report.is_none_or(|at| now.since(at) >= age)
    }

    /// Returns whether the target sends load reports or, if it never sent one, isn't down.
    pub fn is_responsive(&self, now: Instant, age: Duration) -> bool {
        match self.last_report {
            Some(_) => !self.lacks_reports(now, age),
            None => !self.is_down(),
        }
    }

    /// Ends the backoff of a target that is down, after its first load report in a while.
    ///
    /// One more failure marks it down again.
    pub(super) fn reset_backoff(&mut self, now: Instant) {
        if self.is_down() {
            self.failures = DOWN_FAILURES - 1;
            self.backoff_until = now;
            self.retry_at = now;
        }
    }

    /// Returns whether the target fails repeatedly and gets only probes.
    pub fn is_down(&self) -> bool {
        self.failures >= DOWN_FAILURES
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_seen = now;
        self.failures = 0;
        self.refusal_run = None;
        self.backoff_until = Instant::ZERO;
        self.retry_at = Instant::ZERO;
    }

    /// Records a failure; from `DOWN_FAILURES` in a row on, the target backs off exponentially.
    ///
    /// `at_once` marks the target down on the first failure.
    pub fn record_failure(&mut self, now: Instant, at_once: bool, set: &RouterSettings) {
        self.failures = self.failures.saturating_add(1);
        if at_once {
            self.failures = self.failures.max(DOWN_FAILURES);
        }
        if self.is_down() {
            let doublings = (self.failures - DOWN_FAILURES).min(16);
            let backoff = set.probe_min.saturating_mul(1 << doublings).min(set.probe_max);
            self.backoff_until = now + backoff;
        }
        self.retry_at = self.backoff_until.max(now) + RETRY_HOLDOFF;
    }

    /// Records a refusal. Returns whether it shows that the target sustains less than before.
    pub fn record_refusal(&mut self, now: Instant, max_calls: f64) -> bool {
        self.last_seen = now;
        self.limit.record_refusal(now);
        self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
        let run = self.refusal_run.get_or_insert(RefusalRun::new(now));
        run.record_refusal(now, max_calls)
    }
}
