//! Retry budget: how many requests may be sent to a second target.
//!
//! A slow pool must not get more load because it is slow. All entries together may retry a share of
//! a pool's requests plus a fixed number; each entry keeps to its part of both.

use std::time::Duration;

use crate::time::Instant;

/// Share of the budget that is used, since others may count a retry a moment later.
const USED_SHARE: f64 = 0.7;

/// Retry budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// Retries beyond that share in each window.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// Token bucket of one entry's retries in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBucket {
    tokens: f64,
    refilled: Option<Instant>,
}

impl RetryBucket {
    /// Counts a request, which adds a fraction of a token.
    pub fn record_request(&mut self, budget: &RetryBudget, entries: usize) {
        self.tokens = (self.tokens + budget.ratio * USED_SHARE).min(capacity(budget, entries));
    }

    /// Takes a token for one retry; returns `false` if there is none.
    pub fn try_take(&mut self, now: Instant, budget: &RetryBudget, entries: usize) -> bool {
        let capacity = capacity(budget, entries);
        let windows =
            self.refilled.map(|f| now.since(f).as_secs_f64() / budget.window.as_secs_f64());
        // The predecessor of a process that has just started may have used its part.
        let earned = windows.map_or(capacity / 2.0, |w| w * fixed_part(budget, entries));
        self.tokens = (self.tokens + earned).min(capacity);
        self.refilled = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns an entry's part of the fixed retries of a window.
fn fixed_part(budget: &RetryBudget, entries: usize) -> f64 {
    budget.slack * USED_SHARE / 2.0 / entries.max(1) as f64
}

/// Returns the maximum number of tokens, so that half of a window's retries are not sent at once.
fn capacity(budget: &RetryBudget, entries: usize) -> f64 {
    fixed_part(budget, entries).max(1.0)
}
