//! Outgoing connection to one peer: opened on demand, replaced when it fails or goes silent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_core::names::InstanceName;
use monoio::time::timeout;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::EndpointConfig;
use quinn::SendStream;
use quinn::VarInt;

use crate::peer::credentials::Protocol;
use crate::peer::error::PeerError;
use crate::peer::frame::Frame;
use crate::peer::inbound::HELLO_TIMEOUT;
use crate::peer::runtime::MonoioRuntime;
use crate::peer::wakeup::EventCount;
use crate::peer::wire;

/// Maximum number of one-way frames queued for one peer.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum size of the one-way frames queued for one peer, in bytes.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Initial delay after a failed connection attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay after a failed connection attempt.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time without a frame or call after which a connection is closed, to save keep-alive traffic.
///
/// Must exceed the timeout of the longest call.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);
/// Close code: the connection was unused.
const CODE_UNUSED: VarInt = VarInt::from_u32(3);
/// Close code: the peer was silent.
const CODE_SILENT: VarInt = VarInt::from_u32(2);

/// Settings shared by all outgoing connections.
#[derive(Clone, Debug)]
pub struct Dialer {
    /// Name of this instance.
    pub name: InstanceName,
    /// Local address of outgoing connections.
    pub source: IpAddr,
    /// Credentials of this instance.
    pub client: ClientConfig,
    /// Runtime that connections run on.
    pub runtime: MonoioRuntime,
}

/// Outgoing connection to one peer.
pub struct Link {
    peer: InstanceName,
    address: SocketAddr,
    dialer: Dialer,
    state: RefCell<State>,
    changed: EventCount,
    queue: RefCell<VecDeque<Bytes>>,
    queued_bytes: Cell<usize>,
    queued: EventCount,
    /// Time at which the connection was last requested.
    last_used: Cell<Instant>,
    /// Number of response bodies that are being received.
    bodies: Cell<u32>,
    /// Protocol of the last connection, `None` before the first.
    protocol: Cell<Option<Protocol>>,
    closed: Cell<bool>,
}

enum State {
    /// Not connected; no attempt is made before `not_before`.
    Idle { not_before: Instant, backoff: Duration, reason: String },
    /// A connection attempt is in progress.
    Dialing,
    /// Connected; holds the stream for one-way frames until the writer task takes it.
    Connected { connection: Connection, stream: Option<SendStream> },
}

impl Link {
    /// Creates a link to `peer` at `address` without connecting.
    pub fn new(peer: InstanceName, address: SocketAddr, dialer: Dialer) -> Rc<Self> {
        let link = Rc::new(Self {
            peer,
            address,
            dialer,
            state: RefCell::new(State::Idle {
                not_before: Instant::now(),
                backoff: INITIAL_BACKOFF,
                reason: String::new(),
            }),
            changed: EventCount::default(),
            queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            queued: EventCount::default(),
            last_used: Cell::new(Instant::now()),
            bodies: Cell::new(0),
            protocol: Cell::default(),
            closed: Cell::new(false),
        });
        monoio::spawn(write_queued(Rc::downgrade(&link)));
        link
    }

    /// Queues an encoded one-way frame and returns `true`, or drops it if the queue is full.
    pub fn push(&self, frame: Bytes) -> bool {
        let mut queue = self.queue.borrow_mut();
        let bytes = self.queued_bytes.get() + frame.len();
        if self.closed.get() || queue.len() >= MAX_QUEUED_FRAMES || bytes > MAX_QUEUED_BYTES {
            return false;
        }
        self.queued_bytes.set(bytes);
        queue.push_back(frame);
        drop(queue);
        self.queued.notify();
        true
    }

    fn pop(&self) -> Option<Bytes> {
        let frame = self.queue.borrow_mut().pop_front()?;
        self.queued_bytes.set(self.queued_bytes.get().saturating_sub(frame.len()));
        Some(frame)
    }

