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
use crate::disk::frame::Kind;

/// Start of the names of snapshots.
const PREFIX: &str = "snapshot-";

/// Content of a snapshot file to write.
#[derive(Serialize)]
struct Content<'a> {
    first: u64,
    snapshot: &'a Snapshot,
}

/// Content of a snapshot file.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Found {
    /// First segment of the log that counts.
    pub(super) first: u64,
    /// Snapshot.
    pub(super) snapshot: Snapshot,
}

/// Returns the path of a snapshot.
fn path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{PREFIX}{:016x}", index.0))
}

/// Writes a snapshot aside, with the first segment of the log that counts.
pub(super) fn write_aside<F: FileIo>(
    folder: &Path,
    snapshot: &Snapshot,
    first: u64,
    files: &mut F,
) -> Result<(), DiskError> {
    let data = frame::encode_file(Kind::Snapshot, &Content { first, snapshot })?;
    folder::write_aside(&path(folder, snapshot.index), &data, files)?;
    Ok(())
}

/// Puts the snapshot at `index` in force, which was written aside.
pub(super) fn put_in_force(folder: &Path, index: LogIndex) -> Result<(), DiskError> {
    folder::put_in_force(&path(folder, index))
}

/// Reads the latest snapshot, if there is one.
pub(super) fn read(folder: &Path) -> Result<Option<Found>, DiskError> {
    let numbers = folder::numbers(folder, PREFIX)?;
    let Some(number) = numbers.last().copied() else { return Ok(None) };
    let name = path(folder, LogIndex(number));
    let data = fs::read(&name).map_err(|e| DiskError::io(&name, e))?;
    frame::decode_file(&name, Kind::Snapshot, &data).map(Some)
}

/// Removes the snapshots before the one at `index`.
pub(super) fn remove_older(folder: &Path, index: LogIndex) -> Result<(), DiskError> {
    for number in folder::numbers(folder, PREFIX)? {
        if number < index.0 {
            folder::remove(&path(folder, LogIndex(number)))?;
        }
    }
    Ok(())
}
