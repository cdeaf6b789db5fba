//! HTTP/1.1 client for targets: sends encoded requests, reads responses whole or in chunks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_core::placement::links::LinkEvidence;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use indexmap::IndexMap;
use monoio::time::timeout;
use monoio_http::common::response::ResponseHead;

use crate::forward::exchange_error::ExchangeError;
use crate::forward::link_watch::LinkWatch;
use crate::forward::response_memory::Lease;
use crate::forward::response_memory::ResponseMemory;
use crate::forward::target_connection::CONNECT_TIMEOUT;
use crate::forward::target_connection::Connection;
use crate::forward::target_response::Body;
use crate::forward::target_response::MAX_BODY_BYTES;
pub use crate::forward::target_response::TargetResponse;
use crate::http::connection::has_connection_option;
use crate::http::framing;
use crate::http::framing::BodyLength;
use crate::http::framing::BodyReader;

/// Time for which an idle connection is kept if the target announces no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is kept, whatever the target announces.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Time before the announced keep-alive timeout at which a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle time of a connection that is reused for a non-idempotent request.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1_500);
/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time after which a new connection that is still open counts as a working link.
const PROBE_QUIET_TIME: Duration = Duration::from_millis(200);

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
    /// Returns whether the target takes requests; asked before a connection is opened for one.
    pub may_send: &'a dyn Fn() -> bool,
    /// Returns whether a request may be sent, and counts it if so; asked right before each time that
    /// its first byte goes out.
    pub begin: &'a dyn Fn() -> bool,
    /// Whether a response on a kept connection must echo the identifier of its request.
    pub needs_echo: bool,
}

impl Default for SendRules<'_> {
    /// Returns rules that allow all and observe nothing.
    fn default() -> Self {
        Self { observe: &|_, _| {}, may_send: &|| true, begin: &|| true, needs_echo: true }
    }
}

/// HTTP client with a pool of idle connections; clones share the pool.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Name of the header field with the request identifier.
    id_field: &'static str,
    /// Memory for the responses.
    pub(super) memory: ResponseMemory,
    /// Links to the targets.
    links: LinkWatch,
}

/// Idle connection in the pool.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires: Instant,
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

    /// Returns a lease of memory for a complete response that does not come from a target.
    pub fn lease(&self) -> Lease {
        self.memory.lease(true)
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
        let sent = sent.map_err(|e| if resent { e.after_sending() } else { e });
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
        if !(rules.begin)() {
            if !connection.reused {
                self.checkin(address, connection, &HeaderMap::new());
            }
            return Err(ExchangeError::Withheld);
        }
        connection.awaited = Some(self.links.await_answer(address));
        let sent = timeout(time_left(deadline), connection.send(&request.data)).await;
        let sent = sent.map_err(|_| ExchangeError::TimedOut)?;
        self.record_link(&connection, &sent);
        let (head, written) = sent.inspect_err(|e| connection.record_exceeded(e))?;
        (rules.observe)(head.status, &head.headers);
        self.response(address, connection, head, request, written, rules)
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
        rules: SendRules<'_>,
    ) -> Result<TargetResponse, ExchangeError> {
        let echo = head.headers.get(self.id_field).map(|v| v.as_bytes());
        let echoed = match (echo, &request.id) {
            (Some(echo), Some(id)) if echo != id.as_ref() => {
                return Err(ExchangeError::Interrupted("response belongs to another request"));
            }
            (None, Some(_)) if rules.needs_echo && connection.had_response() => {
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
            // A failed write consumes the reset, after which the connection seems to end in order.
            BodyLength::Absent if !written => {
                return Err(ExchangeError::Interrupted(
                    "response without a length before the whole request was written",
                ));
            }
            BodyLength::Absent => Body::UntilClose(0),
            BodyLength::Fixed(0) => Body::Done,
            length => {
                let body = BodyReader::new(length, MAX_BODY_BYTES).map_err(ExchangeError::from);
                Body::Framed(body.inspect_err(|e| connection.record_exceeded(e))?)
            }
        };
        let persistent =
            head.version == Version::HTTP_11 && !has_connection_option(&head.headers, "close");
        let identified = echoed || request.id.is_none() || !rules.needs_echo;
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
            received: Instant::now(),
            whole: None,
            first_chunk: None,
        })
    }

    pub(super) fn checkin(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
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

/// Returns the reuse time of an idle connection according to the `Keep-Alive` header field.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(timeout.trim().parse().ok()?);
    Some(timeout.min(MAX_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN))
}

/// Returns the time until `deadline`.
pub(super) fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
