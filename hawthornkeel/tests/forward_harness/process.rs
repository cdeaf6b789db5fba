//! Fake target that is a process: some requests end it as they begin to run, which breaks all its
//! connections. It is back after a while, as another process at the same address.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::forward_harness::targets::FakeTargets;

/// Time from the begin of a run until it ends the process.
const TIME_TO_END: Duration = Duration::from_millis(15);
/// Time for which the target is down after its process has ended.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Body of the requests that end the process.
pub const CRASHING_BODY: &str = "bad";

/// Request that a process began to run.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    pub begun: Instant,
    pub crashing: bool,
}

/// Fake target that is a process; clones share it.
#[derive(Clone)]
pub struct FakeProcess {
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<ProcessRun>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl FakeProcess {
    /// Starts the target that the fakes hold at `at`; its starts are named in the platform's list.
    pub fn start(fakes: &FakeTargets, at: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let process = Self {
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            crashes: Arc::default(),
            connections: Arc::default(),
        };
        fakes.lock().unwrap()[at].address = Some(process.address);
        let (served, fakes) = (process.clone(), FakeTargets::clone(fakes));
        thread::spawn(move || served.serve(listener, &fakes, at));
        process
    }

    /// Returns the requests that it began to run.
    pub fn runs(&self) -> Vec<ProcessRun> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the times at which its processes ended.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    /// Serves one process after the other.
    fn serve(&self, first: TcpListener, fakes: &FakeTargets, at: usize) {
        let mut listener = first;
        for ends in 1.. {
            listener.set_nonblocking(true).unwrap();
            while self.crashes().len() < ends {
                match listener.accept() {
                    Ok((stream, _)) => self.accept(stream, ends),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            self.break_connections();
            fakes.lock().unwrap()[at].born = Some(1_000_000 + ends as u64);
            thread::sleep(DOWN_TIME);
            listener = TcpListener::bind(self.address).unwrap();
        }
    }

    fn accept(&self, stream: TcpStream, ends: usize) {
        stream.set_nonblocking(false).unwrap();
        self.connections.lock().unwrap().push(stream.try_clone().unwrap());
        let process = self.clone();
        thread::spawn(move || process.serve_connection(stream, ends));
    }

    /// Answers the requests on one connection until it ends.
    fn serve_connection(&self, mut stream: TcpStream, ends: usize) {
        while let Some((head, body)) = read_request(&mut stream) {
            let crashing = body == CRASHING_BODY;
            self.runs.lock().unwrap().push(ProcessRun { begun: Instant::now(), crashing });
            if crashing {
                thread::sleep(TIME_TO_END);
                self.end(ends);
                return;
            }
            let id = head.lines().find_map(|l| l.strip_prefix("request-id: ")).unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.1\r\n\
                 Content-Length: 2\r\n\r\nok"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Ends the process that is the `ends`-th one, unless another request has.
    fn end(&self, ends: usize) {
        let mut crashes = self.crashes.lock().unwrap();
        if crashes.len() < ends {
            crashes.push(Instant::now());
            drop(crashes);
            self.break_connections();
        }
    }

    fn break_connections(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        received.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&received).to_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}
