//! Router settings.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Settings of the router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouterSettings {
    /// Seed of the round-robin offset that breaks ties between targets.
    pub seed: u64,
    /// Time after which a target that is neither listed nor seen is dropped.
    pub drop_after: Duration,
    /// Extra time of a call to another data centre.
    pub far_penalty: Duration,
    /// Retries allowed per first attempt.
    pub retry_share: f64,
    /// Capacity of the retry budget: the retries allowed in one burst.
    pub retry_burst: f64,
    /// Hedges allowed per first attempt.
    pub hedge_share: f64,
    /// Capacity of the hedge budget: the hedges allowed in one burst.
    pub hedge_burst: f64,
    /// Number of entries in a target's subset, over all data centres. `pool_targets` may add more.
    pub target_entries: usize,
    /// Minimum number of targets of a pool that an entry sends to, if the pool has as many.
    pub pool_targets: usize,
    /// Maximum number of targets compared for a call.
    pub sample: usize,
    /// Initial delay before a failed target is tried again. Doubles with each further failure.
    pub probe_min: Duration,
    /// Maximum delay before a failed target is tried again.
    pub probe_max: Duration,
    /// Fraction of the spare time that waiting may take, given measured stage times.
    pub wait_share: f64,
    /// Age at which a load report expires.
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
