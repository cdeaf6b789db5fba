//! Leader: heartbeats, lease, proposals, commits, reads and snapshots.

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
use crate::replica::leader_state::LeaderState;
use crate::replica::leader_state::PendingRead;
use crate::replica::log;
use crate::replica::message::Body;
use crate::replica::message::Heartbeat;
use crate::replica::message::HeartbeatReply;
use crate::replica::persistence::SyncBarrier;
use crate::time::Instant;

impl Replica {
    /// Becomes the leader of the current term.
    pub(super) fn become_leader(&mut self) {
        let last = self.log.last();
        let mut leader = LeaderState::new(log::next(last), self.now);
        leader.set_members(&self.log.members(), self.node.id, last, self.now);
        self.role_state = RoleState::Leader(Box::new(leader));
        self.leader = Some(self.node.clone());
        // Entries of earlier terms are committed only together with an entry of this term.
        self.add_entry(Payload::Noop);
        self.advance_leader();
    }

    /// Becomes a follower. A leader also ends its pending proposals and reads.
    pub(super) fn step_down(&mut self) {
        let role_state = std::mem::replace(&mut self.role_state, RoleState::Follower);
        let RoleState::Leader(leader) = role_state else { return };
        self.leader = None;
        self.reset_election_timer();
        self.actions.extend(leader.pending_proposals().map(|id| Action::OutcomeUnknown { id }));
        let rejected = leader.pending_reads.iter().map(|read| Action::ReadRejected {
            id: read.id,
            reason: RejectReason::NotLeader(None),
        });
        self.actions.extend(rejected);
    }

    /// Runs the timers of the leader.
    pub(super) fn advance_leader(&mut self) {
        if !self.has_quorum_contact() {
            self.step_down();
            return;
        }
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        if leader.heartbeat_at > self.now {
            return;
        }
        leader.heartbeat_at = self.now + self.settings.heartbeat_interval;
        self.send_heartbeats();
        self.reject_expired_reads();
        self.repair_members();
        self.replicate();
        self.try_transfer();
    }

    /// Sends a round of heartbeats to all other members.
    fn send_heartbeats(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let round = leader.start_round(self.now, self.settings.election_timeout);
        let commit = self.commit;
        let matched: Vec<_> = leader.peers.iter().map(|(id, p)| (*id, p.match_index)).collect();
        let members = self.log.members();
        for (id, matched) in matched {
            if let Some(member) = members.get(id) {
                let heartbeat = Heartbeat { round, commit: commit.min(matched) };
                self.send(&member.node, SyncBarrier::None, Body::Heartbeat(heartbeat));
            }
        }
    }

