//! Bounds of operators' orders that begin a rollout.

use std::fmt;
use std::time::Duration;

use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::rollout::record::RolloutOrder;

/// Maximum length of a version, in bytes.
pub const MAX_VERSION_BYTES: usize = 128;
/// Shortest duration of a rollout.
pub const MIN_DURATION: Duration = Duration::from_secs(1);
/// Longest duration of a rollout.
pub const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// Why an order can't be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// The version is empty.
    NoVersion,
    /// The version has more than [`MAX_VERSION_BYTES`].
    LongVersion,
    /// The duration is not between [`MIN_DURATION`] and [`MAX_DURATION`].
    Duration,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoVersion => f.write_str("the version is empty"),
            Self::LongVersion => {
                write!(f, "the version is longer than {MAX_VERSION_BYTES} bytes")
            }
            Self::Duration => {
                let (min, max) = (MIN_DURATION.as_secs(), MAX_DURATION.as_secs());
                write!(f, "the duration is not between {min} s and {max} s")
            }
        }
    }
}

impl std::error::Error for OrderError {}

impl RolloutOrder {
    /// Creates an order from the parts that an operator gives.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is out of its bounds.
    pub fn new(
        pool: PoolName,
        version: SoftwareVersion,
        duration: Duration,
    ) -> Result<Self, OrderError> {
        match version.as_str().len() {
            0 => return Err(OrderError::NoVersion),
            length if length > MAX_VERSION_BYTES => return Err(OrderError::LongVersion),
            _ => {}
        }
        if duration < MIN_DURATION || duration > MAX_DURATION {
            return Err(OrderError::Duration);
        }
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Ok(Self { pool, version, duration_ms })
    }

    /// Returns the duration.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}
