//! Replication progress of a member, as seen by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::LogIndex;
use crate::replica::log;
use crate::replica::settings::ReplicaSettings;
use crate::time::Instant;

/// How the leader replicates to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplicationState {
    /// One message at a time, until the index at which the logs match is known.
    Probe,
    /// Pipelined messages, within the limits on unacknowledged ones.
    Replicate,
    /// Chunks of a snapshot, one at a time.
    Snapshot {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// Bytes that the member has received.
        received: u64,
    },
}

/// Message with entries that is not acknowledged.
#[derive(Clone, Copy, Debug)]
struct InflightAppend {
    last_index: LogIndex,
    bytes: usize,
}

/// Replication progress of a member.
#[derive(Debug)]
pub(super) struct Progress {
    /// Index of the last entry known to be on the member's disk.
    pub(super) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// Replication state.
    pub(super) state: ReplicationState,
    /// Time at which the last acknowledged heartbeat was sent.
    pub(super) acked_at: Option<Instant>,
    /// Time of the last message from the member.
    pub(super) last_contact: Instant,
    /// Time at which the member last announced that it is about to stop.
    pub(super) leaving_at: Option<Instant>,
    /// Start of the resend timeout, while a message with entries or a chunk is not acknowledged.
    ///
    /// Time at which it was sent, or of the last progress since.
    sent_at: Option<Instant>,
    inflight: VecDeque<InflightAppend>,
    inflight_bytes: usize,
}

impl Progress {
    /// Creates the progress of a new member, starting at the end of the leader's log.
    pub(super) fn new(last: LogIndex, now: Instant) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: log::next(last),
            state: ReplicationState::Probe,
            acked_at: None,
            last_contact: now,
            leaving_at: None,
            sent_at: None,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Returns whether another message with entries or a chunk may be sent.
    pub(super) fn can_send(&self, settings: &ReplicaSettings) -> bool {
        match self.state {
            ReplicationState::Probe | ReplicationState::Snapshot { .. } => self.sent_at.is_none(),
            ReplicationState::Replicate => {
                self.inflight.len() < settings.inflight_messages
                    && self.inflight_bytes < settings.inflight_bytes
            }
        }
    }

    /// Records that entries up to `last` were sent.
    pub(super) fn sent_entries(&mut self, last: LogIndex, bytes: usize, now: Instant) {
        if self.state == ReplicationState::Replicate {
            self.inflight.push_back(InflightAppend { last_index: last, bytes });
            self.inflight_bytes += bytes;
            self.next_index = log::next(last);
            self.sent_at.get_or_insert(now);
        } else {
            self.sent_at = Some(now);
        }
    }

    /// Records that a chunk of a snapshot was sent.
    pub(super) fn sent_chunk(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Handles an acknowledgement that the member has the log up to `index` on disk.
    pub(super) fn stored(&mut self, index: LogIndex, now: Instant) {
        if let ReplicationState::Snapshot { index: wanted, .. } = self.state
            && index < wanted
        {
            return;
        }
        if index > self.match_index {
            self.match_index = index;
            self.sent_at = Some(now);
        }
        while let Some(first) = self.inflight.front().copied() {
            if first.last_index > self.match_index {
                break;
            }
            self.inflight_bytes -= first.bytes;
            self.inflight.pop_front();
        }
        self.state = ReplicationState::Replicate;
        self.next_index = self.next_index.max(log::next(self.match_index));
        if self.inflight.is_empty() {
            self.next_index = log::next(self.match_index);
            self.sent_at = None;
        }
    }

    /// Handles a reply that the member's log does not match at `prev` and may match at `hint`.
    pub(super) fn mismatch(&mut self, prev: LogIndex, hint: LogIndex) {
        let stale = prev <= self.match_index || prev >= self.next_index;
        if stale || matches!(self.state, ReplicationState::Snapshot { .. }) {
            return;
        }
        let next = prev.min(log::next(hint));
        self.probe(next);
    }

    /// Handles an acknowledgement that the member has `received` bytes of the snapshot at `index`.
    pub(super) fn received(&mut self, index: LogIndex, received: u64) {
        if let ReplicationState::Snapshot { index: wanted, received: known } = &mut self.state
            && *wanted == index
            && *known != received
        {
            *known = received;
            self.sent_at = None;
        }
    }

    /// Switches to sending the snapshot at `index`.
    pub(super) fn start_snapshot(&mut self, index: LogIndex) {
        self.probe(log::next(self.match_index));
        self.state = ReplicationState::Snapshot { index, received: 0 };
    }

    /// Switches to sending one message at a time, starting with the entry at `next`.
    pub(super) fn probe(&mut self, next: LogIndex) {
        self.state = ReplicationState::Probe;
        self.next_index = next.max(log::next(self.match_index));
        self.inflight.clear();
        self.inflight_bytes = 0;
        self.sent_at = None;
    }

    /// Allows a resend if there was no acknowledgement for `timeout`.
    pub(super) fn check_resend(&mut self, timeout: Duration, now: Instant) {
        let expired = self.sent_at.is_some_and(|s| now.since(s) >= timeout);
        if !expired {
            return;
        }
        match self.state {
            ReplicationState::Replicate => self.probe(log::next(self.match_index)),
            ReplicationState::Probe | ReplicationState::Snapshot { .. } => self.sent_at = None,
        }
    }
}
