//! Accept loop with connection limits and graceful shutdown.

use std::cell::Cell;
use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::time::timeout;

use crate::http::close::CloseReason;
use crate::http::close::ConnectionPhase;
use crate::http::close::OpenConnections;
use crate::http::connection;
use crate::http::connection::Service;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::signal::Signal;
use crate::http::signal::Wait;

/// Delay after a failed accept, which most often means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a new connection after which a stopping server closes its listener.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum number of connections that a stopping server accepts beyond its limit, to refuse them.
const MAX_REFUSED: usize = 1024;

/// Maximum number of failed accepts of a stopping server, after which it closes its listener.
const MAX_ACCEPT_FAILURES: usize = 50;

/// Limits and timeouts of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes, unless the handler sets another limit.
    pub max_body: usize,
    /// Maximum size of the buffered request bodies of all connections together, in bytes.
    pub max_buffered: usize,
    /// Maximum number of open connections; further ones wait in the backlog, and idle ones are
    /// closed to make room.
    pub max_connections: usize,
    /// Timeout for receiving a complete request, and for a new connection to begin one.
    pub receive_timeout: Duration,
    /// Timeout of a connection between requests.
    pub idle_timeout: Duration,
    /// Time without progress of a write after which the connection is closed.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            max_body: 1 << 20,
            max_buffered: 256 << 20,
            max_connections: 4096,
            receive_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Handler of requests.
pub trait Handler: 'static {
    /// Responds to `request`; its `disconnected` signal is set once the caller has disconnected.
    fn handle(&self, request: Request) -> impl Future<Output = Response>;

    /// Returns the limit on the body of a request with `head`, in bytes, if it has its own.
    fn max_body(&self, _head: &Head) -> Option<usize> {
        None
    }
}

impl<F, T> Handler for F
where
    F: Fn(Request) -> T + 'static,
    T: Future<Output = Response>,
{
    fn handle(&self, request: Request) -> impl Future<Output = Response> {
        self(request)
    }
}

/// Signals of the phases of a graceful shutdown, set in order; clones share them.
#[derive(Clone, Default)]
pub struct ShutdownSignals {
    /// Connections are still accepted, but each response has `Connection: close`.
    pub drain: Signal,
    /// No connections are accepted, idle ones are closed and running requests are completed.
    pub stop: Signal,
    /// Requests in progress get their final response, and requests being received are rejected.
    pub finish: Signal,
    /// All connections are closed immediately.
    pub abort: Signal,
}

/// Error of listening on an address.
#[derive(Debug)]
pub struct ListenError {
    /// Requested address.
    pub address: SocketAddr,
    /// Cause.
    pub cause: io::Error,
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't listen on {}: {}", self.address, self.cause)
    }
}

impl Error for ListenError {}

/// State shared by the connections of a server.
pub(crate) struct Shared<H> {
    pub(crate) handler: H,
    pub(crate) limits: Limits,
    pub(crate) shutdown: ShutdownSignals,
    /// Size of the request bodies buffered now, in bytes.
    pub(crate) buffered: Cell<usize>,
    open: OpenConnections,
    /// Signal to idle connections to close; set and replaced when the connection limit is reached.
    idle_close: RefCell<Signal>,
}

impl<H> Shared<H> {
    /// Tells whether the connection limit is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.open.total() >= self.limits.max_connections
    }

    /// Waits until idle connections are to close to make room.
    pub(crate) fn wait_idle_close(&self) -> Wait {
        self.idle_close.borrow().wait()
    }

    fn close_idle(&self) {
        self.idle_close.take().set();
    }
}

/// Server that is listening but not accepting yet.
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: Limits,
    shutdown: ShutdownSignals,
    open: OpenConnections,
}

