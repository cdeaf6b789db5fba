//! Data folder: write-ahead log, snapshots and lock.
//!
//! The folder contains a lock file, the replica's identity, segments of the log and one snapshot.
//!
//! - The identity is generated when the folder is empty, so a replica that lost its disk returns
//!   under a new identity.
//! - A segment consists of a header and frames. A frame contains the saves that share one sync, and
//!   the next frame is written only after that sync. Therefore only the last frame can be torn, and
//!   it is truncated when the folder is opened. Any other checksum mismatch is damage, and the
//!   folder isn't opened.
//! - A snapshot is written to a temporary file, synced and renamed. It names the first segment that
//!   is still needed.
//! - After a failed write or sync nothing more is written, because it is unknown which data the
//!   kernel dropped. A frame or snapshot rejected by a full disk is the exception: everything before
//!   it was synced, so it is rolled back and written again.

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
    /// Size at which a new segment of the log is started, in bytes.
    pub segment_bytes: u64,
    /// Maximum number of saves that share one sync (group commit).
    pub group_saves: usize,
}

impl Default for DiskSettings {
    fn default() -> Self {
        Self { segment_bytes: 16 * 1024 * 1024, group_saves: 256 }
    }
}

/// State recovered from a data folder.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Persisted state of the replica.
    pub state: PersistedState,
    /// Size of the torn frame removed from the end of the log, in bytes.
    pub truncated_bytes: u64,
}

/// Open data folder. All calls block.
#[derive(Debug)]
pub struct Disk<F: FileIo = SystemIo> {
    path: PathBuf,
    settings: DiskSettings,
    io: F,
    /// Segments in order; writes go to the last one.
    segments: Vec<Segment>,
    file: File,
    hard_state: HardState,
    /// Index of the last log entry.
    last_index: LogIndex,
    poisoned: bool,
    _lock: Lock,
}

impl Disk {
    /// Opens the data folder at `path`, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is in use or damaged, has an unknown format version, or can't
    /// be read or written.
    pub fn open(path: &Path, settings: DiskSettings) -> Result<(Self, Recovered), DiskError> {
        Self::open_with(path, settings, SystemIo)
    }
}

impl<F: FileIo> Disk<F> {
    /// Opens the data folder at `path` with another implementation of file I/O.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Disk::open`].
    pub fn open_with(
        path: &Path,
        settings: DiskSettings,
        mut io: F,
    ) -> Result<(Self, Recovered), DiskError> {
        let lock = folder::lock(path)?;
        folder::remove_temporary_files(path)?;
        let id = match folder::read_identity(path)? {
            Some(id) => id,
            None => folder::create_identity(path, &mut io)?,
        };
        let log = recover::recover(path)?;
        let recovered = Recovered { id, state: log.state, truncated_bytes: log.torn_bytes };
        let last_index = recovered.state.entries.last().map_or(LogIndex(0), |e| e.index);
        let disk = Self {
            path: path.to_owned(),
            settings,
            io,
            segments: log.segments,
            file: log.file,
            hard_state: recovered.state.hard,
            last_index,
            poisoned: false,
            _lock: lock,
        };
        Ok((disk, recovered))
    }

    /// Writes and syncs saves in order; all of them are durable on return.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync failed. None of the saves counts as durable then, and
    /// every later call returns [`DiskError::Poisoned`], unless [`Disk::rollback`] succeeds.
    pub fn write(&mut self, saves: &[Save]) -> Result<(), DiskError> {
        if self.poisoned {
            return Err(DiskError::Poisoned);
        }
        // Cleared only on success, so that every early return leaves the folder poisoned.
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

    /// Removes the frame that [`Disk::write`] failed to write with [`DiskError::Full`].
    ///
    /// The failed call must have contained either only log saves or one snapshot, which must be
    /// written again.
    ///
    /// # Errors
    ///
    /// Returns an error if the segment can't be truncated; the folder stays poisoned.
    pub fn rollback(&mut self) -> Result<(), DiskError> {
        let Some(segment) = self.segments.last() else { return Err(DiskError::Poisoned) };
        let path = segment::path(&self.path, segment.number);
        self.file.set_len(segment.bytes).map_err(|e| DiskError::write(&path, e))?;
        let end = SeekFrom::Start(segment.bytes);
        self.file.seek(end).map_err(|e| DiskError::io(&path, e))?;
        self.poisoned = false;
        Ok(())
    }

    /// Writes and syncs records as one frame, after starting a new segment if the current one is
    /// full.
    ///
    /// The frame is the last file operation, so that it isn't on the disk if an error is returned
    /// because the disk is full.
    fn write_records(&mut self, records: &mut Vec<Record<'_>>) -> Result<(), DiskError> {
        if records.is_empty() {
            return Ok(());
        }
        let frame = frame::encode(&*records)?;
        if self.segments.last().is_some_and(|s| s.bytes >= self.settings.segment_bytes) {
            self.start_segment()?;
        }
        let Some(segment) = self.segments.last_mut() else { return Err(DiskError::Poisoned) };
        let path = segment::path(&self.path, segment.number);
        self.io.write(&mut self.file, &frame).map_err(|e| DiskError::write(&path, e))?;
        self.io.sync(&self.file).map_err(|e| DiskError::io(&path, e))?;
        segment.bytes += frame.len() as u64;
        for record in records.drain(..) {
            self.hard_state = record.hard.unwrap_or(self.hard_state);
            if let Some(from) = record.truncate {
                self.last_index = self.last_index.min(LogIndex(from.0.saturating_sub(1)));
            }
            self.last_index = record.entries.last().map_or(self.last_index, |e| e.index);
            segment.last_index = segment.last_index.max(self.last_index);
        }
        Ok(())
    }

    /// Starts a new segment, which repeats the hard state so that older segments can be removed.
    fn start_segment(&mut self) -> Result<(), DiskError> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let record = Record { hard: Some(self.hard_state), truncate: None, entries: &[] };
        let (file, bytes) = segment::create(&self.path, number, &[record], &mut self.io)?;
        self.file = file;
        self.segments.push(Segment { number, bytes, last_index: LogIndex(0) });
        Ok(())
    }

    /// Writes a snapshot, and removes the files that it replaces.
    fn write_snapshot(
        &mut self,
        snapshot: &Snapshot,
        retention: LogRetention,
    ) -> Result<(), DiskError> {
        let first = self.first_retained(retention);
        snapshot::write_temporary(&self.path, snapshot, first, &mut self.io)?;
        if retention == LogRetention::Nothing {
            self.start_segment()?;
            self.last_index = snapshot.index;
        }
        self.commit_snapshot(snapshot.index, first)
    }

    /// Returns the number of the first segment that is retained with a snapshot.
    ///
    /// It is the next one if nothing is retained.
    fn first_retained(&self, retention: LogRetention) -> u64 {
        let current = self.segments.last().map_or(1, |s| s.number);
        match retention {
            LogRetention::Nothing => current + 1,
            LogRetention::From(index) => {
                let retained = self.segments.iter().find(|s| s.last_index >= index);
                retained.map_or(current, |s| s.number)
            }
        }
    }

    /// Commits a snapshot that was written to a temporary file, and removes the files it replaces.
    fn commit_snapshot(&mut self, index: LogIndex, first: u64) -> Result<(), DiskError> {
        snapshot::commit_temporary(&self.path, index)?;
        snapshot::remove_older(&self.path, index)?;
        for segment in self.segments.extract_if(.., |s| s.number < first) {
            folder::remove(&segment::path(&self.path, segment.number))?;
        }
        Ok(())
    }
}
