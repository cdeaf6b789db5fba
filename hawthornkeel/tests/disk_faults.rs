//! Failing and full disks, locking, and loss of the data folder.

mod saves;

use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::disk::Disk;
use hawthornkeel::disk::DiskError;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel::disk::DiskWriter;
use hawthornkeel::disk::FileIo;
use hawthornkeel::disk::Recovered;
use hawthornkeel::disk::SystemIo;
use hawthornkeel::disk::WriterEvent;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use rstest::rstest;
use tempfile::TempDir;

use crate::saves::entries;
use crate::saves::snapshot;

/// Fails one write or sync, and counts the calls after it.
#[derive(Clone, Debug)]
struct FailingIo {
    /// Remaining calls up to and including the one that fails.
    remaining: Arc<AtomicU64>,
    /// Number of calls after the one that failed.
    calls_after: Arc<AtomicU64>,
    operation: Operation,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Operation {
    Write,
    Sync,
}

impl FailingIo {
    fn new(operation: Operation) -> Self {
        let remaining = Arc::new(AtomicU64::new(u64::MAX));
        Self { remaining, calls_after: Arc::default(), operation }
    }

    fn check(&self, call: Operation) -> io::Result<()> {
        let remaining = self.remaining.load(Ordering::SeqCst);
        if remaining == 0 {
            self.calls_after.fetch_add(1, Ordering::SeqCst);
        } else if call == self.operation {
            self.remaining.store(remaining - 1, Ordering::SeqCst);
            if remaining == 1 {
                return Err(io::ErrorKind::StorageFull.into());
            }
        }
        // Later calls succeed, as those of a kernel do after it dropped the data it couldn't write.
        Ok(())
    }
}

impl FileIo for FailingIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let half = data.len() / 2;
        if let Err(error) = self.check(Operation::Write) {
            SystemIo.write(file, &data[..half])?;
            return Err(error);
        }
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        self.check(Operation::Sync)?;
        SystemIo.sync(file)
    }
}

/// Blocks writes of large files, such as snapshots, until they are released.
#[derive(Clone, Debug, Default)]
struct BlockingIo {
    released: Arc<(Mutex<bool>, Condvar)>,
}

impl BlockingIo {
    fn release(&self) {
        *self.released.0.lock().unwrap() = true;
        self.released.1.notify_all();
    }
}

impl FileIo for BlockingIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        if data.len() > 1_000 {
            let released = self.released.0.lock().unwrap();
            drop(self.released.1.wait_while(released, |r| !*r).unwrap());
        }
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        SystemIo.sync(file)
    }
}

fn open(path: &Path) -> Result<(Disk, Recovered), DiskError> {
    Disk::open(path, DiskSettings::default())
}

#[rstest]
#[case(Operation::Write)]
#[case(Operation::Sync)]
fn failure_is_permanent(#[case] operation: Operation) {
    let folder = TempDir::new().unwrap();
    let io = FailingIo::new(operation);
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), io.clone());
    let (mut disk, _) = opened.unwrap();
    disk.write(&[entries(1, 2)]).unwrap();
    io.remaining.store(1, Ordering::SeqCst);
    let first = disk.write(&[entries(3, 3)]);
    match operation {
        Operation::Write => assert!(matches!(first, Err(DiskError::Full(_))), "{first:?}"),
        Operation::Sync => assert!(matches!(first, Err(DiskError::Io { .. })), "{first:?}"),
    }
    for _ in 0..3 {
        let later = disk.write(&[entries(3, 3)]);
        assert!(matches!(later, Err(DiskError::Poisoned)), "{later:?}");
    }
    assert_eq!(io.calls_after.load(Ordering::SeqCst), 0, "written or synced again after a failure");
    drop(disk);
    // The failed save may be on the disk or not, but acknowledged saves are.
    let (_, recovered) = open(folder.path()).unwrap();
    assert!(recovered.state.entries.len() >= 2);
}

