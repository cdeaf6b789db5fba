//! Errors of the data folder.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Why the data folder can't be used.
#[derive(Debug)]
pub enum DiskError {
    /// Another process uses the folder.
    Locked(PathBuf),
    /// A file does not fit its checksum or its place.
    Damaged {
        /// File.
        file: PathBuf,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// What is wrong there.
        what: &'static str,
    },
    /// A file that the others call for is not there.
    Missing(PathBuf),
    /// A file has an unknown format version.
    Version {
        /// File.
        file: PathBuf,
        /// Version that it has.
        found: u32,
        /// Version that this program reads.
        known: u32,
    },
    /// Reading, writing or syncing failed.
    Io {
        /// File.
        file: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The disk has no room. What was synced before stands.
    Full(PathBuf),
    /// What is to be written can't be encoded.
    Encode(postcard::Error),
    /// An earlier write or sync failed.
    Poisoned,
}

impl DiskError {
    /// Creates an error of the operating system on `file`.
    pub(super) fn io(file: &Path, error: io::Error) -> Self {
        Self::Io { file: file.to_owned(), error }
    }

    /// Creates an error of a write to `file`.
    pub(super) fn write(file: &Path, error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::Full(file.to_owned())
            }
            _ => Self::io(file, error),
        }
    }

    /// Creates an error of damage in `file`.
    pub(super) fn damaged(file: &Path, offset: u64, what: &'static str) -> Self {
        Self::Damaged { file: file.to_owned(), offset, what }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked(path) => {
                write!(f, "data folder {} is in use by another process", path.display())
            }
            Self::Damaged { file, offset, what } => {
                write!(f, "{} is damaged at offset {offset}: {what}", file.display())
            }
            Self::Missing(file) => write!(f, "{} is missing", file.display()),
            Self::Version { file, found, known } => write!(
                f,
                "{} has format version {found}, and this program reads version {known}",
                file.display()
            ),
            Self::Io { file, error } => write!(f, "{}: {error}", file.display()),
            Self::Full(file) => write!(f, "{}: the disk is full", file.display()),
            Self::Encode(error) => write!(f, "can't encode a save: {error}"),
            Self::Poisoned => f.write_str("an earlier write or sync failed"),
        }
    }
}

impl std::error::Error for DiskError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { error, .. } => Some(error),
            Self::Encode(error) => Some(error),
            _ => None,
        }
    }
}

impl From<postcard::Error> for DiskError {
    fn from(error: postcard::Error) -> Self {
        Self::Encode(error)
    }
}
