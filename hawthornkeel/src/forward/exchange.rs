//! Exchanges with targets: requests written as given, answers read whole or piece by piece.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
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

use crate::http::connection::has_connection_option;
use crate::http::framing;
use crate::http::framing::BodyLength;
use crate::http::framing::BodyReader;
use crate::http::framing::ReadError;
use crate::http::reader::Reader;

/// Head of an answer, in bytes at most.
const MAX_HEAD: usize = 32 * 1024;
/// Body of an answer that is read whole, in bytes at most.
const MAX_BODY: usize = 8 << 20;
/// Interim answers before the answer itself, at most.
const MAX_INTERIM: usize = 4;
/// Time for a connection to open.
const CONNECT: Duration = Duration::from_millis(150);
/// Time that an idle connection is kept where its target names none.
const IDLE: Duration = Duration::from_secs(4);
/// Time before the end that a target names at which a connection is not used again.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time up to which a request that may not be repeated uses a connection.
const RECENT: Duration = Duration::from_millis(1_500);
/// Idle connections to one target, at most.
const MAX_IDLE: usize = 16;
/// Time for an answer that may have come before its request could not be written on.
const LAST_ANSWER: Duration = Duration::from_millis(50);

/// Why an exchange brought no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be made: the target can't have run the request.
    Unreached(String),
    /// The request may have run.
    Lost(&'static str),
    /// Nothing came in the time given; the request may have run.
    Silent,
}

impl Failure {
    /// Tells whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreached(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreached(cause) => write!(f, "not reached: {cause}"),
            Self::Lost(cause) => write!(f, "lost: {cause}"),
            Self::Silent => f.write_str("silent"),
        }
    }
}

impl std::error::Error for Failure {}

/// Request as it is written to a target.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Head and body.
    pub data: Bytes,
    /// Identity that the answer must echo where it names one.
    pub id: Option<Bytes>,
    /// Whether the answer to it has no body.
    pub bodiless: bool,
    /// Whether it may run again after its outcome was lost.
    pub repeatable: bool,
}

/// Connections to targets; clones share them.
#[derive(Clone, Default)]
pub struct Exchanges {
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<Idle>>>>,
    /// Name of the field with the identity of a request.
    id_field: &'static str,
}

/// Connection that waits for the next request.
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

struct Connection {
    reader: Reader,
    write: OwnedWriteHalf<TcpStream>,
    used: bool,
}

/// Answer whose body has not been read.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    address: SocketAddr,
    connection: Connection,
    body: Body,
    reusable: bool,
    exchanges: Exchanges,
}

enum Body {
    Framed(BodyReader),
    /// Up to the end of the connection.
    Rest,
    Done,
}

impl Exchanges {
    /// Creates an empty set of connections; answers echo identities in `id_field`.
    pub fn new(id_field: &'static str) -> Self {
        Self { idle: Rc::default(), id_field }
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// Dropping the future closes the connection, which cancels the request at the target.
    ///
    /// # Errors
    /// Fails as [`Failure`] says, `Silent` once `until` has passed.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Outgoing,
        until: Instant,
    ) -> Result<Answer, Failure> {
        if let Some(connection) = self.take(address, request.repeatable).await {
            match self.send_over(connection, address, request, until).await {
                // The connection may have been closed as the request was on its way.
                Err(Failure::Lost(_)) if request.repeatable => self.forget(address),
                Err(Failure::Silent) => {
                    self.forget(address);
                    return Err(Failure::Silent);
                }
                other => return other,
            }
        }
        let connection = Connection::open(address, left(until)).await?;
        self.send_over(connection, address, request, until).await
    }

    async fn send_over(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        request: &Outgoing,
        until: Instant,
    ) -> Result<Answer, Failure> {
        let asked = timeout(left(until), connection.ask(&request.data)).await;
        let (head, whole) = asked.map_err(|_| Failure::Silent)??;
        self.answer(address, connection, head, request, whole)
    }

    /// Closes the idle connections to a target: something lost track of one of them.
    fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    /// Closes idle connections to addresses that are not in use any more.
    pub fn keep_only(&self, used: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|address, idle| {
            idle.retain(|i| i.until > now);
            used(address) && !idle.is_empty()
        });
    }

    /// Takes an idle connection on which nothing came since its last exchange.
    ///
    /// One for a request that may not be repeated was in use a moment ago, as it may be closed
    /// while the request is on its way.
    async fn take(&self, address: SocketAddr, repeatable: bool) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if !repeatable && idle.since.elapsed() > RECENT {
                return None;
            }
            let mut connection = idle.connection;
            if idle.until > Instant::now() && connection.is_quiet().await {
                return Some(connection);
            }
        }
    }

    fn answer(
        &self,
        address: SocketAddr,
        connection: Connection,
        head: ResponseHead,
        request: &Outgoing,
        whole: bool,
    ) -> Result<Answer, Failure> {
        let echo = head.headers.get(self.id_field).map(|v| v.as_bytes());
        let echoed = match (echo, &request.id) {
            (Some(echo), Some(id)) if echo != id.as_ref() => {
                return Err(Failure::Lost("answer belongs to another request"));
            }
            (None, Some(_)) if connection.used => {
                return Err(Failure::Lost("answer on a used connection names no request"));
            }
            (echo, _) => echo.is_some(),
        };
        let bodiless = request.bodiless
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = framing::body_length(head.version, &head.headers);
        let body = match length.map_err(|_| Failure::Lost("answer is framed in no known way"))? {
            _ if bodiless => Body::Done,
            BodyLength::Absent => Body::Rest,
            BodyLength::Fixed(0) => Body::Done,
            length => {
                let body = BodyReader::new(length, MAX_BODY);
                Body::Framed(body.map_err(|_| Failure::Lost("answer is too large"))?)
            }
        };
        let lasting =
            head.version == Version::HTTP_11 && !has_connection_option(&head.headers, "close");
        let named = echoed || request.id.is_none();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            address,
            connection,
            body,
            reusable: whole && lasting && named,
            exchanges: self.clone(),
        })
    }

    fn put(&self, address: SocketAddr, mut connection: Connection, headers: &HeaderMap) {
        // Bytes after the answer belong to nothing that was asked.
        if connection.reader.buffered() > 0 {
            return;
        }
        connection.used = true;
        let since = Instant::now();
        let until = since + keep_alive(headers).unwrap_or(IDLE);
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, since, until });
        }
    }
}

