//! Brittle targets: rejecting many requests for want of room would end them.
//!
//! The entries share out the slots of such a target, so that what all of them together have in
//! progress there always has room. An entry whose part is below one has a slot at some targets and
//! none at others.

use std::time::Duration;

use crate::fleet::ProcessId;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::placement::balancer::Balancer;
use crate::placement::limit::EntryView;
use crate::time::Instant;

/// Time for which a target counts as brittle after the last answer that said so.
pub(super) const BRITTLE_TIME: Duration = Duration::from_secs(10);
/// Time after which an entry without a free slot looks again.
pub(super) const SLOT_WAIT: Duration = Duration::from_millis(20);
/// Share of the slots that is used: new connections and requests that were just given up hold some.
const USED_SLOTS: f64 = 0.8;

impl EntryView {
    /// Returns the number of requests that this entry may have in progress at a brittle process with
    /// `slots`; entries with the same view have no more than `slots` together.
    pub fn slot_share(&self, process: ProcessId, slots: u32) -> u32 {
        // The cast saturates.
        let used = ((f64::from(slots) * USED_SLOTS) as u32).max(1);
        let count = self.peak.max(self.entries.len()).max(1);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let rest = usize::try_from(used % count).unwrap_or(usize::MAX);
        let own = self.rank(process, &self.own);
        let is_before = |e: &&InstanceName| **e != self.own && self.rank(process, e) < own;
        let before = self.entries.iter().filter(is_before).count();
        used / count + u32::from(before < rest)
    }
}

impl Balancer {
    /// Returns whether a target of a pool has lately said that rejections end it; the others may not
    /// have had an answer on which to say so.
    pub(super) fn is_brittle(&self, now: Instant, pool: &PoolName) -> bool {
        let mut of_pool = self.targets.values().filter(|t| t.listed.pool == *pool);
        self.notices.any_brittle() && of_pool.any(|t| t.notice.is_brittle(now))
    }

    /// Returns whether this entry's part in the slots of a target leaves room for one more request.
    pub(super) fn has_slot(&self, index: usize) -> bool {
        let Some((_, target)) = self.targets.get_index(index) else { return false };
        let (listed, in_flight) = (&target.listed, target.in_flight.get());
        listed.slots == 0 || in_flight < self.notices.slot_share(&listed.run(), listed.slots)
    }
}
