//! What a leader keeps besides its log.

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

/// Round of heartbeats.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent: Instant,
}

/// Proposal that is not committed.
#[derive(Clone, Copy, Debug)]
struct Proposed {
    index: LogIndex,
    id: ProposalId,
}

/// Read that waits for the lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reader {
    /// Read.
    pub(super) id: ReadId,
    /// When it came in.
    pub(super) since: Instant,
}

/// What a leader keeps besides its log.
#[derive(Debug)]
pub(super) struct Leader {
    /// When it began to lead.
    pub(super) since: Instant,
    /// First entry of its own term.
    pub(super) first: LogIndex,
    /// When the next heartbeat is due.
    pub(super) beat_at: Instant,
    /// Members other than itself.
    pub(super) peers: IndexMap<ReplicaId, Progress>,
    /// Reads that wait for the lease.
    pub(super) readers: VecDeque<Reader>,
    /// Replicas without a group that announced themselves, by name.
    pub(super) joining: IndexMap<InstanceName, ReplicaId>,
    /// When to give up handing over, while that is under way.
    pub(super) hand_until: Option<Instant>,
    /// Proposals that are not committed, in bytes.
    pub(super) pending_bytes: usize,
    rounds: VecDeque<Round>,
    proposals: VecDeque<Proposed>,
}

impl Leader {
    /// Starts with the first entry of its own term at `first`.
    pub(super) fn new(first: LogIndex, now: Instant) -> Self {
        Self {
            since: now,
            first,
            beat_at: now,
            peers: IndexMap::new(),
            readers: VecDeque::new(),
            joining: IndexMap::new(),
            hand_until: None,
            pending_bytes: 0,
            rounds: VecDeque::new(),
            proposals: VecDeque::new(),
        }
    }

    /// Brings the peers in line with the members; new ones start at the end of the log.
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

    /// Starts a round of heartbeats and forgets those older than `keep`.
    pub(super) fn start_round(&mut self, now: Instant, keep: Duration) -> u64 {
        while self.rounds.front().is_some_and(|r| now.since(r.sent) > keep) {
            self.rounds.pop_front();
        }
        let number = self.rounds.back().map_or(1, |r| r.number + 1);
        self.rounds.push_back(Round { number, sent: now });
        number
    }

    /// Returns the sending time of a round, if it is still known.
    pub(super) fn round_sent(&self, number: u64) -> Option<Instant> {
        self.rounds.iter().find(|r| r.number == number).map(|r| r.sent)
    }

    /// Notes a proposal.
    pub(super) fn add_proposal(&mut self, index: LogIndex, id: ProposalId) {
        self.proposals.push_back(Proposed { index, id });
    }

    /// Takes the proposal of an entry that is now committed, if it was made here.
    pub(super) fn take_proposal(&mut self, entry: &Entry) -> Option<ProposalId> {
        let front = *self.proposals.front()?;
        if front.index != entry.index {
            return None;
        }
        self.proposals.pop_front();
        self.pending_bytes = self.pending_bytes.saturating_sub(entry.size());
        Some(front.id)
    }

    /// Returns the proposals that are not committed.
    pub(super) fn open_proposals(&self) -> impl Iterator<Item = ProposalId> {
        self.proposals.iter().map(|p| p.id)
    }

    /// Returns the value that a quorum of the voters has reached, given each one's value.
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
