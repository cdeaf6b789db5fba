//! Reading side of a connection with its own bounded buffer.

use std::io;
use std::mem;

use bytes::BytesMut;
use monoio::io::AsyncReadRent;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;

/// Bytes that one read asks for, at least.
const READ_MIN: usize = 4 * 1024;

/// Bytes that one read asks for, at most.
const READ_MAX: usize = 64 * 1024;

/// Reading side of a connection.
///
/// The buffer grows only by what [`Reader::fill`] reads, so callers bound it by asking for no more
/// once it holds what they allow.
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

    /// Returns the bytes received and not yet used.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns the number of bytes received and not yet used.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Reads once, asking for about `wanted` bytes, and returns how many came; zero at the end.
    ///
    /// Dropping the future loses no byte: the read goes into a buffer of its own, and epoll reads
    /// only when polled.
    ///
    /// # Errors
    /// Fails where the connection does.
    pub async fn fill(&mut self, wanted: usize) -> io::Result<usize> {
        let wanted = wanted.clamp(READ_MIN, READ_MAX);
        let mut scratch = mem::take(&mut self.scratch);
        scratch.clear();
        if scratch.capacity() < wanted {
            scratch = Vec::with_capacity(wanted);
        }
        let (result, scratch) = self.half.read(scratch).await;
        let count = result?;
        self.buffer.extend_from_slice(scratch.get(..count).unwrap_or_default());
        // A large scratch buffer isn't kept: thousands of connections may be idle.
        if scratch.capacity() <= READ_MIN {
            self.scratch = scratch;
        }
        Ok(count)
    }
}
