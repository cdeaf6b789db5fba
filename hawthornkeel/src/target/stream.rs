//! Stream of tokens from an engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::http::response_bound::ResponseBound;
use crate::target::client::Client;
use crate::target::client::PendingResponse;
use crate::target::error::CallError;
use crate::target::sse::CompletionEvent;
use crate::target::sse::Parser;

/// Event of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Generated text.
    Token {
        /// Offset of the text, in bytes of generated text.
        offset: u64,
        /// Text.
        text: String,
    },
    /// The response is complete.
    End,
}

/// Stream of tokens; dropping it before its end closes the connection, which cancels the call.
pub struct TokenStream {
    client: Client,
    address: SocketAddr,
    response: Option<PendingResponse>,
    parser: Parser,
    offset: u64,
    lost_time: Duration,
    done: bool,
    /// Error found by [`TokenStream::try_next`], returned by the next call of
    /// [`TokenStream::next`].
    pending_error: Option<CallError>,
}

impl TokenStream {
    pub(crate) fn new(
        client: Client,
        address: SocketAddr,
        open: PendingResponse,
        offset: u64,
    ) -> Self {
        let parser = Parser::default();
        let lost_time = open.lost_time;
        Self {
            client,
            address,
            response: Some(open),
            parser,
            offset,
            lost_time,
            done: false,
            pending_error: None,
        }
    }

    /// Returns the length of the generated text received so far, in bytes.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the time spent on a reused connection that failed before the call was sent on a new
    /// one.
    pub fn lost_time(&self) -> Duration {
        self.lost_time
    }

    /// Returns the next event.
    ///
    /// This method is cancel safe: dropping the future loses no event.
    ///
    /// # Errors
    /// Returns a [`CallError`] if the response breaks off. The text received so far is valid, and a
    /// new call can resume from [`TokenStream::offset`].
    pub async fn next(&mut self) -> Result<Event, CallError> {
        let next = self.advance().await;
        if next.is_err() {
            if let Some(open) = self.response.as_ref().filter(|_| self.parser.is_too_large()) {
                open.connection.record_exceeded(ResponseBound::Event);
            }
            // The connection can't be reused after a failed exchange.
            self.response = None;
        }
        next
    }

    /// Returns the next token if it has been received already, without waiting.
    ///
    /// The end of the stream and errors are reported by [`TokenStream::next`] only.
    pub fn try_next(&mut self) -> Option<Event> {
        match self.parse() {
            Ok(event) => event,
            Err(error) => {
                self.pending_error = Some(error);
                None
            }
        }
    }

    async fn advance(&mut self) -> Result<Event, CallError> {
        if let Some(error) = self.pending_error.take() {
            return Err(error);
        }
        loop {
            if let Some(event) = self.parse()? {
                return Ok(event);
            }
            let Some(open) = &mut self.response else {
                return if self.done { Ok(Event::End) } else { Err(CallError::Truncated) };
            };
            let PendingResponse { connection, head, timeouts, .. } = open;
            match connection.next_chunk(&mut head.body, timeouts).await? {
                Some(chunk) => self.feed(&chunk)?,
                None => self.finish()?,
            }
        }
    }

    /// Returns the next token in the bytes received so far.
    fn parse(&mut self) -> Result<Option<Event>, CallError> {
        while !self.done {
            match self.parser.next()? {
                Some(CompletionEvent::Text(text)) => return Ok(Some(self.token(text))),
                Some(CompletionEvent::Done) => self.done = true,
                None => match self.take_buffered()? {
                    Some(chunk) => self.feed(&chunk)?,
                    None => break,
                },
            }
        }
        Ok(None)
    }

    /// Takes a chunk of the body that is already buffered.
    fn take_buffered(&mut self) -> Result<Option<Bytes>, CallError> {
        let Some(open) = &mut self.response else { return Ok(None) };
        open.connection.take_buffered(&mut open.head.body)
    }

    fn feed(&mut self, chunk: &Bytes) -> Result<(), CallError> {
        if self.done && !chunk.trim_ascii().is_empty() {
            return Err(CallError::Malformed("bytes after the end of the stream"));
        }
        self.parser.feed(chunk);
        Ok(())
    }

    fn token(&mut self, text: String) -> Event {
        let offset = self.offset;
        self.offset = offset.saturating_add(u64::try_from(text.len()).unwrap_or(u64::MAX));
        Event::Token { offset, text }
    }

    /// Ends the exchange at the end of its body.
    fn finish(&mut self) -> Result<(), CallError> {
        if !self.done {
            return Err(CallError::Truncated);
        }
        if !self.parser.is_empty() {
            return Err(CallError::Malformed("bytes after the end of the stream"));
        }
        if let Some(open) = self.response.take() {
            self.client.release(self.address, open);
        }
        Ok(())
    }
}
