//! Disk that can be full.

use std::fs;
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hawthornkeel::disk::FileIo;
use hawthornkeel::disk::SystemIo;

/// Fails a write while the disk is full or has no room for it, after writing half of the data.
#[derive(Clone, Debug, Default)]
pub struct FullDiskIo {
    full: Arc<AtomicBool>,
    limit: Option<FolderLimit>,
}

/// Limit on the size of a folder.
#[derive(Clone, Debug)]
pub struct FolderLimit {
    /// Folder.
    pub path: PathBuf,
    /// Maximum size of its files, in bytes.
    pub bytes: u64,
}

impl FolderLimit {
    fn has_room(&self, bytes: u64) -> bool {
        // A file may be removed while they are listed.
        let files = fs::read_dir(&self.path).unwrap().flatten();
        let used: u64 = files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum();
        used + bytes <= self.bytes
    }
}

impl FullDiskIo {
    /// Sets whether the disk is full.
    pub fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::SeqCst);
    }

    /// Limits the size of a folder from now on.
    pub fn set_limit(&mut self, limit: FolderLimit) {
        self.limit = Some(limit);
    }

    fn has_room(&self, bytes: u64) -> bool {
        let is_full = self.full.load(Ordering::SeqCst);
        !is_full && self.limit.as_ref().is_none_or(|l| l.has_room(bytes))
    }
}

impl FileIo for FullDiskIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        if !self.has_room(data.len() as u64) {
            SystemIo.write(file, &data[..data.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        SystemIo.sync(file)
    }
}
