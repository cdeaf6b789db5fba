//! Claims on non-idempotent stages, which may run at most once.
//!
//! | record | claim by the same claimant | claim by another claimant | settlement by the claimant |
//! |---|---|---|---|
//! | none | granted | granted | released only |
//! | claimed | granted again | held | any |
//! | claimed, settle deadline passed | unknown, permanently | unknown, permanently | any |
//! | released | released | granted | released only |
//! | done | stored answer | stored answer | same answer only |
//! | unknown | unknown | unknown | done or unknown |
//!
//! A settlement by any other claimant is refused. A claim with a different digest is a mismatch,
//! except on a released record: nothing ran under it, so there is no answer to mix up.
//!
//! A claim past its settle deadline becomes unknown when the next claim on its key is applied. That
//! caller is told that the stage may have run and may act on it, so the claim can't be released
//! afterwards; it can still be settled as done. Before that no caller has been told, and a late
//! release is accepted.
//!
//! A release is recorded even if there is no claim: a claim that reaches the log after its own
//! release is then not granted to a claimant that no longer waits for it.

mod encoding;
mod record;

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::state::claims::record::KeyDigest;
use crate::state::claims::record::Phase;
use crate::state::claims::record::Record;
use crate::state::command::Claim;
use crate::state::command::ClaimOutcome;
use crate::state::command::Settle;
use crate::state::command::SettleOutcome;
use crate::state::command::Settlement;
use crate::time::WallTime;

/// Minimum time for which a key is stored after its last claim; the maximum is twice as long.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of stored claims.
pub const MAX_CLAIMS: usize = 200_000;

/// Maximum size of an answer that is stored for replay, in bytes.
pub const MAX_ANSWER: usize = 64 * 1024;

/// Maximum size of all stored answers together, in bytes; the oldest are dropped first.
pub const MAX_ANSWERS: usize = 16 * 1024 * 1024;

/// Claims by key, with expiry of old keys and eviction of old answers.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    records: IndexMap<KeyDigest, Record>,
    /// Expiry queue with one element for each record, oldest first.
    expiry: VecDeque<QueuedKey>,
    /// Stored answers, oldest first; elements without a matching record are skipped.
    answers: VecDeque<QueuedAnswer>,
    /// Size of the stored answers, in bytes.
    stored_bytes: usize,
    /// Sequence number of the next answer.
    next_answer: u64,
}

/// Element of the expiry queue.
#[derive(Clone, Copy, Debug)]
struct QueuedKey {
    key: KeyDigest,
    since: WallTime,
}

/// Element of the queue of stored answers.
#[derive(Clone, Copy, Debug)]
struct QueuedAnswer {
    key: KeyDigest,
    number: u64,
}

impl Claims {
    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of the stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Removes the keys whose window has ended at `now`.
    pub fn expire(&mut self, now: WallTime) {
        while let Some(queued) = self.expiry.pop_front_if(|q| now.since(q.since) >= CLAIM_WINDOW) {
            let renewed =
                self.records.get(&queued.key).is_some_and(|r| r.claimed_at > queued.since);
            if renewed {
                self.expiry.push_back(QueuedKey { since: now, ..queued });
            } else {
                self.remove(queued.key);
            }
        }
    }

    /// Applies a claim at `now`.
    pub fn claim(&mut self, now: WallTime, claim: &Claim) -> ClaimOutcome {
        let key = KeyDigest::of(&claim.key);
        let full = self.records.len() >= MAX_CLAIMS;
        let Some(record) = self.records.get_mut(&key) else {
            if full {
                return ClaimOutcome::Full;
            }
            self.insert(now, key, Record::claimed(now, claim));
            return ClaimOutcome::Granted;
        };
        let owned = record.is_owned_by(&claim.claimant);
        if matches!(record.phase, Phase::Released) {
            if owned {
                return ClaimOutcome::Released;
            }
            *record = Record::claimed(now, claim);
            return ClaimOutcome::Granted;
        }
        if record.digest != claim.digest {
            return ClaimOutcome::Mismatch;
        }
        match &record.phase {
            Phase::Claimed { settle_deadline, .. } if now >= *settle_deadline => {
                record.phase = Phase::Unknown;
                ClaimOutcome::Unknown
            }
            Phase::Claimed { .. } if owned => ClaimOutcome::Granted,
            Phase::Claimed { instance, .. } => ClaimOutcome::Held(record.claimant(instance)),
            Phase::Released | Phase::Unknown => ClaimOutcome::Unknown,
            Phase::Done { answer, .. } => ClaimOutcome::Done(Bytes::copy_from_slice(answer)),
            Phase::Dropped => ClaimOutcome::DoneDropped,
        }
    }

