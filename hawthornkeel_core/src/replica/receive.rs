//! Sorts out messages by group, receiver and term.

use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::GroupId;
use crate::replica::entry::HardState;
use crate::replica::message::Body;
use crate::replica::message::HeartbeatReply;
use crate::replica::message::Message;
use crate::replica::persistence::Gate;

impl Replica {
    /// Takes in a message.
    pub(super) fn receive(&mut self, message: Message) {
        let stranger = message.to.is_some_and(|id| id != self.node.id);
        if stranger || message.from.id == self.node.id {
            return;
        }
        match message.body {
            Body::Hello => self.receive_hello(message.from),
            Body::HelloReply(reply) => self.receive_hello_reply(message.from, reply),
            _ => self.receive_member(message),
        }
    }

    /// Takes in a message between members of one group.
    fn receive_member(&mut self, message: Message) {
        let Some(group) = message.group else { return };
        match self.hard.group {
            Some(own) if own != group => return,
            Some(_) => {}
            None if is_from_leader(&message.body) && message.to == Some(self.node.id) => {
                self.join(group);
            }
            None => return,
        }
        match &message.body {
            // Neither changes the term by itself: a member that was cut off disturbs nobody.
            Body::PreVote(candidacy) => self.receive_pre_vote(&message.from, *candidacy),
            Body::Vote(candidacy) if self.in_lease() && !candidacy.transfer => {}
            // Comes from voters whose term may be lower than the candidate's.
            Body::PreVoteReply(reply) => {
                self.follow_term(message.term);
                self.receive_pre_vote_reply(&message.from, *reply);
            }
            _ => self.receive_in_term(message),
        }
    }

    /// Takes in a message that raises the term.
    fn receive_in_term(&mut self, message: Message) {
        self.follow_term(message.term);
        if message.term < self.hard.term {
            self.answer_old_leader(&message);
            return;
        }
        let from = message.from;
        match message.body {
            Body::Vote(candidacy) => self.receive_vote(&from, candidacy),
            Body::VoteReply(reply) => self.receive_vote_reply(&from, reply),
            Body::TimeoutNow => self.take_over(),
            Body::Heartbeat(heartbeat) => self.receive_heartbeat(&from, heartbeat),
            Body::HeartbeatReply(reply) => self.receive_heartbeat_reply(&from, reply),
            Body::Append(append) => self.receive_append(&from, append),
            Body::AppendReply(reply) => self.receive_append_reply(&from, reply),
            Body::SnapshotChunk(part) => self.receive_part(&from, part),
            Body::SnapshotChunkReply(reply) => self.receive_part_reply(&from, reply),
            Body::Hello | Body::HelloReply(_) | Body::PreVote(_) | Body::PreVoteReply(_) => {}
        }
    }

    /// Tells the leader of an older term that it leads no more.
    fn answer_old_leader(&mut self, message: &Message) {
        if let Body::Heartbeat(heartbeat) = &message.body {
            let reply = HeartbeatReply { round: heartbeat.round };
            self.send(&message.from, Gate::Hard, Body::HeartbeatReply(reply));
        }
    }

    /// Joins a group whose leader knows this replica by its identity.
    pub(super) fn join(&mut self, group: GroupId) {
        self.part = RoleState::Follower;
        self.set_hard(HardState { group: Some(group), ..self.hard });
        self.arm_election();
    }
}

/// Tells whether only a leader sends such messages.
fn is_from_leader(body: &Body) -> bool {
    matches!(body, Body::Heartbeat(_) | Body::Append(_) | Body::SnapshotChunk(_))
}
