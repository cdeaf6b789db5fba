//! Log output: one key=value line an event, on standard output.

use std::error::Error;
use std::fmt;
use std::io;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Why log output can't start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoggingError {
    /// The filter can't be read.
    InvalidFilter(String),
    /// Log output has started already.
    AlreadyInitialized,
}

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidFilter(cause) => write!(f, "log.filter can't be read: {cause}"),
            Self::AlreadyInitialized => f.write_str("log output has started already"),
        }
    }
}

impl Error for LoggingError {}

/// Starts log output with `filter`, such as `info` or `hawthornkeel=debug`.
///
/// # Errors
/// Fails where the filter can't be read or log output has started already.
pub fn init(filter: &str) -> Result<(), LoggingError> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| LoggingError::InvalidFilter(error.to_string()))?;
    let lines = tracing_logfmt::builder().layer().with_writer(io::stdout);
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    subscriber.try_init().map_err(|_| LoggingError::AlreadyInitialized)
}
