//! Reading of a data folder when it is opened.

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
use crate::disk::frame::Kind;
use crate::disk::frame::OwnedRecord;
use crate::disk::frame::Read;
use crate::disk::segment;
use crate::disk::segment::Segment;
use crate::disk::snapshot;

/// What a folder holds.
#[derive(Debug)]
pub(super) struct Found {
    /// State of the replica.
    pub(super) stored: PersistedState,
    /// Segments in order.
    pub(super) segments: Vec<Segment>,
    /// Last segment, open at its end.
    pub(super) file: File,
    /// Size of the torn end that was cut off, in bytes.
    pub(super) cut: u64,
}

/// Reads a folder, cuts off a torn end, and removes segments that count no more.
pub(super) fn recover(path: &Path) -> Result<Found, DiskError> {
    let found = snapshot::read(path)?;
    let first = found.as_ref().map_or(1, |f| f.first);
    let mut stored =
        PersistedState { snapshot: found.map(|f| f.snapshot), ..PersistedState::default() };
    let mut segments = Vec::new();
    let mut cut = 0;
    let numbers = present(path, first)?;
    for number in &numbers {
        let is_last = numbers.last() == Some(number);
        let (segment, torn) = read_segment(path, *number, is_last, &mut stored)?;
        segments.push(segment);
        cut = torn;
    }
    let number = numbers.last().copied().unwrap_or(first);
    let name = segment::path(path, number);
    let length = segments.last().map_or(0, |s| s.bytes);
    let file = open_end(&name, length, cut).map_err(|e| DiskError::io(&name, e))?;
    if let Some(index) = stored.snapshot.as_ref().map(|s| s.index) {
        snapshot::remove_older(path, index)?;
    }
    Ok(Found { stored, segments, file, cut })
}

/// Returns the segments from `first` on, and removes those before it.
fn present(path: &Path, first: u64) -> Result<Vec<u64>, DiskError> {
    let mut numbers = folder::numbers(path, segment::PREFIX)?;
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

/// Reads a segment into `stored`, and returns it with the size of its torn end in bytes.
fn read_segment(
    path: &Path,
    number: u64,
    is_last: bool,
    stored: &mut PersistedState,
) -> Result<(Segment, u64), DiskError> {
    let name = segment::path(path, number);
    let data = fs::read(&name).map_err(|e| DiskError::io(&name, e))?;
    frame::check_header(&name, Kind::Segment, &data)?;
    let mut offset = FILE_HEADER_BYTES;
    let mut last = LogIndex(0);
    loop {
        match frame::read(&data, offset) {
            Read::Whole(content, size) => {
                let records = frame::decode(&name, offset as u64, content)?;
                replay(&name, offset as u64, records, stored, &mut last)?;
                offset += size;
            }
            Read::End => break,
            Read::Torn if is_last => break,
            Read::Torn => {
                return Err(DiskError::damaged(&name, offset as u64, "segment is cut short"));
            }
            Read::Damaged(what) => return Err(DiskError::damaged(&name, offset as u64, what)),
        }
    }
    let torn = (data.len() - offset) as u64;
    Ok((Segment { number, bytes: offset as u64, last }, torn))
}

/// Carries out the records of a frame, and notes the highest last entry.
fn replay(
    name: &Path,
    offset: u64,
    records: Vec<OwnedRecord>,
    stored: &mut PersistedState,
    last: &mut LogIndex,
) -> Result<(), DiskError> {
    for record in records {
        stored.hard = record.hard.unwrap_or(stored.hard);
        if let Some(from) = record.truncate {
            let keep = stored.entries.partition_point(|e| e.index < from);
            stored.entries.truncate(keep);
        }
        for entry in record.entries {
            let before = stored.entries.last().map(|e| e.index.0);
            if before.is_some_and(|b| b + 1 != entry.index.0) {
                return Err(DiskError::damaged(name, offset, "entry is out of order"));
            }
            *last = (*last).max(entry.index);
            stored.entries.push(entry);
        }
    }
    Ok(())
}

/// Opens a segment at its end, and cuts off what is torn.
fn open_end(name: &Path, length: u64, cut: u64) -> std::io::Result<File> {
    let mut file = OpenOptions::new().write(true).open(name)?;
    if cut > 0 {
        file.set_len(length)?;
        file.sync_all()?;
    }
    file.seek(SeekFrom::Start(length))?;
    Ok(file)
}
