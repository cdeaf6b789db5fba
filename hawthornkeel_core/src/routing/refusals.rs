//! Runs of refusals, which may show that a target has turned cold.
//!
//! Single refusals are usual at a full target whose reports lag; only a dense run of them, during
//! which all reports show light load, is a sign.

use std::time::Duration;

use crate::time::Instant;

/// Length of a run of refusals, at light load, after which a target is taken for cold.
const REFUSED_SPAN: Duration = Duration::from_secs(2);
/// Refusals of such a run, at least.
const REFUSED_COUNT: u32 = 10;
/// Time without a refusal that ends a run.
const REFUSED_GAP: Duration = Duration::from_millis(500);

/// Run of refusals without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusals {
    first: Instant,
    last: Instant,
    count: u32,
    /// Highest load that was reported meanwhile, in calls.
    busiest: f64,
    reports: u32,
}

impl Refusals {
    /// Starts a run.
    pub fn new(now: Instant) -> Self {
        Self { first: now, last: now, count: 0, busiest: 0.0, reports: 0 }
    }

    /// Takes a refusal; returns whether the run shows that the target bears less than it did.
    pub fn refused(&mut self, now: Instant, most: f64) -> bool {
        if now.since(self.last) > REFUSED_GAP {
            *self = Self::new(now);
        }
        self.last = now;
        self.count = self.count.saturating_add(1);
        let long = self.count >= REFUSED_COUNT && now.since(self.first) >= REFUSED_SPAN;
        long && self.reports > 0 && self.busiest < most / 2.0
    }

    /// Takes a load that was reported during the run, in calls.
    pub fn reported(&mut self, load: f64) {
        self.busiest = self.busiest.max(load);
        self.reports = self.reports.saturating_add(1);
    }
}
