//! How a leader sends entries and snapshots to the members.

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
use crate::replica::persistence::Gate;
use crate::replica::progress::Flow;
use crate::replica::progress::Progress;

impl Replica {
    /// Returns the progress of a member, if this replica leads.
    fn progress(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        match &mut self.part {
            RoleState::Leader(leader) => leader.peers.get_mut(&id),
            _ => None,
        }
    }

    /// Sends to every member what it lacks, as far as the limits allow.
    pub(super) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &self.part else { return };
        let ids: Vec<_> = leader.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(id);
        }
    }

    /// Sends to a member what it lacks, as far as the limits allow.
    pub(super) fn replicate_to(&mut self, id: ReplicaId) {
        let members = self.log.members();
        let Some(member) = members.get(id) else { return };
        let now = self.now;
        let resend = self.settings.resend_timeout;
        let Some(progress) = self.progress(id) else { return };
        progress.check_resend(resend, now);
        while self.send_next(&member.node) {}
    }

    /// Sends one message with entries or a part, and tells whether another may follow.
    fn send_next(&mut self, node: &Node) -> bool {
        let (base, last, snapshot) =
            (self.log.base(), self.log.last(), self.snapshot.as_ref().map(|s| s.index));
        let settings = &self.settings;
        let RoleState::Leader(leader) = &mut self.part else { return false };
        let Some(progress) = leader.peers.get_mut(&node.id) else { return false };
        if !progress.has_room(settings) {
            return false;
        }
        let lacks_base = progress.next <= base;
        match (progress.flow, snapshot) {
            (Flow::Snapshot { index, .. }, Some(held)) if index == held => self.send_part(node),
            (Flow::Snapshot { .. }, Some(held)) => progress.start_snapshot(held),
            (_, Some(held)) if lacks_base => progress.start_snapshot(held),
            (Flow::Replicate, _) if progress.next > last => return false,
            _ => self.send_entries(node),
        }
        true
    }

    /// Sends entries from the member's next one on.
    fn send_entries(&mut self, node: &Node) {
        let now = self.now;
        let Some(progress) = self.progress(node.id) else { return };
        let prev_index = log::previous(progress.next);
        let entries = self.log.batch(log::next(prev_index), self.settings.append_bytes);
        let Some(prev_term) = self.log.term(prev_index) else { return };
        let bytes = entries.iter().map(Entry::size).sum();
        let last = entries.last().map_or(prev_index, |e| e.index);
        if let Some(progress) = self.progress(node.id) {
            progress.sent_entries(last, bytes, now);
        }
        let append = Append { prev_index, prev_term, commit: self.commit, entries };
        self.send(node, Gate::Free, Body::Append(append));
    }

    /// Sends the next part of the snapshot.
    fn send_part(&mut self, node: &Node) {
        let now = self.now;
        let chunk_bytes = self.settings.chunk_bytes;
        let Some(snapshot) = self.snapshot.clone() else { return };
        let Some(progress) = self.progress(node.id) else { return };
        let Flow::Snapshot { received, .. } = progress.flow else { return };
        progress.sent_part(now);
        let start = usize::try_from(received).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = start.saturating_add(chunk_bytes).min(snapshot.data.len());
        let part = message::SnapshotChunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members,
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data.slice(start..end),
        };
        self.send(node, Gate::Free, Body::SnapshotChunk(part));
    }

    /// Takes in an answer to entries.
    pub(super) fn receive_append_reply(&mut self, from: &Node, reply: AppendReply) {
        let now = self.now;
        let last = self.log.last();
        let Some(progress) = self.progress(from.id) else { return };
        progress.heard = now;
        match reply {
            AppendReply::Stored(index) if index <= last => progress.stored(index, now),
            AppendReply::Stored(_) => return,
            AppendReply::Mismatch { prev, hint } => progress.differs(prev, hint),
        }
        self.advance_commit();
        self.replicate_to(from.id);
        self.hand_over();
    }

    /// Takes in an answer to a part of a snapshot.
    pub(super) fn receive_part_reply(&mut self, from: &Node, reply: SnapshotChunkReply) {
        let now = self.now;
        let Some(progress) = self.progress(from.id) else { return };
        progress.heard = now;
        progress.received(reply.index, reply.received);
        self.replicate_to(from.id);
    }
}