    /// Drops the queued frames, which would be stale by the time a new connection is established.
    fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.queued_bytes.set(0);
    }

    /// Closes the link permanently.
    pub fn close(&self) {
        self.closed.set(true);
        self.clear();
        if let State::Connected { connection, .. } = &*self.state.borrow() {
            connection.close(VarInt::from_u32(0), b"closed");
        }
        self.queued.notify();
        self.changed.notify();
    }

    /// Returns the protocol of the last connection, `None` before the first.
    pub fn protocol(&self) -> Option<Protocol> {
        self.protocol.get()
    }

    /// Keeps the connection open until the result is dropped.
    pub fn keep_open(self: &Rc<Self>) -> LinkUse {
        self.bodies.set(self.bodies.get().saturating_add(1));
        LinkUse { link: Rc::clone(self) }
    }

    /// Closes `connection` because no datagram arrived from the peer while a call was waiting.
    pub fn close_silent(&self, connection: &Connection) {
        if connection.close_reason().is_none() {
            tracing::warn!(event = "peer-silent", peer = %self.peer, address = %self.address);
            connection.close(CODE_SILENT, b"silent");
        }
    }

    /// Returns an open connection, connecting first if necessary.
    ///
    /// # Errors
    ///
    /// Fails where the attempt fails, or without an attempt during the backoff after a failure.
    pub async fn connection(self: &Rc<Self>) -> Result<Connection, PeerError> {
        let mut dialed = false;
        self.last_used.set(Instant::now());
        loop {
            let seen = self.changed.count();
            match self.availability(dialed)? {
                Availability::Connected(connection) => return Ok(connection),
                Availability::Dial(backoff) => {
                    self.start_dial(backoff);
                    dialed = true;
                }
                Availability::Wait => {
                    dialed = true;
                    self.changed.wait_after(seen).await;
                }
            }
        }
    }

    fn availability(&self, dialed: bool) -> Result<Availability, PeerError> {
        if self.closed.get() {
            return Err(PeerError::Unreachable("endpoint closed".to_owned()));
        }
        match &*self.state.borrow() {
            State::Connected { connection, .. } => match connection.close_reason() {
                None => Ok(Availability::Connected(connection.clone())),
                Some(reason) => {
                    tracing::info!(event = "peer-lost", peer = %self.peer, %reason);
                    Ok(Availability::Dial(INITIAL_BACKOFF))
                }
            },
            State::Dialing => Ok(Availability::Wait),
            State::Idle { not_before, backoff, reason } => {
                if dialed || Instant::now() < *not_before {
                    return Err(PeerError::Unreachable(reason.clone()));
                }
                Ok(Availability::Dial(*backoff))
            }
        }
    }

    fn start_dial(self: &Rc<Self>, backoff: Duration) {
        self.state.replace(State::Dialing);
        let link = self.clone();
        monoio::spawn(async move {
            let state = match link.dial().await {
                Ok((connection, stream)) => {
                    link.protocol.set(Some(Protocol::of(&connection)));
                    tracing::info!(event = "peer-connected", peer = %link.peer, address = %link.address);
                    monoio::spawn(close_unused(Rc::downgrade(&link), connection.clone()));
                    State::Connected { connection, stream: Some(stream) }
                }
                Err(error) => link.record_failure(backoff, &error),
            };
            link.state.replace(state);
            link.changed.notify();
            if link.closed.get() {
                link.close();
            }
        });
    }

    fn record_failure(&self, backoff: Duration, error: &PeerError) -> State {
        tracing::warn!(event = "peer-unreachable", peer = %self.peer, address = %self.address, %error);
        let delay = backoff.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        State::Idle {
            not_before: Instant::now() + delay,
            backoff: (backoff * 2).min(MAX_BACKOFF),
            reason: match error {
                PeerError::Unreachable(reason) => reason.clone(),
                other => other.to_string(),
            },
        }
    }

    /// Connects from a new port: a NAT or firewall that lost the old flow may drop its packets.
    async fn dial(&self) -> Result<(Connection, SendStream), PeerError> {
        let socket = UdpSocket::bind((self.dialer.source, 0))?;
        let runtime = Arc::new(self.dialer.runtime.clone());
        let config = EndpointConfig::default();
        let endpoint = quinn::Endpoint::new(config, None, socket, runtime)?;
        let connection = endpoint
            .connect_with(self.dialer.client.clone(), self.address, self.peer.as_str())
            .map_err(unreachable)?
            .await
            .map_err(unreachable)?;
        let mut stream = connection.open_uni().await.map_err(unreachable)?;
        let hello = wire::encode(&Frame::Hello(self.dialer.name.clone()))?;
        stream.write_all(&hello).await.map_err(unreachable)?;
        let accepted = timeout(HELLO_TIMEOUT, self.wait_accepted(&connection)).await;
        accepted.map_err(|_| PeerError::Unreachable("peer sends no name".to_owned()))??;
        Ok((connection, stream))
    }

    /// Waits for the peer's hello: the TLS handshake completes before the peer has checked this
    /// instance's name.
    async fn wait_accepted(&self, connection: &Connection) -> Result<(), PeerError> {
        let mut stream = connection.accept_uni().await.map_err(unreachable)?;
        match wire::read(&mut stream).await.map_err(unreachable)? {
            Frame::Hello(name) if name == self.peer => Ok(()),
            _ => Err(PeerError::Unreachable("peer has another name".to_owned())),
        }
    }

    /// Takes the stream for one-way frames out of the state.
    fn take_stream(&self) -> Option<SendStream> {
        match &mut *self.state.borrow_mut() {
            State::Connected { stream, .. } => stream.take(),
            State::Idle { .. } | State::Dialing => None,
        }
    }

    /// Waits for the next queued frame; returns `None` once the link is closed.
    async fn next_frame(link: &Weak<Self>) -> Option<(Rc<Self>, Bytes)> {
        loop {
            let link = link.upgrade()?;
            if link.closed.get() {
                return None;
            }
            let seen = link.queued.count();
            if let Some(frame) = link.pop() {
                return Some((link, frame));
            }
            link.queued.wait_after(seen).await;
        }
    }
}

