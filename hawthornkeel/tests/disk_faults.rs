//! Failing disks, two processes on one folder, and lost folders.

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

/// What fails, and how often that was tried.
#[derive(Clone, Debug)]
struct Failing {
    /// Writes or syncs that are left before one fails.
    left: Arc<AtomicU64>,
    /// Calls after the one that failed.
    after: Arc<AtomicU64>,
    fails: Fails,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fails {
    Write,
    Sync,
}

impl Failing {
    fn new(fails: Fails) -> Self {
        let left = Arc::new(AtomicU64::new(u64::MAX));
        Self { left, after: Arc::default(), fails }
    }

    fn check(&self, call: Fails) -> io::Result<()> {
        let left = self.left.load(Ordering::SeqCst);
        if left == 0 {
            self.after.fetch_add(1, Ordering::SeqCst);
        } else if call == self.fails {
            self.left.store(left - 1, Ordering::SeqCst);
            if left == 1 {
                return Err(io::ErrorKind::StorageFull.into());
            }
        }
        // A later call succeeds, as a kernel's does once it has dropped what it could not write.
        Ok(())
    }
}

impl FileIo for Failing {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let half = data.len() / 2;
        if let Err(error) = self.check(Fails::Write) {
            SystemIo.write(file, &data[..half])?;
            return Err(error);
        }
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        self.check(Fails::Sync)?;
        SystemIo.sync(file)
    }
}

/// Holds back large files, such as snapshots, until they are released.
#[derive(Clone, Debug, Default)]
struct HeldBack {
    released: Arc<(Mutex<bool>, Condvar)>,
}

impl HeldBack {
    fn release(&self) {
        *self.released.0.lock().unwrap() = true;
        self.released.1.notify_all();
    }
}

impl FileIo for HeldBack {
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
#[case(Fails::Write)]
#[case(Fails::Sync)]
fn failure_is_final(#[case] fails: Fails) {
    let folder = TempDir::new().unwrap();
    let files = Failing::new(fails);
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), files.clone());
    let (mut disk, _) = opened.unwrap();
    disk.write(&[entries(1, 2)]).unwrap();
    files.left.store(1, Ordering::SeqCst);
    let first = disk.write(&[entries(3, 3)]);
    match fails {
        Fails::Write => assert!(matches!(first, Err(DiskError::Full(_))), "{first:?}"),
        Fails::Sync => assert!(matches!(first, Err(DiskError::Io { .. })), "{first:?}"),
    }
    for _ in 0..3 {
        let later = disk.write(&[entries(3, 3)]);
        assert!(matches!(later, Err(DiskError::Poisoned)), "{later:?}");
    }
    assert_eq!(files.after.load(Ordering::SeqCst), 0, "written or synced again after a failure");
    drop(disk);
    // What failed may be there or not, but what was acknowledged is.
    let (_, found) = open(folder.path()).unwrap();
    assert!(found.state.entries.len() >= 2);
}

#[test]
fn writer_stops_at_failure() {
    let folder = TempDir::new().unwrap();
    let files = Failing::new(Fails::Sync);
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), files.clone());
    let (disk, _) = opened.unwrap();
    let (sender, reports) = mpsc::channel();
    let writer = DiskWriter::start(disk, move |r| sender.send(r).unwrap()).unwrap();
    let wait = Duration::from_secs(20);
    writer.save(SaveSeq(1), entries(1, 1));
    assert!(matches!(reports.recv_timeout(wait), Ok(WriterEvent::Synced(SaveSeq(1)))));
    files.left.store(1, Ordering::SeqCst);
    writer.save(SaveSeq(2), entries(2, 2));
    assert!(matches!(reports.recv_timeout(wait), Ok(WriterEvent::Failed(DiskError::Io { .. }))));
    writer.save(SaveSeq(3), entries(2, 2));
    drop(writer);
    assert!(reports.recv().is_err(), "reported more after a failure");
}

/// Refuses every write while it is full, part of it written.
#[derive(Clone, Debug, Default)]
struct Filling {
    full: Arc<AtomicBool>,
    refused: Arc<AtomicU64>,
}

impl Filling {
    /// Waits until so many writes were refused.
    fn await_refusals(&self, count: u64) {
        let start = Instant::now();
        while self.refused.load(Ordering::SeqCst) < count {
            assert!(start.elapsed() < Duration::from_secs(20), "not written again");
            std::thread::yield_now();
        }
    }
}

