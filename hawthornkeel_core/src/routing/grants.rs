//! Grants for calls to cold targets: how an entry requests, holds and releases them.

use std::time::Duration;

use crate::ids::Incarnation;
use crate::lease::GrantMessage;
use crate::lease::LeaseSettings;
use crate::lease::MemberId;
use crate::lease::SuspectReason;
use crate::lease::message::GrantId;
use crate::lease::message::GrantOutcome;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::routing::candidate::Class;
use crate::routing::pool::PoolState;
use crate::routing::router::GrantOutput;
use crate::routing::router::KnownIssuer;
use crate::routing::router::Router;
use crate::routing::target::Grant;
use crate::routing::target::Target;
use crate::routing::target::Warmth;
use crate::time::Instant;

/// Time after a pool's last call during which grants are requested for it.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Interval between scans of the cold targets.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);

impl Router {
    /// Handles a message of an issuer.
    pub fn handle_message(&mut self, now: Instant, message: &GrantMessage) {
        match message {
            GrantMessage::Announce { centre, issuer, term } => {
                self.update_issuer(now, centre, issuer, *term);
            }
            GrantMessage::Granted { number, grant, target, lasts } => {
                self.accept_grant(now, target, *number, grant, *lasts);
            }
            GrantMessage::Warm { grant, target, incarnation } => {
                self.confirm_warm(now, target, grant, *incarnation);
            }
            GrantMessage::Suspect { target, doubt, .. } => {
                self.mark_suspect(now, target, *doubt, false);
            }
            _ => {}
        }
    }

