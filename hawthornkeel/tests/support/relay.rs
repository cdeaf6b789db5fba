//! Relay of datagrams between two instances, which can be cut or lose track of its flows.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between looks at whether the relay is to end.
const POLL: Duration = Duration::from_millis(50);
/// Datagram, in bytes at most.
const MAX_DATAGRAM: usize = 2048;

/// Relay of datagrams to one target.
pub struct Relay {
    /// Address that callers send to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    known: Mutex<Vec<SocketAddr>>,
    lost: Mutex<Vec<SocketAddr>>,
    cut: AtomicBool,
    stop: AtomicBool,
}

impl Shared {
    /// Tells whether datagrams of the flow from `source` vanish.
    fn drops(&self, source: SocketAddr) -> bool {
        self.cut.load(Ordering::Relaxed) || self.lost.lock().unwrap().contains(&source)
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn new(target: SocketAddr) -> Self {
        let front = super::socket();
        let relay = Self { address: front.local_addr().unwrap(), shared: Arc::default() };
        let shared = relay.shared.clone();
        std::thread::spawn(move || carry(&front, target, &shared));
        relay
    }

    /// Loses track of every flow so far: their datagrams vanish from now on.
    pub fn lose_flows(&self) {
        let known = self.shared.known.lock().unwrap().clone();
        self.shared.lost.lock().unwrap().extend(known);
    }

    /// Lets every datagram vanish, or none.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::Relaxed);
    }

    /// Returns the number of flows seen.
    pub fn flows(&self) -> usize {
        self.shared.known.lock().unwrap().len()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

fn carry(front: &UdpSocket, target: SocketAddr, shared: &Arc<Shared>) {
    front.set_read_timeout(Some(POLL)).unwrap();
    let mut backs: Vec<(SocketAddr, UdpSocket)> = Vec::new();
    let mut data = [0; MAX_DATAGRAM];
    while !shared.stopped() {
        let Ok((len, from)) = front.recv_from(&mut data) else { continue };
        if shared.drops(from) {
            continue;
        }
        if !backs.iter().any(|(source, _)| *source == from) {
            let back = super::socket();
            let (front, reader) = (front.try_clone().unwrap(), back.try_clone().unwrap());
            let shared_back = shared.clone();
            std::thread::spawn(move || carry_back(&front, from, &reader, &shared_back));
            backs.push((from, back));
            shared.known.lock().unwrap().push(from);
        }
        let (_, back) = backs.iter().find(|(source, _)| *source == from).unwrap();
        let _ = back.send_to(&data[..len], target);
    }
}

fn carry_back(front: &UdpSocket, to: SocketAddr, back: &UdpSocket, shared: &Shared) {
    back.set_read_timeout(Some(POLL)).unwrap();
    let mut data = [0; MAX_DATAGRAM];
    while !shared.stopped() {
        let Ok((len, _)) = back.recv_from(&mut data) else { continue };
        if !shared.drops(to) {
            let _ = front.send_to(&data[..len], to);
        }
    }
}
