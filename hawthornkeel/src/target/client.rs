//! Client towards targets: sends calls and gives on only whole answers that belong to them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::request::refusal::Ran;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use serde::Deserialize;

use crate::target::call::Call;
use crate::target::call::RESUME_OFFSET;
use crate::target::connection;
use crate::target::connection::Answered;
use crate::target::connection::Connection;
use crate::target::connection::Watch;
use crate::target::error::CallError;
use crate::target::pool::Pool;
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
        let pooled = if call.idempotent { self.inner.pool.take(address).await } else { None };
        if let Some(connection) = pooled {
            let tried = self.send(connection, true, call, request.clone(), watch).await;
            match tried {
                Err(error) if is_blamed_on_connection(&error) => {
                    self.inner.pool.forget(address);
                    if watch.left().is_zero() {
                        return Err(error);
                    }
                }
                other => return self.accept(address, call, other?).await,
            }
        }
        let limit = self.inner.limits.connect.min(watch.left());
        let connection = Connection::open(address, limit).await?;
        let open = self.send(connection, false, call, request, watch).await?;
        self.accept(address, call, open).await
    }

    async fn send(
        &self,
        mut connection: Connection,
        reused: bool,
        call: &Call,
        request: Bytes,
        watch: Watch,
    ) -> Result<Open, CallError> {
        connection.send(request, &watch).await?;
        let max = self.inner.limits.max_answer;
        let answered = connection.read_head(call.id, reused, max, &watch).await?;
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
        let not_run = body.as_ref().is_ok_and(says_not_run);
        if body.is_ok() {
            self.put_back(address, open);
        }
        Err(status_error(status, retry_after, not_run, call.idempotent))
    }
}

/// Tells whether a connection that was used before is blamed for `error` before its target: it may
/// have been lost on the way, or bring a second answer to an earlier call.
fn is_blamed_on_connection(error: &CallError) -> bool {
    matches!(
        error,
        CallError::NotSent(_) | CallError::Reset(_) | CallError::Silent | CallError::Crossed
    )
}

async fn read_whole(open: &mut Open) -> Result<Bytes, CallError> {
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

fn is_resumed(headers: &HeaderMap, offset: u64) -> bool {
    let echo = headers.get(RESUME_OFFSET).and_then(|v| v.to_str().ok());
    echo.and_then(|e| e.parse().ok()) == Some(offset)
}

/// Tells whether a refusal's body says that the call did not run, as [`Problem`]s do.
///
/// [`Problem`]: crate::http::problem::Problem
fn says_not_run(body: &Bytes) -> bool {
    let refusal = serde_json::from_slice::<Refusal>(body);
    refusal.is_ok_and(|r| r.ran == Ran::NotRun)
}

#[derive(Deserialize)]
struct Refusal {
    ran: Ran,
}

/// Returns the error that an answer's status stands for.
///
/// Something between may answer 503 for a target that has run the call: a refusal of a call that
/// may not be repeated counts as one only where the target says that it did not run.
fn status_error(
    status: StatusCode,
    retry_after: Option<Duration>,
    not_run: bool,
    idempotent: bool,
) -> CallError {
    let status = status.as_u16();
    match status {
        429 | 503 if not_run || idempotent => CallError::Refused { status, retry_after, not_run },
        _ => CallError::Status(status),
    }
}