#[test]
fn writer_stops_on_failure() {
    let folder = TempDir::new().unwrap();
    let io = FailingIo::new(Operation::Sync);
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), io.clone());
    let (disk, _) = opened.unwrap();
    let (sender, events) = mpsc::channel();
    let writer = DiskWriter::start(disk, move |e| sender.send(e).unwrap()).unwrap();
    let wait = Duration::from_secs(20);
    writer.save(SaveSeq(1), entries(1, 1));
    assert!(matches!(events.recv_timeout(wait), Ok(WriterEvent::Synced(SaveSeq(1)))));
    io.remaining.store(1, Ordering::SeqCst);
    writer.save(SaveSeq(2), entries(2, 2));
    assert!(matches!(events.recv_timeout(wait), Ok(WriterEvent::Failed(DiskError::Io { .. }))));
    writer.save(SaveSeq(3), entries(2, 2));
    drop(writer);
    assert!(events.recv().is_err(), "the writer reported an event after a failure");
}

/// Fails every write while the disk is full, after writing half of the data.
#[derive(Clone, Debug, Default)]
struct FullDiskIo {
    full: Arc<AtomicBool>,
    failures: Arc<AtomicU64>,
}

impl FullDiskIo {
    /// Waits until `count` writes have failed.
    fn await_failures(&self, count: u64) {
        let start = Instant::now();
        while self.failures.load(Ordering::SeqCst) < count {
            assert!(start.elapsed() < Duration::from_secs(20), "the write was not retried");
            std::thread::yield_now();
        }
    }
}

impl FileIo for FullDiskIo {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        if self.full.load(Ordering::SeqCst) {
            self.failures.fetch_add(1, Ordering::SeqCst);
            SystemIo.write(file, &data[..data.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        SystemIo.sync(file)
    }
}

fn start_writer(folder: &Path) -> (DiskWriter, mpsc::Receiver<WriterEvent>, FullDiskIo) {
    let io = FullDiskIo::default();
    let (disk, _) = Disk::open_with(folder, DiskSettings::default(), io.clone()).unwrap();
    let (sender, events) = mpsc::channel();
    let writer = DiskWriter::start(disk, move |e| sender.send(e).unwrap()).unwrap();
    (writer, events, io)
}

#[test]
fn full_disk_is_retried() {
    let folder = TempDir::new().unwrap();
    let (writer, events, io) = start_writer(folder.path());
    let wait = Duration::from_secs(20);
    writer.save(SaveSeq(1), entries(1, 3));
    assert!(matches!(events.recv_timeout(wait), Ok(WriterEvent::Synced(SaveSeq(1)))));
    io.full.store(true, Ordering::SeqCst);
    writer.save(SaveSeq(2), entries(4, 6));
    io.await_failures(3);
    assert!(events.try_recv().is_err(), "the writer reported an event while the disk was full");
    io.full.store(false, Ordering::SeqCst);
    assert!(matches!(events.recv_timeout(wait), Ok(WriterEvent::Synced(SaveSeq(2)))));
    drop(writer);
    assert_eq!(open(folder.path()).unwrap().1.state.entries.len(), 6);
}

#[test]
fn full_disk_skips_snapshot() {
    let folder = TempDir::new().unwrap();
    let (writer, events, io) = start_writer(folder.path());
    writer.save(SaveSeq(1), entries(1, 9));
    assert!(matches!(events.recv(), Ok(WriterEvent::Synced(SaveSeq(1)))));
    io.full.store(true, Ordering::SeqCst);
    writer.save(
        SaveSeq(2),
        Save::Snapshot { snapshot: snapshot(8), retention: LogRetention::From(LogIndex(6)) },
    );
    io.await_failures(1);
    io.full.store(false, Ordering::SeqCst);
    writer.save(SaveSeq(3), entries(10, 10));
    drop(writer);
    let failed = events.iter().find(|e| matches!(e, WriterEvent::Failed(_)));
    assert!(failed.is_none(), "{failed:?}");
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!((recovered.state.snapshot, recovered.state.entries.len()), (None, 10));
}

#[test]
fn shutdown_ignores_full_disk() {
    let folder = TempDir::new().unwrap();
    let (writer, events, io) = start_writer(folder.path());
    io.full.store(true, Ordering::SeqCst);
    writer.save(SaveSeq(1), entries(1, 3));
    drop(writer);
    assert!(matches!(events.recv(), Ok(WriterEvent::Failed(DiskError::Full(_)))));
}

#[test]
fn writer_events_in_order() {
    let folder = TempDir::new().unwrap();
    let (disk, _) = open(folder.path()).unwrap();
    let (sender, events) = mpsc::channel();
    let writer = DiskWriter::start(disk, move |e| sender.send(e).unwrap()).unwrap();
    (1..=500).for_each(|i| writer.save(SaveSeq(i), entries(i, i)));
    drop(writer);
    let seqs = events.iter().map(|e| match e {
        WriterEvent::Synced(seq) => seq.0,
        WriterEvent::Failed(error) => panic!("{error}"),
    });
    let seqs: Vec<_> = seqs.collect();
    assert!(seqs.is_sorted() && seqs.last() == Some(&500) && seqs.len() < 500);
    assert_eq!(open(folder.path()).unwrap().1.state.entries.len(), 500);
}

#[test]
fn snapshot_blocks_no_save() {
    let folder = TempDir::new().unwrap();
    let io = BlockingIo::default();
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), io.clone());
    let (sender, events) = mpsc::channel();
    let writer = DiskWriter::start(opened.unwrap().0, move |e| sender.send(e).unwrap()).unwrap();
    writer.save(SaveSeq(1), entries(1, 9));
    let retention = LogRetention::From(LogIndex(6));
    writer.save(SaveSeq(2), Save::Snapshot { snapshot: snapshot(8), retention });
    writer.save(SaveSeq(3), entries(10, 10));
    let mut synced = SaveSeq(0);
    while synced < SaveSeq(3) {
        match events.recv_timeout(Duration::from_secs(20)) {
            Ok(WriterEvent::Synced(seq)) => synced = seq,
            other => {
                io.release();
                panic!("after {synced:?}: {other:?}");
            }
        }
    }
    io.release();
    // A snapshot that replaces the log is committed after the one in progress.
    writer.save(
        SaveSeq(4),
        Save::Snapshot { snapshot: snapshot(20), retention: LogRetention::Nothing },
    );
    writer.save(SaveSeq(5), entries(21, 22));
    drop(writer);
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.state.snapshot, Some(snapshot(20)));
    assert_eq!(recovered.state.entries.len(), 2);
}

