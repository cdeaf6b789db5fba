//! Writer thread of the data folder.

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

/// Delay between write attempts on a full disk.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a full disk ends the process, because the other instances can do without it.
const FULL_TIMEOUT: Duration = Duration::from_secs(60);

/// Event reported by the writer.
#[derive(Debug)]
pub enum WriterEvent {
    /// The save with this sequence number and all saves before it are durable.
    ///
    /// Snapshots of the replica's own state ([`LogRetention::From`]) may still be in progress.
    Synced(SaveSeq),
    /// A write or sync failed. Nothing more is written, and the process must exit.
    Failed(DiskError),
}

/// Command to the writer thread.
enum WriterCommand {
    /// Write a save.
    Save(SaveSeq, Save),
    /// Write a snapshot in the background, and send [`WriterCommand::SnapshotWritten`] at the end.
    Snapshot(SaveSeq, Snapshot, LogRetention, Sender<WriterCommand>),
    /// The background write of a snapshot has ended.
    SnapshotWritten,
}

/// Snapshot that is being written in the background.
struct SnapshotJob {
    index: LogIndex,
    first: u64,
    thread: JoinHandle<Result<(), DiskError>>,
}

/// Writes to a data folder on a separate thread.
///
/// Dropping it blocks until all queued saves are written, unless the disk is full.
#[derive(Debug)]
pub struct DiskWriter {
    sender: Option<Sender<WriterCommand>>,
    thread: Option<JoinHandle<()>>,
    closing: Arc<AtomicBool>,
}

