//! Relay of datagrams to one address, which can be cut or lose track of its flows.

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

/// Time between looks at whether the relay is to end.
const POLL: Duration = Duration::from_millis(50);
/// Datagram, in bytes at most.
const MAX_DATAGRAM: usize = 2048;

/// Relay of datagrams to one address; dropping it ends it.
pub struct UdpRelay {
    /// Address that is sent to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Flow from one sender, with the socket that stands for it.
struct Flow {
    source: SocketAddr,
    back: UdpSocket,
}

#[derive(Default)]
struct Shared {
    known: Mutex<Vec<SocketAddr>>,
    lost: Mutex<Vec<SocketAddr>>,
    /// Whether datagrams to the address vanish.
    cut_out: AtomicBool,
    /// Whether datagrams from the address vanish.
    cut_back: AtomicBool,
    stop: AtomicBool,
}

impl Shared {
    /// Tells whether datagrams of the flow from `source` vanish under `cut`.
    fn drops(&self, cut: &AtomicBool, source: SocketAddr) -> bool {
        cut.load(Ordering::Relaxed) || lock(&self.lost).contains(&source)
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

impl UdpRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    /// Fails where no socket can be bound.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let front = bind()?;
        front.set_read_timeout(Some(POLL))?;
        let relay = Self { address: front.local_addr()?, shared: Arc::default() };
        let shared = Arc::clone(&relay.shared);
        thread::spawn(move || carry(&front, target, &shared));
        Ok(relay)
    }

    /// Loses track of every flow so far: their datagrams vanish from now on.
    pub fn blackhole_flows(&self) {
        let known = lock(&self.shared.known).clone();
        lock(&self.shared.lost).extend(known);
    }

    /// Lets every datagram vanish, or none.
    pub fn set_blocked(&self, cut: bool) {
        self.set_outbound_blocked(cut);
        self.set_inbound_blocked(cut);
    }

    /// Lets the datagrams to the address vanish, or none of them.
    pub fn set_outbound_blocked(&self, cut: bool) {
        self.shared.cut_out.store(cut, Ordering::Relaxed);
    }

    /// Lets the datagrams from the address vanish, or none of them.
    pub fn set_inbound_blocked(&self, cut: bool) {
        self.shared.cut_back.store(cut, Ordering::Relaxed);
    }

    /// Returns the number of flows seen.
    pub fn flow_count(&self) -> usize {
        lock(&self.shared.known).len()
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

fn carry(front: &UdpSocket, target: SocketAddr, shared: &Arc<Shared>) {
    let mut flows: Vec<Flow> = Vec::new();
    let mut data = [0; MAX_DATAGRAM];
    while !shared.stopped() {
        let Ok((len, source)) = front.recv_from(&mut data) else { continue };
        if shared.drops(&shared.cut_out, source) {
            continue;
        }
        let known = flows.iter().position(|f| f.source == source);
        let at = known.unwrap_or(flows.len());
        if known.is_none() {
            let Ok(flow) = open(front, source, shared) else { continue };
            flows.push(flow);
        }
        if let Some(flow) = flows.get(at) {
            let _ = flow.back.send_to(data.get(..len).unwrap_or_default(), target);
        }
    }
}

/// Starts to carry back what is sent to the flow from `source`.
fn open(front: &UdpSocket, source: SocketAddr, shared: &Arc<Shared>) -> io::Result<Flow> {
    let back = bind()?;
    let (front, reader) = (front.try_clone()?, back.try_clone()?);
    reader.set_read_timeout(Some(POLL))?;
    lock(&shared.known).push(source);
    let shared = Arc::clone(shared);
    thread::spawn(move || carry_back(&front, source, &reader, &shared));
    Ok(Flow { source, back })
}

fn carry_back(front: &UdpSocket, source: SocketAddr, back: &UdpSocket, shared: &Shared) {
    let mut data = [0; MAX_DATAGRAM];
    while !shared.stopped() {
        let Ok((len, _)) = back.recv_from(&mut data) else { continue };
        if !shared.drops(&shared.cut_back, source) {
            let _ = front.send_to(data.get(..len).unwrap_or_default(), source);
        }
    }
}
