//! Log output to standard output, one logfmt line per event.
//!
//! Designed for readers that are slow or stop reading: lines wait in a bounded queue for a thread
//! that writes them, and what finds no room is dropped and counted.

mod limit;
mod report;
mod writer;

use std::cell::Cell;
use std::error::Error;
use std::fmt;
use std::io;
use std::time::Duration;

use hawthornkeel_config::settings::Log;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Layer;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::logging::limit::LineLimit;
use crate::logging::writer::LineWriter;

/// Time for which the end of the process waits until the queue is written.
const END_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why log output could not be initialized.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoggingError {
    /// The filter is invalid.
    InvalidFilter(String),
    /// The writing thread can't be started.
    Thread(String),
    /// Log output is already initialized.
    AlreadyInitialized,
}

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidFilter(cause) => write!(f, "invalid log.filter: {cause}"),
            Self::Thread(cause) => write!(f, "can't start the thread of the log: {cause}"),
            Self::AlreadyInitialized => f.write_str("log output is already initialized"),
        }
    }
}

impl Error for LoggingError {}

/// Initialized log output; waits when dropped until what is queued is written, for 200 ms at most.
#[derive(Debug)]
pub struct LogOutput {
    limit: LineLimit,
    writer: LineWriter,
    /// Number of lines that the writer has dropped and that were reported.
    reported: Cell<usize>,
}

impl Drop for LogOutput {
    fn drop(&mut self) {
        self.writer.wait_written(END_TIMEOUT);
    }
}

/// Initializes log output.
///
/// # Errors
/// Fails if the filter is invalid, the thread can't be started or log output is already initialized.
pub fn init(settings: &Log) -> Result<LogOutput, LoggingError> {
    let filter = EnvFilter::try_new(&settings.filter)
        .map_err(|error| LoggingError::InvalidFilter(error.to_string()))?;
    let writer = LineWriter::start(io::stdout(), settings.queue_lines)
        .map_err(|error| LoggingError::Thread(error.to_string()))?;
    let limit = LineLimit::new(settings.kind_lines);
    let lines = tracing_logfmt::builder().layer().with_writer(writer.clone());
    let lines = lines.with_filter(limit.clone());
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    subscriber.try_init().map_err(|_| LoggingError::AlreadyInitialized)?;
    Ok(LogOutput { limit, writer, reported: Cell::new(0) })
}
