//! Claims on stages that may run at most once.
//!
//! | record | claim by its claimant | claim by another | settlement by its claimant |
//! |---|---|---|---|
//! | none | granted | granted | only released |
//! | claimed | granted again | held | any |
//! | claimed, settle time over | unknown, for good | unknown, for good | any |
//! | released | released | granted | only released |
//! | done | the answer | the answer | only the same answer |
//! | unknown | unknown | unknown | done or unknown |
//!
//! A settlement by anybody else is refused. A claim with another digest is a mismatch, except on a
//! released record: nothing ran under it, so there is no answer to confuse.
//!
//! A claim whose settle time is over turns unknown when the first claim meets it. From then on
//! somebody has been told that it may have run and may have acted on that, so it is never released
//! afterwards; it may still turn out done. Until then nobody has been told, and a late release is
//! accepted.
//!
//! A release is recorded even where no claim is: a claim that was delayed on its way to the log is
//! then not granted to a claimant that has given it up.

mod listing;
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

/// Time for which a key is remembered after its last claim; at most twice that.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Claims remembered at once, at most.
pub const MAX_CLAIMS: usize = 200_000;

/// Answer kept for replay, in bytes at most.
pub const MAX_ANSWER: usize = 64 * 1024;

/// Answers kept for replay, in bytes at most over all claims; the oldest are dropped first.
pub const MAX_ANSWERS: usize = 16 * 1024 * 1024;

/// Claims by key, forgotten in the order they came.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    records: IndexMap<KeyDigest, Record>,
    /// One place a record, oldest first.
    expiry: VecDeque<Place>,
    /// Answers kept, oldest first; a place whose record has gone is skipped.
    answers: VecDeque<AnswerPlace>,
    /// Length of the answers kept, in bytes.
    kept: usize,
    /// Number of the next answer.
    next: u64,
}

/// Place of a key in the order of expiry.
#[derive(Clone, Copy, Debug)]
struct Place {
    key: KeyDigest,
    since: WallTime,
}

/// Place of an answer in the order of dropping.
#[derive(Clone, Copy, Debug)]
struct AnswerPlace {
    key: KeyDigest,
    number: u64,
}

impl Claims {
    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the length of the answers kept, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.kept
    }

    /// Forgets the keys whose window is over at `now`.
    pub fn expire(&mut self, now: WallTime) {
        while let Some(place) = self.expiry.pop_front_if(|p| now.since(p.since) >= CLAIM_WINDOW) {
            let renewed = self.records.get(&place.key).is_some_and(|r| r.claimed > place.since);
            if renewed {
                self.expiry.push_back(Place { since: now, ..place });
            } else {
                self.forget(place.key);
            }
        }
    }

    /// Decides a claim at `now`.
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
        let own = record.is_of(&claim.claimant);
        if matches!(record.phase, Phase::Released) {
            if own {
                return ClaimOutcome::Released;
            }
            *record = Record::claimed(now, claim);
            return ClaimOutcome::Granted;
        }
        if record.digest != claim.digest {
            return ClaimOutcome::Mismatch;
        }
        match &record.phase {
            Phase::Claimed { lapse, .. } if now >= *lapse => {
                record.phase = Phase::Unknown;
                ClaimOutcome::Unknown
            }
            Phase::Claimed { .. } if own => ClaimOutcome::Granted,
            Phase::Claimed { instance, .. } => ClaimOutcome::Held(record.claimant(instance)),
            Phase::Released | Phase::Unknown => ClaimOutcome::Unknown,
            Phase::Done { answer, .. } => ClaimOutcome::Done(Bytes::copy_from_slice(answer)),
            Phase::Dropped => ClaimOutcome::DoneDropped,
        }
    }

    /// Decides a settlement at `now`.
    pub fn settle(&mut self, now: WallTime, settle: &Settle) -> SettleOutcome {
        let key = KeyDigest::of(&settle.key);
        let Some(record) = self.records.get_mut(&key) else {
            return self.settle_absent(now, key, settle);
        };
        if !record.is_of(&settle.claimant) {
            return SettleOutcome::Refused;
        }
        match (&record.phase, &settle.settlement) {
            (Phase::Claimed { .. }, Settlement::Released) => record.phase = Phase::Released,
            (Phase::Claimed { .. }, Settlement::Unknown) => record.phase = Phase::Unknown,
            (Phase::Claimed { .. } | Phase::Unknown, Settlement::Done(answer)) => {
                record.phase = Phase::Dropped;
                self.keep(key, answer);
            }
            (Phase::Released, Settlement::Released)
            | (Phase::Unknown, Settlement::Unknown)
            | (Phase::Dropped, Settlement::Done(_)) => {}
            (Phase::Done { answer: kept, .. }, Settlement::Done(answer)) if **kept == **answer => {}
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
        self.expiry.push_back(Place { key, since: now });
    }

    fn forget(&mut self, key: KeyDigest) {
        if let Some(record) = self.records.swap_remove(&key) {
            self.kept = self.kept.saturating_sub(record.answer_length());
        }
        // Places of answers that have gone would otherwise pile up while the bound is not reached.
        while self.answers.front().is_some_and(|p| !self.is_kept(p)) {
            self.answers.pop_front();
        }
    }

    /// Keeps an answer for replay where it fits, and drops the oldest ones to make room.
    fn keep(&mut self, key: KeyDigest, answer: &Bytes) {
        if answer.len() > MAX_ANSWER {
            return;
        }
        while self.kept.saturating_add(answer.len()) > MAX_ANSWERS {
            match self.answers.pop_front() {
                Some(place) => self.drop_answer(&place),
                None => break,
            }
        }
        let number = self.next;
        if let Some(record) = self.records.get_mut(&key) {
            record.phase = Phase::Done { number, answer: Box::from(answer.as_ref()) };
            self.kept = self.kept.saturating_add(answer.len());
            self.answers.push_back(AnswerPlace { key, number });
            self.next = number.saturating_add(1);
        }
    }

    fn drop_answer(&mut self, place: &AnswerPlace) {
        if !self.is_kept(place) {
            return;
        }
        if let Some(record) = self.records.get_mut(&place.key) {
            self.kept = self.kept.saturating_sub(record.answer_length());
            record.phase = Phase::Dropped;
        }
    }

    fn is_kept(&self, place: &AnswerPlace) -> bool {
        self.records.get(&place.key).and_then(Record::answer_number) == Some(place.number)
    }
}
