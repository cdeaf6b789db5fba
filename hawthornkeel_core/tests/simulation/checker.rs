//! Checks of the results that clients received against the entries that replicas applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Payload;

/// History of a simulation run, and the first violation found in it.
#[derive(Debug, Default)]
pub struct Checker {
    /// Entries applied by any replica.
    pub committed: BTreeMap<LogIndex, Entry>,
    /// Members as of the last committed entry.
    pub members: Members,
    /// Last entry visible to a client, by an accepted command or a completed read.
    pub known: LogIndex,
    /// Accepted commands, with their log indices.
    pub accepted: BTreeMap<u64, LogIndex>,
    /// Commands whose outcome was reported to a client as unknown.
    pub unknown: BTreeSet<u64>,
    /// Commands that were rejected.
    pub rejected: BTreeSet<u64>,
    /// Number of completed reads.
    pub answered: u64,
    /// First violation found.
    pub fault: Option<String>,
    leaders: BTreeMap<Term, ReplicaId>,
    lost_disks: BTreeSet<ReplicaId>,
}

impl Checker {
    /// Records a violation. Only the first one is kept.
    pub fn record_fault(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    /// Records that `id` applied `entry` after the entry at `before`.
    pub fn record_applied(&mut self, id: ReplicaId, before: LogIndex, entry: &Entry) {
        if entry.index.0 != before.0 + 1 {
            self.record_fault(format!("replica {id} applied {} after {before}", entry.index));
        }
        match self.committed.get(&entry.index) {
            Some(other) if other != entry => {
                self.record_fault(format!(
                    "replica {id} applied {entry:?} where others have {other:?}"
                ));
            }
            Some(_) => {}
            None => {
                self.committed.insert(entry.index, entry.clone());
                if let Payload::Members(members) = &entry.payload {
                    self.members = members.clone();
                }
            }
        }
    }

    /// Records that a command was accepted at `index`.
    pub fn record_accepted(&mut self, command: u64, index: LogIndex) {
        self.accepted.insert(command, index);
        self.known = self.known.max(index);
    }

    /// Records that a read saw `index`, and that `known` was visible to clients when it was sent.
    pub fn record_read(&mut self, known: LogIndex, index: LogIndex) {
        self.answered += 1;
        if index < known {
            self.record_fault(format!(
                "stale read: saw entry {index} where {known} was known before"
            ));
        }
        self.known = self.known.max(index);
    }

    /// Records that `id` leads `term`.
    pub fn record_leader(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.record_fault(format!("replicas {first} and {id} both lead term {term}"));
        }
    }

    /// Records that the disk of `id` is lost.
    pub fn record_disk_loss(&mut self, id: ReplicaId) {
        self.lost_disks.insert(id);
    }

    /// Returns whether a group with these members tolerates the loss of one more disk.
    pub fn tolerates_loss(&self, members: &Members) -> bool {
        let lost = members.0.iter().filter(|m| self.lost_disks.contains(&m.node.id)).count();
        lost < (members.voters().count() - 1) / 2
    }

    /// Returns whether there are exactly `size` members, `voters` of which are voters with the disk
    /// that they joined with.
    pub fn has_full_membership(&self, voters: usize, size: usize) -> bool {
        let present = self.members.voters().filter(|n| !self.lost_disks.contains(&n.id));
        present.count() == voters && self.members.0.len() == size
    }

    /// Checks that `id`, which granted a vote or acknowledged entries, did not lose its disk.
    pub fn check_identity(&mut self, id: ReplicaId) {
        if self.lost_disks.contains(&id) {
            self.record_fault(format!("replica {id} counts although its disk is lost"));
        }
    }

    /// Checks at the end that all accepted commands ran exactly once and no rejected one did.
    ///
    /// `applied` is the last entry that all replicas have applied.
    pub fn check_end(&mut self, applied: LogIndex) {
        let mut ran = BTreeMap::new();
        for entry in self.committed.values() {
            if let Payload::Command(data) = &entry.payload {
                *ran.entry(super::decode(data)).or_insert(0) += 1;
            }
        }
        let missing = self.accepted.iter().find(|(c, i)| !ran.contains_key(c) || **i > applied);
        if let Some((command, index)) = missing {
            self.record_fault(format!("command {command}, accepted at {index}, is lost"));
        }
        if let Some(command) = self.rejected.iter().find(|c| ran.contains_key(c)) {
            self.record_fault(format!("command {command} ran although it was rejected"));
        }
        if let Some((command, times)) = ran.iter().find(|(_, times)| **times > 1) {
            self.record_fault(format!("command {command} ran {times} times"));
        }
    }
}
