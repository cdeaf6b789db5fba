//! Files of the data folder: lock, identity and atomic writes.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use hawthornkeel_core::ids::ReplicaId;
use rustix::fs::FlockOperation;
use rustix::io::Errno;

use crate::disk::error::DiskError;
use crate::disk::file_io::FileIo;
use crate::disk::frame;
use crate::disk::frame::FileKind;
use crate::disk::frame::Record;
use crate::disk::segment;
use crate::disk::segment::FIRST_SEGMENT;

/// Extension of files that are being written.
const TEMPORARY_EXTENSION: &str = "unfinished";

/// Exclusive lock on a data folder, held until it is dropped or the process exits.
#[derive(Debug)]
pub(super) struct Lock {
    _file: File,
}

/// Locks the folder, which is created if it doesn't exist.
pub(super) fn lock(path: &Path) -> Result<Lock, DiskError> {
    fs::create_dir_all(path).map_err(|e| DiskError::io(path, e))?;
    if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
        sync_folder(parent)?;
    }
    let name = path.join("lock");
    let options = OpenOptions::new().create(true).truncate(false).write(true).open(&name);
    let file = options.map_err(|e| DiskError::io(&name, e))?;
    match rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(Lock { _file: file }),
        Err(Errno::WOULDBLOCK) => Err(DiskError::Locked(path.to_owned())),
        Err(error) => Err(DiskError::io(&name, error.into())),
    }
}

/// Flushes the directory entries of the folder to the disk.
pub(super) fn sync_folder(path: &Path) -> Result<(), DiskError> {
    let synced = File::open(path).and_then(|f| f.sync_all());
    synced.map_err(|e| DiskError::io(path, e))
}

/// Writes and syncs a temporary file and renames it to `path`, so that the write is atomic.
pub(super) fn write_atomically<F: FileIo>(
    path: &Path,
    data: &[u8],
    io: &mut F,
) -> Result<File, DiskError> {
    let file = write_temporary(path, data, io)?;
    commit_temporary(path)?;
    Ok(file)
}

/// Writes and syncs the temporary file for `path`.
pub(super) fn write_temporary<F: FileIo>(
    path: &Path,
    data: &[u8],
    io: &mut F,
) -> Result<File, DiskError> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary).map_err(|e| DiskError::write(&temporary, e))?;
    io.write(&mut file, data).map_err(|e| DiskError::write(&temporary, e))?;
    io.sync(&file).map_err(|e| DiskError::io(&temporary, e))?;
    Ok(file)
}

/// Renames the temporary file for `path` to `path`.
pub(super) fn commit_temporary(path: &Path) -> Result<(), DiskError> {
    fs::rename(path.with_extension(TEMPORARY_EXTENSION), path)
        .map_err(|e| DiskError::write(path, e))?;
    path.parent().map_or(Ok(()), sync_folder)
}

/// Removes temporary files of interrupted writes.
pub(super) fn remove_temporary_files(path: &Path) -> Result<(), DiskError> {
    for file in list_files(path)? {
        if file.extension().is_some_and(|e| e == TEMPORARY_EXTENSION) {
            remove(&file)?;
        }
    }
    Ok(())
}

/// Removes a file.
pub(super) fn remove(path: &Path) -> Result<(), DiskError> {
    fs::remove_file(path).map_err(|e| DiskError::io(path, e))
}

/// Lists the files in a folder.
pub(super) fn list_files(path: &Path) -> Result<Vec<PathBuf>, DiskError> {
    let entries = fs::read_dir(path).map_err(|e| DiskError::io(path, e))?;
    let paths = entries.map(|entry| entry.map(|e| e.path()));
    paths.collect::<io::Result<_>>().map_err(|e| DiskError::io(path, e))
}

/// Returns the numbers of the files named `prefix` plus a hexadecimal number, in order.
pub(super) fn file_numbers(path: &Path, prefix: &str) -> Result<Vec<u64>, DiskError> {
    let number = |file: PathBuf| {
        let name = file.file_name()?.to_str()?.strip_prefix(prefix)?;
        u64::from_str_radix(name, 16).ok()
    };
    let mut numbers: Vec<u64> = list_files(path)?.into_iter().filter_map(number).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads the replica's identity, if the folder has one.
pub(super) fn read_identity(path: &Path) -> Result<Option<ReplicaId>, DiskError> {
    let name = path.join("identity");
    match fs::read(&name) {
        Ok(data) => frame::decode_file(&name, FileKind::Identity, &data).map(Some),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(DiskError::io(&name, error)),
    }
}

/// Creates the identity of an empty folder.
///
/// The first segment is created before it, so that a folder with an identity always has a log.
pub(super) fn create_identity<F: FileIo>(path: &Path, io: &mut F) -> Result<ReplicaId, DiskError> {
    let first = segment::path(path, FIRST_SEGMENT);
    let empty = Record { hard: None, truncate: None, entries: &[] };
    for file in list_files(path)? {
        let first_segment = file == first && segment::contains_only(&file, &[empty])?;
        let lock = file.file_name().is_some_and(|n| n == "lock");
        // Data whose identity file is missing must not be adopted under a new identity.
        if !first_segment && !lock {
            return Err(DiskError::Missing(path.join("identity")));
        }
    }
    segment::create(path, FIRST_SEGMENT, &[empty], io)?;
    let id = ReplicaId(rand::random());
    let data = frame::encode_file(FileKind::Identity, &id)?;
    write_atomically(&path.join("identity"), &data, io)?;
    Ok(id)
}
