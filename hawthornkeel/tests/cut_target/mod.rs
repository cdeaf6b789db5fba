//! Target that closes its connections within an answer.

#![allow(dead_code, clippy::unwrap_used)]

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

/// How a target closes a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
    /// By an orderly end.
    End,
    /// By a reset.
    Reset,
}

/// Request that a target received.
#[derive(Clone, Debug)]
pub struct Received {
    pub path: String,
    pub id: String,
    pub body: String,
}

/// What a target writes.
#[derive(Clone, Debug)]
pub struct Answer {
    pub bytes: Vec<u8>,
    /// How the connection is closed behind the bytes; it is kept open if `None`.
    pub close: Option<Close>,
}

/// Target whose answers a test chooses; it accepts no more connections once it is dropped.
pub struct CutTarget {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    seen: Arc<Mutex<HashMap<String, usize>>>,
}

impl Drop for CutTarget {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }
}

impl CutTarget {
    /// Starts a target; `answer` gets each request and the number of earlier ones with its path and
    /// body, but for the time that pieces of stages are given.
    pub fn start(answer: impl Fn(&Received, usize) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::<Mutex<HashMap<String, usize>>>::default();
        let stopped = Arc::<AtomicBool>::default();
        let (counts, answer) = (Arc::clone(&seen), Arc::new(answer));
        let is_stopped = Arc::clone(&stopped);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (counts, answer) = (Arc::clone(&counts), Arc::clone(&answer));
                thread::spawn(move || serve(stream, &counts, &*answer));
            }
        });
        Self { address, stopped, seen }
    }

    /// Returns how many requests with a text in their path or body were received.
    pub fn received(&self, text: &str) -> usize {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|(key, _)| key.contains(text)).map(|(_, count)| count).sum()
    }
}

fn serve(
    stream: TcpStream,
    counts: &Mutex<HashMap<String, usize>>,
    answer: &(dyn Fn(&Received, usize) -> Answer + Send + Sync),
) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let earlier = count(counts, &request);
        let answer = answer(&request, earlier);
        let stream = reader.get_mut();
        if stream.write_all(&answer.bytes).is_err() {
            return;
        }
        match answer.close {
            Some(Close::Reset) => {
                let _ = set_socket_linger(&*stream, Some(Duration::ZERO));
                return;
            }
            Some(Close::End) => return,
            None => {}
        }
    }
}

/// Counts a request and returns the number of earlier ones.
fn count(counts: &Mutex<HashMap<String, usize>>, request: &Received) -> usize {
    let is_time = |field: &&str| field.starts_with("\"remaining_ms\"");
    let body: Vec<&str> = request.body.split(',').filter(|f| !is_time(f)).collect();
    let mut counts = counts.lock().unwrap();
    let count = counts.entry(format!("{} {}", request.path, body.join(","))).or_default();
    *count += 1;
    *count - 1
}

/// Reads a request whose body, if any, has a length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let path = line.split(' ').nth(1)?.to_owned();
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).ok()?;
        let Some((name, value)) = field.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "request-id" | "x-request-id" => id = value.to_owned(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { path, id, body: String::from_utf8_lossy(&body).into_owned() })
}