/// Keeps the connection of a link open until it is dropped.
pub struct LinkUse {
    link: Rc<Link>,
}

impl Drop for LinkUse {
    fn drop(&mut self) {
        self.link.bodies.set(self.link.bodies.get().saturating_sub(1));
        self.link.last_used.set(Instant::now());
    }
}

enum Availability {
    Connected(Connection),
    Dial(Duration),
    Wait,
}

fn unreachable(error: impl std::fmt::Display) -> PeerError {
    PeerError::Unreachable(error.to_string())
}

/// Closes `connection` once the link has been unused for [`UNUSED_TIMEOUT`].
async fn close_unused(weak: Weak<Link>, connection: Connection) {
    loop {
        let Some(link) = weak.upgrade() else { return };
        if link.bodies.get() > 0 {
            link.last_used.set(Instant::now());
        }
        let last_used = link.last_used.get();
        drop(link);
        let Some(rest) = UNUSED_TIMEOUT.checked_sub(last_used.elapsed()) else { break };
        monoio::time::sleep(rest + Duration::from_millis(1)).await;
        if connection.close_reason().is_some() {
            return;
        }
    }
    connection.close(CODE_UNUSED, b"unused");
}

/// Writes the queued frames in order, on one stream per connection.
async fn write_queued(link: Weak<Link>) {
    let mut current: Option<(usize, SendStream)> = None;
    while let Some((link, frame)) = Link::next_frame(&link).await {
        let Ok(connection) = link.connection().await else {
            link.clear();
            continue;
        };
        let id = connection.stable_id();
        if current.as_ref().is_none_or(|(old, _)| *old != id) {
            current = link.take_stream().map(|stream| (id, stream));
        }
        if let Some((_, stream)) = &mut current
            && stream.write_chunk(frame).await.is_err()
        {
            current = None;
        }
    }
}
