//! A connection to a target and the HTTP exchange on it.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::Incarnation;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use http::header::RETRY_AFTER;
use monoio::io::AsyncWriteRent;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::common::response::ResponseHead;

use crate::http::connection::has_connection_option;
use crate::http::framing;
use crate::http::framing::BodyLength;
use crate::http::framing::BodyReader;
use crate::http::framing::ReadError;
use crate::http::reader::Reader;
use crate::http::response_bound::ResponseBound;
use crate::target::call::REQUEST_ID;
use crate::target::error::CallError;
use crate::target::process;

/// Largest response head, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Largest number of interim responses (status 1xx) before the final one.
const MAX_INTERIM: usize = 4;

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// Time at which the whole call must have ended.
    pub(crate) deadline: Instant,
    /// Longest time without a byte.
    pub(crate) progress_timeout: Duration,
}

impl CallTimeouts {
    /// Starts the time limits of a call now.
    pub(crate) fn start(timeout: Duration, progress_timeout: Duration) -> Self {
        let now = Instant::now();
        Self { deadline: now.checked_add(timeout).unwrap_or(now), progress_timeout }
    }

    /// Returns the time remaining until the next byte must arrive.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now()).min(self.progress_timeout)
    }
}

/// Connection to a target.
pub(crate) struct Connection {
    reader: Reader,
    write: OwnedWriteHalf<TcpStream>,
    /// Whether a response head has been read from it.
    used: bool,
    address: SocketAddr,
    /// Start of the current exchange.
    started: Instant,
    /// Number of bytes received before the current exchange.
    received_before: usize,
    /// Incarnation of the process at the other end, if the target has reported it.
    pub(crate) incarnation: Option<Incarnation>,
}

/// Head of a response that belongs to the call.
pub(crate) struct ReceivedHead {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Reader of the body, which has not been read yet.
    pub(crate) body: BodyReader,
    /// Whether the connection can be reused after the body.
    pub(crate) reusable: bool,
}

