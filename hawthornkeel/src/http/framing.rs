//! Bounded reading of heads and bodies, strict about what frames them.
//!
//! The library decodes; the checks here close what it lets through: conflicting lengths, lone line
//! ends, empty chunk sizes, and heads and bodies without a bound.

use std::error::Error;
use std::fmt;
use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::request::Parts;
use monoio_codec::Decoded;
use monoio_codec::Decoder;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;
use monoio_http::h1::codec::decoder::DecodeError;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use crate::http::reader::Reader;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes that frame one chunk, at most: sixteen digits and two line ends.
const CHUNK_OVERHEAD: usize = 20;

/// Why a message could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended before the first byte.
    Closed,
    /// The connection ended inside the message.
    Truncated,
    /// The head is longer than the bound.
    HeadTooLarge,
    /// The body is longer than the bound.
    BodyTooLarge,
    /// The message breaks the protocol.
    Malformed(&'static str),
    /// The connection failed.
    Io(io::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed"),
            Self::Truncated => f.write_str("message truncated"),
            Self::HeadTooLarge => f.write_str("head too large"),
            Self::BodyTooLarge => f.write_str("body too large"),
            Self::Malformed(what) => f.write_str(what),
            Self::Io(error) => error.fmt(f),
        }
    }
}

impl Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// How the body of a message is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// There is neither a length nor chunks.
    Absent,
    /// Length in bytes.
    Fixed(usize),
    /// In chunks.
    Chunked,
}

/// Reads the head of a request of `max` bytes at most.
///
/// # Errors
/// Fails where the connection ends, the head is too large or breaks the protocol.
pub async fn read_request_head(reader: &mut Reader, max: usize) -> Result<Parts, ReadError> {
    let mut head = read_head(reader, max).await?;
    match RequestHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(parts)) => Ok(parts),
        Ok(_) => Err(ReadError::Malformed("incomplete head")),
        Err(error) => Err(head_error(&error)),
    }
}

/// Reads the head of a response of `max` bytes at most.
///
/// # Errors
/// Fails where the connection ends, the head is too large or breaks the protocol.
pub async fn read_response_head(
    reader: &mut Reader,
    max: usize,
) -> Result<ResponseHead, ReadError> {
    let mut head = read_head(reader, max).await?;
    match ResponseHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(parts)) => Ok(parts),
        Ok(_) => Err(ReadError::Malformed("incomplete head")),
        Err(error) => Err(head_error(&error)),
    }
}

/// Reads up to the end of a head and returns its bytes.
async fn read_head(reader: &mut Reader, max: usize) -> Result<BytesMut, ReadError> {
    let mut scanned = 0;
    loop {
        let buffer = reader.buffer();
        if let Some(end) = find_end(buffer, scanned) {
            if end > max {
                return Err(ReadError::HeadTooLarge);
            }
            let head = buffer.split_to(end);
            check_lines(&head)?;
            return Ok(head);
        }
        if buffer.len() > max {
            return Err(ReadError::HeadTooLarge);
        }
        // Starts again where an end might have begun, so that slow senders cost little.
        scanned = buffer.len().saturating_sub(HEAD_END.len() - 1);
        let started = !buffer.is_empty();
        if reader.fill(0).await? == 0 {
            return Err(if started { ReadError::Truncated } else { ReadError::Closed });
        }
    }
}

fn find_end(buffer: &[u8], from: usize) -> Option<usize> {
    let rest = buffer.get(from..)?;
    let start = rest.windows(HEAD_END.len()).position(|w| w == HEAD_END)?;
    Some(from + start + HEAD_END.len())
}

/// Refuses lone carriage returns and line feeds, which others may take for line ends.
fn check_lines(head: &[u8]) -> Result<(), ReadError> {
    let mut previous = 0;
    for &byte in head {
        if (byte == b'\n') != (previous == b'\r') {
            return Err(ReadError::Malformed("lone line end in the head"));
        }
        previous = byte;
    }
    Ok(())
}

fn head_error(error: &DecodeError) -> ReadError {
    match error {
        // The library's bound on the number of fields.
        DecodeError::Parse(error) if error.to_string() == "too many headers" => {
            ReadError::HeadTooLarge
        }
        DecodeError::Parse(_) => ReadError::Malformed("head can't be parsed"),
        DecodeError::Uri(_) => ReadError::Malformed("target can't be parsed"),
        _ => ReadError::Malformed("head can't be decoded"),
    }
}

