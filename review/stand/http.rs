//! HTTP/1.1 over blocking sockets: a server for runners and the platform, a client for consumers and
//! operators.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// A response as received; `complete` tells whether its framing ended.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
}

/// A connection with what was read and not used yet.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// The last answer on this channel, for a runner that repeats it.
    pub last_answer: Option<(String, Vec<u8>)>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), last_answer: None }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the channel ends before one is complete.
    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let pairs = lines.filter_map(|l| l.split_once(':'));
                let headers = pairs.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a request; `None` at the end of the channel.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let length = find(&headers, "content-length").parse().unwrap_or(0);
        let Some(body) = self.take(length)? else { return Ok(None) };
        Ok(Some(Request { method, path, headers, body }))
    }

    /// Reads a response to its end, or as far as it comes.
    pub fn response(&mut self) -> io::Result<Response> {
        let Some((first, headers)) = self.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let mut response = Response { status, headers, ..Response::default() };
        if response.header("transfer-encoding") == "chunked" {
            loop {
                let Some(size) = self.line()? else { return Ok(response) };
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                let Some(part) = self.take(size + 2)? else { return Ok(response) };
                if size == 0 {
                    response.complete = true;
                    return Ok(response);
                }
                response.body.extend_from_slice(&part[..size]);
            }
        }
        let length = response.header("content-length").parse().unwrap_or(0);
        if let Some(body) = self.take(length)? {
            response.body = body;
            response.complete = true;
        }
        Ok(response)
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.write_all(data)
    }
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Handles one request on a channel; returns whether the channel is kept.
pub type Handler = Arc<dyn Fn(&mut Channel, Request) -> io::Result<bool> + Send + Sync>;

/// Serves `address` on threads of its own until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut channel = Channel::new(stream);
                while let Ok(Some(request)) = channel.request() {
                    if !handler(&mut channel, request).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Sends one request on a new channel and reads the response, for at most `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut channel = Channel::new(stream);
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        out.push_str(&format!("Host: {address}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    channel.send(&out)?;
    channel.response()
}
