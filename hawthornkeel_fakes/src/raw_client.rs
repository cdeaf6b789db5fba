//! Blocking client that sends arbitrary bytes, for tests of malformed HTTP.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Time after which a read or write fails.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// Client over a blocking socket.
pub struct RawClient {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// HTTP response as text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawResponse {
    /// Status code.
    pub status: u16,
    /// Status line and header fields in lower case.
    pub head: String,
    /// Body.
    pub body: String,
}

impl RawClient {
    /// Connects to `address`.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Sends `data`.
    pub fn send(&mut self, data: impl AsRef<[u8]>) -> io::Result<()> {
        self.stream.write_all(data.as_ref())
    }

    /// Shuts down the write side.
    pub fn shutdown_write(&mut self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Reads one response whose body has a content length.
    pub fn read_response(&mut self) -> io::Result<RawResponse> {
        let head = self.read_until("\r\n\r\n")?.to_ascii_lowercase();
        let length = field(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        let body = self.buffer.drain(..length).collect();
        let status = head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = String::from_utf8(body).map_err(io::Error::other)?;
        Ok(RawResponse { status, head, body })
    }

    /// Reads up to and including `end`.
    pub fn read_until(&mut self, end: &str) -> io::Result<String> {
        loop {
            let found = self.buffer.windows(end.len()).position(|w| w == end.as_bytes());
            if let Some(start) = found {
                let text = self.buffer.drain(..start + end.len()).collect();
                return String::from_utf8(text).map_err(io::Error::other);
            }
            self.fill()?;
        }
    }

    /// Reads until the connection is closed or reset.
    pub fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        loop {
            match self.fill() {
                Ok(()) => {}
                Err(error) if is_close(&error) => return Ok(std::mem::take(&mut self.buffer)),
                Err(error) => return Err(error),
            }
        }
    }

    /// Tells whether a read would return now, without blocking.
    pub fn is_readable(&mut self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        match peeked {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(!self.buffer.is_empty()),
            Err(error) => Err(error),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut data = [0; 16 * 1024];
        match self.stream.read(&mut data)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&data[..count]);
                Ok(())
            }
        }
    }
}

/// Tells whether `error` means that the peer closed or reset the connection.
pub fn is_close(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
    )
}

/// Returns the value of header field `name` in a lower-case head.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}
