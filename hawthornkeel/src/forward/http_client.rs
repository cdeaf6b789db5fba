//! HTTP/1.1 client for targets: sends encoded requests, reads responses whole or in chunks.

use std::cell::RefCell;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use hawthornkeel_core::placement::links::LinkEvidence;
use hawthornkeel_core::time::Instant as BootInstant;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use indexmap::IndexMap;
use monoio::io::AsyncWriteRent;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::common::response::ResponseHead;

use crate::clock::boot_now;
use crate::forward::body_blocks::BodyBlocks;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::link_watch::AwaitedAnswer;
use crate::forward::link_watch::LinkWatch;
use crate::forward::response_memory::Lease;
use crate::forward::response_memory::ResponseMemory;
use crate::http::connection::has_connection_option;
use crate::http::framing;
use crate::http::framing::BodyLength;
use crate::http::framing::BodyReader;
use crate::http::framing::ReadError;
use crate::http::reader::Reader;
use crate::http::response_bound::ResponseBound;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum size of a response body, read whole or as a stream.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of informational (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 4;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an idle connection is kept if the target announces no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the announced keep-alive timeout at which a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle time of a connection that is reused for a non-idempotent request.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1_500);
/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time after which a new connection that is still open counts as a working link.
const PROBE_QUIET_TIME: Duration = Duration::from_millis(200);
/// Time to wait for an early response after writing the request failed.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Encoded request to a target.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Encoded head and body.
    pub data: Bytes,
    /// Request identifier, which must match that of the response if the response has one.
    pub id: Option<Bytes>,
    /// Whether the response has no body, as for HEAD.
    pub bodiless: bool,
    /// Whether it may be retried after an exchange with an unknown outcome.
    pub retryable: bool,
}

/// What binds a request to a target beside its bytes.
#[derive(Clone, Copy)]
pub struct SendRules<'a> {
    /// Receives the head of every answer, even of one that is rejected.
    pub observe: &'a dyn Fn(StatusCode, &HeaderMap),
    /// Returns whether the target takes requests; asked before each time that one is sent.
    pub may_send: &'a dyn Fn() -> bool,
}

impl Default for SendRules<'_> {
    /// Returns rules that allow all and observe nothing.
    fn default() -> Self {
        Self { observe: &|_, _| {}, may_send: &|| true }
    }
}

/// HTTP client with a pool of idle connections; clones share the pool.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Name of the header field with the request identifier.
    id_field: &'static str,
    /// Memory for the responses.
    memory: ResponseMemory,
    /// Links to the targets.
    links: LinkWatch,
}

/// Idle connection in the pool.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

struct Connection {
    reader: Reader,
    write: OwnedWriteHalf<TcpStream>,
    reused: bool,
    address: SocketAddr,
    /// Time at which it was opened, on the clock that runs while the machine is suspended.
    opened: BootInstant,
    /// Start of the current exchange.
    started: Instant,
    /// Number of bytes received before the current exchange.
    received_before: usize,
    /// Answer of the current exchange.
    awaited: Option<AwaitedAnswer>,
}

/// Response of a target whose body is read on demand.
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whether the request was sent before, on a kept connection that broke: that may have run,
    /// whatever this response states.
    pub resent: bool,
    address: SocketAddr,
    connection: Connection,
    body: Body,
    reusable: bool,
    client: HttpClient,
    /// Memory held by what was received and not passed on.
    lease: Lease,
}

enum Body {
    Framed(BodyReader),
    /// Delimited by the end of the connection; holds the number of bytes received so far.
    UntilClose(usize),
    Done,
}

impl HttpClient {
    /// Creates a client without connections; responses echo the request identifier in `id_field`,
    /// and are held in `memory`.
    pub fn new(id_field: &'static str, memory: ResponseMemory) -> Self {
        Self { idle: Rc::default(), id_field, memory, links: LinkWatch::default() }
    }

    /// Returns what is known of the links to the targets.
    pub fn links(&self) -> &LinkWatch {
        &self.links
    }

    /// Opens a connection to find out whether its target can be reached, and keeps it for reuse.
    pub async fn probe(&self, address: SocketAddr) {
        let Ok(mut connection) = Connection::open(address, CONNECT_TIMEOUT).await else {
            return self.links.record(address, LinkEvidence::Failed);
        };
        // What stands between the two may accept a connection and close it.
        if timeout(PROBE_QUIET_TIME, connection.reader.fill(0)).await.is_ok() {
            return self.links.record(address, LinkEvidence::Failed);
        }
        self.links.record(address, LinkEvidence::Connected);
        self.checkin(address, connection, &HeaderMap::new());
    }