    /// Handles the reply to a heartbeat.
    pub(super) fn receive_heartbeat_reply(&mut self, from: &Node, reply: HeartbeatReply) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let sent = leader.round_sent(reply.round);
        let Some(progress) = leader.peers.get_mut(&from.id) else { return };
        progress.last_contact = self.now;
        progress.acked_at = progress.acked_at.max(sent);
        self.complete_reads();
        self.replicate_to(from.id);
    }

    /// Returns the latest time for which a quorum of the voters acknowledged a heartbeat sent then
    /// or later.
    fn quorum_acked_at(&self, leader: &LeaderState) -> Option<Instant> {
        let own = self.node.id;
        let value = |id| match leader.peers.get(&id) {
            Some(progress) => progress.acked_at,
            None if id == own => Some(self.now),
            None => None,
        };
        leader.quorum_value(&self.log.members(), value).flatten()
    }

    /// Returns whether the lease of `leader` is valid at `now`.
    ///
    /// It starts when the heartbeats are sent, which is before the followers receive them.
    pub(super) fn is_lease_valid(&self, leader: &LeaderState, now: Instant) -> bool {
        let duration = self.settings.election_timeout.saturating_sub(self.settings.clock_drift);
        self.quorum_acked_at(leader).is_some_and(|acked| now < acked + duration)
    }

    /// Returns whether a quorum of the voters acknowledged a heartbeat within an election timeout,
    /// or whether this replica was elected that recently.
    fn has_quorum_contact(&self) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        let since =
            self.quorum_acked_at(leader).map_or(leader.elected_at, |a| a.max(leader.elected_at));
        self.now.since(since) <= self.settings.election_timeout
    }

    /// Appends proposed commands to the log, or rejects them.
    pub(super) fn propose(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let reason = match &self.role_state {
                RoleState::Leader(leader) if leader.transfer_deadline.is_some() => {
                    RejectReason::NotLeader(None)
                }
                RoleState::Leader(leader) if leader.pending_bytes < self.settings.pending_bytes => {
                    let index = self.add_entry(Payload::Command(proposal.data));
                    self.track_proposal(index, proposal.id);
                    continue;
                }
                RoleState::Leader(_) => RejectReason::Busy,
                _ => RejectReason::NotLeader(self.leader.clone()),
            };
            self.actions.push(Action::ProposalRejected { id: proposal.id, reason });
        }
        self.replicate();
    }

    /// Records that the entry at `index` came from a proposal.
    pub(super) fn track_proposal(&mut self, index: LogIndex, id: crate::replica::ProposalId) {
        let size = self.log.get(index).map_or(0, |e| e.size());
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.add_proposal(index, id);
        leader.pending_bytes += size;
    }

    /// Commits the entries that a quorum of the voters has on disk.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let own = self.node.id;
        let durable = self.persistence.durable_index();
        let value = |id| match leader.peers.get(&id) {
            Some(progress) => progress.match_index,
            None if id == own => durable,
            None => LogIndex(0),
        };
        let Some(index) = leader.quorum_value(&self.log.members(), value) else { return };
        // An entry of an earlier term may still be replaced even if a quorum has it.
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            let changes_members = self.log.members_index() > self.commit;
            self.apply(index);
            self.complete_reads();
            if changes_members {
                // Amid a replacement all other voters are needed, so its end doesn't wait for a timer.
                self.repair_members();
            }
        }
    }

    /// Queues a linearizable read, or rejects it.
    pub(super) fn read(&mut self, id: ReadId) {
        if let RoleState::Leader(leader) = &mut self.role_state
            && leader.transfer_deadline.is_none()
        {
            leader.pending_reads.push_back(PendingRead { id, received_at: self.now });
            self.complete_reads();
        } else {
            let reason = RejectReason::NotLeader(self.leader.clone());
            self.actions.push(Action::ReadRejected { id, reason });
        }
    }

    /// Returns whether the lease of `leader` is valid at `now` and an entry of its term is committed.
    ///
    /// The replicated state then contains all entries that earlier leaders committed.
    pub(super) fn includes_commits(&self, leader: &LeaderState, now: Instant) -> bool {
        self.commit >= leader.term_start && self.is_lease_valid(leader, now)
    }

    /// Completes the pending reads if the replicated state contains all committed entries.
    fn complete_reads(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        if !self.includes_commits(leader, self.now) {
            return;
        }
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let ready = leader.pending_reads.drain(..).map(|read| Action::ReadReady { id: read.id });
        self.actions.extend(ready);
    }

    /// Rejects reads that waited for the lease longer than the read timeout.
    fn reject_expired_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let timeout = self.settings.read_timeout;
        while let Some(read) = leader.pending_reads.front().copied() {
            if self.now.since(read.received_at) < timeout {
                return;
            }
            leader.pending_reads.pop_front();
            self.actions.push(Action::ReadRejected { id: read.id, reason: RejectReason::NoLease });
        }
    }

    /// Requests a snapshot if enough entries, or entries of enough size, were applied since the last
    /// one.
    pub(super) fn request_snapshot(&mut self) {
        let (since, bytes) =
            self.snapshot.as_ref().map_or((LogIndex(0), 0), |s| (s.index, s.data.len()));
        let entries = self.commit.0 - since.0;
        let is_due = entries >= self.settings.snapshot_entries
            || self.applied_bytes >= self.settings.snapshot_bytes;
        // A large state is only written again once the applied entries reach its size.
        if !self.snapshot_requested && is_due && self.applied_bytes >= bytes {
            self.snapshot_requested = true;
            self.actions.push(Action::TakeSnapshot);
        }
    }

    /// Saves a snapshot of the replicated state as of `index`, and compacts the log.
    pub(super) fn store_snapshot(&mut self, index: LogIndex, data: Bytes) {
        self.snapshot_requested = false;
        let superseded = self.snapshot.as_ref().is_some_and(|s| s.index >= index);
        let Some(term) = self.log.term(index) else { return };
        if superseded || index > self.commit {
            return;
        }
        let members = self.log.members_at(index);
        let snapshot = Snapshot { index, term, members, data };
        let compacted = self.compaction_index(index);
        self.save_log();
        self.log.compact(compacted);
        self.log.drop_old_configs(index);
        self.snapshot = Some(snapshot.clone());
        self.applied_bytes = 0;
        let seq = self.persistence.issue_seq(self.log.last());
        let save = Save::Snapshot { snapshot, retention: LogRetention::From(log::next(compacted)) };
        self.actions.push(Action::Save { seq, save });
    }

    /// Returns the last entry that is dropped from the log with a snapshot at `index`.
    fn compaction_index(&self, index: LogIndex) -> LogIndex {
        let oldest = LogIndex(index.0.saturating_sub(self.settings.retain_entries));
        let mut compacted = index;
        let mut retained_bytes = 0;
        while compacted > oldest {
            let Some(entry) = self.log.get(compacted) else { break };
            retained_bytes += entry.size();
            if retained_bytes > self.settings.retain_bytes {
                break;
            }
            compacted = log::previous(compacted);
        }
        compacted
    }
}
