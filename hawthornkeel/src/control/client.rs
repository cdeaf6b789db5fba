//! Calls from an instance to the control instances.

use std::time::Duration;

use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlError {
    /// No control instance took the command.
    NoQuorum,
}

impl ControlError {
    /// Tells whether the command is certainly not in the log.
    pub fn not_proposed(&self) -> bool {
        match self {
            Self::NoQuorum => true,
        }
    }
}

/// Client of the control instances.
#[derive(Clone, Debug)]
pub struct ControlClient {}

impl ControlClient {
    /// Proposes `command`.
    ///
    /// # Errors
    /// Fails where no outcome is known within `timeout`.
    pub async fn propose(
        &self,
        _command: Command,
        _timeout: Duration,
    ) -> Result<Outcome, ControlError> {
        Err(ControlError::NoQuorum)
    }
}
