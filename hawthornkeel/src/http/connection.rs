//! Connection of one caller: requests are served one after the other.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Version;
use http::header::CONNECTION;
use http::request::Parts;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::http::close::CloseReason;
use crate::http::close::ConnectionPhase;
use crate::http::close::Phase;
use crate::http::framing;
use crate::http::framing::ReadError;
use crate::http::incoming;
use crate::http::incoming::Incoming;
use crate::http::incoming::Rejection;
use crate::http::incoming::head_of;
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

/// Maximum number of bytes that are read and discarded after the last response, besides the body of
/// a rejected request.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Maximum time for reading and discarding the rest of a rejected request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` of a stopping server, in whole seconds; other instances can serve the caller.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time that a connection stays open after its last response. It allows for the transit of
/// a request that crossed the close, and is short as the connection counts towards the limit.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an idle connection stays open before closing, for a request that may be in flight.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// State of a connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Persistence {
    KeepAlive,
    Close(CloseReason),
}

/// What happens to the requests of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Service {
    /// They are passed to the handler.
    Serve,
    /// The first is refused as not run, as the server stops at its connection limit.
    Refuse,
}

/// Sets `disconnected` if dropped before the response was sent completely, as on an abort.
struct DisconnectGuard {
    disconnected: Signal,
    sent: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.sent {
            self.disconnected.set();
        }
    }
}

/// Serves a connection until it ends, and returns why it closes.
pub(crate) async fn serve<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    shared: &Shared<H>,
    phase: &ConnectionPhase,
    service: Service,
) -> CloseReason {
    // Responses are written as a whole or per token, so Nagle's algorithm would only add latency.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let writer = Writer::new(write, shared.limits.write_timeout);
    let mut connection = Connection { writer, reader: Reader::new(read), peer, shared, phase };
    let reason = connection.serve_requests(service).await;
    match reason {
        CloseReason::Announced => {
            connection.close_in_order(LINGER_TIMEOUT, MAX_DISCARDED_BYTES).await;
        }
        _ => connection.writer.shutdown().await,
    }
    reason
}

/// Connection of a caller.
struct Connection<'a, H> {
    writer: Writer,
    reader: Reader,
    peer: SocketAddr,
    shared: &'a Shared<H>,
    phase: &'a ConnectionPhase,
}

