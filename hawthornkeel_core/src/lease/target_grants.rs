//! What an issuer knows of one target: answers, grants in use and entries that wait for one.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::document::Pool;
use crate::ids::Incarnation;
use crate::lease::holder::Holder;
use crate::lease::message::GrantId;
use crate::lease::message::GrantMessage;
use crate::lease::message::GrantOutcome;
use crate::lease::message::MemberId;
use crate::lease::message::SuspectReason;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::time::Instant;

/// Time for which a waiting request is kept unless it is sent again.
const WAITER_AGE: Duration = Duration::from_secs(1);

/// Grant in use.
#[derive(Clone, Debug)]
struct InUse {
    entry: MemberId,
    request: u64,
    until: Instant,
    /// Epoch of the record at which the grant was given.
    epoch: u64,
    /// Whether the entry asked again, so that it hasn't heard of the grant.
    repeat: bool,
}

/// Answers that one entry got of a target that doesn't name its incarnation.
///
/// Another entry's answers may be those of an earlier process, and nobody could tell.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    losses: u32,
    answers: u32,
}

/// Request that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    request: u64,
    heard: Instant,
}

/// Grant that was just given.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub entry: MemberId,
    request: u64,
    number: u64,
}

impl Granted {
    /// Returns the message that tells the entry.
    pub fn message(&self, issuer: &MemberId, target: &TargetName, lasts: Duration) -> GrantMessage {
        let grant = GrantId { issuer: issuer.clone(), number: self.number };
        GrantMessage::Granted { number: self.request, grant, target: target.clone(), lasts }
    }
}

/// Grant that was just released.
#[derive(Clone, Debug)]
pub(crate) struct Released {
    pub entry: MemberId,
    pub incarnation: Option<Incarnation>,
    /// Whether the answer proves that the target is warm.
    pub warm: bool,
}

/// What an issuer knows of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetGrants {
    pool: PoolName,
    incarnation: Option<Incarnation>,
    answers: u32,
    /// Answers without an incarnation, by entry.
    seen: IndexMap<MemberId, Seen>,
    /// Whether a vouch stands in for answers of the incarnation.
    vouched: bool,
    /// Rises when answers of calls made before no longer count.
    epoch: u64,
    in_use: IndexMap<u64, InUse>,
    waiters: IndexMap<MemberId, Waiter>,
    /// Last request of each entry that was granted.
    served: IndexMap<MemberId, u64>,
    members: IndexSet<MemberId>,
}

impl TargetGrants {
    /// Returns the pool of the target.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Returns the entries that asked for the target or vouched for it.
    pub fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.members.iter()
    }

    /// Tells whether entries wait for a slot.
    pub fn has_waiters(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Takes a request; a repeated one is answered by its first grant as long as that is in use.
    pub fn request(&mut self, now: Instant, entry: &MemberId, request: u64, pool: &PoolName) {
        self.pool = pool.clone();
        self.members.insert(entry.clone());
        if self.served.get(entry).is_some_and(|last| request <= *last) {
            let mut own = self.in_use.values_mut();
            if let Some(use_) = own.find(|u| u.entry == *entry && u.request == request) {
                use_.repeat = true;
            }
            return;
        }
        let waiter = self.waiters.entry(entry.clone()).or_insert(Waiter { request, heard: now });
        if request >= waiter.request {
            *waiter = Waiter { request, heard: now };
        }
    }

    /// Gives a slot to the entry that waits longest, where one is free.
    pub fn grant(
        &mut self,
        now: Instant,
        holder: &Holder,
        pool: &Pool,
        number: u64,
    ) -> Option<Granted> {
        self.in_use.retain(|_, u| now < u.until);
        self.waiters.retain(|_, w| now.since(w.heard) < WAITER_AGE);
        if self.in_use.len() >= pool.cold_limit as usize {
            return None;
        }
        let (entry, waiter) = self.waiters.shift_remove_index(0)?;
        let settings = holder.settings();
        let until = now + settings.with_drift(settings.grant_duration);
        let request = waiter.request;
        let epoch = self.epoch;
        let in_use = InUse { entry: entry.clone(), request, until, epoch, repeat: false };
        self.in_use.insert(number, in_use);
        self.served.insert(entry.clone(), request);
        Some(Granted { entry, request, number })
    }

    /// Returns the grants that entries asked for twice, so that they are told again.
    pub fn repeated(&mut self) -> Vec<Granted> {
        let mut out = Vec::new();
        for (number, in_use) in self.in_use.iter_mut().filter(|(_, u)| u.repeat) {
            in_use.repeat = false;
            let entry = in_use.entry.clone();
            out.push(Granted { entry, request: in_use.request, number: *number });
        }
        out
    }

    /// Takes a grant back; `None` where it is not in use.
    pub fn release(
        &mut self,
        number: u64,
        outcome: GrantOutcome,
        warm_after: u32,
    ) -> Option<Released> {
        if outcome == GrantOutcome::Unknown {
            return None;
        }
        let in_use = self.in_use.shift_remove(&number)?;
        let entry = in_use.entry.clone();
        let mut released = Released { entry: in_use.entry, incarnation: None, warm: false };
        match outcome {
            GrantOutcome::Answered { incarnation: Some(incarnation), .. }
                if in_use.epoch == self.epoch =>
            {
                self.answered(incarnation);
                released.incarnation = Some(incarnation);
                released.warm = self.vouched || self.answers >= warm_after;
            }
            GrantOutcome::Answered { incarnation: None, losses } if in_use.epoch == self.epoch => {
                released.warm = self.answered_unnamed(entry, losses) >= warm_after;
            }
            GrantOutcome::Failed => self.forget(),
            _ => {}
        }
        Some(released)
    }

    /// Counts an answer; one of another incarnation starts the count again.
    fn answered(&mut self, incarnation: Incarnation) {
        let same = self.incarnation == Some(incarnation);
        if !same && (self.answers > 0 || self.vouched) {
            self.forget();
        }
        self.incarnation = Some(incarnation);
        self.answers = self.answers.saturating_add(1);
    }

    /// Counts an answer without an incarnation; returns the entry's count since its last loss.
    fn answered_unnamed(&mut self, entry: MemberId, losses: u32) -> u32 {
        let seen = self.seen.entry(entry).or_default();
        if seen.losses != losses {
            *seen = Seen { losses, answers: 0 };
        }
        seen.answers = seen.answers.saturating_add(1);
        seen.answers
    }

    /// Takes the suspicion of an entry.
    pub fn suspect(&mut self, incarnation: Option<Incarnation>, doubt: SuspectReason) {
        let other = incarnation.is_some() && incarnation != self.incarnation;
        match doubt {
            _ if other => {}
            // An answer that names its incarnation tells by itself whether there was a restart.
            SuspectReason::Restart => self.seen.clear(),
            SuspectReason::Overload => self.forget(),
        }
    }

    /// Takes an entry's word that an incarnation is warm, unless another has answered since.
    pub fn vouch(&mut self, entry: &MemberId, incarnation: Incarnation) {
        self.members.insert(entry.clone());
        if self.answers == 0 && self.epoch == 0 {
            self.incarnation = Some(incarnation);
            self.vouched = true;
        }
    }

    /// Starts the count of answers again.
    fn forget(&mut self) {
        self.answers = 0;
        self.seen.clear();
        self.vouched = false;
        self.epoch += 1;
    }
}
