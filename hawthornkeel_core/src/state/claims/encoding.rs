//! Snapshot encoding of the claims: each key once, in order of expiry.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::state::claims::Claims;
use crate::state::claims::QueuedAnswer;
use crate::state::claims::record::KeyDigest;
use crate::state::claims::record::Record;
use crate::time::WallTime;

/// Claims as encoded; the records are borrowed because a copy would double their memory.
#[derive(Serialize)]
struct EncodedClaims<'a> {
    #[serde(rename = "next")]
    next_answer: u64,
    entries: Vec<Entry<&'a Record>>,
}

/// Claims as decoded.
#[derive(Deserialize)]
struct DecodedClaims {
    #[serde(rename = "next")]
    next_answer: u64,
    entries: Vec<Entry<Record>>,
}

/// Key with its record and its position in the expiry queue.
#[derive(Serialize, Deserialize)]
struct Entry<R> {
    key: KeyDigest,
    since: WallTime,
    record: R,
}

impl Serialize for Claims {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let entry = |queued: &super::QueuedKey| {
            let record = self.records.get(&queued.key)?;
            Some(Entry { key: queued.key, since: queued.since, record })
        };
        let entries = self.expiry.iter().filter_map(entry).collect();
        EncodedClaims { next_answer: self.next_answer, entries }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Claims {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        DecodedClaims::deserialize(deserializer).map(Self::from)
    }
}

impl From<DecodedClaims> for Claims {
    fn from(decoded: DecodedClaims) -> Self {
        let mut claims = Self { next_answer: decoded.next_answer, ..Self::default() };
        claims.records.reserve(decoded.entries.len());
        for Entry { key, since, record } in decoded.entries {
            claims.stored_bytes = claims.stored_bytes.saturating_add(record.answer_bytes());
            if let Some(number) = record.answer_number() {
                claims.answers.push_back(QueuedAnswer { key, number });
            }
            claims.insert(since, key, record);
        }
        claims.answers.make_contiguous().sort_by_key(|q| q.number);
        claims
    }
}
