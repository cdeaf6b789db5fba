//! Messages between instances.

use std::sync::Arc;

use bytes::Bytes;
use hawthornkeel_core::fleet::ServingEntry;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::fleet::presence::EntryReports;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::placement::limit::LimitReport;
use hawthornkeel_core::quarantine::evidence::Evidence;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_core::quarantine::record::SubjectRecord;
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
use hawthornkeel_core::streams::origin::StreamBatch;
use hawthornkeel_core::streams::origin::StreamKey;
use hawthornkeel_core::streams::versions::SoleVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::messaging::EntryMessage;
use crate::peer::rollout_frame::RolloutFrame;

/// Message between instances.
///
/// Removing or reordering variants requires a new
/// [`wire::VERSION`](crate::peer::wire::VERSION).
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection in each direction: the sender's name.
    Hello(InstanceName),
    /// Response to a call that can't be served.
    Refused(Refusal),
    /// Message of the replicated log, one-way.
    Replica(Message),
    /// Call: commits and applies a command.
    Propose(Command),
    /// Answers [`Frame::Propose`].
    Proposed(Proposed),
    /// Call: returns the published state once it is newer than the caller's.
    Follow(Follow),
    /// Answers [`Frame::Follow`].
    Followed(Followed),
    /// Orders to take data centres out, with their log positions where known; one-way.
    TakeOuts(Vec<TakeOut>),
    /// Call: returns who leads the control instances.
    Lead,
    /// Answers [`Frame::Lead`].
    LeadReply(Leadership),
    /// Call: returns the state that the instance has in force.
    Status,
    /// Answers [`Frame::Status`].
    StatusReply(InstanceStatus),
    /// Message between entries, one-way.
    Entry(EntryMessage),
    /// Call: returns the changes of what an entry follows: state, targets, control instances and
    /// entries.
    #[serde(rename = "Survey")]
    Discover(Discover),
    /// Answers [`Frame::Discover`].
    #[serde(rename = "Surveyed")]
    Discovered(Box<Discovered>),
    /// Heartbeat of an entry: it serves callers or is about to stop; one-way.
    Present(Presence),
    /// Entries that a control instance heard; one-way, between control instances.
    Entries(EntryReports),
    /// Call: runs a stage of a request.
    Offer(Offer),
    /// Answers [`Frame::Offer`].
    Offered(JobOutcome),
    /// Call: reserves capacity for later stages of a request.
    Book(Book),
    /// Answers [`Frame::Book`], for each reservation in order; `None` where no target does the work.
    Booked(Vec<Option<ReservationEstimate>>),
    /// Call: checks that the instance responds.
    Ping,
    /// Answers [`Frame::Ping`].
    Pong,
    /// Cancels jobs and releases results that are no longer needed; one-way.
    Dismiss(Dismiss),
    /// Evidence about subjects, from an entry or passed on; one-way.
    Evidence(Evidence),
    /// What an instance believes of subjects; one-way.
    SubjectRecords(Vec<SubjectRecord>),
    /// Call: lends the only probe of a rejected subject that is due.
    LendProbe(LendProbe),
    /// Answers [`Frame::LendProbe`]: whether it is lent.
    ProbeLent(bool),
    /// Limits that targets have named; one-way, between control instances.
    Limits(Vec<LimitReport>),
    /// Origins of streams; one-way, from an entry.
    Streams(Vec<StreamBatch>),
    /// Call: returns what is known of the origin of a stream.
    FindStream(FindStream),
    /// Answers [`Frame::FindStream`].
    StreamFound(StreamFound),
    /// Call: sends a caller's request to a target for an entry without links to the targets.
    Forward(Box<ForwardedRequest>),
    /// Answers [`Frame::Forward`]; the body of the response follows on the same stream.
    ForwardReply(ForwardReply),
    /// Message about rollouts, in a format of its own that is not part of this enum's encoding.
    #[serde(skip)]
    Rollout(RolloutFrame),
}

