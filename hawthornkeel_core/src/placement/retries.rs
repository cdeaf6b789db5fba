//! Retry budget: how many requests may be sent to a second target.
//!
//! A slow pool must not get more load because it is slow. All entries together may retry a share of
//! a pool's requests plus a fixed number; each entry keeps to its part of both.
//!
//! The rule holds for every window: `retries <= ratio * requests + slack`, over all entries. What an
//! entry sends in a window was in its bucket at the start, came with time, or was earned by its own
//! requests, so over all `n` entries that know of each other
//!
//! `retries <= n * capacity + n * fixed part + EARNED_SHARE * ratio * requests`,
//!
//! where `n * fixed part = USED_SHARE / 2 * slack`, and `capacity` is as much, or one token if that is
//! more. So the rule holds for `n <= 0.65 * slack`. With more entries it holds as long as they don't
//! all spend a token that they have saved at once, and requests earn `USED_SHARE * ratio` only. An entry that starts adds half a capacity: if all
//! start again in a window, `0.875 * slack` are sent at most. A bucket that is full at the start, or
//! refilled at once after a window, would break the rule by those starts (`1.05 * slack`); what
//! predecessors have used is not known to a process that has just started. An entry that is cut off
//! counts as many others as before it was, as they count it for a time.
//!
//! A silent attempt goes on beside its retry, as its target may go on.

use std::time::Duration;

use crate::time::Instant;

/// Share of the fixed retries that is used, since others may count a retry a moment later, and since
/// entries start again.
const USED_SHARE: f64 = 0.7;
/// Share of the ratio that requests earn at the entry that sends them. It does not depend on the number
/// of entries, so only the time until a retry reaches its target counts: a tenth covers 1 s of 10 s.
const EARNED_SHARE: f64 = 0.9;
/// Maximum number of targets tried for one request.
pub const MAX_TARGETS: usize = 5;
/// Minimum time without a response after which a request is retried.
const MIN_PATIENCE: Duration = Duration::from_millis(120);
/// Factor by which a response may take longer than usual before its request is retried.
const LATENCY_FACTOR: u32 = 4;
/// Divisor of the objective that a request spends waiting for one response.
const OBJECTIVE_DIVISOR: u32 = 2;

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
        self.tokens = (self.tokens + budget.ratio * earned_share(budget, entries))
            .min(capacity(budget, entries));
    }

    /// Takes a token for one retry; returns `false` if there is none.
    pub fn try_take(&mut self, now: Instant, budget: &RetryBudget, entries: usize) -> bool {
        if !self.has_token(now, budget, entries) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns whether there is a token for one retry, without taking it.
    pub fn has_token(&mut self, now: Instant, budget: &RetryBudget, entries: usize) -> bool {
        self.refill(now, budget, entries);
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Instant, budget: &RetryBudget, entries: usize) {
        let capacity = capacity(budget, entries);
        let windows =
            self.refilled.map(|f| now.since(f).as_secs_f64() / budget.window.as_secs_f64());
        // The predecessor of a process that has just started may have used its part.
        let earned = windows.map_or(capacity / 2.0, |w| w * fixed_part(budget, entries));
        self.tokens = (self.tokens + earned).min(capacity);
        self.refilled = Some(now);
    }
}

/// Attempt that has had no response for longer than its patience.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    /// Number of attempts in which the request may have run, this one included.
    pub runs: u32,
    /// Maximum number of such attempts.
    pub max_runs: u32,
    /// Number of targets tried, this one included.
    pub targets: usize,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Time in which targets usually respond.
    pub latency: Duration,
}

impl RunningAttempt {
    /// Returns whether a retry that the budget carries may be sent beside it.
    pub fn may_be_retried(&self) -> bool {
        // A retry that can't end in time would only take a place at its target.
        self.runs < self.max_runs && self.targets < MAX_TARGETS && self.time_left > self.latency
    }
}

/// Returns the time without a response after which a request is retried.
///
/// `latency` is the time in which targets usually respond, and `objective` that of the route.
pub fn response_patience(latency: Duration, objective: Duration) -> Duration {
    (latency * LATENCY_FACTOR).max(objective / OBJECTIVE_DIVISOR).max(MIN_PATIENCE)
}

/// Returns the share of the ratio that a request earns: less if one token each is more than the rule
/// has room for.
fn earned_share(budget: &RetryBudget, entries: usize) -> f64 {
    let count = entries.max(1) as f64;
    let fixed = count * (capacity(budget, entries) + fixed_part(budget, entries));
    if fixed <= budget.slack { EARNED_SHARE } else { USED_SHARE }
}

/// Returns an entry's part of the fixed retries of a window.
fn fixed_part(budget: &RetryBudget, entries: usize) -> f64 {
    budget.slack * USED_SHARE / 2.0 / entries.max(1) as f64
}

/// Returns the maximum number of tokens, so that half of a window's retries are not sent at once.
fn capacity(budget: &RetryBudget, entries: usize) -> f64 {
    fixed_part(budget, entries).max(1.0)
}
