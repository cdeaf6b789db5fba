//! QUIC endpoint of an instance: sends one-way frames and calls to peers and serves theirs.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::names::InstanceName;
use indexmap::IndexMap;
use quinn::Connection;
use quinn::EndpointConfig;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;

use crate::peer::credentials::Credentials;
use crate::peer::credentials::Protocol;
use crate::peer::error::PeerError;
use crate::peer::frame::Frame;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Refusal;
use crate::peer::inbound;
use crate::peer::inbound::Handlers;
use crate::peer::link::Dialer;
use crate::peer::link::Link;
use crate::peer::link::LinkUse;
use crate::peer::runtime::MonoioRuntime;
use crate::peer::runtime::Traffic;
use crate::peer::wire;

/// Shortest timeout of a call after which a connection without any datagram counts as dead.
///
/// Longer than the keep-alive interval: a peer that is only slow has acknowledged a ping by then.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// Maximum size of the parts in which a body is read, in bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Time for which a closed endpoint still sends, so that peers learn that it was closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Endpoint of an instance, bound to one thread; clones share it.
#[derive(Clone)]
pub struct Endpoint {
    inner: Rc<Inner>,
}

struct Inner {
    name: InstanceName,
    dialer: Dialer,
    peers: IndexMap<InstanceName, Peer>,
    /// Port that all instances listen on, where their names are their IP addresses.
    port: Option<u16>,
    links: RefCell<IndexMap<InstanceName, Rc<Link>>>,
    handlers: Rc<Handlers>,
    server: quinn::Endpoint,
    traffic: Arc<Traffic>,
    dropped: Cell<u64>,
}

impl Endpoint {
    /// Opens the endpoint that `settings` describe.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound or the credentials can't be used.
    pub fn open(settings: &Settings) -> Result<Self, PeerError> {
        let listen = settings.peers.listen.ok_or(PeerError::NoListenAddress)?;
        Self::with_socket(UdpSocket::bind(listen)?, settings)
    }

    /// Opens the endpoint on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails where the socket or the credentials can't be used.
    pub fn with_socket(socket: UdpSocket, settings: &Settings) -> Result<Self, PeerError> {
        Self::with_credentials(socket, settings, Credentials::from_settings(settings)?)
    }

    /// Opens the endpoint on a bound socket, with credentials other than those in the settings.
    ///
    /// # Errors
    ///
    /// Fails where the socket can't be used.
    pub fn with_credentials(
        socket: UdpSocket,
        settings: &Settings,
        credentials: Credentials,
    ) -> Result<Self, PeerError> {
        let source = socket.local_addr()?.ip();
        let config = EndpointConfig::default();
        let runtime = MonoioRuntime::default();
        let shared = Arc::new(runtime.clone());
        let server = quinn::Endpoint::new(config, Some(credentials.server), socket, shared)?;
        let name = settings.peer_name();
        let trust = settings.peers.trust;
        let handlers = Rc::new(Handlers { name: name.clone(), trust, ..Handlers::default() });
        let port = (trust == Trust::Addresses).then(|| server.local_addr().map(|a| a.port()));
        let port = port.transpose()?;
        monoio::spawn(inbound::accept(server.clone(), handlers.clone()));
        let peers = settings.peers.peers.iter().map(|p| (p.name.clone(), p.clone())).collect();
        Ok(Self {
            inner: Rc::new(Inner {
                dialer: Dialer {
                    name: name.clone(),
                    source,
                    client: credentials.client,
                    runtime: runtime.clone(),
                },
                name,
                peers,
                port,
                links: RefCell::default(),
                handlers,
                server,
                traffic: runtime.traffic,
                dropped: Cell::default(),
            }),
        })
    }

    /// Returns the name of this instance.
    pub fn name(&self) -> &InstanceName {
        &self.inner.name
    }