    /// Returns the messages to send to issuers.
    pub fn take_messages(&mut self, now: Instant) -> Vec<GrantOutput> {
        if now >= self.next_scan {
            self.next_scan = now + SCAN_INTERVAL;
            self.release_unused(now);
            self.request_grants(now);
            self.enable_probes(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Marks a target as possibly cold, and notifies its issuer if `notify` is set.
    pub(crate) fn mark_suspect(
        &mut self,
        now: Instant,
        target: &TargetName,
        reason: SuspectReason,
        notify: bool,
    ) {
        let Some(mut found) = self.find(target) else {
            return;
        };
        let Some(state) = found.target() else {
            return;
        };
        let current =
            if reason == SuspectReason::Overload { state.incarnations.current } else { None };
        let was_warm = state.mark_suspect(reason);
        let centre = state.info.centre.clone();
        found.refresh(now);
        if notify && was_warm {
            let (target, incarnation) = (target.clone(), current);
            let message = GrantMessage::Suspect { target, incarnation, doubt: reason };
            self.send_to_issuer(&centre, message);
        }
    }

    /// Releases a grant to its issuer.
    pub(crate) fn release(&mut self, target: &TargetName, grant: GrantId, outcome: GrantOutcome) {
        let found = self.issuers.iter().find(|(_, i)| i.id == grant.issuer);
        let Some((centre, issuer)) = found.map(|(c, i)| (c.clone(), i.id.clone())) else {
            return;
        };
        let (entry, target) = (self.own.id.clone(), target.clone());
        let message = GrantMessage::Release { grant, entry, target, outcome };
        self.outputs.push(GrantOutput { centre, issuer, message });
        self.next_scan = Instant::ZERO;
    }

    /// Stores a grant, unless its request is no longer pending.
    fn accept_grant(
        &mut self,
        now: Instant,
        target: &TargetName,
        number: u64,
        grant: &GrantId,
        lasts: Duration,
    ) {
        let Some(mut found) = self.find(target) else {
            return;
        };
        let Some(state) = found.target() else {
            return;
        };
        let Some(pending) = state.pending.take_if(|p| p.number == number) else {
            return;
        };
        let (use_by, expires) = (pending.first_sent + lasts / 2, pending.first_sent + lasts);
        state.direct_probe.grant_received();
        state.grants.push(Grant { id: grant.clone(), received: now, use_by, expires });
        found.refresh(now);
    }

    /// Marks a target as warm, as confirmed by its issuer, if it matches the last answer.
    fn confirm_warm(
        &mut self,
        now: Instant,
        target: &TargetName,
        grant: &GrantId,
        incarnation: Option<Incarnation>,
    ) {
        let Some(mut found) = self.find(target) else {
            return;
        };
        let Some(state) = found.target() else {
            return;
        };
        let same = incarnation.is_none() || state.incarnations.current == incarnation;
        if state.answered_grant.as_ref() == Some(grant) && same {
            state.warmth = Warmth::Warm;
            state.limit.reset();
            found.refresh(now);
        }
    }

    /// Updates a data centre's issuer. A new one is told which targets are known to be warm.
    fn update_issuer(&mut self, now: Instant, centre: &CentreName, issuer: &MemberId, term: u64) {
        let known = self.issuers.get(centre);
        if known.is_some_and(|k| k.id == *issuer && k.term >= term) {
            return;
        }
        self.issuers.insert(centre.clone(), KnownIssuer { id: issuer.clone(), term });
        let mut warm = Vec::new();
        for target in self.pools.values_mut().flat_map(|p| p.targets.values_mut()) {
            if target.info.centre != *centre {
                continue;
            }
            target.pending = None;
            if let (Warmth::Warm, Some(incarnation)) = (target.warmth, target.incarnations.current)
            {
                warm.push(GrantMessage::Vouch { target: target.info.name.clone(), incarnation });
            }
        }
        for message in warm {
            self.send_to_issuer(centre, message);
        }
        self.next_scan = now;
    }

    /// Queues a message to the issuer of a data centre, if one is known.
    fn send_to_issuer(&mut self, centre: &CentreName, message: GrantMessage) {
        if let Some(known) = self.issuers.get(centre) {
            let (centre, issuer) = (centre.clone(), known.id.clone());
            self.outputs.push(GrantOutput { centre, issuer, message });
        }
    }

    /// Releases grants that remained unused for `LeaseSettings::unused_timeout`.
    fn release_unused(&mut self, now: Instant) {
        let unused = self.lease.unused_timeout;
        let mut released = Vec::new();
        for pool in self.pools.values_mut() {
            for index in 0..pool.targets.len() {
                let Some((name, target)) = pool.targets.get_index_mut(index) else {
                    continue;
                };
                if target.grants.is_empty() {
                    continue;
                }
                let (old, kept) =
                    target.grants.drain(..).partition(|g: &Grant| now.since(g.received) >= unused);
                target.grants = kept;
                let old: Vec<Grant> = old;
                released.extend(old.into_iter().map(|g| (name.clone(), g.id)));
                pool.refresh(now, index, &self.settings);
            }
        }
        for (target, grant) in released {
            self.release(&target, grant, GrantOutcome::Unused);
        }
    }

    /// Makes the targets available whose direct probes have become due.
    fn enable_probes(&mut self, now: Instant) {
        for pool in self.pools.values_mut().filter(|p| p.queue.len() + p.retry_queue.len() > 0) {
            for index in 0..pool.targets.len() {
                if pool.targets.get_index(index).is_some_and(|(_, t)| t.may_probe(now)) {
                    pool.refresh(now, index, &self.settings);
                }
            }
        }
    }

    /// Requests grants for the cold targets of pools that are in demand.
    fn request_grants(&mut self, now: Instant) {
        let mut requests = Vec::new();
        for pool in self.pools.values_mut() {
            let recent = pool.last_request.is_some_and(|at| now.since(at) < DEMAND_WINDOW);
            if recent || pool.queue.len() > 0 {
                requests.extend(due_requests(pool, now, &self.lease, &mut self.request_counter));
            }
        }
        for (centre, pool, target, number) in requests {
            let entry = self.own.id.clone();
            self.send_to_issuer(&centre, GrantMessage::Request { entry, number, target, pool });
        }
    }
}

/// Grant request to send: data centre, pool, target and number.
type GrantRequest = (CentreName, PoolName, TargetName, u64);

/// Returns the grant requests to send now for a pool.
///
/// Grants for near targets are requested all at once, those for far ones one at a time while a
/// near target is available.
fn due_requests(
    pool: &mut PoolState,
    now: Instant,
    lease: &LeaseSettings,
    counter: &mut u64,
) -> Vec<GrantRequest> {
    let mut requests = Vec::new();
    let near_available = pool.candidates.iter().any(|c| c.near && c.class != Class::Unavailable);
    let in_use = |t: &Target| !t.near && (t.pending.is_some() || !t.grants.is_empty());
    let mut far_busy = near_available && pool.targets.values().any(in_use);
    for target in pool.targets.values_mut() {
        let far = !target.near;
        if !target.needs_grant(now) || (far && far_busy && target.pending.is_none()) {
            continue;
        }
        far_busy |= far && near_available;
        if let Some(number) = target.due_request(now, lease, counter) {
            let info = &target.info;
            requests.push((info.centre.clone(), info.pool.clone(), info.name.clone(), number));
        }
    }
    requests
}
