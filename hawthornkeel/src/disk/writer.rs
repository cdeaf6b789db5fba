//! Thread that writes to the data folder.

use std::io;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;

use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Ticket;

use crate::disk::Disk;
use crate::disk::error::DiskError;
use crate::disk::files::Files;

/// What the writer reports.
#[derive(Debug)]
pub enum Report {
    /// The save with this ticket and all before it are on disk.
    Synced(Ticket),
    /// A write or sync failed. Nothing more is written and the process must stop.
    Failed(DiskError),
}

/// Writer of a data folder on a thread of its own.
///
/// Dropping it writes what it was handed, and waits for that.
#[derive(Debug)]
pub struct DiskWriter {
    sender: Option<Sender<(Ticket, Save)>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskWriter {
    /// Starts the thread; `report` is called on it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where it has no thread left.
    pub fn start<F: Files>(
        disk: Disk<F>,
        report: impl FnMut(Report) + Send + 'static,
    ) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let thread = thread::Builder::new().name("disk".to_owned());
        let thread = thread.spawn(move || run(disk, &receiver, report))?;
        Ok(Self { sender: Some(sender), thread: Some(thread) })
    }

    /// Hands over a save; saves are written in the order of this call.
    ///
    /// After a failure it is dropped, and never reported as synced.
    pub fn save(&self, ticket: Ticket, save: Save) {
        if let Some(sender) = &self.sender {
            // The thread ends only after it has reported a failure.
            let _ = sender.send((ticket, save));
        }
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Writes saves until there are none to come or one fails; those that wait share one sync.
fn run<F: Files>(
    mut disk: Disk<F>,
    receiver: &Receiver<(Ticket, Save)>,
    mut report: impl FnMut(Report),
) {
    while let Ok((mut ticket, first)) = receiver.recv() {
        let mut saves = vec![first];
        while saves.len() < disk.settings.group_saves {
            let Ok((next, save)) = receiver.try_recv() else { break };
            ticket = next;
            saves.push(save);
        }
        if let Err(error) = disk.write(&saves) {
            report(Report::Failed(error));
            return;
        }
        report(Report::Synced(ticket));
    }
}
