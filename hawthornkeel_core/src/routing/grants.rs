//! Grants for calls to cold targets, as an entry asks for them, holds them and gives them back.

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

/// Time for which a pool counts as wanted after its last call.
const WANTED: Duration = Duration::from_secs(2);
/// Time between two looks at the cold targets.
const SCAN_PAUSE: Duration = Duration::from_millis(10);

impl Router {
    /// Takes a message of an issuer.
    pub fn handle_message(&mut self, now: Instant, message: &GrantMessage) {
        match message {
            GrantMessage::Announce { centre, issuer, term } => {
                self.take_issuer(now, centre, issuer, *term);
            }
            GrantMessage::Granted { number, grant, target, lasts } => {
                self.take_grant(now, target, *number, grant, *lasts);
            }
            GrantMessage::Warm { grant, target, incarnation } => {
                self.take_warm(now, target, grant, *incarnation);
            }
            GrantMessage::Suspect { target, doubt, .. } => {
                self.suspect(now, target, *doubt, false);
            }
            _ => {}
        }
    }

    /// Returns the messages for issuers.
    pub fn take_messages(&mut self, now: Instant) -> Vec<GrantOutput> {
        if now >= self.next_scan {
            self.next_scan = now + SCAN_PAUSE;
            self.give_back_unused(now);
            self.ask_for_grants(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Takes a target for possibly cold, and tells its issuer where `tell` says so.
    pub(crate) fn suspect(
        &mut self,
        now: Instant,
        target: &TargetName,
        doubt: SuspectReason,
        tell: bool,
    ) {
        let Some(mut found) = self.find(target) else {
            return;
        };
        let Some(state) = found.target() else {
            return;
        };
        let known = if doubt == SuspectReason::Overload { state.named.present } else { None };
        let was_warm = state.suspect();
        let centre = state.info.centre.clone();
        found.refresh(now);
        if tell && was_warm {
            let (target, incarnation) = (target.clone(), known);
            let message = GrantMessage::Suspect { target, incarnation, doubt };
            self.tell(&centre, message);
        }
    }

    /// Gives a grant back to its issuer.
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

    /// Takes a grant, unless its request was given up.
    fn take_grant(
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
        let (use_by, until) = (pending.sent + lasts / 2, pending.sent + lasts);
        state.grants.push(Grant { id: grant.clone(), got: now, use_by, until });
        found.refresh(now);
    }

    /// Takes the issuer's word that a target is warm, where the own last answer agrees with it.
    fn take_warm(
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
        let same = incarnation.is_none() || state.named.present == incarnation;
        if state.proof.as_ref() == Some(grant) && same {
            state.warmth = Warmth::Warm;
            state.limit.restart();
            found.refresh(now);
        }
    }

    /// Takes a data centre's issuer; a new one is told which targets are known to be warm.
    fn take_issuer(&mut self, now: Instant, centre: &CentreName, issuer: &MemberId, term: u64) {
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
            if let (Warmth::Warm, Some(incarnation)) = (target.warmth, target.named.present) {
                warm.push(GrantMessage::Vouch { target: target.info.name.clone(), incarnation });
            }
        }
        for message in warm {
            self.tell(centre, message);
        }
        self.next_scan = now;
    }

    /// Queues a message for the issuer of a data centre, where one is known.
    fn tell(&mut self, centre: &CentreName, message: GrantMessage) {
        if let Some(known) = self.issuers.get(centre) {
            let (centre, issuer) = (centre.clone(), known.id.clone());
            self.outputs.push(GrantOutput { centre, issuer, message });
        }
    }

    /// Gives back grants that no call has used.
    fn give_back_unused(&mut self, now: Instant) {
        let unused = self.lease.unused_timeout;
        let mut back = Vec::new();
        for pool in self.pools.values_mut() {
            for index in 0..pool.targets.len() {
                let Some((name, target)) = pool.targets.get_index_mut(index) else {
                    continue;
                };
                if target.grants.is_empty() {
                    continue;
                }
                let (old, kept) =
                    target.grants.drain(..).partition(|g: &Grant| now.since(g.got) >= unused);
                target.grants = kept;
                let old: Vec<Grant> = old;
                back.extend(old.into_iter().map(|g| (name.clone(), g.id)));
                pool.refresh(now, index, &self.settings);
            }
        }
        for (target, grant) in back {
            self.release(&target, grant, GrantOutcome::Unused);
        }
    }

    /// Asks for grants for the cold targets of pools that are wanted.
    fn ask_for_grants(&mut self, now: Instant) {
        let mut asks = Vec::new();
        for pool in self.pools.values_mut() {
            let recent = pool.wanted.is_some_and(|at| now.since(at) < WANTED);
            if recent || pool.queue.len() > 0 {
                asks.extend(wanted_grants(pool, now, &self.lease, &mut self.next_request));
            }
        }
        for (centre, pool, target, number) in asks {
            let entry = self.own.id.clone();
            self.tell(&centre, GrantMessage::Request { entry, number, target, pool });
        }
    }
}

/// Grant request that is due: data centre, pool, target and number.
type Ask = (CentreName, PoolName, TargetName, u64);

/// Returns the grant requests that are due for a pool.
///
/// Near targets are asked for all at once; far ones one at a time while near ones have room.
fn wanted_grants(
    pool: &mut PoolState,
    now: Instant,
    lease: &LeaseSettings,
    next: &mut u64,
) -> Vec<Ask> {
    let mut asks = Vec::new();
    let near_room = pool.hot.iter().any(|h| h.near && h.class != Class::Closed);
    let in_hand = |t: &Target| !t.near && (t.pending.is_some() || !t.grants.is_empty());
    let mut far_busy = near_room && pool.targets.values().any(in_hand);
    for target in pool.targets.values_mut() {
        let far = !target.near;
        if !target.wants_grant(now) || (far && far_busy && target.pending.is_none()) {
            continue;
        }
        far_busy |= far && near_room;
        if let Some(number) = target.due_request(now, lease, next) {
            let info = &target.info;
            asks.push((info.centre.clone(), info.pool.clone(), info.name.clone(), number));
        }
    }
    asks
}
