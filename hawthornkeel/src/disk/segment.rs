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
use crate::disk::frame::FileKind;
use crate::disk::frame::Record;

/// Prefix of the file names of segments.
pub(super) const PREFIX: &str = "log-";

/// Number of the first segment.
pub(super) const FIRST_SEGMENT: u64 = 1;

/// Segment of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Segment {
    /// Consecutive number.
    pub(super) number: u64,
    /// Size in bytes.
    pub(super) bytes: u64,
    /// Highest index that the end of the log had while this segment was written.
    pub(super) last_index: LogIndex,
}

/// Returns the path of a segment.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:016x}"))
}

/// Encodes a segment that contains only `records`.
fn encode(records: &[Record<'_>]) -> Result<Vec<u8>, DiskError> {
    let mut data = frame::file_header(FileKind::Segment);
    data.extend_from_slice(&frame::encode(records)?);
    Ok(data)
}

/// Creates a segment that starts with `records`, and returns its file and size in bytes.
pub(super) fn create<F: FileIo>(
    folder: &Path,
    number: u64,
    records: &[Record<'_>],
    io: &mut F,
) -> Result<(File, u64), DiskError> {
    let data = encode(records)?;
    let file = folder::write_atomically(&path(folder, number), &data, io)?;
    Ok((file, data.len() as u64))
}

/// Returns whether a segment contains nothing but `records`.
pub(super) fn contains_only(path: &Path, records: &[Record<'_>]) -> Result<bool, DiskError> {
    let data = fs::read(path).map_err(|e| DiskError::io(path, e))?;
    Ok(data == encode(records)?)
}
