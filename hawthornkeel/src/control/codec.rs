//! Encoding of commands in log entries and of the state in snapshots.
//!
//! A format version precedes the value in `postcard` encoding.

use bytes::Bytes;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::TimestampedCommand;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::error::CodecError;

/// Format version of entries and snapshots.
pub const FORMAT_VERSION: u8 = 1;

/// Encodes the commands of one log entry.
///
/// # Errors
///
/// Returns an error if a value can't be serialized.
pub fn encode_commands(commands: &[TimestampedCommand]) -> Result<Bytes, CodecError> {
    encode_value(commands)
}

/// Decodes the commands of one log entry.
///
/// # Errors
///
/// Returns an error if the entry has an unknown format version or is malformed.
pub fn decode_commands(data: &[u8]) -> Result<Vec<TimestampedCommand>, CodecError> {
    decode_value(data)
}

/// Encodes the state for a snapshot.
///
/// # Errors
///
/// Returns an error if a value can't be serialized.
pub fn encode_state(state: &State) -> Result<Bytes, CodecError> {
    encode_value(state)
}

/// Decodes the state of a snapshot.
///
/// # Errors
///
/// Returns an error if the snapshot has an unknown format version or is malformed.
pub fn decode_state(data: &[u8]) -> Result<State, CodecError> {
    decode_value(data)
}

fn encode_value<T: Serialize + ?Sized>(value: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(postcard::to_extend(value, vec![FORMAT_VERSION])?))
}

fn decode_value<T: DeserializeOwned>(data: &[u8]) -> Result<T, CodecError> {
    match data.split_first() {
        Some((&FORMAT_VERSION, body)) => Ok(postcard::from_bytes(body)?),
        Some((&version, _)) => Err(CodecError::Version(version)),
        None => Err(CodecError::Empty),
    }
}
