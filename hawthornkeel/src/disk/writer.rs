//! Thread that writes to the data folder.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use hawthornkeel_core::replica::Snapshot;

use crate::disk::Disk;
use crate::disk::error::DiskError;
use crate::disk::file_io::FileIo;
use crate::disk::folder;
use crate::disk::snapshot;

/// Pause before a full disk is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a disk may be full before the process stops, as others can do without it.
const FULL_TIME: Duration = Duration::from_secs(60);

/// What the writer reports.
#[derive(Debug)]
pub enum WriterEvent {
    /// The save with this sequence number and all before it are on disk.
    ///
    /// Snapshots of the replica's own state ([`LogRetention::From`]) may still be on their way.
    Synced(SaveSeq),
    /// A write or sync failed. Nothing more is written and the process must stop.
    Failed(DiskError),
}

/// Order to the thread.
enum Order {
    /// Write a save.
    Save(SaveSeq, Save),
    /// Write a snapshot while the log goes on, and say so by the sender.
    Snapshot(SaveSeq, Snapshot, LogRetention, Sender<Order>),
    /// The snapshot that was being written is written.
    Written,
}

/// Snapshot that is being written aside.
struct Job {
    index: LogIndex,
    first: u64,
    thread: JoinHandle<Result<(), DiskError>>,
}

/// Writer of a data folder on a thread of its own.
///
/// Dropping it writes what it was handed, and waits for that, but not for a disk that is full.
#[derive(Debug)]
pub struct DiskWriter {
    sender: Option<Sender<Order>>,
    thread: Option<JoinHandle<()>>,
    ending: Arc<AtomicBool>,
}

impl DiskWriter {
    /// Starts the thread; `report` is called on it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where it has no thread left.
    pub fn start<F: FileIo>(
        disk: Disk<F>,
        mut report: impl FnMut(WriterEvent) + Send + 'static,
    ) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let thread = thread::Builder::new().name("disk".to_owned());
        let ending = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&ending);
        let thread = thread.spawn(move || {
            let mut worker = Worker { disk, job: None, ending: seen };
            if let Err(error) = worker.run(&receiver, &mut report) {
                report(WriterEvent::Failed(error));
            }
        })?;
        Ok(Self { sender: Some(sender), thread: Some(thread), ending })
    }

    /// Hands over a save; saves are written in the order of this call.
    ///
    /// After a failure it is dropped, and never reported as synced.
    pub fn save(&self, seq: SaveSeq, save: Save) {
        let Some(sender) = &self.sender else { return };
        let order = match save {
            Save::Snapshot { snapshot, retention: retention @ LogRetention::From(_) } => {
                Order::Snapshot(seq, snapshot, retention, sender.clone())
            }
            save => Order::Save(seq, save),
        };
        // The thread ends only after it has reported a failure.
        let _ = sender.send(order);
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.sender = None;
        self.ending.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// State of the thread.
struct Worker<F: FileIo> {
    disk: Disk<F>,
    job: Option<Job>,
    /// Whether the writer is being dropped.
    ending: Arc<AtomicBool>,
}

impl<F: FileIo> Worker<F> {
    /// Writes until there is nothing to come; saves that wait share one sync.
    fn run(
        &mut self,
        receiver: &Receiver<Order>,
        report: &mut impl FnMut(WriterEvent),
    ) -> Result<(), DiskError> {
        let mut saves = Vec::new();
        while let Ok(order) = receiver.recv() {
            let mut seq = self.take(order, &mut saves)?;
            while saves.len() < self.disk.settings.group_saves {
                let Ok(order) = receiver.try_recv() else { break };
                seq = self.take(order, &mut saves)?.or(seq);
            }
            self.write(&saves)?;
            saves.clear();
            if let Some(seq) = seq {
                report(WriterEvent::Synced(seq));
            }
        }
        Ok(())
    }

    /// Writes saves, waiting for room where the disk is full.
    fn write(&mut self, saves: &[Save]) -> Result<(), DiskError> {
        let only_log = saves.iter().all(|s| matches!(s, Save::Log { .. }));
        let mut since = None;
        loop {
            let error = match self.disk.write(saves) {
                Err(DiskError::Full(file)) if only_log => DiskError::Full(file),
                written => {
                    if let (Some(since), Ok(())) = (since, &written) {
                        let ms = Instant::elapsed(&since).as_millis();
                        tracing::info!(event = "disk-has-room", ms);
                    }
                    return written;
                }
            };
            if since.is_none() {
                tracing::warn!(event = "disk-full", %error);
            }
            let since = *since.get_or_insert_with(Instant::now);
            while let Err(full) = self.disk.rollback() {
                if self.ends(since) || !matches!(full, DiskError::Full(_)) {
                    return Err(full);
                }
                thread::sleep(FULL_PAUSE);
            }
            if self.ends(since) {
                return Err(error);
            }
            thread::sleep(FULL_PAUSE);
        }
    }

    /// Tells whether a disk that is full since then is not waited for any longer.
    fn ends(&self, since: Instant) -> bool {
        self.ending.load(Ordering::Relaxed) || since.elapsed() > FULL_TIME
    }

    /// Takes in an order, and returns the sequence number that is on disk once `saves` are.
    fn take(&mut self, order: Order, saves: &mut Vec<Save>) -> Result<Option<SaveSeq>, DiskError> {
        match order {
            Order::Save(seq, save) => {
                // A snapshot that replaces the log must not be followed by an older one.
                if matches!(save, Save::Snapshot { .. }) {
                    self.finish_job()?;
                }
                saves.push(save);
                Ok(Some(seq))
            }
            Order::Snapshot(seq, snapshot, retention, done) => {
                // What it may drop must be known to the folder.
                self.write(saves)?;
                saves.clear();
                self.finish_job()?;
                self.start_job(snapshot, retention, done)?;
                Ok(Some(seq))
            }
            Order::Written => {
                self.finish_job()?;
                Ok(None)
            }
        }
    }

    /// Starts to write a snapshot aside.
    fn start_job(
        &mut self,
        snapshot: Snapshot,
        retention: LogRetention,
        done: Sender<Order>,
    ) -> Result<(), DiskError> {
        let (index, first) = (snapshot.index, self.disk.first_kept(retention));
        let (path, mut files) = (self.disk.path.clone(), self.disk.files.clone());
        let thread = thread::Builder::new().name("snapshot".to_owned());
        let thread = thread.spawn(move || {
            let written = snapshot::write_aside(&path, &snapshot, first, &mut files);
            let _ = done.send(Order::Written);
            written
        });
        let thread = thread.map_err(|e| DiskError::io(&self.disk.path, e))?;
        self.job = Some(Job { index, first, thread });
        Ok(())
    }

    /// Waits for the snapshot that is being written, if any, and puts it in force.
    fn finish_job(&mut self) -> Result<(), DiskError> {
        let Some(job) = self.job.take() else { return Ok(()) };
        // A thread that panicked wrote nothing that counts.
        let written = job.thread.join().unwrap_or(Err(DiskError::Poisoned));
        if let Err(error @ DiskError::Full(_)) = written {
            // The log still holds all that the snapshot would have replaced.
            tracing::warn!(event = "snapshot-left-out", %error);
            return folder::remove_unfinished(&self.disk.path);
        }
        written.and_then(|()| self.disk.adopt_snapshot(job.index, job.first))
    }
}
