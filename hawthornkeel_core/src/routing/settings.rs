//! Settings of the router.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Settings of the router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouterSettings {
    /// Seed of the router's pseudo-random choices.
    pub seed: u64,
    /// Time after which a target that is neither listed nor heard is dropped.
    pub drop_after: Duration,
    /// Time that a call to another data centre takes longer than a near one.
    pub far_penalty: Duration,
    /// Retries allowed for each first attempt.
    pub retry_share: f64,
    /// Retries allowed beyond the share after a quiet time.
    pub retry_burst: f64,
    /// Hedges allowed for each first attempt.
    pub hedge_share: f64,
    /// Hedges allowed beyond the share after a quiet time.
    pub hedge_burst: f64,
    /// Entries of a data centre that know a target, at most.
    pub target_entries: usize,
    /// Targets of a pool that an entry knows, at least, as far as there are as many.
    pub pool_targets: usize,
    /// Targets compared for a call, at most.
    pub sample: usize,
    /// Shortest time before a failed target is tried again; doubles with each failure.
    pub probe_min: Duration,
    /// Longest time before a failed target is tried again.
    pub probe_max: Duration,
    /// Share of the remaining time that a wait may fill, given measured stage times.
    pub wait_share: f64,
    /// Time for which a load report counts.
    pub report_age: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            drop_after: Duration::from_secs(30),
            far_penalty: Duration::from_millis(3),
            retry_share: 0.1,
            retry_burst: 40.0,
            hedge_share: 0.01,
            hedge_burst: 2.0,
            target_entries: 8,
            pool_targets: 8,
            sample: 16,
            probe_min: Duration::from_millis(100),
            probe_max: Duration::from_secs(2),
            wait_share: 0.9,
            report_age: Duration::from_secs(3),
        }
    }
}
