//! Frames as bytes on a QUIC stream: version, form, length and a `postcard` body.

use std::fmt;

use bytes::Bytes;
use quinn::ReadExactError;
use quinn::RecvStream;

use crate::peer::frame::Frame;
use crate::peer::pack;
use crate::peer::pack::Form;

/// Protocol version that this build speaks.
pub const VERSION: u16 = 4;
/// Body of a frame before compression, in bytes at most.
pub const MAX_BODY: usize = 8 * 1024 * 1024;
/// Version, form and length in front of the body, in bytes.
const HEAD: usize = 7;

/// Frame that can't be written or read.
#[derive(Debug)]
pub enum WireError {
    /// The frame has another protocol version.
    Version(u16),
    /// The body has this many bytes, more than [`MAX_BODY`].
    TooLong(usize),
    /// The body has an unknown form.
    Form(u8),
    /// The body can't be decompressed, or not within [`MAX_BODY`].
    Packed,
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
            Self::Form(found) => write!(f, "unknown form {found} of a frame's body"),
            Self::Packed => write!(f, "body can't be decompressed within {MAX_BODY} bytes"),
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
    let body = postcard::to_extend(frame, vec![0; HEAD])?;
    let size = body.len() - HEAD;
    if size > MAX_BODY {
        return Err(WireError::TooLong(size));
    }
    let (_, plain) = body.split_at(HEAD);
    match pack::pack(plain) {
        Some(packed) => {
            let mut data = vec![0; HEAD];
            data.extend_from_slice(&packed);
            finish(data, Form::Packed)
        }
        None => finish(body, Form::Plain),
    }
}

/// Writes the head into the room left for it.
fn finish(mut data: Vec<u8>, form: Form) -> Result<Bytes, WireError> {
    let size = data.len() - HEAD;
    let length = u32::try_from(size).map_err(|_| WireError::TooLong(size))?;
    let [v0, v1] = VERSION.to_le_bytes();
    let [l0, l1, l2, l3] = length.to_le_bytes();
    let head = [v0, v1, form.number(), l0, l1, l2, l3];
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
    let mut head = [0; HEAD];
    stream.read_exact(&mut head).await?;
    let (form, length) = read_head(head)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    decode(form, &body)
}

fn read_head(head: [u8; HEAD]) -> Result<(Form, usize), WireError> {
    let [v0, v1, form, l0, l1, l2, l3] = head;
    let version = u16::from_le_bytes([v0, v1]);
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    let form = Form::from_number(form).ok_or(WireError::Form(form))?;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > MAX_BODY {
        return Err(WireError::TooLong(length));
    }
    Ok((form, length))
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// Fails where the body can't be decompressed within [`MAX_BODY`] or is not a frame.
pub fn decode(form: Form, body: &[u8]) -> Result<Frame, WireError> {
    match form {
        Form::Plain => Ok(postcard::from_bytes(body)?),
        Form::Packed => {
            let plain = pack::unpack(body, MAX_BODY).ok_or(WireError::Packed)?;
            Ok(postcard::from_bytes(&plain)?)
        }
    }
}
