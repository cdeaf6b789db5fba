//! Volatile state of a leader.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::names::InstanceName;
use crate::replica::entry::Entry;
use crate::replica::entry::Members;
use crate::replica::entry::ProposalId;
use crate::replica::entry::ReadId;
use crate::replica::progress::Progress;
use crate::time::Instant;

/// Round of heartbeats that was sent.
#[derive(Clone, Copy, Debug)]
struct HeartbeatRound {
    number: u64,
    sent_at: Instant,
}

/// Proposal that is not committed.
#[derive(Clone, Copy, Debug)]
struct PendingProposal {
    index: LogIndex,
    id: ProposalId,
}

/// Read that waits for a valid lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    /// Identifier of the read.
    pub(super) id: ReadId,
    /// Time at which it was received.
    pub(super) received_at: Instant,
}

/// Volatile state of a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Time at which it became the leader.
    pub(super) elected_at: Instant,
    /// Index of the first entry of its term.
    pub(super) term_start: LogIndex,
    /// Time at which the next heartbeat is due.
    pub(super) heartbeat_at: Instant,
    /// Replication progress of the other members.
    pub(super) peers: IndexMap<ReplicaId, Progress>,
    /// Reads that wait for a valid lease.
    pub(super) pending_reads: VecDeque<PendingRead>,
    /// Replicas that announced themselves and are not members, by name.
    pub(super) joining: IndexMap<InstanceName, ReplicaId>,
    /// Time at which a leadership transfer in progress is aborted.
    pub(super) transfer_deadline: Option<Instant>,
    /// Size of the proposed entries that are not committed, in bytes.
    pub(super) pending_bytes: usize,
    rounds: VecDeque<HeartbeatRound>,
    proposals: VecDeque<PendingProposal>,
}

impl LeaderState {
    /// Creates the state of a leader whose first entry is at `term_start`.
    pub(super) fn new(term_start: LogIndex, now: Instant) -> Self {
        Self {
            elected_at: now,
            term_start,
            heartbeat_at: now,
            peers: IndexMap::new(),
            pending_reads: VecDeque::new(),
            joining: IndexMap::new(),
            transfer_deadline: None,
            pending_bytes: 0,
            rounds: VecDeque::new(),
            proposals: VecDeque::new(),
        }
    }

    /// Updates the peers to match the members. New ones start at the end of the log.
    pub(super) fn set_members(
        &mut self,
        members: &Members,
        own: ReplicaId,
        last: LogIndex,
        now: Instant,
    ) {
        self.peers.retain(|id, _| members.get(*id).is_some());
        for member in &members.0 {
            if member.node.id != own {
                self.peers.entry(member.node.id).or_insert_with(|| Progress::new(last, now));
            }
        }
    }

    /// Starts a round of heartbeats, drops those older than `max_age`, and returns its number.
    pub(super) fn start_round(&mut self, now: Instant, max_age: Duration) -> u64 {
        while self.rounds.front().is_some_and(|r| now.since(r.sent_at) > max_age) {
            self.rounds.pop_front();
        }
        let number = self.rounds.back().map_or(1, |r| r.number + 1);
        self.rounds.push_back(HeartbeatRound { number, sent_at: now });
        number
    }

    /// Returns the time at which a round was sent, if it is still known.
    pub(super) fn round_sent(&self, number: u64) -> Option<Instant> {
        self.rounds.iter().find(|r| r.number == number).map(|r| r.sent_at)
    }

    /// Records a proposal.
    pub(super) fn add_proposal(&mut self, index: LogIndex, id: ProposalId) {
        self.proposals.push_back(PendingProposal { index, id });
    }

    /// Removes and returns the proposal of a committed entry, if it came from one of this leader.
    pub(super) fn take_proposal(&mut self, entry: &Entry) -> Option<ProposalId> {
        let front = *self.proposals.front()?;
        if front.index != entry.index {
            return None;
        }
        self.proposals.pop_front();
        self.pending_bytes = self.pending_bytes.saturating_sub(entry.size());
        Some(front.id)
    }

    /// Returns the proposals whose entries are not committed.
    pub(super) fn pending_proposals(&self) -> impl Iterator<Item = ProposalId> {
        self.proposals.iter().map(|p| p.id)
    }

    /// Returns the highest value that a quorum of the voters has reached.
    pub(super) fn quorum_value<T: Copy + Ord>(
        &self,
        members: &Members,
        value: impl Fn(ReplicaId) -> T,
    ) -> Option<T> {
        let mut values: Vec<T> = members.voters().map(|n| value(n.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied()
    }
}
