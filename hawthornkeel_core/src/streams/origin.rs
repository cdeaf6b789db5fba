//! Origin of a stream: the software that began it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::PoolName;
use crate::names::SoftwareVersion;

/// Software that began a stream.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Pool.
    pub pool: PoolName,
    /// Version of the software of the target.
    pub version: SoftwareVersion,
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.pool, self.version)
    }
}
