//! Opens the control role on its data folder.

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
use crate::disk::WriterEvent;
use crate::peer::Endpoint;

/// Why the control role can't start.
#[derive(Debug)]
pub enum OpenError {
    /// The data folder can't be used.
    Disk(DiskError),
    /// The thread that writes can't be started.
    Thread(io::Error),
    /// The log on the disk can't be followed.
    Log(ControlFailure),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(error) => write!(f, "can't use the data folder: {error}"),
            Self::Thread(error) => write!(f, "can't start the disk's thread: {error}"),
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

/// Bounds that decide how many commands share a sync.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tuning {
    /// Bounds of log entries.
    pub batch: BatchLimits,
    /// Settings of the data folder.
    pub disk: DiskSettings,
}

/// Data folder as the control role's disk.
struct FolderSaver {
    writer: DiskWriter,
}

impl LogStorage for FolderSaver {
    fn save(&self, seq: SaveSeq, save: Save) {
        self.writer.save(seq, save);
    }
}

/// Opens the data folder and starts the control role on it.
///
/// # Errors
/// Fails where the data folder is in use, damaged, or can't be read or written.
pub fn open_control(settings: &Settings, endpoint: &Endpoint) -> Result<ControlNode, OpenError> {
    open_with(settings, endpoint, Tuning::default())
}

/// Starts the control role like [`open_control`], with other bounds.
///
/// # Errors
/// Fails where the data folder is in use, damaged, or can't be read or written.
pub fn open_with(
    settings: &Settings,
    endpoint: &Endpoint,
    tuning: Tuning,
) -> Result<ControlNode, OpenError> {
    let (disk, recovered) = Disk::open(&settings.control.data, tuning.disk)?;
    let replica = recovered.id;
    tracing::info!(event = "data-folder-opened", %replica, cut_bytes = recovered.truncated_bytes);
    let (sender, receiver) = mpsc::unbounded();
    let writer = DiskWriter::start(disk, move |report| {
        // The receiver is gone only once the process ends.
        let _ = sender.unbounded_send(report);
    })?;
    let options = ControlOptions {
        node: Node { id: replica, name: endpoint.name().clone() },
        settings: start::replica_settings(settings),
        batch: tuning.batch,
        rng: ChaCha8Rng::seed_from_u64(rand::random()),
        stored: recovered.state,
    };
    let control = ControlNode::start(options, endpoint.clone(), Box::new(FolderSaver { writer }))?;
    monoio::spawn(take_reports(control.clone(), receiver));
    Ok(control)
}

/// Hands the disk's reports to the control role.
async fn take_reports(control: ControlNode, mut receiver: mpsc::UnboundedReceiver<WriterEvent>) {
    while let Ok(report) = receiver.recv().await {
        match report {
            WriterEvent::Synced(seq) => control.synced(seq),
            WriterEvent::Failed(error) => control.fail(ControlFailure::Disk(error.to_string())),
        }
    }
}
