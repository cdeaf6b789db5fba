//! HTTP client for targets: returns only complete responses that belong to their call.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::target::call::Call;
use crate::target::call::RESUME_OFFSET;
use crate::target::connection;
use crate::target::connection::CallTimeouts;
use crate::target::connection::Connection;
use crate::target::connection::ReceivedHead;
use crate::target::error::CallError;
use crate::target::pool::ConnectionPool;
use crate::target::pool::LostConnection;
use crate::target::pool::PoolLookup;
use crate::target::process::ExpectedProcess;
use crate::target::refusal;
use crate::target::stream::TokenStream;

/// Bounds of a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Largest number of idle connections kept for each target.
    pub max_idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Largest response body, in bytes.
    pub max_response: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_millis(300),
            max_response: 4 << 20,
        }
    }
}

/// Complete response of a service.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status code, always a success.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// JSON body.
    pub body: Bytes,
    /// Time spent on a reused connection that failed before the call was sent on a new one.
    pub lost_time: Duration,
}

/// Client for targets; clones share its connections.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

struct Inner {
    limits: ClientLimits,
    pool: ConnectionPool,
}

/// Response whose body has not been read yet, with its connection.
pub(crate) struct PendingResponse {
    pub(crate) connection: Connection,
    pub(crate) head: ReceivedHead,
    pub(crate) timeouts: CallTimeouts,
    /// Time spent on a reused connection that failed before.
    pub(crate) lost_time: Duration,
}

impl Client {
    /// Creates a client.
    pub fn new(limits: ClientLimits) -> Self {
        let pool = ConnectionPool::new(limits.max_idle, limits.idle_timeout);
        Self { inner: Rc::new(Inner { limits, pool }) }
    }

    /// Closes the idle connections to `address`, for example after its target was replaced.
    pub fn close_idle(&self, address: SocketAddr) {
        self.inner.pool.close_idle(address);
    }

    /// Closes idle connections that the target has closed, and returns them.
    pub async fn reap_lost(&self) -> Vec<LostConnection> {
        self.inner.pool.reap_lost().await
    }

