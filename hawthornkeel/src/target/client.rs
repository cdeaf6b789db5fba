//! Client towards targets: sends calls and gives on only whole answers that belong to them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
    /// Idle connections kept for each target, at most.
    pub max_idle: usize,
    /// Time that an idle connection is kept.
    pub idle_timeout: Duration,
    /// Time for a connection to open.
    pub connect_timeout: Duration,
    /// Largest response, in bytes.
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

/// Whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status, a success.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// JSON body.
    pub body: Bytes,
}

/// Client towards targets; clones share its connections.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

struct Inner {
    limits: ClientLimits,
    pool: ConnectionPool,
}

/// Response whose body has not been read, with the connection that it comes on.
pub(crate) struct PendingResponse {
    pub(crate) connection: Connection,
    pub(crate) head: ReceivedHead,
    pub(crate) timeouts: CallTimeouts,
}

impl Client {
    /// Creates a client.
    pub fn new(limits: ClientLimits) -> Self {
        let pool = ConnectionPool::new(limits.max_idle, limits.idle_timeout);
        Self { inner: Rc::new(Inner { limits, pool }) }
    }

    /// Closes the idle connections to `address`, as after its target was replaced.
    pub fn close_idle(&self, address: SocketAddr) {
        self.inner.pool.close_idle(address);
    }

    /// Closes idle connections that their targets have closed, and returns whose they were.
    pub async fn reap_lost(&self) -> Vec<LostConnection> {
        self.inner.pool.reap_lost().await
    }

    /// Calls a plain service and returns its whole answer.
    ///
    /// Dropping the future closes the connection, which cancels the call.
    ///
    /// # Errors
    /// Fails as [`CallError`] says; nothing of the answer is given on then.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Result<CallResponse, CallError> {
        self.exchange(address, &Method::POST, call).await
    }

    /// Gets `call`'s path, whose body is left out.
    ///
    /// # Errors
    /// Fails as [`CallError`] says.
    pub async fn get(&self, address: SocketAddr, call: &Call) -> Result<CallResponse, CallError> {
        self.exchange(address, &Method::GET, call).await
    }

    /// Calls an engine and returns its stream of tokens.
    ///
    /// Dropping the future or the stream closes the connection, which cancels the call.
    ///
    /// # Errors
    /// Fails as [`CallError`] says; the stream itself may fail later in the same ways.
    pub async fn stream(&self, address: SocketAddr, call: &Call) -> Result<TokenStream, CallError> {
        let open = self.open(address, &Method::POST, call).await?;
        if call.resume_offset > 0 && !is_resumed(&open.head.headers, call.resume_offset) {
            return Err(CallError::NotResumed);
        }
        Ok(TokenStream::new(self.clone(), address, open, call.resume_offset))
    }

    /// Puts a connection back after a whole exchange.
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
        self.release(address, open);
        Ok(CallResponse { status, headers, body })
    }

    /// Sends the call and reads the head of its answer, a success.
    async fn open(
        &self,
        address: SocketAddr,
        method: &Method,
        call: &Call,
    ) -> Result<PendingResponse, CallError> {
        let request = call.encode(method, &address.to_string())?;
        let timeouts = CallTimeouts::start(call.timeout, call.progress_timeout);
        // A call that may not be repeated never meets a connection that may have died unseen.
        let pooled =
            if call.idempotent { self.take(address, call).await? } else { PoolLookup::default() };
        let mut first = None;
        if let Some(connection) = pooled.connection {
            match self.reuse(address, connection, call, request.clone(), timeouts).await {
                Err(error) if is_connection(&error) => {
                    self.inner.pool.close_idle(address);
                    if call.expected_process == ExpectedProcess::Unchanged
                        && pooled.recent
                        && is_lost(&error)
                    {
                        return Err(lost_error(error));
                    }
                    if timeouts.left().is_zero() {
                        return Err(error);
                    }
                    first = Some(error);
                }
                other => return self.accept(address, call, other?).await,
            }
        }
        let connection = match (self.connect(address, call, &timeouts).await, first) {
            // The call may have run on the connection before.
            (Err(CallError::Restarted), Some(sent)) if !sent.is_not_run() => return Err(sent),
            (connection, _) => connection?,
        };
        let open = self.send(connection, call, request, timeouts).await?;
        self.accept(address, call, open).await
    }

    /// Takes an idle connection, where there is one; fails where the target has restarted.
    async fn take(&self, address: SocketAddr, call: &Call) -> Result<PoolLookup, CallError> {
        let wanted = match call.expected_process {
            ExpectedProcess::Incarnation(incarnation) => Some(incarnation),
            ExpectedProcess::Any | ExpectedProcess::Unchanged => None,
        };
        let taken = self.inner.pool.take(address, wanted).await;
        match call.expected_process {
            ExpectedProcess::Unchanged if taken.lost => Err(CallError::Restarted),
            _ => Ok(taken),
        }
    }

    /// Sends the call over a connection that was idle.
    async fn reuse(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        request: Bytes,
        timeouts: CallTimeouts,
    ) -> Result<PendingResponse, CallError> {
        match self.verify_process(address, connection, call, timeouts).await? {
            Some(connection) => self.send(connection, call, request, timeouts).await,
            None => Err(CallError::NotSent("connection can't be used again".to_owned())),
        }
    }

    /// Opens a connection to whichever process listens.
    pub(crate) async fn connect_unchecked(
        &self,
        address: SocketAddr,
        timeouts: &CallTimeouts,
    ) -> Result<Connection, CallError> {
        let limit = self.inner.limits.connect_timeout.min(timeouts.left());
        Connection::open(address, limit).await
    }

    /// Returns the idle connections.
    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.inner.pool
    }

    /// Sends a request and reads the head of its answer.
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
        Ok(PendingResponse { connection, head, timeouts })
    }

    /// Turns an answer that is no success into an error, reading it whole to keep the connection.
    async fn accept(
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
        let not_run = body.as_ref().is_ok_and(refusal::says_not_run);
        if body.is_ok() {
            self.release(address, open);
        }
        Err(refusal::status_error(status, retry_after, not_run, call.idempotent))
    }
}

/// Reads the body of an answer to its end.
pub(crate) async fn read_to_end(open: &mut PendingResponse) -> Result<Bytes, CallError> {
    let PendingResponse { connection, head, timeouts } = open;
    let body = &mut head.body;
    let Some(first) = connection.next_chunk(body, timeouts).await? else { return Ok(Bytes::new()) };
    if body.is_done() {
        return Ok(first);
    }
    let mut whole = BytesMut::from(first.as_ref());
    while let Some(piece) = connection.next_chunk(body, timeouts).await? {
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}

/// Tells whether the connection is blamed before the target.
///
/// It may have been lost on the way, or bring a second answer to an earlier call.
fn is_connection(error: &CallError) -> bool {
    matches!(
        error,
        CallError::NotSent(_) | CallError::Reset(_) | CallError::TimedOut | CallError::WrongCall
    )
}

/// Tells whether the other end closed or broke the connection.
fn is_lost(error: &CallError) -> bool {
    matches!(error, CallError::NotSent(_) | CallError::Reset(_))
}

/// Returns the error of a call whose target has restarted, as a lost connection tells.
fn lost_error(error: CallError) -> CallError {
    if error.is_not_run() { CallError::Restarted } else { error }
}

fn is_resumed(headers: &HeaderMap, offset: u64) -> bool {
    let echo = headers.get(RESUME_OFFSET).and_then(|v| v.to_str().ok());
    echo.and_then(|e| e.parse().ok()) == Some(offset)
}