    /// Applies a settlement at `now`.
    pub fn settle(&mut self, now: WallTime, settle: &Settle) -> SettleOutcome {
        let key = KeyDigest::of(&settle.key);
        let Some(record) = self.records.get_mut(&key) else {
            return self.settle_absent(now, key, settle);
        };
        if !record.is_owned_by(&settle.claimant) {
            return SettleOutcome::Refused;
        }
        match (&record.phase, &settle.settlement) {
            (Phase::Claimed { .. }, Settlement::Released) => record.phase = Phase::Released,
            (Phase::Claimed { .. }, Settlement::Unknown) => record.phase = Phase::Unknown,
            (Phase::Claimed { .. } | Phase::Unknown, Settlement::Done(answer)) => {
                record.phase = Phase::Dropped;
                self.store_answer(key, answer);
            }
            (Phase::Released, Settlement::Released)
            | (Phase::Unknown, Settlement::Unknown)
            | (Phase::Dropped, Settlement::Done(_)) => {}
            (Phase::Done { answer: stored, .. }, Settlement::Done(answer))
                if **stored == **answer => {}
            _ => return SettleOutcome::Refused,
        }
        SettleOutcome::Recorded
    }

    fn settle_absent(&mut self, now: WallTime, key: KeyDigest, settle: &Settle) -> SettleOutcome {
        let released = matches!(settle.settlement, Settlement::Released);
        if !released || self.records.len() >= MAX_CLAIMS {
            return SettleOutcome::Refused;
        }
        self.insert(now, key, Record::released(now, &settle.claimant));
        SettleOutcome::Recorded
    }

    fn insert(&mut self, now: WallTime, key: KeyDigest, record: Record) {
        self.records.insert(key, record);
        self.expiry.push_back(QueuedKey { key, since: now });
    }

    fn remove(&mut self, key: KeyDigest) {
        if let Some(record) = self.records.swap_remove(&key) {
            self.stored_bytes = self.stored_bytes.saturating_sub(record.answer_bytes());
        }
        // Otherwise stale elements would accumulate while the size limit is not reached.
        while self.answers.front().is_some_and(|q| !self.is_stored(q)) {
            self.answers.pop_front();
        }
    }

    /// Stores an answer for replay unless it is too large, and drops the oldest answers if needed.
    fn store_answer(&mut self, key: KeyDigest, answer: &Bytes) {
        if answer.len() > MAX_ANSWER {
            return;
        }
        while self.stored_bytes.saturating_add(answer.len()) > MAX_ANSWERS {
            match self.answers.pop_front() {
                Some(queued) => self.drop_answer(&queued),
                None => break,
            }
        }
        let number = self.next_answer;
        if let Some(record) = self.records.get_mut(&key) {
            record.phase = Phase::Done { number, answer: Box::from(answer.as_ref()) };
            self.stored_bytes = self.stored_bytes.saturating_add(answer.len());
            self.answers.push_back(QueuedAnswer { key, number });
            self.next_answer = number.saturating_add(1);
        }
    }

    fn drop_answer(&mut self, queued: &QueuedAnswer) {
        if !self.is_stored(queued) {
            return;
        }
        if let Some(record) = self.records.get_mut(&queued.key) {
            self.stored_bytes = self.stored_bytes.saturating_sub(record.answer_bytes());
            record.phase = Phase::Dropped;
        }
    }

    fn is_stored(&self, queued: &QueuedAnswer) -> bool {
        self.records.get(&queued.key).and_then(Record::answer_number) == Some(queued.number)
    }
}
