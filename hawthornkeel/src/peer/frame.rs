//! Messages between instances.

use std::sync::Arc;

use hawthornkeel_core::fleet::ServingEntry;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_core::state::take_out::TakeOut;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::messaging::EntryMessage;

/// Message between instances.
///
/// A variant is never removed or moved without a new [`wire::VERSION`](crate::peer::wire::VERSION).
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection: the name that the sender claims.
    Hello(InstanceName),
    /// Answers a call that can't be served.
    Refused(Refusal),
    /// Message of the replicated log, one-way.
    Replica(Message),
    /// Call: carry out a command.
    Propose(Command),
    /// Answers [`Frame::Propose`].
    Proposed(Proposed),
    /// Call: the published state once it is newer than what the caller has.
    Follow(Follow),
    /// Answers [`Frame::Follow`].
    Followed(Followed),
    /// Orders to take data centres out, with what is known of their place in the log; one-way.
    TakeOuts(Vec<TakeOut>),
    /// Call: who leads the control instances.
    Lead,
    /// Answers [`Frame::Lead`].
    LeadReply(Leadership),
    /// Call: what the instance has in force.
    Status,
    /// Answers [`Frame::Status`].
    StatusReply(InstanceStatus),
    /// Between entries, one-way.
    Entry(EntryMessage),
    /// Call: what has changed of all that an entry follows.
    #[serde(rename = "Survey")]
    Discover(Discover),
    /// Answers [`Frame::Discover`].
    #[serde(rename = "Surveyed")]
    Discovered(Box<Discovered>),
    /// An entry serves callers, or is about to stop; one-way.
    Present(Presence),
    /// Call: have a stage of a request done.
    Offer(Offer),
    /// Answers [`Frame::Offer`].
    Offered(JobOutcome),
    /// Call: make room for stages of a request that are to come.
    Book(Book),
    /// Answers [`Frame::Book`], for each booking in order; `None` where no target does the work.
    Booked(Vec<Option<ReservationEstimate>>),
    /// Call: whether the instance answers.
    Ping,
    /// Answers [`Frame::Ping`].
    Pong,
    /// Nobody waits for a job any more, or needs these results; one-way.
    Dismiss(Dismiss),
}

/// Kind of a frame, by which its handler is found.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FrameKind {
    /// Of [`Frame::Hello`].
    Hello,
    /// Of [`Frame::Replica`].
    Replica,
    /// Of [`Frame::Propose`].
    Propose,
    /// Of [`Frame::Follow`].
    Follow,
    /// Of [`Frame::TakeOuts`].
    TakeOuts,
    /// Of [`Frame::Lead`].
    Lead,
    /// Of [`Frame::Status`].
    Status,
    /// Of every answer to a call.
    Answer,
    /// Of [`Frame::Entry`].
    Entry,
    /// Of [`Frame::Discover`].
    Survey,
    /// Of [`Frame::Present`].
    Present,
    /// Of [`Frame::Offer`].
    Offer,
    /// Of [`Frame::Book`].
    Book,
    /// Of [`Frame::Ping`].
    Ping,
    /// Of [`Frame::Dismiss`].
    Dismiss,
}

impl Frame {
    /// Returns the frame's kind.
    pub fn kind(&self) -> FrameKind {
        match self {
            Self::Hello(_) => FrameKind::Hello,
            Self::Replica(_) => FrameKind::Replica,
            Self::Propose(_) => FrameKind::Propose,
            Self::Follow(_) => FrameKind::Follow,
            Self::TakeOuts(_) => FrameKind::TakeOuts,
            Self::Status => FrameKind::Status,
            Self::Lead => FrameKind::Lead,
            Self::Entry(_) => FrameKind::Entry,
            Self::Discover(_) => FrameKind::Survey,
            Self::Present(_) => FrameKind::Present,
            Self::Offer(_) => FrameKind::Offer,
            Self::Book(_) => FrameKind::Book,
            Self::Ping => FrameKind::Ping,
            Self::Dismiss(_) => FrameKind::Dismiss,
            Self::Refused(_)
            | Self::Proposed(_)
            | Self::Followed(_)
            | Self::LeadReply(_)
            | Self::Discovered(_)
            | Self::Offered(_)
            | Self::Booked(_)
            | Self::Pong
            | Self::StatusReply(_) => FrameKind::Answer,
        }
    }
}

