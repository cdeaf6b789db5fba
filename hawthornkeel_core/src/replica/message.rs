//! Messages between replicas.

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
    /// Sender: its name must be the one that the connection is authenticated for.
    pub from: Node,
    /// Identity of the receiver, or `None` where the sender knows only its name.
    pub to: Option<ReplicaId>,
    /// Group of the sender, if it has one.
    pub group: Option<GroupId>,
    /// Term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Announces a replica that is not a member of a group.
    Hello,
    /// Answers a hello.
    HelloReply(HelloReply),
    /// Asks whether a vote would be given, without a change of term.
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote request.
    VoteReply(VoteReply),
    /// Asks a voter to stand for election at once; the leader has given up its lease.
    #[serde(rename = "TakeOver")]
    TimeoutNow,
    /// Renews the leader's lease.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// Carries log entries.
    Append(Append),
    /// Answers log entries, once they are on disk.
    AppendReply(AppendReply),
    /// Carries a part of a snapshot.
    #[serde(rename = "Part")]
    SnapshotChunk(SnapshotChunk),
    /// Answers a part of a snapshot.
    #[serde(rename = "PartReply")]
    SnapshotChunkReply(SnapshotChunkReply),
}

/// Answer to a hello.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum HelloReply {
    /// The sender belongs to no group either.
    Empty,
    /// The sender belongs to a group.
    Member {
        /// What the receiver of this answer is to that group.
        #[serde(rename = "place")]
        membership: Membership,
        /// Leader of the group, if known.
        leader: Option<Node>,
    },
}

/// What a replica without a group is to a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Membership {
    /// Not a member.
    #[serde(rename = "Stranger")]
    NonMember,
    /// A member of this group that has not taken part yet.
    Member(GroupId),
    /// One of the first members, while the log still begins with them.
    Founder(BootstrapConfig),
}

/// Founding record: the first members of a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BootstrapConfig {
    /// Identity of the group.
    pub group: GroupId,
    /// First members, all voters.
    pub members: Members,
}

/// Request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term that the candidate would lead.
    pub term: Term,
    /// Last entry of the candidate's log.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Whether the leader of the term before has given up its lease for this candidate.
    #[serde(rename = "handed")]
    pub transfer: bool,
}

/// Answer to a request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Term that was asked for.
    pub term: Term,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Heartbeat of a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the round, which the answer repeats.
    pub round: u64,
    /// Last entry that is committed and that the receiver is known to have.
    pub commit: LogIndex,
}

/// Answer to a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Number of the round.
    pub round: u64,
}

/// Log entries for a follower.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// Position of the entry before the first one carried.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: Term,
    /// Last entry that is committed.
    pub commit: LogIndex,
    /// Entries in order.
    pub entries: Vec<Entry>,
}

/// Answer to log entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendReply {
    /// The follower has the leader's log up to this position on disk.
    Stored(LogIndex),
    /// The follower's log differs at `prev`; the leader may go on from `hint`.
    #[serde(rename = "Differs")]
    Mismatch {
        /// Position that was asked about.
        prev: LogIndex,
        /// Last position at which the logs may agree.
        hint: LogIndex,
    },
}

/// Part of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Members as of that entry.
    pub members: Members,
    /// Offset of the part, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot, in bytes.
    pub total: u64,
    /// Data of the part.
    pub data: Bytes,
}

/// Answer to a part of a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunkReply {
    /// Last entry that the snapshot includes.
    pub index: LogIndex,
    /// Bytes received so far without gaps.
    pub received: u64,
}