/// Returns how the body of a message with `headers` is framed.
///
/// # Errors
/// Fails where the fields conflict, are repeated or can't be understood in one way only.
pub fn body_length(version: Version, headers: &HeaderMap) -> Result<BodyLength, ReadError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyLength::Absent),
        (Some(_), Some(_)) => Err(ReadError::Malformed("both a length and a transfer coding")),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !chunked || codings.next().is_some() || version != Version::HTTP_11 {
                return Err(ReadError::Malformed("transfer coding is not supported"));
            }
            Ok(BodyLength::Chunked)
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(ReadError::Malformed("more than one length"));
            }
            parse_length(length.as_bytes()).map(BodyLength::Fixed)
        }
    }
}

fn parse_length(text: &[u8]) -> Result<usize, ReadError> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let length = str::from_utf8(text).ok().filter(|_| digits).and_then(|t| t.parse().ok());
    length.ok_or(ReadError::Malformed("length can't be parsed"))
}

/// Body that is being read.
pub struct BodyReader {
    state: State,
    max: usize,
    taken: usize,
}

enum State {
    /// Bytes left of a body with a length.
    Fixed(usize),
    /// Body in chunks, with whether a chunk's data is being waited for.
    Chunked(ChunkedBodyDecoder, bool),
    Done,
}

impl BodyReader {
    /// Creates a reader of a body of `max` bytes at most.
    ///
    /// # Errors
    /// Fails where the declared length is over `max`, before a byte of it is read.
    pub fn new(length: BodyLength, max: usize) -> Result<Self, ReadError> {
        let state = match length {
            BodyLength::Absent | BodyLength::Fixed(0) => State::Done,
            BodyLength::Fixed(length) if length > max => return Err(ReadError::BodyTooLarge),
            BodyLength::Fixed(length) => State::Fixed(length),
            BodyLength::Chunked => State::Chunked(ChunkedBodyDecoder::default(), false),
        };
        Ok(Self { state, max, taken: 0 })
    }

    /// Tells whether the whole body has been read.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns the next piece of the body, `None` once it is whole.
    ///
    /// # Errors
    /// Fails where the body is too large, breaks the protocol or ends early.
    pub async fn next(&mut self, reader: &mut Reader) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(piece) = self.take_buffered(reader)? {
                return Ok(Some(piece));
            }
            if self.is_done() {
                return Ok(None);
            }
            let wanted = match self.state {
                State::Fixed(left) => left,
                _ => 0,
            };
            if reader.fill(wanted).await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    /// Reads the rest of the body and returns it whole.
    ///
    /// # Errors
    /// Fails as [`BodyReader::next`] does.
    pub async fn read_to_end(&mut self, reader: &mut Reader) -> Result<Bytes, ReadError> {
        let Some(first) = self.next(reader).await? else { return Ok(Bytes::new()) };
        if self.is_done() {
            return Ok(first);
        }
        let mut whole = BytesMut::from(first.as_ref());
        while let Some(piece) = self.next(reader).await? {
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Returns the next piece of what was read already, if any.
    ///
    /// # Errors
    /// Fails where the body is too large or breaks the protocol.
    pub fn take_buffered(&mut self, reader: &mut Reader) -> Result<Option<Bytes>, ReadError> {
        let buffer = reader.buffer();
        if buffer.is_empty() {
            return Ok(None);
        }
        match &mut self.state {
            State::Done => Ok(None),
            State::Fixed(left) => {
                let piece = buffer.split_to(buffer.len().min(*left)).freeze();
                *left -= piece.len();
                if *left == 0 {
                    self.state = State::Done;
                }
                Ok(Some(piece))
            }
            State::Chunked(..) => self.decode_chunk(buffer),
        }
    }

    fn decode_chunk(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ReadError> {
        let State::Chunked(decoder, inside) = &mut self.state else { return Ok(None) };
        // The library takes a size without digits for the last chunk.
        if !*inside && !buffer.first().is_some_and(u8::is_ascii_hexdigit) {
            return Err(ReadError::Malformed("chunk size has no digits"));
        }
        let before = buffer.len();
        match decoder.decode(buffer) {
            Ok(Decoded::Some(Some(data))) => {
                *inside = false;
                self.taken = self.taken.saturating_add(data.len());
                if self.taken > self.max {
                    return Err(ReadError::BodyTooLarge);
                }
                Ok(Some(data))
            }
            Ok(Decoded::Some(None)) => {
                self.state = State::Done;
                Ok(None)
            }
            Ok(_) => {
                *inside |= buffer.len() != before;
                // What waits in the buffer counts: one huge chunk must not grow it.
                if self.taken.saturating_add(buffer.len()) > self.max.saturating_add(CHUNK_OVERHEAD)
                {
                    return Err(ReadError::BodyTooLarge);
                }
                Ok(None)
            }
            Err(_) => Err(ReadError::Malformed("chunk can't be decoded")),
        }
    }
}
