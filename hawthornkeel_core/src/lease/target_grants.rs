//! State of an issuer for one target: answers, active grants and entries that wait for a grant.

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

/// Time after which a waiting request is dropped unless it is resent.
const WAITER_TIMEOUT: Duration = Duration::from_secs(1);

/// Grant that is in use.
#[derive(Clone, Debug)]
struct ActiveGrant {
    entry: MemberId,
    request: u64,
    expires_at: Instant,
    /// Epoch of the target at which the grant was issued.
    epoch: u64,
    /// Whether the entry resent its request, because it has not received the grant.
    resend: bool,
}

/// Answers without an incarnation that one entry received from a target.
///
/// They are counted per entry: answers that another entry received may be from an earlier process
/// of the target, which can't be detected without an incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerCount {
    losses: u32,
    answers: u32,
}

/// Grant request that waits for a free slot.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    request: u64,
    received_at: Instant,
}

/// Grant that was just issued.
#[derive(Clone, Debug)]
pub(crate) struct IssuedGrant {
    pub entry: MemberId,
    request: u64,
    number: u64,
}

impl IssuedGrant {
    /// Returns the message for the entry.
    pub fn message(&self, issuer: &MemberId, target: &TargetName, lasts: Duration) -> GrantMessage {
        let grant = GrantId { issuer: issuer.clone(), number: self.number };
        GrantMessage::Granted { number: self.request, grant, target: target.clone(), lasts }
    }
}

/// Grant that was just released.
#[derive(Clone, Debug)]
pub(crate) struct ReleasedGrant {
    pub entry: MemberId,
    pub incarnation: Option<Incarnation>,
    /// Whether the target now counts as warm.
    pub warm: bool,
}

/// State of an issuer for one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetGrants {
    pool: PoolName,
    incarnation: Option<Incarnation>,
    answers: u32,
    /// Number of answers without an incarnation, by entry.
    unnamed_answers: IndexMap<MemberId, AnswerCount>,
    /// Whether an entry vouched for the incarnation, which replaces the count of answers.
    vouched: bool,
    /// Increases when answers to calls made before no longer count.
    epoch: u64,
    active: IndexMap<u64, ActiveGrant>,
    waiters: IndexMap<MemberId, WaitingRequest>,
    /// Last granted request of each entry.
    last_granted: IndexMap<MemberId, u64>,
    members: IndexSet<MemberId>,
}

impl TargetGrants {
    /// Returns the pool of the target.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Returns the entries that requested grants for the target or vouched for it.
    pub fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.members.iter()
    }

    /// Returns whether any entry waits for a slot.
    pub fn has_waiters(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Adds a request. A resent one gets its first grant again as long as that is in use.
    pub fn request(&mut self, now: Instant, entry: &MemberId, request: u64, pool: &PoolName) {
        self.pool = pool.clone();
        self.members.insert(entry.clone());
        if self.last_granted.get(entry).is_some_and(|last| request <= *last) {
            let mut own = self.active.values_mut();
            if let Some(grant) = own.find(|g| g.entry == *entry && g.request == request) {
                grant.resend = true;
            }
            return;
        }
        let waiter = self
            .waiters
            .entry(entry.clone())
            .or_insert(WaitingRequest { request, received_at: now });
        if request >= waiter.request {
            *waiter = WaitingRequest { request, received_at: now };
        }
    }

    /// Grants a free slot, if there is one, to the entry that has waited longest.
    pub fn grant(
        &mut self,
        now: Instant,
        holder: &Holder,
        pool: &Pool,
        number: u64,
    ) -> Option<IssuedGrant> {
        self.active.retain(|_, g| now < g.expires_at);
        self.waiters.retain(|_, w| now.since(w.received_at) < WAITER_TIMEOUT);
        if self.active.len() >= pool.cold_limit as usize {
            return None;
        }
        let (entry, waiter) = self.waiters.shift_remove_index(0)?;
        let settings = holder.settings();
        let expires_at = now + settings.with_drift(settings.grant_duration);
        let request = waiter.request;
        let epoch = self.epoch;
        let grant = ActiveGrant { entry: entry.clone(), request, expires_at, epoch, resend: false };
        self.active.insert(number, grant);
        self.last_granted.insert(entry.clone(), request);
        Some(IssuedGrant { entry, request, number })
    }

    /// Returns the grants whose requests were resent, so that they are sent again.
    pub fn resent(&mut self) -> Vec<IssuedGrant> {
        let mut out = Vec::new();
        for (number, grant) in self.active.iter_mut().filter(|(_, g)| g.resend) {
            grant.resend = false;
            let entry = grant.entry.clone();
            out.push(IssuedGrant { entry, request: grant.request, number: *number });
        }
        out
    }

    /// Releases a grant. Returns `None` if it is not active or its call may still be running.
    pub fn release(
        &mut self,
        number: u64,
        outcome: GrantOutcome,
        warm_after: u32,
    ) -> Option<ReleasedGrant> {
        if outcome == GrantOutcome::Unknown {
            return None;
        }
        let grant = self.active.shift_remove(&number)?;
        let entry = grant.entry.clone();
        let mut released = ReleasedGrant { entry: grant.entry, incarnation: None, warm: false };
        match outcome {
            GrantOutcome::Answered { incarnation: Some(incarnation), .. }
                if grant.epoch == self.epoch =>
            {
                self.record_answer(incarnation);
                released.incarnation = Some(incarnation);
                released.warm = self.vouched || self.answers >= warm_after;
            }
            GrantOutcome::Answered { incarnation: None, losses } if grant.epoch == self.epoch => {
                released.warm = self.record_unnamed_answer(entry, losses) >= warm_after;
            }
            GrantOutcome::Failed => self.reset_answers(),
            _ => {}
        }
        Some(released)
    }

    /// Counts an answer. If it is from another incarnation, the count restarts.
    fn record_answer(&mut self, incarnation: Incarnation) {
        let same = self.incarnation == Some(incarnation);
        if !same && (self.answers > 0 || self.vouched) {
            self.reset_answers();
        }
        self.incarnation = Some(incarnation);
        self.answers = self.answers.saturating_add(1);
    }

    /// Counts an answer without an incarnation, and returns the number of answers to the entry
    /// since it last lost a connection to the target.
    fn record_unnamed_answer(&mut self, entry: MemberId, losses: u32) -> u32 {
        let count = self.unnamed_answers.entry(entry).or_default();
        if count.losses != losses {
            *count = AnswerCount { losses, answers: 0 };
        }
        count.answers = count.answers.saturating_add(1);
        count.answers
    }

    /// Handles the suspicion of an entry.
    pub fn suspect(&mut self, incarnation: Option<Incarnation>, doubt: SuspectReason) {
        let other = incarnation.is_some() && incarnation != self.incarnation;
        match doubt {
            _ if other => {}
            // Answers with an incarnation reveal a restart by themselves.
            SuspectReason::Restart => self.unnamed_answers.clear(),
            SuspectReason::Overload => self.reset_answers(),
        }
    }

    /// Handles a report of an entry that an incarnation is warm, unless the target answered since.
    pub fn vouch(&mut self, entry: &MemberId, incarnation: Incarnation) {
        self.members.insert(entry.clone());
        if self.answers == 0 && self.epoch == 0 {
            self.incarnation = Some(incarnation);
            self.vouched = true;
        }
    }

    /// Restarts the count of answers.
    fn reset_answers(&mut self) {
        self.answers = 0;
        self.unnamed_answers.clear();
        self.vouched = false;
        self.epoch += 1;
    }
}
