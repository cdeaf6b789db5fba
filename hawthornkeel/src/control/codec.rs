//! Commands as they stand in log entries, and the state as it stands in snapshots.

use bytes::Bytes;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::TimestampedCommand;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::error::CodecError;

/// Version of the encoding of entries and snapshots.
pub const VERSION: u8 = 1;

/// Encodes the commands of one log entry.
///
/// # Errors
///
/// Fails where the codec fails.
pub fn encode(commands: &[TimestampedCommand]) -> Result<Bytes, CodecError> {
    encode_value(commands)
}

/// Decodes the commands of one log entry.
///
/// # Errors
///
/// Fails where the entry has an unknown version or is malformed.
pub fn decode(data: &[u8]) -> Result<Vec<TimestampedCommand>, CodecError> {
    decode_value(data)
}

/// Encodes the state for a snapshot.
///
/// # Errors
///
/// Fails where the codec fails.
pub fn encode_state(state: &State) -> Result<Bytes, CodecError> {
    encode_value(state)
}

/// Decodes the state of a snapshot.
///
/// # Errors
///
/// Fails where the snapshot has an unknown version or is malformed.
pub fn decode_state(data: &[u8]) -> Result<State, CodecError> {
    decode_value(data)
}

fn encode_value<T: Serialize + ?Sized>(value: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(postcard::to_extend(value, vec![VERSION])?))
}

fn decode_value<T: DeserializeOwned>(data: &[u8]) -> Result<T, CodecError> {
    match data.split_first() {
        Some((&VERSION, body)) => Ok(postcard::from_bytes(body)?),
        Some((&version, _)) => Err(CodecError::Version(version)),
        None => Err(CodecError::Empty),
    }
}
