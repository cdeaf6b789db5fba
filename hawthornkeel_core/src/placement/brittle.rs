//! Brittle targets: rejecting many requests for want of room would end them.
//!
//! The entries share out the slots of such a target, so that what all of them together have in
//! progress there always has room. An entry whose part is below one has a slot at some targets and
//! none at others.

use std::time::Duration;

use crate::fleet::ProcessId;
use crate::names::InstanceName;
use crate::placement::limit::EntryView;

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
