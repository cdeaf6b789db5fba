//! Messages between replicas of a group.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::replica::entry::Entry;
use crate::replica::entry::GroupId;
use crate::replica::entry::Members;
use crate::replica::entry::Node;

/// Message from one replica to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Sender. Its name must match the authenticated peer of the connection.
    pub from: Node,
    /// Identifier of the receiver, or `None` if the sender knows only its name.
    pub to: Option<ReplicaId>,
    /// Group of the sender, if it belongs to one.
    pub group: Option<GroupId>,
    /// Term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Announces a replica that is not, or may no longer be, a member of a group.
    ///
    /// With the receiver's identifier, which only members know, it announces that the sender is
    /// about to stop. Builds that don't know this take it for the other announcement, which does
    /// nothing at a leader that has the sender as a member.
    Hello,
    /// Replies to `Hello`.
    HelloReply(HelloReply),
    /// Asks whether a vote would be granted, without incrementing the term.
    PreVote(VoteRequest),
    /// Replies to `PreVote`.
    PreVoteReply(VoteReply),
    /// Requests a vote.
    Vote(VoteRequest),
    /// Replies to `Vote`.
    VoteReply(VoteReply),
    /// Asks a voter to start an election at once. The leader has given up its lease.
    #[serde(rename = "TakeOver")]
    TimeoutNow,
    /// Extends the leader's lease and announces the commit index.
    Heartbeat(Heartbeat),
    /// Replies to `Heartbeat`.
    HeartbeatReply(HeartbeatReply),
    /// Carries log entries.
    Append(Append),
    /// Replies to `Append`, once the entries are on disk.
    AppendReply(AppendReply),
    /// Carries a chunk of a snapshot.
    #[serde(rename = "Part")]
    SnapshotChunk(SnapshotChunk),
    /// Replies to `SnapshotChunk`.
    #[serde(rename = "PartReply")]
    SnapshotChunkReply(SnapshotChunkReply),
}

/// Reply to [`Body::Hello`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum HelloReply {
    /// The sender does not belong to a group either.
    Empty,
    /// The sender belongs to a group.
    Member {
        /// Membership of the receiver in that group.
        #[serde(rename = "place")]
        membership: Membership,
        /// Leader of the group, if known.
        leader: Option<Node>,
    },
}

/// Membership of a replica in the group of the sender.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Membership {
    /// Not a member.
    #[serde(rename = "Stranger")]
    NonMember,
    /// Member of this group that has not joined yet.
    Member(GroupId),
    /// One of the first members. Only used while the log still starts with the entry that lists
    /// them.
    Founder(BootstrapConfig),
}

/// Initial configuration of a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BootstrapConfig {
    /// Identifier of the group.
    pub group: GroupId,
    /// First members, all voters.
    pub members: Members,
}

/// Vote or pre-vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term of the election.
    pub term: Term,
    /// Index of the last entry in the candidate's log.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Whether the previous leader gave up its lease in a leadership transfer to this candidate.
    #[serde(rename = "handed")]
    pub transfer: bool,
}

/// Reply to a vote or pre-vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Term of the request.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Heartbeat of a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the heartbeat round, echoed in the reply.
    pub round: u64,
    /// Index of the last committed entry that the receiver is known to have.
    pub commit: LogIndex,
}

/// Reply to a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Number of the heartbeat round.
    pub round: u64,
}

/// Log entries sent to a follower.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// Index of the entry before `entries`.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: Term,
    /// Index of the last committed entry.
    pub commit: LogIndex,
    /// Entries in order.
    pub entries: Vec<Entry>,
}

/// Reply to log entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendReply {
    /// The follower has the leader's log up to this index on disk.
    Stored(LogIndex),
    /// The follower's log does not match at `prev`; the leader may continue after `hint`.
    #[serde(rename = "Differs")]
    Mismatch {
        /// Index that was compared.
        prev: LogIndex,
        /// Last index at which the logs may match.
        hint: LogIndex,
    },
}

/// Chunk of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Members as of that entry.
    pub members: Members,
    /// Offset of the chunk, in bytes.
    pub offset: u64,
    /// Total size of the snapshot, in bytes.
    pub total: u64,
    /// Content of the chunk.
    pub data: Bytes,
}

/// Reply to a chunk of a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunkReply {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Contiguous bytes received so far.
    pub received: u64,
}
