//! UDP relay to one address that can drop all datagrams, one direction or the existing flows.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Read timeout, after which a thread checks whether the relay has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// UDP relay to one address, stopped on drop.
pub struct UdpRelay {
    /// Address of the relay, to which clients send.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Flow of one sender, with the socket through which the target sees it.
struct Flow {
    source: SocketAddr,
    socket: UdpSocket,
}

#[derive(Default)]
struct Shared {
    sources: Mutex<Vec<SocketAddr>>,
    blackholed: Mutex<Vec<SocketAddr>>,
    /// Whether datagrams to the target are dropped.
    outbound_blocked: AtomicBool,
    /// Whether datagrams from the target are dropped.
    inbound_blocked: AtomicBool,
    stop: AtomicBool,
}

impl Shared {
    /// Tells whether a datagram of the flow from `source` is dropped, given its direction's flag.
    fn is_dropped(&self, blocked: &AtomicBool, source: SocketAddr) -> bool {
        blocked.load(Ordering::Relaxed) || lock(&self.blackholed).contains(&source)
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

impl UdpRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    /// Fails where no socket can be bound or configured.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let listener = bind()?;
        listener.set_read_timeout(Some(POLL_INTERVAL))?;
        let relay = Self { address: listener.local_addr()?, shared: Arc::default() };
        let shared = Arc::clone(&relay.shared);
        thread::spawn(move || forward_outbound(&listener, target, &shared));
        Ok(relay)
    }

    /// Drops all further datagrams of the flows so far, as a NAT that loses its state does.
    pub fn blackhole_flows(&self) {
        let sources = lock(&self.shared.sources).clone();
        lock(&self.shared.blackholed).extend(sources);
    }

    /// Blocks or unblocks both directions.
    pub fn set_blocked(&self, blocked: bool) {
        self.set_outbound_blocked(blocked);
        self.set_inbound_blocked(blocked);
    }

    /// Blocks or unblocks datagrams to the target.
    pub fn set_outbound_blocked(&self, blocked: bool) {
        self.shared.outbound_blocked.store(blocked, Ordering::Relaxed);
    }

    /// Blocks or unblocks datagrams from the target.
    pub fn set_inbound_blocked(&self, blocked: bool) {
        self.shared.inbound_blocked.store(blocked, Ordering::Relaxed);
    }

    /// Returns the number of flows so far.
    pub fn flow_count(&self) -> usize {
        lock(&self.shared.sources).len()
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

fn bind() -> io::Result<UdpSocket> {
    UdpSocket::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn forward_outbound(listener: &UdpSocket, target: SocketAddr, shared: &Arc<Shared>) {
    let mut flows: Vec<Flow> = Vec::new();
    let mut data = [0; MAX_DATAGRAM_BYTES];
    while !shared.is_stopped() {
        let Ok((len, source)) = listener.recv_from(&mut data) else { continue };
        if shared.is_dropped(&shared.outbound_blocked, source) {
            continue;
        }
        let found = flows.iter().position(|f| f.source == source);
        let index = found.unwrap_or(flows.len());
        if found.is_none() {
            let Ok(flow) = open_flow(listener, source, shared) else { continue };
            flows.push(flow);
        }
        if let Some(flow) = flows.get(index) {
            let _ = flow.socket.send_to(data.get(..len).unwrap_or_default(), target);
        }
    }
}

/// Opens the flow of `source` and starts to forward what the target sends back.
fn open_flow(listener: &UdpSocket, source: SocketAddr, shared: &Arc<Shared>) -> io::Result<Flow> {
    let socket = bind()?;
    let (listener, reader) = (listener.try_clone()?, socket.try_clone()?);
    reader.set_read_timeout(Some(POLL_INTERVAL))?;
    lock(&shared.sources).push(source);
    let shared = Arc::clone(shared);
    thread::spawn(move || forward_inbound(&listener, source, &reader, &shared));
    Ok(Flow { source, socket })
}

fn forward_inbound(listener: &UdpSocket, source: SocketAddr, socket: &UdpSocket, shared: &Shared) {
    let mut data = [0; MAX_DATAGRAM_BYTES];
    while !shared.is_stopped() {
        let Ok((len, _)) = socket.recv_from(&mut data) else { continue };
        if !shared.is_dropped(&shared.inbound_blocked, source) {
            let _ = listener.send_to(data.get(..len).unwrap_or_default(), source);
        }
    }
}
