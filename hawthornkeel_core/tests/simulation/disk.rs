//! Disk of a machine: what is synced, and what is not yet.

use std::collections::VecDeque;

use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Disk of a machine.
pub struct Disk {
    /// Identity drawn when it was empty.
    pub id: ReplicaId,
    synced: PersistedState,
    pending: VecDeque<(SaveSeq, Save)>,
    /// Time of the last sync that was asked for, in microseconds.
    busy: u64,
}

impl Disk {
    pub fn empty(id: impl Into<u64>) -> Self {
        let id = ReplicaId(id.into());
        Self { id, synced: PersistedState::default(), pending: VecDeque::new(), busy: 0 }
    }

    /// Returns what a process finds when it starts.
    pub fn stored(&self) -> PersistedState {
        self.synced.clone()
    }

    /// Returns the members that the log sets.
    pub fn members(&self) -> Vec<Members> {
        let entries = self.synced.entries.iter();
        let set = entries.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        set.collect()
    }

    /// Takes a write, and returns the time until it is synced: syncs end in order.
    pub fn write(&mut self, seq: SaveSeq, save: Save, now: u64, delay: u64) -> u64 {
        self.pending.push_back((seq, save));
        self.busy = self.busy.max(now + delay);
        self.busy - now
    }

    /// Ends the sync of a write and all before it.
    pub fn sync(&mut self, seq: SaveSeq) {
        while self.pending.front().is_some_and(|(s, _)| *s <= seq) {
            let (_, save) = self.pending.pop_front().unwrap();
            self.store(save);
        }
    }

    /// Loses what was not synced, but for some writes that reached the disk all the same.
    pub fn crash(&mut self, rng: &mut ChaCha8Rng) {
        let reached = rng.random_range(0..=self.pending.len());
        for _ in 0..reached {
            let (_, save) = self.pending.pop_front().unwrap();
            self.store(save);
        }
        self.pending.clear();
    }

    fn store(&mut self, save: Save) {
        match save {
            Save::Log { hard, truncate, entries } => {
                if let Some(hard) = hard {
                    self.synced.hard = hard;
                }
                if let Some(from) = truncate {
                    self.synced.entries.retain(|e| e.index < from);
                }
                self.synced.entries.extend(entries);
            }
            Save::Snapshot { snapshot, retention } => {
                match retention {
                    LogRetention::From(from) => self.synced.entries.retain(|e| e.index >= from),
                    LogRetention::Nothing => self.synced.entries.clear(),
                }
                self.synced.snapshot = Some(snapshot);
            }
        }
    }
}
