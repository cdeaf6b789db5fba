//! Frames and file headers: length, checksum and format version.

use std::path::Path;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::HardState;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::error::DiskError;

/// Version of the format of all files.
pub(super) const VERSION: u32 = 1;

/// Size of a file header, in bytes: kind, version and checksum.
pub(super) const FILE_HEADER_BYTES: usize = 16;

/// Size of a frame header, in bytes: length, checksum of the content, checksum of both.
const FRAME_HEADER_BYTES: usize = 12;

/// Last byte of a frame, which tells a zero that was written from a sector that was not.
const END: u8 = 0xa5;

/// Size that a disk writes whole or not at all, in bytes.
const SECTOR_BYTES: usize = 512;

/// Kind of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Identity of the folder.
    Identity,
    /// Segment of the log.
    Segment,
    /// Snapshot.
    Snapshot,
}

impl Kind {
    /// Returns the first bytes of the file.
    fn magic(self) -> [u8; 8] {
        match self {
            Self::Identity => *b"hkeel-id",
            Self::Segment => *b"hkeel-lg",
            Self::Snapshot => *b"hkeel-sn",
        }
    }
}

/// What one save of the log writes.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Record<'a> {
    /// New hard state, if it changed.
    pub(super) hard: Option<HardState>,
    /// First position that is dropped before the entries are added.
    pub(super) truncate: Option<LogIndex>,
    /// Entries to add.
    pub(super) entries: &'a [Entry],
}

/// What one save of the log wrote.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct OwnedRecord {
    /// New hard state, if it changed.
    pub(super) hard: Option<HardState>,
    /// First position that is dropped before the entries are added.
    pub(super) truncate: Option<LogIndex>,
    /// Entries to add.
    pub(super) entries: Vec<Entry>,
}

/// Frame that was read, or why there is none.
#[derive(Debug)]
pub(super) enum Read<'a> {
    /// Content of a whole frame, and its size with the header in bytes.
    Whole(&'a [u8], usize),
    /// Nothing is left.
    End,
    /// The rest is a frame whose writing was broken off.
    Torn,
    /// The frame was written and does not fit its checksum.
    Damaged(&'static str),
}

/// Encodes a value as one frame.
pub(super) fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, DiskError> {
    let mut frame = postcard::to_extend(value, vec![0; FRAME_HEADER_BYTES])?;
    frame.push(END);
    let content = frame.get(FRAME_HEADER_BYTES..).unwrap_or_default();
    let length = u32::try_from(content.len())
        .map_err(|_| DiskError::Encode(postcard::Error::SerializeBufferFull))?;
    let mut header = length.to_le_bytes().to_vec();
    header.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    if let Some(place) = frame.get_mut(..FRAME_HEADER_BYTES) {
        place.copy_from_slice(&header);
    }
    Ok(frame)
}

/// Reads the frame at `offset` of a file's content.
pub(super) fn read(data: &[u8], offset: usize) -> Read<'_> {
    let rest = data.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return Read::End;
    }
    let Some((header, body)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
        return Read::Torn;
    };
    if !is_header(header) {
        // Only the last frame can be torn.
        return if has_blank_sector(header, offset) && !holds_frame(body) {
            Read::Torn
        } else {
            Read::Damaged("frame header does not fit its checksum")
        };
    }
    let (length, sum) = (word(header, 0) as usize, word(header, 4));
    let Some(content) = body.get(..length) else { return Read::Torn };
    let size = FRAME_HEADER_BYTES + length;
    if crc32fast::hash(content) == sum {
        let value = content.split_last().map_or(content, |(_, value)| value);
        return Read::Whole(value, size);
    }
    let last = rest.len() == size;
    if last && has_blank_sector(rest, offset) {
        Read::Torn
    } else {
        Read::Damaged("frame does not fit its checksum")
    }
}

/// Tells whether a frame header fits its own checksum.
fn is_header(header: &[u8]) -> bool {
    header.get(..8).map(crc32fast::hash) == Some(word(header, 8))
}

/// Tells whether a whole frame starts anywhere in `data`.
fn holds_frame(data: &[u8]) -> bool {
    let starts = data.windows(FRAME_HEADER_BYTES).enumerate().filter(|(_, h)| is_header(h));
    starts.map(|(at, _)| read(data, at)).any(|found| matches!(found, Read::Whole(..)))
}

/// Tells whether a sector of `rest`, which starts at `offset` of its file, was never written.
///
/// The disk writes sectors whole and in any order; those not written read as zeros.
fn has_blank_sector(rest: &[u8], offset: usize) -> bool {
    let first = SECTOR_BYTES - offset % SECTOR_BYTES;
    let (head, tail) = rest.split_at_checked(first).unwrap_or((rest, &[]));
    let blank = |sector: &[u8]| sector.iter().all(|b| *b == 0);
    blank(head) || tail.chunks(SECTOR_BYTES).any(blank)
}

/// Returns the number at `offset` of a header.
fn word(header: &[u8], offset: usize) -> u32 {
    let bytes = header.get(offset..offset + 4).and_then(|b| b.try_into().ok());
    u32::from_le_bytes(bytes.unwrap_or_default())
}

/// Returns the header of a file.
pub(super) fn file_header(kind: Kind) -> Vec<u8> {
    let mut header = kind.magic().to_vec();
    header.extend_from_slice(&VERSION.to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    header
}

/// Checks the header of a file.
pub(super) fn check_header(path: &Path, kind: Kind, data: &[u8]) -> Result<(), DiskError> {
    let header = data.get(..FILE_HEADER_BYTES).unwrap_or_default();
    let sum = header.get(..12).map(crc32fast::hash);
    let magic = header.get(..8) == Some(kind.magic().as_slice());
    if !magic || sum != Some(word(header, 12)) {
        return Err(DiskError::damaged(path, 0, "file header does not fit its checksum"));
    }
    let found = word(header, 8);
    if found != VERSION {
        return Err(DiskError::Version { file: path.to_owned(), found, known: VERSION });
    }
    Ok(())
}

/// Encodes a file of one frame.
pub(super) fn encode_file<T: Serialize>(kind: Kind, value: &T) -> Result<Vec<u8>, DiskError> {
    let mut data = file_header(kind);
    data.extend_from_slice(&encode(value)?);
    Ok(data)
}

/// Decodes a file of one frame.
pub(super) fn decode_file<T: DeserializeOwned>(
    path: &Path,
    kind: Kind,
    data: &[u8],
) -> Result<T, DiskError> {
    check_header(path, kind, data)?;
    let offset = FILE_HEADER_BYTES as u64;
    match read(data, FILE_HEADER_BYTES) {
        Read::Whole(content, size) if FILE_HEADER_BYTES + size == data.len() => {
            decode(path, offset, content)
        }
        Read::Damaged(what) => Err(DiskError::damaged(path, offset, what)),
        _ => Err(DiskError::damaged(path, offset, "file does not hold one whole frame")),
    }
}

/// Decodes the content of a frame at `offset`.
pub(super) fn decode<T: DeserializeOwned>(
    path: &Path,
    offset: u64,
    content: &[u8],
) -> Result<T, DiskError> {
    postcard::from_bytes(content)
        .map_err(|_| DiskError::damaged(path, offset, "frame holds no such value"))
}
