//! Replication of entries and snapshots from the leader to the other members.

use crate::ids::ReplicaId;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::Entry;
use crate::replica::entry::Node;
use crate::replica::log;
use crate::replica::message;
use crate::replica::message::Append;
use crate::replica::message::AppendReply;
use crate::replica::message::Body;
use crate::replica::message::SnapshotChunkReply;
use crate::replica::persistence::SyncBarrier;
use crate::replica::progress::Progress;
use crate::replica::progress::ReplicationState;

impl Replica {
    /// Returns the progress of a member, if this replica is the leader.
    fn progress(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        match &mut self.role_state {
            RoleState::Leader(leader) => leader.peers.get_mut(&id),
            _ => None,
        }
    }

    /// Sends missing entries or snapshot chunks to all members, within the limits.
    pub(super) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let ids: Vec<_> = leader.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(id);
        }
    }

    /// Sends missing entries or snapshot chunks to a member, within the limits.
    pub(super) fn replicate_to(&mut self, id: ReplicaId) {
        let members = self.log.members();
        let Some(member) = members.get(id) else { return };
        let now = self.now;
        let timeout = self.settings.resend_timeout;
        let Some(progress) = self.progress(id) else { return };
        progress.check_resend(timeout, now);
        while self.send_next(&member.node) {}
    }

    /// Sends one message or changes the replication state; returns whether to call it again.
    fn send_next(&mut self, node: &Node) -> bool {
        let (base, last, snapshot) =
            (self.log.base(), self.log.last(), self.snapshot.as_ref().map(|s| s.index));
        let settings = &self.settings;
        let RoleState::Leader(leader) = &mut self.role_state else { return false };
        let Some(progress) = leader.peers.get_mut(&node.id) else { return false };
        if !progress.can_send(settings) {
            return false;
        }
        let lacks_base = progress.next_index <= base;
        match (progress.state, snapshot) {
            (ReplicationState::Snapshot { index, .. }, Some(current)) if index == current => {
                self.send_chunk(node)
            }
            (ReplicationState::Snapshot { .. }, Some(current)) => progress.start_snapshot(current),
            (_, Some(current)) if lacks_base => progress.start_snapshot(current),
            (ReplicationState::Replicate, _) if progress.next_index > last => return false,
            _ => self.send_entries(node),
        }
        true
    }

    /// Sends entries from the member's next index on.
    fn send_entries(&mut self, node: &Node) {
        let now = self.now;
        let Some(progress) = self.progress(node.id) else { return };
        let prev_index = log::previous(progress.next_index);
        let entries = self.log.batch(log::next(prev_index), self.settings.append_bytes);
        let Some(prev_term) = self.log.term(prev_index) else { return };
        let bytes = entries.iter().map(Entry::size).sum();
        let last = entries.last().map_or(prev_index, |e| e.index);
        if let Some(progress) = self.progress(node.id) {
            progress.sent_entries(last, bytes, now);
        }
        let append = Append { prev_index, prev_term, commit: self.commit, entries };
        self.send(node, SyncBarrier::None, Body::Append(append));
    }

    /// Sends the next chunk of the snapshot.
    fn send_chunk(&mut self, node: &Node) {
        let now = self.now;
        let chunk_bytes = self.settings.chunk_bytes;
        let Some(snapshot) = self.snapshot.clone() else { return };
        let Some(progress) = self.progress(node.id) else { return };
        let ReplicationState::Snapshot { received, .. } = progress.state else { return };
        progress.sent_chunk(now);
        let start = usize::try_from(received).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = start.saturating_add(chunk_bytes).min(snapshot.data.len());
        let chunk = message::SnapshotChunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members,
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data.slice(start..end),
        };
        self.send(node, SyncBarrier::None, Body::SnapshotChunk(chunk));
    }

    /// Handles the reply to entries.
    pub(super) fn receive_append_reply(&mut self, from: &Node, reply: AppendReply) {
        let now = self.now;
        let last = self.log.last();
        let Some(progress) = self.progress(from.id) else { return };
        progress.last_contact = now;
        match reply {
            AppendReply::Stored(index) if index <= last => progress.stored(index, now),
            AppendReply::Stored(_) => return,
            AppendReply::Mismatch { prev, hint } => progress.mismatch(prev, hint),
        }
        self.advance_commit();
        self.replicate_to(from.id);
        self.try_transfer();
    }

    /// Handles the reply to a chunk of a snapshot.
    pub(super) fn receive_chunk_reply(&mut self, from: &Node, reply: SnapshotChunkReply) {
        let now = self.now;
        let Some(progress) = self.progress(from.id) else { return };
        progress.last_contact = now;
        progress.received(reply.index, reply.received);
        self.replicate_to(from.id);
    }
}