impl<H: Handler> Connection<'_, H> {
    /// Serves requests until the connection is to close, and returns why.
    async fn serve_requests(&mut self, service: Service) -> CloseReason {
        let limits = &self.shared.limits;
        // A new connection must begin its first request within the time allowed for a whole one.
        let mut idle = limits.receive_timeout.min(limits.idle_timeout);
        loop {
            if let Err(reason) = self.wait_for_request(idle).await {
                return reason;
            }
            idle = limits.idle_timeout;
            self.phase.set(Phase::Receiving);
            if service == Service::Refuse {
                return self.refuse().await;
            }
            match self.serve_request().await {
                Persistence::KeepAlive => self.phase.set(Phase::Idle),
                Persistence::Close(reason) => return reason,
            }
        }
    }

    /// Waits for the first byte of a request.
    ///
    /// # Errors
    /// Returns why the connection closes if none arrives.
    async fn wait_for_request(&mut self, idle: Duration) -> Result<(), CloseReason> {
        let mut stripped = false;
        loop {
            // One empty line before a request is ignored (RFC 9112, section 2.2).
            let buffer = self.reader.buffer();
            if !stripped && buffer.starts_with(b"\r\n") {
                let _ = buffer.split_to(2);
                stripped = true;
            }
            if !buffer.is_empty() && (stripped || buffer.as_ref() != b"\r") {
                return Ok(());
            }
            monoio::select! {
                filled = timeout(idle, self.reader.fill(0)) => match filled {
                    Ok(Ok(1..)) => {}
                    Ok(_) => return Err(CloseReason::CallerClosed),
                    Err(_) => return Err(CloseReason::IdleTimeout),
                },
                reason = wait_close(self.shared) => {
                    // A request that is already in flight is still served.
                    let filled = timeout(CLOSE_GRACE, self.reader.fill(0)).await;
                    match filled {
                        Ok(Ok(1..)) => {}
                        Ok(_) => return Err(CloseReason::CallerClosed),
                        Err(_) => return Err(reason),
                    }
                }
            }
        }
    }

    /// Reads one request, passes it to the handler and writes the response.
    async fn serve_request(&mut self) -> Persistence {
        let shared = self.shared;
        let began = Instant::now();
        let mut incoming = Incoming::default();
        let reading =
            incoming::read_request(&mut self.reader, &mut self.writer, shared, &mut incoming);
        let received = monoio::select! {
            received = timeout(shared.limits.receive_timeout, reading) => received,
            () = shared.shutdown.finish.wait() => Ok(Err(Rejection::Problem(stopping()))),
        };
        let rejection = match received {
            Ok(Ok((parts, body, buffered))) => {
                self.phase.set(Phase::Handling);
                let next = self.respond(parts, body, began).await;
                drop(buffered);
                return next;
            }
            Ok(Err(rejection)) => rejection,
            Err(_) => Rejection::Problem(Problem::not_run(Code::ReceiveTimeout)),
        };
        let Rejection::Problem(problem) = rejection else {
            return Persistence::Close(CloseReason::CallerLeft);
        };
        self.reject(&incoming, problem).await;
        Persistence::Close(CloseReason::Rejected)
    }

    /// Refuses a request once its head was read or was not received in time.
    async fn refuse(&mut self) -> CloseReason {
        let shared = self.shared;
        let mut incoming = Incoming { head_only: false, max_body: shared.limits.max_body };
        let reading = framing::read_request_head(&mut self.reader, shared.limits.max_head);
        match timeout(CLOSE_GRACE, reading).await {
            Ok(Ok(parts)) => {
                incoming.head_only = parts.method == Method::HEAD;
                let max = shared.handler.max_body(&head_of(&parts));
                incoming.max_body = max.unwrap_or(incoming.max_body);
            }
            Ok(Err(ReadError::Closed | ReadError::Truncated | ReadError::Io(_))) => {
                return CloseReason::CallerLeft;
            }
            // Nothing was run, whatever is wrong with the request.
            _ => {}
        }
        self.reject(&incoming, stopping()).await;
        CloseReason::Rejected
    }

    /// Passes a request to the handler, writes the response and returns the connection's state.
    async fn respond(&mut self, parts: Parts, body: Bytes, began: Instant) -> Persistence {
        let (shared, peer) = (self.shared, self.peer);
        let disconnected = Signal::new();
        let mut guard = DisconnectGuard { disconnected: disconnected.clone(), sent: false };
        let wants_close = requests_close(&parts);
        let chunked = parts.version == Version::HTTP_11;
        let head_only = parts.method == Method::HEAD;
        let (head, left) = (head_of(&parts), disconnected.clone());
        let request = Request { head, body, peer, began, disconnected: left };
        let response =
            response_sender::watch(&mut self.reader, &disconnected, shared.handler.handle(request))
                .await;
        if disconnected.is_set() {
            return Persistence::Close(CloseReason::CallerLeft);
        }
        self.phase.set(Phase::Responding);
        let stopping = shared.shutdown.drain.is_set() || shared.shutdown.stop.is_set();
        let close = wants_close || stopping || shared.is_full();
        let sent = response_sender::send(
            &mut self.reader,
            &mut self.writer,
            response,
            &disconnected,
            SendOptions { close, chunked, head_only },
        )
        .await;
        guard.sent = sent.is_ok();
        match sent {
            Ok(()) if !close => Persistence::KeepAlive,
            Ok(()) => Persistence::Close(CloseReason::Announced),
            Err(_) if disconnected.is_set() => Persistence::Close(CloseReason::CallerLeft),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {
                Persistence::Close(CloseReason::BodyAborted)
            }
            Err(_) => Persistence::Close(CloseReason::WriteFailed),
        }
    }

    /// Writes an error response and closes, discarding further input so that the response arrives.
    async fn reject(&mut self, incoming: &Incoming, problem: Problem) {
        let peer = self.peer;
        tracing::info!(event = "request-refused", code = %problem.code, detail = %problem.detail, %peer);
        self.phase.set(Phase::Responding);
        let response = problem.into_response();
        let options = SendOptions { close: true, chunked: true, head_only: incoming.head_only };
        let (reader, writer) = (&mut self.reader, &mut self.writer);
        if response_sender::send(reader, writer, response, &Signal::new(), options).await.is_err() {
            return;
        }
        let max_bytes = MAX_DISCARDED_BYTES.saturating_add(incoming.max_body);
        self.close_in_order(DISCARD_TIMEOUT, max_bytes).await;
    }

    /// Ends the writing direction after a whole response, and discards input until the caller closes
    /// or a limit is reached: closing with unread data would destroy what the caller has not
    /// received yet.
    async fn close_in_order(&mut self, limit: Duration, max_bytes: usize) {
        self.writer.shutdown().await;
        self.phase.set(Phase::Idle);
        let _ = timeout(limit, discard(&mut self.reader, max_bytes)).await;
    }
}

/// Waits until idle connections are to close: on a stop, or to make room for others.
async fn wait_close<H>(shared: &Shared<H>) -> CloseReason {
    monoio::select! {
        () = shared.shutdown.stop.wait() => CloseReason::Stop,
        () = shared.wait_idle_close() => CloseReason::MakeRoom,
    }
}

/// Returns the problem of a request that is not begun as the server stops.
fn stopping() -> Problem {
    Problem::not_run(Code::Stopping).with_retry_after(STOPPING_RETRY_AFTER)
}

async fn discard(reader: &mut Reader, max_bytes: usize) {
    let mut total = reader.buffered();
    reader.buffer().clear();
    while total < max_bytes {
        match reader.fill(max_bytes).await {
            Ok(count @ 1..) => total = total.saturating_add(count),
            _ => return,
        }
        reader.buffer().clear();
    }
}

fn requests_close(parts: &Parts) -> bool {
    match parts.version {
        Version::HTTP_11 => has_connection_option(&parts.headers, "close"),
        _ => true,
    }
}

/// Tells whether the `Connection` field lists `option`.
pub(crate) fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(option))
}
