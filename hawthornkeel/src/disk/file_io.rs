//! Writes and syncs: the edge to the operating system.

use std::fmt::Debug;
use std::fs::File;
use std::io;
use std::io::Write;

/// Writes and syncs of open files.
pub trait FileIo: Clone + Debug + Send + 'static {
    /// Writes all of `data` at the file's position.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; part of `data` may have been written.
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()>;

    /// Brings what was written to the file onto the disk.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; what was written may be lost.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// Writes and syncs of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemIo;

impl FileIo for SystemIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        file.write_all(data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
