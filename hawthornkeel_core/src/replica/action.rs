//! Inputs and actions of a replica.

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
    /// Time passed: due at [`Replica::next_tick`](crate::replica::Replica::next_tick) at the latest.
    Tick,
    /// A message came in.
    ///
    /// The caller has checked that the sender's certificate is for the name in it, and that this
    /// instance has the control role: the leader adds whoever announces itself as a learner.
    Message(Message),
    /// A save and all those before it are on disk.
    Synced {
        /// Number of the save.
        seq: SaveSeq,
    },
    /// Commands to replicate, in order.
    Propose(Vec<Proposal>),
    /// A linearizable read.
    Read(ReadId),
    /// A change of the members.
    ChangeMembers(ProposalId, MembershipChange),
    /// This replica is to stop: a leader hands over to a voter that has its whole log.
    ///
    /// It refuses proposals and reads from here on, and leads on after an election time in which
    /// no voter was ready.
    TransferLeadership,
    /// The replicated state as of an applied entry, asked for by [`Action::TakeSnapshot`].
    Snapshot {
        /// Last entry that the state includes.
        index: LogIndex,
        /// State, opaque to the log.
        data: Bytes,
    },
}

/// Command to replicate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Number that outcomes refer to.
    pub id: ProposalId,
    /// Command, opaque to the log.
    pub data: Bytes,
}

/// Change of the members, one at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a learner.
    Add(Node),
    /// Makes a learner a voter, which it can become only once it has caught up.
    Promote(ReplicaId),
    /// Removes a member other than the leader.
    ///
    /// A replica that goes on running announces itself and is added again as a learner, and as a
    /// voter if it is a founder's: it is stopped or taken out of the settings first.
    Remove(ReplicaId),
}

/// Action of a replica, to be carried out in order and before the next input is handed in.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write to disk and sync; then hand in [`Input::Synced`] with the ticket.
    ///
    /// Saves are carried out in order. Several may share one sync. A save that failed is never
    /// reported as synced and none follows it: the process stops.
    Save {
        /// Number of the save.
        seq: SaveSeq,
        /// What to write.
        save: Save,
    },
    /// Send a message, which may be lost, doubled or reordered.
    Send {
        /// Instance to send to.
        to: InstanceName,
        /// Message.
        message: Message,
    },
    /// Apply committed entries to the replicated state.
    Apply(Vec<CommittedEntry>),
    /// Replace the replicated state by a snapshot's.
    Restore(Snapshot),
    /// Hand in the replicated state by [`Input::Snapshot`], now or later.
    TakeSnapshot,
    /// Tell the proposer that its command will never be applied.
    ProposalRejected {
        /// Proposal.
        id: ProposalId,
        /// Why.
        reason: RejectReason,
    },
    /// Tell the proposer that the outcome of its command is not known.
    OutcomeUnknown {
        /// Proposal.
        id: ProposalId,
    },
    /// Answer a read from the state as it is now.
    ReadReady {
        /// Read.
        id: ReadId,
    },
    /// Tell the reader that this replica can't answer.
    ReadRejected {
        /// Read.
        id: ReadId,
        /// Why.
        reason: RejectReason,
    },
    /// Role, term, leader or members changed: for the log and for redirects.
    StatusChanged(Status),
}

/// What a save writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Save {
    /// Hard state and log entries.
    Log {
        /// New hard state, if it changed.
        hard: Option<HardState>,
        /// First position whose entry, and all after it, are dropped before the entries are added.
        truncate: Option<LogIndex>,
        /// Entries to add at the end of the log.
        entries: Vec<Entry>,
    },
    /// Snapshot, which replaces the one before.
    Snapshot {
        /// Snapshot.
        snapshot: Snapshot,
        /// Entries of the log that stay.
        retention: LogRetention,
    },
}

/// Entries of the log that stay after a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogRetention {
    /// Entries from this position on stay; those before it may be dropped.
    ///
    /// Nothing waits for such a snapshot: it may reach the disk after later saves, as long as the
    /// entries and the older snapshot are dropped only then.
    From(LogIndex),
    /// All entries are dropped: the log goes on after the snapshot.
    Nothing,
}

/// Committed entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommittedEntry {
    /// Entry.
    pub entry: Entry,
    /// Proposal that it came from, where it was made at this replica.
    pub proposal: Option<ProposalId>,
}

/// Why a proposal or a read is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// Another replica leads, if one is known.
    NotLeader(Option<Node>),
    /// Too much is pending.
    Busy,
    /// The lease did not stand in time.
    NoLease,
    /// The members can't be changed like this now.
    ChangeNotAllowed,
}

/// Part that a replica plays at the moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Belongs to no group.
    #[default]
    Empty,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be voted for.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// State of a replica for logs, redirects and operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Part that it plays.
    pub role: Role,
    /// Term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<Node>,
    /// Last committed entry known, which has been handed out for application.
    pub commit: LogIndex,
    /// Last entry of the log.
    pub last_index: LogIndex,
    /// Members.
    pub members: Members,
}
