//! Log entries, hard state, snapshots and members: what a replica keeps on its disk.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::names::InstanceName;

/// Identity of a group of replicas, drawn when the group forms.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

/// Number that a proposer gives to its proposal, unique among its pending ones.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalId(pub u64);

/// Number that a reader gives to its read, unique among its pending ones.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReadId(pub u64);

/// Number of a save, rising by one with each.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SaveSeq(pub u64);

/// One replica: the identity of its data folder and the name of its instance.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Identity of its data folder.
    pub id: ReplicaId,
    /// Instance that it runs in.
    pub name: InstanceName,
}

/// Part that a member plays in agreement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberKind {
    /// Receives the log, and neither votes nor counts.
    Learner,
    /// Votes and counts towards a quorum.
    Voter,
}

/// Member of the group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Replica.
    pub node: Node,
    /// Part that it plays.
    #[serde(rename = "standing")]
    pub kind: MemberKind,
}

/// Members of the group.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Members(pub Vec<Member>);

impl Members {
    /// Returns the member with the identity `id`.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|m| m.node.id == id)
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Node> {
        self.0.iter().filter(|m| m.kind == MemberKind::Voter).map(|m| &m.node)
    }

    /// Tells whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Returns the number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of each leader.
    Noop,
    /// Command of the replicated state, opaque to the log.
    Command(Bytes),
    /// Members of the group from this entry on.
    Members(Members),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Returns roughly the bytes that the entry takes in a message or on disk.
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

/// State that a replica must have on disk before it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// Group that the replica belongs to, if any.
    pub group: Option<GroupId>,
    /// Latest term seen.
    pub term: Term,
    /// Candidate voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// Replicated state up to a log position.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub members: Members,
    /// State, opaque to the log.
    pub data: Bytes,
}

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PersistedState {
    /// Hard state: the default one for an empty disk.
    pub hard: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Log entries in order, without gaps.
    pub entries: Vec<Entry>,
}
