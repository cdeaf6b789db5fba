//! Stream of tokens from an engine.

use std::net::SocketAddr;

use crate::target::client::Client;
use crate::target::client::Open;
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
    state: Option<Open>,
    parser: Parser,
    offset: u64,
    done: bool,
}

impl TokenStream {
    pub(crate) fn new(client: Client, address: SocketAddr, open: Open, offset: u64) -> Self {
        let parser = Parser::default();
        Self { client, address, state: Some(open), parser, offset, done: false }
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

    async fn advance(&mut self) -> Result<Event, CallError> {
        loop {
            if !self.done {
                match self.parser.next()? {
                    Some(Parsed::Text(text)) => return Ok(self.token(text)),
                    Some(Parsed::Done) => self.done = true,
                    None => {}
                }
            }
            let Some(open) = &mut self.state else {
                return if self.done { Ok(Event::End) } else { Err(CallError::Truncated) };
            };
            let Open { connection, answered, watch } = open;
            match connection.next_piece(&mut answered.body, watch).await? {
                Some(piece) if self.done && !piece.trim_ascii().is_empty() => {
                    return Err(CallError::Malformed("bytes after the end of the stream"));
                }
                Some(piece) => self.parser.feed(&piece),
                None => self.finish()?,
            }
        }
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
            self.client.put_back(self.address, open);
        }
        Ok(())
    }
}
