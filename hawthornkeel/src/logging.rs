//! Log output to standard output, one logfmt line per event.

use std::error::Error;
use std::fmt;
use std::io;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Reason why log output could not be initialized.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoggingError {
    /// The filter is invalid.
    InvalidFilter(String),
    /// Log output is already initialized.
    AlreadyInitialized,
}

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidFilter(cause) => write!(f, "invalid log.filter: {cause}"),
            Self::AlreadyInitialized => f.write_str("log output is already initialized"),
        }
    }
}

impl Error for LoggingError {}

/// Initializes log output with `filter`, such as `info` or `hawthornkeel=debug`.
///
/// # Errors
/// Fails if the filter is invalid or log output is already initialized.
pub fn init(filter: &str) -> Result<(), LoggingError> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| LoggingError::InvalidFilter(error.to_string()))?;
    let lines = tracing_logfmt::builder().layer().with_writer(io::stdout);
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    subscriber.try_init().map_err(|_| LoggingError::AlreadyInitialized)
}
