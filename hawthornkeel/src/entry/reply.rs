//! Answer to a caller, whole or streamed, given once.

use std::cell::RefCell;

use bytes::Bytes;
use futures_channel::oneshot::Sender;
use hawthornkeel_core::ids::RequestId;
use serde::Serialize;

use crate::entry::encoding;
use crate::http::channel;
use crate::http::message::Response;
use crate::http::problem::Problem;

/// Pieces of a streamed answer that wait for a slow caller, at most.
const STREAM_PIECES: usize = 16;

/// Bytes from which no further token is added to a piece.
const PIECE_BYTES: usize = 4 * 1024;

/// Bytes that an event has beside its text, about.
const EVENT_BYTES: usize = 64;

/// Text of one streamed piece.
#[derive(Serialize)]
struct TokenEvent<'a> {
    text: &'a str,
}

/// Events of tokens, one for each, encoded to be sent in one piece.
#[derive(Default)]
pub struct TokenEvents {
    data: Vec<u8>,
}

impl TokenEvents {
    /// Adds the event of one token.
    pub fn add(&mut self, text: &str) {
        self.data.reserve(text.len().saturating_add(EVENT_BYTES));
        self.data.extend_from_slice(b"event: token\ndata: ");
        // Writing into memory can't fail.
        let _ = serde_json::to_writer(&mut self.data, &TokenEvent { text });
        self.data.extend_from_slice(b"\n\n");
    }

    /// Tells whether the piece is large enough to be sent without further tokens.
    pub fn is_full(&self) -> bool {
        self.data.len() >= PIECE_BYTES
    }
}

/// Where a request's answer goes.
pub struct Reply {
    request: RequestId,
    streamed: bool,
    state: RefCell<State>,
}

/// How much of the answer was given.
enum State {
    /// Nothing yet.
    Open(Sender<Response>),
    /// Pieces of a stream.
    Streaming(channel::Sender),
    /// All of it.
    Ended,
}

impl Reply {
    /// Creates the reply to `request`, given through `sender`.
    pub fn new(request: RequestId, streamed: bool, sender: Sender<Response>) -> Self {
        Self { request, streamed, state: RefCell::new(State::Open(sender)) }
    }

    /// Tells whether pieces of the last stage's answer are wanted as they come.
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Gives the events of tokens that came together, waiting while the caller reads slowly.
    pub async fn send_tokens(&self, events: TokenEvents) {
        self.send(Bytes::from(events.data)).await;
    }

    /// Gives the whole answer after the last stage's.
    pub async fn finish(&self, last: &[u8]) {
        let answer = encoding::answer(self.request, last);
        if self.streamed {
            self.send_event("answer", &answer).await;
            self.end_stream();
            return;
        }
        self.respond(Response::json(answer));
    }

    /// Gives a refusal: as a status before the first piece, as an event after it.
    pub async fn refuse(&self, problem: Problem) {
        let started = matches!(*self.state.borrow(), State::Streaming(_));
        if started {
            let body = problem.to_json();
            self.send_event("problem", &body).await;
            self.end_stream();
            return;
        }
        self.respond(problem.into_response());
    }

    fn respond(&self, response: Response) {
        if let State::Open(sender) = self.state.replace(State::Ended) {
            // A caller that has left hears nothing.
            let _ = sender.send(response);
        }
    }

    async fn send_event(&self, name: &str, data: &[u8]) {
        let mut piece = Vec::with_capacity(data.len().saturating_add(32));
        piece.extend_from_slice(b"event: ");
        piece.extend_from_slice(name.as_bytes());
        piece.extend_from_slice(b"\ndata: ");
        piece.extend_from_slice(data);
        piece.extend_from_slice(b"\n\n");
        self.send(Bytes::from(piece)).await;
    }

    async fn send(&self, piece: Bytes) {
        let Some(sender) = self.open_stream() else {
            return;
        };
        let sent = sender.send(piece).await;
        if sent.is_ok() {
            self.state.replace(State::Streaming(sender));
        }
    }

    /// Takes the stream's sending end, and begins the response where it was not begun.
    fn open_stream(&self) -> Option<channel::Sender> {
        match self.state.replace(State::Ended) {
            State::Open(caller) => {
                let (sender, receiver) = channel::bounded(STREAM_PIECES);
                caller.send(Response::events(receiver)).ok()?;
                Some(sender)
            }
            State::Streaming(sender) => Some(sender),
            State::Ended => None,
        }
    }

    fn end_stream(&self) {
        if let State::Streaming(sender) = self.state.replace(State::Ended) {
            sender.finish();
        }
    }
}
