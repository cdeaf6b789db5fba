//! Errors of the data folder.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Why the data folder can't be used.
#[derive(Debug)]
pub enum DiskError {
    /// The folder is locked by another process.
    Locked(PathBuf),
    /// A file is corrupted: its checksum, format or position is wrong.
    Damaged {
        /// Path of the file.
        file: PathBuf,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// A file that other files depend on doesn't exist.
    Missing(PathBuf),
    /// A file has an unknown format version.
    Version {
        /// Path of the file.
        file: PathBuf,
        /// Version of the file.
        found: u32,
        /// Version that this program reads.
        known: u32,
    },
    /// A read, write, sync or other operation failed.
    Io {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The disk is full. Data synced before is not affected.
    Full(PathBuf),
    /// A value can't be encoded.
    Encode(postcard::Error),
    /// An earlier write or sync failed, so the folder can't be written any more.
    Poisoned,
}

impl DiskError {
    /// Creates an error for a failed operation on `file`.
    pub(super) fn io(file: &Path, error: io::Error) -> Self {
        Self::Io { file: file.to_owned(), error }
    }

    /// Creates an error for a failed write to `file`, which is [`DiskError::Full`] on a full disk.
    pub(super) fn write(file: &Path, error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::Full(file.to_owned())
            }
            _ => Self::io(file, error),
        }
    }

    /// Creates an error for damage in `file`.
    pub(super) fn damaged(file: &Path, offset: u64, reason: &'static str) -> Self {
        Self::Damaged { file: file.to_owned(), offset, reason }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked(path) => {
                write!(f, "data folder {} is in use by another process", path.display())
            }
            Self::Damaged { file, offset, reason } => {
                write!(f, "{} is damaged at offset {offset}: {reason}", file.display())
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