    /// Calls a service and returns its complete response.
    ///
    /// Dropping the future closes the connection, which cancels the call.
    ///
    /// # Errors
    /// Returns a [`CallError`] and no part of the response.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Result<CallResponse, CallError> {
        self.exchange(address, &Method::POST, call).await
    }

    /// Sends a GET request for the call's path, without its body.
    ///
    /// # Errors
    /// Returns a [`CallError`] as [`Client::call`] does.
    pub async fn get(&self, address: SocketAddr, call: &Call) -> Result<CallResponse, CallError> {
        self.exchange(address, &Method::GET, call).await
    }

    /// Calls an engine and returns its stream of tokens.
    ///
    /// Dropping the future or the stream closes the connection, which cancels the call.
    ///
    /// # Errors
    /// Returns a [`CallError`]; the stream may fail with the same errors later.
    pub async fn stream(&self, address: SocketAddr, call: &Call) -> Result<TokenStream, CallError> {
        let open = self.open(address, &Method::POST, call).await?;
        if call.resume_offset > 0 && !is_resumed(&open.head.headers, call.resume_offset) {
            return Err(CallError::NotResumed);
        }
        Ok(TokenStream::new(self.clone(), address, open, call.resume_offset))
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn release(&self, address: SocketAddr, open: PendingResponse) {
        if open.head.reusable && open.head.body.is_done() {
            self.inner.pool.put(address, open.connection);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: &Method,
        call: &Call,
    ) -> Result<CallResponse, CallError> {
        let mut open = self.open(address, method, call).await?;
        let body = read_to_end(&mut open).await?;
        let status = open.head.status;
        let headers = open.head.headers.clone();
        let lost_time = open.lost_time;
        self.release(address, open);
        Ok(CallResponse { status, headers, body, lost_time })
    }

    /// Sends the call and reads the head of its response; fails unless the status is a success.
    async fn open(
        &self,
        address: SocketAddr,
        method: &Method,
        call: &Call,
    ) -> Result<PendingResponse, CallError> {
        let request = call.encode(method, &address.to_string())?;
        let timeouts = CallTimeouts::start(call.timeout, call.progress_timeout);
        // Non-idempotent calls use fresh connections only. A pooled connection may have broken
        // unnoticed, which would leave it unknown whether the call ran.
        let pooled =
            if call.idempotent { self.take(address, call).await? } else { PoolLookup::default() };
        let mut first = None;
        let begun = Instant::now();
        if let Some(connection) = pooled.connection {
            match self.reuse(address, connection, call, request.clone(), timeouts).await {
                Err(error) if is_connection_error(&error) => {
                    self.inner.pool.close_idle(address);
                    if call.expected_process == ExpectedProcess::Unchanged
                        && pooled.recent
                        && is_disconnect(&error)
                    {
                        return Err(restart_error(error));
                    }
                    if timeouts.remaining().is_zero() {
                        return Err(error);
                    }
                    first = Some(error);
                }
                other => return self.check_status(address, call, other?).await,
            }
        }
        let lost_time = first.as_ref().map_or(Duration::ZERO, |_| begun.elapsed());
        let result = self.open_fresh(address, call, request, timeouts).await;
        let result = result.map(|open| PendingResponse { lost_time, ..open });
        match first.filter(|error| !error.is_not_run()) {
            Some(sent) => result.map_err(|error| error_after(sent, error)),
            None => result,
        }
    }

    /// Sends the call on a new connection and reads the head of its response.
    async fn open_fresh(
        &self,
        address: SocketAddr,
        call: &Call,
        request: Bytes,
        timeouts: CallTimeouts,
    ) -> Result<PendingResponse, CallError> {
        let connection = self.connect(address, call, &timeouts).await?;
        let open = self.send(connection, call, request, timeouts).await?;
        self.check_status(address, call, open).await
    }

    /// Takes an idle connection if there is one; fails if the target has restarted.
    async fn take(&self, address: SocketAddr, call: &Call) -> Result<PoolLookup, CallError> {
        let expected = match call.expected_process {
            ExpectedProcess::Incarnation(incarnation) => Some(incarnation),
            ExpectedProcess::Any | ExpectedProcess::Unchanged => None,
        };
        let lookup = self.inner.pool.take(address, expected).await;
        match call.expected_process {
            ExpectedProcess::Unchanged if lookup.lost => Err(CallError::Restarted),
            _ => Ok(lookup),
        }
    }

    /// Sends the call on a pooled connection until a resend is requested.
    async fn reuse(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        request: Bytes,
        timeouts: CallTimeouts,
    ) -> Result<PendingResponse, CallError> {
        let _waiting = call.resend.begin_wait();
        monoio::select! {
            result = self.send_pooled(address, connection, call, request, timeouts) => result,
            () = call.resend.requested() => Err(CallError::TimedOut),
        }
    }

    /// Sends the call on a pooled connection that leads to the expected process.
    async fn send_pooled(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        request: Bytes,
        timeouts: CallTimeouts,
    ) -> Result<PendingResponse, CallError> {
        match self.verify_process(address, connection, call, timeouts).await? {
            Some(connection) => self.send(connection, call, request, timeouts).await,
            None => Err(CallError::NotSent("connection is not reusable".to_owned())),
        }
    }

    /// Opens a connection without checking which process accepts it.
    pub(crate) async fn connect_unchecked(
        &self,
        address: SocketAddr,
        timeouts: &CallTimeouts,
    ) -> Result<Connection, CallError> {
        let limit = self.inner.limits.connect_timeout.min(timeouts.remaining());
        Connection::open(address, limit).await
    }

    /// Returns the pool of idle connections.
    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.inner.pool
    }

    /// Sends a request and reads the head of its response.
    pub(crate) async fn send(
        &self,
        mut connection: Connection,
        call: &Call,
        request: Bytes,
        timeouts: CallTimeouts,
    ) -> Result<PendingResponse, CallError> {
        connection.send(request, &timeouts).await?;
        let max = self.inner.limits.max_response;
        let head = connection.read_head(call.id, max, &timeouts).await?;
        call.reported.set(connection.incarnation);
        Ok(PendingResponse { connection, head, timeouts, lost_time: Duration::ZERO })
    }

    /// Returns an error for a non-success status; reads the body so that the connection is reusable.
    async fn check_status(
        &self,
        address: SocketAddr,
        call: &Call,
        mut open: PendingResponse,
    ) -> Result<PendingResponse, CallError> {
        let status = open.head.status;
        if status.is_success() {
            return Ok(open);
        }
        let retry_after = connection::retry_after(&open.head.headers);
        let body = read_to_end(&mut open).await;
        let not_run = body.as_ref().is_ok_and(refusal::states_not_run);
        if body.is_ok() {
            self.release(address, open);
        }
        Err(refusal::status_error(status, retry_after, not_run, call.idempotent))
    }
}

/// Reads the body of a response to its end.
pub(crate) async fn read_to_end(open: &mut PendingResponse) -> Result<Bytes, CallError> {
    let PendingResponse { connection, head, timeouts, .. } = open;
    let body = &mut head.body;
    let Some(first) = connection.next_chunk(body, timeouts).await? else { return Ok(Bytes::new()) };
    if body.is_done() {
        return Ok(first);
    }
    let mut whole = BytesMut::from(first.as_ref());
    while let Some(chunk) = connection.next_chunk(body, timeouts).await? {
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Returns whether the fault may lie with the reused connection rather than with the target.
///
/// The network may have dropped it, or it may carry a duplicate response to an earlier call.
fn is_connection_error(error: &CallError) -> bool {
    matches!(
        error,
        CallError::NotSent(_) | CallError::Reset(_) | CallError::TimedOut | CallError::WrongCall
    )
}

/// Returns whether the target closed or reset the connection.
fn is_disconnect(error: &CallError) -> bool {
    matches!(error, CallError::NotSent(_) | CallError::Reset(_))
}

/// Returns the error of a call that may have run on a pooled connection, where it ended with `sent`,
/// and whose resend ended with `error`.
fn error_after(sent: CallError, error: CallError) -> CallError {
    match error {
        CallError::Refused { status, retry_after, .. } => {
            CallError::Refused { status, retry_after, not_run: false }
        }
        error if error.is_not_run() => sent,
        error => error,
    }
}

/// Returns the error of a call whose lost connection shows that the target has restarted.
fn restart_error(error: CallError) -> CallError {
    if error.is_not_run() { CallError::Restarted } else { error }
}

fn is_resumed(headers: &HeaderMap, offset: u64) -> bool {
    let echo = headers.get(RESUME_OFFSET).and_then(|v| v.to_str().ok());
    echo.and_then(|e| e.parse().ok()) == Some(offset)
}
