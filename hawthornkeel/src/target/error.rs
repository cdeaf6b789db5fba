//! Why a call to a target brought no whole answer.

use std::error::Error;
use std::fmt;
use std::time::Duration;

/// Why a call to a target brought no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// Not a byte was sent: the target can't have run the call.
    NotSent(String),
    /// Nothing was sent, as the target's process is not the one that the call is for, or may not be.
    Restarted,
    /// The target refused the call.
    Refused {
        /// Status.
        status: u16,
        /// Time after which the target asks to come back.
        retry_after: Option<Duration>,
        /// Whether the target says that the call did not run; always so for an unrepeatable call.
        not_run: bool,
    },
    /// No byte came for the progress time or the whole time; the call may have run.
    TimedOut,
    /// The answer ended before it was whole.
    Truncated,
    /// The answer belongs to another call.
    WrongCall,
    /// The connection failed after the call was sent; the call may have run.
    Reset(String),
    /// The answer breaks the protocol.
    Malformed(&'static str),
    /// The target did not go on from the offset asked for.
    NotResumed,
    /// The target failed the call; it may have run.
    Status(u16),
}

impl CallError {
    /// Tells whether the call certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Restarted | Self::Refused { not_run: true, .. })
    }

    /// Returns the name of the error for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::Restarted => "restarted",
            Self::Refused { .. } => "refused",
            Self::TimedOut => "silent",
            Self::Truncated => "truncated",
            Self::WrongCall => "crossed",
            Self::Reset(_) => "reset",
            Self::Malformed(_) => "malformed",
            Self::NotResumed => "not-resumed",
            Self::Status(_) => "status",
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "call not sent: {cause}"),
            Self::Restarted => f.write_str("call not sent: target restarted"),
            Self::Refused { status, .. } => write!(f, "call refused with status {status}"),
            Self::TimedOut => f.write_str("connection silent"),
            Self::Truncated => f.write_str("answer truncated"),
            Self::WrongCall => f.write_str("answer belongs to another call"),
            Self::Reset(cause) => write!(f, "connection reset: {cause}"),
            Self::Malformed(what) => write!(f, "answer malformed: {what}"),
            Self::NotResumed => f.write_str("stream not resumed"),
            Self::Status(status) => write!(f, "call failed with status {status}"),
        }
    }
}

impl Error for CallError {}
