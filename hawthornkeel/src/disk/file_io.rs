//! File writes and syncs, replaceable for fault injection.

use std::fmt::Debug;
use std::fs::File;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use crate::telemetry;

/// Duration of a sync from which on it is logged.
const SLOW_SYNC: Duration = Duration::from_millis(500);

/// Writes and syncs open files.
pub trait FileIo: Clone + Debug + Send + 'static {
    /// Writes all of `data` at the current position of the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. Part of `data` may have been written.
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()>;

    /// Flushes the written data of the file to the disk.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. Data written since the last sync may be lost.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// Writes and syncs files through the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemIo;

impl FileIo for SystemIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        file.write_all(data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        let started = Instant::now();
        let synced = file.sync_data();
        let time = started.elapsed();
        metrics::histogram!(telemetry::SYNC_SECONDS).record(time);
        if time >= SLOW_SYNC {
            tracing::warn!(event = "sync-slow", ms = time.as_millis());
        }
        synced
    }
}
