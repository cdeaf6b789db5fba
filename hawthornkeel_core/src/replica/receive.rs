//! Dispatch of messages by receiver, group and term.

use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::GroupId;
use crate::replica::entry::HardState;
use crate::replica::message::Body;
use crate::replica::message::HeartbeatReply;
use crate::replica::message::Message;
use crate::replica::persistence::SyncBarrier;

impl Replica {
    /// Handles a message, and ignores one for another replica.
    pub(super) fn receive(&mut self, message: Message) {
        let misaddressed = message.to.is_some_and(|id| id != self.node.id);
        if misaddressed || message.from.id == self.node.id {
            return;
        }
        match message.body {
            Body::Hello if message.to.is_some() => self.record_leaving(&message),
            Body::Hello => self.receive_hello(message.from),
            Body::HelloReply(reply) => {
                self.receive_leaving_reply(&message.from, message.term);
                self.receive_hello_reply(message.from, reply);
            }
            _ => self.receive_member(message),
        }
    }

    /// Handles a message between members of a group.
    fn receive_member(&mut self, message: Message) {
        let Some(group) = message.group else { return };
        match self.hard.group {
            Some(own) if own != group => return,
            Some(_) => {}
            None if is_from_leader(&message.body) && message.to == Some(self.node.id) => {
                self.join_group(group);
            }
            None => return,
        }
        match &message.body {
            // Neither changes the term by itself, so that a member that was partitioned does not
            // disrupt the group when it returns.
            Body::PreVote(request) => self.receive_pre_vote(&message.from, *request),
            Body::Vote(request) if self.in_lease() && !request.transfer => {}
            // May come from a voter with a lower term than the candidate's.
            Body::PreVoteReply(reply) => {
                self.observe_term(message.term);
                self.receive_pre_vote_reply(&message.from, *reply);
            }
            _ => self.receive_in_term(message),
        }
    }

    /// Handles a message whose term is adopted if it is higher.
    fn receive_in_term(&mut self, message: Message) {
        self.observe_term(message.term);
        if message.term < self.hard.term {
            self.answer_stale_leader(&message);
            return;
        }
        let from = message.from;
        match message.body {
            Body::Vote(request) => self.receive_vote(&from, request),
            Body::VoteReply(reply) => self.receive_vote_reply(&from, reply),
            Body::TimeoutNow => self.receive_timeout_now(),
            Body::Heartbeat(heartbeat) => self.receive_heartbeat(&from, heartbeat),
            Body::HeartbeatReply(reply) => self.receive_heartbeat_reply(&from, reply),
            Body::Append(append) => self.receive_append(&from, append),
            Body::AppendReply(reply) => self.receive_append_reply(&from, reply),
            Body::SnapshotChunk(chunk) => self.receive_chunk(&from, chunk),
            Body::SnapshotChunkReply(reply) => self.receive_chunk_reply(&from, reply),
            Body::Hello | Body::HelloReply(_) | Body::PreVote(_) | Body::PreVoteReply(_) => {}
        }
    }

    /// Notifies the leader of an older term of the current one.
    fn answer_stale_leader(&mut self, message: &Message) {
        if let Body::Heartbeat(heartbeat) = &message.body {
            let reply = HeartbeatReply { round: heartbeat.round };
            self.send(&message.from, SyncBarrier::HardState, Body::HeartbeatReply(reply));
        }
    }

    /// Joins a group that lists the identifier of this replica.
    pub(super) fn join_group(&mut self, group: GroupId) {
        self.role_state = RoleState::Follower;
        self.set_hard(HardState { group: Some(group), ..self.hard });
        self.reset_election_timer();
    }
}

/// Returns whether only leaders send such messages.
fn is_from_leader(body: &Body) -> bool {
    matches!(body, Body::Heartbeat(_) | Body::Append(_) | Body::SnapshotChunk(_))
}
