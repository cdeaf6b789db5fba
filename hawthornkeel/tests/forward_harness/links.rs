//! Links between processes of a harness and its targets: relays that tell by which process a
//! connection was opened, and that can cut single processes off.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::forward_harness::Harness;
use crate::forward_harness::TARGETS;

/// Interval at which open connections are compared with what is cut off.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What happens to the open connections of a process that is cut off; new ones are closed at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// They carry nothing any more.
    Silent,
    /// They are closed.
    Closed,
    /// They live on.
    Kept,
}

/// Both ends of a connection: the one that opened it, and the relay's.
#[derive(Clone, Copy, Debug)]
struct Endpoints {
    from: SocketAddr,
    to: SocketAddr,
}

/// Processes that are cut off from the targets of the relays; clones share them.
#[derive(Clone, Default)]
pub struct Links {
    cut: Arc<Mutex<Vec<(u32, Cut)>>>,
    /// Number of times that all open connections were closed.
    closed: Arc<AtomicU32>,
}

impl Links {
    /// Places a relay in front of each target, and waits until the entries use them.
    pub fn start(harness: &Harness) -> Self {
        let links = Self::default();
        let processes: Vec<u32> =
            (0..harness.process_count()).filter_map(|at| harness.process_id(at)).collect();
        for (target, name) in harness.targets().into_iter().zip(TARGETS) {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let (links, processes) = (links.clone(), processes.clone());
            thread::spawn(move || links.serve(&listener, target, &processes));
            harness.set_target(name, |t| t.address = Some(address));
        }
        // The list is read every 100 ms.
        thread::sleep(Duration::from_millis(600));
        links
    }

    /// Cuts a process off from all targets.
    pub fn cut(&self, process: u32, cut: Cut) {
        self.cut.lock().unwrap().push((process, cut));
    }

    /// Closes all open connections; new ones are accepted.
    pub fn close_open(&self) {
        self.closed.fetch_add(1, Ordering::SeqCst);
    }

    /// Restores all links.
    pub fn restore(&self) {
        self.cut.lock().unwrap().clear();
    }

    fn cut_of(&self, process: Option<u32>) -> Option<Cut> {
        let cut = self.cut.lock().unwrap();
        cut.iter().find(|(p, _)| Some(*p) == process).map(|(_, cut)| *cut)
    }

    fn serve(&self, listener: &TcpListener, target: SocketAddr, processes: &[u32]) {
        while let Ok((client, from)) = listener.accept() {
            let Ok(to) = client.local_addr() else { continue };
            let end = Endpoints { from, to };
            if self.cut.lock().unwrap().iter().any(|(process, _)| owns(*process, end)) {
                continue;
            }
            let (links, processes) = (self.clone(), processes.to_vec());
            thread::spawn(move || links.relay(client, end, target, &processes));
        }
    }

    fn relay(&self, client: TcpStream, end: Endpoints, target: SocketAddr, processes: &[u32]) {
        let owner = processes.iter().copied().find(|p| owns(*p, end));
        let Ok(server) = TcpStream::connect(target) else { return };
        for (from, to) in [(&client, &server), (&server, &client)] {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let links = self.clone();
            thread::spawn(move || links.forward(owner, from, to));
        }
    }

    /// Forwards bytes in one direction until either end closes or the owner is cut off.
    fn forward(&self, owner: Option<u32>, mut from: TcpStream, mut to: TcpStream) {
        let mut data = [0; 16 * 1024];
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let _ = to.set_nodelay(true);
        let mut silent = false;
        let opened = self.closed.load(Ordering::SeqCst);
        while self.closed.load(Ordering::SeqCst) == opened {
            match self.cut_of(owner) {
                Some(Cut::Closed) => break,
                Some(Cut::Silent) => silent = true,
                Some(Cut::Kept) | None => {}
            }
            match from.read(&mut data) {
                Ok(0) => break,
                Ok(_) if silent => {}
                Ok(count) if to.write_all(&data[..count]).is_ok() => {}
                Ok(_) => break,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

/// Returns whether a process holds the socket at the `from` end of a connection.
///
/// Both ends are compared: other connections, closed ones too, may have the same local port.
fn owns(process: u32, connection: Endpoints) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let (local, remote) = (table_address(connection.from), table_address(connection.to));
    let inode = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_meant =
            fields.get(1) == Some(&local.as_str()) && fields.get(2) == Some(&remote.as_str());
        is_meant.then(|| fields.get(9).copied()).flatten()
    });
    let Some(socket) = inode.map(|i| format!("socket:[{i}]")) else { return false };
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    descriptors.flatten().any(|d| {
        fs::read_link(d.path()).is_ok_and(|link| link.to_string_lossy() == socket.as_str())
    })
}

/// Returns a loopback address as the kernel's table of sockets shows it.
fn table_address(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}
