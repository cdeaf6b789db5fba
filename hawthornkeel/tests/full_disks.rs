//! Saves on a disk that is full for a while, and recovery of what was written around them.

mod saves;

use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::disk::Disk;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel::disk::DiskWriter;
use hawthornkeel::disk::FileIo;
use hawthornkeel::disk::SystemIo;
use hawthornkeel::disk::WriterEvent;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use tempfile::TempDir;

use crate::saves::entries;
use crate::saves::snapshot;

/// Time after which a test gives up waiting.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of writes that exceeds those of a test.
const UNLIMITED: u64 = u64::MAX / 2;
/// Segments so small that each frame fills one.
const SMALL_SEGMENTS: u64 = 1;

/// Disk that has room for a number of writes. Further ones write half of the data and fail.
#[derive(Clone, Debug)]
struct LimitedIo {
    room: Arc<AtomicU64>,
    failures: Arc<AtomicU64>,
}

impl LimitedIo {
    fn new() -> Self {
        Self { room: Arc::new(AtomicU64::new(UNLIMITED)), failures: Arc::default() }
    }

    /// Sets the number of writes for which there is room.
    fn set_room(&self, writes: u64) {
        self.room.store(writes, Ordering::SeqCst);
    }

    /// Waits until `count` writes have failed.
    fn await_failures(&self, count: u64) {
        let start = Instant::now();
        while self.failures.load(Ordering::SeqCst) < count {
            assert!(start.elapsed() < TEST_TIMEOUT, "the write was not retried");
            std::thread::yield_now();
        }
    }
}

impl FileIo for LimitedIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let room = self.room.load(Ordering::SeqCst);
        if room == 0 {
            SystemIo.write(file, &data[..data.len() / 2])?;
            self.failures.fetch_add(1, Ordering::SeqCst);
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.room.store(room - 1, Ordering::SeqCst);
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        SystemIo.sync(file)
    }
}

/// Writer to a folder on a disk of limited room.
struct LimitedWriter {
    writer: DiskWriter,
    events: mpsc::Receiver<WriterEvent>,
    io: LimitedIo,
}

impl LimitedWriter {
    fn start(folder: &Path, segment_bytes: u64) -> Self {
        let io = LimitedIo::new();
        let settings = DiskSettings { segment_bytes, ..DiskSettings::default() };
        let (disk, _) = Disk::open_with(folder, settings, io.clone()).unwrap();
        let (sender, events) = mpsc::channel();
        let writer = DiskWriter::start(disk, move |e| sender.send(e).unwrap()).unwrap();
        Self { writer, events, io }
    }

    /// Waits until the save `seq` is synced.
    fn await_synced(&self, seq: u64) {
        loop {
            match self.events.recv_timeout(TEST_TIMEOUT) {
                Ok(WriterEvent::Synced(synced)) if synced >= SaveSeq(seq) => return,
                Ok(WriterEvent::Synced(_)) => {}
                other => panic!("waiting for save {seq}: {other:?}"),
            }
        }
    }
}

/// Returns the state that a process recovers from a folder.
fn recovered(folder: &Path) -> PersistedState {
    Disk::open(folder, DiskSettings::default()).unwrap().1.state
}

fn indices(state: &PersistedState) -> Vec<u64> {
    state.entries.iter().map(|e| e.index.0).collect()
}

/// Snapshot of the leader, which replaces the log.
fn install(index: u64) -> Save {
    Save::Snapshot { snapshot: snapshot(index), retention: LogRetention::Nothing }
}

// Writes a frame, has no room for the next segment, and must not write the frame twice.
#[test]
fn no_frame_written_twice() {
    // Each group of saves takes two writes: its frame, and a segment before or after it.
    for room in 0..2 {
        let folder = TempDir::new().unwrap();
        let limited = LimitedWriter::start(folder.path(), SMALL_SEGMENTS);
        limited.io.set_room(room);
        (1..=4).for_each(|i| limited.writer.save(SaveSeq(i), entries(i, i)));
        limited.io.await_failures(2);
        limited.io.set_room(UNLIMITED);
        limited.await_synced(4);
        limited.writer.save(SaveSeq(5), entries(5, 5));
        drop(limited);
        assert_eq!(indices(&recovered(folder.path())), [1, 2, 3, 4, 5], "room for {room} writes");
    }
}

#[test]
fn installed_snapshot_is_retried() {
    for room in 0..2 {
        let folder = TempDir::new().unwrap();
        let limited = LimitedWriter::start(folder.path(), DiskSettings::default().segment_bytes);
        limited.writer.save(SaveSeq(1), entries(1, 3));
        limited.await_synced(1);
        limited.io.set_room(room);
        limited.writer.save(SaveSeq(2), install(20));
        limited.writer.save(SaveSeq(3), entries(21, 22));
        limited.io.await_failures(3);
        assert!(limited.events.try_recv().is_err(), "room for {room} writes");
        limited.io.set_room(UNLIMITED);
        limited.await_synced(3);
        drop(limited);
        let state = recovered(folder.path());
        assert_eq!(state.snapshot, Some(snapshot(20)), "room for {room} writes");
        assert_eq!(indices(&state), [21, 22], "room for {room} writes");
    }
}

// A process that ends while the snapshot has no room must find what it had before.
#[test]
fn unfinished_install_changes_nothing() {
    for room in 0..2 {
        let folder = TempDir::new().unwrap();
        let limited = LimitedWriter::start(folder.path(), DiskSettings::default().segment_bytes);
        limited.writer.save(SaveSeq(1), entries(1, 3));
        limited.await_synced(1);
        limited.io.set_room(room);
        limited.writer.save(SaveSeq(2), install(20));
        limited.io.await_failures(1);
        drop(limited);
        let state = recovered(folder.path());
        assert_eq!((&state.snapshot, indices(&state)), (&None, vec![1, 2, 3]), "room for {room}");
    }
}

#[test]
fn skipped_snapshot_is_replaced() {
    let folder = TempDir::new().unwrap();
    let limited = LimitedWriter::start(folder.path(), SMALL_SEGMENTS);
    let own = |index: u64, from: u64| Save::Snapshot {
        snapshot: snapshot(index),
        retention: LogRetention::From(LogIndex(from)),
    };
    (1..=9).for_each(|i| limited.writer.save(SaveSeq(i), entries(i, i)));
    limited.await_synced(9);
    limited.io.set_room(0);
    limited.writer.save(SaveSeq(10), own(8, 6));
    limited.io.await_failures(1);
    limited.io.set_room(UNLIMITED);
    for index in 10..=19 {
        limited.writer.save(SaveSeq(index + 1), entries(index, index));
        limited.await_synced(index + 1);
    }
    limited.writer.save(SaveSeq(21), own(18, 16));
    limited.writer.save(SaveSeq(22), entries(20, 20));
    limited.await_synced(22);
    drop(limited);
    let state = recovered(folder.path());
    assert_eq!(state.snapshot, Some(snapshot(18)));
    assert_eq!(indices(&state), [16, 17, 18, 19, 20]);
}
