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
use crate::target::connection::Answered;
use crate::target::connection::Connection;
use crate::target::connection::Watch;
use crate::target::error::CallError;
use crate::target::pool::Lost;
use crate::target::pool::Pool;
use crate::target::pool::Taken;
use crate::target::process::Process;
use crate::target::refusal;
use crate::target::stream::TokenStream;

/// Bounds of a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Idle connections kept for each target, at most.
    pub max_idle: usize,
    /// Time that an idle connection is kept.
    pub idle: Duration,
    /// Time for a connection to open.
    pub connect: Duration,
    /// Answer, in bytes at most.
    pub max_answer: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle: Duration::from_secs(30),
            connect: Duration::from_millis(300),
            max_answer: 4 << 20,
        }
    }
}

/// Whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct Answer {
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
    pool: Pool,
}

/// Answer whose body has not been read, with the connection that it comes on.
pub(crate) struct Open {
    pub(crate) connection: Connection,
    pub(crate) answered: Answered,
    pub(crate) watch: Watch,
}

impl Client {
    /// Creates a client.
    pub fn new(limits: ClientLimits) -> Self {
        let pool = Pool::new(limits.max_idle, limits.idle);
        Self { inner: Rc::new(Inner { limits, pool }) }
    }

    /// Closes the idle connections to `address`, as after its target was replaced.
    pub fn forget(&self, address: SocketAddr) {
        self.inner.pool.forget(address);
    }

    /// Closes idle connections that their targets have closed, and returns whose they were.
    pub async fn take_lost(&self) -> Vec<Lost> {
        self.inner.pool.take_lost().await
    }

    /// Calls a plain service and returns its whole answer.
    ///
    /// Dropping the future closes the connection, which cancels the call.
    ///
    /// # Errors
    /// Fails as [`CallError`] says; nothing of the answer is given on then.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Result<Answer, CallError> {
        self.exchange(address, &Method::POST, call).await
    }

    /// Gets `call`'s path, whose body is left out.
    ///
    /// # Errors
    /// Fails as [`CallError`] says.
    pub async fn get(&self, address: SocketAddr, call: &Call) -> Result<Answer, CallError> {
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
        if call.resume_offset > 0 && !is_resumed(&open.answered.headers, call.resume_offset) {
            return Err(CallError::NotResumed);
        }
        Ok(TokenStream::new(self.clone(), address, open, call.resume_offset))
    }

    /// Puts a connection back after a whole exchange.
    pub(crate) fn put_back(&self, address: SocketAddr, open: Open) {
        if open.answered.reusable && open.answered.body.is_done() {
            self.inner.pool.put(address, open.connection);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: &Method,
        call: &Call,
    ) -> Result<Answer, CallError> {
        let mut open = self.open(address, method, call).await?;
        let body = read_whole(&mut open).await?;
        let status = open.answered.status;
        let headers = open.answered.headers.clone();
        self.put_back(address, open);
        Ok(Answer { status, headers, body })
    }

    /// Sends the call and reads the head of its answer, a success.
    async fn open(
        &self,
        address: SocketAddr,
        method: &Method,
        call: &Call,
    ) -> Result<Open, CallError> {
        let request = call.encode(method, &address.to_string())?;
        let watch = Watch::start(call.timeout, call.progress);
        // A call that may not be repeated never meets a connection that may have died unseen.
        let pooled =
            if call.idempotent { self.take(address, call).await? } else { Taken::default() };
        let mut first = None;
        if let Some(connection) = pooled.connection {
            match self.reuse(address, connection, call, request.clone(), watch).await {
                Err(error) if is_connection(&error) => {
                    self.inner.pool.forget(address);
                    if call.process == Process::Recent && pooled.recent && is_lost(&error) {
                        return Err(lost_error(error));
                    }
                    if watch.left().is_zero() {
                        return Err(error);
                    }
                    first = Some(error);
                }
                other => return self.accept(address, call, other?).await,
            }
        }
        let connection = match (self.connect(address, call, &watch).await, first) {
            // The call may have run on the connection before.
            (Err(CallError::Restarted), Some(sent)) if !sent.is_not_run() => return Err(sent),
            (connection, _) => connection?,
        };
        let open = self.send(connection, call, request, watch).await?;
        self.accept(address, call, open).await
    }

    /// Takes an idle connection, where there is one; fails where the target has restarted.
    async fn take(&self, address: SocketAddr, call: &Call) -> Result<Taken, CallError> {
        let wanted = match call.process {
            Process::Named(incarnation) => Some(incarnation),
            Process::Any | Process::Recent => None,
        };
        let taken = self.inner.pool.take(address, wanted).await;
        match call.process {
            Process::Recent if taken.lost => Err(CallError::Restarted),
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
        watch: Watch,
    ) -> Result<Open, CallError> {
        match self.prove(address, connection, call, watch).await? {
            Some(connection) => self.send(connection, call, request, watch).await,
            None => Err(CallError::NotSent("connection can't be used again".to_owned())),
        }
    }

    /// Opens a connection to whichever process listens.
    pub(crate) async fn connect_any(
        &self,
        address: SocketAddr,
        watch: &Watch,
    ) -> Result<Connection, CallError> {
        let limit = self.inner.limits.connect.min(watch.left());
        Connection::open(address, limit).await
    }

    /// Returns the idle connections.
    pub(crate) fn pool(&self) -> &Pool {
        &self.inner.pool
    }

    /// Sends a request and reads the head of its answer.
    pub(crate) async fn send(
        &self,
        mut connection: Connection,
        call: &Call,
        request: Bytes,
        watch: Watch,
    ) -> Result<Open, CallError> {
        connection.send(request, &watch).await?;
        let max = self.inner.limits.max_answer;
        let answered = connection.read_head(call.id, max, &watch).await?;
        call.heard.set(connection.incarnation);
        Ok(Open { connection, answered, watch })
    }

    /// Turns an answer that is no success into an error, reading it whole to keep the connection.
    async fn accept(
        &self,
        address: SocketAddr,
        call: &Call,
        mut open: Open,
    ) -> Result<Open, CallError> {
        let status = open.answered.status;
        if status.is_success() {
            return Ok(open);
        }
        let retry_after = connection::retry_after(&open.answered.headers);
        let body = read_whole(&mut open).await;
        let not_run = body.as_ref().is_ok_and(refusal::says_not_run);
        if body.is_ok() {
            self.put_back(address, open);
        }
        Err(refusal::status_error(status, retry_after, not_run, call.idempotent))
    }
}

/// Reads the body of an answer to its end.
pub(crate) async fn read_whole(open: &mut Open) -> Result<Bytes, CallError> {
    let Open { connection, answered, watch } = open;
    let body = &mut answered.body;
    let Some(first) = connection.next_piece(body, watch).await? else { return Ok(Bytes::new()) };
    if body.is_done() {
        return Ok(first);
    }
    let mut whole = BytesMut::from(first.as_ref());
    while let Some(piece) = connection.next_piece(body, watch).await? {
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
        CallError::NotSent(_) | CallError::Reset(_) | CallError::Silent | CallError::Crossed
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
