//! Adaptive limit of one entry's concurrent calls to one target.

use std::time::Duration;

use crate::time::Instant;

/// Factor on the limit after a refusal.
const REFUSED_FACTOR: f64 = 0.8;
/// Factor on the limit after a failed or timed-out call.
const FAILED_FACTOR: f64 = 0.5;
/// Shortest time between two cuts, so that one event is answered once.
const CUT_PAUSE: Duration = Duration::from_millis(50);

/// Concurrency limit: grows on answers while it is in use and falls on refusals and failures.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    share: f64,
    cap: f64,
    cut_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at one call and grows quickly up to `share`.
    pub fn new(share: f64, cap: f64) -> Self {
        Self { value: 1.0, share, cap: cap.max(share), cut_at: None }
    }

    /// Returns the calls allowed at once.
    pub fn calls(&self) -> u32 {
        self.value as u32
    }

    /// Returns the own share that the limit reaches without further evidence.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Sets the own share and the most that the target bears for this entry.
    ///
    /// Without a share the limit is zero while the cap is below one call.
    pub fn set_bounds(&mut self, share: f64, cap: f64) {
        self.share = share;
        self.cap = cap.max(share);
        let lowest = if self.cap < 1.0 { 0.0 } else { 1.0 };
        self.value = self.value.min(self.cap).max(lowest);
    }

    /// Starts again at one call.
    pub fn restart(&mut self) {
        self.value = 1.0;
        self.cut_at = None;
    }

    /// Takes an answer that came while `running` calls were in flight.
    pub fn answered(&mut self, running: u32) {
        if self.value < self.share {
            self.value = (self.value + 1.0).min(self.share);
        } else if self.value >= 1.0 && f64::from(running) + 1.0 >= self.value {
            self.value = (self.value + 1.0 / self.value).min(self.cap);
        }
    }

    /// Takes a refusal by the target.
    pub fn refused(&mut self, now: Instant) {
        self.cut(now, REFUSED_FACTOR);
    }

    /// Takes a failed or timed-out call.
    pub fn failed(&mut self, now: Instant) {
        self.cut(now, FAILED_FACTOR);
    }

    /// Multiplies the limit by `factor`, at most once in a pause.
    fn cut(&mut self, now: Instant, factor: f64) {
        if self.cut_at.is_some_and(|at| now.since(at) < CUT_PAUSE) {
            return;
        }
        self.cut_at = Some(now);
        self.value = (self.value * factor).max(self.cap.min(1.0));
    }
}
