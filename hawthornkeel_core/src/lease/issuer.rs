//! Issuer: hands out grants for calls to cold targets while its member holds the lease.

use indexmap::IndexMap;

use crate::document::Document;
use crate::document::Pool;
use crate::lease::holder::Holder;
use crate::lease::message::GrantId;
use crate::lease::message::GrantMessage;
use crate::lease::message::GrantOutcome;
use crate::lease::message::MemberId;
use crate::lease::target_grants::TargetGrants;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::time::Instant;

/// Message of an issuer to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuerOutput {
    /// Entry that the message goes to.
    pub to: MemberId,
    /// Message to send.
    pub message: GrantMessage,
}

/// Issuer of one data centre's grants; every lease voter has one and the holder's is active.
#[derive(Debug)]
pub struct Issuer {
    centre: CentreName,
    pools: IndexMap<PoolName, Pool>,
    records: IndexMap<TargetName, TargetGrants>,
    /// Win of the lease that the records belong to.
    term: u64,
    next_number: u64,
}

impl Issuer {
    /// Creates an issuer that knows no target.
    pub fn new(centre: CentreName) -> Self {
        let (pools, records) = (IndexMap::new(), IndexMap::new());
        Self { centre, pools, records, term: 0, next_number: 0 }
    }

    /// Takes the document's pools, whose limits bound the grants.
    pub fn apply_document(&mut self, document: &Document) {
        self.pools = document.pools.iter().map(|p| (p.name.clone(), p.clone())).collect();
    }

    /// Takes an entry's message; nothing happens unless `holder` holds the lease.
    pub fn handle(
        &mut self,
        now: Instant,
        holder: &Holder,
        from: &MemberId,
        message: &GrantMessage,
    ) -> Vec<IssuerOutput> {
        if !self.follow_lease(now, holder) {
            return Vec::new();
        }
        match message {
            GrantMessage::Request { entry, number, target, pool } => {
                let record = self.records.entry(target.clone()).or_default();
                record.request(now, entry, *number, pool);
                self.issue(now, holder, target)
            }
            GrantMessage::Release { grant, target, outcome, .. }
                if grant.issuer == *holder.id() =>
            {
                let mut out = self.release(target, grant, *outcome);
                out.extend(self.issue(now, holder, target));
                out
            }
            GrantMessage::Suspect { target, incarnation, doubt } => {
                let Some(record) = self.records.get_mut(target) else {
                    return Vec::new();
                };
                record.suspect(*incarnation, *doubt);
                let others = record.members().filter(|m| *m != from);
                others.map(|m| IssuerOutput { to: m.clone(), message: message.clone() }).collect()
            }
            GrantMessage::Vouch { target, incarnation } => {
                self.records.entry(target.clone()).or_default().vouch(from, *incarnation);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Frees slots of expired grants and hands them out; to be called every 100 ms or so.
    pub fn tick(&mut self, now: Instant, holder: &Holder) -> Vec<IssuerOutput> {
        if !self.follow_lease(now, holder) {
            return Vec::new();
        }
        let waited = self.records.iter().filter(|(_, r)| r.has_waiters());
        let targets: Vec<TargetName> = waited.map(|(name, _)| name.clone()).collect();
        targets.iter().flat_map(|t| self.issue(now, holder, t)).collect()
    }

    /// Returns the announcement that goes to all entries at each renewal of the lease.
    pub fn announce(&self, now: Instant, holder: &Holder) -> Option<GrantMessage> {
        let (issuer, term) = (holder.id().clone(), holder.term());
        let centre = self.centre.clone();
        holder.holds(now).then_some(GrantMessage::Announce { centre, issuer, term })
    }

    /// Forgets what an earlier win of the lease knew; returns whether the lease is held.
    fn follow_lease(&mut self, now: Instant, holder: &Holder) -> bool {
        if !holder.holds(now) {
            return false;
        }
        if self.term != holder.term() {
            self.term = holder.term();
            self.records.clear();
        }
        true
    }

    /// Hands out the free slots of a target to the entries that wait for them.
    fn issue(&mut self, now: Instant, holder: &Holder, target: &TargetName) -> Vec<IssuerOutput> {
        let mut out = Vec::new();
        let Some(record) = self.records.get_mut(target) else {
            return out;
        };
        let Some(pool) = self.pools.get(record.pool()) else {
            return out;
        };
        if !holder.may_issue(now) {
            return out;
        }
        let mut granted = record.repeated();
        while let Some(new) = record.grant(now, holder, pool, self.next_number) {
            self.next_number += 1;
            granted.push(new);
        }
        for one in granted {
            let message = one.message(holder.id(), target, holder.settings().grant_duration);
            out.push(IssuerOutput { to: one.entry, message });
        }
        out
    }

    /// Takes a grant back.
    fn release(
        &mut self,
        target: &TargetName,
        grant: &GrantId,
        outcome: GrantOutcome,
    ) -> Vec<IssuerOutput> {
        let Some(record) = self.records.get_mut(target) else {
            return Vec::new();
        };
        let warm_after = self.pools.get(record.pool()).map_or(u32::MAX, |p| p.warm_after);
        let Some(released) = record.release(grant.number, outcome, warm_after) else {
            return Vec::new();
        };
        if !released.warm {
            return Vec::new();
        }
        let incarnation = released.incarnation;
        let (grant, target) = (grant.clone(), target.clone());
        let message = GrantMessage::Warm { grant, target, incarnation };
        vec![IssuerOutput { to: released.entry, message }]
    }
}
