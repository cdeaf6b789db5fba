//! Limits that targets name: the requests a second that one takes from all entries together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Rate of requests, in requests per 1,000 s.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
