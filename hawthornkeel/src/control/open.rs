//! Starts the control role from its data folder.

use std::error::Error;
use std::fmt;
use std::io;

use futures_channel::mpsc;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::control::error::ControlFailure;
use crate::control::node::ControlNode;
use crate::control::node::ControlOptions;
use crate::control::proposal_queue::BatchLimits;
use crate::control::start;
use crate::control::storage::LogStorage;
use crate::disk::Disk;
use crate::disk::DiskError;
use crate::disk::DiskSettings;
use crate::disk::DiskWriter;
use crate::disk::FileIo;
use crate::disk::SystemIo;
use crate::disk::WriterEvent;
use crate::peer::Endpoint;

/// Why the control role can't start.
#[derive(Debug)]
pub enum OpenError {
    /// The data folder can't be used.
    Disk(DiskError),
    /// The writer thread can't be started.
    Thread(io::Error),
    /// The persisted log can't be recovered.
    Log(ControlFailure),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(error) => write!(f, "can't open the data folder: {error}"),
            Self::Thread(error) => write!(f, "can't start the disk writer thread: {error}"),
            Self::Log(error) => write!(f, "can't start the control role: {error}"),
        }
    }
}

impl Error for OpenError {}

impl From<DiskError> for OpenError {
    fn from(error: DiskError) -> Self {
        Self::Disk(error)
    }
}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        Self::Thread(error)
    }
}

impl From<ControlFailure> for OpenError {
    fn from(error: ControlFailure) -> Self {
        Self::Log(error)
    }
}

/// Limits on how many commands share a log entry and a sync.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tuning {
    /// Limits of command batches.
    pub batch: BatchLimits,
    /// Settings of the data folder.
    pub disk: DiskSettings,
}

/// Log storage in a data folder.
struct DiskStorage {
    writer: DiskWriter,
}

impl LogStorage for DiskStorage {
    fn save(&self, seq: SaveSeq, save: Save) {
        self.writer.save(seq, save);
    }
}

/// Opens the data folder and starts the control role from it.
///
/// # Errors
///
/// Returns an error if the data folder is in use or damaged, or can't be read or written.
pub fn open_control(settings: &Settings, endpoint: &Endpoint) -> Result<ControlNode, OpenError> {
    open_with(settings, endpoint, Tuning::default(), SystemIo)
}

/// Starts the control role like [`open_control`], with custom limits and file I/O.
///
/// # Errors
///
/// Returns an error if the data folder is in use or damaged, or can't be read or written.
pub fn open_with<F: FileIo>(
    settings: &Settings,
    endpoint: &Endpoint,
    tuning: Tuning,
    io: F,
) -> Result<ControlNode, OpenError> {
    let (disk, recovered) = Disk::open_with(&settings.control.data, tuning.disk, io)?;
    let replica = recovered.id;
    tracing::info!(event = "data-folder-opened", %replica, cut_bytes = recovered.truncated_bytes);
    let (sender, receiver) = mpsc::unbounded();
    let writer = DiskWriter::start(disk, move |event| {
        // The receiver is dropped only when the process exits.
        let _ = sender.unbounded_send(event);
    })?;
    let options = ControlOptions {
        node: Node { id: replica, name: endpoint.name().clone() },
        settings: start::replica_settings(settings),
        batch: tuning.batch,
        rng: ChaCha8Rng::seed_from_u64(rand::random()),
        persisted: recovered.state,
    };
    let control = ControlNode::start(options, endpoint.clone(), Box::new(DiskStorage { writer }))?;
    monoio::spawn(handle_writer_events(control.clone(), receiver));
    Ok(control)
}

/// Passes events of the disk writer to the control role.
async fn handle_writer_events(
    control: ControlNode,
    mut receiver: mpsc::UnboundedReceiver<WriterEvent>,
) {
    while let Ok(event) = receiver.recv().await {
        match event {
            WriterEvent::Synced(seq) => control.synced(seq),
            WriterEvent::Failed(error) => control.fail(ControlFailure::Disk(error.to_string())),
        }
    }
}
