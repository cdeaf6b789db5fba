//! How far a member has the leader's log, and what is on its way to it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::LogIndex;
use crate::replica::log;
use crate::replica::settings::ReplicaSettings;
use crate::time::Instant;

/// How the leader sends to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Flow {
    /// One message at a time, until the point where the logs agree is known.
    Probe,
    /// As many messages as the limits allow.
    Replicate,
    /// Parts of a snapshot, one at a time.
    Snapshot {
        /// Last entry that the snapshot includes.
        index: LogIndex,
        /// Bytes that the member has.
        received: u64,
    },
}

/// Message with entries that was not answered.
#[derive(Clone, Copy, Debug)]
struct Inflight {
    last: LogIndex,
    bytes: usize,
}

/// How far a member has the leader's log.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last entry that the member has on disk.
    pub(super) matched: LogIndex,
    /// Next entry to send.
    pub(super) next: LogIndex,
    /// How to send.
    pub(super) flow: Flow,
    /// Sending time of the last heartbeat that the member answered.
    pub(super) acked: Option<Instant>,
    /// Time of the last message from the member.
    pub(super) heard: Instant,
    /// Time of the last message with entries or parts, or of the last progress, while one is out.
    sent: Option<Instant>,
    inflight: VecDeque<Inflight>,
    bytes: usize,
}

impl Progress {
    /// Starts at the end of the leader's log.
    pub(super) fn new(last: LogIndex, now: Instant) -> Self {
        Self {
            matched: LogIndex(0),
            next: log::next(last),
            flow: Flow::Probe,
            acked: None,
            heard: now,
            sent: None,
            inflight: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Tells whether another message with entries or parts may be sent.
    pub(super) fn has_room(&self, settings: &ReplicaSettings) -> bool {
        match self.flow {
            Flow::Probe | Flow::Snapshot { .. } => self.sent.is_none(),
            Flow::Replicate => {
                self.inflight.len() < settings.inflight_messages
                    && self.bytes < settings.inflight_bytes
            }
        }
    }

    /// Notes a message with entries up to `last`.
    pub(super) fn sent_entries(&mut self, last: LogIndex, bytes: usize, now: Instant) {
        if self.flow == Flow::Replicate {
            self.inflight.push_back(Inflight { last, bytes });
            self.bytes += bytes;
            self.next = log::next(last);
            self.sent.get_or_insert(now);
        } else {
            self.sent = Some(now);
        }
    }

    /// Notes a part of a snapshot.
    pub(super) fn sent_part(&mut self, now: Instant) {
        self.sent = Some(now);
    }

    /// Notes that the member has the log up to `index` on disk.
    pub(super) fn stored(&mut self, index: LogIndex, now: Instant) {
        if let Flow::Snapshot { index: wanted, .. } = self.flow
            && index < wanted
        {
            return;
        }
        if index > self.matched {
            self.matched = index;
            self.sent = Some(now);
        }
        while let Some(first) = self.inflight.front().copied() {
            if first.last > self.matched {
                break;
            }
            self.bytes -= first.bytes;
            self.inflight.pop_front();
        }
        self.flow = Flow::Replicate;
        self.next = self.next.max(log::next(self.matched));
        if self.inflight.is_empty() {
            self.next = log::next(self.matched);
            self.sent = None;
        }
    }

    /// Notes that the member's log differs at `prev` and may agree at `hint`.
    pub(super) fn differs(&mut self, prev: LogIndex, hint: LogIndex) {
        let stale = prev <= self.matched || prev >= self.next;
        if stale || matches!(self.flow, Flow::Snapshot { .. }) {
            return;
        }
        let next = prev.min(log::next(hint));
        self.probe(next);
    }

    /// Notes that the member has `received` bytes of the snapshot at `index`.
    pub(super) fn received(&mut self, index: LogIndex, received: u64) {
        if let Flow::Snapshot { index: wanted, received: known } = &mut self.flow
            && *wanted == index
            && *known != received
        {
            *known = received;
            self.sent = None;
        }
    }

    /// Goes over to sending the snapshot at `index`.
    pub(super) fn start_snapshot(&mut self, index: LogIndex) {
        self.probe(log::next(self.matched));
        self.flow = Flow::Snapshot { index, received: 0 };
    }

    /// Goes back to sending one message at a time, from `next`.
    pub(super) fn probe(&mut self, next: LogIndex) {
        self.flow = Flow::Probe;
        self.next = next.max(log::next(self.matched));
        self.inflight.clear();
        self.bytes = 0;
        self.sent = None;
    }

    /// Sends again what was not answered for too long.
    pub(super) fn check_resend(&mut self, resend: Duration, now: Instant) {
        let late = self.sent.is_some_and(|s| now.since(s) >= resend);
        if !late {
            return;
        }
        match self.flow {
            Flow::Replicate => self.probe(log::next(self.matched)),
            Flow::Probe | Flow::Snapshot { .. } => self.sent = None,
        }
    }
}
