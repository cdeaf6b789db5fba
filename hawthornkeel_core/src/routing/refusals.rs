//! Detection of runs of refusals, which can mean that a target has turned cold.
//!
//! Single refusals are normal at a full target whose load reports lag. Only a dense run of them,
//! during which every report shows light load, is evidence.

use std::time::Duration;

use crate::time::Instant;

/// Minimum duration of a run at light load after which a target counts as cold.
const MIN_RUN_TIME: Duration = Duration::from_secs(2);
/// Minimum number of refusals in such a run.
const MIN_RUN_REFUSALS: u32 = 10;
/// Time without a refusal that ends a run.
const MAX_GAP: Duration = Duration::from_millis(500);

/// Run of refusals without an answer in between.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalRun {
    first: Instant,
    last: Instant,
    count: u32,
    /// Highest load reported during the run, in calls.
    peak_load: f64,
    reports: u32,
}

impl RefusalRun {
    /// Starts a run.
    pub fn new(now: Instant) -> Self {
        Self { first: now, last: now, count: 0, peak_load: 0.0, reports: 0 }
    }

    /// Records a refusal. Returns whether the run shows that the target sustains less than before.
    pub fn record_refusal(&mut self, now: Instant, max_calls: f64) -> bool {
        if now.since(self.last) > MAX_GAP {
            *self = Self::new(now);
        }
        self.last = now;
        self.count = self.count.saturating_add(1);
        let long = self.count >= MIN_RUN_REFUSALS && now.since(self.first) >= MIN_RUN_TIME;
        long && self.reports > 0 && self.peak_load < max_calls / 2.0
    }

    /// Records the load of a report that arrived during the run, in calls.
    pub fn record_load(&mut self, load: f64) {
        self.peak_load = self.peak_load.max(load);
        self.reports = self.reports.saturating_add(1);
    }
}