    /// Sends a request and reads the head of the response.
    ///
    /// Dropping the future closes the connection, which cancels the request at the target.
    ///
    /// # Errors
    /// Returns the reason if there is no response, `TimedOut` once `deadline` has passed.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<TargetResponse, ExchangeError> {
        self.send_by(address, request, deadline, SendRules::default()).await
    }

    /// Does the same as [`HttpClient::send`] by some rules.
    ///
    /// # Errors
    /// Returns the errors of [`HttpClient::send`], and `Withheld` if the target takes no requests.
    pub async fn send_by(
        &self,
        address: SocketAddr,
        request: &OutgoingRequest,
        deadline: Instant,
        rules: SendRules<'_>,
    ) -> Result<TargetResponse, ExchangeError> {
        if !(rules.may_send)() {
            return Err(ExchangeError::Withheld);
        }
        let mut resent = false;
        if let Some(connection) = self.checkout(address, request.retryable).await {
            match self.send_over(connection, address, request, deadline, rules).await {
                // The target may have closed the idle connection while the request was in transit.
                Err(ExchangeError::Interrupted(_)) if request.retryable && (rules.may_send)() => {
                    self.discard_idle(address);
                    resent = true;
                }
                Err(ExchangeError::TimedOut) => {
                    self.discard_idle(address);
                    return Err(ExchangeError::TimedOut);
                }
                other => return other,
            }
        }
        let opened = Connection::open(address, time_left(deadline)).await;
        if opened.is_err() && time_left(deadline) > Duration::ZERO {
            self.links.record(address, LinkEvidence::Failed);
        }
        let connection = opened.map_err(|e| if resent { e.after_sending() } else { e })?;
        let sent = self.send_over(connection, address, request, deadline, rules).await;
        sent.map(|response| TargetResponse { resent, ..response })
    }

    async fn send_over(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        request: &OutgoingRequest,
        deadline: Instant,
        rules: SendRules<'_>,
    ) -> Result<TargetResponse, ExchangeError> {
        connection.awaited = Some(self.links.await_answer(address));
        let sent = timeout(time_left(deadline), connection.send(&request.data)).await;
        let sent = sent.map_err(|_| ExchangeError::TimedOut)?;
        self.record_link(&connection, &sent);
        let (head, written) = sent.inspect_err(|e| connection.record_exceeded(e))?;
        (rules.observe)(head.status, &head.headers);
        self.response(address, connection, head, request, written)
    }

    /// Records what the first exchange on a new connection tells of its link.
    fn record_link<T>(&self, connection: &Connection, sent: &Result<T, ExchangeError>) {
        connection.record_heard();
        if connection.reused {
            return;
        }
        match sent {
            Ok(_) => self.links.record(connection.address, LinkEvidence::Connected),
            Err(error) if error.is_broken_off() && connection.reader.received() == 0 => {
                self.links.record(connection.address, LinkEvidence::Failed);
            }
            Err(_) => {}
        }
    }

    /// Closes all idle connections to a target after one of them turned out to be broken.
    pub(super) fn discard_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    /// Closes expired idle connections and those to addresses that are no longer used.
    pub fn retain(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|address, idle| {
            idle.retain(|i| i.expires > now);
            is_used(address) && !idle.is_empty()
        });
    }

    /// Takes an idle connection that has received nothing since its last exchange.
    ///
    /// A non-idempotent request only gets a recently used connection: the target may close a
    /// connection that was idle for longer while the request is in transit, and the request could
    /// not be retried.
    async fn checkout(&self, address: SocketAddr, retryable: bool) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if !retryable && idle.since.elapsed() > MAX_IDLE_NON_IDEMPOTENT {
                return None;
            }
            let mut connection = idle.connection;
            if idle.expires > Instant::now() && connection.is_quiet().await {
                return Some(connection);
            }
        }
    }

    fn response(
        &self,
        address: SocketAddr,
        connection: Connection,
        head: ResponseHead,
        request: &OutgoingRequest,
        written: bool,
    ) -> Result<TargetResponse, ExchangeError> {
        let echo = head.headers.get(self.id_field).map(|v| v.as_bytes());
        let echoed = match (echo, &request.id) {
            (Some(echo), Some(id)) if echo != id.as_ref() => {
                return Err(ExchangeError::Interrupted("response belongs to another request"));
            }
            (None, Some(_)) if connection.reused => {
                return Err(ExchangeError::Interrupted(
                    "response on a reused connection has no request identifier",
                ));
            }
            (echo, _) => echo.is_some(),
        };
        let no_body = request.bodiless
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = framing::body_length(head.version, &head.headers);
        let body = match length
            .map_err(|_| ExchangeError::Interrupted("response has invalid body framing"))?
        {
            _ if no_body => Body::Done,
            BodyLength::Absent => Body::UntilClose(0),
            BodyLength::Fixed(0) => Body::Done,
            length => {
                let body = BodyReader::new(length, MAX_BODY_BYTES).map_err(ExchangeError::from);
                Body::Framed(body.inspect_err(|e| connection.record_exceeded(e))?)
            }
        };
        let persistent =
            head.version == Version::HTTP_11 && !has_connection_option(&head.headers, "close");
        let identified = echoed || request.id.is_none();
        let declared = matches!(&body, Body::Framed(framed) if framed.has_length());
        Ok(TargetResponse {
            status: head.status,
            headers: head.headers,
            resent: false,
            address,
            connection,
            body,
            reusable: written && persistent && identified,
            client: self.clone(),
            lease: self.memory.lease(declared),
        })
    }

    fn checkin(&self, address: SocketAddr, mut connection: Connection, headers: &HeaderMap) {
        // Bytes after the response belong to no request.
        if connection.reader.buffered() > 0 {
            return;
        }
        connection.reused = true;
        connection.awaited = None;
        let since = Instant::now();
        let expires = since + keep_alive_timeout(headers).unwrap_or(IDLE_TIMEOUT);
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { connection, since, expires });
        }
    }
}

