//! Refusals: why a request gets no answer, and whether it ran.

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
    /// A stage was dispatched, and whether it ran is not known.
    Unknown,
    /// The stage that may not be repeated ran and is recorded; a resend gets its answer.
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

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalCode {
    /// The pipeline has a stage that may not be repeated and the request has no idempotency key.
    KeyRequired,
    /// The idempotency key was used with another request.
    KeyReused,
    /// Another attempt with the same idempotency key has not ended.
    InProgress,
    /// A stage that may not be repeated was dispatched and its outcome is not known.
    OutcomeUnknown,
    /// No quorum of control instances can be reached to claim the request.
    NoQuorum,
    /// The remaining time can't cover the remaining stages.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// No target takes the stage in time.
    NoCapacity,
    /// Every attempt at a stage failed.
    StageFailed,
    /// The workspace has as many requests in progress as it may.
    WorkspaceLimit,
}

impl RefusalCode {
    /// Returns the code as it appears in answers and metrics.
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
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Final answer to a request that gets no other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// When to come back, where that makes sense.
    pub retry_after: Option<Duration>,
}