    /// Returns the configured peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.inner.peers.values()
    }

    /// Returns the address that peers connect to.
    ///
    /// # Errors
    ///
    /// Fails where the socket fails.
    pub fn local_addr(&self) -> Result<SocketAddr, PeerError> {
        Ok(self.inner.server.local_addr()?)
    }

    /// Returns the number of one-way frames dropped because a peer's queue was full.
    pub fn dropped_frames(&self) -> u64 {
        self.inner.dropped.get()
    }

    /// Returns the number of open connections that peers have established.
    pub fn inbound_connections(&self) -> usize {
        self.inner.server.open_connections()
    }

    /// Returns the traffic counters of all connections.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.inner.traffic
    }

    /// Sets the handler of one-way frames of `kind`; it receives a peer's frames in order.
    pub fn on_frame(&self, kind: FrameKind, handler: impl Fn(&InstanceName, Frame) + 'static) {
        self.inner.handlers.frames.borrow_mut().insert(kind, Rc::new(handler));
    }

    /// Sets the handler of calls of `kind`; calls run concurrently.
    pub fn on_call<F, R>(&self, kind: FrameKind, handler: F)
    where
        F: Fn(InstanceName, Frame) -> R + 'static,
        R: Future<Output = Frame> + 'static,
    {
        let handler =
            move |name, frame| -> inbound::ResponseFuture { Box::pin(handler(name, frame)) };
        self.inner.handlers.calls.borrow_mut().insert(kind, Rc::new(handler));
    }

    /// Queues a one-way frame; it is dropped if the queue is full or the connection fails.
    ///
    /// # Errors
    ///
    /// Fails where the peer is unknown or the frame is too long.
    pub fn send(&self, to: &InstanceName, frame: &Frame) -> Result<(), PeerError> {
        let link = self.link(to)?;
        let frame = wire::encode(frame)?;
        if !link.push(frame) {
            self.inner.dropped.set(self.inner.dropped.get() + 1);
        }
        Ok(())
    }

    /// Calls a peer and waits for the response for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails where the peer is unknown, unreachable, refuses the call or doesn't respond in time;
    /// [`PeerError::may_have_run`] tells whether the call may have been executed nevertheless.
    pub async fn call(
        &self,
        to: &InstanceName,
        frame: &Frame,
        timeout: Duration,
    ) -> Result<Frame, PeerError> {
        let link = self.link(to)?;
        let request = wire::encode(frame)?;
        let deadline = monoio::time::Instant::now() + timeout;
        let connection = connect(&link, deadline).await?;
        if matches!(frame, Frame::Rollout(_)) && Protocol::of(&connection) != Protocol::Rollouts {
            return Err(PeerError::Refused(Refusal::Unsupported));
        }
        let received = connection.stats().udp_rx.datagrams;
        match monoio::time::timeout_at(deadline, send_request(&connection, request)).await {
            Ok(Ok(Frame::Refused(refusal))) => Err(PeerError::Refused(refusal)),
            Ok(response) => response,
            Err(_) => {
                let silent = connection.stats().udp_rx.datagrams == received;
                if silent && timeout >= MIN_SILENCE {
                    link.close_silent(&connection);
                }
                Err(PeerError::TimedOut { sent: true })
            }
        }
    }

    /// Returns the protocol of the last connection that this instance established with a peer, `None`
    /// before the first.
    pub fn protocol(&self, peer: &InstanceName) -> Option<Protocol> {
        self.inner.links.borrow().get(peer)?.protocol()
    }

    /// Sets the handler of calls of `kind` whose response has a body; calls run concurrently.
    ///
    /// The handler writes the response frame and the body to the stream. Bytes of the body are
    /// complete only if it finishes the stream.
    pub fn on_stream<F, R>(&self, kind: FrameKind, handler: F)
    where
        F: Fn(InstanceName, Frame, SendStream) -> R + 'static,
        R: Future<Output = ()> + 'static,
    {
        let handler = move |name, frame, send| -> inbound::StreamFuture {
            Box::pin(handler(name, frame, send))
        };
        self.inner.handlers.streams.borrow_mut().insert(kind, Rc::new(handler));
    }

    /// Calls a peer whose response has a body, and waits for the response frame for at most
    /// `timeout`. Dropping the body, or the future, tells the peer to end its work.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Endpoint::call`].
    pub async fn call_stream(
        &self,
        to: &InstanceName,
        frame: &Frame,
        timeout: Duration,
    ) -> Result<(Frame, CallBody), PeerError> {
        let link = self.link(to)?;
        let request = wire::encode(frame)?;
        let deadline = monoio::time::Instant::now() + timeout;
        let connection = connect(&link, deadline).await?;
        let kept = link.keep_open();
        let sent = monoio::time::timeout_at(deadline, send_call(&connection, request)).await;
        match sent.map_err(|_| PeerError::TimedOut { sent: true })?? {
            (Frame::Refused(refusal), _) => Err(PeerError::Refused(refusal)),
            (frame, receive) => Ok((frame, CallBody { receive, _kept: kept })),
        }
    }

    /// Closes all connections and stops serving.
    pub fn close(&self) {
        for link in self.inner.links.borrow().values() {
            link.close();
        }
        self.inner.server.close(VarInt::from_u32(0), b"closed");
    }

    /// Waits until a closed endpoint has told its peers so; their calls in progress fail at once.
    pub async fn wait_closed(&self) {
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, self.inner.server.wait_idle()).await;
    }

    fn link(&self, to: &InstanceName) -> Result<Rc<Link>, PeerError> {
        if let Some(link) = self.inner.links.borrow().get(to) {
            return Ok(link.clone());
        }
        let address = self.address_of(to).ok_or_else(|| PeerError::UnknownPeer(to.clone()))?;
        let link = Link::new(to.clone(), address, self.inner.dialer.clone());
        self.inner.links.borrow_mut().insert(to.clone(), link.clone());
        Ok(link)
    }
}

