//! Bounded reading of message heads and bodies, with strict checks of their framing.
//!
//! The HTTP library decodes messages but accepts conflicting lengths, bare CR and LF, empty chunk
//! sizes, and heads and bodies of any size; the checks here reject these.

use std::error::Error;
use std::fmt;
use std::io;

use bytes::Buf;
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
use monoio_http::h1::codec::decoder::DecodeError;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use crate::http::reader::Reader;

/// Terminator of a message head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Maximum number of hex digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 16;

/// Framing bytes of a chunked body that are accepted even if its limit is lower.
const MIN_FRAMING_BYTES: usize = 64 * 1024;

/// Line end of a chunk size and of chunk data.
const LINE_END: &[u8] = b"\r\n";

/// Error of reading a message.
#[derive(Debug)]
pub enum ReadError {
    /// The connection was closed before the first byte.
    Closed,
    /// The connection was closed within the message.
    Truncated,
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// A chunk size has more digits than its limit.
    SizeTooLong,
    /// The chunk sizes and line ends of a chunked body exceed their limit.
    FramingTooLarge,
    /// There were too many informational responses before the final one.
    TooManyInterim,
    /// The message violates the protocol.
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
            Self::SizeTooLong => f.write_str("chunk size too long"),
            Self::FramingTooLarge => f.write_str("chunk framing too large"),
            Self::TooManyInterim => f.write_str("too many informational responses"),
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
    /// No `Content-Length` and not chunked.
    Absent,
    /// `Content-Length` in bytes.
    Fixed(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// Reads a request head of at most `max` bytes.
///
/// # Errors
/// Fails where the connection is closed, or the head is too large or malformed.
pub async fn read_request_head(reader: &mut Reader, max: usize) -> Result<Parts, ReadError> {
    let mut head = read_head(reader, max).await?;
    match RequestHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(parts)) => Ok(parts),
        Ok(_) => Err(ReadError::Malformed("incomplete head")),
        Err(error) => Err(head_error(&error)),
    }
}

/// Reads a response head of at most `max` bytes.
///
/// # Errors
/// Fails where the connection is closed, the head is too large or malformed, or its status is not
/// that of a response.
pub async fn read_response_head(
    reader: &mut Reader,
    max: usize,
) -> Result<ResponseHead, ReadError> {
    let mut head = read_head(reader, max).await?;
    match ResponseHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(parts)) => check_status(parts),
        Ok(_) => Err(ReadError::Malformed("incomplete head")),
        Err(error) => Err(head_error(&error)),
    }
}

/// Rejects statuses that the HTTP library accepts up to 999, and a change of the protocol, which no
/// request asks for and behind which no response follows.
fn check_status(head: ResponseHead) -> Result<ResponseHead, ReadError> {
    match head.status.as_u16() {
        101 => Err(ReadError::Malformed("protocol was changed without a request")),
        100..=599 => Ok(head),
        _ => Err(ReadError::Malformed("status is out of range")),
    }
}