/// Why a call can't be served.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Refusal {
    /// The frame's protocol version is not known to the receiver, which speaks `known`.
    Version {
        /// Version of the frame.
        found: u16,
        /// Version of the receiver.
        known: u16,
    },
    /// The receiver has no handler for this kind of frame.
    Unsupported,
    /// The frame can't be decoded.
    Malformed,
}

/// Answer to a proposal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Proposed {
    /// The command is committed, with this outcome.
    Outcome(Outcome),
    /// The command is not in the log and never will be from this call.
    NotProposed {
        /// Instance that leads, where the receiver knows it.
        leader: Option<InstanceName>,
    },
    /// The command may or may not get committed.
    Unknown,
}

/// Who leads the control instances, as one of them knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Leadership {
    /// Whether the sender leads and its lease stands.
    #[serde(rename = "own")]
    pub is_leader: bool,
    /// Instance that leads, if the sender knows one.
    pub leader: Option<InstanceName>,
}

/// Request for the published state.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Follow {
    /// The state once it is newer than `after`.
    Newer {
        /// Log position of the state that the caller has, or `None` for nothing.
        after: Option<LogIndex>,
        /// Time to hold the call while there is nothing newer, in milliseconds.
        wait_ms: u32,
    },
    /// The state with everything that was acknowledged so far, which only a leader can give.
    Latest,
}

/// Answer to a request for the published state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Followed {
    /// State, where it is newer than the caller's.
    pub published: Option<PublishedState>,
    /// Orders to take data centres out that the sender knows.
    #[serde(rename = "holds")]
    pub take_outs: Vec<TakeOut>,
    /// Time since the sender's state was last known to be that of a group with a leader, in
    /// milliseconds, or `None` if it never was.
    pub age_ms: Option<u64>,
}

/// Request for what has changed of all that an entry follows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Discover {
    /// Log position of the state that the caller has, or `None` for nothing.
    pub after: Option<LogIndex>,
    /// Mark of the list of targets that the caller has.
    #[serde(rename = "listing")]
    pub list_mark: Option<u64>,
    /// Entries that the caller knows.
    #[serde(rename = "entries")]
    pub entry_count: usize,
    /// Time to hold the call while there is nothing new, in milliseconds.
    pub wait_ms: u32,
}

/// Answer to a survey.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Discovered {
    /// Published state, where it is newer than the caller's, and its age.
    pub followed: Followed,
    /// List of targets, where it differs from the caller's.
    #[serde(rename = "listing")]
    pub target_list: Option<TargetList>,
    /// Time since the list was read from the platform, in milliseconds.
    #[serde(rename = "listed_ms")]
    pub list_age_ms: Option<u64>,
    /// Control instances.
    #[serde(rename = "controls")]
    pub control_instances: Vec<InstanceName>,
    /// Entries that serve callers.
    pub entries: Vec<ServingEntry>,
}

/// What an entry tells of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// Data centre.
    pub centre: CentreName,
    /// Whether it is about to stop.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// Stage of a request that another entry is to have done.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Desk that has it done.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerName,
    /// Work.
    pub job: Job,
    /// Time to hold the call while it is not done, in milliseconds.
    pub wait_ms: u32,
}

/// Stages of a request that another entry is to make room for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Book {
    /// Desk that is to have them done.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerName,
    /// Stages.
    #[serde(rename = "bookings")]
    pub reservations: Vec<Reservation>,
}

/// What another entry need not do or keep any more.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Dismiss {
    /// Desk concerned.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerName,
    /// Jobs that nobody waits for, or whose bookings are not used.
    pub jobs: Vec<JobId>,
    /// Results that nobody needs.
    pub results: Vec<Handle>,
}

/// What an instance has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Instance.
    pub name: InstanceName,
    /// Log position of the state in force, or `None` before the first.
    pub index: Option<LogIndex>,
    /// Version of the environment document in force; zero before the first.
    pub version: Version,
    /// SHA-256 of the document's text in hexadecimal.
    pub hash: Arc<str>,
    /// Data centres that get no new work from this instance.
    pub taken_out: Vec<CentreName>,
    /// Orders to take data centres out that are not in the log as far as the instance knows.
    pub unlogged: Vec<CentreOrder>,
    /// Its part in the replicated log, if it has the control role.
    pub control: Option<ControlStatus>,
}

/// Part of an instance in the replicated log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Who leads.
    #[serde(rename = "lead")]
    pub leadership: Leadership,
    /// Term.
    pub term: Term,
    /// Last entry known to be committed.
    pub commit: LogIndex,
    /// Members of the group, with the identities of their data folders.
    pub members: Members,
}
