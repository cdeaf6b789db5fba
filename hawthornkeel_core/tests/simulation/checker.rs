//! Checks what clients were told and what replicas applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Payload;

/// History of a run, and the first thing found wrong with it.
#[derive(Debug, Default)]
pub struct Checker {
    /// Entries applied anywhere.
    pub chosen: BTreeMap<LogIndex, Entry>,
    /// Members as of the last entry chosen.
    pub members: Members,
    /// Last entry that a client knows of, by an accepted command or an answered read.
    pub known: LogIndex,
    /// Commands that were accepted, with their positions.
    pub accepted: BTreeMap<u64, LogIndex>,
    /// Commands whose outcome a client was told is not known.
    pub lost: BTreeSet<u64>,
    /// Commands that a client was told will never run.
    pub refused: BTreeSet<u64>,
    /// Reads that were answered.
    pub answered: u64,
    /// First thing found wrong.
    pub fault: Option<String>,
    leaders: BTreeMap<Term, ReplicaId>,
    gone: BTreeSet<ReplicaId>,
}

impl Checker {
    /// Takes in a fault, of which the first counts.
    pub fn fail(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    /// Takes in that `id` applied `entry` after the entry at `before`.
    pub fn apply(&mut self, id: ReplicaId, before: LogIndex, entry: &Entry) {
        if entry.index.0 != before.0 + 1 {
            self.fail(format!("replica {id} applied {} after {before}", entry.index));
        }
        match self.chosen.get(&entry.index) {
            Some(other) if other != entry => {
                self.fail(format!("replica {id} applied {entry:?} where others have {other:?}"));
            }
            Some(_) => {}
            None => {
                self.chosen.insert(entry.index, entry.clone());
                if let Payload::Members(members) = &entry.payload {
                    self.members = members.clone();
                }
            }
        }
    }

    /// Takes in that a client was told that its command was accepted.
    pub fn accept(&mut self, command: u64, index: LogIndex) {
        self.accepted.insert(command, index);
        self.known = self.known.max(index);
    }

    /// Takes in that a read which came in when `known` was known to clients saw `index`.
    pub fn answer(&mut self, known: LogIndex, index: LogIndex) {
        self.answered += 1;
        if index < known {
            self.fail(format!("stale read: saw entry {index} where {known} was known before"));
        }
        self.known = self.known.max(index);
    }

    /// Takes in that `id` leads `term`.
    pub fn lead(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.fail(format!("replicas {first} and {id} both lead term {term}"));
        }
    }

    /// Takes in that the disk of `id` is lost.
    pub fn lose(&mut self, id: ReplicaId) {
        self.gone.insert(id);
    }

    /// Tells whether a group with these members bears the loss of one more disk.
    pub fn bears_loss(&self, members: &Members) -> bool {
        let gone = members.0.iter().filter(|m| self.gone.contains(&m.node.id)).count();
        gone < (members.voters().count() - 1) / 2
    }

    /// Tells whether the members are `size` voters whose disks are not lost.
    pub fn is_whole(&self, size: usize) -> bool {
        let present = self.members.voters().filter(|n| !self.gone.contains(&n.id));
        present.count() == size && self.members.0.len() == size
    }

    /// Takes in that `id` voted for another or said that it stores entries.
    pub fn count(&mut self, id: ReplicaId) {
        if self.gone.contains(&id) {
            self.fail(format!("replica {id} counts although its disk is lost"));
        }
    }

    /// Checks at the end that a replica which applied up to `applied` has all that was accepted.
    pub fn finish(&mut self, applied: LogIndex) {
        let mut ran = BTreeMap::new();
        for entry in self.chosen.values() {
            if let Payload::Command(data) = &entry.payload {
                *ran.entry(super::decode(data)).or_insert(0) += 1;
            }
        }
        let missing = self.accepted.iter().find(|(c, i)| !ran.contains_key(c) || **i > applied);
        if let Some((command, index)) = missing {
            self.fail(format!("command {command}, accepted at {index}, is lost"));
        }
        if let Some(command) = self.refused.iter().find(|c| ran.contains_key(c)) {
            self.fail(format!("command {command} ran although it was refused"));
        }
        if let Some((command, times)) = ran.iter().find(|(_, times)| **times > 1) {
            self.fail(format!("command {command} ran {times} times"));
        }
    }
}
