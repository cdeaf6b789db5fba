//! Fair shares of targets' limits, including those of targets in other data centres.
//!
//! Every entry gets the same total share of a pool, most of it in its own data centre. Shares are
//! computed from the numbers of entries and targets per data centre, so that all entries agree
//! without exchanging messages.

use crate::routing::subset;

/// Fraction of the load that a data centre could serve itself that is reserved for its own entries.
const NEAR_FRACTION: f64 = 0.85;

/// Entries and usable targets of a pool in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CentreCount {
    /// Number of entries.
    pub entries: usize,
    /// Number of targets of the pool that accept work.
    pub targets: usize,
}

/// Returns one entry's share of one target's limit, as a fraction of the limit.
///
/// `target` and `entry` are the indices of their data centres in `counts`. `target_entries` is the
/// number of entries that send to a target.
pub fn target_share(
    counts: &[CentreCount],
    target: usize,
    entry: usize,
    target_entries: usize,
) -> f64 {
    let (Some(from), Some(to)) = (counts.get(target), counts.get(entry)) else {
        return 0.0;
    };
    let all: usize = counts.iter().map(|c| c.entries).sum();
    let far_entries = all - from.entries;
    let (near_places, far_places) =
        subset::split_by_centre(target_entries, from.entries, far_entries);
    // Expected number of entries in the entry's data centre that send to the target.
    let senders = if target == entry {
        near_places as f64
    } else {
        far_places as f64 * to.entries as f64 / far_entries.max(1) as f64
    };
    if from.targets == 0 || senders <= 0.0 {
        return 0.0;
    }
    let near = if target == entry { near_demand(counts, from) } else { 0.0 };
    let spare = from.targets as f64 - near_demand(counts, from);
    let need: f64 = counts.iter().map(|c| demand(counts, c) - near_demand(counts, c)).sum();
    let own = demand(counts, to) - near_demand(counts, to);
    let far = if need > 0.0 { spare * own / need } else { 0.0 };
    (near + far) / (from.targets as f64 * senders)
}

/// Rounding of one entry's shares to whole calls that keeps their sum within one call.
///
/// The entries of a data centre start at offsets spread evenly over one call, so that the sum of
/// their shares of each target stays within bounds as well.
#[derive(Clone, Copy, Debug)]
pub struct ShareRounding {
    sum: f64,
}

impl ShareRounding {
    /// Creates the rounding for entry `index` of `count` in its data centre.
    pub fn new(index: usize, count: usize) -> Self {
        Self { sum: (index as f64 + 0.5) / count.max(1) as f64 }
    }

    /// Rounds the next share up or down to a whole call.
    pub fn round(&mut self, share: f64) -> f64 {
        let before = self.sum.floor();
        self.sum += share;
        self.sum.floor() - before
    }
}

/// Returns the fair total of a data centre's entries, in units of whole targets.
fn demand(counts: &[CentreCount], of: &CentreCount) -> f64 {
    let entries: usize = counts.iter().map(|c| c.entries).sum();
    let targets: usize = counts.iter().map(|c| c.targets).sum();
    targets as f64 * of.entries as f64 / entries.max(1) as f64
}

/// Returns the part of that total that comes from the data centre's own targets.
fn near_demand(counts: &[CentreCount], of: &CentreCount) -> f64 {
    demand(counts, of).min(of.targets as f64) * NEAR_FRACTION
}
