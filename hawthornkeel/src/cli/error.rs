//! Errors of commands and their exit codes.

use std::error::Error;
use std::fmt;

use hawthornkeel_config::Findings;

/// Exit code: the command could not be carried out.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: the order was refused; a retry will be refused too.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code: the order was not carried out and changed nothing; a retry may be accepted.
pub const EXIT_RETRY: u8 = 4;
/// Exit code: it is unknown whether the order was carried out; a retry with the same operation
/// number is safe.
pub const EXIT_UNKNOWN: u8 = 5;

/// Reason why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CliError {
    /// The command line is invalid.
    Usage(String),
    /// Files have errors.
    Findings(Vec<Findings>),
    /// The command could not be carried out.
    Failed(String),
    /// The order was refused.
    Refused(String),
    /// The order was not carried out and changed nothing.
    Retry(String),
    /// It is unknown whether the order was carried out.
    Unknown(String),
}

impl CliError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Failed(_) => EXIT_FAILED,
            Self::Usage(_) => EXIT_USAGE,
            Self::Refused(_) => EXIT_REFUSED,
            Self::Retry(_) => EXIT_RETRY,
            Self::Unknown(_) => EXIT_UNKNOWN,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "hawthornkeel: {text} (try --help)"),
            Self::Findings(files) => write_findings(f, files),
            Self::Failed(text) => write!(f, "hawthornkeel: {text}"),
            Self::Refused(text) => write!(f, "hawthornkeel: refused: {text}"),
            Self::Retry(text) => write!(f, "hawthornkeel: not carried out: {text}"),
            Self::Unknown(text) => write!(f, "hawthornkeel: outcome not known: {text}"),
        }
    }
}

impl Error for CliError {}

impl From<lexopt::Error> for CliError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(one_line(&error.to_string()))
    }
}

impl From<Findings> for CliError {
    fn from(findings: Findings) -> Self {
        Self::Findings(vec![findings])
    }
}

/// Replaces control characters so that an error is printed on one line.
pub fn one_line(text: &str) -> String {
    text.replace(char::is_control, " ")
}

fn write_findings(f: &mut fmt::Formatter<'_>, files: &[Findings]) -> fmt::Result {
    for (number, findings) in files.iter().enumerate() {
        let separator = if number > 0 { "\n" } else { "" };
        write!(f, "{separator}{findings}")?;
    }
    Ok(())
}
