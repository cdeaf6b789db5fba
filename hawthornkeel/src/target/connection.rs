//! One connection to a target and the exchange on it.

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
use crate::target::call::REQUEST_ID;
use crate::target::error::CallError;
use crate::target::process;

/// Head of an answer, in bytes at most.
const MAX_HEAD: usize = 16 * 1024;

/// Interim answers (status 1xx) before the answer itself, at most.
const MAX_INTERIM: usize = 4;

/// Times that a call must keep.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watch {
    /// When the whole call must have ended.
    pub(crate) end: Instant,
    /// Time without a byte after which the connection counts as silent.
    pub(crate) progress: Duration,
}

impl Watch {
    /// Creates a watch that starts now.
    pub(crate) fn start(timeout: Duration, progress: Duration) -> Self {
        let now = Instant::now();
        Self { end: now.checked_add(timeout).unwrap_or(now), progress }
    }

    /// Returns the time left for the next byte.
    pub(crate) fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now()).min(self.progress)
    }
}

/// Connection to a target.
pub(crate) struct Connection {
    reader: Reader,
    write: OwnedWriteHalf<TcpStream>,
    /// Whether an answer was read from it.
    used: bool,
    /// Incarnation of the process that it leads to, where the target named it.
    pub(crate) incarnation: Option<Incarnation>,
}

/// Head of an answer that belongs to the call.
pub(crate) struct Answered {
    /// Status.
    pub(crate) status: StatusCode,
    /// Header fields.
    pub(crate) headers: HeaderMap,
    /// Body, not read yet.
    pub(crate) body: BodyReader,
    /// Whether the connection may carry another exchange after the body.
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
        // Calls are written whole: waiting for more would only add delay.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Ok(Self { reader: Reader::new(read), write, used: false, incarnation: None })
    }

    /// Tells whether nothing came and the other end has not closed since the last exchange.
    pub(crate) async fn is_quiet(&mut self) -> bool {
        if self.reader.buffered() > 0 {
            return false;
        }
        let mut fill = pin!(self.reader.fill(0));
        poll_fn(|cx| Poll::Ready(fill.as_mut().poll(cx).is_pending())).await
    }

    /// Sends `request` whole.
    pub(crate) async fn send(&mut self, request: Bytes, watch: &Watch) -> Result<(), CallError> {
        let mut rest = request;
        let mut sent = false;
        while rest.has_remaining() {
            let written = match timeout(watch.left(), self.write.write(rest.clone())).await {
                Ok((Ok(count @ 1..), _)) => count,
                Ok((Ok(_), _)) => return Err(send_error(sent, "nothing written".to_owned())),
                Ok((Err(error), _)) => return Err(send_error(sent, error.to_string())),
                Err(_) if sent => return Err(CallError::Silent),
                Err(_) => return Err(CallError::NotSent("write timed out".to_owned())),
            };
            sent = true;
            rest.advance(written.min(rest.len()));
        }
        Ok(())
    }

    /// Reads the head of the answer to call `id` and checks that it belongs to it.
    ///
    /// On a connection that was used before the answer must carry the identity: a
    /// second answer to an earlier call can't be told from this one otherwise.
    pub(crate) async fn read_head(
        &mut self,
        id: CallId,
        max_body: usize,
        watch: &Watch,
    ) -> Result<Answered, CallError> {
        let head = self.read_final_head(watch).await?;
        let reused = std::mem::replace(&mut self.used, true);
        let echoed = match head.headers.get(REQUEST_ID) {
            Some(echo) if echo.as_bytes() == id.to_string().as_bytes() => true,
            Some(_) => return Err(CallError::Crossed),
            None if reused => return Err(CallError::Crossed),
            None => false,
        };
        self.incarnation = process::incarnation(&head.headers).or(self.incarnation);
        let length = framing::body_length(head.version, &head.headers).map_err(read_error)?;
        let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = match length {
            _ if bodiless => BodyLength::Absent,
            BodyLength::Absent => return Err(CallError::Malformed("answer has no length")),
            length => length,
        };
        let body = BodyReader::new(length, max_body).map_err(read_error)?;
        let lasting =
            head.version == Version::HTTP_11 && !has_connection_option(&head.headers, "close");
        Ok(Answered {
            status: head.status,
            headers: head.headers,
            body,
            reusable: echoed && lasting,
        })
    }

    async fn read_final_head(&mut self, watch: &Watch) -> Result<ResponseHead, CallError> {
        for _ in 0..=MAX_INTERIM {
            let read = framing::read_response_head(&mut self.reader, MAX_HEAD);
            let head = within(watch, read).await?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(CallError::Malformed("too many interim answers"))
    }

    /// Returns a piece of the answer's body that was read already, if any.
    pub(crate) fn take_piece(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, CallError> {
        body.take_buffered(&mut self.reader).map_err(read_error)
    }

    /// Returns the next piece of the answer's body, `None` once it is whole.
    pub(crate) async fn next_piece(
        &mut self,
        body: &mut BodyReader,
        watch: &Watch,
    ) -> Result<Option<Bytes>, CallError> {
        within(watch, body.next(&mut self.reader)).await
    }
}

/// Runs a read under the watch.
async fn within<T>(
    watch: &Watch,
    read: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, CallError> {
    match timeout(watch.left(), read).await {
        Ok(result) => result.map_err(read_error),
        Err(_) => Err(CallError::Silent),
    }
}

fn send_error(sent: bool, cause: String) -> CallError {
    if sent { CallError::Reset(cause) } else { CallError::NotSent(cause) }
}

fn read_error(error: ReadError) -> CallError {
    match error {
        ReadError::Closed => CallError::Reset("closed before the answer".to_owned()),
        ReadError::Truncated => CallError::Truncated,
        ReadError::HeadTooLarge => CallError::Malformed("answer head is too large"),
        ReadError::BodyTooLarge => CallError::Malformed("answer is too large"),
        ReadError::Malformed(what) => CallError::Malformed(what),
        ReadError::Io(error) if error.kind() == io::ErrorKind::TimedOut => CallError::Silent,
        ReadError::Io(error) => CallError::Reset(error.to_string()),
    }
}

/// Returns the time after which an answer asks to come back.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