impl Connection {
    async fn open(address: SocketAddr, time_limit: Duration) -> Result<Self, ExchangeError> {
        let not_sent = |cause: String| ExchangeError::NotSent(cause);
        let opened = boot_now();
        let connect =
            timeout(CONNECT_TIMEOUT.min(time_limit), TcpStream::connect_addr(address)).await;
        let stream = connect.map_err(|_| not_sent("connect timed out".to_owned()))?;
        let stream = stream.map_err(|e| not_sent(e.to_string()))?;
        // Requests are written in one go, so Nagle's algorithm would only add delay.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Ok(Self {
            reader: Reader::new(read),
            write,
            reused: false,
            address,
            opened,
            started: Instant::now(),
            received_before: 0,
            awaited: None,
        })
    }

    /// Returns whether the peer has neither sent data nor closed since the last exchange.
    async fn is_quiet(&mut self) -> bool {
        if self.reader.buffered() > 0 {
            return false;
        }
        let mut fill = pin!(self.reader.fill(0));
        std::future::poll_fn(|cx| std::task::Poll::Ready(fill.as_mut().poll(cx).is_pending())).await
    }

    /// Records that something was received.
    fn record_heard(&self) {
        if let Some(awaited) = &self.awaited {
            awaited.record_heard();
        }
    }

    /// Logs and counts an exchange that is closed because its response exceeds a bound.
    fn record_exceeded(&self, error: &ExchangeError) {
        if let ExchangeError::Exceeded(bound) = error {
            let bytes = self.reader.received().wrapping_sub(self.received_before);
            bound.record(self.address, bytes, self.started.elapsed());
        }
    }

    /// Writes a request and reads the response head, which may arrive before all is written.
    ///
    /// Returns as well whether the whole request was written.
    async fn send(&mut self, data: &Bytes) -> Result<(ResponseHead, bool), ExchangeError> {
        self.started = Instant::now();
        self.received_before = self.reader.received();
        let Self { reader, write, .. } = self;
        let mut head = pin!(read_head(reader));
        let written = {
            let mut writing = pin!(write_all(write, data.clone()));
            monoio::select! {
                written = &mut writing => Some(written),
                early = &mut head => {
                    return early.map(|h| (h, false)).map_err(ExchangeError::from);
                }
            }
        };
        if let Some(Err(_)) = written {
            let early = timeout(EARLY_RESPONSE_TIMEOUT, head).await;
            let error =
                ExchangeError::Interrupted("connection failed while the request was being written");
            return early.ok().and_then(Result::ok).map(|h| (h, false)).ok_or(error);
        }
        head.await.map(|h| (h, true)).map_err(ExchangeError::from)
    }
}

impl TargetResponse {
    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    /// Returns `TimedOut` if nothing arrives before `deadline`, or another error if the body is
    /// truncated.
    pub async fn chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, ExchangeError> {
        if self.is_complete() {
            return Ok(None);
        }
        // A timeout does not expire while each poll finds more data.
        if Instant::now() >= deadline {
            return Err(ExchangeError::TimedOut);
        }
        let chunk = timeout(time_left(deadline), self.next());
        let chunk = chunk.await.map_err(|_| ExchangeError::TimedOut)?;
        self.connection.record_heard();
        chunk.inspect_err(|e| self.connection.record_exceeded(e))
    }

