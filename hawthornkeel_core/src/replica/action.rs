//! Inputs, actions and status of a replica.

use bytes::Bytes;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::names::InstanceName;
use crate::replica::entry::Entry;
use crate::replica::entry::HardState;
use crate::replica::entry::Members;
use crate::replica::entry::Node;
use crate::replica::entry::ProposalId;
use crate::replica::entry::ReadId;
use crate::replica::entry::SaveSeq;
use crate::replica::entry::Snapshot;
use crate::replica::message::Message;

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// A timer is due, see [`Replica::next_tick`](crate::replica::Replica::next_tick).
    Tick,
    /// A message was received.
    ///
    /// The caller has authenticated the sender under the name in the message and checked that the
    /// sending instance has the control role: the leader adds any replica that announces itself as
    /// a learner.
    Message(Message),
    /// A save and all earlier ones are on disk.
    Synced {
        /// Sequence number of the save.
        seq: SaveSeq,
    },
    /// Commands to replicate, in this order.
    Propose(Vec<Proposal>),
    /// A linearizable read.
    Read(ReadId),
    /// A membership change.
    ChangeMembers(ProposalId, MembershipChange),
    /// Requests a leadership transfer before a planned stop, to a voter that has the whole log.
    ///
    /// The leader rejects proposals and reads from now on. If no voter is ready within an election
    /// timeout, it resumes as the leader. Other replicas ignore this input, and so does a leader if
    /// all other voters are unresponsive or about to stop themselves.
    TransferLeadership,
    /// Asks, before a planned stop, for a learner to get the vote of this replica while it runs.
    ///
    /// The replica goes on taking part, and sees in the log who votes. A leader leads on until its
    /// leadership is transferred.
    Withdraw,
    /// Snapshot of the replicated state, as requested by [`Action::TakeSnapshot`].
    Snapshot {
        /// Index of the last entry included.
        index: LogIndex,
        /// Serialized state, opaque to the log.
        data: Bytes,
    },
}

/// Command to replicate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Identifier that the actions about its outcome carry.
    pub id: ProposalId,
    /// Serialized command, opaque to the log.
    pub data: Bytes,
}

/// Membership change. Only one can be in progress at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a learner.
    Add(Node),
    /// Promotes a learner that has caught up to a voter.
    Promote(ReplicaId),
    /// Makes a voter other than the leader a learner.
    Demote(ReplicaId),
    /// Removes a member other than the leader.
    ///
    /// A removed replica that is still running announces itself, is added again as a learner, and
    /// becomes a voter again if the [`VoterPolicy`](crate::replica::VoterPolicy) allows it. Stop
    /// it, or remove it from the settings, before removing it here.
    Remove(ReplicaId),
}

/// Action of a replica. Actions are executed in order and before the next input is handled.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write to disk and sync, then report the sequence number with [`Input::Synced`].
    ///
    /// Saves are written in order and several may share one sync. A failed save is never reported
    /// as synced and no save may follow it: the process stops.
    Save {
        /// Sequence number of the save.
        seq: SaveSeq,
        /// Data to write.
        save: Save,
    },
    /// Send a message. It may be lost, duplicated or reordered.
    Send {
        /// Instance to send to.
        to: InstanceName,
        /// Message.
        message: Message,
    },
    /// Apply committed entries to the replicated state.
    Apply(Vec<CommittedEntry>),
    /// Replace the replicated state with the state of a snapshot.
    Restore(Snapshot),
    /// Provide the replicated state with [`Input::Snapshot`], now or later.
    TakeSnapshot,
    /// Report to the proposer that its command will never be applied.
    ProposalRejected {
        /// Identifier of the proposal.
        id: ProposalId,
        /// Reason.
        reason: RejectReason,
    },
    /// Report to the proposer that it is unknown whether its command will be applied.
    OutcomeUnknown {
        /// Identifier of the proposal.
        id: ProposalId,
    },
    /// Answer a read from the current replicated state.
    ReadReady {
        /// Identifier of the read.
        id: ReadId,
    },
    /// Report to the reader that this replica can't answer.
    ReadRejected {
        /// Identifier of the read.
        id: ReadId,
        /// Reason.
        reason: RejectReason,
    },
    /// Role, term, leader or members changed; used for logging and redirects.
    StatusChanged(Status),
}

/// Data that a save writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Save {
    /// Hard state and log entries.
    Log {
        /// New hard state, if it changed.
        hard: Option<HardState>,
        /// Index from which on entries are deleted before the new ones are appended.
        truncate: Option<LogIndex>,
        /// Entries to append to the log.
        entries: Vec<Entry>,
    },
    /// Snapshot, which replaces the previous one.
    Snapshot {
        /// Snapshot.
        snapshot: Snapshot,
        /// Log entries that are retained.
        retention: LogRetention,
    },
}

/// Log entries that are retained after a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogRetention {
    /// Retains the entries from this index on. Earlier ones may be deleted.
    ///
    /// Nothing waits for such a snapshot: it may reach the disk after later saves, as long as the
    /// old entries and the previous snapshot are deleted only after that.
    From(LogIndex),
    /// Deletes all entries. The log continues after the snapshot.
    Nothing,
}

/// Committed entry to apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommittedEntry {
    /// Entry.
    pub entry: Entry,
    /// Proposal of this replica that the entry came from, if any.
    pub proposal: Option<ProposalId>,
}

/// Reason why a proposal or a read is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// This replica is not the leader; carries the leader if it is known.
    NotLeader(Option<Node>),
    /// Too many bytes of proposals are pending.
    Busy,
    /// The leader got no valid lease within the read timeout.
    NoLease,
    /// The membership change is invalid or not possible at the moment.
    ChangeNotAllowed,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Does not belong to a group.
    #[default]
    Empty,
    /// Follows a leader or waits for one to be elected.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group in its term.
    Leader,
}

/// Status of a replica, used for logging, redirects and operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the current term, if known.
    pub leader: Option<Node>,
    /// Index of the last entry known to be committed, which was emitted to be applied.
    pub commit: LogIndex,
    /// Index of the last log entry.
    pub last_index: LogIndex,
    /// Current members, committed or not.
    pub members: Members,
}
