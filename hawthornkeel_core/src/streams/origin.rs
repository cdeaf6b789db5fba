//! Identity and origin of a stream, and the control instances that hold its record.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3Default;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::ProcessId;
use crate::fleet::TargetRun;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::WorkspaceName;
use crate::time::Instant;

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

/// Process that wrote a stream, by hashes of its place (name and address) and of all that tells it
/// from other processes there. Both are short, as a few bytes tell processes apart well enough.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Writer {
    /// Hash of name and address.
    pub place: u32,
    /// Process.
    pub process: u32,
}

impl From<&TargetRun> for Writer {
    fn from(run: &TargetRun) -> Self {
        let TargetRun { name, address, .. } = run;
        let place = xxh3_64(format!("{name}/{address}").as_bytes()) as u32;
        Self { place, process: ProcessId::from(run).0 as u32 }
    }
}

impl Writer {
    /// Returns whether a listed process contradicts that this one was the one at its place.
    pub fn is_contradicted_by(&self, listed: &TargetRun) -> bool {
        let other = Self::from(listed);
        other.place == self.place && other.process != self.process
    }
}

/// Streams of one origin.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// Origin of all of them.
    pub origin: StreamOrigin,
    /// Process that wrote them, if the list may not have shown it yet.
    pub unproved: Option<Writer>,
    /// Time since its connection was opened, in milliseconds.
    pub age_ms: u32,
    /// Streams.
    pub streams: Vec<StreamKey>,
}

/// Writer of a stream that the list may not have shown yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Unproved {
    /// Process by the list.
    pub writer: Writer,
    /// Time at which the connection to it was opened.
    pub opened: Instant,
}

/// Origin of a stream with what it rests on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamSource {
    /// Origin by the list.
    pub origin: StreamOrigin,
    /// Writer, if the list may not have shown it yet.
    pub unproved: Option<Unproved>,
}

impl StreamSource {
    /// Returns the batch that tells another instance of some streams of this origin.
    pub fn batch(&self, now: Instant, streams: Vec<StreamKey>) -> StreamBatch {
        StreamBatch {
            origin: self.origin.clone(),
            unproved: self.unproved.map(|u| u.writer),
            age_ms: self.unproved.map_or(0, |u| now.millis_since(u.opened)),
            streams,
        }
    }
}

impl StreamBatch {
    /// Returns the source that a batch received at `now` tells.
    pub fn source(&self, now: Instant) -> StreamSource {
        let opened = now.before_millis(self.age_ms);
        StreamSource {
            origin: self.origin.clone(),
            unproved: self.unproved.map(|writer| Unproved { writer, opened }),
        }
    }
}