    /// Returns the error of a response whose content exceeds `bound`.
    pub fn exceeded(&self, bound: ResponseBound) -> ExchangeError {
        let error = ExchangeError::Exceeded(bound);
        self.connection.record_exceeded(&error);
        error
    }

    /// Returns the rest of the body, which holds its memory until it is dropped.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::held_chunk`] and [`TargetResponse::hold`].
    pub async fn read_to_end(&mut self, deadline: Instant) -> Result<Bytes, ExchangeError> {
        let body = self.read_held(deadline).await?;
        Ok(self.take_lease().attach(body.join()))
    }

    /// Returns the rest of the body in blocks, which hold its memory until all are dropped.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::read_to_end`].
    pub async fn read_blocks(&mut self, deadline: Instant) -> Result<Vec<Bytes>, ExchangeError> {
        let mut blocks = self.read_held(deadline).await?.into_blocks();
        if let Some(last) = blocks.pop() {
            blocks.push(self.take_lease().attach(last));
        }
        Ok(blocks)
    }

    async fn read_held(&mut self, deadline: Instant) -> Result<BodyBlocks, ExchangeError> {
        let mut body = BodyBlocks::default();
        while let Some(chunk) = self.held_chunk(deadline).await? {
            self.hold(body.len().saturating_add(chunk.len())).await?;
            body.append(&chunk);
        }
        Ok(body)
    }

    fn take_lease(&mut self) -> Lease {
        let empty = self.client.memory.lease(false);
        mem::replace(&mut self.lease, empty)
    }

    /// Returns the next chunk as [`TargetResponse::chunk`] does, unless the exchange is given up.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::chunk`], and `Exceeded` if it is given up.
    pub async fn held_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, ExchangeError> {
        let given_up = self.lease.given_up();
        monoio::select! {
            biased;
            () = given_up => Err(self.exceeded(ResponseBound::Memory)),
            chunk = self.chunk(deadline) => chunk,
        }
    }

    /// Holds memory for `bytes` that were received and are not passed on; waits for a bounded time
    /// if there is no room.
    ///
    /// # Errors
    /// Returns `Exceeded` if this exchange is given up as there is none.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        let held = self.lease.hold(bytes).await;
        held.map_err(|_| self.exceeded(ResponseBound::Memory))
    }

    /// Returns the memory beyond that of `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        self.lease.shrink(bytes);
    }

    /// Returns the time at which the connection was opened.
    pub fn opened(&self) -> BootInstant {
        self.connection.opened
    }

    /// Ends the exchange; the connection is kept for reuse if the response was read to its end.
    pub fn finish(self) {
        if self.is_complete() && self.reusable {
            self.client.checkin(self.address, self.connection, &self.headers);
        }
    }

    /// Returns whether the body was read to an end that its framing tells.
    fn is_complete(&self) -> bool {
        match &self.body {
            Body::Done => true,
            Body::Framed(body) => body.is_done(),
            Body::UntilClose(_) => false,
        }
    }

    /// Returns whether only the end of the connection ends the body.
    pub fn ends_by_close(&self) -> bool {
        matches!(self.body, Body::UntilClose(_))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let reader = &mut self.connection.reader;
        match &mut self.body {
            Body::Done => Ok(None),
            Body::Framed(body) => body.next(reader).await.map_err(ExchangeError::from),
            Body::UntilClose(received) => {
                reader.pause_if_busy().await;
                if reader.buffered() == 0 && reader.fill(0).await.map_err(ExchangeError::from)? == 0
                {
                    self.body = Body::Done;
                    return Ok(None);
                }
                let chunk = reader.buffer().split().freeze();
                *received = received.saturating_add(chunk.len());
                if *received > MAX_BODY_BYTES {
                    return Err(ReadError::BodyTooLarge.into());
                }
                Ok(Some(chunk))
            }
        }
    }
}

async fn read_head(reader: &mut Reader) -> Result<ResponseHead, ReadError> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = framing::read_response_head(reader, MAX_HEAD_BYTES).await?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(ReadError::TooManyInterim)
}

async fn write_all(write: &mut OwnedWriteHalf<TcpStream>, mut data: Bytes) -> io::Result<()> {
    while data.has_remaining() {
        let (result, _) = write.write(data.clone()).await;
        match result? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => data.advance(count.min(data.len())),
        }
    }
    Ok(())
}

/// Returns the reuse time of an idle connection according to the `Keep-Alive` header field.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(timeout.trim().parse().ok()?);
    Some(timeout.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
