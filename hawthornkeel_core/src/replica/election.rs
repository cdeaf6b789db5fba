//! Elections: pre-votes, votes and the time in which none is given.

use indexmap::IndexSet;
use rand::Rng;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::HardState;
use crate::replica::entry::Node;
use crate::replica::message::Body;
use crate::replica::message::VoteReply;
use crate::replica::message::VoteRequest;
use crate::replica::persistence::Gate;

/// Election times that a learner waits where a voter waits one.
const LEARNER_WAIT: u32 = 2;

/// Votes or pre-votes that a candidate was given.
#[derive(Debug, Default)]
pub(super) struct Votes {
    granted: IndexSet<ReplicaId>,
}

impl Replica {
    /// Draws the time of the next election.
    pub(super) fn arm_election(&mut self) {
        let mut election = self.settings.election_timeout;
        if !self.log.members().is_voter(self.node.id) {
            election *= LEARNER_WAIT;
        }
        let spread = self.rng.random_range(0.0..1.0);
        self.stand_at = self.now + election + election.mul_f64(spread);
    }

    /// Tells whether a leader may still hold a lease that this replica took part in.
    pub(super) fn in_lease(&self) -> bool {
        matches!(self.part, RoleState::Leader(_))
            || self.heard.is_some_and(|h| self.now.since(h) < self.settings.election_timeout)
    }

    /// Stands for election if this replica is a member: asks for pre-votes first.
    ///
    /// A learner's own vote does not count. It stands because it may be the only one left with the
    /// newest entry, which keeps it from voting for others: after a leader's disk was lost, no voter
    /// might be electable.
    pub(super) fn stand(&mut self) {
        self.arm_election();
        self.leader = None;
        let members = self.log.members();
        // A voter that nobody votes with may have been removed while it was away.
        let alone = matches!(self.part, RoleState::PreCandidate(_));
        if alone || !members.is_voter(self.node.id) {
            self.ask_to_be_added();
        }
        if members.get(self.node.id).is_none() {
            self.part = RoleState::Follower;
            return;
        }
        self.part = RoleState::PreCandidate(Votes::default());
        let candidacy = self.candidacy();
        self.ask(Gate::Free, Body::PreVote(candidacy));
        self.count_vote(self.node.id);
    }

    /// Returns this replica's candidacy for the term after its own.
    fn candidacy(&self) -> VoteRequest {
        VoteRequest {
            term: crate::ids::Term(self.hard.term.0 + 1),
            last_index: self.log.last(),
            last_term: self.log.last_term(),
            transfer: false,
        }
    }

    /// Sends a request to the other voters.
    fn ask(&mut self, gate: Gate, body: Body) {
        for node in self.log.members().voters() {
            if node.id != self.node.id {
                self.send(node, gate, body.clone());
            }
        }
    }

    /// Raises the term and asks for votes.
    pub(super) fn ask_votes(&mut self, transfer: bool) {
        let candidacy = VoteRequest { transfer, ..self.candidacy() };
        let vote = Some(self.node.id);
        self.set_hard(HardState { term: candidacy.term, vote, ..self.hard });
        self.part = RoleState::Candidate(Votes::default());
        self.arm_election();
        // The vote for itself and the log it stands for must outlast a stop.
        self.ask(Gate::All, Body::Vote(candidacy));
        self.save_log();
        self.count_own_vote();
    }

    /// Counts the vote for itself once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        if self.saves.is_synced(self.saves.gate(Gate::Hard)) {
            self.count_vote(self.node.id);
        }
    }

    /// Counts a vote or pre-vote, and goes on if a quorum of the voters gave theirs.
    fn count_vote(&mut self, from: ReplicaId) {
        let members = self.log.members();
        let (RoleState::PreCandidate(votes) | RoleState::Candidate(votes)) = &mut self.part else {
            return;
        };
        votes.granted.insert(from);
        let count = members.voters().filter(|n| votes.granted.contains(&n.id)).count();
        if count < members.quorum() {
            return;
        }
        if matches!(self.part, RoleState::PreCandidate(_)) {
            self.ask_votes(false);
        } else {
            self.lead();
        }
    }

    /// Tells whether a candidate's log holds all that this replica's log holds.
    fn is_current(&self, candidacy: VoteRequest) -> bool {
        let own: (_, LogIndex) = (self.log.last_term(), self.log.last());
        (candidacy.last_term, candidacy.last_index) >= own
    }

    /// Answers a request for a pre-vote.
    pub(super) fn receive_pre_vote(&mut self, from: &Node, candidacy: VoteRequest) {
        let granted =
            !self.in_lease() && candidacy.term > self.hard.term && self.is_current(candidacy);
        let reply = VoteReply { term: candidacy.term, granted };
        self.send(from, Gate::Hard, Body::PreVoteReply(reply));
    }

    /// Answers a request for a vote in this term.
    pub(super) fn receive_vote(&mut self, from: &Node, candidacy: VoteRequest) {
        let free = self.hard.vote.is_none_or(|v| v == from.id);
        let granted = free
            && candidacy.term == self.hard.term
            && self.leader.is_none()
            && self.is_current(candidacy);
        if granted {
            self.set_hard(HardState { vote: Some(from.id), ..self.hard });
            self.arm_election();
        }
        let reply = VoteReply { term: candidacy.term, granted };
        self.send(from, Gate::All, Body::VoteReply(reply));
    }

    /// Takes in an answer to a request for a pre-vote.
    pub(super) fn receive_pre_vote_reply(&mut self, from: &Node, reply: VoteReply) {
        let wanted = reply.term.0 == self.hard.term.0 + 1;
        if reply.granted && wanted && matches!(self.part, RoleState::PreCandidate(_)) {
            self.count_vote(from.id);
        }
    }

    /// Takes in an answer to a request for a vote.
    pub(super) fn receive_vote_reply(&mut self, from: &Node, reply: VoteReply) {
        let wanted = reply.term == self.hard.term;
        if reply.granted && wanted && matches!(self.part, RoleState::Candidate(_)) {
            self.count_vote(from.id);
        }
    }
}
