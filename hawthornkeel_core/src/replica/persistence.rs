//! What is on disk, and the messages that wait for it.

use std::collections::VecDeque;

use crate::ids::LogIndex;
use crate::names::InstanceName;
use crate::replica::action::Save;
use crate::replica::entry::Entry;
use crate::replica::entry::HardState;
use crate::replica::entry::SaveSeq;
use crate::replica::message::Message;

/// What must be on disk before a message leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Gate {
    /// Nothing.
    Free,
    /// The hard state as it was when the message was made.
    Hard,
    /// Everything saved when the message was made.
    All,
}

/// Message that waits for a save.
#[derive(Debug)]
pub(super) struct Held {
    /// Save that must be on disk, and all before it.
    pub(super) seq: SaveSeq,
    /// Receiver.
    pub(super) to: InstanceName,
    /// Message.
    pub(super) message: Message,
}

/// Save that is not yet on disk.
#[derive(Clone, Copy, Debug)]
struct Pending {
    seq: SaveSeq,
    /// Last entry that is on disk once it is.
    last: LogIndex,
}

/// What is saved, on disk and about to be saved.
#[derive(Debug, Default)]
pub(super) struct Saves {
    issued: SaveSeq,
    synced: SaveSeq,
    hard_seq: SaveSeq,
    durable: LogIndex,
    pending: VecDeque<Pending>,
    hard: Option<HardState>,
    truncate: Option<LogIndex>,
    entries: Vec<Entry>,
}

impl Saves {
    /// Starts with a disk that holds the log up to `durable`.
    pub(super) fn new(durable: LogIndex) -> Self {
        Self { durable, ..Self::default() }
    }

    /// Returns the last entry on disk.
    ///
    /// It is part of the log only while this replica leads: it asks for votes after all that it cut
    /// off before is off the disk too, and a leader cuts nothing off.
    pub(super) fn durable(&self) -> LogIndex {
        self.durable
    }

    /// Tells whether `seq` and all before it are on disk.
    pub(super) fn is_synced(&self, seq: SaveSeq) -> bool {
        seq <= self.synced
    }

    /// Notes a new hard state.
    pub(super) fn set_hard(&mut self, hard: HardState) {
        self.hard = Some(hard);
    }

    /// Notes an entry added at the end of the log.
    pub(super) fn add(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Notes that the log was cut before `from`.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        self.entries.retain(|e| e.index < from);
        self.truncate = Some(self.truncate.map_or(from, |t| t.min(from)));
    }

    /// Takes what has to be saved, if anything, as one save that leaves the log at `last`.
    pub(super) fn take(&mut self, last: LogIndex) -> Option<(SaveSeq, Save)> {
        if self.hard.is_none() && self.truncate.is_none() && self.entries.is_empty() {
            return None;
        }
        let seq = self.issue(last);
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

    /// Numbers a save that leaves the log on disk at `last`.
    pub(super) fn issue(&mut self, last: LogIndex) -> SaveSeq {
        self.issued = SaveSeq(self.issued.0 + 1);
        self.pending.push_back(Pending { seq: self.issued, last });
        self.issued
    }

    /// Notes that `seq` and all before it are on disk.
    pub(super) fn synced(&mut self, seq: SaveSeq) {
        // A ticket that was never issued would count what is not on disk.
        let seq = seq.min(self.issued);
        self.synced = self.synced.max(seq);
        while let Some(pending) = self.pending.front().copied() {
            if pending.seq > self.synced {
                break;
            }
            self.durable = pending.last;
            self.pending.pop_front();
        }
    }

    /// Returns the save that a message made now must wait for.
    pub(super) fn gate(&self, gate: Gate) -> SaveSeq {
        match gate {
            Gate::Free => SaveSeq(0),
            Gate::Hard => self.hard_seq,
            Gate::All => self.issued,
        }
    }
}