impl DiskWriter {
    /// Starts the thread; `report` is called on that thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread can't be created.
    pub fn start<F: FileIo>(
        disk: Disk<F>,
        mut report: impl FnMut(WriterEvent) + Send + 'static,
    ) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let thread = thread::Builder::new().name("disk".to_owned());
        let closing = Arc::new(AtomicBool::new(false));
        let closed = Arc::clone(&closing);
        let thread = thread.spawn(move || {
            let mut worker = Worker { disk, job: None, closing: closed };
            if let Err(error) = worker.run(&receiver, &mut report) {
                report(WriterEvent::Failed(error));
            }
        })?;
        Ok(Self { sender: Some(sender), thread: Some(thread), closing })
    }

    /// Queues a save; saves are written in the order of the calls.
    ///
    /// After a failure, saves are discarded and never reported as synced.
    pub fn save(&self, seq: SaveSeq, save: Save) {
        let Some(sender) = &self.sender else { return };
        let command = match save {
            Save::Snapshot { snapshot, retention: retention @ LogRetention::From(_) } => {
                WriterCommand::Snapshot(seq, snapshot, retention, sender.clone())
            }
            save => WriterCommand::Save(seq, save),
        };
        // The receiver is dropped only after a reported failure.
        let _ = sender.send(command);
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.sender = None;
        self.closing.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// State of the writer thread.
struct Worker<F: FileIo> {
    disk: Disk<F>,
    job: Option<SnapshotJob>,
    /// Whether the writer is being dropped.
    closing: Arc<AtomicBool>,
}

impl<F: FileIo> Worker<F> {
    /// Writes saves until the sender is dropped; queued saves share one sync.
    fn run(
        &mut self,
        receiver: &Receiver<WriterCommand>,
        report: &mut impl FnMut(WriterEvent),
    ) -> Result<(), DiskError> {
        let mut saves = Vec::new();
        while let Ok(command) = receiver.recv() {
            let mut seq = self.handle(command, &mut saves)?;
            while saves.len() < self.disk.settings.group_saves {
                let Ok(command) = receiver.try_recv() else { break };
                seq = self.handle(command, &mut saves)?.or(seq);
            }
            self.write(&saves)?;
            saves.clear();
            if let Some(seq) = seq {
                report(WriterEvent::Synced(seq));
            }
        }
        Ok(())
    }

    /// Writes saves, and retries while the disk is full.
    fn write(&mut self, saves: &[Save]) -> Result<(), DiskError> {
        // A retry writes all of its saves again, so those before a snapshot are written first.
        for group in saves.chunk_by(|a, b| is_log(a) && is_log(b)) {
            self.write_group(group)?;
        }
        Ok(())
    }

    /// Writes log saves or one snapshot, and retries while the disk is full.
    fn write_group(&mut self, group: &[Save]) -> Result<(), DiskError> {
        let mut full_since = None;
        loop {
            let error = match self.disk.write(group) {
                Err(DiskError::Full(file)) => DiskError::Full(file),
                result => {
                    if let (Some(since), Ok(())) = (full_since, &result) {
                        let ms = Instant::elapsed(&since).as_millis();
                        tracing::info!(event = "disk-has-room", ms);
                    }
                    return result;
                }
            };
            if full_since.is_none() {
                tracing::warn!(event = "disk-full", %error);
            }
            let since = *full_since.get_or_insert_with(Instant::now);
            while let Err(rollback_error) = self.disk.rollback() {
                if self.should_give_up(since) || !matches!(rollback_error, DiskError::Full(_)) {
                    return Err(rollback_error);
                }
                thread::sleep(FULL_RETRY_DELAY);
            }
            if self.should_give_up(since) {
                return Err(error);
            }
            thread::sleep(FULL_RETRY_DELAY);
        }
    }

    /// Returns whether to stop retrying on a disk that has been full since `since`.
    fn should_give_up(&self, since: Instant) -> bool {
        self.closing.load(Ordering::Relaxed) || since.elapsed() > FULL_TIMEOUT
    }

    /// Handles a command, and returns the sequence number that is durable once `saves` are.
    fn handle(
        &mut self,
        command: WriterCommand,
        saves: &mut Vec<Save>,
    ) -> Result<Option<SaveSeq>, DiskError> {
        match command {
            WriterCommand::Save(seq, save) => {
                // An older snapshot must not be committed after one that replaces the log.
                if matches!(save, Save::Snapshot { .. }) {
                    self.finish_job()?;
                }
                saves.push(save);
                Ok(Some(seq))
            }
            WriterCommand::Snapshot(seq, snapshot, retention, done) => {
                // The folder must know the entries that the snapshot may drop.
                self.write(saves)?;
                saves.clear();
                self.finish_job()?;
                self.start_job(snapshot, retention, done)?;
                Ok(Some(seq))
            }
            WriterCommand::SnapshotWritten => {
                self.finish_job()?;
                Ok(None)
            }
        }
    }

    /// Starts to write a snapshot in the background.
    fn start_job(
        &mut self,
        snapshot: Snapshot,
        retention: LogRetention,
        done: Sender<WriterCommand>,
    ) -> Result<(), DiskError> {
        let (index, first) = (snapshot.index, self.disk.first_retained(retention));
        let (path, mut io) = (self.disk.path.clone(), self.disk.io.clone());
        let thread = thread::Builder::new().name("snapshot".to_owned());
        let thread = thread.spawn(move || {
            let result = snapshot::write_temporary(&path, &snapshot, first, &mut io);
            let _ = done.send(WriterCommand::SnapshotWritten);
            result
        });
        let thread = thread.map_err(|e| DiskError::io(&self.disk.path, e))?;
        self.job = Some(SnapshotJob { index, first, thread });
        Ok(())
    }

    /// Waits for a snapshot that is being written, and commits it.
    fn finish_job(&mut self) -> Result<(), DiskError> {
        let Some(job) = self.job.take() else { return Ok(()) };
        // A panic of the thread leaves no committed snapshot.
        let written = job.thread.join().unwrap_or(Err(DiskError::Poisoned));
        match written.and_then(|()| self.disk.commit_snapshot(job.index, job.first)) {
            Err(error @ DiskError::Full(_)) => {
                // The log still contains all entries that the snapshot would have replaced.
                tracing::warn!(event = "snapshot-left-out", %error);
                folder::remove_temporary_files(&self.disk.path)
            }
            result => result,
        }
    }
}

fn is_log(save: &Save) -> bool {
    matches!(save, Save::Log { .. })
}
