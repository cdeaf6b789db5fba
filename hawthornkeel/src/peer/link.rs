//! Outgoing connection to one peer: opened on demand, replaced when it fails or falls silent.

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
use quinn::ClientConfig;
use quinn::Connection;
use quinn::EndpointConfig;
use quinn::SendStream;
use quinn::VarInt;

use crate::peer::error::PeerError;
use crate::peer::frame::Frame;
use crate::peer::runtime::MonoioRuntime;
use crate::peer::wakeup::EventCount;
use crate::peer::wire;

/// One-way frames waiting for one peer, at most.
const MAX_QUEUED: usize = 4_096;
/// One-way frames waiting for one peer, in bytes at most.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// First wait after a connection could not be made.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after a connection could not be made.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time without a frame or call after which a connection is closed, to save its keep-alive pings.
///
/// Longer than the longest call.
const UNUSED: Duration = Duration::from_secs(10);
/// Connection closed because nobody used it.
const CODE_UNUSED: VarInt = VarInt::from_u32(3);
/// Connection closed because its peer had gone silent.
const CODE_SILENT: VarInt = VarInt::from_u32(2);

/// What a link needs to connect.
#[derive(Clone, Debug)]
pub struct Dialer {
    /// Name of this instance.
    pub name: InstanceName,
    /// Address that connections start from.
    pub source: IpAddr,
    /// Credentials of this instance.
    pub client: ClientConfig,
    /// Event loop that connections run on.
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
    /// Last time that the connection was asked for.
    used: Cell<Instant>,
    closed: Cell<bool>,
}

enum State {
    /// Not connected, and no attempt before this time.
    Idle { not_before: Instant, backoff: Duration, reason: String },
    /// An attempt is under way.
    Dialing,
    /// Connected; the stream for one-way frames stays here while the writer does not use it.
    Up { connection: Connection, stream: Option<SendStream> },
}

impl Link {
    /// Creates the link to `peer` at `address`, without connecting yet.
    pub fn new(peer: InstanceName, address: SocketAddr, dialer: Dialer) -> Rc<Self> {
        let link = Rc::new(Self {
            peer,
            address,
            dialer,
            state: RefCell::new(State::Idle {
                not_before: Instant::now(),
                backoff: FIRST_BACKOFF,
                reason: String::new(),
            }),
            changed: EventCount::default(),
            queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            queued: EventCount::default(),
            used: Cell::new(Instant::now()),
            closed: Cell::new(false),
        });
        monoio::spawn(write_queued(Rc::downgrade(&link)));
        link
    }

