//! Encoding of commands in log entries and of the state in snapshots.
//!
//! A format version precedes the value in `postcard` encoding. The higher one is written only where a
//! value holds rollouts, so that older builds read all logs and snapshots without them.

use bytes::Bytes;
use hawthornkeel_core::rollout::record::RolloutCommand;
use hawthornkeel_core::rollout::record::Rollouts;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::TimestampedCommand;
use hawthornkeel_core::time::WallTime;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::error::CodecError;

/// Format version of entries and snapshots without rollouts.
pub const FORMAT_VERSION: u8 = 1;
/// Format version of entries and snapshots with rollouts.
pub const ROLLOUT_FORMAT_VERSION: u8 = 2;

/// Command in an entry of [`ROLLOUT_FORMAT_VERSION`].
#[derive(Debug, Serialize, Deserialize)]
enum EntryCommand {
    /// Command that older builds know as well.
    Base(TimestampedCommand),
    /// Command about a rollout, with its time.
    Rollout(WallTime, RolloutCommand),
}

impl From<&TimestampedCommand> for EntryCommand {
    fn from(command: &TimestampedCommand) -> Self {
        match &command.command {
            Command::Rollout(rollout) => Self::Rollout(command.timestamp, rollout.clone()),
            _ => Self::Base(command.clone()),
        }
    }
}

impl From<EntryCommand> for TimestampedCommand {
    fn from(command: EntryCommand) -> Self {
        match command {
            EntryCommand::Base(command) => command,
            EntryCommand::Rollout(timestamp, rollout) => {
                Self { timestamp, command: Command::Rollout(rollout) }
            }
        }
    }
}

/// Encodes the commands of one log entry.
///
/// # Errors
///
/// Returns an error if a value can't be serialized.
pub fn encode_commands(commands: &[TimestampedCommand]) -> Result<Bytes, CodecError> {
    if !commands.iter().any(|c| matches!(c.command, Command::Rollout(_))) {
        return encode_value(FORMAT_VERSION, commands);
    }
    let commands: Vec<EntryCommand> = commands.iter().map(EntryCommand::from).collect();
    encode_value(ROLLOUT_FORMAT_VERSION, &commands)
}

/// Decodes the commands of one log entry.
///
/// # Errors
///
/// Returns an error if the entry has an unknown format version or is malformed.
pub fn decode_commands(data: &[u8]) -> Result<Vec<TimestampedCommand>, CodecError> {
    match split_version(data)? {
        (FORMAT_VERSION, body) => decode_value(body),
        (ROLLOUT_FORMAT_VERSION, body) => {
            let commands: Vec<EntryCommand> = decode_value(body)?;
            Ok(commands.into_iter().map(TimestampedCommand::from).collect())
        }
        (version, _) => Err(CodecError::Version(version)),
    }
}

/// Encodes the state for a snapshot.
///
/// # Errors
///
/// Returns an error if a value can't be serialized.
pub fn encode_state(state: &State) -> Result<Bytes, CodecError> {
    match state.rollouts().is_empty() {
        true => encode_value(FORMAT_VERSION, state),
        false => encode_value(ROLLOUT_FORMAT_VERSION, &(state, state.rollouts())),
    }
}

/// Decodes the state of a snapshot.
///
/// # Errors
///
/// Returns an error if the snapshot has an unknown format version or is malformed.
pub fn decode_state(data: &[u8]) -> Result<State, CodecError> {
    match split_version(data)? {
        (FORMAT_VERSION, body) => decode_value(body),
        (ROLLOUT_FORMAT_VERSION, body) => {
            let (state, rollouts): (State, Rollouts) = decode_value(body)?;
            Ok(state.with_rollouts(rollouts))
        }
        (version, _) => Err(CodecError::Version(version)),
    }
}

fn encode_value<T: Serialize + ?Sized>(version: u8, value: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(postcard::to_extend(value, vec![version])?))
}

fn split_version(data: &[u8]) -> Result<(u8, &[u8]), CodecError> {
    data.split_first().map(|(version, body)| (*version, body)).ok_or(CodecError::Empty)
}

fn decode_value<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    Ok(postcard::from_bytes(body)?)
}
