//! Snapshot files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::Snapshot;
use serde::Deserialize;
use serde::Serialize;

use crate::disk::error::DiskError;
use crate::disk::file_io::FileIo;
use crate::disk::folder;
use crate::disk::frame;
use crate::disk::frame::FileKind;

/// Prefix of the file names of snapshots.
const PREFIX: &str = "snapshot-";

/// Content of a snapshot file to write.
#[derive(Serialize)]
struct SnapshotFile<'a> {
    first: u64,
    snapshot: &'a Snapshot,
}

/// Content of a snapshot file that was read.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct OwnedSnapshotFile {
    /// Number of the first segment that is still needed.
    pub(super) first: u64,
    /// Snapshot.
    pub(super) snapshot: Snapshot,
}

/// Returns the path of a snapshot.
fn path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{PREFIX}{:016x}", index.0))
}

/// Writes a snapshot to a temporary file, with the number of the first segment still needed.
pub(super) fn write_temporary<F: FileIo>(
    folder: &Path,
    snapshot: &Snapshot,
    first: u64,
    io: &mut F,
) -> Result<(), DiskError> {
    let data = frame::encode_file(FileKind::Snapshot, &SnapshotFile { first, snapshot })?;
    folder::write_temporary(&path(folder, snapshot.index), &data, io)?;
    Ok(())
}

/// Commits the snapshot at `index` by renaming its temporary file.
pub(super) fn commit_temporary(folder: &Path, index: LogIndex) -> Result<(), DiskError> {
    folder::commit_temporary(&path(folder, index))
}

/// Reads the latest snapshot, if one exists.
pub(super) fn read(folder: &Path) -> Result<Option<OwnedSnapshotFile>, DiskError> {
    let numbers = folder::file_numbers(folder, PREFIX)?;
    let Some(number) = numbers.last().copied() else { return Ok(None) };
    let name = path(folder, LogIndex(number));
    let data = fs::read(&name).map_err(|e| DiskError::io(&name, e))?;
    frame::decode_file(&name, FileKind::Snapshot, &data).map(Some)
}

/// Removes the snapshots before the one at `index`.
pub(super) fn remove_older(folder: &Path, index: LogIndex) -> Result<(), DiskError> {
    for number in folder::file_numbers(folder, PREFIX)? {
        if number < index.0 {
            folder::remove(&path(folder, LogIndex(number)))?;
        }
    }
    Ok(())
}
