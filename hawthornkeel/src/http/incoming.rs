//! Reading of one request within all limits.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Version;
use http::header::EXPECT;
use http::header::HOST;
use http::request::Parts;

use crate::http::framing;
use crate::http::framing::BodyLength;
use crate::http::framing::BodyReader;
use crate::http::framing::ReadError;
use crate::http::message::Head;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::reader::Reader;
use crate::http::server::Handler;
use crate::http::server::Shared;
use crate::http::writer::Writer;

/// `Retry-After` when the limit on buffered request bodies is reached.
const BUFFER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request was rejected, which closes the connection.
pub(super) enum Rejection {
    /// The caller is gone or the connection failed, so no response is sent.
    Disconnected,
    /// The problem is sent as the response.
    Problem(Problem),
}

/// What is known of a request that is being read.
#[derive(Default)]
pub(super) struct Incoming {
    /// Whether its method is HEAD, so that no response to it has a body.
    pub(super) head_only: bool,
    /// Maximum size of its body, in bytes; zero until its head was read.
    pub(super) max_body: usize,
}

/// Accounts a body's bytes as buffered until dropped.
pub(super) struct BufferedBytes<'a> {
    total: &'a Cell<usize>,
    bytes: usize,
}

impl Drop for BufferedBytes<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get().saturating_sub(self.bytes));
    }
}

/// Reads one request within all limits.
pub(super) async fn read_request<'a, H: Handler>(
    reader: &mut Reader,
    writer: &mut Writer,
    shared: &'a Shared<H>,
    incoming: &mut Incoming,
) -> Result<(Parts, Bytes, BufferedBytes<'a>), Rejection> {
    let limits = &shared.limits;
    let parts = framing::read_request_head(reader, limits.max_head).await.map_err(rejection)?;
    incoming.head_only = parts.method == Method::HEAD;
    let length = framing::body_length(parts.version, &parts.headers).map_err(rejection)?;
    check_host(&parts).map_err(rejection)?;
    let max = shared.handler.max_body(&head_of(&parts)).unwrap_or(limits.max_body);
    incoming.max_body = max;
    let mut body = BodyReader::new(length, max).map_err(rejection)?;
    let buffered = account_body(shared, length, max)?;
    if !body.is_done() && expects_continue(&parts) {
        let interim = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        writer.write_all(interim).await.map_err(|_| Rejection::Disconnected)?;
    }
    let body = body.read_to_end(reader).await.map_err(rejection)?;
    Ok((parts, body, buffered))
}

/// Accounts for the body as buffered, or rejects it if the limit is reached.
fn account_body<H>(
    shared: &Shared<H>,
    length: BodyLength,
    max: usize,
) -> Result<BufferedBytes<'_>, Rejection> {
    let bytes = match length {
        BodyLength::Absent => 0,
        BodyLength::Fixed(length) => length,
        BodyLength::Chunked => max,
    };
    let total = shared.buffered.get().saturating_add(bytes);
    if total > shared.limits.max_buffered {
        let problem = Problem::not_run(Code::Overloaded).with_retry_after(BUFFER_RETRY_AFTER);
        return Err(Rejection::Problem(problem));
    }
    shared.buffered.set(total);
    Ok(BufferedBytes { total: &shared.buffered, bytes })
}

fn rejection(error: ReadError) -> Rejection {
    let code = match error {
        ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => {
            return Rejection::Disconnected;
        }
        ReadError::HeadTooLarge => Code::HeadTooLarge,
        ReadError::BodyTooLarge | ReadError::FramingTooLarge => Code::BodyTooLarge,
        ReadError::SizeTooLong | ReadError::TooManyInterim => Code::BadRequest,
        ReadError::Malformed(what) => {
            return Rejection::Problem(Problem::not_run(Code::BadRequest).with_detail(what));
        }
    };
    Rejection::Problem(Problem::not_run(code))
}

fn check_host(parts: &Parts) -> Result<(), ReadError> {
    let count = parts.headers.get_all(HOST).iter().count();
    match (parts.version, count) {
        (_, 1) | (Version::HTTP_10, 0) => Ok(()),
        _ => Err(ReadError::Malformed("exactly one Host is required")),
    }
}

pub(super) fn head_of(parts: &Parts) -> Head {
    Head {
        method: parts.method.clone(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers.clone(),
    }
}

fn expects_continue(parts: &Parts) -> bool {
    parts.headers.get(EXPECT).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
