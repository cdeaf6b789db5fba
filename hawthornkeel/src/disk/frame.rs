//! Encoding of frames and file headers, with length, checksums and format version.

use std::path::Path;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::HardState;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::error::DiskError;

/// Format version of all files.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Size of a file header in bytes: magic number, format version and checksum.
pub(super) const FILE_HEADER_BYTES: usize = 16;

/// Size of a frame header in bytes: content length, content checksum and checksum of both.
const FRAME_HEADER_BYTES: usize = 12;

/// Last byte of a frame.
///
/// Not zero, so that a frame whose content ends in zeros differs from one with an unwritten sector.
const END_MARKER: u8 = 0xa5;

/// Unit that a disk writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;

/// Kind of a file in the data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FileKind {
    /// Identity of the replica.
    Identity,
    /// Segment of the log.
    Segment,
    /// Snapshot.
    Snapshot,
}

impl FileKind {
    /// Returns the magic number of the file.
    fn magic(self) -> [u8; 8] {
        match self {
            Self::Identity => *b"hkeel-id",
            Self::Segment => *b"hkeel-lg",
            Self::Snapshot => *b"hkeel-sn",
        }
    }
}

/// Log record to write, which contains one save.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Record<'a> {
    /// New hard state, if it changed.
    pub(super) hard: Option<HardState>,
    /// Index from which the log is truncated before the entries are appended.
    pub(super) truncate: Option<LogIndex>,
    /// Entries to append.
    pub(super) entries: &'a [Entry],
}

/// Log record that was read, which contains one save.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct OwnedRecord {
    /// New hard state, if it changed.
    pub(super) hard: Option<HardState>,
    /// Index from which the log is truncated before the entries are appended.
    pub(super) truncate: Option<LogIndex>,
    /// Entries to append.
    pub(super) entries: Vec<Entry>,
}

/// Result of reading a frame.
#[derive(Debug)]
pub(super) enum FrameRead<'a> {
    /// Content of a complete frame, and the size of the frame with its header in bytes.
    Complete(&'a [u8], usize),
    /// End of the file.
    End,
    /// The rest of the file is a partly written frame.
    Torn,
    /// The frame is corrupted, for the given reason.
    Damaged(&'static str),
}

/// Encodes a value as one frame.
pub(super) fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, DiskError> {
    let mut frame = postcard::to_extend(value, vec![0; FRAME_HEADER_BYTES])?;
    frame.push(END_MARKER);
    let content = frame.get(FRAME_HEADER_BYTES..).unwrap_or_default();
    let length = u32::try_from(content.len())
        .map_err(|_| DiskError::Encode(postcard::Error::SerializeBufferFull))?;
    let mut header = length.to_le_bytes().to_vec();
    header.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    if let Some(reserved) = frame.get_mut(..FRAME_HEADER_BYTES) {
        reserved.copy_from_slice(&header);
    }
    Ok(frame)
}

/// Reads the frame at `offset` of the file content `data`.
pub(super) fn read(data: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = data.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return FrameRead::End;
    }
    let Some((header, body)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
        return FrameRead::Torn;
    };
    if !is_valid_header(header) {
        // Only the last frame can be torn.
        return if has_unwritten_sector(header, offset) && !contains_frame(body) {
            FrameRead::Torn
        } else {
            FrameRead::Damaged("checksum mismatch in a frame header")
        };
    }
    let (length, checksum) = (read_u32(header, 0) as usize, read_u32(header, 4));
    let Some(content) = body.get(..length) else { return FrameRead::Torn };
    let size = FRAME_HEADER_BYTES + length;
    if crc32fast::hash(content) == checksum {
        let value = content.split_last().map_or(content, |(_, value)| value);
        return FrameRead::Complete(value, size);
    }
    let is_last = rest.len() == size;
    if is_last && has_unwritten_sector(rest, offset) {
        FrameRead::Torn
    } else {
        FrameRead::Damaged("checksum mismatch in a frame")
    }
}

/// Returns whether a frame header matches its checksum.
fn is_valid_header(header: &[u8]) -> bool {
    header.get(..8).map(crc32fast::hash) == Some(read_u32(header, 8))
}

/// Returns whether a complete frame starts anywhere in `data`.
fn contains_frame(data: &[u8]) -> bool {
    let starts = data.windows(FRAME_HEADER_BYTES).enumerate().filter(|(_, h)| is_valid_header(h));
    starts
        .map(|(offset, _)| read(data, offset))
        .any(|frame| matches!(frame, FrameRead::Complete(..)))
}

/// Returns whether a sector of `rest`, which starts at `offset` of its file, was never written.
///
/// A disk writes sectors atomically and in any order; unwritten sectors read as zeros.
fn has_unwritten_sector(rest: &[u8], offset: usize) -> bool {
    let first = SECTOR_BYTES - offset % SECTOR_BYTES;
    let (head, tail) = rest.split_at_checked(first).unwrap_or((rest, &[]));
    let is_unwritten = |sector: &[u8]| sector.iter().all(|b| *b == 0);
    is_unwritten(head) || tail.chunks(SECTOR_BYTES).any(is_unwritten)
}

/// Reads the little-endian number at `offset` of a header.
fn read_u32(header: &[u8], offset: usize) -> u32 {
    let bytes = header.get(offset..offset + 4).and_then(|b| b.try_into().ok());
    u32::from_le_bytes(bytes.unwrap_or_default())
}

/// Encodes the header of a file.
pub(super) fn file_header(kind: FileKind) -> Vec<u8> {
    let mut header = kind.magic().to_vec();
    header.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    header
}

/// Validates the header of a file.
pub(super) fn check_header(path: &Path, kind: FileKind, data: &[u8]) -> Result<(), DiskError> {
    let header = data.get(..FILE_HEADER_BYTES).unwrap_or_default();
    let checksum = header.get(..12).map(crc32fast::hash);
    let has_magic = header.get(..8) == Some(kind.magic().as_slice());
    if !has_magic || checksum != Some(read_u32(header, 12)) {
        return Err(DiskError::damaged(path, 0, "checksum mismatch in the file header"));
    }
    let found = read_u32(header, 8);
    if found != FORMAT_VERSION {
        return Err(DiskError::Version { file: path.to_owned(), found, known: FORMAT_VERSION });
    }
    Ok(())
}

/// Encodes a file that consists of one frame.
pub(super) fn encode_file<T: Serialize>(kind: FileKind, value: &T) -> Result<Vec<u8>, DiskError> {
    let mut data = file_header(kind);
    data.extend_from_slice(&encode(value)?);
    Ok(data)
}

/// Decodes a file that consists of one frame.
pub(super) fn decode_file<T: DeserializeOwned>(
    path: &Path,
    kind: FileKind,
    data: &[u8],
) -> Result<T, DiskError> {
    check_header(path, kind, data)?;
    let offset = FILE_HEADER_BYTES as u64;
    match read(data, FILE_HEADER_BYTES) {
        FrameRead::Complete(content, size) if FILE_HEADER_BYTES + size == data.len() => {
            decode(path, offset, content)
        }
        FrameRead::Damaged(reason) => Err(DiskError::damaged(path, offset, reason)),
        _ => {
            Err(DiskError::damaged(path, offset, "file doesn't contain exactly one complete frame"))
        }
    }
}

/// Decodes the content of a frame at `offset`.
pub(super) fn decode<T: DeserializeOwned>(
    path: &Path,
    offset: u64,
    content: &[u8],
) -> Result<T, DiskError> {
    postcard::from_bytes(content)
        .map_err(|_| DiskError::damaged(path, offset, "frame content can't be decoded"))
}
