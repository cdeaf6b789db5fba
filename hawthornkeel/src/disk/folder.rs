//! Folder proper: lock, identity, and files that appear whole or not at all.

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
use crate::disk::frame::Kind;
use crate::disk::frame::Record;
use crate::disk::segment;
use crate::disk::segment::FIRST_SEGMENT;

/// Ending of files that are being written.
const UNFINISHED: &str = "unfinished";

/// Exclusive lock on a data folder, held until it is dropped or the process ends.
#[derive(Debug)]
pub(super) struct Lock {
    _file: File,
}

/// Creates the folder if there is none, and locks it.
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

/// Brings the names of the folder's files onto the disk.
pub(super) fn sync_folder(path: &Path) -> Result<(), DiskError> {
    let synced = File::open(path).and_then(|f| f.sync_all());
    synced.map_err(|e| DiskError::io(path, e))
}

/// Writes a file aside, syncs it and renames it to `path`, so that it appears whole or not at all.
pub(super) fn write_whole<F: FileIo>(
    path: &Path,
    data: &[u8],
    files: &mut F,
) -> Result<File, DiskError> {
    let file = write_aside(path, data, files)?;
    put_in_force(path)?;
    Ok(file)
}

/// Writes the content of `path` to a file beside it, and syncs that.
pub(super) fn write_aside<F: FileIo>(
    path: &Path,
    data: &[u8],
    files: &mut F,
) -> Result<File, DiskError> {
    let aside = path.with_extension(UNFINISHED);
    let mut file = File::create(&aside).map_err(|e| DiskError::write(&aside, e))?;
    files.write(&mut file, data).map_err(|e| DiskError::write(&aside, e))?;
    files.sync(&file).map_err(|e| DiskError::io(&aside, e))?;
    Ok(file)
}

/// Renames what was written aside to `path`.
pub(super) fn put_in_force(path: &Path) -> Result<(), DiskError> {
    fs::rename(path.with_extension(UNFINISHED), path).map_err(|e| DiskError::io(path, e))?;
    path.parent().map_or(Ok(()), sync_folder)
}

/// Removes files whose writing was broken off.
pub(super) fn remove_unfinished(path: &Path) -> Result<(), DiskError> {
    for file in list(path)? {
        if file.extension().is_some_and(|e| e == UNFINISHED) {
            remove(&file)?;
        }
    }
    Ok(())
}

/// Removes a file.
pub(super) fn remove(path: &Path) -> Result<(), DiskError> {
    fs::remove_file(path).map_err(|e| DiskError::io(path, e))
}

/// Lists the files of a folder.
pub(super) fn list(path: &Path) -> Result<Vec<PathBuf>, DiskError> {
    let entries = fs::read_dir(path).map_err(|e| DiskError::io(path, e))?;
    let paths = entries.map(|entry| entry.map(|e| e.path()));
    paths.collect::<io::Result<_>>().map_err(|e| DiskError::io(path, e))
}

/// Lists the numbers of the files called `prefix` and a number in hexadecimal, in order.
pub(super) fn numbers(path: &Path, prefix: &str) -> Result<Vec<u64>, DiskError> {
    let number = |file: PathBuf| {
        let name = file.file_name()?.to_str()?.strip_prefix(prefix)?;
        u64::from_str_radix(name, 16).ok()
    };
    let mut numbers: Vec<u64> = list(path)?.into_iter().filter_map(number).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads the identity of the folder, if it has one.
pub(super) fn read_identity(path: &Path) -> Result<Option<ReplicaId>, DiskError> {
    let name = path.join("identity");
    match fs::read(&name) {
        Ok(data) => frame::decode_file(&name, Kind::Identity, &data).map(Some),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(DiskError::io(&name, error)),
    }
}

/// Draws the identity of an empty folder.
///
/// The first segment goes before it, so that a folder with an identity always has a log.
pub(super) fn draw_identity<F: FileIo>(path: &Path, files: &mut F) -> Result<ReplicaId, DiskError> {
    let first = segment::path(path, FIRST_SEGMENT);
    let empty = Record { hard: None, truncate: None, entries: &[] };
    for file in list(path)? {
        let begun = file == first && segment::holds_only(&file, &[empty])?;
        let lock = file.file_name().is_some_and(|n| n == "lock");
        // Files without the identity that they were written under must not get another one.
        if !begun && !lock {
            return Err(DiskError::Missing(path.join("identity")));
        }
    }
    segment::create(path, FIRST_SEGMENT, &[empty], files)?;
    let id = ReplicaId(rand::random());
    let data = frame::encode_file(Kind::Identity, &id)?;
    write_whole(&path.join("identity"), &data, files)?;
    Ok(id)
}
