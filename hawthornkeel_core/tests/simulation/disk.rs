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
    /// Time until which no write completes, in microseconds.
    blocked_until: u64,
    block: Block,
}

/// Why a disk completes no write for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Block {
    /// It has no room: saves are retried, and snapshots of the replica's own state are skipped.
    Full,
    /// Its syncs hang.
    Hanging,
}

impl Disk {
    pub fn empty(id: impl Into<u64>) -> Self {
        let id = ReplicaId(id.into());
        Self {
            id,
            synced: PersistedState::default(),
            pending: VecDeque::new(),
            busy_until: 0,
            blocked_until: 0,
            block: Block::Full,
        }
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

    /// Completes no write until a time in microseconds.
    pub fn block(&mut self, block: Block, until: u64) {
        self.block = block;
        self.blocked_until = until;
    }

    /// Queues a write, and returns the time until it is synced. Syncs complete in order.
    pub fn write(&mut self, seq: SaveSeq, save: Save, now: u64, delay: u64) -> u64 {
        let is_full = self.block == Block::Full && now < self.blocked_until;
        let save = if is_full { without_own_snapshot(save) } else { save };
        self.pending.push_back((seq, save));
        let start = now.max(self.blocked_until);
        self.busy_until = self.busy_until.max(start + delay);
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

/// Returns a save as a full disk takes it: without a snapshot whose entries the log still has.
fn without_own_snapshot(save: Save) -> Save {
    match save {
        Save::Snapshot { retention: LogRetention::From(_), .. } => {
            Save::Log { hard: None, truncate: None, entries: Vec::new() }
        }
        save => save,
    }
}
