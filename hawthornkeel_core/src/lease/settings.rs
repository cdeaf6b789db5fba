//! Settings of leases and grants.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Settings of leases and grants; the same at all instances of a fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseSettings {
    /// Time for which a vote is given.
    pub period: Duration,
    /// Time between renewals of the lease.
    pub renew: Duration,
    /// Longest time from a grant's request to the end of its call.
    pub grant: Duration,
    /// Time after which an unanswered grant request is sent again.
    pub resend: Duration,
    /// Time after which an unused grant is given back.
    pub unused: Duration,
    /// Share by which the clocks of two instances may run apart, in parts per thousand.
    pub drift: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(3),
            renew: Duration::from_secs(1),
            grant: Duration::from_secs(9),
            resend: Duration::from_millis(200),
            unused: Duration::from_millis(500),
            drift: 20,
        }
    }
}

impl LeaseSettings {
    /// Returns how long a giver must regard `span` as running, given the drift of clocks.
    pub fn stretched(&self, span: Duration) -> Duration {
        span + span * self.drift / 1000
    }
}
