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

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::state::clock::later;
use crate::state::command::Claim;
use crate::state::command::ClaimKey;
use crate::state::command::ClaimOutcome;
use crate::state::command::Claimant;
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
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Listing", into = "Listing")]
pub struct Claims {
    records: IndexMap<ClaimKey, Record>,
    /// One place a record, oldest first.
    expiry: VecDeque<Place>,
    /// Answers kept, oldest first; a place whose record has gone is skipped.
    answers: VecDeque<AnswerPlace>,
    /// Length of the answers kept, in bytes.
    kept: usize,
    /// Number of the next answer.
    next: u64,
}

/// What is known of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    digest: u64,
    claimant: Claimant,
    claimed: WallTime,
    phase: Phase,
}

/// How far a claim has come.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Phase {
    /// Held by its claimant; counts as unknown from the given time on.
    Claimed(WallTime),
    /// Did not run and will not.
    Released,
    /// Ran; the answer is kept under its number.
    Done(u64, Bytes),
    /// Ran; the answer was not kept.
    Dropped,
    /// May have run.
    Unknown,
}

/// Place of a key in the order of expiry.
#[derive(Clone, Debug)]
struct Place {
    key: ClaimKey,
    since: WallTime,
}

/// Place of an answer in the order of dropping.
#[derive(Clone, Debug)]
struct AnswerPlace {
    key: ClaimKey,
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
                self.forget(&place.key);
            }
        }
    }

    /// Decides a claim at `now`.
    pub fn claim(&mut self, now: WallTime, claim: &Claim) -> ClaimOutcome {
        let full = self.records.len() >= MAX_CLAIMS;
        let Some(record) = self.records.get_mut(&claim.key) else {
            if full {
                return ClaimOutcome::Full;
            }
            self.insert(now, &claim.key, Record::claimed(now, claim));
            return ClaimOutcome::Granted;
        };
        let own = record.claimant == claim.claimant;
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
            Phase::Claimed(lapse) if now >= *lapse => {
                record.phase = Phase::Unknown;
                ClaimOutcome::Unknown
            }
            Phase::Claimed(_) if own => ClaimOutcome::Granted,
            Phase::Claimed(_) => ClaimOutcome::Held(record.claimant.clone()),
            Phase::Released | Phase::Unknown => ClaimOutcome::Unknown,
            Phase::Done(_, answer) => ClaimOutcome::Done(answer.clone()),
            Phase::Dropped => ClaimOutcome::DoneDropped,
        }
    }

    /// Decides a settlement at `now`.
    pub fn settle(&mut self, now: WallTime, settle: &Settle) -> SettleOutcome {
        let Some(record) = self.records.get_mut(&settle.key) else {
            return self.settle_absent(now, settle);
        };
        if record.claimant != settle.claimant {
            return SettleOutcome::Refused;
        }
        match (&record.phase, &settle.settlement) {
            (Phase::Claimed(_), Settlement::Released) => record.phase = Phase::Released,
            (Phase::Claimed(_), Settlement::Unknown) => record.phase = Phase::Unknown,
            (Phase::Claimed(_) | Phase::Unknown, Settlement::Done(answer)) => {
                record.phase = Phase::Dropped;
                self.keep(&settle.key, answer);
            }
            (Phase::Released, Settlement::Released)
            | (Phase::Unknown, Settlement::Unknown)
            | (Phase::Dropped, Settlement::Done(_)) => {}
            (Phase::Done(_, kept), Settlement::Done(answer)) if kept == answer => {}
            _ => return SettleOutcome::Refused,
        }
        SettleOutcome::Recorded
    }

    fn settle_absent(&mut self, now: WallTime, settle: &Settle) -> SettleOutcome {
        let released = matches!(settle.settlement, Settlement::Released);
        if !released || self.records.len() >= MAX_CLAIMS {
            return SettleOutcome::Refused;
        }
        let record = Record {
            digest: 0,
            claimant: settle.claimant.clone(),
            claimed: now,
            phase: Phase::Released,
        };
        self.insert(now, &settle.key, record);
        SettleOutcome::Recorded
    }

    fn insert(&mut self, now: WallTime, key: &ClaimKey, record: Record) {
        self.records.insert(key.clone(), record);
        self.expiry.push_back(Place { key: key.clone(), since: now });
    }

    fn forget(&mut self, key: &ClaimKey) {
        if let Some(Record { phase: Phase::Done(_, answer), .. }) = self.records.swap_remove(key) {
            self.kept = self.kept.saturating_sub(answer.len());
        }
        // Places of answers that have gone would otherwise pile up while the bound is not reached.
        while self.answers.front().is_some_and(|p| !self.is_kept(p)) {
            self.answers.pop_front();
        }
    }

    /// Keeps an answer for replay where it fits, and drops the oldest ones to make room.
    fn keep(&mut self, key: &ClaimKey, answer: &Bytes) {
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
        if let Some(record) = self.records.get_mut(key) {
            record.phase = Phase::Done(number, answer.clone());
            self.kept = self.kept.saturating_add(answer.len());
            self.answers.push_back(AnswerPlace { key: key.clone(), number });
            self.next = number.saturating_add(1);
        }
    }

    fn drop_answer(&mut self, place: &AnswerPlace) {
        if !self.is_kept(place) {
            return;
        }
        if let Some(record) = self.records.get_mut(&place.key) {
            if let Phase::Done(_, answer) = &record.phase {
                self.kept = self.kept.saturating_sub(answer.len());
            }
            record.phase = Phase::Dropped;
        }
    }

    fn is_kept(&self, place: &AnswerPlace) -> bool {
        self.records.get(&place.key).and_then(Record::answer_number) == Some(place.number)
    }
}

impl Record {
    fn claimed(now: WallTime, claim: &Claim) -> Self {
        let settle = Duration::from_millis(claim.settle_ms).min(CLAIM_WINDOW);
        Self {
            digest: claim.digest,
            claimant: claim.claimant.clone(),
            claimed: now,
            phase: Phase::Claimed(later(now, settle)),
        }
    }

    fn answer_number(&self) -> Option<u64> {
        match &self.phase {
            Phase::Done(number, _) => Some(*number),
            _ => None,
        }
    }
}

/// Serialised form: each key once, in the order of expiry.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Listing {
    next: u64,
    entries: Vec<ListingEntry>,
}

/// Key with its record and its place in the order of expiry.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ListingEntry {
    key: ClaimKey,
    since: WallTime,
    record: Record,
}

impl From<Claims> for Listing {
    fn from(claims: Claims) -> Self {
        let mut records = claims.records;
        let mut entries = Vec::with_capacity(claims.expiry.len());
        for Place { key, since } in claims.expiry {
            if let Some(record) = records.swap_remove(&key) {
                entries.push(ListingEntry { key, since, record });
            }
        }
        Self { next: claims.next, entries }
    }
}

impl From<Listing> for Claims {
    fn from(listing: Listing) -> Self {
        let mut claims = Self { next: listing.next, ..Self::default() };
        for ListingEntry { key, since, record } in listing.entries {
            if let Phase::Done(number, answer) = &record.phase {
                claims.kept = claims.kept.saturating_add(answer.len());
                claims.answers.push_back(AnswerPlace { key: key.clone(), number: *number });
            }
            claims.insert(since, &key, record);
        }
        claims.answers.make_contiguous().sort_by_key(|p| p.number);
        claims
    }
}
