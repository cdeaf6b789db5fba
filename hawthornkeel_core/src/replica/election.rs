//! Elections: pre-votes, votes and the time during which none is granted.

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
use crate::replica::persistence::SyncBarrier;

/// Longest time by which an overdue pre-vote is put off, in election timeouts.
const MAX_DEFERRAL: f64 = 0.4;
/// Factor by which a learner, or a voter that is about to stop, waits longer before it starts a
/// pre-vote.
///
/// It is a candidate nevertheless, as it may be the only one left with the newest entry.
const LAST_RESORT_FACTOR: u32 = 2;

/// Votes or pre-votes granted to a candidate.
#[derive(Debug, Default)]
pub(super) struct Votes {
    granted: IndexSet<ReplicaId>,
}

impl Replica {
    /// Resets the election timer to a random time.
    pub(super) fn reset_election_timer(&mut self) {
        let mut timeout = self.settings.election_timeout;
        if self.leaving || !self.log.members().is_voter(self.node.id) {
            timeout *= LAST_RESORT_FACTOR;
        }
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_at = self.now + timeout + timeout.mul_f64(jitter);
        self.election_deferred = false;
    }

    /// Starts a pre-vote, or puts it off by a random time if its timer fired late.
    ///
    /// What stalls one replica mostly stalls the others too. Their timers are all overdue then, so
    /// they would become candidates at the same moment and split the votes.
    pub(super) fn election_due(&mut self) {
        let is_late = self.now.since(self.election_at) > self.settings.heartbeat_interval / 2;
        if !is_late || self.election_deferred {
            self.start_pre_vote();
            return;
        }
        let delay = self.settings.election_timeout.mul_f64(MAX_DEFERRAL);
        self.election_at = self.now + delay.mul_f64(self.rng.random_range(0.0..1.0));
        self.election_deferred = true;
    }

    /// Returns whether a leader may still hold a lease based on a reply of this replica.
    pub(super) fn in_lease(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
            || self.last_contact.is_some_and(|c| self.now.since(c) < self.settings.election_timeout)
    }

    /// Starts a pre-vote if this replica is a member.
    ///
    /// Learners are candidates as well, although their own vote does not count. A learner may be
    /// the only replica left with the newest entry, and then it votes for nobody else. Without its
    /// candidacy, nobody might be electable after the loss of the leader's disk.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        // Others may only deny it because they heard the last leader or started a moment later.
        let jitter = self.rng.random_range(1.0..2.0);
        let retry = self.settings.heartbeat_interval.mul_f64(jitter);
        self.election_at = self.election_at.min(self.now + retry);
        self.leader = None;
        let members = self.log.members();
        // A voter whose pre-vote got no quorum may have been removed while it was unreachable.
        let no_quorum = matches!(self.role_state, RoleState::PreCandidate(_));
        if no_quorum || !members.is_voter(self.node.id) {
            self.request_membership();
        }
        if members.get(self.node.id).is_none() {
            self.role_state = RoleState::Follower;
            return;
        }
        self.role_state = RoleState::PreCandidate(Votes::default());
        let request = self.vote_request();
        self.send_to_voters(SyncBarrier::None, Body::PreVote(request));
        self.count_vote(self.node.id);
    }

    /// Returns this replica's vote request for the next term.
    fn vote_request(&self) -> VoteRequest {
        VoteRequest {
            term: crate::ids::Term(self.hard.term.0 + 1),
            last_index: self.log.last(),
            last_term: self.log.last_term(),
            transfer: false,
        }
    }

    /// Sends a message to the other voters.
    fn send_to_voters(&mut self, barrier: SyncBarrier, body: Body) {
        for node in self.log.members().voters() {
            if node.id != self.node.id {
                self.send(node, barrier, body.clone());
            }
        }
    }

    /// Increments the term, votes for itself and requests votes.
    pub(super) fn start_election(&mut self, transfer: bool) {
        let request = VoteRequest { transfer, ..self.vote_request() };
        let vote = Some(self.node.id);
        self.set_hard(HardState { term: request.term, vote, ..self.hard });
        self.role_state = RoleState::Candidate(Votes::default());
        self.reset_election_timer();
        // The own vote and the log that the request describes must survive a restart.
        self.send_to_voters(SyncBarrier::All, Body::Vote(request));
        self.save_log();
        self.count_own_vote();
    }

    /// Counts the own vote once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        if self.persistence.is_synced(self.persistence.barrier_seq(SyncBarrier::HardState)) {
            self.count_vote(self.node.id);
        }
    }

    /// Counts a vote or pre-vote, and proceeds once a quorum of the voters has granted theirs.
    fn count_vote(&mut self, from: ReplicaId) {
        let members = self.log.members();
        let (RoleState::PreCandidate(votes) | RoleState::Candidate(votes)) = &mut self.role_state
        else {
            return;
        };
        votes.granted.insert(from);
        let count = members.voters().filter(|n| votes.granted.contains(&n.id)).count();
        if count < members.quorum() {
            return;
        }
        if matches!(self.role_state, RoleState::PreCandidate(_)) {
            self.start_election(false);
        } else {
            self.become_leader();
        }
    }

    /// Returns whether a candidate's log is at least as up to date as this replica's log.
    fn is_log_up_to_date(&self, request: VoteRequest) -> bool {
        let own: (_, LogIndex) = (self.log.last_term(), self.log.last());
        (request.last_term, request.last_index) >= own
    }

    /// Replies to a pre-vote request.
    pub(super) fn receive_pre_vote(&mut self, from: &Node, request: VoteRequest) {
        let granted =
            !self.in_lease() && request.term > self.hard.term && self.is_log_up_to_date(request);
        let reply = VoteReply { term: request.term, granted };
        self.send(from, SyncBarrier::HardState, Body::PreVoteReply(reply));
    }

    /// Replies to a vote request for the current term.
    pub(super) fn receive_vote(&mut self, from: &Node, request: VoteRequest) {
        let can_vote = self.hard.vote.is_none_or(|v| v == from.id);
        let granted = can_vote
            && request.term == self.hard.term
            && self.leader.is_none()
            && self.is_log_up_to_date(request);
        if granted {
            self.set_hard(HardState { vote: Some(from.id), ..self.hard });
            self.reset_election_timer();
        }
        let reply = VoteReply { term: request.term, granted };
        self.send(from, SyncBarrier::All, Body::VoteReply(reply));
    }

    /// Handles the reply to a pre-vote request.
    pub(super) fn receive_pre_vote_reply(&mut self, from: &Node, reply: VoteReply) {
        let current = reply.term.0 == self.hard.term.0 + 1;
        if reply.granted && current && matches!(self.role_state, RoleState::PreCandidate(_)) {
            self.count_vote(from.id);
        }
    }

    /// Handles the reply to a vote request.
    pub(super) fn receive_vote_reply(&mut self, from: &Node, reply: VoteReply) {
        let current = reply.term == self.hard.term;
        if reply.granted && current && matches!(self.role_state, RoleState::Candidate(_)) {
            self.count_vote(from.id);
        }
    }
}
