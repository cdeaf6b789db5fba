//! Standard output of commands.

use std::io;
use std::io::Write;

use crate::cli::error::CliError;

/// Writes `text` to standard output.
///
/// # Errors
/// Fails if standard output can't be written, but not if the reader has closed the pipe.
pub fn write(text: &str) -> Result<(), CliError> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(CliError::Failed(format!("can't write to standard output: {error}")))
        }
        _ => Ok(()),
    }
}