/// Kind of a frame, which selects its handler.
///
/// The names of the variants appear in the log.
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
    /// Of every response to a call.
    Answer,
    /// Of [`Frame::Entry`].
    Entry,
    /// Of [`Frame::Discover`], which the log calls `Survey`.
    Survey,
    /// Of [`Frame::Present`].
    Present,
    /// Of [`Frame::Entries`].
    Entries,
    /// Of [`Frame::Offer`].
    Offer,
    /// Of [`Frame::Book`].
    Book,
    /// Of [`Frame::Ping`].
    Ping,
    /// Of [`Frame::Dismiss`].
    Dismiss,
    /// Of [`Frame::Evidence`].
    Evidence,
    /// Of [`Frame::SubjectRecords`].
    SubjectRecords,
    /// Of [`Frame::LendProbe`].
    LendProbe,
    /// Of [`Frame::Limits`].
    Limits,
    /// Of [`Frame::Streams`].
    Streams,
    /// Of [`Frame::FindStream`].
    FindStream,
    /// Of [`Frame::Forward`].
    Forward,
    /// Of [`RolloutFrame::Query`].
    RolloutQuery,
    /// Of [`RolloutFrame::Report`].
    RolloutReport,
    /// Of [`RolloutFrame::Order`].
    RolloutOrder,
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
            Self::Entries(_) => FrameKind::Entries,
            Self::Offer(_) => FrameKind::Offer,
            Self::Book(_) => FrameKind::Book,
            Self::Ping => FrameKind::Ping,
            Self::Dismiss(_) => FrameKind::Dismiss,
            Self::Evidence(_) => FrameKind::Evidence,
            Self::SubjectRecords(_) => FrameKind::SubjectRecords,
            Self::LendProbe(_) => FrameKind::LendProbe,
            Self::Limits(_) => FrameKind::Limits,
            Self::Streams(_) => FrameKind::Streams,
            Self::FindStream(_) => FrameKind::FindStream,
            Self::Forward(_) => FrameKind::Forward,
            Self::Rollout(RolloutFrame::Query(_)) => FrameKind::RolloutQuery,
            Self::Rollout(RolloutFrame::Report(_)) => FrameKind::RolloutReport,
            Self::Rollout(RolloutFrame::Order(_)) => FrameKind::RolloutOrder,
            Self::Refused(_)
            | Self::Proposed(_)
            | Self::Followed(_)
            | Self::LeadReply(_)
            | Self::Discovered(_)
            | Self::Offered(_)
            | Self::Booked(_)
            | Self::Pong
            | Self::ProbeLent(_)
            | Self::StreamFound(_)
            | Self::ForwardReply(_)
            | Self::Rollout(_)
            | Self::StatusReply(_) => FrameKind::Answer,
        }
    }
}

/// Why a call can't be served.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Refusal {
    /// The receiver doesn't support the frame's protocol version.
    Version {
        /// Protocol version of the frame.
        found: u16,
        /// Protocol version of the receiver.
        known: u16,
    },
    /// The receiver has no handler for this kind of frame.
    Unsupported,
    /// The frame can't be decoded.
    Malformed,
}

/// Response to a proposed command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Proposed {
    /// The command was committed with this outcome.
    Outcome(Outcome),
    /// The command was not appended to the log, and this call will not append it later.
    NotProposed {
        /// Current leader, if known.
        leader: Option<InstanceName>,
    },
    /// The command may or may not be committed.
    Unknown,
}

/// Leader of the control instances, as one of them knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Leadership {
    /// Whether the sender is the leader and holds a valid lease.
    #[serde(rename = "own")]
    pub is_leader: bool,
    /// Leader, if the sender knows one.
    pub leader: Option<InstanceName>,
}

/// Request for the published state.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Follow {
    /// Returns the state once it is newer than `after`.
    Newer {
        /// Log position of the caller's state, or `None` if it has none.
        after: Option<LogIndex>,
        /// Long-poll timeout in milliseconds.
        wait_ms: u32,
    },
    /// Returns a state that includes all acknowledged commands (linearizable); only the leader can.
    Latest,
}

/// Response with the published state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Followed {
    /// State, if it is newer than the caller's.
    pub published: Option<PublishedState>,
    /// Orders to take data centres out that are known to the sender.
    #[serde(rename = "holds")]
    pub take_outs: Vec<TakeOut>,
    /// Time since the sender's state was last confirmed by a group with a leader, in milliseconds;
    /// `None` if it never was.
    pub age_ms: Option<u64>,
}

/// Request for the changes of what an entry follows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Discover {
    /// Log position of the caller's state, or `None` if it has none.
    pub after: Option<LogIndex>,
    /// Mark of the caller's list of targets.
    #[serde(rename = "listing")]
    pub list_mark: Option<u64>,
    /// Mark of the entries that the caller knows, or `None` if it wants none.
    pub entries_mark: Option<u64>,
    /// Mark of the records of subjects that the caller knows, or `None` if it wants none.
    pub records_mark: Option<u64>,
    /// Mark of the limits of targets that the caller knows, or `None` if it wants none.
    pub limits_mark: Option<u64>,
    /// What the caller has lately heard of the limits of targets.
    pub limits: Vec<LimitReport>,
    /// Presence of the caller, if it is an entry.
    pub presence: Option<Presence>,
    /// Long-poll timeout in milliseconds.
    pub wait_ms: u32,
}

