//! TCP relay to one address that can block all traffic or blackhole its existing connections.
//!
//! While it is blocked, bytes are held back and new connections are not accepted. Afterwards the
//! bytes are delivered, as TCP retransmits what was not acknowledged.

use std::io;
use std::io::Read;
use std::io::Write;
use std::iter;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rustix::net::listen;

/// Interval of checking whether traffic is still blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit for connecting to the relay itself, on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Length of the accept queue while the relay is not blocked.
const BACKLOG: i32 = 128;
/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// TCP relay to one address, stopped on drop.
pub struct TcpRelay {
    /// Address of the relay, to which clients connect.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    listener: TcpListener,
    target: SocketAddr,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Connections with a lower number carry no bytes any more.
    blackholed_before: AtomicU64,
    blocked: AtomicBool,
    /// Whether the accepting thread holds a connection until the relay is unblocked.
    holding: AtomicBool,
    stop: AtomicBool,
    /// Connections that fill the accept queue while the relay is blocked.
    fillers: Mutex<Vec<TcpStream>>,
}

impl TcpRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    /// Fails where no port can be bound.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            listener,
            target,
            accepted: AtomicU64::new(0),
            blackholed_before: AtomicU64::new(0),
            blocked: AtomicBool::new(false),
            holding: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            fillers: Mutex::default(),
        });
        let accept_shared = Arc::clone(&shared);
        thread::spawn(move || accept(&accept_shared));
        Ok(Self { address, shared })
    }

    /// Stops forwarding on all existing connections without closing them.
    pub fn blackhole_connections(&self) {
        let accepted = self.shared.accepted.load(Ordering::SeqCst);
        self.shared.blackholed_before.store(accepted, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Blocks or unblocks all traffic: bytes are held back and new connections are not accepted.
    ///
    /// # Errors
    /// Fails where the length of the accept queue can't be changed.
    pub fn set_blocked(&self, blocked: bool) -> io::Result<()> {
        let mut fillers = self.shared.fillers.lock().unwrap_or_else(PoisonError::into_inner);
        self.shared.blocked.store(blocked, Ordering::SeqCst);
        fillers.clear();
        if !blocked {
            return Ok(listen(&self.shared.listener, BACKLOG)?);
        }
        // With a full accept queue, the kernel drops further connection attempts.
        listen(&self.shared.listener, 0)?;
        let connect = || TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        while !self.shared.holding.load(Ordering::SeqCst) {
            fillers.extend(connect().ok());
            thread::sleep(POLL_INTERVAL);
        }
        fillers.extend(iter::from_fn(|| connect().ok()));
        Ok(())
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
    }
}

impl Shared {
    /// Waits until bytes of a connection may be forwarded; `false` once the relay has stopped.
    fn wait_unblocked(&self, number: u64) -> bool {
        loop {
            if self.stop.load(Ordering::SeqCst) {
                return false;
            }
            let blackholed = number < self.blackholed_before.load(Ordering::SeqCst);
            if !blackholed && !self.blocked.load(Ordering::SeqCst) {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn accept(shared: &Arc<Shared>) {
    while let Ok((client, _)) = shared.listener.accept() {
        let number = shared.accepted.load(Ordering::SeqCst);
        // No further connection is accepted while blocked, so that the queue stays full.
        shared.holding.store(shared.blocked.load(Ordering::SeqCst), Ordering::SeqCst);
        if !shared.wait_unblocked(number) {
            return;
        }
        shared.holding.store(false, Ordering::SeqCst);
        shared.accepted.fetch_add(1, Ordering::SeqCst);
        // The client reconnects after an error.
        let _ = start_forwarding(shared, number, client);
    }
}

fn start_forwarding(shared: &Arc<Shared>, number: u64, client: TcpStream) -> io::Result<()> {
    let server = TcpStream::connect(shared.target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_writer, server_reader) = (client.try_clone()?, server.try_clone()?);
    let (outbound, inbound) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || forward(&outbound, number, client, server));
    thread::spawn(move || forward(&inbound, number, server_reader, client_writer));
    Ok(())
}

/// Forwards bytes in one direction until either end closes.
fn forward(shared: &Shared, number: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut data = [0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut data).unwrap_or(0);
        if !shared.wait_unblocked(number) {
            return;
        }
        let bytes = data.get(..count).unwrap_or_default();
        if bytes.is_empty() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(bytes).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
