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
pub fn target_share(counts: &[CentreCount], target: usize, entry: usize, places: usize) -> f64 {
    let (Some(from), Some(to)) = (counts.get(target), counts.get(entry)) else {
        return 0.0;
    };
    let all: usize = counts.iter().map(|c| c.entries).sum();
    let far_entries = all - from.entries;
    let (near_places, far_places) = subset::split_by_centre(places, from.entries, far_entries);
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

/// Rounding of one entry's shares to whole calls, which keeps their sum within one call.
///
/// Entries of a data centre start at offsets spread evenly over one call, so that the sums of their
/// shares of each target hold as well.
#[derive(Clone, Copy, Debug)]
pub struct ShareRounding {
    sum: f64,
}

impl ShareRounding {
    /// Creates the rounding of the entry with number `index` of `count` in its data centre.
    pub fn new(index: usize, count: usize) -> Self {
        Self { sum: (index as f64 + 0.5) / count.max(1) as f64 }
    }

    /// Returns the next share, up or down to a whole call.
    pub fn round(&mut self, share: f64) -> f64 {
        let before = self.sum.floor();
        self.sum += share;
        self.sum.floor() - before
    }
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
