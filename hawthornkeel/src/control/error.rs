//! Errors of the control role.

use std::fmt;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::RecoverError;

use crate::control::codec;

/// Entry or snapshot that can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// Another build wrote it, under this version.
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
                write!(f, "unknown version {found}, this build reads {}", codec::VERSION)
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

/// Why the control role has ended, and the process with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlFailure {
    /// A planned stop.
    Stopped,
    /// The disk failed.
    Disk(String),
    /// The log on the disk can't be used.
    Recover(RecoverError),
    /// A committed entry can't be applied.
    Entry(LogIndex, CodecError),
    /// A snapshot can't be used.
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