impl FileIo for Filling {
    fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        if self.full.load(Ordering::SeqCst) {
            self.refused.fetch_add(1, Ordering::SeqCst);
            SystemIo.write(file, &data[..data.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        SystemIo.write(file, data)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        SystemIo.sync(file)
    }
}

fn start_filling(folder: &Path) -> (DiskWriter, mpsc::Receiver<WriterEvent>, Filling) {
    let files = Filling::default();
    let (disk, _) = Disk::open_with(folder, DiskSettings::default(), files.clone()).unwrap();
    let (sender, reports) = mpsc::channel();
    let writer = DiskWriter::start(disk, move |r| sender.send(r).unwrap()).unwrap();
    (writer, reports, files)
}

#[test]
fn full_disk_is_waited_for() {
    let folder = TempDir::new().unwrap();
    let (writer, reports, files) = start_filling(folder.path());
    let wait = Duration::from_secs(20);
    writer.save(SaveSeq(1), entries(1, 3));
    assert!(matches!(reports.recv_timeout(wait), Ok(WriterEvent::Synced(SaveSeq(1)))));
    files.full.store(true, Ordering::SeqCst);
    writer.save(SaveSeq(2), entries(4, 6));
    files.await_refusals(3);
    assert!(reports.try_recv().is_err(), "reported while the disk was full");
    files.full.store(false, Ordering::SeqCst);
    assert!(matches!(reports.recv_timeout(wait), Ok(WriterEvent::Synced(SaveSeq(2)))));
    drop(writer);
    assert_eq!(open(folder.path()).unwrap().1.state.entries.len(), 6);
}

#[test]
fn full_disk_leaves_snapshots_out() {
    let folder = TempDir::new().unwrap();
    let (writer, reports, files) = start_filling(folder.path());
    writer.save(SaveSeq(1), entries(1, 9));
    assert!(matches!(reports.recv(), Ok(WriterEvent::Synced(SaveSeq(1)))));
    files.full.store(true, Ordering::SeqCst);
    writer.save(
        SaveSeq(2),
        Save::Snapshot { snapshot: snapshot(8), retention: LogRetention::From(LogIndex(6)) },
    );
    files.await_refusals(1);
    files.full.store(false, Ordering::SeqCst);
    writer.save(SaveSeq(3), entries(10, 10));
    drop(writer);
    let failed = reports.iter().find(|r| matches!(r, WriterEvent::Failed(_)));
    assert!(failed.is_none(), "{failed:?}");
    let (_, found) = open(folder.path()).unwrap();
    assert_eq!((found.state.snapshot, found.state.entries.len()), (None, 10));
}

#[test]
fn stop_does_not_wait_for_room() {
    let folder = TempDir::new().unwrap();
    let (writer, reports, files) = start_filling(folder.path());
    files.full.store(true, Ordering::SeqCst);
    writer.save(SaveSeq(1), entries(1, 3));
    drop(writer);
    assert!(matches!(reports.recv(), Ok(WriterEvent::Failed(DiskError::Full(_)))));
}

#[test]
fn writer_reports_in_order() {
    let folder = TempDir::new().unwrap();
    let (disk, _) = open(folder.path()).unwrap();
    let (sender, reports) = mpsc::channel();
    let writer = DiskWriter::start(disk, move |r| sender.send(r).unwrap()).unwrap();
    (1..=500).for_each(|i| writer.save(SaveSeq(i), entries(i, i)));
    drop(writer);
    let seqs = reports.iter().map(|r| match r {
        WriterEvent::Synced(seq) => seq.0,
        WriterEvent::Failed(error) => panic!("{error}"),
    });
    let seqs: Vec<_> = seqs.collect();
    assert!(seqs.is_sorted() && seqs.last() == Some(&500) && seqs.len() < 500);
    assert_eq!(open(folder.path()).unwrap().1.state.entries.len(), 500);
}

#[test]
fn snapshot_holds_up_no_save() {
    let folder = TempDir::new().unwrap();
    let files = HeldBack::default();
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), files.clone());
    let (sender, reports) = mpsc::channel();
    let writer = DiskWriter::start(opened.unwrap().0, move |r| sender.send(r).unwrap()).unwrap();
    writer.save(SaveSeq(1), entries(1, 9));
    let retention = LogRetention::From(LogIndex(6));
    writer.save(SaveSeq(2), Save::Snapshot { snapshot: snapshot(8), retention });
    writer.save(SaveSeq(3), entries(10, 10));
    let mut synced = SaveSeq(0);
    while synced < SaveSeq(3) {
        match reports.recv_timeout(Duration::from_secs(20)) {
            Ok(WriterEvent::Synced(seq)) => synced = seq,
            other => {
                files.release();
                panic!("after {synced:?}: {other:?}");
            }
        }
    }
    files.release();
    // A snapshot that replaces the log comes after the one on its way.
    writer.save(
        SaveSeq(4),
        Save::Snapshot { snapshot: snapshot(20), retention: LogRetention::Nothing },
    );
    writer.save(SaveSeq(5), entries(21, 22));
    drop(writer);
    let (_, found) = open(folder.path()).unwrap();
    assert_eq!(found.state.snapshot, Some(snapshot(20)));
    assert_eq!(found.state.entries.len(), 2);
}

#[test]
fn failed_snapshot_is_reported() {
    let folder = TempDir::new().unwrap();
    let files = Failing::new(Fails::Sync);
    let opened = Disk::open_with(folder.path(), DiskSettings::default(), files.clone());
    let (sender, reports) = mpsc::channel();
    let writer = DiskWriter::start(opened.unwrap().0, move |r| sender.send(r).unwrap()).unwrap();
    files.left.store(1, Ordering::SeqCst);
    let retention = LogRetention::From(LogIndex(1));
    writer.save(SaveSeq(1), Save::Snapshot { snapshot: snapshot(8), retention });
    drop(writer);
    let last = reports.iter().last();
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
fn broken_off_creation_is_redone() {
    let folder = TempDir::new().unwrap();
    let first = open(folder.path()).unwrap().1.id;
    // As after a stop between the first segment and the identity.
    std::fs::remove_file(folder.path().join("identity")).unwrap();
    std::fs::write(folder.path().join("identity.unfinished"), b"hk").unwrap();
    assert_ne!(open(folder.path()).unwrap().1.id, first);
}
