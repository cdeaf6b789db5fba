//! Relay of connections to one address, which can be cut or lose track of its connections.
//!
//! While it is cut, bytes are held and new connections get no answer; afterwards the bytes go on,
//! as the ends of a connection send again what was not acknowledged.

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

/// Time between looks at whether bytes may go on.
const POLL: Duration = Duration::from_millis(2);
/// Time for a connection to the relay itself to open, on loopback.
const OWN_CONNECT: Duration = Duration::from_millis(100);
/// Connections that wait to be accepted, at most.
const BACKLOG: i32 = 128;
/// Bytes carried at once.
const PIECE: usize = 16 * 1024;

/// Relay of connections to one address; dropping it ends it.
pub struct TcpRelay {
    /// Address that is connected to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    listener: TcpListener,
    target: SocketAddr,
    /// Connections opened so far.
    opened: AtomicU64,
    /// Connections before this one are silent for good.
    silent_before: AtomicU64,
    cut: AtomicBool,
    /// Whether a connection was accepted during a cut and no other one will be.
    holding: AtomicBool,
    stop: AtomicBool,
    /// Connections that fill the listener's queue while the relay is cut.
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
            opened: AtomicU64::new(0),
            silent_before: AtomicU64::new(0),
            cut: AtomicBool::new(false),
            holding: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            fillers: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&accepting));
        Ok(Self { address, shared })
    }

    /// Loses track of the connections that are open now: nothing passes on them any more.
    pub fn blackhole_connections(&self) {
        let opened = self.shared.opened.load(Ordering::SeqCst);
        self.shared.silent_before.store(opened, Ordering::SeqCst);
    }

    /// Returns the number of connections opened so far.
    pub fn connection_count(&self) -> u64 {
        self.shared.opened.load(Ordering::SeqCst)
    }

    /// Holds back all bytes and leaves new connections unanswered, or lets both pass.
    ///
    /// # Errors
    /// Fails where the listener's queue can't be changed.
    pub fn set_blocked(&self, cut: bool) -> io::Result<()> {
        let mut fillers = self.shared.fillers.lock().unwrap_or_else(PoisonError::into_inner);
        self.shared.cut.store(cut, Ordering::SeqCst);
        fillers.clear();
        if !cut {
            return Ok(listen(&self.shared.listener, BACKLOG)?);
        }
        // With its queue full, the listener drops what would open a connection.
        listen(&self.shared.listener, 0)?;
        let connect = || TcpStream::connect_timeout(&self.address, OWN_CONNECT);
        while !self.shared.holding.load(Ordering::SeqCst) {
            fillers.extend(connect().ok());
            thread::sleep(POLL);
        }
        fillers.extend(iter::from_fn(|| connect().ok()));
        Ok(())
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Ends the wait for a connection.
        let _ = TcpStream::connect_timeout(&self.address, OWN_CONNECT);
    }
}

impl Shared {
    /// Waits until bytes of a connection may go on; returns whether they ever may.
    fn wait(&self, number: u64) -> bool {
        loop {
            if self.stop.load(Ordering::SeqCst) {
                return false;
            }
            let silent = number < self.silent_before.load(Ordering::SeqCst);
            if !silent && !self.cut.load(Ordering::SeqCst) {
                return true;
            }
            thread::sleep(POLL);
        }
    }
}

fn accept(shared: &Arc<Shared>) {
    while let Ok((near, _)) = shared.listener.accept() {
        let number = shared.opened.load(Ordering::SeqCst);
        // Nothing more is accepted during a cut, so that the queue stays full.
        shared.holding.store(shared.cut.load(Ordering::SeqCst), Ordering::SeqCst);
        if !shared.wait(number) {
            return;
        }
        shared.holding.store(false, Ordering::SeqCst);
        shared.opened.fetch_add(1, Ordering::SeqCst);
        // A connection that breaks is the other end's to open again.
        let _ = relay(shared, number, near);
    }
}

fn relay(shared: &Arc<Shared>, number: u64, near: TcpStream) -> io::Result<()> {
    let far = TcpStream::connect(shared.target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_back, far_back) = (near.try_clone()?, far.try_clone()?);
    let (there, back) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || carry(&there, number, near, far));
    thread::spawn(move || carry(&back, number, far_back, near_back));
    Ok(())
}

/// Carries bytes one way until one of the ends closes.
fn carry(shared: &Shared, number: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut data = [0; PIECE];
    loop {
        let count = from.read(&mut data).unwrap_or(0);
        if !shared.wait(number) {
            return;
        }
        let piece = data.get(..count).unwrap_or_default();
        if piece.is_empty() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(piece).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