/// Response to [`Discover`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Discovered {
    /// Published state, if it is newer than the caller's, and its age.
    pub followed: Followed,
    /// List of targets, if it differs from the caller's.
    #[serde(rename = "listing")]
    pub target_list: Option<TargetList>,
    /// Time since the list was read from the platform, in milliseconds.
    #[serde(rename = "listed_ms")]
    pub list_age_ms: Option<u64>,
    /// Control instances.
    #[serde(rename = "controls")]
    pub control_instances: Vec<InstanceName>,
    /// Entries that serve callers, if they differ from those that the caller knows.
    pub entries: Option<Vec<ServingEntry>>,
    /// Mark of these entries.
    pub entries_mark: u64,
    /// Records of subjects, if they differ from those that the caller knows.
    pub subject_records: Option<Vec<SubjectRecord>>,
    /// Mark of these records.
    pub records_mark: u64,
    /// Limits of targets, if they differ from those that the caller knows.
    pub limits: Option<Vec<LimitReport>>,
    /// Mark of these limits.
    pub limits_mark: u64,
}

/// Request for the probe of a rejected subject.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LendProbe {
    /// Part.
    pub subject: Subject,
    /// Whether a control instance passes it on to the leader.
    pub relayed: bool,
}

/// Request for the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FindStream {
    /// Stream, if its caller names it.
    pub stream: Option<StreamKey>,
    /// Pool that would go on with it.
    pub pool: PoolName,
}

/// What a control instance knows of the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamFound {
    /// Record of the stream, if there is one.
    pub record: Option<StreamBatch>,
    /// The only version of the pool, if there has been a single one.
    pub sole_version: Option<SoleVersion>,
}

/// Caller's request that one entry hands over to another one.
///
/// It is admitted there like any other, by the caller's own header fields.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Header fields; the deadline is the time left.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// Time since its arrival, in milliseconds.
    pub waited_ms: u32,
    /// Whether the retry budget of its pool has counted it already.
    pub is_counted: bool,
}

/// Answer to a request that was handed over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The request was not sent to a target, and will not be.
    Declined(DeclineReason),
    /// Response; its body follows.
    Response {
        /// Status.
        status: u16,
        /// Header fields.
        headers: Vec<(String, Bytes)>,
        /// Size of the body in bytes, `None` for a stream.
        length: Option<u64>,
        /// Requests in progress at the sender.
        load: u32,
    },
}

/// Why an entry does not take a request of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// It has no links to the targets itself.
    LinksLost,
    /// It has too many requests in progress.
    Full,
    /// It is stopping.
    Stopping,
    /// It does not admit the request, as its document differs or is too old.
    NotAdmitted,
}

/// State of an entry in its heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// Data centre of the entry.
    pub centre: CentreName,
    /// Whether the entry is about to stop.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// Stage of a request that another entry's scheduler is to run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Scheduler of the stage.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerName,
    /// Job to run.
    pub job: Job,
    /// Time to wait for the job's completion, in milliseconds.
    pub wait_ms: u32,
}

/// Later stages of a request for which another entry's scheduler is to reserve capacity.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Book {
    /// Scheduler of the stages.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerName,
    /// Reservations.
    #[serde(rename = "bookings")]
    pub reservations: Vec<Reservation>,
}

/// Jobs and results that another entry can drop.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Dismiss {
    /// Scheduler of the jobs.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerName,
    /// Cancelled jobs, and jobs whose reservations are not used.
    pub jobs: Vec<JobId>,
    /// Results to release.
    pub results: Vec<Handle>,
}

/// State that an instance has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: InstanceName,
    /// Log position of the state in force, or `None` before the first.
    pub index: Option<LogIndex>,
    /// Version of the environment document in force; zero before the first.
    pub version: Version,
    /// SHA-256 of the document's text in hexadecimal.
    pub hash: Arc<str>,
    /// Data centres that get no new work from this instance.
    pub taken_out: Vec<CentreName>,
    /// Orders to take data centres out that are not yet in the log, as far as the instance knows.
    pub unlogged: Vec<CentreOrder>,
    /// Status of its replica, if it has the control role.
    pub control: Option<ControlStatus>,
}

/// Status of a control instance's replica.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Leader of the group.
    #[serde(rename = "lead")]
    pub leadership: Leadership,
    /// Current term.
    pub term: Term,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Group members, with the identities of their data folders.
    pub members: Members,
}