#[test]
fn failed_snapshot_is_reported() {
    let folder = TempDir::new().unwrap();
    let io = FailingIo::new(Operation::Sync);
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), io.clone());
    let (sender, events) = mpsc::channel();
    let writer = DiskWriter::start(opened.unwrap().0, move |e| sender.send(e).unwrap()).unwrap();
    io.remaining.store(1, Ordering::SeqCst);
    let retention = LogRetention::From(LogIndex(1));
    writer.save(SaveSeq(1), Save::Snapshot { snapshot: snapshot(8), retention });
    drop(writer);
    let last = events.iter().last();
    assert!(matches!(last, Some(WriterEvent::Failed(DiskError::Io { .. }))), "{last:?}");
    assert_eq!(open(folder.path()).unwrap().1.state.snapshot, None);
}

#[test]
fn folder_is_locked() {
    let folder = TempDir::new().unwrap();
    let (disk, _) = open(folder.path()).unwrap();
    let second = open(folder.path());
    assert!(matches!(second, Err(DiskError::Locked(_))), "{second:?}");
    drop(disk);
    assert!(open(folder.path()).is_ok());
}

#[test]
fn lost_folder_gets_new_identity() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("data");
    let first = open(&path).unwrap().1.id;
    assert_eq!(open(&path).unwrap().1.id, first);
    std::fs::remove_dir_all(&path).unwrap();
    assert_ne!(open(&path).unwrap().1.id, first);
}

#[test]
fn interrupted_creation_is_repeated() {
    let folder = TempDir::new().unwrap();
    let first = open(folder.path()).unwrap().1.id;
    // State after a crash between the creation of the first segment and of the identity.
    std::fs::remove_file(folder.path().join("identity")).unwrap();
    std::fs::write(folder.path().join("identity.unfinished"), b"hk").unwrap();
    assert_ne!(open(folder.path()).unwrap().1.id, first);
}