/// Reads up to the end of a head and returns its bytes.
async fn read_head(reader: &mut Reader, max: usize) -> Result<BytesMut, ReadError> {
    let mut scanned = 0;
    loop {
        let buffer = reader.buffer();
        if let Some(end) = find_head_end(buffer, scanned) {
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
        // Resumes the scan where a terminator may have started, so that slow senders don't cause rescans.
        scanned = buffer.len().saturating_sub(HEAD_END.len() - 1);
        let started = !buffer.is_empty();
        if reader.fill(0).await? == 0 {
            return Err(if started { ReadError::Truncated } else { ReadError::Closed });
        }
    }
}

fn find_head_end(buffer: &[u8], from: usize) -> Option<usize> {
    let rest = buffer.get(from..)?;
    let start = rest.windows(HEAD_END.len()).position(|w| w == HEAD_END)?;
    Some(from + start + HEAD_END.len())
}

/// Rejects bare CR and LF, which other parsers may treat as line ends.
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
        // The HTTP library's limit on the number of fields.
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
/// Fails where the fields conflict, are repeated or are ambiguous.
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

/// Reader of a message body.
pub struct BodyReader {
    state: State,
    max: usize,
    received: usize,
    /// Bytes of chunk sizes and line ends.
    framing: usize,
}

enum State {
    /// Remaining bytes of a body with a `Content-Length`.
    Fixed(usize),
    /// Chunked body.
    Chunked(ChunkPart),
    Done,
}

/// Part of a chunked body that comes next.
#[derive(Clone, Copy, Debug)]
enum ChunkPart {
    /// Size of a chunk.
    Size,
    /// Data of a chunk, of which this many bytes remain.
    Data(usize),
    /// Line end after the data of a chunk.
    DataEnd,
    /// Line end after the last chunk; trailers are not supported.
    LastEnd,
}

impl BodyReader {
    /// Creates a reader of a body of at most `max` bytes.
    ///
    /// # Errors
    /// Fails where the declared length exceeds `max`, before any of the body is read.
    pub fn new(length: BodyLength, max: usize) -> Result<Self, ReadError> {
        let state = match length {
            BodyLength::Absent | BodyLength::Fixed(0) => State::Done,
            BodyLength::Fixed(length) if length > max => return Err(ReadError::BodyTooLarge),
            BodyLength::Fixed(length) => State::Fixed(length),
            BodyLength::Chunked => State::Chunked(ChunkPart::Size),
        };
        Ok(Self { state, max, received: 0, framing: 0 })
    }

    /// Returns whether the rest of the body has a declared length.
    pub fn has_length(&self) -> bool {
        matches!(self.state, State::Fixed(_))
    }

    /// Tells whether the body has been read completely.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns the next data of the body, or `None` at its end.
    ///
    /// # Errors
    /// Fails where the body is too large, malformed or truncated.
    pub async fn next(&mut self, reader: &mut Reader) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(data) = self.take_buffered(reader)? {
                return Ok(Some(data));
            }
            if self.is_done() {
                return Ok(None);
            }
            let wanted = match self.state {
                State::Fixed(remaining) | State::Chunked(ChunkPart::Data(remaining)) => remaining,
                State::Chunked(_) | State::Done => 0,
            };
            reader.pause_if_busy().await;
            if reader.fill(wanted).await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    /// Reads the body to its end and returns it.
    ///
    /// # Errors
    /// Fails as [`BodyReader::next`] does.
    pub async fn read_to_end(&mut self, reader: &mut Reader) -> Result<Bytes, ReadError> {
        let Some(first) = self.next(reader).await? else { return Ok(Bytes::new()) };
        if self.is_done() {
            return Ok(first);
        }
        let mut body = BytesMut::from(first.as_ref());
        while let Some(data) = self.next(reader).await? {
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Returns the next data that is already buffered, if any.
    ///
    /// # Errors
    /// Fails where the body is too large or malformed.
    pub fn take_buffered(&mut self, reader: &mut Reader) -> Result<Option<Bytes>, ReadError> {
        let buffer = reader.buffer();
        if buffer.is_empty() {
            return Ok(None);
        }
        match &mut self.state {
            State::Done => Ok(None),
            State::Fixed(remaining) => {
                let data = buffer.split_to(buffer.len().min(*remaining)).freeze();
                *remaining -= data.len();
                if *remaining == 0 {
                    self.state = State::Done;
                }
                Ok(Some(data))
            }
            State::Chunked(part) => {
                let part = *part;
                self.decode_chunked(part, buffer)
            }
        }
    }

    /// Decodes buffered parts of a chunked body up to the next data.
    fn decode_chunked(
        &mut self,
        part: ChunkPart,
        buffer: &mut BytesMut,
    ) -> Result<Option<Bytes>, ReadError> {
        let mut part = part;
        let data = loop {
            let next = match part {
                ChunkPart::Size => self.take_size(buffer)?,
                ChunkPart::Data(remaining) => {
                    let data = buffer.split_to(buffer.len().min(remaining)).freeze();
                    self.received = self.received.saturating_add(data.len());
                    let remaining = remaining - data.len();
                    part = match remaining {
                        0 => ChunkPart::DataEnd,
                        remaining => ChunkPart::Data(remaining),
                    };
                    break (!data.is_empty()).then_some(data);
                }
                ChunkPart::DataEnd => self.take_line_end(buffer)?.then_some(ChunkPart::Size),
                ChunkPart::LastEnd => {
                    if self.take_line_end(buffer)? {
                        self.state = State::Done;
                        return Ok(None);
                    }
                    None
                }
            };
            match next {
                Some(next) => part = next,
                None => break None,
            }
        };
        self.state = State::Chunked(part);
        Ok(data)
    }

    /// Takes the size of a chunk, if its line is complete, and returns the part that comes next.
    fn take_size(&mut self, buffer: &mut BytesMut) -> Result<Option<ChunkPart>, ReadError> {
        let is_digit = |b: &&u8| b.is_ascii_hexdigit();
        let digits = buffer.iter().take(MAX_SIZE_DIGITS + 1).take_while(is_digit).count();
        if digits > MAX_SIZE_DIGITS {
            return Err(ReadError::SizeTooLong);
        }
        let (size, rest) = buffer.split_at(digits);
        if size.is_empty() && !rest.is_empty() {
            return Err(ReadError::Malformed("chunk size has no digits"));
        }
        let is_complete = starts_with_line_end(rest)?;
        if !is_complete {
            return Ok(None);
        }
        let size = str::from_utf8(size).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
        let size = size.ok_or(ReadError::Malformed("chunk can't be decoded"))?;
        self.count_framing(digits + LINE_END.len())?;
        buffer.advance(digits + LINE_END.len());
        if size == 0 {
            return Ok(Some(ChunkPart::LastEnd));
        }
        if self.received.saturating_add(size) > self.max {
            return Err(ReadError::BodyTooLarge);
        }
        Ok(Some(ChunkPart::Data(size)))
    }

    /// Takes a line end; returns `false` if it has not arrived yet.
    fn take_line_end(&mut self, buffer: &mut BytesMut) -> Result<bool, ReadError> {
        let is_complete = starts_with_line_end(buffer)?;
        if is_complete {
            self.count_framing(LINE_END.len())?;
            buffer.advance(LINE_END.len());
        }
        Ok(is_complete)
    }

    /// Bounds the framing as well: tiny chunks cost many times the bytes of their data.
    fn count_framing(&mut self, bytes: usize) -> Result<(), ReadError> {
        self.framing = self.framing.saturating_add(bytes);
        if self.framing > self.max.max(MIN_FRAMING_BYTES) {
            return Err(ReadError::FramingTooLarge);
        }
        Ok(())
    }
}

/// Returns whether `bytes` start with a line end, `false` as well if it is not complete.
fn starts_with_line_end(bytes: &[u8]) -> Result<bool, ReadError> {
    match bytes {
        [] | [b'\r'] => Ok(false),
        [b'\r', b'\n', ..] => Ok(true),
        _ => Err(ReadError::Malformed("chunk can't be decoded")),
    }
}