impl Connection {
    async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let unreached = |cause: String| Failure::Unreached(cause);
        let connect = timeout(CONNECT.min(limit), TcpStream::connect_addr(address)).await;
        let stream = connect.map_err(|_| unreached("connect timed out".to_owned()))?;
        let stream = stream.map_err(|e| unreached(e.to_string()))?;
        // Requests are written whole: waiting for more would only add delay.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Ok(Self { reader: Reader::new(read), write, used: false })
    }

    /// Tells whether nothing came and the other end has not closed since the last exchange.
    async fn is_quiet(&mut self) -> bool {
        if self.reader.buffered() > 0 {
            return false;
        }
        let mut fill = pin!(self.reader.fill(0));
        std::future::poll_fn(|cx| std::task::Poll::Ready(fill.as_mut().poll(cx).is_pending())).await
    }

    /// Writes a request and reads the head of its answer, which may come before all is written.
    ///
    /// Tells as well whether the whole request was written.
    async fn ask(&mut self, data: &Bytes) -> Result<(ResponseHead, bool), Failure> {
        let Self { reader, write, .. } = self;
        let mut head = pin!(read_head(reader));
        let written = {
            let mut writing = pin!(write_all(write, data.clone()));
            monoio::select! {
                written = &mut writing => Some(written),
                early = &mut head => {
                    return early.map(|h| (h, false)).map_err(read_failure);
                }
            }
        };
        if let Some(Err(_)) = written {
            let last = timeout(LAST_ANSWER, head).await;
            let failure = Failure::Lost("connection broke while the request was written");
            return last.ok().and_then(Result::ok).map(|h| (h, false)).ok_or(failure);
        }
        head.await.map(|h| (h, true)).map_err(read_failure)
    }
}

impl Answer {
    /// Returns the next piece of the body, `None` once it is whole.
    ///
    /// # Errors
    /// Fails with `Silent` where nothing comes until `until`, and where the body ends early.
    pub async fn piece(&mut self, until: Instant) -> Result<Option<Bytes>, Failure> {
        let piece = timeout(left(until), self.next());
        piece.await.map_err(|_| Failure::Silent)?
    }

    /// Returns the rest of the body.
    ///
    /// # Errors
    /// Fails as [`Answer::piece`] does.
    pub async fn whole(&mut self, until: Instant) -> Result<Bytes, Failure> {
        let Some(first) = self.piece(until).await? else { return Ok(Bytes::new()) };
        let mut all = BytesMut::from(first.as_ref());
        while let Some(piece) = self.piece(until).await? {
            if all.len() + piece.len() > MAX_BODY {
                return Err(Failure::Lost("answer is too large"));
            }
            all.extend_from_slice(&piece);
        }
        Ok(all.freeze())
    }

    /// Ends the exchange; the connection is kept where the answer was read whole.
    pub fn finish(self) {
        let done = match &self.body {
            Body::Done => true,
            Body::Framed(body) => body.is_done(),
            Body::Rest => false,
        };
        if done && self.reusable {
            self.exchanges.put(self.address, self.connection, &self.headers);
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let reader = &mut self.connection.reader;
        match &mut self.body {
            Body::Done => Ok(None),
            Body::Framed(body) => body.next(reader).await.map_err(read_failure),
            Body::Rest => {
                if reader.buffered() == 0 && reader.fill(0).await.map_err(io_failure)? == 0 {
                    self.body = Body::Done;
                    return Ok(None);
                }
                let buffer = reader.buffer();
                Ok(Some(buffer.split().freeze()))
            }
        }
    }
}

async fn read_head(reader: &mut Reader) -> Result<ResponseHead, ReadError> {
    for _ in 0..=MAX_INTERIM {
        let head = framing::read_response_head(reader, MAX_HEAD).await?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(ReadError::Malformed("too many interim answers"))
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

fn read_failure(error: ReadError) -> Failure {
    match error {
        ReadError::Closed => Failure::Lost("closed before the answer"),
        ReadError::Truncated => Failure::Lost("answer ended early"),
        ReadError::HeadTooLarge | ReadError::BodyTooLarge => Failure::Lost("answer is too large"),
        ReadError::Malformed(what) => Failure::Lost(what),
        ReadError::Io(error) => io_failure(error),
    }
}

fn io_failure(_: io::Error) -> Failure {
    Failure::Lost("connection reset")
}

/// Returns the time that an idle connection may be used again, as the target's answer says.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let time = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let time = Duration::from_secs(time.trim().parse().ok()?);
    Some(time.saturating_sub(IDLE_MARGIN))
}

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
