//! Errors of calls to targets.

use std::error::Error;
use std::fmt;
use std::time::Duration;

/// Reason why a call to a target returned no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte was sent, so the target can't have run the call.
    NotSent(String),
    /// Nothing was sent because the target's process is not, or may not be, the expected one.
    Restarted,
    /// The target refused the call.
    Refused {
        /// Status code.
        status: u16,
        /// Delay after which the target asks for a retry.
        retry_after: Option<Duration>,
        /// Whether the target states that the call did not run; always true for a non-idempotent
        /// call.
        not_run: bool,
    },
    /// The progress timeout or the timeout of the whole call expired; the call may have run.
    TimedOut,
    /// The response ended before it was complete.
    Truncated,
    /// The response belongs to another call.
    WrongCall,
    /// The connection failed after the call was sent; the call may have run.
    Reset(String),
    /// The response violates the protocol.
    Malformed(&'static str),
    /// The target did not resume the stream from the requested offset.
    NotResumed,
    /// The target returned another error status; the call may have run.
    Status(u16),
}

impl CallError {
    /// Returns whether the call is known not to have run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Restarted | Self::Refused { not_run: true, .. })
    }

    /// Returns the label of the error in logs and metrics.
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
            Self::TimedOut => f.write_str("call timed out"),
            Self::Truncated => f.write_str("response truncated"),
            Self::WrongCall => f.write_str("response belongs to another call"),
            Self::Reset(cause) => write!(f, "connection reset: {cause}"),
            Self::Malformed(what) => write!(f, "malformed response: {what}"),
            Self::NotResumed => f.write_str("stream not resumed"),
            Self::Status(status) => write!(f, "call failed with status {status}"),
        }
    }
}

impl Error for CallError {}
