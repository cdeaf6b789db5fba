//! Reading half of a connection with a bounded buffer.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::mem;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use monoio::io::AsyncReadRent;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;

/// Minimum size of a read, in bytes.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Maximum size of a read, in bytes.
///
/// With what a chunk size may leave in the buffer, it fits into 64 KiB.
const MAX_READ_BYTES: usize = 63 * 1024;

/// Time after which reading from a connection that always has bytes is interrupted.
///
/// A time rather than a size, as small chunks take far more work than their bytes suggest.
const MAX_BURST: Duration = Duration::from_millis(2);

/// Pause after such a burst.
///
/// The runtime handles timers and sockets only once no task is ready, so yielding is not enough.
const BURST_PAUSE: Duration = Duration::from_millis(1);

/// Reading half of a connection.
///
/// The buffer grows only in [`Reader::fill`], so users bound it by not calling it any more once the
/// buffer has reached their limit.
pub struct Reader {
    half: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    scratch: Vec<u8>,
    /// Time of the first read since the connection last had no bytes.
    burst_start: Option<Instant>,
    /// Number of bytes read in all.
    received: usize,
}

impl Reader {
    /// Creates a reader on `half`.
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half, buffer: BytesMut::new(), scratch: Vec::new(), burst_start: None, received: 0 }
    }

    /// Returns the received bytes that are not consumed yet.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns the number of received bytes that are not consumed yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the number of bytes read in all.
    pub fn received(&self) -> usize {
        self.received
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
        let start = &mut self.burst_start;
        let mut read = pin!(self.half.read(scratch));
        let (result, scratch) = poll_fn(|cx| {
            let polled = read.as_mut().poll(cx);
            if polled.is_pending() {
                *start = None;
            }
            polled
        })
        .await;
        let count = result?;
        self.burst_start = self.burst_start.or_else(|| Some(Instant::now()));
        self.received = self.received.wrapping_add(count);
        self.buffer.extend_from_slice(scratch.get(..count).unwrap_or_default());
        // Large scratch buffers are freed, as thousands of connections may be idle.
        if scratch.capacity() <= MIN_READ_BYTES {
            self.scratch = scratch;
        }
        Ok(count)
    }

    /// Lets other tasks run if a sender that is never waited for has kept this one busy.
    pub async fn pause_if_busy(&mut self) {
        if self.burst_start.is_some_and(|s| s.elapsed() >= MAX_BURST) {
            self.burst_start = None;
            monoio::time::sleep(BURST_PAUSE).await;
        }
    }
}
