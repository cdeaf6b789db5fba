//! Identity and origin of a stream, and the control instances that hold its record.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3Default;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::WorkspaceName;

/// Number of control instances that hold the record of a stream.
const HOLDERS: usize = 3;

/// Identity of a stream: a hash of its workspace and of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of a workspace began.
    pub fn new(workspace: Option<&WorkspaceName>, attempt: &str) -> Self {
        let mut hasher = Xxh3Default::new();
        let workspace = workspace.map(WorkspaceName::as_str).unwrap_or_default();
        hasher.update(&workspace.len().to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(attempt.as_bytes());
        Self(hasher.digest())
    }

    /// Returns those of the control instances that hold the record of the stream.
    ///
    /// Few records change their holders when an instance joins or leaves.
    pub fn holders<'a>(&self, instances: &'a [InstanceName]) -> Vec<&'a InstanceName> {
        let rank = |name: &&InstanceName| xxh3_64_with_seed(name.as_str().as_bytes(), self.0);
        let mut ranked: Vec<&InstanceName> = instances.iter().collect();
        ranked.sort_by_key(rank);
        ranked.truncate(HOLDERS);
        ranked
    }
}

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

/// Streams of one origin.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// Origin of all of them.
    pub origin: StreamOrigin,
    /// Streams.
    pub streams: Vec<StreamKey>,
}
