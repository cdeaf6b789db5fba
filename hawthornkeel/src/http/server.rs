//! Accept loop, its bounds and its planned stop.

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

use crate::http::connection;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::signal::Signal;
use crate::http::signal::Wait;

/// Pause after an accept that failed, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time without a new connection after which a stopping server closes its listener.
const LAST_ACCEPT: Duration = Duration::from_millis(20);

/// Bounds of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Request head, in bytes at most.
    pub max_head: usize,
    /// Request body, in bytes at most, where the handler sets no other bound.
    pub max_body: usize,
    /// Bytes of bodies held for all connections together, at most.
    pub max_buffered: usize,
    /// Open connections, at most; more wait to be accepted, and idle ones make room for them.
    pub max_connections: usize,
    /// Time for a caller to send a whole request, and for a new connection to begin one.
    pub receive_timeout: Duration,
    /// Time that a connection may stay open between requests.
    pub idle_timeout: Duration,
    /// Time after which a write that makes no progress closes the connection.
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

/// Answers requests.
pub trait Handler: 'static {
    /// Answers `request`; its `left` signal is set once the caller has gone.
    fn handle(&self, request: Request) -> impl Future<Output = Response>;

    /// Returns the bound on the body of a request with `head`, in bytes, where it has one.
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

/// Steps of a planned stop, set one after the other; clones share them.
#[derive(Clone, Default)]
pub struct ShutdownSignals {
    /// Connections are still accepted, and each answer says `Connection: close`.
    pub drain: Signal,
    /// No connection is accepted, idle ones are closed and running requests are answered.
    pub stop: Signal,
    /// All connections are closed at once.
    pub abort: Signal,
}

/// Why a server could not listen.
#[derive(Debug)]
pub struct ListenError {
    /// Address asked for.
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

/// What the connections of a server share.
pub(crate) struct Shared<H> {
    pub(crate) handler: H,
    pub(crate) limits: Limits,
    pub(crate) shutdown: ShutdownSignals,
    /// Bytes of bodies held now.
    pub(crate) held: Cell<usize>,
    open: Cell<usize>,
    /// Set, and replaced by a new one, while connections wait for room.
    crowded: RefCell<Signal>,
}

impl<H> Shared<H> {
    /// Tells whether no further connection would be accepted.
    pub(crate) fn is_full(&self) -> bool {
        self.open.get() >= self.limits.max_connections
    }

    /// Waits until idle connections should make room.
    pub(crate) fn wait_crowded(&self) -> Wait {
        self.crowded.borrow().wait()
    }

    fn make_room(&self) {
        self.crowded.take().set();
    }
}

/// Server that listens and has not begun to accept.
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: Limits,
    shutdown: ShutdownSignals,
}

impl Server {
    /// Listens on `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// Fails where the address can't be taken.
    pub fn bind(address: SocketAddr, limits: Limits) -> Result<Self, ListenError> {
        let listen = || {
            let listener = TcpListener::bind(address)?;
            let local = listener.local_addr()?;
            Ok((listener, local))
        };
        let (listener, address) = listen().map_err(|cause| ListenError { address, cause })?;
        Ok(Self { listener, address, limits, shutdown: ShutdownSignals::default() })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the steps of the server's planned stop.
    pub fn shutdown_signals(&self) -> ShutdownSignals {
        self.shutdown.clone()
    }

    /// Accepts and answers until stopped, and returns once every connection has ended.
    pub async fn serve<H: Handler>(self, handler: H) {
        let shared = Rc::new(Shared {
            handler,
            limits: self.limits,
            shutdown: self.shutdown,
            held: Cell::new(0),
            open: Cell::new(0),
            crowded: RefCell::default(),
        });
        let ended = Rc::new(Ended::default());
        accept_loop(&self.listener, &shared, &ended).await;
        drop(self.listener);
        while shared.open.get() > 0 {
            ended.wait().await;
        }
    }
}

/// Wakes the accept loop after each connection that ends.
#[derive(Default)]
struct Ended {
    signal: Cell<Signal>,
}

impl Ended {
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
    ended: &Rc<Ended>,
) {
    let stop = &shared.shutdown.stop;
    while !stop.is_set() {
        if shared.is_full() {
            shared.make_room();
            monoio::select! {
                () = ended.wait() => {}
                () = stop.wait() => {}
            }
            continue;
        }
        monoio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => start(stream, peer, shared, ended),
                Err(error) => {
                    tracing::warn!(event = "accept-failed", %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stop.wait() => {}
        }
    }
    accept_rest(listener, shared, ended).await;
}

/// Accepts what had connected before the stop, which closing the listener would reset.
async fn accept_rest<H: Handler>(
    listener: &TcpListener,
    shared: &Rc<Shared<H>>,
    ended: &Rc<Ended>,
) {
    while !shared.is_full() {
        match timeout(LAST_ACCEPT, listener.accept()).await {
            Ok(Ok((stream, peer))) => start(stream, peer, shared, ended),
            _ => return,
        }
    }
}

fn start<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    shared: &Rc<Shared<H>>,
    ended: &Rc<Ended>,
) {
    let shared = shared.clone();
    let ended = ended.clone();
    shared.open.set(shared.open.get().saturating_add(1));
    monoio::spawn(async move {
        let abort = shared.shutdown.abort.clone();
        monoio::select! {
            () = connection::run(stream, peer, &shared) => {}
            () = abort.wait() => {}
        }
        shared.open.set(shared.open.get().saturating_sub(1));
        ended.notify();
    });
}
