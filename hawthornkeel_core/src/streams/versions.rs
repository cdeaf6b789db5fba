//! Software versions that the list of targets has shown for each pool.
//!
//! Which version began a stream follows from the list alone where a pool has had a single one since
//! before the stream began. That only one version is listed now tells nothing: the one that began the
//! stream may just have left.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::TargetList;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::time::Instant;

/// Longest time between two lists in which no version can have come and gone unseen.
const MAX_GAP: Duration = Duration::from_millis(2_500);
/// Time for which a version that is no longer listed is remembered.
const VERSION_TTL: Duration = Duration::from_secs(600);

/// The only version of a pool for some time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SoleVersion {
    /// Version.
    pub version: SoftwareVersion,
    /// Time for which the pool is known to have had no other one, in milliseconds.
    pub sole_ms: u32,
}

/// Versions of the targets of all pools.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Last time at which each version of a pool was listed.
    pools: IndexMap<PoolName, IndexMap<SoftwareVersion, Instant>>,
    /// Time since which the list has been read without a gap.
    since: Option<Instant>,
    last: Option<Instant>,
}

impl VersionHistory {
    /// Records a list that was read now.
    pub fn observe(&mut self, now: Instant, list: &TargetList) {
        if self.last.is_none_or(|last| now.since(last) > MAX_GAP) {
            self.since = Some(now);
        }
        self.last = Some(now);
        for target in list.targets.iter() {
            let versions = self.pools.entry(target.pool.clone()).or_default();
            versions.insert(target.version.clone(), now);
        }
        for versions in self.pools.values_mut() {
            versions.retain(|_, seen| now.since(*seen) < VERSION_TTL);
        }
        self.pools.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the only version of a pool that is listed, with the time for which it has been that.
    pub fn sole_version(&self, now: Instant, pool: &PoolName) -> Option<SoleVersion> {
        let last = self.last.filter(|last| now.since(*last) <= MAX_GAP)?;
        let versions = self.pools.get(pool)?;
        let mut listed = versions.iter().filter(|(_, seen)| **seen == last);
        let (version, _) = listed.next()?;
        if listed.next().is_some() {
            return None;
        }
        let other = versions.iter().filter(|(v, _)| *v != version).map(|(_, seen)| *seen).max();
        let since = other.max(self.since)?;
        Some(SoleVersion { version: version.clone(), sole_ms: now.millis_since(since) })
    }
}
