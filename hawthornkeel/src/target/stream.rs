//! Stream of tokens from an engine.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::target::client::Client;
use crate::target::client::PendingResponse;
use crate::target::error::CallError;
use crate::target::sse::Parsed;
use crate::target::sse::Parser;

/// What a stream brings next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Piece of generated text.
    Token {
        /// Bytes of generated text before this piece.
        offset: u64,
        /// Text.
        text: String,
    },
    /// The answer is whole.
    End,
}

/// Stream of tokens; dropping it before its end closes the connection, which cancels the call.
pub struct TokenStream {
    client: Client,
    address: SocketAddr,
    state: Option<PendingResponse>,
    parser: Parser,
    offset: u64,
    done: bool,
    /// Error met behind tokens that were taken, kept for the next call.
    failed: Option<CallError>,
}

impl TokenStream {
    pub(crate) fn new(
        client: Client,
        address: SocketAddr,
        open: PendingResponse,
        offset: u64,
    ) -> Self {
        let parser = Parser::default();
        Self { client, address, state: Some(open), parser, offset, done: false, failed: None }
    }

    /// Returns the bytes of generated text that have come so far.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the next event.
    ///
    /// The future may be dropped and called again without a loss.
    ///
    /// # Errors
    /// Fails where the answer breaks off; the text so far stands and a call may go on from
    /// [`TokenStream::offset`].
    pub async fn next(&mut self) -> Result<Event, CallError> {
        let next = self.advance().await;
        if next.is_err() {
            // An exchange that failed leaves its connection unfit for another.
            self.state = None;
        }
        next
    }

    /// Returns the next event if the bytes of a token have come already, without waiting.
    ///
    /// The end and errors are left to [`TokenStream::next`].
    pub fn try_next(&mut self) -> Option<Event> {
        match self.parse() {
            Ok(event) => event,
            Err(error) => {
                self.failed = Some(error);
                None
            }
        }
    }

    async fn advance(&mut self) -> Result<Event, CallError> {
        if let Some(error) = self.failed.take() {
            return Err(error);
        }
        loop {
            if let Some(event) = self.parse()? {
                return Ok(event);
            }
            let Some(open) = &mut self.state else {
                return if self.done { Ok(Event::End) } else { Err(CallError::Truncated) };
            };
            let PendingResponse { connection, head, timeouts } = open;
            match connection.next_chunk(&mut head.body, timeouts).await? {
                Some(piece) => self.feed(&piece)?,
                None => self.finish()?,
            }
        }
    }

    /// Returns the next token of the bytes that have come.
    fn parse(&mut self) -> Result<Option<Event>, CallError> {
        while !self.done {
            match self.parser.next()? {
                Some(Parsed::Text(text)) => return Ok(Some(self.token(text))),
                Some(Parsed::Done) => self.done = true,
                None => match self.take_buffered()? {
                    Some(piece) => self.feed(&piece)?,
                    None => break,
                },
            }
        }
        Ok(None)
    }

    /// Takes a piece of the body that was read already.
    fn take_buffered(&mut self) -> Result<Option<Bytes>, CallError> {
        let Some(open) = &mut self.state else { return Ok(None) };
        open.connection.take_buffered(&mut open.head.body)
    }

    fn feed(&mut self, piece: &Bytes) -> Result<(), CallError> {
        if self.done && !piece.trim_ascii().is_empty() {
            return Err(CallError::Malformed("bytes after the end of the stream"));
        }
        self.parser.feed(piece);
        Ok(())
    }

    fn token(&mut self, text: String) -> Event {
        let offset = self.offset;
        self.offset = offset.saturating_add(u64::try_from(text.len()).unwrap_or(u64::MAX));
        Event::Token { offset, text }
    }

    /// Ends the exchange once its body is whole.
    fn finish(&mut self) -> Result<(), CallError> {
        if !self.done {
            return Err(CallError::Truncated);
        }
        if !self.parser.is_empty() {
            return Err(CallError::Malformed("bytes after the end of the stream"));
        }
        if let Some(open) = self.state.take() {
            self.client.release(self.address, open);
        }
        Ok(())
    }
}
