//! How a call to a target fails, and what that says about whether it ran.

use std::fmt;

/// Way in which a call to a target failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallFailure {
    /// No byte of the call was sent: it did not run.
    NotSent,
    /// The target answered that it did not run the call.
    Declined,
    /// The target answered that it takes no more work at present.
    Refused,
    /// No progress was made for the progress timeout.
    ProgressTimeout,
    /// The connection ended before the answer began.
    Reset,
    /// The answer ended before its end marker.
    Truncated,
    /// The answer carries another call's identity.
    WrongCall,
    /// The answer can't be read.
    Malformed,
    /// The target answered with an error status.
    Status(u16),
}

/// What a failure says about whether the call ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The call did not run and will not.
    DidNotRun,
    /// The call may have run.
    MayHaveRun,
}

impl CallFailure {
    /// Returns what the failure says about whether the call ran.
    ///
    /// A refusal counts as a possible run: a service may refuse after it has begun.
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

    /// Tells whether another target may answer where this one failed.
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
