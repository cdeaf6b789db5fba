//! Settings of leases and grants.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Settings of leases and grants. They must be the same on all instances of a fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseSettings {
    /// Time for which a vote is valid.
    #[serde(rename = "period")]
    pub lease_duration: Duration,
    /// Time between renewals of the lease.
    #[serde(rename = "renew")]
    pub renew_interval: Duration,
    /// Longest time from a grant's request to the end of its call.
    #[serde(rename = "grant")]
    pub grant_duration: Duration,
    /// Time after which an unanswered grant request is resent.
    #[serde(rename = "resend")]
    pub resend_timeout: Duration,
    /// Time after which an unused grant is released.
    #[serde(rename = "unused")]
    pub unused_timeout: Duration,
    /// Maximum difference of the clock rates of two instances, in parts per thousand.
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
    /// Returns how long the issuer of a vote or grant must treat it as valid if the receiver may
    /// use it for `duration` on its own clock.
    pub fn with_drift(&self, duration: Duration) -> Duration {
        duration + duration * self.drift_permille / 1000
    }
}
