//! Refusals of requests: why a request has no answer, and whether it ran.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// No stage was dispatched to a target, and none will be.
    NotRun,
    /// A stage was dispatched, and it is unknown whether it ran.
    Unknown,
    /// A non-idempotent stage ran and is recorded; a retry gets its answer.
    Done,
}

impl fmt::Display for RunStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        })
    }
}

/// Reason of a refusal, with a stable code.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalCode {
    /// The pipeline has a non-idempotent stage and the request has no idempotency key.
    KeyRequired,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// Another request with the same idempotency key is in progress.
    InProgress,
    /// A non-idempotent stage was dispatched and its outcome is unknown.
    OutcomeUnknown,
    /// No quorum of control instances was reached to decide the claim.
    NoQuorum,
    /// The remaining stages can't complete before the deadline.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// No target accepts the stage in time.
    NoCapacity,
    /// Every attempt at a stage failed.
    StageFailed,
    /// The workspace has reached its limit of requests in progress.
    WorkspaceLimit,
    /// The instance stops before the request can complete, and no stage has run.
    Stopping,
    /// The instance stops before the request can complete, and a stage may have run.
    Interrupted,
}

impl RefusalCode {
    /// Returns the code used in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::KeyRequired => "key-required",
            Self::KeyReused => "key-reused",
            Self::InProgress => "in-progress",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::NoQuorum => "no-quorum",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::DeadlinePassed => "deadline-passed",
            Self::NoCapacity => "no-capacity",
            Self::StageFailed => "stage-failed",
            Self::WorkspaceLimit => "workspace-limit",
            Self::Stopping => "stopping",
            Self::Interrupted => "interrupted",
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Response to a request that can't be answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
}
