//! Encoding of frames on a QUIC stream: a header of version, body encoding and length, then a
//! `postcard` body.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use monoio::time::timeout;
use quinn::ReadExactError;
use quinn::RecvStream;
use serde::de::DeserializeOwned;

use crate::peer::compression;
use crate::peer::compression::BodyEncoding;
use crate::peer::frame::Frame;
use crate::peer::rollout_frame::RolloutFrame;

/// Protocol version of this build.
pub const VERSION: u16 = 8;
/// Version in the header of messages about rollouts, which older builds don't read.
///
/// Far from [`VERSION`], so that either may rise without meeting the other.
pub const ROLLOUT_VERSION: u16 = 0x0101;
/// Maximum size of a frame's body before compression, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time from the first byte of a frame within which the rest of it must arrive.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the header (version, body encoding, length), in bytes.
const HEADER_BYTES: usize = 7;

/// Error of encoding, reading or decoding a frame.
#[derive(Debug)]
pub enum WireError {
    /// The frame has another protocol version.
    UnknownVersion(u16),
    /// The body has this many bytes, more than [`MAX_BODY_BYTES`].
    TooLong(usize),
    /// The body has an unknown encoding.
    UnknownEncoding(u8),
    /// The body is invalid DEFLATE data or decompresses to more than [`MAX_BODY_BYTES`].
    Decompress,
    /// The body can't be deserialised.
    Malformed(postcard::Error),
    /// The frame was not complete within [`FRAME_TIMEOUT`].
    TimedOut,
    /// The stream ended before or within a frame.
    StreamEnded,
    /// The stream failed.
    StreamFailed(quinn::ReadError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownVersion(found) => {
                write!(f, "unknown protocol version {found}, this instance speaks {VERSION}")
            }
            Self::TooLong(size) => {
                write!(f, "frame of {size} bytes, {MAX_BODY_BYTES} at most")
            }
            Self::UnknownEncoding(found) => write!(f, "unknown form {found} of a frame's body"),
            Self::Decompress => {
                write!(f, "body can't be decompressed within {MAX_BODY_BYTES} bytes")
            }
            Self::Malformed(e) => write!(f, "malformed frame: {e}"),
            Self::TimedOut => f.write_str("frame not complete in time"),
            Self::StreamEnded => f.write_str("stream ended"),
            Self::StreamFailed(e) => write!(f, "stream failed: {e}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<postcard::Error> for WireError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error)
    }
}

impl From<ReadExactError> for WireError {
    fn from(error: ReadExactError) -> Self {
        match error {
            ReadExactError::FinishedEarly(_) => Self::StreamEnded,
            ReadExactError::ReadError(e) => Self::StreamFailed(e),
        }
    }
}

/// Encodes `frame` with its header.
///
/// # Errors
///
/// Fails where the body is longer than [`MAX_BODY_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let reserved = vec![0; HEADER_BYTES];
    let (version, body) = match frame {
        Frame::Rollout(rollout) => (ROLLOUT_VERSION, postcard::to_extend(rollout, reserved)?),
        other => (VERSION, postcard::to_extend(other, reserved)?),
    };
    let size = body.len() - HEADER_BYTES;
    if size > MAX_BODY_BYTES {
        return Err(WireError::TooLong(size));
    }
    let (_, plain) = body.split_at(HEADER_BYTES);
    match compression::compress(plain) {
        Some(compressed) => {
            let mut data = vec![0; HEADER_BYTES];
            data.extend_from_slice(&compressed);
            write_header(data, version, BodyEncoding::Deflate)
        }
        None => write_header(body, version, BodyEncoding::Identity),
    }
}

/// Writes the header into the space reserved for it.
fn write_header(
    mut data: Vec<u8>,
    version: u16,
    encoding: BodyEncoding,
) -> Result<Bytes, WireError> {
    let size = data.len() - HEADER_BYTES;
    let length = u32::try_from(size).map_err(|_| WireError::TooLong(size))?;
    let [v0, v1] = version.to_le_bytes();
    let [l0, l1, l2, l3] = length.to_le_bytes();
    let header = [v0, v1, encoding.code(), l0, l1, l2, l3];
    data.iter_mut().zip(header).for_each(|(to, from)| *to = from);
    Ok(Bytes::from(data))
}

/// Reads the next frame of `stream`.
///
/// # Errors
///
/// Fails where the stream fails or ends, or where the frame has an unknown version or encoding, is
/// too long or not complete in time, or can't be decoded; the stream can't be read any further then.
pub async fn read(stream: &mut RecvStream) -> Result<Frame, WireError> {
    let mut first = [0];
    // A stream may be idle between frames, but not within one.
    stream.read_exact(&mut first).await?;
    timeout(FRAME_TIMEOUT, read_rest(stream, first)).await.unwrap_or(Err(WireError::TimedOut))
}

/// Reads the rest of a frame after its first byte.
async fn read_rest(stream: &mut RecvStream, first: [u8; 1]) -> Result<Frame, WireError> {
    let mut rest = [0; HEADER_BYTES - 1];
    stream.read_exact(&mut rest).await?;
    let ([v0], [v1, encoding, l0, l1, l2, l3]) = (first, rest);
    let (format, encoding, length) = parse_header([v0, v1, encoding, l0, l1, l2, l3])?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    match format {
        BodyFormat::Frame => decode(encoding, &body),
        BodyFormat::Rollout => Ok(Frame::Rollout(decode_rollout(encoding, &body)?)),
    }
}

/// What the body of a frame holds, by the version in its header.
enum BodyFormat {
    /// A [`Frame`] of [`VERSION`].
    Frame,
    /// A [`RolloutFrame`] of [`ROLLOUT_VERSION`].
    Rollout,
}

fn parse_header(
    header: [u8; HEADER_BYTES],
) -> Result<(BodyFormat, BodyEncoding, usize), WireError> {
    let [v0, v1, encoding, l0, l1, l2, l3] = header;
    let version = u16::from_le_bytes([v0, v1]);
    let format = match version {
        VERSION => BodyFormat::Frame,
        ROLLOUT_VERSION => BodyFormat::Rollout,
        unknown => return Err(WireError::UnknownVersion(unknown)),
    };
    let encoding = BodyEncoding::from_code(encoding).ok_or(WireError::UnknownEncoding(encoding))?;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > MAX_BODY_BYTES {
        return Err(WireError::TooLong(length));
    }
    Ok((format, encoding, length))
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// Fails where the body can't be decompressed within [`MAX_BODY_BYTES`] or deserialised.
pub fn decode(encoding: BodyEncoding, body: &[u8]) -> Result<Frame, WireError> {
    decode_body(encoding, body)
}

/// Decodes the body of a message about rollouts.
///
/// # Errors
///
/// Returns the errors of [`decode`].
pub fn decode_rollout(encoding: BodyEncoding, body: &[u8]) -> Result<RolloutFrame, WireError> {
    decode_body(encoding, body)
}

fn decode_body<T: DeserializeOwned>(encoding: BodyEncoding, body: &[u8]) -> Result<T, WireError> {
    match encoding {
        BodyEncoding::Identity => Ok(postcard::from_bytes(body)?),
        BodyEncoding::Deflate => {
            let plain =
                compression::decompress(body, MAX_BODY_BYTES).ok_or(WireError::Decompress)?;
            Ok(postcard::from_bytes(&plain)?)
        }
    }
}
