//! One caller's connection: requests in, answers out, one after the other.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Version;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::header::HOST;
use http::request::Parts;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::http::framing;
use crate::http::framing::BodyLength;
use crate::http::framing::BodyReader;
use crate::http::framing::ReadError;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::reader::Reader;
use crate::http::response_sender;
use crate::http::response_sender::SendOptions;
use crate::http::server::Handler;
use crate::http::server::Shared;
use crate::http::signal::Signal;
use crate::http::writer::Writer;

/// Bytes that are read and dropped after a refusal, so that the caller gets to read it.
const MAX_DISCARDED: usize = 256 * 1024;

/// Time that is spent on reading and dropping them.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Time to come back after the bodies held for all callers reached their bound.
const HELD_RETRY: Duration = Duration::from_secs(1);

/// Time that an idle connection which is to end waits for a request that may be on its way.
const LAST_LOOK: Duration = Duration::from_millis(500);

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Keep,
    Close,
}

/// Refusal that ends the connection, or nothing to say.
enum Refused {
    Silently,
    With(Problem),
}

/// Counts a body's bytes among those held until it is dropped.
struct Held<'a> {
    total: &'a Cell<usize>,
    bytes: usize,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get().saturating_sub(self.bytes));
    }
}

/// Sets `left` on being dropped before the answer was sent whole, also where an abort drops it.
struct Watching {
    left: Signal,
    done: bool,
}

impl Drop for Watching {
    fn drop(&mut self) {
        if !self.done {
            self.left.set();
        }
    }
}

/// Serves one connection to its end.
pub(crate) async fn run<H: Handler>(stream: TcpStream, peer: SocketAddr, shared: &Shared<H>) {
    // Answers are written whole or by the token: waiting for more would only add delay.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut reader = Reader::new(read);
    let mut writer = Writer::new(write, shared.limits.write_timeout);
    // A new connection is for a request: one that brings none gets no longer than one that does.
    let mut idle = shared.limits.receive_timeout.min(shared.limits.idle_timeout);
    while wait_for_bytes(&mut reader, idle, shared).await {
        idle = shared.limits.idle_timeout;
        match exchange(&mut reader, &mut writer, peer, shared).await {
            Next::Keep => {}
            Next::Close => break,
        }
    }
    writer.shutdown().await;
}

/// Waits for the first byte of a request and tells whether one came.
async fn wait_for_bytes<H>(reader: &mut Reader, idle: Duration, shared: &Shared<H>) -> bool {
    let mut stripped = false;
    loop {
        // One line end before a request is allowed and means nothing.
        let buffer = reader.buffer();
        if !stripped && buffer.starts_with(b"\r\n") {
            let _ = buffer.split_to(2);
            stripped = true;
        }
        if !buffer.is_empty() && (stripped || buffer.as_ref() != b"\r") {
            return true;
        }
        monoio::select! {
            filled = timeout(idle, reader.fill(0)) => {
                if !matches!(filled, Ok(Ok(1..))) {
                    return false;
                }
            }
            () = must_end(shared) => {
                // A request that is on its way is still answered.
                let filled = timeout(LAST_LOOK, reader.fill(0)).await;
                if !matches!(filled, Ok(Ok(1..))) {
                    return false;
                }
            }
        }
    }
}

/// Waits until idle connections are to end: for a stop, or to make room for others.
async fn must_end<H>(shared: &Shared<H>) {
    monoio::select! {
        () = shared.shutdown.stop.wait() => {}
        () = shared.wait_crowded() => {}
    }
}

/// Reads one request, has it answered and writes the answer.
async fn exchange<H: Handler>(
    reader: &mut Reader,
    writer: &mut Writer,
    peer: SocketAddr,
    shared: &Shared<H>,
) -> Next {
    let received = timeout(shared.limits.receive_timeout, receive(reader, writer, shared)).await;
    let refused = match received {
        Ok(Ok((parts, body, held))) => {
            let next = answer(reader, writer, peer, shared, parts, body).await;
            drop(held);
            return next;
        }
        Ok(Err(refused)) => refused,
        Err(_) => Refused::With(Problem::not_run(Code::ReceiveTimeout)),
    };
    if let Refused::With(problem) = refused {
        tracing::info!(event = "request-refused", code = %problem.code, detail = %problem.detail, %peer);
        refuse(reader, writer, problem).await;
    }
    Next::Close
}

