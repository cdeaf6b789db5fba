//! Frames as bytes on a QUIC stream: version, length and a `postcard` body.

use std::fmt;

use bytes::Bytes;
use quinn::ReadExactError;
use quinn::RecvStream;

use crate::peer::frame::Frame;

/// Protocol version that this build speaks.
pub const VERSION: u16 = 1;
/// Body of a frame, in bytes at most.
pub const MAX_BODY: usize = 8 * 1024 * 1024;
/// Version and length in front of the body, in bytes.
const HEAD: usize = 6;

/// Frame that can't be written or read.
#[derive(Debug)]
pub enum WireError {
    /// The frame has another protocol version.
    Version(u16),
    /// The body has this many bytes, more than [`MAX_BODY`].
    TooLong(usize),
    /// The body is not a frame.
    Malformed(postcard::Error),
    /// The stream ended before or within a frame.
    Ended,
    /// The stream failed.
    Stream(quinn::ReadError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(found) => {
                write!(f, "unknown protocol version {found}, this instance speaks {VERSION}")
            }
            Self::TooLong(size) => write!(f, "frame of {size} bytes, {MAX_BODY} at most"),
            Self::Malformed(e) => write!(f, "malformed frame: {e}"),
            Self::Ended => f.write_str("stream ended"),
            Self::Stream(e) => write!(f, "stream failed: {e}"),
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
            ReadExactError::FinishedEarly(_) => Self::Ended,
            ReadExactError::ReadError(e) => Self::Stream(e),
        }
    }
}

/// Encodes `frame` with its head.
///
/// # Errors
///
/// Fails where the body is longer than [`MAX_BODY`].
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let mut data = vec![0; HEAD];
    data = postcard::to_extend(frame, data)?;
    let size = data.len() - HEAD;
    if size > MAX_BODY {
        return Err(WireError::TooLong(size));
    }
    let length = u32::try_from(size).map_err(|_| WireError::TooLong(size))?;
    let head = VERSION.to_le_bytes().into_iter().chain(length.to_le_bytes());
    data.iter_mut().zip(head).for_each(|(to, from)| *to = from);
    Ok(Bytes::from(data))
}

/// Reads the next frame of `stream`.
///
/// # Errors
///
/// Fails where the stream fails or ends, or where the frame has an unknown version, is too long or
/// can't be decoded; nothing more can be read from the stream then.
pub async fn read(stream: &mut RecvStream) -> Result<Frame, WireError> {
    let mut head = [0; HEAD];
    stream.read_exact(&mut head).await?;
    let [v0, v1, l0, l1, l2, l3] = head;
    let version = u16::from_le_bytes([v0, v1]);
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > MAX_BODY {
        return Err(WireError::TooLong(length));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(postcard::from_bytes(&body)?)
}