impl Server {
    /// Listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails where the address can't be bound.
    pub fn bind(address: SocketAddr, limits: Limits) -> Result<Self, ListenError> {
        let listen = || {
            let listener = TcpListener::bind(address)?;
            let local = listener.local_addr()?;
            Ok((listener, local))
        };
        let (listener, address) = listen().map_err(|cause| ListenError { address, cause })?;
        let (shutdown, open) = (ShutdownSignals::default(), OpenConnections::default());
        Ok(Self { listener, address, limits, shutdown, open })
    }

    /// Replaces the signals that shut the server down.
    pub fn with_shutdown_signals(self, shutdown: ShutdownSignals) -> Self {
        Self { shutdown, ..self }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the signals that shut the server down.
    pub fn shutdown_signals(&self) -> ShutdownSignals {
        self.shutdown.clone()
    }

    /// Returns the numbers of open connections.
    pub fn open_connections(&self) -> OpenConnections {
        self.open.clone()
    }

    /// Serves connections until stopped, and returns once all of them have ended.
    pub async fn serve<H: Handler>(self, handler: H) {
        let shared = Rc::new(Shared {
            handler,
            limits: self.limits,
            shutdown: self.shutdown,
            buffered: Cell::new(0),
            open: self.open,
            idle_close: RefCell::default(),
        });
        let ended = Rc::new(ConnectionEnded::default());
        accept_loop(&self.listener, &shared, &ended).await;
        drop(self.listener);
        while shared.open.total() > 0 {
            ended.wait().await;
        }
    }
}

/// Wakes the accept loop when a connection ends.
#[derive(Default)]
struct ConnectionEnded {
    signal: Cell<Signal>,
}

impl ConnectionEnded {
    async fn wait(&self) {
        let signal = Signal::new();
        self.signal.set(signal.clone());
        signal.wait().await;
    }

    fn notify(&self) {
        self.signal.take().set();
    }
}

async fn accept_loop<H: Handler>(
    listener: &TcpListener,
    shared: &Rc<Shared<H>>,
    ended: &Rc<ConnectionEnded>,
) {
    let stop = &shared.shutdown.stop;
    while !stop.is_set() {
        if shared.is_full() {
            shared.close_idle();
            monoio::select! {
                () = ended.wait() => {}
                () = stop.wait() => {}
            }
            continue;
        }
        monoio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    spawn_connection(stream, peer, shared, ended, Service::Serve);
                }
                Err(error) => {
                    tracing::warn!(event = "accept-failed", %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = stop.wait() => {}
        }
    }
    accept_backlog(listener, shared, ended).await;
}

/// Accepts connections that are still in the backlog, which closing the listener would reset.
async fn accept_backlog<H: Handler>(
    listener: &TcpListener,
    shared: &Rc<Shared<H>>,
    ended: &Rc<ConnectionEnded>,
) {
    let (mut refused, mut failed) = (0, 0);
    while refused < MAX_REFUSED && failed < MAX_ACCEPT_FAILURES {
        match timeout(BACKLOG_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, peer))) if shared.is_full() => {
                refused += 1;
                spawn_connection(stream, peer, shared, ended, Service::Refuse);
            }
            Ok(Ok((stream, peer))) => {
                spawn_connection(stream, peer, shared, ended, Service::Serve);
            }
            Ok(Err(error)) => {
                failed += 1;
                tracing::warn!(event = "accept-failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
            Err(_) => return,
        }
    }
}

fn spawn_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    shared: &Rc<Shared<H>>,
    ended: &Rc<ConnectionEnded>,
    service: Service,
) {
    let shared = shared.clone();
    let ended = ended.clone();
    let phase = ConnectionPhase::new(&shared.open);
    monoio::spawn(async move {
        let ShutdownSignals { drain, abort, .. } = shared.shutdown.clone();
        let reason = monoio::select! {
            reason = connection::serve(stream, peer, &shared, &phase, service) => reason,
            () = abort.wait() => CloseReason::Aborted,
        };
        phase.record_close(peer, reason, drain.is_set());
        drop(phase);
        ended.notify();
    });
}
