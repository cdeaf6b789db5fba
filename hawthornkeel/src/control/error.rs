//! Errors of the control role.

use std::fmt;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::RecoverError;

use crate::control::codec;

/// Why an entry or snapshot can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// It has an unknown format version.
    Version(u8),
    /// It is empty.
    Empty,
    /// It is malformed.
    Malformed(postcard::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(found) => {
                write!(
                    f,
                    "unknown format version {found}, this build reads version {}",
                    codec::FORMAT_VERSION
                )
            }
            Self::Empty => f.write_str("no data"),
            Self::Malformed(e) => write!(f, "malformed: {e}"),
        }
    }
}

impl std::error::Error for CodecError {}

impl From<postcard::Error> for CodecError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error)
    }
}

/// Why the control role ended, which ends the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlFailure {
    /// It was stopped as planned.
    Stopped,
    /// A write or sync of the data folder failed.
    Disk(String),
    /// The persisted log can't be recovered.
    Recover(RecoverError),
    /// A committed entry can't be applied.
    Entry(LogIndex, CodecError),
    /// A snapshot can't be encoded or decoded.
    Snapshot(LogIndex, CodecError),
}

impl fmt::Display for ControlFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stopped => f.write_str("stopped"),
            Self::Disk(reason) => write!(f, "disk failed: {reason}"),
            Self::Recover(e) => e.fmt(f),
            Self::Entry(index, e) => write!(f, "log entry {index}: {e}"),
            Self::Snapshot(index, e) => write!(f, "snapshot at {index}: {e}"),
        }
    }
}

impl std::error::Error for ControlFailure {}

impl From<RecoverError> for ControlFailure {
    fn from(error: RecoverError) -> Self {
        Self::Recover(error)
    }
}