/// Reads one request within all bounds.
async fn receive<'a, H: Handler>(
    reader: &mut Reader,
    writer: &mut Writer,
    shared: &'a Shared<H>,
) -> Result<(Parts, Bytes, Held<'a>), Refused> {
    let limits = &shared.limits;
    let parts = framing::read_request_head(reader, limits.max_head).await.map_err(refusal)?;
    let length = framing::body_length(parts.version, &parts.headers).map_err(refusal)?;
    check_host(&parts).map_err(refusal)?;
    let max = shared.handler.max_body(&head_of(&parts)).unwrap_or(limits.max_body);
    let mut body = BodyReader::new(length, max).map_err(refusal)?;
    let held = hold(shared, length, max)?;
    if !body.is_done() && expects_continue(&parts) {
        let go_on = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        writer.write_all(go_on).await.map_err(|_| Refused::Silently)?;
    }
    let body = body.read_to_end(reader).await.map_err(refusal)?;
    Ok((parts, body, held))
}

/// Counts the body among the bytes held, or refuses where they are at their bound.
fn hold<H>(shared: &Shared<H>, length: BodyLength, max: usize) -> Result<Held<'_>, Refused> {
    let bytes = match length {
        BodyLength::Absent => 0,
        BodyLength::Fixed(length) => length,
        BodyLength::Chunked => max,
    };
    let total = shared.held.get().saturating_add(bytes);
    if total > shared.limits.max_buffered {
        let problem = Problem::not_run(Code::Overloaded).with_retry_after(HELD_RETRY);
        return Err(Refused::With(problem));
    }
    shared.held.set(total);
    Ok(Held { total: &shared.held, bytes })
}

/// Has a request answered, writes the answer and says what becomes of the connection.
async fn answer<H: Handler>(
    reader: &mut Reader,
    writer: &mut Writer,
    peer: SocketAddr,
    shared: &Shared<H>,
    parts: Parts,
    body: Bytes,
) -> Next {
    let left = Signal::new();
    let mut watching = Watching { left: left.clone(), done: false };
    let wants_close = asks_close(&parts);
    let chunked = parts.version == Version::HTTP_11;
    let head_only = parts.method == Method::HEAD;
    let request = Request { head: head_of(&parts), body, peer, disconnected: left.clone() };
    let response = response_sender::watch(reader, &left, shared.handler.handle(request)).await;
    if left.is_set() {
        return Next::Close;
    }
    let ending = shared.shutdown.drain.is_set() || shared.shutdown.stop.is_set();
    let close = wants_close || ending || shared.is_full();
    let sent = response_sender::send(
        reader,
        writer,
        response,
        &left,
        SendOptions { close, chunked, head_only },
    )
    .await;
    watching.done = sent.is_ok();
    match sent {
        Ok(()) if !close => Next::Keep,
        _ => Next::Close,
    }
}

/// Writes a refusal and closes, reading what is still on its way so that the refusal arrives.
async fn refuse(reader: &mut Reader, writer: &mut Writer, problem: Problem) {
    let response = problem.into_response();
    let how = SendOptions { close: true, chunked: true, head_only: false };
    if response_sender::send(reader, writer, response, &Signal::new(), how).await.is_err() {
        return;
    }
    writer.shutdown().await;
    let _ = timeout(DISCARD_TIME, discard(reader)).await;
}

async fn discard(reader: &mut Reader) {
    let mut total = reader.buffered();
    reader.buffer().clear();
    while total < MAX_DISCARDED {
        match reader.fill(MAX_DISCARDED).await {
            Ok(count @ 1..) => total = total.saturating_add(count),
            _ => return,
        }
        reader.buffer().clear();
    }
}

fn refusal(error: ReadError) -> Refused {
    let code = match error {
        ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => return Refused::Silently,
        ReadError::HeadTooLarge => Code::HeadTooLarge,
        ReadError::BodyTooLarge => Code::BodyTooLarge,
        ReadError::Malformed(what) => {
            return Refused::With(Problem::not_run(Code::BadRequest).with_detail(what));
        }
    };
    Refused::With(Problem::not_run(code))
}

fn check_host(parts: &Parts) -> Result<(), ReadError> {
    let count = parts.headers.get_all(HOST).iter().count();
    match (parts.version, count) {
        (_, 1) | (Version::HTTP_10, 0) => Ok(()),
        _ => Err(ReadError::Malformed("exactly one Host is required")),
    }
}

fn head_of(parts: &Parts) -> Head {
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

fn asks_close(parts: &Parts) -> bool {
    match parts.version {
        Version::HTTP_11 => has_connection_option(&parts.headers, "close"),
        _ => true,
    }
}

/// Tells whether the `Connection` field lists `token`.
pub(crate) fn has_connection_option(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
}
