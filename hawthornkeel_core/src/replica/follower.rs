//! What a follower does with its leader's heartbeats, entries and snapshots.

use bytes::BytesMut;

use crate::ids::LogIndex;
use crate::ids::Term;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::action::Action;
use crate::replica::action::LogRetention;
use crate::replica::action::Save;
use crate::replica::entry::Entry;
use crate::replica::entry::Node;
use crate::replica::entry::Snapshot;
use crate::replica::log;
use crate::replica::message;
use crate::replica::message::Append;
use crate::replica::message::AppendReply;
use crate::replica::message::Body;
use crate::replica::message::Heartbeat;
use crate::replica::message::HeartbeatReply;
use crate::replica::message::SnapshotChunkReply;
use crate::replica::persistence::Gate;

/// Snapshot that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    index: LogIndex,
    term: Term,
    /// Sender: parts of different leaders are not mixed.
    from: Node,
    data: BytesMut,
}

impl Replica {
    /// Notes a contact with the leader of this term.
    ///
    /// Returns `false` where the sender can't be that leader.
    fn hear(&mut self, from: &Node) -> bool {
        if matches!(self.part, RoleState::Leader(_)) {
            return false;
        }
        self.part = RoleState::Follower;
        self.leader = Some(from.clone());
        self.heard = Some(self.now);
        self.arm_election();
        true
    }

    /// Answers a heartbeat.
    pub(super) fn receive_heartbeat(&mut self, from: &Node, heartbeat: Heartbeat) {
        if !self.hear(from) {
            return;
        }
        let reply = HeartbeatReply { round: heartbeat.round };
        self.send(from, Gate::Hard, Body::HeartbeatReply(reply));
        self.apply(heartbeat.commit);
    }

    /// Takes in entries.
    pub(super) fn receive_append(&mut self, from: &Node, append: Append) {
        if !self.hear(from) {
            return;
        }
        let Append { prev_index, prev_term, commit, entries } = append;
        let last = LogIndex(prev_index.0 + entries.len() as u64);
        let known = prev_index < self.log.base();
        if !known && self.log.term(prev_index) != Some(prev_term) {
            let hint = self.agreement_hint(prev_index);
            let reply = AppendReply::Mismatch { prev: prev_index, hint };
            self.send(from, Gate::Hard, Body::AppendReply(reply));
            return;
        }
        if !self.merge(entries) {
            return;
        }
        self.apply(commit.min(last));
        self.send(from, Gate::All, Body::AppendReply(AppendReply::Stored(last)));
    }

    /// Merges entries into the log, cutting off those that differ.
    ///
    /// Returns `false` without a change where a committed entry would be cut off.
    fn merge(&mut self, entries: Vec<Entry>) -> bool {
        let base = self.log.base();
        let mut entries = entries.into_iter().skip_while(|e| e.index <= base).peekable();
        while entries.next_if(|e| self.log.term(e.index) == Some(e.term)).is_some() {}
        let Some(first) = entries.peek().map(|e| e.index) else { return true };
        if first <= self.commit || first > log::next(self.log.last()) {
            return false;
        }
        if first <= self.log.last() {
            self.log.truncate(first);
            self.saves.truncate(first);
        }
        for entry in entries {
            self.saves.add(entry.clone());
            self.log.append(entry);
        }
        true
    }

    /// Returns the last position at which the log may agree with a leader's that differs at `prev`.
    fn agreement_hint(&self, prev: LogIndex) -> LogIndex {
        let Some(term) = self.log.term(prev) else { return self.log.last() };
        let mut hint = log::previous(prev);
        // The whole term is skipped, so that each answer costs one term and not one entry.
        while hint > self.commit && self.log.term(hint) == Some(term) {
            hint = log::previous(hint);
        }
        hint
    }

    /// Takes in a part of a snapshot.
    pub(super) fn receive_part(&mut self, from: &Node, part: message::SnapshotChunk) {
        if !self.hear(from) {
            return;
        }
        if part.index <= self.commit {
            self.incoming = None;
            let reply = AppendReply::Stored(part.index);
            self.send(from, Gate::All, Body::AppendReply(reply));
            return;
        }
        let received = self.collect(from, &part);
        if received < part.total {
            let reply = SnapshotChunkReply { index: part.index, received };
            self.send(from, Gate::Hard, Body::SnapshotChunkReply(reply));
        } else if let Some(incoming) = self.incoming.take() {
            self.install(Snapshot {
                index: part.index,
                term: part.last_term,
                members: part.members,
                data: incoming.data.freeze(),
            });
            let reply = AppendReply::Stored(part.index);
            self.send(from, Gate::All, Body::AppendReply(reply));
        }
    }

    /// Adds a part to the snapshot that is being received, and returns the bytes received so far.
    fn collect(&mut self, from: &Node, part: &message::SnapshotChunk) -> u64 {
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|i| i.index == part.index && i.term == part.last_term && i.from == *from);
        if !same {
            let data = BytesMut::new();
            let (index, term) = (part.index, part.last_term);
            self.incoming = Some(Incoming { index, term, from: from.clone(), data });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if part.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&part.data);
        }
        incoming.data.len() as u64
    }

    /// Replaces the state by a snapshot of the leader's.
    fn install(&mut self, snapshot: Snapshot) {
        self.save_log();
        let agrees = self.log.term(snapshot.index) == Some(snapshot.term);
        let retention = if agrees {
            self.log.compact(snapshot.index);
            LogRetention::From(log::next(snapshot.index))
        } else {
            self.log.reset(&snapshot);
            LogRetention::Nothing
        };
        self.commit = snapshot.index;
        self.grown = 0;
        self.snapshot = Some(snapshot.clone());
        let seq = self.saves.issue(self.log.last());
        let save = Save::Snapshot { snapshot: snapshot.clone(), retention };
        self.actions.push(Action::Save { seq, save });
        self.actions.push(Action::Restore(snapshot));
    }
}
