//! Data centres to which contact is lost, and what that leaves to the entries of others.

use indexmap::IndexMap;

use crate::names::CentreName;
use crate::routing::router::Router;
use crate::time::Instant;

/// What is known of the contact to a data centre's targets.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Whether any target is down.
    down: bool,
    /// Whether any target is heard.
    heard: bool,
}

impl Router {
    /// Works out the own shares of the targets' limits.
    ///
    /// Entries of a lost data centre are as cut off from this entry's targets as its targets are
    /// from this entry, so that they need no shares.
    pub(crate) fn bound_limits(&mut self) {
        let places = self.settings.target_entries;
        let mut entries = self.entries.clone();
        entries.retain(|e| e.centre == self.own.centre || !self.lost.contains(&e.centre));
        for pool in self.pools.values_mut() {
            pool.share_out(&self.own, &entries, places);
        }
    }

    /// Returns the data centres to which contact is lost: targets are down and none is heard.
    pub(crate) fn lost_centres(&self, now: Instant) -> Vec<CentreName> {
        let age = self.settings.report_age;
        let mut contacts: IndexMap<&CentreName, Contact> = IndexMap::new();
        for target in self.pools.values().flat_map(|p| p.targets.values()).filter(|t| t.known) {
            let contact = contacts.entry(&target.info.centre).or_default();
            contact.down |= target.is_down();
            contact.heard |= target.is_heard(now, age);
        }
        let lost = contacts.into_iter().filter(|(_, c)| c.down && !c.heard);
        lost.map(|(centre, _)| centre.clone()).collect()
    }
}
