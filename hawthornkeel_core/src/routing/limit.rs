//! Adaptive limit on one entry's concurrent calls to one target.

use std::time::Duration;

use crate::time::Instant;

/// Factor applied to the limit on a refusal.
const REFUSAL_FACTOR: f64 = 0.8;
/// Factor applied to the limit on a failed or timed-out call.
const FAILURE_FACTOR: f64 = 0.5;
/// Minimum time between two decreases, so that one event lowers the limit only once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Concurrency limit that grows on answers while it is in use and shrinks on refusals and failures.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    share: f64,
    cap: f64,
    last_decrease: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at one call and grows by one per answer up to `share`.
    pub fn new(share: f64, cap: f64) -> Self {
        Self { value: 1.0, share, cap: cap.max(share), last_decrease: None }
    }

    /// Returns the number of concurrent calls allowed.
    pub fn calls(&self) -> u32 {
        self.value as u32
    }

    /// Returns the entry's own share of the target's limit.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Sets the own share and the maximum number of calls that the target sustains for this entry.
    ///
    /// The limit may drop to zero while both the cap and the share are below one call.
    pub fn set_bounds(&mut self, share: f64, cap: f64) {
        self.share = share;
        self.cap = cap.max(share);
        let lowest = if self.cap < 1.0 { 0.0 } else { 1.0 };
        self.value = self.value.min(self.cap).max(lowest);
    }

    /// Resets the limit to one call.
    pub fn reset(&mut self) {
        self.value = 1.0;
        self.last_decrease = None;
    }

    /// Records an answer that arrived while `running` calls were in flight.
    pub fn record_answer(&mut self, running: u32) {
        if self.value < self.share {
            self.value = (self.value + 1.0).min(self.share);
        } else if self.value >= 1.0 && f64::from(running) + 1.0 >= self.value {
            self.value = (self.value + 1.0 / self.value).min(self.cap);
        }
    }

    /// Records a refusal by the target.
    pub fn record_refusal(&mut self, now: Instant) {
        self.decrease(now, REFUSAL_FACTOR);
    }

    /// Records a failed or timed-out call.
    pub fn record_failure(&mut self, now: Instant) {
        self.decrease(now, FAILURE_FACTOR);
    }

    /// Multiplies the limit by `factor`, at most once per `DECREASE_INTERVAL`.
    fn decrease(&mut self, now: Instant, factor: f64) {
        if self.last_decrease.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        self.value = (self.value * factor).max(self.cap.min(1.0));
    }
}
