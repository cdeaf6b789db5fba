//! Serialised form of the claims: each key once, in the order of expiry.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::state::claims::AnswerPlace;
use crate::state::claims::Claims;
use crate::state::claims::record::KeyDigest;
use crate::state::claims::record::Record;
use crate::time::WallTime;

/// Claims as they are written; borrowed, because a copy of them would double their memory.
#[derive(Serialize)]
struct Listing<'a> {
    next: u64,
    entries: Vec<Entry<&'a Record>>,
}

/// Claims as they are read.
#[derive(Deserialize)]
struct OwnedListing {
    next: u64,
    entries: Vec<Entry<Record>>,
}

/// Key with its record and its place in the order of expiry.
#[derive(Serialize, Deserialize)]
struct Entry<R> {
    key: KeyDigest,
    since: WallTime,
    record: R,
}

impl Serialize for Claims {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let entry = |place: &super::Place| {
            let record = self.records.get(&place.key)?;
            Some(Entry { key: place.key, since: place.since, record })
        };
        let entries = self.expiry.iter().filter_map(entry).collect();
        Listing { next: self.next, entries }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Claims {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        OwnedListing::deserialize(deserializer).map(Self::from)
    }
}

impl From<OwnedListing> for Claims {
    fn from(listing: OwnedListing) -> Self {
        let mut claims = Self { next: listing.next, ..Self::default() };
        claims.records.reserve(listing.entries.len());
        for Entry { key, since, record } in listing.entries {
            claims.kept = claims.kept.saturating_add(record.answer_length());
            if let Some(number) = record.answer_number() {
                claims.answers.push_back(AnswerPlace { key, number });
            }
            claims.insert(since, key, record);
        }
        claims.answers.make_contiguous().sort_by_key(|p| p.number);
        claims
    }
}
