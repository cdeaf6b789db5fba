//! Response of a target, whose body is read on demand, whole or in chunks.

use std::mem;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_core::time::Instant as BootInstant;
use http::HeaderMap;
use http::StatusCode;
use monoio::time::timeout;

use crate::forward::body_blocks::BodyBlocks;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::HttpClient;
use crate::forward::http_client::time_left;
use crate::forward::response_memory::Lease;
use crate::forward::target_connection::Connection;
use crate::http::framing::BodyReader;
use crate::http::framing::ReadError;
use crate::http::response_bound::ResponseBound;

/// Maximum size of a response body, read whole or as a stream.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;

/// Response of a target whose body is read on demand.
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whether the request was sent before, on a kept connection that broke: that may have run,
    /// whatever this response states.
    pub resent: bool,
    pub(super) address: SocketAddr,
    pub(super) connection: Connection,
    pub(super) body: Body,
    pub(super) reusable: bool,
    pub(super) client: HttpClient,
    /// Memory held by what was received and not passed on.
    pub(super) lease: Lease,
    /// Time at which the head was received.
    pub received: Instant,
    /// Body, or why there is none, if it was read before the response was chosen.
    pub(super) whole: Option<Result<Vec<Bytes>, ExchangeError>>,
    /// First chunk of the body, if it was awaited before the response was chosen.
    pub(super) first_chunk: Option<Bytes>,
}

/// Body of a response, and how its end is told.
pub(super) enum Body {
    /// Told by its framing.
    Framed(BodyReader),
    /// Delimited by the end of the connection; holds the number of bytes received so far.
    UntilClose(usize),
    /// Read to its end, or absent.
    Done,
}

impl TargetResponse {
    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    /// Returns `TimedOut` if nothing arrives before `deadline`, or another error if the body is
    /// truncated.
    pub async fn chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, ExchangeError> {
        if let Some(first) = self.first_chunk.take() {
            return Ok(Some(first));
        }
        if self.is_complete() {
            return Ok(None);
        }
        // A timeout does not expire while each poll finds more data.
        if Instant::now() >= deadline {
            return Err(ExchangeError::TimedOut);
        }
        let chunk = timeout(time_left(deadline), self.next());
        let chunk = chunk.await.map_err(|_| ExchangeError::TimedOut)?;
        self.connection.record_heard();
        chunk.inspect_err(|e| self.connection.record_exceeded(e))
    }

    /// Waits until the body has begun or ended; what was read is returned by the next read.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::held_chunk`].
    pub(super) async fn await_body(&mut self, deadline: Instant) -> Result<(), ExchangeError> {
        if self.first_chunk.is_none() {
            self.first_chunk = self.held_chunk(deadline).await?;
        }
        Ok(())
    }

    /// Returns the error of a response whose content exceeds `bound`.
    pub fn exceeded(&self, bound: ResponseBound) -> ExchangeError {
        let error = ExchangeError::Exceeded(bound);
        self.connection.record_exceeded(&error);
        error
    }

    /// Returns the rest of the body, which holds its memory until it is dropped.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::held_chunk`] and [`TargetResponse::hold`].
    pub async fn read_to_end(&mut self, deadline: Instant) -> Result<Bytes, ExchangeError> {
        let body = self.read_held(deadline).await?;
        Ok(self.take_lease().attach(body.join()))
    }

    /// Returns the rest of the body in blocks, which hold its memory until all are dropped.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::read_to_end`].
    pub async fn read_blocks(&mut self, deadline: Instant) -> Result<Vec<Bytes>, ExchangeError> {
        if let Some(whole) = self.whole.take() {
            return whole;
        }
        let mut blocks = self.read_held(deadline).await?.into_blocks();
        if let Some(last) = blocks.pop() {
            blocks.push(self.take_lease().attach(last));
        }
        Ok(blocks)
    }

    /// Reads the body to its end, for [`TargetResponse::read_blocks`] to return.
    pub(super) async fn read_ahead(&mut self, deadline: Instant) {
        let whole = self.read_blocks(deadline).await;
        self.whole = Some(whole);
    }

    async fn read_held(&mut self, deadline: Instant) -> Result<BodyBlocks, ExchangeError> {
        let mut body = BodyBlocks::default();
        while let Some(chunk) = self.held_chunk(deadline).await? {
            self.hold(body.len().saturating_add(chunk.len())).await?;
            body.append(&chunk);
        }
        Ok(body)
    }

    fn take_lease(&mut self) -> Lease {
        let empty = self.client.memory.lease(false);
        mem::replace(&mut self.lease, empty)
    }

    /// Returns the next chunk as [`TargetResponse::chunk`] does, unless the exchange is given up.
    ///
    /// # Errors
    /// Returns the errors of [`TargetResponse::chunk`], and `Exceeded` if it is given up.
    pub async fn held_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, ExchangeError> {
        let given_up = self.lease.given_up();
        monoio::select! {
            biased;
            () = given_up => Err(self.exceeded(ResponseBound::Memory)),
            chunk = self.chunk(deadline) => chunk,
        }
    }

    /// Holds memory for `bytes` that were received and are not passed on; waits for a bounded time
    /// if there is no room.
    ///
    /// # Errors
    /// Returns `Exceeded` if this exchange is given up as there is none.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        let held = self.lease.hold(bytes).await;
        held.map_err(|_| self.exceeded(ResponseBound::Memory))
    }

    /// Returns the memory beyond that of `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        self.lease.shrink(bytes);
    }

    /// Returns the time at which the connection was opened.
    pub fn opened(&self) -> BootInstant {
        self.connection.opened
    }

    /// Ends the exchange; the connection is kept for reuse if the response was read to its end.
    pub fn finish(self) {
        if self.is_complete() && self.reusable {
            self.client.checkin(self.address, self.connection, &self.headers);
        }
    }

    /// Returns whether the body was read to an end that its framing tells.
    fn is_complete(&self) -> bool {
        match &self.body {
            _ if self.first_chunk.is_some() => false,
            Body::Done => true,
            Body::Framed(body) => body.is_done(),
            Body::UntilClose(_) => false,
        }
    }

    /// Returns whether only the end of the connection ends the body.
    pub fn ends_by_close(&self) -> bool {
        matches!(self.body, Body::UntilClose(_))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let reader = &mut self.connection.reader;
        match &mut self.body {
            Body::Done => Ok(None),
            Body::Framed(body) => body.next(reader).await.map_err(ExchangeError::from),
            Body::UntilClose(received) => {
                reader.pause_if_busy().await;
                if reader.buffered() == 0 && reader.fill(0).await.map_err(ExchangeError::from)? == 0
                {
                    self.body = Body::Done;
                    return Ok(None);
                }
                let chunk = reader.buffer().split().freeze();
                *received = received.saturating_add(chunk.len());
                if *received > MAX_BODY_BYTES {
                    return Err(ReadError::BodyTooLarge.into());
                }
                Ok(Some(chunk))
            }
        }
    }
}
