//! What a leader does: heartbeats, lease, proposals, commits and reads.

use bytes::Bytes;

use crate::ids::LogIndex;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::action::Action;
use crate::replica::action::LogRetention;
use crate::replica::action::Proposal;
use crate::replica::action::RejectReason;
use crate::replica::action::Save;
use crate::replica::entry::Node;
use crate::replica::entry::Payload;
use crate::replica::entry::ReadId;
use crate::replica::entry::Snapshot;
use crate::replica::leader_state::Leader;
use crate::replica::leader_state::Reader;
use crate::replica::log;
use crate::replica::message::Body;
use crate::replica::message::Heartbeat;
use crate::replica::message::HeartbeatReply;
use crate::replica::persistence::Gate;
use crate::time::Instant;

impl Replica {
    /// Begins to lead.
    pub(super) fn lead(&mut self) {
        let before = self.log.last();
        let mut leader = Leader::new(log::next(before), self.now);
        leader.set_members(&self.log.members(), self.node.id, before, self.now);
        self.part = RoleState::Leader(Box::new(leader));
        self.leader = Some(self.node.clone());
        // Entries of older terms are committed only by one of the own term after them.
        self.add_entry(Payload::Noop);
        self.advance_leader();
    }

    /// Ceases to lead or to stand for election.
    pub(super) fn step_down(&mut self) {
        let part = std::mem::replace(&mut self.part, RoleState::Follower);
        let RoleState::Leader(leader) = part else { return };
        self.leader = None;
        self.arm_election();
        self.actions.extend(leader.open_proposals().map(|id| Action::OutcomeUnknown { id }));
        let refused = leader.readers.iter().map(|reader| Action::ReadRejected {
            id: reader.id,
            reason: RejectReason::NotLeader(None),
        });
        self.actions.extend(refused);
    }

    /// Does what has become due for a leader.
    pub(super) fn advance_leader(&mut self) {
        if !self.hears_quorum() {
            self.step_down();
            return;
        }
        let RoleState::Leader(leader) = &mut self.part else { return };
        if leader.beat_at > self.now {
            return;
        }
        leader.beat_at = self.now + self.settings.heartbeat_interval;
        self.beat();
        self.refuse_late_readers();
        self.repair_members();
        self.replicate();
        self.hand_over();
    }

    /// Sends a round of heartbeats.
    fn beat(&mut self) {
        let RoleState::Leader(leader) = &mut self.part else { return };
        let round = leader.start_round(self.now, self.settings.election_timeout);
        let commit = self.commit;
        let matched: Vec<_> = leader.peers.iter().map(|(id, p)| (*id, p.matched)).collect();
        let members = self.log.members();
        for (id, matched) in matched {
            if let Some(member) = members.get(id) {
                let heartbeat = Heartbeat { round, commit: commit.min(matched) };
                self.send(&member.node, Gate::Free, Body::Heartbeat(heartbeat));
            }
        }
    }

    /// Takes in an answer to a heartbeat.
    pub(super) fn receive_heartbeat_reply(&mut self, from: &Node, reply: HeartbeatReply) {
        let RoleState::Leader(leader) = &mut self.part else { return };
        let sent = leader.round_sent(reply.round);
        let Some(progress) = leader.peers.get_mut(&from.id) else { return };
        progress.heard = self.now;
        progress.acked = progress.acked.max(sent);
        self.serve_readers();
        self.replicate_to(from.id);
    }

    /// Returns the latest point from which a quorum of the voters is known to have followed.
    fn quorum_acked(&self, leader: &Leader) -> Option<Instant> {
        let own = self.node.id;
        let value = |id| match leader.peers.get(&id) {
            Some(progress) => progress.acked,
            None if id == own => Some(self.now),
            None => None,
        };
        leader.quorum_value(&self.log.members(), value).flatten()
    }

    /// Tells whether the lease of `leader` stands at `now`.
    ///
    /// It is counted from the sending of the heartbeats, which is before the followers' receipt.
    pub(super) fn lease_stands(&self, leader: &Leader, now: Instant) -> bool {
        let length = self.settings.election_timeout.saturating_sub(self.settings.clock_drift);
        self.quorum_acked(leader).is_some_and(|acked| now < acked + length)
    }

    /// Tells whether a quorum of the voters answered within an election time.
    fn hears_quorum(&self) -> bool {
        let RoleState::Leader(leader) = &self.part else { return false };
        let since = self.quorum_acked(leader).map_or(leader.since, |a| a.max(leader.since));
        self.now.since(since) <= self.settings.election_timeout
    }

