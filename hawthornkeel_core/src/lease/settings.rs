//! Settings of leases and grants.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Settings of leases and grants; the same at all instances of a fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseSettings {
    /// Time for which a vote is given.
    #[serde(rename = "period")]
    pub lease_duration: Duration,
    /// Time between renewals of the lease.
    #[serde(rename = "renew")]
    pub renew_interval: Duration,
    /// Longest time from a grant's request to the end of its call.
    #[serde(rename = "grant")]
    pub grant_duration: Duration,
    /// Time after which an unanswered grant request is sent again.
    #[serde(rename = "resend")]
    pub resend_timeout: Duration,
    /// Time after which an unused grant is given back.
    #[serde(rename = "unused")]
    pub unused_timeout: Duration,
    /// Share by which the clocks of two instances may run apart, in parts per thousand.
    #[serde(rename = "drift")]
    pub drift_permille: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(3),
            renew_interval: Duration::from_secs(1),
            grant_duration: Duration::from_secs(9),
            resend_timeout: Duration::from_millis(200),
            unused_timeout: Duration::from_millis(500),
            drift_permille: 20,
        }
    }
}

impl LeaseSettings {
    /// Returns how long a giver must regard `span` as running, given the drift of clocks.
    pub fn with_drift(&self, span: Duration) -> Duration {
        span + span * self.drift_permille / 1000
    }
}
