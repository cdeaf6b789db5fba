//! Failures of calls to targets, and whether a failed call may have run.

use std::fmt;

/// How a call to a target failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallFailure {
    /// No byte of the call was sent, so it did not run.
    NotSent,
    /// The target answered that it did not run the call.
    Declined,
    /// The target answered that it accepts no more work at present.
    Refused,
    /// The progress timeout passed without progress.
    ProgressTimeout,
    /// The connection ended before the answer began.
    Reset,
    /// The answer ended before its end marker.
    Truncated,
    /// The answer carries the identifier of another call.
    WrongCall,
    /// The answer can't be parsed.
    Malformed,
    /// The target answered with an error status.
    Status(u16),
}

/// Whether a failed call can have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The call did not run and will not.
    DidNotRun,
    /// The call may have run.
    MayHaveRun,
}

impl CallFailure {
    /// Returns whether the call can have run.
    ///
    /// A refused call may have run, because a service may refuse a call that it has already started.
    pub fn evidence(self) -> Evidence {
        match self {
            Self::NotSent | Self::Declined => Evidence::DidNotRun,
            Self::Refused
            | Self::ProgressTimeout
            | Self::Reset
            | Self::Truncated
            | Self::WrongCall
            | Self::Malformed
            | Self::Status(_) => Evidence::MayHaveRun,
        }
    }

    /// Returns whether a retry at another target can succeed.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Status(status) => status >= 500,
            Self::NotSent
            | Self::Declined
            | Self::Refused
            | Self::ProgressTimeout
            | Self::Reset
            | Self::Truncated
            | Self::WrongCall
            | Self::Malformed => true,
        }
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not-sent"),
            Self::Declined => f.write_str("declined"),
            Self::Refused => f.write_str("refused"),
            Self::ProgressTimeout => f.write_str("silent"),
            Self::Reset => f.write_str("reset"),
            Self::Truncated => f.write_str("truncated"),
            Self::WrongCall => f.write_str("crossed"),
            Self::Malformed => f.write_str("malformed"),
            Self::Status(status) => write!(f, "status-{status}"),
        }
    }
}
