//! Connection to a target: one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use hawthornkeel_core::time::Instant as BootInstant;
use monoio::io::AsyncWriteRent;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::common::response::ResponseHead;

use crate::clock::boot_now;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::link_watch::AwaitedAnswer;
use crate::http::framing;
use crate::http::framing::ReadError;
use crate::http::reader::Reader;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of informational (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 4;
/// Timeout for opening a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time to wait for an early response after writing the request failed.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Connection to a target.
pub(super) struct Connection {
    pub(super) reader: Reader,
    write: OwnedWriteHalf<TcpStream>,
    pub(super) reused: bool,
    pub(super) address: SocketAddr,
    /// Time at which it was opened, on the clock that runs while the machine is suspended.
    pub(super) opened: BootInstant,
    /// Start of the current exchange.
    started: Instant,
    /// Number of bytes received before the current exchange.
    received_before: usize,
    /// Answer of the current exchange.
    pub(super) awaited: Option<AwaitedAnswer>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns `NotSent` if there is none in time.
    pub(super) async fn open(
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Self, ExchangeError> {
        let not_sent = |cause: String| ExchangeError::NotSent(cause);
        let opened = boot_now();
        let connect =
            timeout(CONNECT_TIMEOUT.min(time_limit), TcpStream::connect_addr(address)).await;
        let stream = connect.map_err(|_| not_sent("connect timed out".to_owned()))?;
        let stream = stream.map_err(|e| not_sent(e.to_string()))?;
        // Requests are written in one go, so Nagle's algorithm would only add delay.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Ok(Self {
            reader: Reader::new(read),
            write,
            reused: false,
            address,
            opened,
            started: Instant::now(),
            received_before: 0,
            awaited: None,
        })
    }

    /// Returns whether the peer has neither sent data nor closed since the last exchange.
    pub(super) async fn is_quiet(&mut self) -> bool {
        if self.reader.buffered() > 0 {
            return false;
        }
        let mut fill = pin!(self.reader.fill(0));
        std::future::poll_fn(|cx| std::task::Poll::Ready(fill.as_mut().poll(cx).is_pending())).await
    }

    /// Returns whether something was received before the current exchange; not so on a connection that
    /// a probe has opened.
    pub(super) fn had_response(&self) -> bool {
        self.received_before > 0
    }

    /// Records that something was received.
    pub(super) fn record_heard(&self) {
        if let Some(awaited) = &self.awaited {
            awaited.record_heard();
        }
    }

    /// Logs and counts an exchange that is closed because its response exceeds a bound.
    pub(super) fn record_exceeded(&self, error: &ExchangeError) {
        if let ExchangeError::Exceeded(bound) = error {
            let bytes = self.reader.received().wrapping_sub(self.received_before);
            bound.record(self.address, bytes, self.started.elapsed());
        }
    }

    /// Writes a request and reads the response head, which may arrive before all is written.
    ///
    /// Returns as well whether the whole request was written.
    pub(super) async fn send(
        &mut self,
        data: &Bytes,
    ) -> Result<(ResponseHead, bool), ExchangeError> {
        self.started = Instant::now();
        self.received_before = self.reader.received();
        let Self { reader, write, .. } = self;
        let mut head = pin!(read_head(reader));
        let written = {
            let mut writing = pin!(write_all(write, data.clone()));
            monoio::select! {
                written = &mut writing => Some(written),
                early = &mut head => {
                    return early.map(|h| (h, false)).map_err(ExchangeError::from);
                }
            }
        };
        if let Some(Err(_)) = written {
            let early = timeout(EARLY_RESPONSE_TIMEOUT, head).await;
            let error =
                ExchangeError::Interrupted("connection failed while the request was being written");
            return early.ok().and_then(Result::ok).map(|h| (h, false)).ok_or(error);
        }
        head.await.map(|h| (h, true)).map_err(ExchangeError::from)
    }
}

async fn read_head(reader: &mut Reader) -> Result<ResponseHead, ReadError> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = framing::read_response_head(reader, MAX_HEAD_BYTES).await?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(ReadError::TooManyInterim)
}

async fn write_all(write: &mut OwnedWriteHalf<TcpStream>, mut data: Bytes) -> io::Result<()> {
    while data.has_remaining() {
        let (result, _) = write.write(data.clone()).await;
        match result? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => data.advance(count.min(data.len())),
        }
    }
    Ok(())
}
