//! Withdrawal of a voter before a planned stop, so that a learner gets its vote.
//!
//! The voter tells the leader that it is about to stop, and goes on voting and storing entries until
//! the log says that a learner has its vote. A voter that ended, or fell silent, before would leave
//! its vote to the leader's timeout, and the loss of another voter in this time would cost the quorum.

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::Node;
use crate::replica::message::Body;
use crate::replica::message::HelloReply;
use crate::replica::message::Message;
use crate::replica::persistence::SyncBarrier;
use crate::replica::settings::VoterPolicy;
use crate::time::Instant;

/// Time for which a member is heard without announcing that it is about to stop, after which it has
/// started again, in election timeouts.
///
/// Messages may be late.
const RESTART_TIMEOUTS: u32 = 2;

impl Replica {
    /// Returns whether this replica has a vote that a learner can get.
    ///
    /// Whether a learner has caught up is known to the leader only.
    pub fn has_transferable_vote(&self) -> bool {
        let members = self.log.members();
        let has_learners = members.voters().count() < members.0.len();
        let is_open = matches!(self.settings.voter_policy, VoterPolicy::Open { .. });
        is_open && (has_learners || self.is_replacing_voter()) && self.is_voter()
    }

    /// Returns whether a learner has its vote already, and the voter that it replaces still has its own.
    pub fn is_replacing_voter(&self) -> bool {
        let voters = self.log.members().voters().count();
        self.settings.open_voters().is_some_and(|allowed| voters > allowed)
    }

    /// Returns the index of the log entry that defines the members, committed or not.
    pub fn members_index(&self) -> LogIndex {
        self.log.members_index()
    }

    /// Returns whether this replica is a voter, or may still be one as the change that takes its vote
    /// is not known to be committed.
    pub fn is_voter(&self) -> bool {
        let committed = self.log.members_at(self.commit);
        self.log.members().is_voter(self.node.id) || committed.is_voter(self.node.id)
    }

    /// Returns whether another replica leads, as far as was heard within an election timeout of `now`.
    pub fn follows_leader(&self, now: Instant) -> bool {
        let timeout = self.settings.election_timeout;
        let is_recent = self.last_contact.is_some_and(|c| now.since(c) < timeout);
        is_recent && self.leader.as_ref().is_some_and(|l| l.id != self.node.id)
    }

    /// Returns whether the leader, if there is one, knows that this replica is about to stop.
    ///
    /// It might give a vote to a replica that has just ended otherwise.
    pub fn is_leaving_known(&self, now: Instant) -> bool {
        !self.follows_leader(now) || self.leaving_known == Some(self.hard.term)
    }

    /// Begins to ask the leader, and each later one, to give the vote of this replica to a learner.
    pub(super) fn withdraw(&mut self) {
        self.leaving = true;
        // The others are to be candidates first.
        self.reset_election_timer();
        self.announce_leaving();
    }

    /// Tells the leader that this replica is about to stop, if it is.
    pub(super) fn announce_leaving(&mut self) {
        if !self.leaving || !self.follows_leader(self.now) {
            return;
        }
        if let Some(leader) = self.leader.clone() {
            self.send(&leader, SyncBarrier::None, Body::Hello);
        }
    }

    /// Records that a member is about to stop, confirms it, and replaces the member if it is a voter.
    pub(super) fn record_leaving(&mut self, message: &Message) {
        let Message { from, group, term, .. } = message;
        let (now, was_known) = (self.now, self.is_leaving(from.id));
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&from.id) else { return };
        if *group != self.hard.group || *term != self.hard.term {
            return;
        }
        progress.last_contact = now;
        progress.leaving_at = Some(now);
        let membership = self.membership_of(from.id);
        let reply = HelloReply::Member { membership, leader: self.leader.clone() };
        self.send(from, SyncBarrier::None, Body::HelloReply(reply));
        if !was_known {
            self.repair_members();
        }
    }

    /// Handles the reply to the announcement that this replica is about to stop.
    pub(super) fn receive_leaving_reply(&mut self, from: &Node, term: Term) {
        let is_leader = self.leader.as_ref().is_some_and(|l| l.id == from.id);
        if self.leaving && is_leader && term == self.hard.term {
            self.leaving_known = Some(term);
        }
    }

    /// Returns whether a member has announced that it is about to stop, and has not been heard without
    /// announcing it since.
    ///
    /// It announces it whenever it hears the leader, until it ends. One that has started again doesn't.
    pub(super) fn is_leaving(&self, id: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        let Some(progress) = leader.peers.get(&id) else { return false };
        let timeout = self.settings.election_timeout * RESTART_TIMEOUTS;
        progress.leaving_at.is_some_and(|at| progress.last_contact.since(at) <= timeout)
    }
}
