//! Issuer: issues grants for calls to cold targets while its member holds the lease.

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

/// Message from an issuer to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuerOutput {
    /// Entry that receives the message.
    pub to: MemberId,
    /// Message to send.
    pub message: GrantMessage,
}

/// Issuer of grants for the targets of one data centre.
///
/// Every lease voter has one, but only the lease holder's is active.
#[derive(Debug)]
pub struct Issuer {
    centre: CentreName,
    pools: IndexMap<PoolName, Pool>,
    targets: IndexMap<TargetName, TargetGrants>,
    /// Lease term that `targets` belongs to.
    term: u64,
    next_number: u64,
}

impl Issuer {
    /// Creates an issuer without pools and targets.
    pub fn new(centre: CentreName) -> Self {
        let (pools, targets) = (IndexMap::new(), IndexMap::new());
        Self { centre, pools, targets, term: 0, next_number: 0 }
    }

    /// Applies a new document, whose pools limit the number of grants.
    pub fn apply_document(&mut self, document: &Document) {
        self.pools = document.pools.iter().map(|p| (p.name.clone(), p.clone())).collect();
    }

    /// Handles an entry's message. It is ignored unless `holder` holds the lease.
    pub fn handle(
        &mut self,
        now: Instant,
        holder: &Holder,
        from: &MemberId,
        message: &GrantMessage,
    ) -> Vec<IssuerOutput> {
        if !self.update_term(now, holder) {
            return Vec::new();
        }
        match message {
            GrantMessage::Request { entry, number, target, pool } => {
                let grants = self.targets.entry(target.clone()).or_default();
                grants.request(now, entry, *number, pool);
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
                let Some(grants) = self.targets.get_mut(target) else {
                    return Vec::new();
                };
                grants.suspect(*incarnation, *doubt);
                let others = grants.members().filter(|m| *m != from);
                others.map(|m| IssuerOutput { to: m.clone(), message: message.clone() }).collect()
            }
            GrantMessage::Vouch { target, incarnation } => {
                self.targets.entry(target.clone()).or_default().vouch(from, *incarnation);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Reissues the slots of expired grants. Call this about every 100 ms.
    pub fn tick(&mut self, now: Instant, holder: &Holder) -> Vec<IssuerOutput> {
        if !self.update_term(now, holder) {
            return Vec::new();
        }
        let waiting = self.targets.iter().filter(|(_, g)| g.has_waiters());
        let targets: Vec<TargetName> = waiting.map(|(name, _)| name.clone()).collect();
        targets.iter().flat_map(|t| self.issue(now, holder, t)).collect()
    }

    /// Returns the announcement for all entries, to be sent at each renewal of the lease.
    pub fn announce(&self, now: Instant, holder: &Holder) -> Option<GrantMessage> {
        let (issuer, term) = (holder.id().clone(), holder.term());
        let centre = self.centre.clone();
        holder.holds(now).then_some(GrantMessage::Announce { centre, issuer, term })
    }

    /// Drops the state of an earlier lease term, and returns whether the lease is held.
    fn update_term(&mut self, now: Instant, holder: &Holder) -> bool {
        if !holder.holds(now) {
            return false;
        }
        if self.term != holder.term() {
            self.term = holder.term();
            self.targets.clear();
        }
        true
    }

    /// Issues grants for the free slots of a target to the entries that wait for them.
    fn issue(&mut self, now: Instant, holder: &Holder, target: &TargetName) -> Vec<IssuerOutput> {
        let mut out = Vec::new();
        let Some(grants) = self.targets.get_mut(target) else {
            return out;
        };
        let Some(pool) = self.pools.get(grants.pool()) else {
            return out;
        };
        if !holder.may_issue(now) {
            return out;
        }
        let mut issued = grants.resent();
        while let Some(grant) = grants.grant(now, holder, pool, self.next_number) {
            self.next_number += 1;
            issued.push(grant);
        }
        for grant in issued {
            let message = grant.message(holder.id(), target, holder.settings().grant_duration);
            out.push(IssuerOutput { to: grant.entry, message });
        }
        out
    }

    /// Releases a grant, and returns the message that its target is warm if the call proves it.
    fn release(
        &mut self,
        target: &TargetName,
        grant: &GrantId,
        outcome: GrantOutcome,
    ) -> Vec<IssuerOutput> {
        let Some(grants) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let warm_after = self.pools.get(grants.pool()).map_or(u32::MAX, |p| p.warm_after);
        let Some(released) = grants.release(grant.number, outcome, warm_after) else {
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
