//! Unreachable data centres, and the shares of targets' limits that the remaining entries get.

use indexmap::IndexMap;

use crate::names::CentreName;
use crate::routing::router::Router;
use crate::time::Instant;

/// Observed state of a data centre's targets.
#[derive(Clone, Copy, Debug, Default)]
struct Reachability {
    /// Whether any target is down.
    down: bool,
    /// Whether any target is responsive.
    responsive: bool,
}

impl Router {
    /// Recomputes this entry's shares of the targets' limits.
    ///
    /// Entries of an unreachable data centre get no shares: they are as cut off from the targets
    /// that this entry reaches as this entry is from theirs.
    pub(crate) fn update_shares(&mut self) {
        let target_entries = self.settings.target_entries;
        let mut entries = self.entries.clone();
        entries.retain(|e| e.centre == self.own.centre || !self.unreachable.contains(&e.centre));
        for pool in self.pools.values_mut() {
            pool.assign_shares(&self.own, &entries, target_entries);
        }
    }

    /// Returns the data centres in which targets are down and none is responsive.
    pub(crate) fn unreachable_centres(&self, now: Instant) -> Vec<CentreName> {
        let age = self.settings.report_age;
        let mut centres: IndexMap<&CentreName, Reachability> = IndexMap::new();
        for target in self.pools.values().flat_map(|p| p.targets.values()).filter(|t| t.in_subset) {
            let centre = centres.entry(&target.info.centre).or_default();
            centre.down |= target.is_down();
            centre.responsive |= target.is_responsive(now, age);
        }
        let unreachable = centres.into_iter().filter(|(_, r)| r.down && !r.responsive);
        unreachable.map(|(centre, _)| centre.clone()).collect()
    }
}
