//! Frames as bytes on a QUIC stream: version, form, length and a `postcard` body.

use std::fmt;

use bytes::Bytes;
use quinn::ReadExactError;
use quinn::RecvStream;

use crate::peer::compression;
use crate::peer::compression::BodyEncoding;
use crate::peer::frame::Frame;

/// Protocol version that this build speaks.
pub const VERSION: u16 = 4;
/// Body of a frame before compression, in bytes at most.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Version, form and length in front of the body, in bytes.
const HEADER_BYTES: usize = 7;

/// Frame that can't be written or read.
#[derive(Debug)]
pub enum WireError {
    /// The frame has another protocol version.
    UnknownVersion(u16),
    /// The body has this many bytes, more than [`MAX_BODY_BYTES`].
    TooLong(usize),
    /// The body has an unknown form.
    UnknownEncoding(u8),
    /// The body can't be decompressed, or not within [`MAX_BODY_BYTES`].
    Decompress,
    /// The body is not a frame.
    Malformed(postcard::Error),
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
            Self::TooLong(size) => write!(f, "frame of {size} bytes, {MAX_BODY_BYTES} at most"),
            Self::UnknownEncoding(found) => write!(f, "unknown form {found} of a frame's body"),
            Self::Decompress => {
                write!(f, "body can't be decompressed within {MAX_BODY_BYTES} bytes")
            }
            Self::Malformed(e) => write!(f, "malformed frame: {e}"),
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

/// Encodes `frame` with its head.
///
/// # Errors
///
/// Fails where the body is longer than [`MAX_BODY_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let body = postcard::to_extend(frame, vec![0; HEADER_BYTES])?;
    let size = body.len() - HEADER_BYTES;
    if size > MAX_BODY_BYTES {
        return Err(WireError::TooLong(size));
    }
    let (_, plain) = body.split_at(HEADER_BYTES);
    match compression::compress(plain) {
        Some(packed) => {
            let mut data = vec![0; HEADER_BYTES];
            data.extend_from_slice(&packed);
            finish(data, BodyEncoding::Deflate)
        }
        None => finish(body, BodyEncoding::Identity),
    }
}

/// Writes the head into the room left for it.
fn finish(mut data: Vec<u8>, form: BodyEncoding) -> Result<Bytes, WireError> {
    let size = data.len() - HEADER_BYTES;
    let length = u32::try_from(size).map_err(|_| WireError::TooLong(size))?;
    let [v0, v1] = VERSION.to_le_bytes();
    let [l0, l1, l2, l3] = length.to_le_bytes();
    let head = [v0, v1, form.code(), l0, l1, l2, l3];
    data.iter_mut().zip(head).for_each(|(to, from)| *to = from);
    Ok(Bytes::from(data))
}

/// Reads the next frame of `stream`.
///
/// # Errors
///
/// Fails where the stream fails or ends, or where the frame has an unknown version or form, is too
/// long or can't be decoded; nothing more can be read from the stream then.
pub async fn read(stream: &mut RecvStream) -> Result<Frame, WireError> {
    let mut head = [0; HEADER_BYTES];
    stream.read_exact(&mut head).await?;
    let (form, length) = read_head(head)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    decode(form, &body)
}

fn read_head(head: [u8; HEADER_BYTES]) -> Result<(BodyEncoding, usize), WireError> {
    let [v0, v1, form, l0, l1, l2, l3] = head;
    let version = u16::from_le_bytes([v0, v1]);
    if version != VERSION {
        return Err(WireError::UnknownVersion(version));
    }
    let form = BodyEncoding::from_code(form).ok_or(WireError::UnknownEncoding(form))?;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > MAX_BODY_BYTES {
        return Err(WireError::TooLong(length));
    }
    Ok((form, length))
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// Fails where the body can't be decompressed within [`MAX_BODY_BYTES`] or is not a frame.
pub fn decode(form: BodyEncoding, body: &[u8]) -> Result<Frame, WireError> {
    match form {
        BodyEncoding::Identity => Ok(postcard::from_bytes(body)?),
        BodyEncoding::Deflate => {
            let plain =
                compression::decompress(body, MAX_BODY_BYTES).ok_or(WireError::Decompress)?;
            Ok(postcard::from_bytes(&plain)?)
        }
    }
}