impl Endpoint {
    /// Returns a peer's address from the settings, or from its name where that is an IP address.
    fn address_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        if let Some(peer) = self.inner.peers.get(name) {
            return Some(peer.address);
        }
        let port = self.inner.port?;
        name.as_str().parse().ok().map(|ip: IpAddr| SocketAddr::new(ip, port))
    }
}

/// Body of a response that a peer sends.
pub struct CallBody {
    receive: RecvStream,
    _kept: LinkUse,
}

impl CallBody {
    /// Returns the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails where the peer ends the body before it is complete, or the connection is lost.
    pub async fn next(&mut self) -> Result<Option<Bytes>, PeerError> {
        let chunk = self.receive.read_chunk(MAX_CHUNK_BYTES, true).await;
        let chunk = chunk.map_err(|e| PeerError::ConnectionLost(e.to_string()))?;
        Ok(chunk.map(|c| c.bytes))
    }
}

/// Returns an open connection of a link, if there is one before `deadline`.
async fn connect(
    link: &Rc<Link>,
    deadline: monoio::time::Instant,
) -> Result<Connection, PeerError> {
    let connection = monoio::time::timeout_at(deadline, link.connection());
    connection.await.map_err(|_| PeerError::TimedOut { sent: false })?
}

/// Sends `request` on a new stream and reads the response.
async fn send_request(connection: &Connection, request: Bytes) -> Result<Frame, PeerError> {
    send_call(connection, request).await.map(|(frame, _)| frame)
}

/// Sends `request` on a new stream and reads the response; returns it with the rest of the stream.
async fn send_call(
    connection: &Connection,
    request: Bytes,
) -> Result<(Frame, RecvStream), PeerError> {
    let lost = |e: &dyn std::fmt::Display| PeerError::ConnectionLost(e.to_string());
    let (mut send, mut receive) = connection.open_bi().await.map_err(|e| lost(&e))?;
    send.write_chunk(request).await.map_err(|e| lost(&e))?;
    send.finish().map_err(|e| lost(&e))?;
    match wire::read(&mut receive).await {
        Ok(frame) => Ok((frame, receive)),
        Err(wire::WireError::StreamFailed(error)) => Err(lost(&error)),
        Err(error) => Err(PeerError::Wire(error)),
    }
}
