//! Data folder: write-ahead log, snapshots and the lock.
//!
//! The folder holds a lock, the replica's identity, segments of the log and one snapshot.
//!
//! - The identity is drawn when the folder is empty, so a lost disk comes back as another replica.
//! - A segment is a header and frames. A frame holds the saves that share one sync, and the next
//!   frame is written only after that sync. So only the last frame can be torn, which is cut off
//!   when the folder is opened; anything else that does not fit its checksum is damage, and the
//!   folder is not opened.
//! - A snapshot is written aside, synced and renamed. It names the first segment that counts.
//! - After a failed write or sync nothing more is written: what the kernel dropped can't be known.
//!   A frame that a full disk refused is the exception: all before it was synced, so it is taken
//!   back and written again.

mod error;
mod file_io;
mod folder;
mod frame;
mod recover;
mod segment;
mod snapshot;
mod writer;

use std::fs::File;
use std::io::Seek;
use std::io::SeekFrom;
use std::path::Path;
use std::path::PathBuf;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::replica::HardState;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Snapshot;

pub use crate::disk::error::DiskError;
pub use crate::disk::file_io::FileIo;
pub use crate::disk::file_io::SystemIo;
use crate::disk::folder::Lock;
use crate::disk::frame::Record;
use crate::disk::segment::Segment;
pub use crate::disk::writer::DiskWriter;
pub use crate::disk::writer::WriterEvent;

/// Settings of a data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DiskSettings {
    /// Size at which a segment of the log ends, in bytes.
    pub segment_bytes: u64,
    /// Saves that share one sync, at most.
    pub group_saves: usize,
}

impl Default for DiskSettings {
    fn default() -> Self {
        Self { segment_bytes: 16 * 1024 * 1024, group_saves: 256 }
    }
}

/// What a data folder holds.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// Identity of the folder.
    pub id: ReplicaId,
    /// State of the replica.
    pub state: PersistedState,
    /// Size of the torn end of the log that was cut off, in bytes.
    pub truncated_bytes: u64,
}

/// Open data folder. Its calls block.
#[derive(Debug)]
pub struct Disk<F: FileIo = SystemIo> {
    path: PathBuf,
    settings: DiskSettings,
    files: F,
    /// Segments in order; the last one is written to.
    segments: Vec<Segment>,
    file: File,
    hard: HardState,
    /// Last entry of the log.
    last: LogIndex,
    poisoned: bool,
    _lock: Lock,
}

impl Disk {
    /// Opens the data folder at `path`, which is created if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder is in use, damaged, of an unknown format version, or can't
    /// be read or written.
    pub fn open(path: &Path, settings: DiskSettings) -> Result<(Self, Recovered), DiskError> {
        Self::open_with(path, settings, SystemIo)
    }
}

impl<F: FileIo> Disk<F> {
    /// Opens the data folder at `path` with other means of writing and syncing.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Disk::open`].
    pub fn open_with(
        path: &Path,
        settings: DiskSettings,
        mut files: F,
    ) -> Result<(Self, Recovered), DiskError> {
        let lock = folder::lock(path)?;
        folder::remove_unfinished(path)?;
        let id = match folder::read_identity(path)? {
            Some(id) => id,
            None => folder::draw_identity(path, &mut files)?,
        };
        let found = recover::recover(path)?;
        let recovered = Recovered { id, state: found.stored, truncated_bytes: found.cut };
        let last = recovered.state.entries.last().map_or(LogIndex(0), |e| e.index);
        let disk = Self {
            path: path.to_owned(),
            settings,
            files,
            segments: found.segments,
            file: found.file,
            hard: recovered.state.hard,
            last,
            poisoned: false,
            _lock: lock,
        };
        Ok((disk, recovered))
    }

