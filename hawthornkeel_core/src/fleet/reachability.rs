//! Data centres that an entry can't reach, from its exchanges with other entries.
//!
//! Designed for partitions between data centres at hundreds of entries: each of them sees so few
//! requests that it must learn from any exchange, and must tell a partition from many entries that
//! were killed at once.

use indexmap::IndexMap;

use crate::names::CentreName;
use crate::names::InstanceName;
use crate::time::Instant;

/// Number of entries of a data centre that must be silent for it to count as cut off.
const MIN_SUSPECTS: usize = 2;

/// Entry that did not respond.
#[derive(Clone, Debug)]
struct Suspect {
    centre: CentreName,
    since: Instant,
}

/// Entries that don't respond, and the data centres that are cut off from this entry.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    suspects: IndexMap<InstanceName, Suspect>,
    /// Time of the last response from any entry of a data centre.
    responses: IndexMap<CentreName, Instant>,
}

impl Reachability {
    /// Records that an entry responded.
    pub fn record_response(&mut self, now: Instant, centre: &CentreName) {
        self.responses.insert(centre.clone(), now);
    }

    /// Records that an entry did not respond. Returns whether it did so far.
    pub fn suspect(&mut self, now: Instant, entry: &InstanceName, centre: &CentreName) -> bool {
        if self.suspects.contains_key(entry) {
            return false;
        }
        let suspect = Suspect { centre: centre.clone(), since: now };
        self.suspects.insert(entry.clone(), suspect);
        true
    }

    /// Records that a suspected entry responded or is gone for good.
    pub fn clear(&mut self, entry: &InstanceName) {
        self.suspects.swap_remove(entry);
    }

    /// Returns whether an entry did not respond.
    pub fn is_suspect(&self, entry: &InstanceName) -> bool {
        self.suspects.contains_key(entry)
    }

    /// Returns whether a data centre is cut off: none of its entries responded since several of
    /// them became suspects.
    pub fn is_cut_off(&self, centre: &CentreName) -> bool {
        let last_response = self.responses.get(centre).copied().unwrap_or(Instant::ZERO);
        let silent = |s: &&Suspect| s.centre == *centre && s.since > last_response;
        self.suspects.values().filter(silent).count() >= MIN_SUSPECTS
    }

    /// Returns the data centres that are cut off.
    pub fn cut_off(&self) -> Vec<CentreName> {
        let mut centres: Vec<CentreName> =
            self.suspects.values().map(|s| s.centre.clone()).collect();
        centres.sort();
        centres.dedup();
        centres.retain(|c| self.is_cut_off(c));
        centres
    }
}
