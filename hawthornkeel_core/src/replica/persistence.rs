//! Tracking of saves and of the messages that wait for them.

use std::collections::VecDeque;

use crate::ids::LogIndex;
use crate::names::InstanceName;
use crate::replica::action::Save;
use crate::replica::entry::Entry;
use crate::replica::entry::HardState;
use crate::replica::entry::SaveSeq;
use crate::replica::message::Message;

/// State that must be on disk before a message is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SyncBarrier {
    /// Nothing.
    None,
    /// The hard state as of the creation of the message.
    HardState,
    /// Everything saved up to the creation of the message.
    All,
}

/// Message that waits for a save.
#[derive(Debug)]
pub(super) struct DeferredMessage {
    /// Sequence number of the save that must be on disk with all earlier ones.
    pub(super) seq: SaveSeq,
    /// Name of the receiving instance.
    pub(super) to: InstanceName,
    /// Message to send.
    pub(super) message: Message,
}

/// Save that is not on disk yet.
#[derive(Clone, Copy, Debug)]
struct PendingSave {
    seq: SaveSeq,
    /// Index of the last log entry on disk after this save.
    last_index: LogIndex,
}

/// Changes to be saved, saves in progress and the state that is on disk.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    last_issued: SaveSeq,
    last_synced: SaveSeq,
    /// Last save that contains the hard state.
    hard_seq: SaveSeq,
    durable_index: LogIndex,
    pending: VecDeque<PendingSave>,
    hard: Option<HardState>,
    truncate: Option<LogIndex>,
    entries: Vec<Entry>,
}

impl Persistence {
    /// Creates the state for a disk that holds the log up to `durable_index`.
    pub(super) fn new(durable_index: LogIndex) -> Self {
        Self { durable_index, ..Self::default() }
    }

    /// Returns the index of the last entry on disk.
    ///
    /// Only meaningful on a leader, where this entry is part of the log: vote requests are sent
    /// after earlier truncations have reached the disk, and a leader never truncates its log.
    pub(super) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Returns whether the save `seq` and all earlier ones are on disk.
    pub(super) fn is_synced(&self, seq: SaveSeq) -> bool {
        seq <= self.last_synced
    }

    /// Records a new hard state.
    pub(super) fn set_hard(&mut self, hard: HardState) {
        self.hard = Some(hard);
    }

    /// Records an entry appended to the log.
    pub(super) fn add_entry(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Records that the log was truncated from `from` on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        self.entries.retain(|e| e.index < from);
        self.truncate = Some(self.truncate.map_or(from, |t| t.min(from)));
    }

    /// Returns the recorded changes as one save after which the log ends at `last`, if there are
    /// any.
    pub(super) fn take_save(&mut self, last: LogIndex) -> Option<(SaveSeq, Save)> {
        if self.hard.is_none() && self.truncate.is_none() && self.entries.is_empty() {
            return None;
        }
        let seq = self.issue_seq(last);
        if self.hard.is_some() {
            self.hard_seq = seq;
        }
        let save = Save::Log {
            hard: self.hard.take(),
            truncate: self.truncate.take(),
            entries: std::mem::take(&mut self.entries),
        };
        Some((seq, save))
    }

    /// Assigns a sequence number to a save after which the log on disk ends at `last`.
    pub(super) fn issue_seq(&mut self, last: LogIndex) -> SaveSeq {
        self.last_issued = SaveSeq(self.last_issued.0 + 1);
        self.pending.push_back(PendingSave { seq: self.last_issued, last_index: last });
        self.last_issued
    }

    /// Records that the save `seq` and all earlier ones are on disk.
    pub(super) fn synced(&mut self, seq: SaveSeq) {
        // A number that was never issued must not make later saves count as synced.
        let seq = seq.min(self.last_issued);
        self.last_synced = self.last_synced.max(seq);
        while let Some(pending) = self.pending.front().copied() {
            if pending.seq > self.last_synced {
                break;
            }
            self.durable_index = pending.last_index;
            self.pending.pop_front();
        }
    }

    /// Returns the save that a message created now must wait for.
    pub(super) fn barrier_seq(&self, barrier: SyncBarrier) -> SaveSeq {
        match barrier {
            SyncBarrier::None => SaveSeq(0),
            SyncBarrier::HardState => self.hard_seq,
            SyncBarrier::All => self.last_issued,
        }
    }
}
