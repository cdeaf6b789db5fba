//! Links between processes of a harness and its targets: relays that tell by which process a
//! connection was opened, and that can cut single processes off.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

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

/// Sockets of the machine as read at one time, and the processes that hold them.
#[derive(Default)]
struct Sockets {
    /// Time at which reading began; `None` before the first time.
    read_at: Option<Instant>,
    /// The kernel's table of TCP sockets.
    table: String,
    /// Processes by the inodes of their sockets.
    holders: IndexMap<String, u32>,
}

impl Sockets {
    fn read(processes: &[u32]) -> Self {
        let read_at = Some(Instant::now());
        let table = fs::read_to_string("/proc/net/tcp").unwrap();
        let held = |process: &u32| {
            let process = *process;
            socket_inodes(process).into_iter().map(move |inode| (inode, process))
        };
        let holders = processes.iter().flat_map(held).collect();
        Self { read_at, table, holders }
    }

    /// Returns the process that opened a connection.
    ///
    /// Both ends are compared: other connections, closed ones too, may have the same local port.
    fn owner(&self, from: SocketAddr, to: SocketAddr) -> Option<u32> {
        let ends = format!(" 0100007F:{:04X} 0100007F:{:04X} ", from.port(), to.port());
        let line = &self.table[self.table.find(&ends)?..];
        // The inode follows both ends and six other columns.
        self.holders.get(line.split_whitespace().nth(8)?).copied()
    }
}

/// Processes that are cut off from the targets of the relays; clones share them.
#[derive(Clone, Default)]
pub struct Links {
    cut: Arc<Mutex<Vec<(u32, Cut)>>>,
    /// Number of times that all open connections were closed.
    closed: Arc<AtomicU32>,
    sockets: Arc<Mutex<Sockets>>,
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
            let (links, processes) = (self.clone(), processes.to_vec());
            thread::spawn(move || links.relay(client, from, target, &processes));
        }
    }

    /// Returns the process that opened a connection, which the relay has accepted at `to`.
    ///
    /// Connections that were accepted while the sockets were read share the next reading, so that
    /// none is closed much later than it was opened.
    fn owner(&self, from: SocketAddr, to: SocketAddr, processes: &[u32]) -> Option<u32> {
        let accepted = Instant::now();
        let mut sockets = self.sockets.lock().unwrap();
        if sockets.read_at.is_none_or(|at| at < accepted) {
            *sockets = Sockets::read(processes);
        }
        sockets.owner(from, to)
    }

    fn relay(&self, client: TcpStream, from: SocketAddr, target: SocketAddr, processes: &[u32]) {
        let Ok(to) = client.local_addr() else { return };
        let owner = self.owner(from, to, processes);
        if self.cut_of(owner).is_some() {
            return;
        }
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

/// Returns the inodes of the sockets that a process holds; none if it has ended.
fn socket_inodes(process: u32) -> Vec<String> {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return Vec::new() };
    let links = descriptors.flatten().filter_map(|d| fs::read_link(d.path()).ok());
    let inode = |link: PathBuf| {
        let link = link.to_string_lossy();
        Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
    };
    links.filter_map(inode).collect()
}