    /// Writes saves in order and syncs them: all are on disk when it returns.
    ///
    /// # Errors
    ///
    /// Returns an error where a write or sync failed. None of the saves counts then, and every
    /// later call fails with [`DiskError::Poisoned`].
    pub fn write(&mut self, saves: &[Save]) -> Result<(), DiskError> {
        if self.poisoned {
            return Err(DiskError::Poisoned);
        }
        // Cleared only by success, so that no early return leaves it out.
        self.poisoned = true;
        let mut records = Vec::new();
        for save in saves {
            match save {
                Save::Log { hard, truncate, entries } => {
                    records.push(Record { hard: *hard, truncate: *truncate, entries });
                }
                Save::Snapshot { snapshot, retention } => {
                    self.write_records(&mut records)?;
                    self.write_snapshot(snapshot, *retention)?;
                }
            }
        }
        self.write_records(&mut records)?;
        self.poisoned = false;
        Ok(())
    }

    /// Takes back a frame that [`Disk::write`] failed to write with [`DiskError::Full`].
    ///
    /// Only log saves may have been written with it; the same saves are to be written again.
    ///
    /// # Errors
    ///
    /// Returns an error where the end of the frame can't be cut off; the folder stays as it was.
    pub fn rollback(&mut self) -> Result<(), DiskError> {
        let Some(segment) = self.segments.last() else { return Err(DiskError::Poisoned) };
        let path = segment::path(&self.path, segment.number);
        self.file.set_len(segment.bytes).map_err(|e| DiskError::write(&path, e))?;
        let end = SeekFrom::Start(segment.bytes);
        self.file.seek(end).map_err(|e| DiskError::io(&path, e))?;
        self.poisoned = false;
        Ok(())
    }

    /// Writes records as one frame, syncs it, and begins a new segment if this one is full.
    fn write_records(&mut self, records: &mut Vec<Record<'_>>) -> Result<(), DiskError> {
        if records.is_empty() {
            return Ok(());
        }
        let frame = frame::encode(&*records)?;
        let Some(segment) = self.segments.last_mut() else { return Err(DiskError::Poisoned) };
        let path = segment::path(&self.path, segment.number);
        self.files.write(&mut self.file, &frame).map_err(|e| DiskError::write(&path, e))?;
        self.files.sync(&self.file).map_err(|e| DiskError::io(&path, e))?;
        segment.bytes += frame.len() as u64;
        for record in records.drain(..) {
            self.hard = record.hard.unwrap_or(self.hard);
            if let Some(from) = record.truncate {
                self.last = self.last.min(LogIndex(from.0.saturating_sub(1)));
            }
            self.last = record.entries.last().map_or(self.last, |e| e.index);
            segment.last = segment.last.max(self.last);
        }
        if segment.bytes >= self.settings.segment_bytes {
            self.begin_segment()?;
        }
        Ok(())
    }

    /// Begins a new segment, which repeats the hard state so that older ones may go.
    fn begin_segment(&mut self) -> Result<(), DiskError> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let hard = Record { hard: Some(self.hard), truncate: None, entries: &[] };
        let (file, bytes) = segment::create(&self.path, number, &[hard], &mut self.files)?;
        self.file = file;
        self.segments.push(Segment { number, bytes, last: LogIndex(0) });
        Ok(())
    }

    /// Writes a snapshot, and removes what it replaces.
    fn write_snapshot(
        &mut self,
        snapshot: &Snapshot,
        retention: LogRetention,
    ) -> Result<(), DiskError> {
        if retention == LogRetention::Nothing {
            self.begin_segment()?;
            self.last = snapshot.index;
        }
        let first = self.first_kept(retention);
        snapshot::write_aside(&self.path, snapshot, first, &mut self.files)?;
        self.adopt_snapshot(snapshot.index, first)
    }

    /// Returns the number of the first segment that a snapshot leaves.
    fn first_kept(&self, retention: LogRetention) -> u64 {
        let current = self.segments.last().map_or(1, |s| s.number);
        match retention {
            LogRetention::Nothing => current,
            LogRetention::From(index) => {
                let kept = self.segments.iter().find(|s| s.last >= index);
                kept.map_or(current, |s| s.number)
            }
        }
    }

    /// Puts a snapshot that was written aside in force, and removes what it replaces.
    fn adopt_snapshot(&mut self, index: LogIndex, first: u64) -> Result<(), DiskError> {
        snapshot::put_in_force(&self.path, index)?;
        snapshot::remove_older(&self.path, index)?;
        for segment in self.segments.extract_if(.., |s| s.number < first) {
            folder::remove(&segment::path(&self.path, segment.number))?;
        }
        Ok(())
    }
}
