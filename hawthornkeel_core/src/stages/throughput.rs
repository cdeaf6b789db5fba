//! Share of its nominal capacity that a pool reaches while work waits for it.
//!
//! Answers loads under which calls are not what limits a pool: targets that wait for room for their
//! results, small calls because large ones don't fit, or calls that others make to the same targets.
//! Estimates by the time of calls alone would accept far more than can be done in time.

use std::time::Duration;

use crate::time::Instant;

/// Time constant of the moving averages.
const WINDOW: Duration = Duration::from_secs(2);
/// Time at nominal capacity that is assumed in addition to what was measured.
const PRIOR: Duration = Duration::from_millis(400);
/// Minimum share, so that an estimate never says that nothing is done at all.
const MIN_SHARE: f64 = 0.1;

/// Measured throughput of a pool relative to its nominal capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Throughput {
    /// Pieces that were done while work waited.
    done: f64,
    /// Pieces that could have been done in that time.
    possible: f64,
    /// Nominal capacity since `updated`, in pieces per second; `None` while no work waited.
    rate: Option<f64>,
    updated: Instant,
}

impl Throughput {
    /// Accounts for the time since the last update, and starts with a new nominal capacity.
    ///
    /// `rate` is in pieces per second, or `None` if no work waits from now on.
    pub(super) fn update(&mut self, now: Instant, rate: Option<f64>) {
        let passed = now.since(self.updated).as_secs_f64();
        let decay = (-passed / WINDOW.as_secs_f64()).exp();
        self.done *= decay;
        self.possible *= decay;
        if let Some(rate) = self.rate {
            self.possible += rate * passed;
        }
        self.rate = rate;
        self.updated = now;
    }

    /// Counts pieces that were done.
    pub(super) fn add(&mut self, pieces: usize) {
        if self.rate.is_some() {
            self.done += pieces as f64;
        }
    }

    /// Returns the share of the nominal capacity that is reached.
    pub(super) fn share(&self) -> f64 {
        let prior = self.rate.unwrap_or_default() * PRIOR.as_secs_f64();
        if self.rate.is_none() || self.possible + prior <= 0.0 {
            return 1.0;
        }
        ((self.done + prior) / (self.possible + prior)).clamp(MIN_SHARE, 1.0)
    }
}
