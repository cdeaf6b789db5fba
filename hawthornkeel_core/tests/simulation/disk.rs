//! Simulated disk with synced and pending writes.

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

/// Simulated disk of a machine.
pub struct Disk {
    /// Replica identifier, generated when the disk was empty.
    pub id: ReplicaId,
    synced: PersistedState,
    pending: VecDeque<(SaveSeq, Save)>,
    /// Completion time of the last scheduled sync, in microseconds.
    busy_until: u64,
}

impl Disk {
    pub fn empty(id: impl Into<u64>) -> Self {
        let id = ReplicaId(id.into());
        Self { id, synced: PersistedState::default(), pending: VecDeque::new(), busy_until: 0 }
    }

    /// Returns the state that a process recovers at startup.
    pub fn stored(&self) -> PersistedState {
        self.synced.clone()
    }

    /// Returns the members that the log entries define.
    pub fn members(&self) -> Vec<Members> {
        let entries = self.synced.entries.iter();
        let set = entries.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        set.collect()
    }

    /// Queues a write, and returns the time until it is synced. Syncs complete in order.
    pub fn write(&mut self, seq: SaveSeq, save: Save, now: u64, delay: u64) -> u64 {
        self.pending.push_back((seq, save));
        self.busy_until = self.busy_until.max(now + delay);
        self.busy_until - now
    }

    /// Completes the sync of a write and of all earlier ones.
    pub fn sync(&mut self, seq: SaveSeq) {
        while self.pending.front().is_some_and(|(s, _)| *s <= seq) {
            let (_, save) = self.pending.pop_front().unwrap();
            self.store(save);
        }
    }

    /// Drops the pending writes except for a random prefix that reached the disk unsynced.
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