impl Connection {
    /// Opens a connection to `address`.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let stream = match timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::NotSent(error.to_string())),
            Err(_) => return Err(CallError::NotSent("connect timed out".to_owned())),
        };
        // Requests are written in one go, so Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Ok(Self {
            reader: Reader::new(read),
            write,
            used: false,
            address,
            started: Instant::now(),
            received_before: 0,
            incarnation: None,
        })
    }

    /// Returns whether the connection is open and no byte has arrived since the last exchange.
    pub(crate) async fn is_idle(&mut self) -> bool {
        if self.reader.buffered() > 0 {
            return false;
        }
        let mut fill = pin!(self.reader.fill(0));
        poll_fn(|cx| Poll::Ready(fill.as_mut().poll(cx).is_pending())).await
    }

    /// Sends `request`.
    pub(crate) async fn send(
        &mut self,
        request: Bytes,
        timeouts: &CallTimeouts,
    ) -> Result<(), CallError> {
        self.started = Instant::now();
        self.received_before = self.reader.received();
        let mut rest = request;
        let mut sent = false;
        while rest.has_remaining() {
            let written = match timeout(timeouts.remaining(), self.write.write(rest.clone())).await
            {
                Ok((Ok(count @ 1..), _)) => count,
                Ok((Ok(_), _)) => return Err(send_error(sent, "nothing written".to_owned())),
                Ok((Err(error), _)) => return Err(send_error(sent, error.to_string())),
                Err(_) if sent => return Err(CallError::TimedOut),
                Err(_) => return Err(CallError::NotSent("write timed out".to_owned())),
            };
            sent = true;
            rest.advance(written.min(rest.len()));
        }
        Ok(())
    }

    /// Reads the head of the response and checks that it belongs to call `id`.
    ///
    /// On a reused connection the response must echo the call's ID. Otherwise a duplicate
    /// response to an earlier call could be taken for this one.
    pub(crate) async fn read_head(
        &mut self,
        id: CallId,
        max_body: usize,
        timeouts: &CallTimeouts,
    ) -> Result<ReceivedHead, CallError> {
        let head = self.read_final_head(timeouts).await?;
        let reused = std::mem::replace(&mut self.used, true);
        let echoed = match head.headers.get(REQUEST_ID) {
            Some(echo) if echo.as_bytes() == id.to_string().as_bytes() => true,
            Some(_) => return Err(CallError::WrongCall),
            None if reused => return Err(CallError::WrongCall),
            None => false,
        };
        self.incarnation = process::incarnation(&head.headers).or(self.incarnation);
        let length = framing::body_length(head.version, &head.headers);
        let length = length.map_err(|e| self.read_failed(e))?;
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = match length {
            _ if has_no_body => BodyLength::Absent,
            BodyLength::Absent => return Err(CallError::Malformed("response has no length")),
            length => length,
        };
        let body = BodyReader::new(length, max_body).map_err(|e| self.read_failed(e))?;
        let is_persistent =
            head.version == Version::HTTP_11 && !has_connection_option(&head.headers, "close");
        Ok(ReceivedHead {
            status: head.status,
            headers: head.headers,
            body,
            reusable: echoed && is_persistent,
        })
    }

    async fn read_final_head(
        &mut self,
        timeouts: &CallTimeouts,
    ) -> Result<ResponseHead, CallError> {
        for _ in 0..=MAX_INTERIM {
            let read = framing::read_response_head(&mut self.reader, MAX_HEAD);
            let head = with_timeout(timeouts, read).await.map_err(|e| self.read_failed(e))?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(self.read_failed(ReadError::TooManyInterim))
    }

    /// Returns a chunk of the body that is already buffered, if any.
    pub(crate) fn take_buffered(
        &mut self,
        body: &mut BodyReader,
    ) -> Result<Option<Bytes>, CallError> {
        body.take_buffered(&mut self.reader).map_err(|e| self.read_failed(e))
    }

    /// Returns the next chunk of the body, or `None` at its end.
    pub(crate) async fn next_chunk(
        &mut self,
        body: &mut BodyReader,
        timeouts: &CallTimeouts,
    ) -> Result<Option<Bytes>, CallError> {
        if body.is_done() {
            return Ok(None);
        }
        let chunk = with_timeout(timeouts, body.next(&mut self.reader)).await;
        chunk.map_err(|e| self.read_failed(e))
    }

    /// Returns the error of a call whose response can't be read; records an exceeded bound.
    fn read_failed(&self, error: ReadError) -> CallError {
        if let Some(bound) = ResponseBound::of(&error) {
            self.record_exceeded(bound);
        }
        read_error(error)
    }

    /// Logs and counts an exchange that is closed because its response exceeds `bound`.
    pub(crate) fn record_exceeded(&self, bound: ResponseBound) {
        let bytes = self.reader.received().wrapping_sub(self.received_before);
        bound.record(self.address, bytes, self.started.elapsed());
    }
}

/// Applies the time limits to a read.
async fn with_timeout<T>(
    timeouts: &CallTimeouts,
    read: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let remaining = timeouts.remaining();
    // A timeout does not expire while each poll finds more data.
    if remaining.is_zero() {
        return Err(io::Error::from(io::ErrorKind::TimedOut).into());
    }
    let read = timeout(remaining, read).await;
    read.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}

fn send_error(sent: bool, cause: String) -> CallError {
    if sent { CallError::Reset(cause) } else { CallError::NotSent(cause) }
}

fn read_error(error: ReadError) -> CallError {
    match error {
        ReadError::Closed => CallError::Reset("closed before the response".to_owned()),
        ReadError::Truncated => CallError::Truncated,
        ReadError::HeadTooLarge => CallError::Malformed("response head is too large"),
        ReadError::BodyTooLarge => CallError::Malformed("response is too large"),
        ReadError::SizeTooLong => CallError::Malformed("chunk size is too long"),
        ReadError::FramingTooLarge => CallError::Malformed("chunk framing is too large"),
        ReadError::TooManyInterim => CallError::Malformed("too many interim responses"),
        ReadError::Malformed(what) => CallError::Malformed(what),
        ReadError::Io(error) if error.kind() == io::ErrorKind::TimedOut => CallError::TimedOut,
        ReadError::Io(error) => CallError::Reset(error.to_string()),
    }
}

/// Returns the delay of a Retry-After header in seconds.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
