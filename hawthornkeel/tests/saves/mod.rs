//! Saves for tests of the data folder.

#![allow(dead_code)]

use bytes::Bytes;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::GroupId;
use hawthornkeel_core::replica::HardState;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Snapshot;

pub fn entry(index: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(vec![index as u8 | 1; 40]));
    Entry { index: LogIndex(index), term: Term(1), payload }
}

pub fn entries(from: u64, to: u64) -> Save {
    Save::Log { hard: None, truncate: None, entries: (from..=to).map(entry).collect() }
}

pub fn hard_state(term: u64) -> Save {
    let hard =
        HardState { group: Some(GroupId(9)), term: Term(term), vote: Some(ReplicaId(term + 1)) };
    Save::Log { hard: Some(hard), truncate: None, entries: Vec::new() }
}

pub fn truncate(from: u64) -> Save {
    Save::Log { hard: None, truncate: Some(LogIndex(from)), entries: vec![entry(from)] }
}

pub fn snapshot(index: u64) -> Snapshot {
    let data = Bytes::from(vec![7; 1000]);
    Snapshot { index: LogIndex(index), term: Term(1), members: Members::default(), data }
}
