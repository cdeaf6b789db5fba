//! Budget of repeats: requests sent to a second target.
//!
//! A slow pool must not get more work because it is slow. All entries together may repeat a share
//! of a pool's requests and a fixed number beside; each entry keeps to its part of both.

use std::time::Duration;

use crate::time::Instant;

/// Part of the budget that is used, as others may count a moment later.
const USED: f64 = 0.7;

/// Budget of all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Repeats as a share of the requests.
    pub ratio: f64,
    /// Repeats beyond that share in each window.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// Repeats of one pool by one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBucket {
    left: f64,
    filled: Option<Instant>,
}

impl RetryBucket {
    /// Counts a request, which earns a part of a repeat.
    pub fn record_request(&mut self, budget: &RetryBudget, entries: usize) {
        self.left = (self.left + budget.ratio * USED).min(most(budget, entries));
    }

    /// Takes one repeat, where there is one.
    pub fn try_take(&mut self, now: Instant, budget: &RetryBudget, entries: usize) -> bool {
        let most = most(budget, entries);
        let since = self.filled.map(|f| now.since(f).as_secs_f64() / budget.window.as_secs_f64());
        // A process that has just started may follow one that used its part.
        let earned = since.map_or(most / 2.0, |s| s * part(budget, entries));
        self.left = (self.left + earned).min(most);
        self.filled = Some(now);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Returns an entry's part of the fixed repeats of a window.
fn part(budget: &RetryBudget, entries: usize) -> f64 {
    budget.slack * USED / 2.0 / entries.max(1) as f64
}

/// Returns the repeats that may be saved up, so that half of a window's are not used at once.
fn most(budget: &RetryBudget, entries: usize) -> f64 {
    part(budget, entries).max(1.0)
}
