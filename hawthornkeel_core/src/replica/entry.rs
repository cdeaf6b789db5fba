//! Persistent data of a replica: log entries, hard state, snapshots and members.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::names::InstanceName;

/// Identifier of a group of replicas, generated at random when the group is bootstrapped.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

/// Identifier of a proposal, chosen by the proposer and unique among its pending proposals.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalId(pub u64);

/// Identifier of a read, chosen by the reader and unique among its pending reads.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReadId(pub u64);

/// Sequence number of a save, incremented by one for each.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SaveSeq(pub u64);

/// One replica, identified by its data folder and the name of its instance.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Identifier of its data folder.
    pub id: ReplicaId,
    /// Name of the instance that it runs in.
    pub name: InstanceName,
}

/// Whether a member votes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberKind {
    /// Receives the log, but does not vote and does not count towards a quorum.
    Learner,
    /// Votes and counts towards a quorum.
    Voter,
}

/// Member of the group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Replica.
    pub node: Node,
    /// Whether it votes.
    #[serde(rename = "standing")]
    pub kind: MemberKind,
}

/// Members of the group.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Members(pub Vec<Member>);

impl Members {
    /// Returns the member with the given identifier.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|m| m.node.id == id)
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Node> {
        self.0.iter().filter(|m| m.kind == MemberKind::Voter).map(|m| &m.node)
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Returns the number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: the first entry that each leader appends in its term.
    Noop,
    /// Command for the replicated state, opaque to the log.
    Command(Bytes),
    /// New members, which take effect as soon as the entry is in the log.
    Members(Members),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry in a message or on disk, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 48;
        OVERHEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(data) => data.len(),
                Payload::Members(members) => members.0.len() * MEMBER_BYTES,
            }
    }
}

/// State that must be on disk before a replica sends messages that depend on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// Group of the replica, if it belongs to one.
    pub group: Option<GroupId>,
    /// Latest term seen.
    pub term: Term,
    /// Candidate that received the vote in this term.
    pub vote: Option<ReplicaId>,
}

/// Snapshot of the replicated state as of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub members: Members,
    /// Serialized state, opaque to the log.
    pub data: Bytes,
}

/// State that a replica recovers from its disk at startup.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PersistedState {
    /// Hard state, the default for an empty disk.
    pub hard: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Log entries in order and without gaps.
    pub entries: Vec<Entry>,
}
