//! Recovery of the state from a data folder.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Seek;
use std::io::SeekFrom;
use std::path::Path;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::PersistedState;

use crate::disk::error::DiskError;
use crate::disk::folder;
use crate::disk::frame;
use crate::disk::frame::FILE_HEADER_BYTES;
use crate::disk::frame::FileKind;
use crate::disk::frame::FrameRead;
use crate::disk::frame::OwnedRecord;
use crate::disk::segment;
use crate::disk::segment::Segment;
use crate::disk::snapshot;

/// Recovered snapshot and log.
#[derive(Debug)]
pub(super) struct RecoveredLog {
    /// Persisted state of the replica.
    pub(super) state: PersistedState,
    /// Segments in order.
    pub(super) segments: Vec<Segment>,
    /// Last segment, positioned at its end.
    pub(super) file: File,
    /// Size of the torn frame that was removed, in bytes.
    pub(super) torn_bytes: u64,
}

/// Reads a folder, truncates a torn frame, and removes files that are no longer needed.
pub(super) fn recover(path: &Path) -> Result<RecoveredLog, DiskError> {
    let content = snapshot::read(path)?;
    let first = content.as_ref().map_or(1, |c| c.first);
    let mut state =
        PersistedState { snapshot: content.map(|c| c.snapshot), ..PersistedState::default() };
    let mut segments = Vec::new();
    let mut torn_bytes = 0;
    let numbers = retained_segments(path, first)?;
    for number in &numbers {
        let is_last = numbers.last() == Some(number);
        let (segment, torn) = read_segment(path, *number, is_last, &mut state)?;
        segments.push(segment);
        torn_bytes = torn;
    }
    let number = numbers.last().copied().unwrap_or(first);
    let name = segment::path(path, number);
    let length = segments.last().map_or(0, |s| s.bytes);
    let file = open_for_append(&name, length, torn_bytes).map_err(|e| DiskError::io(&name, e))?;
    if let Some(index) = state.snapshot.as_ref().map(|s| s.index) {
        snapshot::remove_older(path, index)?;
    }
    Ok(RecoveredLog { state, segments, file, torn_bytes })
}

/// Returns the numbers of the segments from `first` on, and removes the segments before it.
fn retained_segments(path: &Path, first: u64) -> Result<Vec<u64>, DiskError> {
    let mut numbers = folder::file_numbers(path, segment::PREFIX)?;
    let older = numbers.iter().take_while(|n| **n < first).count();
    for number in numbers.drain(..older) {
        folder::remove(&segment::path(path, number))?;
    }
    let missing = (first..).zip(&numbers).find(|(expected, number)| expected != *number);
    if let Some((expected, _)) = missing {
        return Err(DiskError::Missing(segment::path(path, expected)));
    }
    if numbers.is_empty() {
        return Err(DiskError::Missing(segment::path(path, first)));
    }
    Ok(numbers)
}

/// Replays a segment into `state`, and returns it with the size of its torn frame in bytes.
fn read_segment(
    path: &Path,
    number: u64,
    is_last: bool,
    state: &mut PersistedState,
) -> Result<(Segment, u64), DiskError> {
    let name = segment::path(path, number);
    let data = fs::read(&name).map_err(|e| DiskError::io(&name, e))?;
    frame::check_header(&name, FileKind::Segment, &data)?;
    let mut offset = FILE_HEADER_BYTES;
    let mut last_index = LogIndex(0);
    loop {
        match frame::read(&data, offset) {
            FrameRead::Complete(content, size) => {
                let records = frame::decode(&name, offset as u64, content)?;
                replay(&name, offset as u64, records, state, &mut last_index)?;
                offset += size;
            }
            FrameRead::End => break,
            FrameRead::Torn if is_last => break,
            FrameRead::Torn => {
                return Err(DiskError::damaged(
                    &name,
                    offset as u64,
                    "torn frame before the last segment",
                ));
            }
            FrameRead::Damaged(text) => return Err(DiskError::damaged(&name, offset as u64, text)),
        }
    }
    let torn = (data.len() - offset) as u64;
    Ok((Segment { number, bytes: offset as u64, last_index }, torn))
}

/// Applies the records of a frame, and updates the highest entry index of the segment.
fn replay(
    name: &Path,
    offset: u64,
    records: Vec<OwnedRecord>,
    state: &mut PersistedState,
    last_index: &mut LogIndex,
) -> Result<(), DiskError> {
    for record in records {
        state.hard = record.hard.unwrap_or(state.hard);
        if let Some(from) = record.truncate {
            let length = state.entries.partition_point(|e| e.index < from);
            state.entries.truncate(length);
        }
        for entry in record.entries {
            let previous = state.entries.last().map(|e| e.index.0);
            if previous.is_some_and(|p| p + 1 != entry.index.0) {
                return Err(DiskError::damaged(name, offset, "log entry is out of order"));
            }
            *last_index = (*last_index).max(entry.index);
            state.entries.push(entry);
        }
    }
    Ok(())
}

/// Opens a segment for appending, and truncates it to `length` if it has a torn frame.
fn open_for_append(name: &Path, length: u64, torn_bytes: u64) -> std::io::Result<File> {
    let mut file = OpenOptions::new().write(true).open(name)?;
    if torn_bytes > 0 {
        file.set_len(length)?;
        file.sync_all()?;
    }
    file.seek(SeekFrom::Start(length))?;
    Ok(file)
}