    /// Queues an encoded one-way frame, or drops it when the queue is full.
    ///
    /// Returns whether it was queued.
    pub fn push(&self, frame: Bytes) -> bool {
        let mut queue = self.queue.borrow_mut();
        let bytes = self.queued_bytes.get() + frame.len();
        if self.closed.get() || queue.len() >= MAX_QUEUED || bytes > MAX_QUEUED_BYTES {
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

    /// Drops the frames that wait: they are old by the time that a new connection stands.
    fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.queued_bytes.set(0);
    }

    /// Closes the connection for good.
    pub fn close(&self) {
        self.closed.set(true);
        self.clear();
        if let State::Up { connection, .. } = &*self.state.borrow() {
            connection.close(VarInt::from_u32(0), b"closed");
        }
        self.queued.notify();
        self.changed.notify();
    }

    /// Closes `connection` because nothing came from the peer while a call waited.
    pub fn replace_silent(&self, connection: &Connection) {
        if connection.close_reason().is_none() {
            tracing::warn!(event = "peer-silent", peer = %self.peer, address = %self.address);
            connection.close(CODE_SILENT, b"silent");
        }
    }

    /// Returns a live connection, made now if there is none.
    ///
    /// # Errors
    ///
    /// Fails where none could be made, or where the last failure was a moment ago.
    pub async fn connection(self: &Rc<Self>) -> Result<Connection, PeerError> {
        let mut dialed = false;
        self.used.set(Instant::now());
        loop {
            let seen = self.changed.count();
            match self.live(dialed)? {
                Live::Connection(connection) => return Ok(connection),
                Live::Dial(backoff) => {
                    self.start_dial(backoff);
                    dialed = true;
                }
                Live::Wait => {
                    dialed = true;
                    self.changed.wait_after(seen).await;
                }
            }
        }
    }

    fn live(&self, dialed: bool) -> Result<Live, PeerError> {
        if self.closed.get() {
            return Err(PeerError::Unreachable("endpoint closed".to_owned()));
        }
        match &*self.state.borrow() {
            State::Up { connection, .. } => match connection.close_reason() {
                None => Ok(Live::Connection(connection.clone())),
                Some(reason) => {
                    tracing::info!(event = "peer-lost", peer = %self.peer, %reason);
                    Ok(Live::Dial(FIRST_BACKOFF))
                }
            },
            State::Dialing => Ok(Live::Wait),
            State::Idle { not_before, backoff, reason } => {
                if dialed || Instant::now() < *not_before {
                    return Err(PeerError::Unreachable(reason.clone()));
                }
                Ok(Live::Dial(*backoff))
            }
        }
    }

    fn start_dial(self: &Rc<Self>, backoff: Duration) {
        self.state.replace(State::Dialing);
        let link = self.clone();
        monoio::spawn(async move {
            let state = match link.dial().await {
                Ok((connection, stream)) => {
                    tracing::info!(event = "peer-connected", peer = %link.peer, address = %link.address);
                    monoio::spawn(close_unused(Rc::downgrade(&link), connection.clone()));
                    State::Up { connection, stream: Some(stream) }
                }
                Err(error) => link.failed(backoff, &error),
            };
            link.state.replace(state);
            link.changed.notify();
            if link.closed.get() {
                link.close();
            }
        });
    }

    fn failed(&self, backoff: Duration, error: &PeerError) -> State {
        tracing::warn!(event = "peer-unreachable", peer = %self.peer, address = %self.address, %error);
        let wait = backoff.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        State::Idle {
            not_before: Instant::now() + wait,
            backoff: (backoff * 2).min(MAX_BACKOFF),
            reason: match error {
                PeerError::Unreachable(reason) => reason.clone(),
                other => other.to_string(),
            },
        }
    }

    /// Connects from a new port: whatever lost track of the old connection knows that port.
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
        self.confirm(&connection).await?;
        Ok((connection, stream))
    }

    /// Waits until the peer has accepted this instance: TLS alone ends before the peer's checks.
    async fn confirm(&self, connection: &Connection) -> Result<(), PeerError> {
        let mut stream = connection.accept_uni().await.map_err(unreachable)?;
        match wire::read(&mut stream).await.map_err(unreachable)? {
            Frame::Hello(name) if name == self.peer => Ok(()),
            _ => Err(PeerError::Unreachable("peer answers under another name".to_owned())),
        }
    }

    /// Takes the stream for one-way frames out of the state.
    fn take_stream(&self) -> Option<SendStream> {
        match &mut *self.state.borrow_mut() {
            State::Up { stream, .. } => stream.take(),
            State::Idle { .. } | State::Dialing => None,
        }
    }

    /// Waits for a frame; `None` once the link is closed.
    async fn next(link: &Weak<Self>) -> Option<(Rc<Self>, Bytes)> {
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

enum Live {
    Connection(Connection),
    Dial(Duration),
    Wait,
}

fn unreachable(error: impl std::fmt::Display) -> PeerError {
    PeerError::Unreachable(error.to_string())
}

/// Closes `connection` once nobody has used it for a while.
async fn close_unused(link: Weak<Link>, connection: Connection) {
    loop {
        let Some(used) = link.upgrade().map(|l| l.used.get()) else { return };
        let Some(rest) = UNUSED.checked_sub(used.elapsed()) else { break };
        monoio::time::sleep(rest + Duration::from_millis(1)).await;
        if connection.close_reason().is_some() {
            return;
        }
    }
    connection.close(CODE_UNUSED, b"unused");
}

/// Writes the queued frames in order, each connection's on one stream.
async fn write_queued(link: Weak<Link>) {
    let mut current: Option<(usize, SendStream)> = None;
    while let Some((link, frame)) = Link::next(&link).await {
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
