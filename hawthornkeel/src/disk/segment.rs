//! Segments of the write-ahead log.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use hawthornkeel_core::ids::LogIndex;

use crate::disk::error::DiskError;
use crate::disk::file_io::FileIo;
use crate::disk::folder;
use crate::disk::frame;
use crate::disk::frame::Kind;
use crate::disk::frame::Record;

/// Start of the names of segments.
pub(super) const PREFIX: &str = "log-";

/// Number of the first segment.
pub(super) const FIRST_SEGMENT: u64 = 1;

/// Segment of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Segment {
    /// Number, rising by one.
    pub(super) number: u64,
    /// Size in bytes.
    pub(super) bytes: u64,
    /// Highest position of an entry that was ever the last one while it was written.
    pub(super) last: LogIndex,
}

/// Returns the path of a segment.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:016x}"))
}

/// Returns the content of a segment that holds only `records`.
fn content(records: &[Record<'_>]) -> Result<Vec<u8>, DiskError> {
    let mut data = frame::file_header(Kind::Segment);
    data.extend_from_slice(&frame::encode(records)?);
    Ok(data)
}

/// Creates a segment that begins with `records`, and returns it with its size in bytes.
pub(super) fn create<F: FileIo>(
    folder: &Path,
    number: u64,
    records: &[Record<'_>],
    files: &mut F,
) -> Result<(File, u64), DiskError> {
    let data = content(records)?;
    let file = folder::write_whole(&path(folder, number), &data, files)?;
    Ok((file, data.len() as u64))
}

/// Tells whether a segment holds nothing but `records`.
pub(super) fn holds_only(path: &Path, records: &[Record<'_>]) -> Result<bool, DiskError> {
    let data = fs::read(path).map_err(|e| DiskError::io(path, e))?;
    Ok(data == content(records)?)
}
