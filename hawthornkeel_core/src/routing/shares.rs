//! Fair shares of targets' limits: what entries of one data centre get of targets of another.
//!
//! Each entry gets the same total of a pool, most of it near. Shares are worked out from the
//! numbers of entries and targets by data centre, so that all entries agree without a message.

use crate::routing::subset;

/// Part of what could be served near that is reserved for near entries.
const NEAR_SHARE: f64 = 0.85;

/// Entries and usable targets of a pool in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CentreCount {
    /// Entries.
    pub entries: usize,
    /// Targets of the pool that take work.
    pub targets: usize,
}

/// Returns the part of one target's limit that one entry gets, as a share of the limit.
///
/// `target` and `entry` are positions of their data centres in `counts`; `places` is the number of
/// entries that know a target.
pub fn share(counts: &[CentreCount], target: usize, entry: usize, places: usize) -> f64 {
    let (Some(from), Some(to)) = (counts.get(target), counts.get(entry)) else {
        return 0.0;
    };
    let all: usize = counts.iter().map(|c| c.entries).sum();
    let far_entries = all - from.entries;
    let (near_places, far_places) = subset::split(places, from.entries, far_entries);
    let knowing = if target == entry {
        near_places as f64
    } else {
        far_places as f64 * to.entries as f64 / far_entries.max(1) as f64
    };
    if from.targets == 0 || knowing <= 0.0 {
        return 0.0;
    }
    let near = if target == entry { near_flow(counts, from) } else { 0.0 };
    let spare = from.targets as f64 - near_flow(counts, from);
    let need: f64 = counts.iter().map(|c| demand(counts, c) - near_flow(counts, c)).sum();
    let own = demand(counts, to) - near_flow(counts, to);
    let far = if need > 0.0 { spare * own / need } else { 0.0 };
    (near + far) / (from.targets as f64 * knowing)
}

/// Rounds a share up or down to whole calls, by a hash, so that sums over entries hold on average.
pub fn round(share: f64, hash: u64) -> f64 {
    let fraction = hash as f64 / u64::MAX as f64;
    (share + fraction).floor()
}

/// Returns the fair total of a data centre's entries, in whole targets.
fn demand(counts: &[CentreCount], of: &CentreCount) -> f64 {
    let entries: usize = counts.iter().map(|c| c.entries).sum();
    let targets: usize = counts.iter().map(|c| c.targets).sum();
    targets as f64 * of.entries as f64 / entries.max(1) as f64
}

/// Returns what a data centre's entries get of its own targets, in whole targets.
fn near_flow(counts: &[CentreCount], of: &CentreCount) -> f64 {
    demand(counts, of).min(of.targets as f64) * NEAR_SHARE
}
