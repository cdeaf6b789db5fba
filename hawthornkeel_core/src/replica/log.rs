//! In-memory log: the entries after a base index, and the members that they define.

use std::collections::VecDeque;

use crate::ids::LogIndex;
use crate::ids::Term;
use crate::replica::RecoverError;
use crate::replica::entry::Entry;
use crate::replica::entry::Members;
use crate::replica::entry::Payload;
use crate::replica::entry::Snapshot;

/// Returns the index after `index`.
pub(super) fn next(index: LogIndex) -> LogIndex {
    LogIndex(index.0 + 1)
}

/// Returns the index before `index`, or zero.
pub(super) fn previous(index: LogIndex) -> LogIndex {
    LogIndex(index.0.saturating_sub(1))
}

/// Members in effect from a log index on.
#[derive(Clone, Debug, Default)]
struct MembershipConfig {
    index: LogIndex,
    members: Members,
}

/// Log entries after a base index.
#[derive(Debug, Default)]
pub(super) struct Log {
    base: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    configs: Vec<MembershipConfig>,
}

impl Log {
    /// Recovers the log from a snapshot and the entries on disk.
    pub(super) fn recover(
        snapshot: Option<&Snapshot>,
        entries: Vec<Entry>,
    ) -> Result<Self, RecoverError> {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        let start = log.base;
        let covered = entries.last().is_none_or(|e| e.index < start);
        if covered {
            return Ok(log);
        }
        for entry in entries {
            log.recover_entry(start, entry)?;
        }
        Ok(log)
    }

    /// Adds an entry from the disk. Entries that the snapshot at `start` includes define no
    /// members.
    fn recover_entry(&mut self, start: LogIndex, entry: Entry) -> Result<(), RecoverError> {
        let first = self.entries.is_empty() && self.base == start;
        if first && entry.index <= start {
            self.base = entry.index;
            self.base_term = entry.term;
            return Ok(());
        }
        if entry.index != next(self.last()) {
            return Err(RecoverError::Gap { after: self.last() });
        }
        if entry.index > start {
            self.append(entry);
        } else {
            self.entries.push_back(entry);
        }
        Ok(())
    }

    /// Clears the log and continues after a snapshot.
    pub(super) fn reset(&mut self, snapshot: &Snapshot) {
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.configs =
            vec![MembershipConfig { index: snapshot.index, members: snapshot.members.clone() }];
    }

    /// Returns the index before the first entry in memory.
    pub(super) fn base(&self) -> LogIndex {
        self.base
    }

    /// Returns the index of the last entry.
    pub(super) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    pub(super) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry at `index`, if known.
    pub(super) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns entries from `from` on, of `max_bytes` in total at most but at least one if any.
    pub(super) fn batch(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = next(index);
        }
        entries
    }

    /// Returns the entries after `after` up to and including `last`.
    pub(super) fn range(&self, after: LogIndex, last: LogIndex) -> Vec<Entry> {
        (after.0 + 1..=last.0).filter_map(|i| self.get(LogIndex(i)).cloned()).collect()
    }

    /// Appends an entry.
    pub(super) fn append(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.configs.push(MembershipConfig { index: entry.index, members: members.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.base.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.configs.retain(|c| c.index < from);
    }

    /// Removes the entries up to and including `upto`, which a snapshot includes.
    pub(super) fn compact(&mut self, upto: LogIndex) {
        while self.base < upto {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the members in effect, committed or not.
    pub(super) fn members(&self) -> Members {
        self.configs.last().map(|c| c.members.clone()).unwrap_or_default()
    }

    /// Returns the index of the entry that defines the members in effect.
    pub(super) fn members_index(&self) -> LogIndex {
        self.configs.last().map_or(LogIndex(0), |c| c.index)
    }

    /// Returns the members as of `index`.
    pub(super) fn members_at(&self, index: LogIndex) -> Members {
        let config = self.configs.iter().rev().find(|c| c.index <= index);
        config.map(|c| c.members.clone()).unwrap_or_default()
    }

    /// Drops members that were replaced at or before `index`.
    pub(super) fn drop_old_configs(&mut self, index: LogIndex) {
        let stale = self.configs.iter().filter(|c| c.index <= index).count().saturating_sub(1);
        self.configs.drain(..stale);
    }
}
