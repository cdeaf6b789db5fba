//! Reading half of a connection with a bounded buffer.

use std::io;
use std::mem;

use bytes::BytesMut;
use monoio::io::AsyncReadRent;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;

/// Minimum size of a read, in bytes.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Maximum size of a read, in bytes.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Reading half of a connection.
///
/// The buffer grows only in [`Reader::fill`], so users bound it by not calling it any more once the
/// buffer has reached their limit.
pub struct Reader {
    half: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    scratch: Vec<u8>,
}

impl Reader {
    /// Creates a reader on `half`.
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half, buffer: BytesMut::new(), scratch: Vec::new() }
    }

    /// Returns the received bytes that are not consumed yet.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns the number of received bytes that are not consumed yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Reads once, requesting about `wanted` bytes, and returns the number read; zero at the end.
    ///
    /// Cancel-safe: it reads into a separate buffer, and the epoll driver reads only when polled.
    ///
    /// # Errors
    /// Fails where the connection fails.
    pub async fn fill(&mut self, wanted: usize) -> io::Result<usize> {
        let wanted = wanted.clamp(MIN_READ_BYTES, MAX_READ_BYTES);
        let mut scratch = mem::take(&mut self.scratch);
        scratch.clear();
        if scratch.capacity() < wanted {
            scratch = Vec::with_capacity(wanted);
        }
        let (result, scratch) = self.half.read(scratch).await;
        let count = result?;
        self.buffer.extend_from_slice(scratch.get(..count).unwrap_or_default());
        // Large scratch buffers are freed, as thousands of connections may be idle.
        if scratch.capacity() <= MIN_READ_BYTES {
            self.scratch = scratch;
        }
        Ok(count)
    }
}
