//! Follower: handles heartbeats, entries and snapshots of the leader.

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
use crate::replica::persistence::SyncBarrier;

/// Snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    /// Sender. Chunks of different leaders are not mixed.
    from: Node,
    data: BytesMut,
}

impl Replica {
    /// Records a contact with the leader of the current term.
    ///
    /// Returns `false` if the sender can't be that leader.
    fn record_leader_contact(&mut self, from: &Node) -> bool {
        if matches!(self.role_state, RoleState::Leader(_)) {
            return false;
        }
        self.role_state = RoleState::Follower;
        self.leader = Some(from.clone());
        self.last_contact = Some(self.now);
        self.reset_election_timer();
        self.announce_leaving();
        true
    }

    /// Replies to a heartbeat and applies the entries that it reports as committed.
    pub(super) fn receive_heartbeat(&mut self, from: &Node, heartbeat: Heartbeat) {
        if !self.record_leader_contact(from) {
            return;
        }
        let reply = HeartbeatReply { round: heartbeat.round };
        self.send(from, SyncBarrier::HardState, Body::HeartbeatReply(reply));
        self.apply(heartbeat.commit);
    }

    /// Handles entries of the leader.
    pub(super) fn receive_append(&mut self, from: &Node, append: Append) {
        if !self.record_leader_contact(from) {
            return;
        }
        let Append { prev_index, prev_term, commit, entries } = append;
        let last = LogIndex(prev_index.0 + entries.len() as u64);
        let compacted = prev_index < self.log.base();
        if !compacted && self.log.term(prev_index) != Some(prev_term) {
            let hint = self.match_hint(prev_index);
            let reply = AppendReply::Mismatch { prev: prev_index, hint };
            self.send(from, SyncBarrier::HardState, Body::AppendReply(reply));
            return;
        }
        if !self.merge_entries(entries) {
            return;
        }
        self.apply(commit.min(last));
        self.send(from, SyncBarrier::All, Body::AppendReply(AppendReply::Stored(last)));
    }

    /// Merges entries into the log and truncates conflicting ones.
    ///
    /// Returns `false` without any change if a committed entry would be truncated, or if the
    /// entries would leave a gap.
    fn merge_entries(&mut self, entries: Vec<Entry>) -> bool {
        let base = self.log.base();
        let mut entries = entries.into_iter().skip_while(|e| e.index <= base).peekable();
        while entries.next_if(|e| self.log.term(e.index) == Some(e.term)).is_some() {}
        let Some(first) = entries.peek().map(|e| e.index) else { return true };
        if first <= self.commit || first > log::next(self.log.last()) {
            return false;
        }
        if first <= self.log.last() {
            self.log.truncate(first);
            self.persistence.truncate(first);
        }
        for entry in entries {
            self.persistence.add_entry(entry.clone());
            self.log.append(entry);
        }
        true
    }

    /// Returns the last index at which the log may match the leader's, which differs at `prev`.
    fn match_hint(&self, prev: LogIndex) -> LogIndex {
        let Some(term) = self.log.term(prev) else { return self.log.last() };
        let mut hint = log::previous(prev);
        // Skips the whole term, so that there is one round trip per term and not per entry.
        while hint > self.commit && self.log.term(hint) == Some(term) {
            hint = log::previous(hint);
        }
        hint
    }

    /// Handles a chunk of a snapshot.
    pub(super) fn receive_chunk(&mut self, from: &Node, chunk: message::SnapshotChunk) {
        if !self.record_leader_contact(from) {
            return;
        }
        if chunk.index <= self.commit {
            self.incoming_snapshot = None;
            let reply = AppendReply::Stored(chunk.index);
            self.send(from, SyncBarrier::All, Body::AppendReply(reply));
            return;
        }
        let received = self.collect_chunk(from, &chunk);
        if received < chunk.total {
            let reply = SnapshotChunkReply { index: chunk.index, received };
            self.send(from, SyncBarrier::HardState, Body::SnapshotChunkReply(reply));
        } else if let Some(incoming) = self.incoming_snapshot.take() {
            self.install_snapshot(Snapshot {
                index: chunk.index,
                term: chunk.last_term,
                members: chunk.members,
                data: incoming.data.freeze(),
            });
            let reply = AppendReply::Stored(chunk.index);
            self.send(from, SyncBarrier::All, Body::AppendReply(reply));
        }
    }

    /// Appends a chunk to the incoming snapshot and returns the number of bytes received so far.
    fn collect_chunk(&mut self, from: &Node, chunk: &message::SnapshotChunk) -> u64 {
        let same = self.incoming_snapshot.as_ref().is_some_and(|i| {
            i.index == chunk.index && i.term == chunk.last_term && i.from == *from
        });
        if !same {
            let data = BytesMut::new();
            let (index, term) = (chunk.index, chunk.last_term);
            self.incoming_snapshot =
                Some(IncomingSnapshot { index, term, from: from.clone(), data });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return 0 };
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        incoming.data.len() as u64
    }

    /// Replaces the state with a snapshot of the leader.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.save_log();
        let matches = self.log.term(snapshot.index) == Some(snapshot.term);
        let retention = if matches {
            self.log.compact(snapshot.index);
            LogRetention::From(log::next(snapshot.index))
        } else {
            self.log.reset(&snapshot);
            LogRetention::Nothing
        };
        self.commit = snapshot.index;
        self.applied_bytes = 0;
        self.snapshot = Some(snapshot.clone());
        let seq = self.persistence.issue_seq(self.log.last());
        let save = Save::Snapshot { snapshot: snapshot.clone(), retention };
        self.actions.push(Action::Save { seq, save });
        self.actions.push(Action::Restore(snapshot));
    }
}
