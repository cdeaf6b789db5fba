//! Opens the data folder and starts the control role on it.

use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Poll;
use std::task::Waker;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Ticket;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::control::error::ControlFailure;
use crate::control::node::Control;
use crate::control::node::ControlOptions;
use crate::control::pending::BatchLimits;
use crate::control::saver::Saver;
use crate::control::start::log_settings;
use crate::disk::Disk;
use crate::disk::DiskError;
use crate::disk::DiskSettings;
use crate::disk::DiskWriter;
use crate::disk::Report;
use crate::peer::Endpoint;

/// Why the control role can't start.
#[derive(Debug)]
pub enum OpenError {
    /// The data folder can't be used.
    Disk(DiskError),
    /// The thread that writes to the disk can't be started.
    Thread(io::Error),
    /// The log can't be used.
    Control(ControlFailure),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(error) => write!(f, "can't open the data folder: {error}"),
            Self::Thread(error) => write!(f, "can't start the disk's thread: {error}"),
            Self::Control(error) => write!(f, "can't start the control role: {error}"),
        }
    }
}

impl std::error::Error for OpenError {}

impl From<DiskError> for OpenError {
    fn from(error: DiskError) -> Self {
        Self::Disk(error)
    }
}

impl From<ControlFailure> for OpenError {
    fn from(error: ControlFailure) -> Self {
        Self::Control(error)
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

impl Saver for DiskWriter {
    fn save(&self, ticket: Ticket, save: Save) {
        DiskWriter::save(self, ticket, save);
    }
}

/// Opens the data folder of `settings` and starts the control role on it.
///
/// # Errors
///
/// Fails where the folder is in use, damaged or can't be written.
pub fn open_control(settings: &Settings, endpoint: &Endpoint) -> Result<Control, OpenError> {
    open_with(settings, endpoint, Tuning::default())
}

/// Starts the control role like [`open_control`], with other bounds.
///
/// # Errors
///
/// Fails where the folder is in use, damaged or can't be written.
pub fn open_with(
    settings: &Settings,
    endpoint: &Endpoint,
    tuning: Tuning,
) -> Result<Control, OpenError> {
    let (disk, recovered) = Disk::open(&settings.control.data, tuning.disk)?;
    let (id, cut) = (recovered.id, recovered.cut);
    tracing::info!(event = "data-folder-opened", replica = %id, cut_bytes = cut);
    let reports = Reports::default();
    let sink = reports.clone();
    let writer = DiskWriter::start(disk, move |r| sink.push(r)).map_err(OpenError::Thread)?;
    let options = ControlOptions {
        node: Node { id, name: settings.instance.name.clone() },
        settings: log_settings(settings),
        batch: tuning.batch,
        rng: ChaCha8Rng::seed_from_u64(rand::random()),
        stored: recovered.stored,
    };
    let control = Control::start(options, endpoint.clone(), Box::new(writer))?;
    monoio::spawn(take_reports(control.clone(), reports));
    Ok(control)
}

/// Hands the disk's reports to the control role until a failure.
async fn take_reports(control: Control, reports: Reports) {
    loop {
        match reports.next().await {
            Report::Synced(ticket) => control.synced(ticket),
            Report::Failed(error) => {
                control.fail(ControlFailure::Disk(error.to_string()));
                return;
            }
        }
    }
}

/// Reports on their way from the disk's thread to the event loop.
#[derive(Clone, Default)]
struct Reports {
    shared: Arc<Mutex<Queue>>,
}

#[derive(Default)]
struct Queue {
    reports: VecDeque<Report>,
    waker: Option<Waker>,
}

impl Reports {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, report: Report) {
        let mut queue = self.lock();
        queue.reports.push_back(report);
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
    }

    async fn next(&self) -> Report {
        poll_fn(|cx| {
            let mut queue = self.lock();
            if let Some(report) = queue.reports.pop_front() {
                return Poll::Ready(report);
            }
            queue.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}