    /// Takes in commands to replicate.
    pub(super) fn propose(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let reason = match &self.part {
                RoleState::Leader(leader) if leader.hand_until.is_some() => {
                    RejectReason::NotLeader(None)
                }
                RoleState::Leader(leader) if leader.pending_bytes < self.settings.pending_bytes => {
                    let index = self.add_entry(Payload::Command(proposal.data));
                    self.note_proposal(index, proposal.id);
                    continue;
                }
                RoleState::Leader(_) => RejectReason::Busy,
                _ => RejectReason::NotLeader(self.leader.clone()),
            };
            self.actions.push(Action::ProposalRejected { id: proposal.id, reason });
        }
        self.replicate();
    }

    /// Notes that the entry at `index` was proposed here.
    pub(super) fn note_proposal(&mut self, index: LogIndex, id: crate::replica::ProposalId) {
        let size = self.log.get(index).map_or(0, |e| e.size());
        let RoleState::Leader(leader) = &mut self.part else { return };
        leader.add_proposal(index, id);
        leader.pending_bytes += size;
    }

    /// Commits what a quorum of the voters has on disk.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.part else { return };
        let own = self.node.id;
        let durable = self.saves.durable();
        let value = |id| match leader.peers.get(&id) {
            Some(progress) => progress.matched,
            None if id == own => durable,
            None => LogIndex(0),
        };
        let Some(index) = leader.quorum_value(&self.log.members(), value) else { return };
        // An entry of an older term may still be replaced although a quorum has it.
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.apply(index);
            self.serve_readers();
        }
    }

    /// Takes in a linearizable read.
    pub(super) fn read(&mut self, id: ReadId) {
        if let RoleState::Leader(leader) = &mut self.part
            && leader.hand_until.is_none()
        {
            leader.readers.push_back(Reader { id, since: self.now });
            self.serve_readers();
        } else {
            let reason = RejectReason::NotLeader(self.leader.clone());
            self.actions.push(Action::ReadRejected { id, reason });
        }
    }

    /// Answers the reads if the lease stands and the state holds all that was committed before.
    fn serve_readers(&mut self) {
        let RoleState::Leader(leader) = &self.part else { return };
        if self.commit < leader.first || !self.lease_stands(leader, self.now) {
            return;
        }
        let RoleState::Leader(leader) = &mut self.part else { return };
        let ready = leader.readers.drain(..).map(|reader| Action::ReadReady { id: reader.id });
        self.actions.extend(ready);
    }

    /// Refuses reads for which the lease did not stand in time.
    fn refuse_late_readers(&mut self) {
        let RoleState::Leader(leader) = &mut self.part else { return };
        let wait = self.settings.read_timeout;
        while let Some(reader) = leader.readers.front().copied() {
            if self.now.since(reader.since) < wait {
                return;
            }
            leader.readers.pop_front();
            self.actions
                .push(Action::ReadRejected { id: reader.id, reason: RejectReason::NoLease });
        }
    }

    /// Asks for the replicated state if enough was applied since the last snapshot.
    pub(super) fn ask_snapshot(&mut self) {
        let (since, bytes) =
            self.snapshot.as_ref().map_or((LogIndex(0), 0), |s| (s.index, s.data.len()));
        let entries = self.commit.0 - since.0;
        // A large state is written only as often as the log grows by its size.
        if !self.asked && entries >= self.settings.snapshot_entries && self.grown >= bytes {
            self.asked = true;
            self.actions.push(Action::TakeSnapshot);
        }
    }

    /// Takes in the replicated state as of `index`, and drops the log that it replaces.
    pub(super) fn take_snapshot(&mut self, index: LogIndex, data: Bytes) {
        self.asked = false;
        let known = self.snapshot.as_ref().is_some_and(|s| s.index >= index);
        let Some(term) = self.log.term(index) else { return };
        if known || index > self.commit {
            return;
        }
        let members = self.log.members_at(index);
        let snapshot = Snapshot { index, term, members, data };
        let drop = LogIndex(index.0.saturating_sub(self.settings.retain_entries));
        self.save_log();
        self.log.compact(drop);
        self.log.forget_members(index);
        self.snapshot = Some(snapshot.clone());
        self.grown = 0;
        let seq = self.saves.issue(self.log.last());
        let save = Save::Snapshot { snapshot, retention: LogRetention::From(log::next(drop)) };
        self.actions.push(Action::Save { seq, save });
    }
}
